"""How news of the log reach all nodes of a large venture."""

import asyncio

from mallowspindle.tests.catalog.venture import Venture

# As on the grown deployments, where configurations grew beyond 100 KB.
_SIZE = 58
_CONFIGURATION_BYTES = 100_000
# The operators' bound for a configuration is 2 s on the small deployments.
_IN_FORCE_S = 1.5
# Two seconds of all else that a node of a large venture tells.
_MOST_READER_BYTES = 20_000
_SETTLING_S = 1.5


async def test_no_node_sends_a_large_configuration_to_many() -> None:
    """Replays a node on a link of 10 Mbit/s that sent it to all peers."""
    venture = Venture(_SIZE)
    venture.configure(1, _CONFIGURATION_BYTES)
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        venture.mesh.sent_bytes.clear()
        venture.configure(2, _CONFIGURATION_BYTES)
        passed_s = await venture.seconds_until_version(2)
    assert passed_s < _IN_FORCE_S
    assert max(venture.mesh.sent_bytes.values()) < _MOST_READER_BYTES


async def test_nodes_without_the_log_get_a_large_configuration() -> None:
    venture = Venture(_SIZE)
    venture.configure(1, _CONFIGURATION_BYTES)
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        venture.apart.update(venture.names[::4])
        venture.read_timeout_s = 0.2
        venture.configure(2, _CONFIGURATION_BYTES)
        assert await venture.seconds_until_version(2) < _IN_FORCE_S


async def test_servers_reach_all_through_peers() -> None:
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
