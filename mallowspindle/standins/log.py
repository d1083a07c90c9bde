"""Stand-in for the append-only log: streams with consecutive offsets."""

import argparse
import asyncio
import time
from collections import defaultdict, deque
from dataclasses import dataclass, field

from aiohttp.web import Application, Request, Response

from mallowspindle.standins.faults import (
    Faults,
    add_fault_routes,
    drop_connection,
)
from mallowspindle.standins.server import serve
from mallowspindle.utils.codec import pack

# Offset, time of the append and payload.
Record = tuple[int, float, bytes]


@dataclass(slots=True)
class Stream:
    """The retained records of one stream."""

    records: deque[Record] = field(default_factory=deque)
    next_offset: int = 0
    appended: asyncio.Condition = field(default_factory=asyncio.Condition)

    @property
    def first_offset(self) -> int:
        """The offset of the oldest retained record."""
        return self.records[0][0] if self.records else self.next_offset


class LogStandin:
    """An in-memory log with limited retention and append rate."""

    def __init__(self, retention_s: float, appends_per_s: float) -> None:
        self._streams: dict[str, Stream] = defaultdict(Stream)
        self._retention_s = retention_s
        self._interval_s = 1 / appends_per_s
        self._next_append_at_s = 0.0
        self._faults = Faults()
        self._delayed_appends: set[asyncio.Task[None]] = set()
        self._appends = 0
        self._appended_bytes = 0

    def app(self) -> Application:
        """Return the HTTP application."""
        app = Application(client_max_size=32_000_000)
        app.router.add_post('/streams/{name}', self._append)
        app.router.add_get('/streams/{name}', self._read)
        app.router.add_post('/expire', self._expire)
        app.router.add_get('/stats', self._stats)
        add_fault_routes(app, self._faults)
        return app

    async def _append(self, request: Request) -> Response:
        payload = await request.read()
        if self._faults.down or self._faults.consume('refuse'):
            return Response(status=503)
        drops_answer = self._faults.consume('lose_answers')
        await self._wait_for_append_slot()
        name = request.match_info['name']
        if drops_answer and self._faults.late_s:
            self._store_later(self._streams[name], payload)
            drop_connection(request)
            return Response(status=500)
        offset = await self._store(self._streams[name], payload)
        if drops_answer:
            drop_connection(request)
        await asyncio.sleep(self._faults.slow_s)
        return _answer({'offset': offset})

    def _store_later(self, stream: Stream, payload: bytes) -> None:
        """Store an append after its connection was closed."""

        async def wait_and_store() -> None:
            await asyncio.sleep(self._faults.late_s)
            await self._store(stream, payload)

        task = asyncio.create_task(wait_and_store())
        self._delayed_appends.add(task)
        task.add_done_callback(self._delayed_appends.discard)

    async def _store(self, stream: Stream, payload: bytes) -> int:
        offset = stream.next_offset
        stream.records.append((offset, time.time(), payload))
        stream.next_offset += 1
        self._appends += 1
        self._appended_bytes += len(payload)
        async with stream.appended:
            stream.appended.notify_all()
        return offset

    async def _read(self, request: Request) -> Response:
        if self._faults.down:
            return Response(status=503)
        stream = self._streams[request.match_info['name']]
        self._drop_expired(stream)
        start = int(request.query.get('from', '0'))
        await _wait_for_append(
            stream, start, float(request.query.get('wait_s', '0'))
        )
        await asyncio.sleep(self._faults.slow_s)
        if start < stream.first_offset:
            return _answer({'first': stream.first_offset}, status=410)
        limit = int(request.query.get('limit', '500'))
        records = [record for record in stream.records if record[0] >= start][
            :limit
        ]
        end = records[-1][0] + 1 if records else start
        return _answer(
            {'first': stream.first_offset, 'next': end, 'records': records}
        )

    async def _expire(self, request: Request) -> Response:
        parameters = await request.json()
        stream = self._streams[parameters['stream']]
        while stream.records and stream.records[0][0] < parameters['before']:
            stream.records.popleft()
        return Response()

    async def _stats(self, request: Request) -> Response:
        return _answer(
            {
                'appends': self._appends,
                'bytes': self._appended_bytes,
                'streams': {
                    name: stream.next_offset
                    for name, stream in self._streams.items()
                },
            }
        )

    async def _wait_for_append_slot(self) -> None:
        now = time.monotonic()
        self._next_append_at_s = (
            max(now, self._next_append_at_s) + self._interval_s
        )
        await asyncio.sleep(self._next_append_at_s - now - self._interval_s)

    def _drop_expired(self, stream: Stream) -> None:
        cutoff_s = time.time() - self._retention_s
        while stream.records and stream.records[0][1] < cutoff_s:
            stream.records.popleft()


async def _wait_for_append(stream: Stream, start: int, wait_s: float) -> None:
    if stream.next_offset > start or wait_s <= 0:
        return
    async with stream.appended:
        try:
            await asyncio.wait_for(
                stream.appended.wait_for(lambda: stream.next_offset > start),
                wait_s,
            )
        except TimeoutError:
            return


def _answer(body: dict[str, object], status: int = 200) -> Response:
    return Response(
        status=status, body=pack(body), content_type='application/msgpack'
    )


def main() -> None:
    """Run the log stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--retention-s', type=float, default=86_400)
    parser.add_argument('--appends-per-s', type=float, default=400)
    args = parser.parse_args()
    standin = LogStandin(args.retention_s, args.appends_per_s)
    asyncio.run(serve(standin.app(), args.host, args.port))


if __name__ == '__main__':
    main()
