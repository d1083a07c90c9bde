"""A sound backend server that is brittle at times, and says so.

Once it is brittle, it says so in all answers (``Server-Brittle``). From
``contact_ms`` later it lets fewer requests wait, and if it has to turn away
more than N requests in a second for want of room, it falls over: it resets all
connections, and is back some seconds later. What ran is lost.
"""

import argparse
import asyncio
import json
import signal
import socket
import struct
import sys
import time
from collections import deque
from typing import Any

_RESET = struct.pack('ii', 1, 0)


class BrittleServer:
    """One server of a service of plain requests."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self._listener: asyncio.Server | None = None
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._slots = asyncio.Semaphore(args.slots)
        self._waiting = 0
        self._running: dict[str, float] = {}
        self._brittle_at_s: float | None = None
        self._turned_away: deque[float] = deque()
        self.turned_away = 0
        self.most_in_a_second = 0
        self.ended = 0
        self.lost: list[str] = []
        self.falls: list[dict[str, Any]] = []

    async def start(self) -> int:
        """Listen; the port stays the same."""
        self._listener = await asyncio.start_server(
            self._serve, '127.0.0.1', self._port
        )
        self._port = self._listener.sockets[0].getsockname()[1]
        return self._port

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

    def _queue(self) -> int:
        """Return how many requests may wait."""
        since_s = self._brittle_at_s
        if since_s is None or time.time() - since_s < self._args.contact_s:
            return self._args.queue
        return self._args.brittle_queue

    def _headers(self, request_id: str) -> dict[str, str]:
        load = f'{len(self._running)},{self._waiting},{self._args.slots}'
        headers = {
            'Request-Id': request_id,
            'Instance-Id': self._args.id,
            'Server-Load': load,
        }
        if self._brittle_at_s is not None:
            headers['Server-Brittle'] = str(self._args.brittle)
        return headers

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
        if target == '/be-brittle':
            self._brittle_at_s = time.time()
            await self._answer(writer, 200, {}, b'')
            return True
        if target == '/record':
            record = {
                'falls': self.falls,
                'ended': self.ended,
                'lost': self.lost,
                'turned_away': self.turned_away,
                'most_in_a_second': self.most_in_a_second,
            }
            await self._answer(writer, 200, {}, json.dumps(record).encode())
            return True
        request_id = headers.get('request-id', '')
        if headers.get('expect-instance', self._args.id) != self._args.id:
            await self._answer(writer, 421, self._headers(request_id), b'')
            return True
        if self._slots.locked() and self._waiting >= self._queue():
            more = {'Not-Executed': '1'}
            await self._answer(
                writer, 503, {**self._headers(request_id), **more}, b''
            )
            self._note_turned_away()
            return True
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running[request_id] = time.time()
        try:
            await asyncio.sleep(self._args.work_ms / 1000)
            self.ended += 1
        except asyncio.CancelledError:
            self.lost.append(request_id)
            raise
        finally:
            self._running.pop(request_id, None)
            self._slots.release()
        proof = {'Response-Signature': f'{self._args.id}.{request_id}'}
        await self._answer(
            writer, 200, {**self._headers(request_id), **proof}, b'x' * 800
        )
        return True

    def _note_turned_away(self) -> None:
        """Count a request that was turned away; fall over beyond N."""
        now_s = time.time()
        self.turned_away += 1
        self._turned_away.append(now_s)
        while self._turned_away[0] < now_s - 1:
            self._turned_away.popleft()
        count = len(self._turned_away)
        self.most_in_a_second = max(self.most_in_a_second, count)
        since_s = self._brittle_at_s
        if since_s is None or now_s - since_s < self._args.contact_s:
            return
        if count > self._args.brittle and self._listener is not None:
            self._fall(count)

    def _fall(self, count: int) -> None:
        """Reset all connections, and listen again some seconds later."""
        self.falls.append(
            {
                'at_s': time.time(),
                'turned_away': count,
                'running': len(self._running),
            }
        )
        self._turned_away.clear()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for writer in list(self._writers):
            sock = writer.get_extra_info('socket')
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            writer.transport.abort()
        own = asyncio.current_task()
        for task in list(self._tasks):
            if task is not own:
                task.cancel()
        self._restart = asyncio.get_running_loop().create_task(self._return())

    async def _return(self) -> None:
        await asyncio.sleep(self._args.down_s)
        await self.start()

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
        head = f'HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n'
        writer.write(head.encode() + body)
        await writer.drain()


async def main() -> None:
    """Serve until SIGTERM; print the port first."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--id', required=True)
    parser.add_argument('--slots', type=int, default=6)
    parser.add_argument('--queue', type=int, default=24)
    parser.add_argument('--brittle-queue', type=int, default=6)
    parser.add_argument('--brittle', type=int, default=10)
    parser.add_argument('--contact-s', type=float, default=3.0)
    parser.add_argument('--down-s', type=float, default=3.0)
    parser.add_argument('--work-ms', type=float, default=45)
    server = BrittleServer(parser.parse_args())
    port = await server.start()
    sys.stdout.write(f'{json.dumps({"port": port})}\n')
    sys.stdout.flush()
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()


if __name__ == '__main__':
    asyncio.run(main())
