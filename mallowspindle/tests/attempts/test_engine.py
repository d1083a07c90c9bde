"""Events and errors that the engine client returns for each answer."""

import asyncio
import json
from collections.abc import AsyncIterator
from itertools import accumulate

import pytest
import pytest_asyncio
from aiohttp import ClientSession
from aiohttp.test_utils import TestServer
from aiohttp.web import Application, Request, Response, StreamResponse

from mallowspindle.attempts.engine import (
    EndEvent,
    EngineClient,
    StartEvent,
    TokenEvent,
    continued_body,
)
from mallowspindle.attempts.errors import (
    AttemptNotRun,
    RequestRejected,
    StreamCut,
    StreamGone,
    StreamStalled,
    WrongAnswer,
)
from mallowspindle.attempts.request import (
    AttemptInfo,
    GenerationRequest,
    RequestKind,
)

REQUEST = GenerationRequest(
    'req-1',
    'o',
    'v/p/o',
    'letters',
    RequestKind.CHAT,
    {'messages': [{'role': 'user', 'content': 'hi'}]},
    10,
    0,
    0,
)


def _chunk(index: int, text: str, finish: str | None = None) -> bytes:
    choice = {'delta': {'content': text}, 'finish_reason': finish}
    document = {'choices': [choice], 'usage': None}
    return f'id: {index}\ndata: {json.dumps(document)}\n\n'.encode()


VALID_STREAM = _chunk(0, 'a') + _chunk(1, 'b') + _chunk(2, '', 'stop')
END_MARKER = b'data: [DONE]\n\n'

# The status, the echoed id, the body and the expected error.
ANSWERS: dict[str, tuple[int, str, bytes, type[Exception] | None]] = {
    'whole': (200, 'own', VALID_STREAM + END_MARKER, None),
    'last chunk without the end mark': (200, 'own', VALID_STREAM, None),
    'truncated before the last chunk': (200, 'own', _chunk(0, 'a'), StreamCut),
    'end mark without a last chunk': (
        200,
        'own',
        _chunk(0, 'a') + END_MARKER,
        StreamCut,
    ),
    'empty': (200, 'own', b'', StreamCut),
    'another id': (200, 'other', VALID_STREAM + END_MARKER, WrongAnswer),
    'no id': (200, '', VALID_STREAM + END_MARKER, WrongAnswer),
    'token left out': (
        200,
        'own',
        _chunk(0, 'a') + _chunk(2, 'c'),
        WrongAnswer,
    ),
    'token twice': (200, 'own', _chunk(0, 'a') * 2 + END_MARKER, WrongAnswer),
    'token after the end': (
        200,
        'own',
        VALID_STREAM + _chunk(3, 'c') + END_MARKER,
        WrongAnswer,
    ),
    'not JSON': (200, 'own', b'id: 0\ndata: {"cho\n\n', WrongAnswer),
    'no choices': (200, 'own', b'data: {"choices": []}\n\n', WrongAnswer),
    'index not a number': (200, 'own', b'id: x\n\n', WrongAnswer),
    'refused': (503, 'own', b'', AttemptNotRun),
    'too many requests': (429, 'own', b'', AttemptNotRun),
    'broken': (500, 'own', b'', StreamCut),
    'invalid': (422, 'own', b'bad', RequestRejected),
}


@pytest_asyncio.fixture
async def client() -> AsyncIterator[EngineClient]:
    async with ClientSession() as session:
        yield EngineClient(session, 0.3, 0.3)


@pytest.mark.parametrize('answer', ANSWERS.values(), ids=ANSWERS)
async def test_answer_maps_to_events_or_error(
    client: EngineClient,
    answer: tuple[int, str, bytes, type[Exception] | None],
) -> None:
    status, echoed_id, body, error = answer

    async def serve(request: Request) -> Response:
        return Response(
            status=status, body=body, headers={'X-Request-Id': echoed_id}
        )

    server = _server(serve)
    async with server:
        if error is not None:
            with pytest.raises(error):
                await _collect(client, server)
            return
        events = await _collect(client, server)
    assert events[0] == StartEvent()
    assert [
        event.text for event in events if isinstance(event, TokenEvent)
    ] == [
        'a',
        'b',
    ]
    assert isinstance(events[-1], EndEvent)


@pytest.mark.parametrize('status', ['000', '099', '101', '600', '999'])
async def test_a_status_that_is_no_final_one_is_no_rejection(
    client: EngineClient, status: str
) -> None:
    """Guards against callers that get a status like 000."""
    head = f'HTTP/1.1 {status} Odd\r\nX-Request-Id: own\r\n'
    with pytest.raises(StreamCut):
        await _collect_raw(client, f'{head}Content-Length: 3\r\n\r\nbad')


async def test_a_part_of_the_reason_of_a_rejection_is_no_reason(
    client: EngineClient,
) -> None:
    """Guards against callers that get a part of an error as a whole one."""
    head = 'HTTP/1.1 422 No\r\nX-Request-Id: own\r\n\r\n'
    with pytest.raises(RequestRejected) as raised:
        await _collect_raw(client, f'{head}{{"error": {{"message": "par')
    assert raised.value.status == 422
    assert 'par' not in str(raised.value)


async def test_every_truncated_stream_raises(client: EngineClient) -> None:
    """A connection closed after any byte must not look like an end."""
    for prefix in accumulate(bytes([byte]) for byte in VALID_STREAM[:-1]):

        async def serve(request: Request) -> StreamResponse:
            response = StreamResponse(headers={'X-Request-Id': 'own'})
            await response.prepare(request)
            await response.write(prefix)  # noqa: B023
            if request.transport is not None:
                request.transport.close()
            return response

        server = _server(serve)
        async with server:
            with pytest.raises((StreamCut, WrongAnswer)):
                await _collect(client, server)


async def test_silent_engine_raises_stalled(client: EngineClient) -> None:
    async def serve(request: Request) -> StreamResponse:
        response = StreamResponse(headers={'X-Request-Id': 'own'})
        await response.prepare(request)
        await response.write(_chunk(0, 'a'))
        await asyncio.sleep(1)
        return response

    server = _server(serve)
    async with server:
        with pytest.raises(StreamStalled):
            await _collect(client, server)


async def test_closed_port_raises_not_run_or_gone(client: EngineClient) -> None:
    attempt = _attempt('127.0.0.1:1')
    with pytest.raises(AttemptNotRun):
        await anext(client.start(REQUEST, attempt, []))
    with pytest.raises(StreamGone):
        await anext(client.resume(attempt, 0))


def test_continued_body_appends_generated_tokens() -> None:
    body = continued_body(REQUEST, ['a ', 'b '])
    assert body['max_tokens'] == 8
    assert body['messages'][-1] == {'role': 'assistant', 'content': 'a b '}


def _server(handler: object) -> TestServer:
    app = Application()
    app.router.add_post('/v1/chat/completions', handler)  # type: ignore[arg-type]
    return TestServer(app)


def _attempt(address: str) -> AttemptInfo:
    return AttemptInfo('own', 'vm', address, 0, 0, 1, False, 0, 0)


async def _collect(client: EngineClient, server: TestServer) -> list[object]:
    attempt = _attempt(f'127.0.0.1:{server.port}')
    return [event async for event in client.start(REQUEST, attempt, [])]


async def _collect_raw(client: EngineClient, answer: str) -> list[object]:
    """Return the events of an engine that sends these bytes and closes."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer.encode())
        writer.close()

    async with await asyncio.start_server(serve, '127.0.0.1', 0) as server:
        host, port = server.sockets[0].getsockname()
        attempt = _attempt(f'{host}:{port}')
        return [event async for event in client.start(REQUEST, attempt, [])]
