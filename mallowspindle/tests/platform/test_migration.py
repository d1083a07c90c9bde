"""Moves of runs between servers that answer late, or without end."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import contextmanager

import pytest
import pytest_asyncio
from aiohttp import ClientSession

from mallowspindle.adapter import (
    DutyError,
    MigrationError,
    NobodyListens,
    NoConnection,
    RunsReport,
    ScaleRequest,
)
from mallowspindle.config.platform import PlatformSettings
from mallowspindle.daemon import parse_settings
from mallowspindle.platform.duties import PlatformDuties
from mallowspindle.platform.service import PlatformService

_SETTINGS = """
[node]
interface = platform
name = entry-1
zone = a
[listen]
callers = 127.0.0.1:0
readiness = 127.0.0.1:0
addresses = 127.0.0.1:0
peers = 127.0.0.1:0
[peers]
shared_key = a-shared-key-for-loopback
[store]
address = 127.0.0.1:9
"""
_MAX_READ_BYTES = 20_000_000
_PART_BYTES = 100_000
_HEAD = 'HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}'

Answer = Callable[[asyncio.StreamWriter], Awaitable[None]]


class _Server:
    """Answers each request with the next of some answers.

    If it ``repeats``, it writes the former answer of a connection once more
    when the next request arrives there.
    """

    def __init__(self) -> None:
        self.connections = 0
        self.answers: list[Answer] = []
        self.repeats = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.connections += 1
        former: Answer | None = None
        try:
            while head := await reader.readuntil(b'\r\n\r\n'):
                length = head.lower().partition(b'content-length: ')[2]
                await reader.readexactly(int((length.split() or [b'0'])[0]))
                if self.repeats and former is not None:
                    await former(writer)
                former = self.answers.pop(0)
                await former(writer)
        except (IndexError, OSError, asyncio.IncompleteReadError):
            writer.close()


@pytest_asyncio.fixture
async def service() -> AsyncIterator[PlatformService]:
    """Construct the service of the interface."""
    settings = parse_settings(_SETTINGS)
    assert isinstance(settings, PlatformSettings)
    service = PlatformService(settings, ClientSession())
    yield service
    await service.stop()


@pytest_asyncio.fixture
async def server() -> AsyncIterator[tuple[_Server, str]]:
    """Start a server; yield it with its address."""
    server = _Server()
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    host, port = listener.sockets[0].getsockname()
    yield server, f'{host}:{port}'
    listener.close()


def _answer(body: str, status: str = '200 OK') -> Answer:
    async def send(writer: asyncio.StreamWriter) -> None:
        writer.write(_HEAD.format(status, len(body), body).encode())

    return send


@contextmanager
def silent_address() -> Iterator[str]:
    """Yield an address that does not react, since its queue is full."""
    with socket.socket() as listener, socket.socket() as filler:
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        filler.connect(listener.getsockname())
        yield f'127.0.0.1:{listener.getsockname()[1]}'


async def test_a_late_answer_to_a_move_is_not_taken_for_the_next(
    service: PlatformService, server: tuple[_Server, str]
) -> None:
    """Guards against a run that goes on from the memory of another run."""
    standin, address = server
    standin.repeats = True
    standin.answers = [_answer('{"handle": "h1"}'), _answer('{"handle": "h2"}')]
    first = await service.migration.copy(address, 'r1', '10.0.0.1:80')
    second = await service.migration.copy(address, 'r2', '10.0.0.1:80')
    assert (first.handle, second.handle) == ('h1', 'h2')
    assert standin.connections == 2


async def test_an_answer_without_end_is_read_in_part_only(
    service: PlatformService, server: tuple[_Server, str]
) -> None:
    """Guards against a node that runs out of memory."""
    standin, address = server
    sent: list[int] = []

    async def send(writer: asyncio.StreamWriter) -> None:
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
        while not writer.is_closing():
            sent.append(_PART_BYTES)
            writer.write(b' ' * _PART_BYTES)
            await writer.drain()

    standin.answers = [send]
    with pytest.raises(MigrationError):
        await service.migration.copy(address, 'r1', '10.0.0.1:80')
    assert sum(sent) < _MAX_READ_BYTES


@pytest.mark.parametrize(
    'body',
    [
        r'{"handle": "h1\r\nTenant: farm"}',
        '{"handle": "h 1"}',
        '{"handle": ""}',
        f'{{"handle": "{"h" * 1000}"}}',
        '[' * 100_000,
    ],
)
async def test_a_handle_that_fits_into_no_header_is_refused(
    service: PlatformService, server: tuple[_Server, str], body: str
) -> None:
    standin, address = server
    standin.answers = [_answer(body)]
    with pytest.raises(MigrationError):
        await service.migration.copy(address, 'r1', '10.0.0.1:80')


@pytest.mark.parametrize('left', ['1e400', '1e300', '-5', '"1"', 'NaN'])
async def test_a_time_until_reclaim_out_of_range_is_refused(
    service: PlatformService, server: tuple[_Server, str], left: str
) -> None:
    standin, address = server
    standin.answers = [_answer(f'{{"leaves_ms": {left}}}')]
    with pytest.raises(MigrationError):
        await service.migration.time_until_reclaim_s(address)


async def test_runs_are_reported_with_the_lifetime_of_the_server(
    service: PlatformService, server: tuple[_Server, str]
) -> None:
    standin, address = server
    standin.answers = [
        _answer('{"id": "i-1", "born": 7, "runs": [["r 1", 20, 3, 5]]}')
    ]
    report = await service.migration.report_runs(address)
    assert report == RunsReport(frozenset(('r 1',)), 'i-1', 7)


@pytest.mark.parametrize(
    'answer',
    [
        _answer('{"running": 0}'),
        _answer('{"runs": [7]}'),
        _answer('{"runs": [[7]]}'),
        _answer('{"runs": [], "born": "7"}'),
        _answer('', '404 Not Found'),
        _answer('{"runs": []}', '000 Zero'),
    ],
)
async def test_a_report_that_lists_no_runs_tells_nothing_of_them(
    service: PlatformService, server: tuple[_Server, str], answer: Answer
) -> None:
    """Guards against a run that seems to have ended and goes on."""
    standin, address = server
    standin.answers = [answer]
    with pytest.raises(MigrationError) as raised:
        await service.migration.report_runs(address)
    assert raised.type is MigrationError


async def test_an_ended_server_is_told_from_a_silent_one(
    service: PlatformService,
) -> None:
    with socket.socket() as unused, silent_address() as silent:
        unused.bind(('127.0.0.1', 0))
        ended = f'127.0.0.1:{unused.getsockname()[1]}'
        with pytest.raises(NobodyListens):
            await service.migration.report_runs(ended)
        with pytest.raises(NoConnection):
            await service.migration.report_runs(silent)


async def test_a_refused_order_that_is_cut_tells_no_reason(
    server: tuple[_Server, str],
) -> None:
    """Guards against a stale fencing number that seems to lack servers."""
    standin, address = server

    async def send(writer: asyncio.StreamWriter) -> None:
        writer.write(b'HTTP/1.1 409 Conflict\r\n\r\n{"reason": "fen')
        writer.close()

    standin.answers = [send]
    async with ClientSession() as session:
        duties = PlatformDuties(session, address, 'entry-1', 1)
        with pytest.raises(DutyError) as raised:
            await duties.scale_service(1, ScaleRequest('models', 'a', 2, False))
    assert raised.type is DutyError
