"""Stand-in of the users' platform's store."""

import argparse
import asyncio
import base64
import struct
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from aiohttp.web import Application, Request, Response, json_response

from mallowspindle.standins.faults import (
    Faults,
    add_fault_routes,
    drop_connection,
)
from mallowspindle.standins.server import serve

_LENGTH = struct.Struct('>I')
_READ_HEAD = struct.Struct('>QQ')
_MOST_RECORDS = 500

# Offset and content of the newest record of each key.
Newest = dict[str, tuple[int, bytes]]


@dataclass(slots=True)
class Topic:
    """The kept records of a topic; ``first`` is the oldest kept offset."""

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    grown: asyncio.Condition = field(default_factory=asyncio.Condition)

    @property
    def end(self) -> int:
        """The offset that the next record gets."""
        return self.first + len(self.records)


class StoreStandin:
    """An in-memory store with conditional appends and keyed topics."""

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = defaultdict(Topic)
        self._newest: dict[str, Newest] = defaultdict(dict)
        self._faults = Faults()
        self._late: set[asyncio.Task[None]] = set()
        self._calls = 0

    def app(self) -> Application:
        """Return the HTTP application."""
        app = Application(client_max_size=8_000_000)
        app.router.add_post('/log-append', self._append)
        app.router.add_get('/log-read', self._read)
        app.router.add_get('/log-newest', self._list_newest)
        app.router.add_post('/operator/{topic}/{key}', self._put)
        app.router.add_post('/operator-trim/{topic}', self._trim)
        app.router.add_get('/calls', self._count)
        add_fault_routes(app, self._faults)
        return app

    async def _append(self, request: Request) -> Response:
        payload = await request.read()
        self._calls += 1
        if self._faults.down or self._faults.consume('refuse'):
            return Response(status=503)
        await asyncio.sleep(self._faults.slow_s)
        topic = request.query['topic']
        expected = request.query.get('at')
        if not self._faults.consume('lose_answers'):
            return await self._store(topic, _split(payload), expected)
        drop_connection(request)
        if self._faults.late_s:
            self._store_later(topic, payload, expected)
        else:
            await self._store(topic, _split(payload), expected)
        return Response(status=500)

    async def _store(
        self, name: str, records: list[bytes], expected: str | None
    ) -> Response:
        topic = self._topics[name]
        if expected is not None and int(expected) != topic.end:
            return json_response({'end': topic.end}, status=412)
        offset = topic.end
        async with topic.grown:
            topic.records.extend(records)
            topic.grown.notify_all()
        return json_response({'offset': offset, 'end': topic.end})

    def _store_later(
        self, topic: str, payload: bytes, expected: str | None
    ) -> None:
        async def wait_and_store() -> None:
            await asyncio.sleep(self._faults.late_s)
            await self._store(topic, _split(payload), expected)

        task = asyncio.create_task(wait_and_store())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _read(self, request: Request) -> Response:
        self._calls += 1
        if self._faults.down:
            return Response(status=503)
        await asyncio.sleep(self._faults.slow_s)
        topic = self._topics[request.query['topic']]
        start = int(request.query['from'])
        await _wait_for_growth(
            topic, start, int(request.query.get('wait_ms', '0')) / 1000
        )
        if start < topic.first:
            return json_response({'first': topic.first}, status=410)
        skipped = start - topic.first
        kept = topic.records[skipped : skipped + _MOST_RECORDS]
        body = b''.join(_LENGTH.pack(len(each)) + each for each in kept)
        return Response(body=_READ_HEAD.pack(topic.end, topic.first) + body)

    async def _list_newest(self, request: Request) -> Response:
        self._calls += 1
        if self._faults.down:
            return Response(status=503)
        name = request.query['topic']
        rows: list[dict[str, Any]] = [
            {
                'key': key,
                'value': base64.b64encode(content).decode(),
                'offset': offset,
            }
            for key, (offset, content) in self._newest[name].items()
        ]
        answer = {'items': rows, 'has_more': False}
        return json_response({**answer, 'end': self._topics[name].end})

    async def _put(self, request: Request) -> Response:
        """Write a keyed record as an operator or a server does."""
        name, key = request.match_info['topic'], request.match_info['key']
        content = await request.read()
        record = bytes([len(key)]) + key.encode() + content
        offset = self._topics[name].end
        await self._store(name, [record], None)
        if content:
            self._newest[name][key] = (offset, content)
        else:
            self._newest[name].pop(key, None)
        return json_response({'offset': offset})

    async def _trim(self, request: Request) -> Response:
        """Forget the history of a topic."""
        topic = self._topics[request.match_info['topic']]
        topic.first = topic.end
        topic.records.clear()
        return Response()

    async def _count(self, request: Request) -> Response:
        return json_response({'calls': self._calls})


def _split(payload: bytes) -> list[bytes]:
    records: list[bytes] = []
    position = 0
    while position < len(payload):
        length = _LENGTH.unpack_from(payload, position)[0]
        position += _LENGTH.size
        records.append(payload[position : position + length])
        position += length
    return records


async def _wait_for_growth(topic: Topic, start: int, wait_s: float) -> None:
    if topic.end > start or wait_s <= 0:
        return
    async with topic.grown:
        try:
            await asyncio.wait_for(
                topic.grown.wait_for(lambda: topic.end > start), wait_s
            )
        except TimeoutError:
            return


def main() -> None:
    """Run the stand-in of the store."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    args = parser.parse_args()
    asyncio.run(serve(StoreStandin().app(), args.host, args.port))


if __name__ == '__main__':
    main()
