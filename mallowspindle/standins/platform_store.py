"""Stand-in for the store of the users' platform."""

import argparse
import asyncio
import base64
import struct
import time
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from aiohttp.web import (
    Application,
    Request,
    Response,
    StreamResponse,
    json_response,
)

from mallowspindle.standins.faults import (
    Faults,
    add_fault_routes,
    drop_connection,
)
from mallowspindle.standins.server import serve

_LENGTH_PREFIX = struct.Struct('>I')
_READ_HEADER = struct.Struct('>QQ')
_MAX_RECORDS = 500
_KEYED_PREFIX = 'keyed.'

# Offset and content of the newest record by key.
NewestRecords = dict[str, tuple[int, bytes]]


@dataclass(slots=True)
class Topic:
    """The retained records of a topic; ``first`` is the oldest offset."""

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    appended: asyncio.Condition = field(default_factory=asyncio.Condition)

    @property
    def end(self) -> int:
        """The offset that the next record gets."""
        return self.first + len(self.records)


class StoreStandin:
    """An in-memory store with conditional appends and keyed topics.

    Without an ``era`` it names none in its answers.
    """

    def __init__(self, era: int | None = 1) -> None:
        self._topics: dict[str, Topic] = defaultdict(Topic)
        self._newest: dict[str, NewestRecords] = defaultdict(dict)
        self._faults = Faults()
        self._era = era
        self._history: list[tuple[float, str, bytes]] = []
        self._delayed_appends: set[asyncio.Task[None]] = set()
        self._calls = 0

    def app(self) -> Application:
        """Return the HTTP application."""
        app = Application(client_max_size=8_000_000)
        app.router.add_post('/log-append', self._append)
        app.router.add_get('/log-read', self._read)
        app.router.add_get('/log-newest', self._list_newest)
        app.router.add_post('/operator/{topic}/{key:.+}', self._put)
        app.router.add_post('/operator-trim/{topic}', self._trim)
        app.router.add_get('/calls', self._count_calls)
        app.router.add_post('/operator-restore/{age_s}', self._restore)
        add_fault_routes(app, self._faults)
        app.on_response_prepare.append(self._add_era)
        return app

    async def _add_era(
        self, request: Request, response: StreamResponse
    ) -> None:
        if self._era is not None:
            response.headers['Store-Era'] = str(self._era)

    async def _restore(self, request: Request) -> Response:
        """Come back from a copy that is ``age_s`` old, in a new era."""
        copied_at_s = time.monotonic() - float(request.match_info['age_s'])
        kept = [entry for entry in self._history if entry[0] <= copied_at_s]
        self._topics.clear()
        self._newest.clear()
        self._history = kept
        self._era = (self._era or 0) + 1
        for _, name, record in kept:
            self._put_record(name, record)
        return Response()

    def _put_record(self, name: str, record: bytes) -> None:
        topic = self._topics[name]
        topic.records.append(record)
        if not name.startswith(_KEYED_PREFIX):
            return
        key_end = 1 + record[0]
        key, content = record[1:key_end].decode(), record[key_end:]
        if content:
            self._newest[name][key] = (topic.end - 1, content)
        else:
            self._newest[name].pop(key, None)

    async def _append(self, request: Request) -> Response:
        payload = await request.read()
        self._calls += 1
        if self._faults.down or self._faults.consume('refuse'):
            return Response(status=503)
        await asyncio.sleep(self._faults.slow_s)
        topic = request.query['topic']
        expected_end = request.query.get('at')
        if not self._faults.consume('lose_answers'):
            return await self._store(
                topic, _split_records(payload), expected_end
            )
        drop_connection(request)
        if self._faults.late_s:
            self._store_later(topic, payload, expected_end)
        else:
            await self._store(topic, _split_records(payload), expected_end)
        return Response(status=500)

    async def _store(
        self, name: str, records: list[bytes], expected_end: str | None
    ) -> Response:
        topic = self._topics[name]
        if expected_end is not None and int(expected_end) != topic.end:
            return json_response({'end': topic.end}, status=412)
        offset = topic.end
        async with topic.appended:
            for record in records:
                self._history.append((time.monotonic(), name, record))
                self._put_record(name, record)
            topic.appended.notify_all()
        return json_response({'offset': offset, 'end': topic.end})

    def _store_later(
        self, topic: str, payload: bytes, expected_end: str | None
    ) -> None:
        async def wait_and_store() -> None:
            await asyncio.sleep(self._faults.late_s)
            await self._store(topic, _split_records(payload), expected_end)

        task = asyncio.create_task(wait_and_store())
        self._delayed_appends.add(task)
        task.add_done_callback(self._delayed_appends.discard)

    async def _read(self, request: Request) -> Response:
        self._calls += 1
        if self._faults.down:
            return Response(status=503)
        await asyncio.sleep(self._faults.slow_s)
        topic = self._topics[request.query['topic']]
        start = int(request.query['from'])
        await _wait_for_append(
            topic, start, int(request.query.get('wait_ms', '0')) / 1000
        )
        if not topic.first <= start <= topic.end:
            return json_response({'first': topic.first}, status=410)
        first_index = start - topic.first
        page = topic.records[first_index : first_index + _MAX_RECORDS]
        body = b''.join(
            _LENGTH_PREFIX.pack(len(record)) + record for record in page
        )
        return Response(body=_READ_HEADER.pack(topic.end, topic.first) + body)

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
        """Write a keyed record as operators and servers do.

        Empty content deletes the key.
        """
        name, key = request.match_info['topic'], request.match_info['key']
        content = await request.read()
        record = bytes([len(key)]) + key.encode() + content
        offset = self._topics[name].end
        await self._store(name, [record], None)
        return json_response({'offset': offset})

    async def _trim(self, request: Request) -> Response:
        """Delete all records of a topic; the next offset stays."""
        topic = self._topics[request.match_info['topic']]
        topic.first = topic.end
        topic.records.clear()
        return Response()

    async def _count_calls(self, request: Request) -> Response:
        return json_response({'calls': self._calls})


def _split_records(payload: bytes) -> list[bytes]:
    records: list[bytes] = []
    position = 0
    while position < len(payload):
        length = _LENGTH_PREFIX.unpack_from(payload, position)[0]
        position += _LENGTH_PREFIX.size
        records.append(payload[position : position + length])
        position += length
    return records


async def _wait_for_append(topic: Topic, start: int, wait_s: float) -> None:
    if topic.end > start or wait_s <= 0:
        return
    async with topic.appended:
        try:
            await asyncio.wait_for(
                topic.appended.wait_for(lambda: topic.end > start), wait_s
            )
        except TimeoutError:
            return


def main() -> None:
    """Run the store stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    args = parser.parse_args()
    asyncio.run(serve(StoreStandin().app(), args.host, args.port))


if __name__ == '__main__':
    main()
