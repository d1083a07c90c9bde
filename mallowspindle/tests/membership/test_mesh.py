"""Members on loopback: how they join, stop and detect lost ones."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from mallowspindle.config.common import NodeSection, PeersSection
from mallowspindle.membership.messages import MemberInfo
from mallowspindle.membership.service import MembershipService
from mallowspindle.peers.handshake import Credentials
from mallowspindle.peers.link import PeerLink
from mallowspindle.peers.server import PeerServer
from mallowspindle.utils.clock import SharedClock

KEY = 'a-shared-key-for-loopback'
TIMEOUT_S = 10.0
# Members change their watchers while others join; the former watchers probe
# them.
SETTLE_S = 2.5
CLOSED_ADDRESS = '127.0.0.1:9'
SEED_COUNT = 3
# Silence of three heartbeats, a probe of one, and the spread of the news.
LOSS_TIMEOUT_S = 3.0
# Two heartbeats of the returning node.
RETURN_TIMEOUT_S = 1.0
MAX_CLOCK_ERROR_S = 0.5
# A live peer answers within milliseconds.
MAX_ANNOUNCEMENT_S = 0.5
# Ten times the table of 24 members, and 5 s of heartbeats.
MAX_JOINING_BYTES = 24 * 150 * 10 + 5 * 5_000


async def _start(
    name: str, seeds: list[str], clock: SharedClock | None = None
) -> MembershipService:
    node = NodeSection.model_validate({'name': name, 'zone': 'a'})
    peers = PeersSection.model_validate({'shared_key': KEY, 'seeds': seeds})
    server = PeerServer(Credentials(name, KEY.encode()), peers.max_frame_bytes)
    member = MembershipService(node, peers, server, ('127.0.0.1', 0), clock)
    await member.start()
    return member


@asynccontextmanager
async def _mesh(size: int) -> AsyncIterator[list[MembershipService]]:
    members: list[MembershipService] = []
    for number in range(size):
        seeds = [member.own.peer_address for member in members[:SEED_COUNT]]
        members.append(await _start(f'entry-{number:02}', seeds))
    await _wait_until(lambda: all(_sees(each, size - 1) for each in members))
    try:
        yield members
    finally:
        async with asyncio.timeout(TIMEOUT_S):
            await asyncio.gather(*(member.stop() for member in members))


def _sees(member: MembershipService, count: int) -> bool:
    return len(member.table.live()) == count


def _cut(
    member: MembershipService,
    other: MembershipService,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Cut the link from one member to the other."""
    link = member.link
    closed = replace(other.own, peer_address=CLOSED_ADDRESS)

    def cut_link(info: MemberInfo) -> PeerLink:
        return link(closed if info.name == closed.name else info)

    monkeypatch.setattr(member, 'link', cut_link)


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)


@pytest.mark.parametrize('ticks', range(6))
async def test_stops_while_news_arrives(ticks: int) -> None:
    """A stop must not hang if news arrives at the same moment."""
    member = await _start('entry', [])
    await asyncio.sleep(0.2)
    member.send_soon()
    for _ in range(ticks):
        await asyncio.sleep(0)
    async with asyncio.timeout(TIMEOUT_S):
        await member.stop()


async def test_a_lost_member_does_not_delay_a_planned_stop() -> None:
    """Guards against a drain that waits for a machine that was removed."""
    with socket.create_server(('127.0.0.1', 0)) as silent:
        host, port = silent.getsockname()[:2]
        async with _mesh(3) as members:
            first = members[0]
            gone = replace(
                first.own, name='gone', peer_address=f'{host}:{port}', beat=9
            )
            first.table.merge(gone)
            member = first.table.find('gone')
            assert member is not None
            member.lost = True
            began_at_s = time.monotonic()
            await first.prepare_drain()
            assert time.monotonic() - began_at_s < MAX_ANNOUNCEMENT_S


async def test_nodes_without_processor_time_report_no_losses(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Small nodes may get no processor time for some heartbeats."""
    caplog.set_level('INFO')
    async with _mesh(12) as members:
        await asyncio.sleep(SETTLE_S)
        for _ in range(3):
            time.sleep(2)  # noqa: ASYNC251
            # A member that has just chosen other watchers may be missing.
            assert all(len(each.table.live()) >= 10 for each in members)
            await asyncio.sleep(0.5)
            assert all(len(each.table.live()) >= 10 for each in members)
        await _wait_until(lambda: all(_sees(each, 11) for each in members))
    assert 'is lost' not in caplog.text


async def test_a_node_that_starts_while_its_time_is_behind_is_heard() -> None:
    """Guards against peers that take its news for old: it was lost to them."""
    async with _mesh(3) as members:
        first, *_, last = members
        former = last.own
        await last.stop()
        behind = SharedClock(lambda: time.time() - 30)
        members[-1] = await _start(
            last.own.name, [first.own.peer_address], behind
        )
        own = members[-1]
        await _wait_until(lambda: _address(first, own) == own.own.peer_address)
        await _wait_until(lambda: all(_sees(each, 2) for each in members))
        assert own.own.incarnation > former.incarnation
        await _wait_until(
            lambda: abs(own.clock.now_s() - time.time()) <= MAX_CLOCK_ERROR_S
        )


def _address(member: MembershipService, other: MembershipService) -> str:
    """Return the address at which a member knows another one."""
    found = member.table.find(other.own.name)
    return found.info.peer_address if found else ''


async def test_nodes_cut_off_from_each_other_stay_live(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Other watchers still hear both."""
    caplog.set_level('INFO')
    async with _mesh(6) as members:
        one, other, *_ = members
        _cut(one, other, monkeypatch)
        _cut(other, one, monkeypatch)
        await asyncio.sleep(4)
        assert all(_sees(member, 5) for member in members)
    assert 'is lost' not in caplog.text


async def test_silent_member_is_lost_to_all() -> None:
    async with _mesh(12) as members:
        lost = members.pop()
        await lost.stop()
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        await _wait_until(lambda: all(_sees(each, 10) for each in members))
        assert loop.time() - started_at_s < LOSS_TIMEOUT_S


async def test_returning_member_is_known_at_once() -> None:
    async with _mesh(12) as members:
        lost = members.pop()
        await lost.stop()
        await _wait_until(lambda: all(_sees(each, 10) for each in members))
        seeds = [member.own.peer_address for member in members[:SEED_COUNT]]
        members.append(await _start(lost.own.name, seeds))
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        await _wait_until(lambda: all(_sees(each, 11) for each in members))
        assert loop.time() - started_at_s < RETURN_TIMEOUT_S


async def test_joining_sends_few_bytes() -> None:
    """In large deployments news went to the same peers up to 40 times."""
    async with _mesh(24) as members:
        await asyncio.sleep(4)
        sent = sum(member.sent_bytes for member in members)
    assert sent / len(members) < MAX_JOINING_BYTES


async def test_all_members_know_all_after_joining() -> None:
    async with _mesh(24) as members:
        assert all(_sees(member, 23) for member in members)
