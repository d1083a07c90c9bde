"""Responses that callers get."""

import math
import random

from aiohttp.web import Response, StreamResponse
from multidict import CIMultiDict

from mallowspindle.proxy.messages import AnswerHead

_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_TOO_MANY = 429
_HEADERS_TOO_LARGE = 431
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504

# Callers that are refused together come back spread over this part of the
# pause more.
_SPREAD = 0.5


def complete_answer(head: AnswerHead, body: bytes) -> Response:
    """Return a server's whole answer, unchanged."""
    return Response(status=head.status, headers=head.headers, body=body)


def stream(head: AnswerHead) -> StreamResponse:
    """Return the response of a stream that begins."""
    return StreamResponse(status=head.status, headers=head.headers)


def refusal(pause_s: float, status: int = _UNAVAILABLE) -> Response:
    """Return the answer to a request that has not run and never will."""
    return _plain(status, 'not run', {'Retry-After': _spread_pause(pause_s)})


def over_quota(pause_s: float) -> Response:
    """Return the answer to a request beyond its organisation's quota."""
    return refusal(pause_s, _TOO_MANY)


def unknown_outcome() -> Response:
    """Return the answer to a request that may have run."""
    return _plain(_BAD_GATEWAY, 'the server gave no whole answer')


def timed_out() -> Response:
    """Return the answer to a request that a server did not end in time."""
    return _plain(_GATEWAY_TIMEOUT, 'no answer in time')


def bad_request(reason: str) -> Response:
    """Return the answer to a request that can't be read."""
    return _plain(_BAD_REQUEST, reason)


def unauthorized() -> Response:
    """Return the answer to a request without a known key."""
    return _plain(_UNAUTHORIZED, 'unknown key')


def not_found() -> Response:
    """Return the answer to a request that matches no route."""
    return _plain(_NOT_FOUND, 'no such route')


def body_too_late() -> Response:
    """Return the answer to a request whose body did not come in time."""
    return _plain(_REQUEST_TIMEOUT, 'the body took too long')


def body_too_large() -> Response:
    """Return the answer to a body beyond the operators' limit."""
    return _plain(_TOO_LARGE, 'the body is too large')


def headers_too_large() -> Response:
    """Return the answer to headers beyond the operators' limit."""
    return _plain(_HEADERS_TOO_LARGE, 'the headers are too large')


def _plain(
    status: int, text: str, headers: dict[str, str] | None = None
) -> Response:
    return Response(
        status=status, text=f'{text}\n', headers=CIMultiDict(headers or {})
    )


def _spread_pause(pause_s: float) -> str:
    spread_s = pause_s * (1 + _SPREAD * random.random())
    return f'{math.ceil(spread_s * 1000) / 1000:.3f}'
