"""``make mesh``: the membership service alone, at several sizes.

All nodes run in one process and talk over loopback; bytes are exact, the
processor time of a node is the process's divided by the nodes.
"""

import asyncio
import sys
import time

import uvloop

from mallowspindle.config.common import NodeSection, PeersSection
from mallowspindle.membership.service import MembershipService
from mallowspindle.peers.handshake import Credentials
from mallowspindle.peers.server import PeerServer

_KEY = 'a-shared-key-for-loopback'
_REST_S = 10.0
_POLL_S = 0.02
_JOIN_PAUSE_S = 0.3
_LIMIT_S = 15.0


async def measure(size: int) -> None:
    """Start ``size`` members; measure them at rest and under news."""
    nodes: list[MembershipService] = []
    for number in range(size):
        nodes.append(await _start(number, nodes[:3]))
        await asyncio.sleep(_JOIN_PAUSE_S)
    joined_s = await _until(nodes, lambda node: _sees(node, size - 1))
    await asyncio.sleep(5)
    sent = sum(node.sent_bytes for node in nodes)
    cpu_s = time.process_time()
    await asyncio.sleep(_REST_S)
    rest_bytes = (sum(node.sent_bytes for node in nodes) - sent) / _REST_S
    rest_cpu = (time.process_time() - cpu_s) / _REST_S
    nodes[0].report_leaving_server('vm-1')
    sign_s = await _until(nodes, lambda node: 'vm-1' in node.signs)
    lost = nodes.pop()
    await lost.stop()
    lost_s = await _until(nodes, lambda node: _sees(node, size - 2))
    sys.stdout.write(
        f'{size:>6}{joined_s:>10.2f}{rest_bytes / size:>12.0f}'
        f'{rest_cpu / size * 100:>12.3f}{sign_s:>10.2f}{lost_s:>10.2f}\n'
    )
    sys.stdout.flush()
    await asyncio.gather(*(node.stop() for node in nodes))


async def _start(
    number: int, seeds: list[MembershipService]
) -> MembershipService:
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


def _sees(node: MembershipService, count: int) -> bool:
    return len(node.table.live()) == count


async def _until(nodes: list[MembershipService], condition: object) -> float:
    """Return the seconds until a condition holds at all nodes."""
    begun_s = time.monotonic()
    while time.monotonic() - begun_s < _LIMIT_S:
        if all(condition(node) for node in nodes):  # type: ignore[operator]
            return time.monotonic() - begun_s
        await asyncio.sleep(_POLL_S)
    return float('inf')


def main() -> None:
    """Measure several sizes and print a row for each."""
    sizes = [int(text) for text in sys.argv[1:]] or [8, 32, 100]
    sys.stdout.write(
        ' nodes  joined s  sent B/s/n  cpu %/node    sign s    lost s\n'
    )
    for size in sizes:
        uvloop.run(measure(size))


if __name__ == '__main__':
    main()
