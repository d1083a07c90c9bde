"""One call to a plain service and how its ending is judged."""

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
from mallowspindle.utils.telemetry import hop_span, meter, trace_headers

_UNAVAILABLE = 503
_BODILESS = frozenset((204, 304))
_RETRY_AFTER_S = 1.0

wrong_answers = meter.create_counter('wrong_answers')


@dataclass(frozen=True, slots=True)
class PlainCall:
    """A call as the caller made it; ``key`` is its idempotency key."""

    organisation: str
    organisation_path: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    key: str = ''


class PlainClient:
    """Sends calls to plain services, each on a connection of its own."""

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
        """Send the call once and return what is known of its outcome."""
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
    body = await response.read()
    if not _is_framed(response):
        return Unknown('the answer does not tell its length')
    if response.status == _UNAVAILABLE and refusal_means_not_run:
        return NotRun('the service refused', _RETRY_AFTER_S)
    echoed = response.headers.get('X-Request-Id', attempt_id)
    if echoed != attempt_id:
        wrong_answers.add(1)
        response.close()
        return Unknown('the answer belongs to another request')
    return Done(response.status, response.content_type, body)


def _is_framed(response: ClientResponse) -> bool:
    """Tell whether a cut of the answer would have shown.

    An answer that ends with its connection may have lost headers or body.
    """
    if response.method == 'HEAD' or response.status in _BODILESS:
        return True
    headers = response.headers
    return 'Content-Length' in headers or 'Transfer-Encoding' in headers
