"""Who keeps the counts of a large venture."""

import asyncio

from mallowspindle.duties.counting import UsageCounts
from mallowspindle.duties.messages import UsageNews
from mallowspindle.peers.codec import OkReply
from mallowspindle.sharing.messages import LeaseNews
from mallowspindle.tests.sharing.fakes import FakeMesh
from mallowspindle.usage import UsageCounter


async def _keepers(*news: LeaseNews) -> set[str]:
    """Return who is told a node's counts after some news of the lease."""
    mesh = FakeMesh(30, 3)
    told: set[str] = set()
    for name, membership in mesh.memberships.items():

        async def note(message: UsageNews, name: str = name) -> OkReply:
            told.add(name)
            return OkReply()

        membership.server.handle(UsageNews, note)
    teller = next(iter(mesh.nodes.values()))
    counts = UsageCounts(teller, UsageCounter(5))
    for each in news:
        counts.note_holder(each)
    counts.tell()
    await asyncio.sleep(0.1)
    return told


async def test_the_holder_and_two_successors_keep_the_counts() -> None:
    order = UsageCounts(
        next(iter(FakeMesh(30, 3).nodes.values())), UsageCounter(5)
    ).claim_order()
    first = next(name for name in order if name != 'entry-000')
    assert len(await _keepers(LeaseNews(first, 7, 0))) == 3


async def test_late_news_of_an_earlier_holder_changes_nothing() -> None:
    """Replays a holder that is cut from the store and goes on telling."""
    present, former = LeaseNews('entry-007', 9, 0), LeaseNews('entry-008', 5, 4)
    assert await _keepers(present, former) == await _keepers(present)
    assert 'entry-007' in await _keepers(present, former)
