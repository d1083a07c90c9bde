"""A sound backend server for plain requests, which records what it runs.

It answers 503 with ``Not-Executed`` beyond its slots and queue, and 421 to a
request for another instance. A run that has begun goes on to its end.
"""

import argparse
import asyncio
import json
import signal
import sys
import time
from typing import Any


class Server:
    """One server of a service."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self._slots = asyncio.Semaphore(args.slots)
        self._waiting = 0
        self._running = 0
        self.runs: list[dict[str, Any]] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection, one after the other."""
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
        method, target, _ = first.split(' ', 2)
        headers = {}
        for line in filter(None, lines):
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        if target == '/runs':
            await self._answer(writer, 200, {}, json.dumps(self.runs).encode())
            return True
        request_id = headers.get('request-id', '')
        own = {'Request-Id': request_id, 'Instance-Id': self._args.id}
        load = f'{self._running},{self._waiting},{self._args.slots}'
        own['Server-Load'] = load
        if headers.get('expect-instance', self._args.id) != self._args.id:
            await self._answer(writer, 421, own, b'')
            return True
        if self._waiting >= self._args.queue:
            await self._answer(writer, 503, {**own, 'Not-Executed': '1'}, b'')
            return True
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            self.runs.append(
                {
                    'id': request_id,
                    'method': method,
                    'target': target,
                    'body': len(body),
                    'tenant': headers.get('tenant', ''),
                    'at_s': time.time(),
                }
            )
            try:
                await asyncio.sleep(self._args.work_ms / 1000)
            finally:
                self._running -= 1
        proof = {'Response-Signature': f'{self._args.id}.{request_id}'}
        await self._answer(writer, 200, {**own, **proof}, b'x' * 800)
        return True

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
    parser.add_argument('--work-ms', type=float, default=22.5)
    server = Server(parser.parse_args())
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    sys.stdout.write(f'{json.dumps({"port": port})}\n')
    sys.stdout.flush()
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()


if __name__ == '__main__':
    asyncio.run(main())
