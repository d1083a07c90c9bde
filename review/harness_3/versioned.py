"""A sound model server whose events tell its software version.

Its streams may be resumed: with ``Last-Event-Id`` a run makes the events after
that one. The first event comes after the time that a long prompt takes.
``POST /crash`` resets all connections and lets it refuse new ones for a while;
what ran is lost.
"""

import argparse
import asyncio
import json
import signal
import socket
import struct
import sys
import time
from typing import Any

_RESET = struct.pack('ii', 1, 0)


class VersionedServer:
    """One model server of a software version."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self._listener: asyncio.Server | None = None
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._restart: asyncio.Task[None] | None = None
        self._running = 0
        self.runs: list[dict[str, Any]] = []

    async def start(self) -> int:
        """Listen; the port stays the same."""
        self._listener = await asyncio.start_server(
            self._serve, '127.0.0.1', self._port
        )
        self._port = self._listener.sockets[0].getsockname()[1]
        return int(self._port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._writers.add(writer)
        if task is not None:
            self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            if task is not None:
                self._tasks.discard(task)
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
        await reader.readexactly(int(headers.get('content-length', 0)))
        if target == '/record':
            await _answer(writer, 200, {}, self.runs)
            return True
        if target == '/crash':
            await _answer(writer, 200, {}, {})
            self._restart = asyncio.create_task(self._crash())
            return False
        if target == '/report':
            report = {
                'id': self._args.id,
                'born': self._args.born,
                'stage': 'unified',
                'waiting': 0,
                'running': self._running,
                'runs': [],
            }
            await _answer(writer, 200, {}, report)
            return True
        own = {
            'Request-Id': headers.get('request-id', ''),
            'Instance-Id': self._args.id,
        }
        if headers.get('expect-instance', self._args.id) != self._args.id:
            await _answer(writer, 421, own, {})
            return True
        await self._run(reader, writer, headers, own)
        return False

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        own: dict[str, str],
    ) -> None:
        events = int(headers['token-count'].partition(',')[2])
        made = int(headers.get('last-event-id', 0))
        run = {
            'id': own['Request-Id'],
            'server': self._args.id,
            'version': self._args.version,
            'after': made,
            'began_at_s': time.time(),
        }
        self.runs.append(run)
        proof = f'{self._args.id}.{own["Request-Id"]}'
        fields = {
            **own,
            'Response-Signature': proof,
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        lines = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
        watch = asyncio.create_task(reader.read(1))
        self._running += 1
        try:
            await asyncio.sleep(self._args.first_ms / 1000)
            writer.write(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())
            while made < events and not watch.done():
                made += 1
                data = f'{self._args.version} t{made}'
                event = f'id: {made}\ndata: {data}\n\n'.encode()
                writer.write(b'%x\r\n%b\r\n' % (len(event), event))
                await asyncio.sleep(self._args.event_ms / 1000)
            if not watch.done():
                writer.write(b'0\r\n\r\n')
                await writer.drain()
        finally:
            self._running -= 1
            watch.cancel()

    async def _crash(self) -> None:
        await asyncio.sleep(0.02)
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for writer in list(self._writers):
            sock = writer.get_extra_info('socket')
            if sock is not None and not writer.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(self._args.down_s)
        await self.start()


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
    parser.add_argument('--version', required=True)
    parser.add_argument('--born', type=int, default=1_700_000_000_000)
    parser.add_argument('--first-ms', type=float, default=1200)
    parser.add_argument('--event-ms', type=float, default=60)
    parser.add_argument('--down-s', type=float, default=3.0)
    server = VersionedServer(parser.parse_args())
    port = await server.start()
    sys.stdout.write(f'{json.dumps({"port": port})}\n')
    sys.stdout.flush()
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()


if __name__ == '__main__':
    asyncio.run(main())
