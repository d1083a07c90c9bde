"""Responses to callers."""

import math
import random

from aiohttp.web import Response, StreamResponse
from multidict import CIMultiDict

from mallowspindle.proxy.messages import ResponseHead

_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_REQUEST_TIMEOUT = 408
_CONTENT_TOO_LARGE = 413
_TOO_MANY_REQUESTS = 429
_HEADERS_TOO_LARGE = 431
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504

# Retry-After is extended by a random part of up to this fraction, so that
# callers that are refused together do not retry at the same time.
_RETRY_JITTER = 0.5
# Larger bodies are written in pieces of this size.
_PIECE_BYTES = 65_536


class LargeResponse(Response):
    """A response whose body is written in pieces.

    aiohttp copies a body that it writes at once, and the copy waits for the
    caller in addition to the body.
    """

    async def write_eof(self, data: bytes = b'') -> None:
        """Write the body as the caller reads it."""
        body = self.body
        if isinstance(body, bytes) and not self._must_be_empty_body:
            for start in range(0, len(body), _PIECE_BYTES):
                await self.write(body[start : start + _PIECE_BYTES])
            self.body = None
        await super().write_eof(data)


def complete_answer(head: ResponseHead, body: bytes) -> Response:
    """Return a server's complete response, unchanged."""
    response_class = Response if len(body) <= _PIECE_BYTES else LargeResponse
    return response_class(status=head.status, headers=head.headers, body=body)


def stream(head: ResponseHead) -> StreamResponse:
    """Return the response with which a stream starts."""
    return StreamResponse(status=head.status, headers=head.headers)


def refusal(retry_after_s: float, status: int = _UNAVAILABLE) -> Response:
    """Return the response to a request that has not run and never will."""
    return _text_response(
        status, 'not run', {'Retry-After': _jittered_retry_after(retry_after_s)}
    )


def over_quota(retry_after_s: float) -> Response:
    """Return the response to a request over its organisation's quota."""
    return refusal(retry_after_s, _TOO_MANY_REQUESTS)


def unknown_outcome() -> Response:
    """Return the response to a request that may have run."""
    return _text_response(_BAD_GATEWAY, 'the server gave no whole answer')


def timed_out() -> Response:
    """Return the response to a request that no server completed in time."""
    return _text_response(_GATEWAY_TIMEOUT, 'no answer in time')


def bad_request(reason: str) -> Response:
    """Return the response to a malformed request."""
    return _text_response(_BAD_REQUEST, reason)


def unauthorized() -> Response:
    """Return the response to a request without a known API key."""
    return _text_response(_UNAUTHORIZED, 'unknown key')


def not_found() -> Response:
    """Return the response to a request that matches no route."""
    return _text_response(_NOT_FOUND, 'no such route')


def body_timed_out() -> Response:
    """Return the response to a request whose body timed out."""
    return _text_response(_REQUEST_TIMEOUT, 'the body took too long')


def body_too_large() -> Response:
    """Return the response to a body over the configured limit."""
    return _text_response(_CONTENT_TOO_LARGE, 'the body is too large')


def headers_too_large() -> Response:
    """Return the response to headers over the configured limit."""
    return _text_response(_HEADERS_TOO_LARGE, 'the headers are too large')


def _text_response(
    status: int, text: str, headers: dict[str, str] | None = None
) -> Response:
    return Response(
        status=status, text=f'{text}\n', headers=CIMultiDict(headers or {})
    )


def _jittered_retry_after(retry_after_s: float) -> str:
    jittered_s = retry_after_s * (1 + _RETRY_JITTER * random.random())
    return f'{math.ceil(jittered_s * 1000) / 1000:.3f}'
