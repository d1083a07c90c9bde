"""Client for calls to plain services; classifies their responses."""

from dataclasses import dataclass

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)
from opentelemetry.trace import SpanKind

from mallowspindle.outcomes import Done, NotRun, Outcome, Unknown
from mallowspindle.utils.bodies import read_bounded, tells_its_length
from mallowspindle.utils.statuses import FINAL_STATUSES
from mallowspindle.utils.telemetry import hop_span, meter, trace_headers

_SERVICE_UNAVAILABLE = 503
_RETRY_AFTER_S = 1.0
# Answers are kept until their callers have them.
_MAX_BODY_BYTES = 8_000_000

wrong_answers = meter.create_counter('wrong_answers')


@dataclass(frozen=True, slots=True)
class PlainCall:
    """A caller's call; ``key`` is its idempotency key, empty for none."""

    organisation: str
    organisation_path: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    key: str = ''


class PlainClient:
    """Sends calls to plain services, each on its own connection."""

    def __init__(
        self, session: ClientSession, connect_timeout_s: float, timeout_s: float
    ) -> None:
        self._session = session
        self._timeout = ClientTimeout(
            total=timeout_s, sock_connect=connect_timeout_s
        )

    async def close(self) -> None:
        """Close the session."""
        await self._session.close()

    async def send(
        self,
        call: PlainCall,
        address: str,
        attempt_id: str,
        *,
        refusal_means_not_run: bool,
    ) -> Outcome:
        """Send the call once and return its outcome.

        A failed connection and, with ``refusal_means_not_run``, a response
        with status 503 mean that the call was not run. A response that is
        lost, truncated, meant for another request or without a final status
        leaves the outcome unknown.
        """
        headers = {
            'X-Request-Id': attempt_id,
            'Content-Type': call.content_type,
            **({'Idempotency-Key': call.key} if call.key else {}),
        }
        with hop_span('backend server', SpanKind.CLIENT):
            try:
                async with self._session.request(
                    call.method,
                    f'http://{address}/{call.path}',
                    data=call.body,
                    headers={**headers, **trace_headers()},
                    timeout=self._timeout,
                    allow_redirects=False,
                ) as response:
                    return await _classify_response(
                        response, attempt_id, refusal_means_not_run
                    )
            except (ClientConnectorError, ConnectionTimeoutError) as error:
                return NotRun(f'not connected: {error}', _RETRY_AFTER_S)
            except (ClientError, TimeoutError) as error:
                return Unknown(f'answer lost: {type(error).__name__}')


async def _classify_response(
    response: ClientResponse, attempt_id: str, refusal_means_not_run: bool
) -> Outcome:
    body = await read_bounded(response, _MAX_BODY_BYTES)
    if not tells_its_length(response):
        return Unknown('the answer does not tell its length')
    if response.status not in FINAL_STATUSES:
        response.close()
        return Unknown(f'the answer has the status {response.status:03}')
    if response.status == _SERVICE_UNAVAILABLE and refusal_means_not_run:
        return NotRun('the service refused', _RETRY_AFTER_S)
    echoed = response.headers.get('X-Request-Id', attempt_id)
    if echoed != attempt_id:
        wrong_answers.add(1)
        response.close()
        return Unknown('the answer belongs to another request')
    return Done(response.status, response.content_type, body)
