"""Stand-in for a backend server that sends bytes without end.

The last part of a request's path names the form, and ``sound-N`` a whole answer
of N bytes. ``/seen`` lists the ids of the requests that were answered.
"""

import argparse
import asyncio
import json
import signal
import sys
from collections.abc import Iterator, Mapping
from contextlib import suppress
from itertools import repeat
from types import MappingProxyType

_PIECE_BYTES = 32_768
_ANNOUNCED_BYTES = 9_000_000_000
_SOUND = 'sound-'
_MAX_HEAD_BYTES = 65_536
_LONG_FIELD_BYTES = 8000

_UNTIL_CLOSE = b'\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_EVENTS = b'Content-Type: text/event-stream\r\n\r\n'
_FIRST_EVENT = b'id: 1\ndata: t1\n\n'


def _repeated(piece: bytes) -> bytes:
    return piece * (_PIECE_BYTES // len(piece))


def _chunk(payload: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(payload), payload)


_FILLING = bytes(_PIECE_BYTES)
_DATA_LINES = _repeated(b'data: x\n')

# What comes after the first fields of a head, and what is then repeated.
FORMS: Mapping[str, tuple[bytes, bytes]] = MappingProxyType(
    {
        'body-until-close': (_UNTIL_CLOSE, _FILLING),
        'body-with-length': (
            b'Content-Length: %d\r\n\r\n' % _ANNOUNCED_BYTES,
            _FILLING,
        ),
        'body-in-chunks': (_CHUNKED, _chunk(_FILLING)),
        'body-in-small-chunks': (_CHUNKED, _repeated(_chunk(b'x'))),
        'error-body': (_UNTIL_CLOSE, _FILLING),
        'refusal-body': (b'Not-Executed: 1\r\n\r\n', _FILLING),
        'head-fields': (b'', _repeated(b'x: y\r\n')),
        'long-head-fields': (b'', b'x: %b\r\n' % bytes(_LONG_FIELD_BYTES)),
        'head-field': (b'x: ', b'y' * _PIECE_BYTES),
        'interim-heads': (b'', b''),
        'status-line': (b'', b'x' * _PIECE_BYTES),
        'trailers': (b'%b0\r\n' % _CHUNKED, _repeated(b'x: y\r\n')),
        'chunk-extensions': (b'%b1' % _CHUNKED, _repeated(b';x=y')),
        'event': (_EVENTS, _DATA_LINES),
        'later-event': (_EVENTS + _FIRST_EVENT, _DATA_LINES),
        'event-in-chunks': (_CHUNKED, _chunk(_DATA_LINES)),
        'comment-lines': (_EVENTS, _repeated(b': x\n')),
        'comments': (_EVENTS, _repeated(b': x\n\n')),
        'empty-lines': (_EVENTS, _repeated(b'\n')),
    }
)
_STATUSES: Mapping[str, str] = MappingProxyType(
    {'error-body': '500 Failed', 'refusal-body': '503 Full'}
)
_INTERIM = _repeated(b'HTTP/1.1 100 Continue\r\n\r\n')


class EndlessServer:
    """Answers each request in the form that its path names."""

    def __init__(self, server_id: str) -> None:
        self._id = server_id
        self._seen: list[str] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._answer(reader, writer):
                await writer.drain()
        writer.transport.abort()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether another one may follow."""
        form, request_id = await _read_request(reader)
        if form == 'seen':
            fields = b'Content-Type: application/json\r\n'
            writer.write(_whole(fields, json.dumps(self._seen).encode()))
            return True
        self._seen.append(request_id)
        own = f'Request-Id: {request_id}\r\nInstance-Id: {self._id}\r\n'
        if form.startswith(_SOUND):
            size = int(form.removeprefix(_SOUND))
            writer.write(_whole(own.encode(), b'x' * size))
            return True
        for piece in _pieces(form, own.encode()):
            writer.write(piece)
            await writer.drain()
        return False


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, str]:
    """Return the last part of a request's path, and its id."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    line, *fields = head.splitlines()
    parts = [field.partition(':') for field in fields]
    headers = {name.lower(): text.strip() for name, _, text in parts}
    await reader.readexactly(int(headers.get('content-length', '0')))
    form = line.split(' ')[1].rpartition('/')[-1]
    return form, headers.get('request-id', '')


def _whole(fields: bytes, body: bytes) -> bytes:
    return b'HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b' % (
        fields,
        len(body),
        body,
    )


def _pieces(form: str, fields: bytes) -> Iterator[bytes]:
    if form == 'interim-heads':
        yield from repeat(_INTERIM)
    begin, repeated = FORMS[form]
    status = _STATUSES.get(form, '200 OK')
    if form == 'status-line':
        yield b'HTTP/1.1 200 '
    else:
        yield b'HTTP/1.1 %b\r\n%b%b' % (status.encode(), fields, begin)
    yield from repeat(repeated)


async def _run(host: str, port: int, server_id: str) -> None:
    endless = EndlessServer(server_id)
    server = await asyncio.start_server(
        endless.serve, host, port, limit=_MAX_HEAD_BYTES, backlog=1024
    )
    bound_port = server.sockets[0].getsockname()[1]
    sys.stdout.write(f'{json.dumps({"port": bound_port})}\n')
    sys.stdout.flush()
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    await stop_requested.wait()
    server.close()


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--server-id', required=True)
    args = parser.parse_args()
    asyncio.run(_run(args.host, args.port, args.server_id))


if __name__ == '__main__':
    main()
