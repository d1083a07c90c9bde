"""Which nodes receive the usage counts in a large venture."""

import asyncio
import time

from mallowspindle.duties.counting import UsageExchange
from mallowspindle.duties.messages import UsageNews
from mallowspindle.peers.codec import OkReply
from mallowspindle.sharing.messages import LeaseUpdate
from mallowspindle.tests.sharing.fakes import FakeMesh
from mallowspindle.usage import UsageCounter


async def _recipients(*news: LeaseUpdate) -> set[str]:
    """Return which nodes receive a node's counts after news of the lease."""
    mesh = FakeMesh(30, 3)
    recipients: set[str] = set()
    for name, membership in mesh.memberships.items():

        async def record(message: UsageNews, name: str = name) -> OkReply:
            recipients.add(name)
            return OkReply()

        membership.server.handle(UsageNews, record)
    sender = next(iter(mesh.nodes.values()))
    exchange = UsageExchange(sender, UsageCounter(5, time.time))
    for each in news:
        exchange.note_holder(each)
    exchange.send()
    await asyncio.sleep(0.1)
    return recipients


async def test_the_holder_and_two_successors_receive_the_counts() -> None:
    order = UsageExchange(
        next(iter(FakeMesh(30, 3).nodes.values())), UsageCounter(5, time.time)
    ).claim_order()
    first = next(name for name in order if name != 'entry-000')
    assert len(await _recipients(LeaseUpdate(first, 7, 0))) == 3


async def test_late_news_of_an_earlier_holder_is_ignored() -> None:
    """A former holder without access to the store keeps sending news."""
    current, former = (
        LeaseUpdate('entry-007', 9, 0),
        LeaseUpdate('entry-008', 5, 4),
    )
    assert await _recipients(current, former) == await _recipients(current)
    assert 'entry-007' in await _recipients(current, former)
