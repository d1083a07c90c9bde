"""Demo of the daemon in front of a platform, on loopback."""

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

from mallowspindle.standins.gateways import GatewayVenture


def print_line(text: str) -> None:
    """Print one line and flush the output."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


async def main() -> None:
    """Serve a stream and an order, then drain one of two entry VMs."""
    with tempfile.TemporaryDirectory() as folder:
        async with GatewayVenture(Path(folder)) as venture:
            await _start(venture)
            await _show_calls(venture)
            await _show_drain(venture)


async def _start(venture: GatewayVenture) -> None:
    print_line(
        'starting the store, the duties, 3 backend servers, 2 entry VMs ...'
    )
    await venture.start_platform()
    await venture.configure()
    await asyncio.gather(
        venture.start_server('model-1', 'models', '--events=20'),
        venture.start_server('model-2', 'models', '--events=20'),
        venture.start_server('shop-1', 'shop'),
    )
    await venture.start_gateway('entry-1')
    await venture.start_gateway('entry-2', 'b')


async def _show_calls(venture: GatewayVenture) -> None:
    status, _, text = await venture.call(
        'entry-1', 'POST', '/letters/x', 'letter-1'
    )
    events = text.count('\n\n')
    print_line(f'a stream: status {status}, {events} events')
    status, _, text = await venture.call(
        'entry-2', 'POST', '/orders/x', 'order-1', b'one bird'
    )
    print_line(f'an order that runs at most once: status {status}, {text}')
    runs = await venture.runs('shop-1')
    print_line(f'runs of the order at the server: {len(runs)}')


async def _show_drain(venture: GatewayVenture) -> None:
    stream = asyncio.create_task(
        venture.call('entry-1', 'POST', '/letters/x', 'letter-2')
    )
    await asyncio.sleep(0)
    venture.process('entry-1').send_signal(signal.SIGTERM)
    status, _, text = await stream
    print_line(f'a stream over a drain: status {status}, {text[-16:]!r}')
    print_line(
        f'exit code of the drained VM: {await venture.process("entry-1").wait()}'
    )
    addresses = await venture.addresses('entry-2')
    print_line(f'addresses that callers should use now: {addresses}')


if __name__ == '__main__':
    asyncio.run(main())
