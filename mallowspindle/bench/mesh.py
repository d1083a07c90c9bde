"""``make mesh``: measures the membership service at several sizes.

All nodes run in one process and connect over loopback. Bytes are exact; the
processor time of a node is that of the process divided by the number of nodes.
"""

import asyncio
import logging
import sys
import time

import uvloop

from mallowspindle.config.common import NodeSection, PeersSection
from mallowspindle.membership.service import MembershipService
from mallowspindle.peers.handshake import Credentials
from mallowspindle.peers.server import PeerServer

_KEY = 'a-shared-key-for-loopback'
_SEED_COUNT = 3
_SETTLE_S = 5.0
_IDLE_S = 10.0
_POLL_INTERVAL_S = 0.02
# The platform starts all VMs of a deployment at about the same time.
_START_WITHIN_S = 0.3
_TIMEOUT_S = 15.0
_COLUMNS = (
    'nodes',
    'joined s',
    'join KB/n',
    'sent B/s/n',
    'cpu %/node',
    'sign s',
    'leaving s',
    'lost s',
    'false',
)

Nodes = list[MembershipService]


class _LossCounter(logging.Handler):
    """Counts how often a node took another for lost."""

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Count a log record that reports a lost member."""
        self.count += 'is lost' in record.msg


async def measure(size: int) -> None:
    """Start ``size`` members; measure them at rest and during changes."""
    losses = _LossCounter()
    logger = logging.getLogger('mallowspindle.membership.gossip')
    logger.setLevel(logging.INFO)
    logger.addHandler(losses)
    nodes: Nodes = []
    for number in range(size):
        nodes.append(await _start_member(number, nodes[:_SEED_COUNT]))
        await asyncio.sleep(_START_WITHIN_S / size)
    figures = [
        await _time_until(nodes, lambda node: _has_live_members(node, size - 1))
    ]
    figures.append(_sent_bytes(nodes) / size / 1000)
    await asyncio.sleep(_SETTLE_S)
    figures.extend(await _measure_idle(nodes))
    false_losses = losses.count
    figures.extend(await _measure_propagation(nodes))
    await asyncio.gather(*(node.stop() for node in nodes))
    logger.removeHandler(losses)
    row = ''.join(f'{figure:>12.2f}' for figure in figures)
    sys.stdout.write(f'{size:>12}{row}{false_losses:>12}\n')
    sys.stdout.flush()


async def _measure_idle(nodes: Nodes) -> list[float]:
    """Return bytes per second and processor percentage of a node at rest."""
    sent = _sent_bytes(nodes)
    cpu_s = time.process_time()
    await asyncio.sleep(_IDLE_S)
    bytes_per_s = (_sent_bytes(nodes) - sent) / _IDLE_S
    cpu_share = (time.process_time() - cpu_s) / _IDLE_S
    return [bytes_per_s / len(nodes), cpu_share / len(nodes) * 100]


async def _measure_propagation(nodes: Nodes) -> list[float]:
    """Return the seconds until all nodes know of three changes.

    The changes are a leaving server, a leaving node and a lost node.
    """
    nodes[0].report_leaving_server('vm-1')
    departure_s = await _time_until(
        nodes, lambda node: 'vm-1' in node.departures
    )
    leaving = nodes.pop()
    name = leaving.own.name
    started_s = time.monotonic()
    await leaving.prepare_drain()
    await _time_until(nodes, lambda node: _knows_as_leaving(node, name))
    leaving_s = time.monotonic() - started_s
    await leaving.stop()
    lost = nodes.pop()
    started_s = time.monotonic()
    await lost.stop()
    await _time_until(
        nodes, lambda node: not _lists_as_live(node, lost.own.name)
    )
    return [departure_s, leaving_s, time.monotonic() - started_s]


async def _start_member(number: int, seeds: Nodes) -> MembershipService:
    node = NodeSection.model_validate(
        {'name': f'entry-{number:04}', 'zone': 'abcd'[number % 4]}
    )
    addresses = [seed.own.peer_address for seed in seeds]
    peers = PeersSection.model_validate(
        {'shared_key': _KEY, 'seeds': addresses}
    )
    credentials = Credentials(node.name, _KEY.encode())
    server = PeerServer(credentials, peers.max_frame_bytes)
    service = MembershipService(
        node, peers, server, (node.host, node.peer_port)
    )
    await service.start()
    return service


def _sent_bytes(nodes: Nodes) -> int:
    return sum(node.sent_bytes for node in nodes)


def _knows_as_leaving(node: MembershipService, name: str) -> bool:
    return all(info.leaving for info in node.table.live() if info.name == name)


def _lists_as_live(node: MembershipService, name: str) -> bool:
    return any(info.name == name for info in node.table.live())


def _has_live_members(node: MembershipService, count: int) -> bool:
    return len(node.table.live()) == count


async def _time_until(nodes: Nodes, condition: object) -> float:
    """Return the seconds until a condition holds at all nodes.

    They are infinite if it does not hold within the timeout.
    """
    started_s = time.monotonic()
    while time.monotonic() - started_s < _TIMEOUT_S:
        if all(condition(node) for node in nodes):  # type: ignore[operator]
            return time.monotonic() - started_s
        await asyncio.sleep(_POLL_INTERVAL_S)
    return float('inf')


def main() -> None:
    """Measure several sizes and print a row for each."""
    sizes = [int(text) for text in sys.argv[1:]] or [8, 32, 77]
    head = ''.join(f'{column:>12}' for column in _COLUMNS)
    sys.stdout.write(f'{head}\n')
    for size in sizes:
        uvloop.run(measure(size))


if __name__ == '__main__':
    main()
