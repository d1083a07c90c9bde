"""Problem documents (RFC 9457) for refused and failed requests."""

import json
import math

from aiohttp.web import Response

from mallowspindle.outcomes import Failed, NotRun, Unknown

PROBLEM_TYPE = 'application/problem+json'
_PREFIX = 'urn:mallowspindle:problem'
_UNAVAILABLE = 503
_BAD_GATEWAY = 502


class ProblemError(Exception):
    """An error that is answered with a problem document."""

    def __init__(
        self,
        status: int,
        kind: str,
        detail: str,
        retry_after_s: float = 0,
        alternatives: tuple[str, ...] = (),
    ) -> None:
        super().__init__(detail)
        self._status = status
        self._kind = kind
        self._detail = detail
        self._retry_after_s = retry_after_s
        self._alternatives = alternatives

    def as_response(self) -> Response:
        """Return the problem as an HTTP response."""
        return problem(
            self._status,
            self._kind,
            self._detail,
            self._retry_after_s,
            self._alternatives,
        )


def problem(
    status: int,
    kind: str,
    detail: str,
    retry_after_s: float = 0,
    alternatives: tuple[str, ...] = (),
) -> Response:
    """Return a response with a problem document.

    Its ``error`` member repeats the problem in the format of OpenAI clients.
    """
    document: dict[str, object] = {
        'type': f'{_PREFIX}:{kind}',
        'title': kind.replace('-', ' '),
        'status': status,
        'detail': detail,
        'error': {'message': detail, 'type': kind, 'code': kind},
    }
    headers = {}
    if retry_after_s:
        headers['Retry-After'] = str(math.ceil(retry_after_s))
        document['retry_after_s'] = retry_after_s
    if alternatives:
        document['addresses'] = list(alternatives)
    return Response(
        status=status,
        body=json.dumps(document).encode(),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


def not_run_response(
    outcome: NotRun, alternatives: tuple[str, ...] = ()
) -> Response:
    """Return the response to a request that did not run."""
    return problem(
        _UNAVAILABLE,
        'not-run',
        outcome.reason,
        outcome.retry_after_s,
        alternatives,
    )


def unknown_response(outcome: Unknown) -> Response:
    """Return the response to a call that may have run."""
    return problem(_BAD_GATEWAY, 'unknown-outcome', outcome.reason)


def failed_response(outcome: Failed) -> Response:
    """Return the response to a request that failed."""
    return problem(outcome.status, 'failed', outcome.reason)
