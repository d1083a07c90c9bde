"""HTTP client that starts, resumes and cancels streams of model engines."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from mallowspindle.attempts.errors import (
    AttemptError,
    AttemptNotRun,
    RequestRejected,
    StreamCut,
    StreamGone,
    StreamStalled,
    WrongAnswer,
)
from mallowspindle.attempts.request import AttemptInfo, GenerationRequest
from mallowspindle.utils.bodies import read_bounded, tells_its_length
from mallowspindle.utils.statuses import FINAL_STATUSES
from mallowspindle.utils.telemetry import trace_headers

_OK = 200
_SERVER_ERROR = 500
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_MAX_EVENT_BYTES = 262_144
_EVENT_SEPARATOR = b'\n\n'
_NO_INDEX = -1
_CONNECT_ERRORS = (ClientConnectorError, ConnectionTimeoutError)


class _Delta(BaseModel):
    model_config = ConfigDict(extra='ignore')
    content: str = ''


class _Choice(BaseModel):
    model_config = ConfigDict(extra='ignore')
    delta: _Delta = Field(default_factory=_Delta)
    finish_reason: str | None = None


class _PromptDetails(BaseModel):
    model_config = ConfigDict(extra='ignore')
    cached_tokens: int = 0


class _Usage(BaseModel):
    model_config = ConfigDict(extra='ignore')
    prompt_tokens: int
    prompt_tokens_details: _PromptDetails = Field(
        default_factory=_PromptDetails
    )


class _Chunk(BaseModel):
    model_config = ConfigDict(extra='ignore')
    choices: list[_Choice]
    usage: _Usage | None = None


@dataclass(frozen=True, slots=True)
class StartEvent:
    """The engine accepted the request."""


@dataclass(frozen=True, slots=True)
class TokenEvent:
    """A token and its index in the engine's stream."""

    index: int
    text: str


@dataclass(frozen=True, slots=True)
class EndEvent:
    """The engine sent the last chunk of the stream."""

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int


EngineEvent = StartEvent | TokenEvent | EndEvent


class EngineClient:
    """Client of the OpenAI-compatible interface of model engines."""

    def __init__(
        self,
        session: ClientSession,
        connect_timeout_s: float,
        token_timeout_s: float,
    ) -> None:
        self._session = session
        self._timeout = ClientTimeout(
            sock_connect=connect_timeout_s, sock_read=token_timeout_s
        )

    def start(
        self,
        request: GenerationRequest,
        attempt: AttemptInfo,
        tokens: list[str],
    ) -> AsyncGenerator[EngineEvent, None]:
        """Start a stream that continues after ``tokens``; yield its events."""
        response_context = self._session.post(
            f'http://{attempt.address}/v1/chat/completions',
            json=continued_body(request, tokens),
            headers={'X-Request-Id': attempt.attempt_id, **trace_headers()},
            timeout=self._timeout,
        )
        return _read_stream(response_context, _StartErrorMapping(), attempt, 0)

    def resume(
        self, attempt: AttemptInfo, start: int
    ) -> AsyncGenerator[EngineEvent, None]:
        """Resume an existing stream of an engine at its token ``start``."""
        response_context = self._session.get(
            f'http://{attempt.address}/v1/streams/{attempt.attempt_id}',
            params={'from': start},
            headers=trace_headers(),
            timeout=self._timeout,
        )
        return _read_stream(
            response_context, _ResumeErrorMapping(), attempt, start
        )

    async def cancel(self, attempt: AttemptInfo) -> None:
        """Cancel a stream; connection errors and timeouts are ignored."""
        url = f'http://{attempt.address}/v1/streams/{attempt.attempt_id}'
        try:
            async with self._session.delete(url, timeout=self._timeout):
                return
        except (ClientError, TimeoutError):
            return


def continued_body(
    request: GenerationRequest, tokens: list[str]
) -> dict[str, Any]:
    """Return the request body that continues an answer after ``tokens``."""
    body = {
        **request.body,
        'model': request.model,
        'stream': True,
        'priority': request.priority,
        'max_tokens': request.max_tokens - len(tokens),
    }
    if tokens:
        body['messages'] = [
            *request.body['messages'],
            {'role': 'assistant', 'content': ''.join(tokens)},
        ]
        body['continue_final_message'] = True
    return body


async def _read_reason(response: ClientResponse) -> str:
    """Return why an engine rejects a request, if the text is whole."""
    text = await read_bounded(response)
    if not tells_its_length(response):
        return 'the engine gave no whole reason'
    return text.decode('utf-8', 'replace')


def _stream_error(error: Exception) -> AttemptError:
    if isinstance(error, TimeoutError):
        return StreamStalled('no data from the engine within the token timeout')
    return StreamCut(str(error))


class _StartErrorMapping:
    """Maps statuses and connection errors when a stream is started."""

    async def check(self, response: ClientResponse) -> None:
        """Raise the ``AttemptError`` for a status other than 200."""
        if response.status in {_TOO_MANY_REQUESTS, _UNAVAILABLE}:
            raise AttemptNotRun(f'engine refused with status {response.status}')
        is_final = response.status in FINAL_STATUSES
        if response.status >= _SERVER_ERROR or not is_final:
            raise StreamCut(f'engine answered with status {response.status}')
        if response.status != _OK:
            raise RequestRejected(response.status, await _read_reason(response))

    def convert(self, error: Exception) -> AttemptError:
        """Return the ``AttemptError`` for an error of the connection."""
        if isinstance(error, _CONNECT_ERRORS):
            return AttemptNotRun(str(error))
        return _stream_error(error)


class _ResumeErrorMapping:
    """Maps statuses and connection errors when a stream is resumed."""

    async def check(self, response: ClientResponse) -> None:
        """Raise the ``AttemptError`` for a status other than 200."""
        if response.status != _OK:
            raise StreamGone(f'engine answered with status {response.status}')

    def convert(self, error: Exception) -> AttemptError:
        """Return the ``AttemptError`` for an error of the connection."""
        if isinstance(error, _CONNECT_ERRORS):
            return StreamGone(str(error))
        return _stream_error(error)


async def _read_stream(
    response_context: AbstractAsyncContextManager[ClientResponse],
    error_mapping: _StartErrorMapping | _ResumeErrorMapping,
    attempt: AttemptInfo,
    start: int,
) -> AsyncGenerator[EngineEvent, None]:
    try:
        async with response_context as response:
            await error_mapping.check(response)
            async for event in _read_events(response, attempt, start):
                yield event
    except (ClientError, TimeoutError) as error:
        raise error_mapping.convert(error) from error


async def _read_events(
    response: ClientResponse, attempt: AttemptInfo, start: int
) -> AsyncGenerator[EngineEvent, None]:
    echoed_id = response.headers.get('X-Request-Id')
    if echoed_id != attempt.attempt_id:
        raise WrongAnswer(
            f'X-Request-Id is {echoed_id}, expected {attempt.attempt_id}'
        )
    yield StartEvent()
    reader = _EventReader(start)
    async for index, payload in _server_sent_events(response):
        if payload == '[DONE]':
            break
        if payload:
            yield reader.read(index, payload)
    if not reader.ended:
        raise StreamCut('the stream ended before its last chunk')


class _EventReader:
    """Parses the events of a stream and checks the order of its tokens."""

    def __init__(self, start: int) -> None:
        self._next_index = start
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether the last chunk has been read."""
        return self._ended

    def read(self, index: int, payload: str) -> TokenEvent | EndEvent:
        """Parse the next event; raise ``WrongAnswer`` if it is out of order."""
        event = _parse_chunk(index, payload)
        if isinstance(event, EndEvent):
            self._ended = True
        elif self._ended or index not in {self._next_index, _NO_INDEX}:
            raise WrongAnswer(
                f'token index {index}, expected {self._next_index}'
            )
        self._next_index += 1
        return event


async def _server_sent_events(
    response: ClientResponse,
) -> AsyncIterator[tuple[int, str]]:
    """Yield the index and the payload of each complete event."""
    buffer = b''
    async for data in response.content.iter_any():
        text = (buffer + data).replace(b'\r\n', b'\n')
        *events, buffer = text.split(_EVENT_SEPARATOR)
        if len(buffer) > _MAX_EVENT_BYTES:
            raise WrongAnswer(
                'an event of the stream exceeds the maximum length'
            )
        for event in events:
            yield _split_event(event.decode('utf-8', errors='replace'))


def _split_event(event: str) -> tuple[int, str]:
    index = _NO_INDEX
    payload = ''
    for line in event.splitlines():
        name, _, text = line.partition(':')
        if name == 'id':
            index = _parse_index(text.strip())
        elif name == 'data':
            payload = text.strip()
    return index, payload


def _parse_index(text: str) -> int:
    if not text.isdecimal():
        raise WrongAnswer(f'event id {text!r} is not a decimal number')
    return int(text)


def _parse_chunk(index: int, payload: str) -> TokenEvent | EndEvent:
    try:
        chunk = _Chunk.model_validate_json(payload)
        choice = chunk.choices[0]
    except (ValueError, ValidationError, IndexError) as error:
        raise WrongAnswer(f'malformed chunk: {error}') from error
    if choice.finish_reason is None:
        return TokenEvent(index, choice.delta.content)
    usage = chunk.usage or _Usage(prompt_tokens=0)
    return EndEvent(
        choice.finish_reason,
        usage.prompt_tokens,
        usage.prompt_tokens_details.cached_tokens,
    )
