"""Relays streamed answers from the entry VM that owns the request."""

import logging

from aiohttp import (
    ClientError,
    ClientPayloadError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
)
from aiohttp.web import Request, StreamResponse
from opentelemetry.trace import SpanKind

from mallowspindle.entry.problems import ProblemError
from mallowspindle.utils.bodies import tells_its_length
from mallowspindle.utils.telemetry import hop_span, trace_headers

log = logging.getLogger(__name__)

_UNAVAILABLE = 503
_CONNECT_TIMEOUT_S = 1.0
_RETRY_AFTER_S = 1.0
_REQUEST_HEADERS = ('Authorization', 'Last-Event-ID')
_RESPONSE_HEADERS = ('Content-Type', 'X-Request-Id', 'Retry-After')


class AnswerRelay:
    """Relays an answer from the owner of a request to the caller.

    A redirect does not work: HTTP clients drop the ``Authorization`` header
    when the address changes.
    """

    def __init__(self, session: ClientSession) -> None:
        self._session = session

    async def forward(self, request: Request, owner: str) -> StreamResponse:
        """Forward the request to the owner's HTTP address, relay the answer.

        The caller's stream ends where the owner's does, and breaks off where
        that does; the caller can continue it with ``Last-Event-ID``.
        """
        headers = {
            name: request.headers[name]
            for name in _REQUEST_HEADERS
            if name in request.headers
        }
        with hop_span('relay', SpanKind.CLIENT):
            try:
                return await self._forward_stream(request, owner, headers)
            except ClientError as error:
                log.info('owner %s not reached: %s', owner, error)
                raise ProblemError(
                    _UNAVAILABLE,
                    'moving',
                    'the request is being taken over',
                    _RETRY_AFTER_S,
                ) from error

    async def _forward_stream(
        self, request: Request, owner: str, headers: dict[str, str]
    ) -> StreamResponse:
        async with self._session.get(
            f'http://{owner}{request.path}',
            headers={**headers, **trace_headers()},
            timeout=ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S),
        ) as upstream:
            response = StreamResponse(status=upstream.status)
            response.headers.update(
                {
                    name: upstream.headers[name]
                    for name in _RESPONSE_HEADERS
                    if name in upstream.headers
                }
            )
            await response.prepare(request)
            try:
                await _copy_body(upstream, response)
            except (ClientError, ConnectionResetError) as error:
                log.info('answer of owner %s broke off: %s', owner, error)
                if request.transport is not None:
                    # Without its last chunk, it can't seem complete.
                    request.transport.close()
            return response


async def _copy_body(
    upstream: ClientResponse, response: StreamResponse
) -> None:
    """Write a body as it arrives; raise ``ClientError`` if it breaks off."""
    async for data in upstream.content.iter_any():
        await response.write(data)
    if not tells_its_length(upstream):
        raise ClientPayloadError('the answer does not tell its length')
