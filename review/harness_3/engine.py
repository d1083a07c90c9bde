"""A sound model server: streams, copies of runs, moves and reports.

A run makes one event for each output token of ``Token-Count``. Its memory goes
to the server named in ``Kv-Backup`` several times a second. A run ends if its
channel is closed, except after its answer was lost (``POST /trouble``). While it
is silent it accepts no new channel, answers nothing and makes no event.
"""

import argparse
import asyncio
import json
import signal
import socket
import sys
import time
from dataclasses import dataclass, field
from typing import Any

_BACKUP_S = 0.2


@dataclass(eq=False)
class Run:
    """One run of a request."""

    request_id: str
    target: str
    events: int
    made: int
    backup: str
    writer: asyncio.StreamWriter
    kv_from: str = ''
    is_lost: bool = False
    is_stopped: bool = False
    began_at_s: float = field(default_factory=time.time)
    ended_at_s: float = 0.0
    made_at_s: list[float] = field(default_factory=list)


class Engine:
    """One model server."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self._sound = asyncio.Event()
        self._sound.set()
        self._address = ''
        self._copies: dict[str, int] = {}
        self._handles: dict[str, int] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self.runs: list[Run] = []
        self.refused_copies = 0

    def start(self) -> int:
        """Listen; the queue of new channels is short."""
        self._listener = socket.create_server(
            ('127.0.0.1', 0), backlog=self._args.backlog
        )
        self._listener.setblocking(False)
        port = self._listener.getsockname()[1]
        self._address = f'127.0.0.1:{port}'
        self._spawn(self._accept())
        return int(port)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._sound.wait()
            waiting = asyncio.create_task(loop.sock_accept(self._listener))
            while not waiting.done():
                await asyncio.wait({waiting}, timeout=0.02)
                if not self._sound.is_set() and not waiting.done():
                    waiting.cancel()
                    break
            if waiting.cancelled() or not waiting.done():
                await asyncio.wait({waiting})
            if waiting.cancelled():
                continue
            connection, _ = waiting.result()
            self._spawn(self._serve(connection))

    async def _serve(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        _, target, _ = first.split(' ', 2)
        headers = {}
        for line in filter(None, lines):
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        if target == '/record':
            await _answer(writer, 200, {}, self._record())
            return True
        if target == '/trouble':
            self._spawn(self._trouble(json.loads(body)))
            await _answer(writer, 200, {}, {})
            return True
        await self._sound.wait()
        if target == '/copy':
            copy = json.loads(body)
            self._copies[copy['id']] = copy['made']
            await _answer(writer, 200, {}, {})
        elif target == '/report':
            await _answer(writer, 200, {}, self._report())
        elif target == '/kv-move':
            await self._move(writer, json.loads(body))
        elif target.startswith('/kv-'):
            await _answer(writer, 200, {}, {})
        else:
            return await self._run(reader, writer, target, headers)
        return True

    def _running(self) -> list[Run]:
        return [run for run in self.runs if not run.ended_at_s]

    def _report(self) -> dict[str, Any]:
        running = self._running()
        return {
            'id': self._args.id,
            'born': self._args.born,
            'stage': 'unified',
            'waiting': 0,
            'running': len(running),
            'runs': [[run.request_id, 100, run.made, 5] for run in running],
        }

    def _record(self) -> list[dict[str, Any]]:
        return [
            {
                'id': run.request_id,
                'server': self._args.id,
                'kv_from': run.kv_from,
                'made': run.made,
                'events': run.events,
                'lost': run.is_lost,
                'began_at_s': run.began_at_s,
                'ended_at_s': run.ended_at_s,
                'last_event_at_s': run.made_at_s[-1] if run.made_at_s else 0,
                'made_at_s': run.made_at_s,
            }
            for run in self.runs
        ]

    async def _move(
        self, writer: asyncio.StreamWriter, order: dict[str, Any]
    ) -> None:
        found = [
            run for run in self._running() if run.request_id == order['id']
        ]
        if not found:
            await _answer(writer, 404, {}, {})
            return
        run = found[0]
        if order.get('last'):
            run.is_stopped = True
        await self._send_copy(order['to'], run)
        handle = {'handle': run.request_id, 'create_rev': run.made}
        await _answer(writer, 200, {}, handle)

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: str,
        headers: dict[str, str],
    ) -> bool:
        own = {
            'Request-Id': headers.get('request-id', ''),
            'Instance-Id': self._args.id,
        }
        if headers.get('expect-instance', self._args.id) != self._args.id:
            await _answer(writer, 421, own, {})
            return True
        kv_from = headers.get('kv-from', '')
        _, _, handle = kv_from.partition('/')
        if kv_from and handle not in self._copies:
            self.refused_copies += 1
            await _answer(writer, 503, {**own, 'Not-Executed': '1'}, {})
            return True
        events = int(headers['token-count'].partition(',')[2])
        run = Run(
            own['Request-Id'],
            target,
            events,
            int(headers.get('last-event-id', 0)) if kv_from else 0,
            headers.get('kv-backup', ''),
            writer,
            kv_from,
        )
        self.runs.append(run)
        proof = f'{self._args.id}.{run.request_id}'
        lines = ''.join(
            f'{name}: {text}\r\n'
            for name, text in {
                **own,
                'Response-Signature': proof,
                'Content-Type': 'text/event-stream',
                'Transfer-Encoding': 'chunked',
            }.items()
        )
        writer.write(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())
        watch = asyncio.create_task(reader.read(1))
        try:
            await self._make_events(run, watch)
        finally:
            watch.cancel()
            run.ended_at_s = time.time()
        return False

    async def _make_events(
        self, run: Run, watch: asyncio.Task[bytes]
    ) -> None:
        backup_at_s = 0.0
        while run.made < run.events and not run.is_stopped:
            await asyncio.sleep(self._args.event_ms / 1000)
            await self._sound.wait()
            if watch.done() and not run.is_lost:
                return
            run.made += 1
            run.made_at_s.append(time.time())
            if not run.is_lost:
                event = f'id: {run.made}\ndata: t{run.made}\n\n'.encode()
                run.writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            if run.backup and time.time() - backup_at_s > _BACKUP_S:
                backup_at_s = time.time()
                self._spawn(self._send_copy(run.backup, run))
        if not run.is_stopped and not run.is_lost:
            run.writer.write(b'0\r\n\r\n')
            await run.writer.drain()

    async def _send_copy(self, address: str, run: Run) -> None:
        """Send what has been made of a run to the server that keeps a copy."""
        host, _, port = address.partition(':')
        body = json.dumps({'id': run.request_id, 'made': run.made}).encode()
        try:
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b'POST /copy HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b'
                    % (len(body), body)
                )
                await reader.readuntil(b'\r\n\r\n')
                writer.close()
        except (OSError, EOFError, TimeoutError):
            pass

    async def _trouble(self, order: dict[str, Any]) -> None:
        """Fall silent, and lose the answer of a request meanwhile."""
        self._sound.clear()
        await asyncio.sleep(order['lose_after_s'])
        for run in self._running():
            if run.request_id == order['id'] and order['lose']:
                run.is_lost = True
                run.writer.close()
        await asyncio.sleep(order['silent_s'] - order['lose_after_s'])
        self._sound.set()


async def _answer(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    document: Any,
) -> None:
    body = json.dumps(document).encode()
    lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
    head = (
        f'HTTP/1.1 {status} X\r\n{lines}Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    writer.write(head.encode() + body)
    await writer.drain()


async def main() -> None:
    """Serve until SIGTERM; print the port first."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--id', required=True)
    parser.add_argument('--born', type=int, default=1_700_000_000_000)
    parser.add_argument('--backlog', type=int, default=8)
    parser.add_argument('--event-ms', type=float, default=50)
    engine = Engine(parser.parse_args())
    port = engine.start()
    sys.stdout.write(f'{json.dumps({"port": port})}\n')
    sys.stdout.flush()
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()


if __name__ == '__main__':
    asyncio.run(main())
