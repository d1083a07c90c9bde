"""Messages between nodes that wait for seconds on their way."""

import asyncio
import time
from pathlib import Path
from typing import Any

from mallowspindle.bench.peer_paths import PeerPaths
from mallowspindle.standins.gateways import CONFIGURATION, GatewayVenture
from mallowspindle.utils.identifiers import rendezvous_order

_STREAM = 'keyed.op'
# The first node of this order reads for all; the last one waits longest.
_READER, *_OTHERS, _BELIEVER = rendezvous_order(
    _STREAM, [f'entry-{number}' for number in range(5)]
)
_DELAY_S = 3.3
# The operators' pages: from then on, only the new version may show.
_APPLY_S = 2.0
_WATCHED_S = 3.2
_POLL_S = 0.02
# When the new version is written, in seconds after the path has become slow.
_WRITTEN_AFTER_S = (2.9, 3.0, 3.1)
_UPDATE_MARKS = (b'stream-news', _STREAM.encode())


class _Updates:
    """The updates of the configuration that the reader sends."""

    def __init__(self) -> None:
        self._sent = asyncio.Event()

    def watch(self, source: str, target: str, frame: bytes) -> None:
        if source == _READER and all(mark in frame for mark in _UPDATE_MARKS):
            self._sent.set()

    async def wait(self) -> None:
        """Wait for the next update."""
        self._sent.clear()
        await self._sent.wait()


def _routes(version: int) -> list[dict[str, Any]]:
    added = {
        **CONFIGURATION['routes'][-1],
        'name': f'added-{version}',
        'path_prefix': f'/added-{version}/',
    }
    return [*CONFIGURATION['routes'], added]


async def _late_denials(venture: GatewayVenture, version: int) -> list[float]:
    """Write a version with a new route; return when it is denied later."""
    await venture.configure(version=version, routes=_routes(version))
    acknowledged_at_s = time.monotonic()
    denied_at_s = []
    path = f'/added-{version}/1'
    waited_s = 0.0
    while waited_s < _WATCHED_S:
        waited_s = time.monotonic() - acknowledged_at_s
        request_id = f'{version}-{waited_s}'
        status, _, _ = await venture.call(_BELIEVER, 'GET', path, request_id)
        if status == 404 and waited_s > _APPLY_S:
            denied_at_s.append(round(waited_s, 2))
        await asyncio.sleep(_POLL_S)
    return denied_at_s


async def test_no_route_is_denied_because_of_updates_that_arrive_late(
    tmp_path: Path,
) -> None:
    """Guards against a 404 by a node that takes an old update for a new one."""
    paths = PeerPaths('127.91.1.98', '127.91.1.99')
    updates = _Updates()
    paths.watchers.append(updates.watch)
    late: dict[float, list[float]] = {}
    async with GatewayVenture(tmp_path, paths) as venture:
        await venture.start_platform()
        await venture.configure()
        for name in (_READER, *_OTHERS, _BELIEVER):
            await venture.start_gateway(name)
        await venture.start_server('shop-1', 'shop')
        for number, written_after_s in enumerate(_WRITTEN_AFTER_S):
            await updates.wait()
            paths.delay(_READER, _BELIEVER, _DELAY_S)
            paths.delay(_BELIEVER, _READER, _DELAY_S)
            await asyncio.sleep(written_after_s)
            late[written_after_s] = await _late_denials(venture, 10 + number)
            paths.delay(_READER, _BELIEVER, 0)
            paths.delay(_BELIEVER, _READER, 0)
            await asyncio.sleep(1)
            await updates.wait()
    assert not any(late.values()), late
