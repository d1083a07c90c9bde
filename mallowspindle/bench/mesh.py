"""``make mesh``: the membership service alone, at several sizes.

All nodes run in one process and talk over loopback; bytes are exact, the
processor time of a node is the process's divided by the nodes.
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
_SEEDS = 3
_SETTLE_S = 5.0
_REST_S = 10.0
_POLL_S = 0.02
# The operators' platform starts all machines of a deployment at once.
_JOIN_WITHIN_S = 0.3
_LIMIT_S = 15.0
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
    """Counts how often a node believed that another was lost."""

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Count the messages on lost members."""
        self.count += 'is lost' in record.msg


async def measure(size: int) -> None:
    """Start ``size`` members; measure them at rest and under news."""
    losses = _LossCounter()
    logger = logging.getLogger('mallowspindle.membership.gossip')
    logger.setLevel(logging.INFO)
    logger.addHandler(losses)
    nodes: Nodes = []
    for number in range(size):
        nodes.append(await _start(number, nodes[:_SEEDS]))
        await asyncio.sleep(_JOIN_WITHIN_S / size)
    figures = [await _time_until(nodes, lambda node: _sees(node, size - 1))]
    figures.append(_sent_bytes(nodes) / size / 1000)
    await asyncio.sleep(_SETTLE_S)
    figures.extend(await _rest(nodes))
    false_losses = losses.count
    figures.extend(await _measure_propagation(nodes))
    await asyncio.gather(*(node.stop() for node in nodes))
    logger.removeHandler(losses)
    row = ''.join(f'{figure:>12.2f}' for figure in figures)
    sys.stdout.write(f'{size:>12}{row}{false_losses:>12}\n')
    sys.stdout.flush()


async def _rest(nodes: Nodes) -> list[float]:
    """Return bytes a second and part of a processor of a node at rest."""
    sent = _sent_bytes(nodes)
    cpu_s = time.process_time()
    await asyncio.sleep(_REST_S)
    rest_bytes = (_sent_bytes(nodes) - sent) / _REST_S
    rest_cpu = (time.process_time() - cpu_s) / _REST_S
    return [rest_bytes / len(nodes), rest_cpu / len(nodes) * 100]


async def _measure_propagation(nodes: Nodes) -> list[float]:
    """Return the seconds until a sign, a leaving and a lost node are known."""
    nodes[0].report_leaving_server('vm-1')
    sign_s = await _time_until(nodes, lambda node: 'vm-1' in node.departures)
    leaving = nodes.pop()
    name = leaving.own.name
    begun_s = time.monotonic()
    await leaving.prepare_drain()
    await _time_until(nodes, lambda node: _knows_leaving(node, name))
    leaving_s = time.monotonic() - begun_s
    await leaving.stop()
    lost = nodes.pop()
    begun_s = time.monotonic()
    await lost.stop()
    await _time_until(nodes, lambda node: not _lists(node, lost.own.name))
    return [sign_s, leaving_s, time.monotonic() - begun_s]


async def _start(number: int, seeds: Nodes) -> MembershipService:
    node = NodeSection.model_validate(
        {'name': f'entry-{number:04}', 'zone': 'abcd'[number % 4]}
    )
    addresses = [seed.own.peer_address for seed in seeds]
    peers = PeersSection.model_validate(
        {'shared_key': _KEY, 'seeds': addresses}
    )
    credentials = Credentials(node.name, _KEY.encode())
    server = PeerServer(credentials, peers.max_frame_bytes)
    made = MembershipService(node, peers, server, (node.host, node.peer_port))
    await made.start()
    return made


def _sent_bytes(nodes: Nodes) -> int:
    return sum(node.sent_bytes for node in nodes)


def _knows_leaving(node: MembershipService, name: str) -> bool:
    return all(info.leaving for info in node.table.live() if info.name == name)


def _lists(node: MembershipService, name: str) -> bool:
    return any(info.name == name for info in node.table.live())


def _sees(node: MembershipService, count: int) -> bool:
    return len(node.table.live()) == count


async def _time_until(nodes: Nodes, condition: object) -> float:
    """Return the seconds until a condition holds at all nodes."""
    begun_s = time.monotonic()
    while time.monotonic() - begun_s < _LIMIT_S:
        if all(condition(node) for node in nodes):  # type: ignore[operator]
            return time.monotonic() - begun_s
        await asyncio.sleep(_POLL_S)
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
