"""Tests of how records of the log reach all nodes of a large venture."""

import asyncio
from unittest.mock import Mock

import pytest

from mallowspindle.catalog import keeping
from mallowspindle.catalog.following import StreamEnd, StreamUpdate
from mallowspindle.catalog.service import CatalogService
from mallowspindle.log.records import KeyedRecord
from mallowspindle.tests.catalog.venture import (
    CONFIGURATIONS,
    SERVERS,
    Venture,
    seconds_until,
)
from mallowspindle.tests.simulation import simulated
from mallowspindle.utils.identifiers import (
    rendezvous_order,
    rendezvous_weight,
)

# The size of large deployments, whose configurations exceed 100 KB.
_SIZE = 58
_CONFIGURATION_BYTES = 100_000
# The operators' bound for a configuration is 2 s on small deployments.
_IN_FORCE_S = 1.5
# For nodes that reach neither the log nor one peer in eight.
_CUT_OFF_IN_FORCE_S = 2.0
# Two seconds of the other messages that a node of a large venture sends.
_MAX_READER_BYTES = 20_000
_SETTLING_S = 1.5
# Two calls each half second, one for each stream, and a fifth as tolerance.
_MAX_CALLS_PER_S = 4.8
_MEASURED_S = 5.0
# One-way delay between zones of large deployments, with processing time.
_LINK_DELAY_S = 0.005
_CUT_S = 5.0
# The operators' bound from the record of a server's leaving is 2 s.
_DRAIN_S = 1.5


@simulated
async def test_no_node_sends_a_large_configuration_to_all_peers() -> None:
    """Guards against a node on a 10 Mbit/s link sending it to all peers."""
    venture = Venture(_SIZE)
    venture.configure(1, _CONFIGURATION_BYTES)
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        venture.mesh.sent_bytes.clear()
        venture.configure(2, _CONFIGURATION_BYTES)
        elapsed_s = await venture.seconds_until_version(2)
    assert elapsed_s < _IN_FORCE_S
    assert max(venture.mesh.sent_bytes.values()) < _MAX_READER_BYTES


@simulated
async def test_nodes_without_the_log_get_a_large_configuration() -> None:
    venture = Venture(_SIZE)
    venture.configure(1, _CONFIGURATION_BYTES)
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        venture.cut_off.update(venture.names[::4])
        venture.read_timeout_s = 0.2
        venture.configure(2, _CONFIGURATION_BYTES)
        assert await venture.seconds_until_version(2) < _IN_FORCE_S


@simulated
async def test_a_new_server_reaches_all_nodes_with_few_reads() -> None:
    venture = Venture(_SIZE)
    venture.configure(1)
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        venture.calls.clear()
        venture.put_server('one')
        await asyncio.sleep(_SETTLING_S)
        assert all(
            'one' in catalog.servers for catalog in venture.catalogs.values()
        )
        assert len(+venture.calls) < _SIZE / 4


@simulated
async def test_silent_peers_do_not_delay_a_configuration() -> None:
    """Guards against half a minute of asking frozen peers one by one."""
    venture = Venture(_SIZE)
    venture.configure(1, _CONFIGURATION_BYTES)
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        frozen, cut_off = venture.names[1::8], venture.names[::4]
        venture.mesh.silent.update(frozen)
        venture.cut_off.update(cut_off)
        venture.configure(2, _CONFIGURATION_BYTES)
        awake = [name for name in venture.names if name not in frozen]
        assert (
            await venture.seconds_until_version(2, awake) < _CUT_OFF_IN_FORCE_S
        )


@simulated
async def test_a_node_reads_soon_after_it_reaches_the_log_again() -> None:
    venture = Venture(_SIZE)
    venture.configure(1, _CONFIGURATION_BYTES)
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        isolated = venture.names[0]
        others = venture.names[1:]
        venture.cut_off.add(isolated)
        venture.mesh.cut.update((isolated, other) for other in others)
        venture.configure(2, _CONFIGURATION_BYTES)
        await venture.seconds_until_version(2, others)
        await asyncio.sleep(4)
        venture.cut_off.clear()
        read_delay_s = await venture.seconds_until_version(2)
        assert read_delay_s < venture.read_timeout_s + 0.4


@simulated
async def test_all_nodes_together_read_each_stream_twice_a_second() -> None:
    for size in (4, _SIZE):
        venture = Venture(size)
        venture.configure(1, _CONFIGURATION_BYTES)
        venture.put_server('one')
        async with venture:
            await asyncio.sleep(_SETTLING_S)
            venture.calls.clear()
            await asyncio.sleep(_MEASURED_S)
            calls_per_s = venture.calls.total() / _MEASURED_S
        assert calls_per_s <= _MAX_CALLS_PER_S


@simulated
async def test_a_drain_received_with_a_gap_takes_effect_at_once() -> None:
    venture = Venture(_SIZE)
    venture.configure(1)
    venture.put_server('one')
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        node = venture.names[0]
        venture.cut_off.add(node)
        drain = KeyedRecord('one', b'draining', 7)
        update = StreamUpdate(SERVERS, 7, 8, 0, [drain])
        await venture.mesh.servers[node].dispatch_message(update)
        assert venture.catalogs[node].servers['one'].draining


@simulated
async def test_a_node_that_receives_no_updates_asks_its_peers() -> None:
    """The node reaches its peers, but not the log, and no peer reaches it."""
    venture = Venture(_SIZE)
    venture.configure(1)
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        isolated = venture.names[0]
        venture.cut_off.add(isolated)
        venture.mesh.cut.update((name, isolated) for name in venture.names[1:])
        await asyncio.sleep(4)
        venture.configure(2, _CONFIGURATION_BYTES)
        # The peer that is asked first may not have the configuration yet.
        assert await venture.seconds_until_version(2) < 2 * _CUT_OFF_IN_FORCE_S


async def _stop(venture: Venture, names: list[str]) -> None:
    venture.mesh.silent.update(names)
    for name in names:
        await venture.catalogs[name].stop()
        await venture.mesh.nodes[name].stop()


@simulated
async def test_few_nodes_read_when_the_first_readers_are_frozen() -> None:
    venture = Venture(_SIZE)
    venture.mesh.delays_s.update(dict.fromkeys(venture.names, _LINK_DELAY_S))
    venture.configure(1)
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        await _stop(venture, rendezvous_order(SERVERS, venture.names)[:5])
        venture.calls.clear()
        await asyncio.sleep(_MEASURED_S)
        calls_per_s = venture.calls.total() / _MEASURED_S
    # Until the others have noticed the frozen nodes, more calls are allowed.
    assert calls_per_s <= 3 * _MAX_CALLS_PER_S


@simulated
async def test_up_to_date_nodes_do_not_compute_the_reading_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nodes check twenty times a second; mostly their state is recent."""
    venture = Venture(_SIZE)
    venture.configure(1)
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        weight_function = Mock(side_effect=rendezvous_weight)
        monkeypatch.setattr(keeping, 'rendezvous_weight', weight_function)
        await asyncio.sleep(_SETTLING_S)
    assert not weight_function.call_count


@simulated
async def test_an_isolated_node_is_not_current_until_it_reconnects() -> None:
    venture = Venture(_SIZE)
    venture.configure(1)
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        isolated = venture.names[0]
        catalog = venture.catalogs[isolated]
        venture.cut_off.add(isolated)
        for name in venture.names[1:]:
            venture.mesh.cut.update(((name, isolated), (isolated, name)))
        await seconds_until(lambda: not catalog.is_current)
        others = (venture.catalogs[name] for name in venture.names[1:])
        assert all(other.is_current for other in others)
        venture.cut_off.clear()
        venture.mesh.cut.clear()
        await seconds_until(lambda: catalog.is_current)


@simulated
async def test_a_node_with_unread_records_is_not_current() -> None:
    venture = Venture(_SIZE)
    venture.configure(1)
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        node = venture.names[0]
        await venture.mesh.servers[node].dispatch_message(
            StreamEnd(CONFIGURATIONS, 2, 0)
        )
        assert not venture.catalogs[node].is_current


@simulated
async def test_all_nodes_stay_current_without_faults() -> None:
    venture = Venture(_SIZE)
    venture.configure(1)
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        for version in range(2, 30):
            assert all(
                catalog.is_current for catalog in venture.catalogs.values()
            )
            if version % 4 == 0:
                venture.configure(version)
            await asyncio.sleep(0.1)


@pytest.mark.parametrize('leaves_after_cut', [True, False])
@simulated
async def test_a_node_that_was_cut_off_removes_servers_that_have_left(
    leaves_after_cut: bool,
) -> None:
    """Guards against a node that takes its own cut for an outage of the log."""
    async with Venture(8) as venture:
        venture.put_server('one')
        await seconds_until(
            lambda: all(map(_knows_one, venture.catalogs.values()))
        )
        first = venture.names[0]
        venture.read_timeout_s = 0.5
        venture.cut_off.add(first)
        for name in venture.names[1:]:
            venture.mesh.cut.update(((name, first), (first, name)))
        await asyncio.sleep(_CUT_S)
        if not leaves_after_cut:
            venture.log.put(SERVERS, 'one', None)
        venture.cut_off.clear()
        venture.mesh.cut.clear()
        if leaves_after_cut:
            venture.log.put(SERVERS, 'one', None)
        catalog = venture.catalogs[first]
        assert await seconds_until(lambda: not _knows_one(catalog)) < _DRAIN_S


@simulated
async def test_servers_that_lapsed_while_the_log_was_down_are_kept() -> None:
    async with Venture(8) as venture:
        venture.put_server('one')
        await seconds_until(
            lambda: all(map(_knows_one, venture.catalogs.values()))
        )
        venture.read_timeout_s = 0.2
        venture.cut_off.update(venture.names)
        await asyncio.sleep(_CUT_S)
        venture.log.put(SERVERS, 'one', None)
        venture.cut_off.clear()
        for _ in range(16):
            await asyncio.sleep(0.1)
            assert all(map(_knows_one, venture.catalogs.values()))
        venture.put_server('one')
        await asyncio.sleep(1.5)
        assert all(map(_knows_one, venture.catalogs.values()))


def _knows_one(catalog: CatalogService) -> bool:
    return 'one' in catalog.servers
