"""Lets a peer handle a request whose servers this node does not reach."""

from aiohttp import ClientError

from mallowspindle.membership.messages import MemberInfo
from mallowspindle.proxy.connections import SendState
from mallowspindle.proxy.context import ProxyContext
from mallowspindle.proxy.continuation import Continuation
from mallowspindle.proxy.events import EventSplitter
from mallowspindle.proxy.history import AttemptHistory
from mallowspindle.proxy.messages import CallerRequest
from mallowspindle.proxy.outcomes import AttemptOutcome, outcome_of_error
from mallowspindle.proxy.records import ExchangeLog
from mallowspindle.proxy.relaying import ResponseRelay
from mallowspindle.proxy.upstream import arrivals_total
from mallowspindle.utils.telemetry import meter

# Servers of one request that accept no connection before a peer is used, also
# if others still answer this node.
_FAILED_CONNECTIONS = 2

relayed_total = meter.create_counter('requests_passed_to_peers')


class PeerHop:
    """Attempts of one request through peers; it makes one hop at most."""

    def __init__(
        self,
        context: ProxyContext,
        request: CallerRequest,
        relay: ResponseRelay,
        splitter: EventSplitter,
        continuation: Continuation,
        history: AttemptHistory,
        exchange_log: ExchangeLog,
    ) -> None:
        self._context = context
        self._request = request
        self._relay = relay
        self._splitter = splitter
        self._log = exchange_log
        self._continuation = continuation
        self._history = history
        self._failed_connections = 0

    def note_failed_connection(self) -> None:
        """Record a server that accepted no connection for this request."""
        self._failed_connections += 1

    def choose_peer(self, service_name: str) -> MemberInfo | None:
        """Return the peer for the next attempt; None to send it itself."""
        if self._request.relayed_by is not None:
            return None
        not_reached = self._context.backends.not_reached()
        if (
            service_name not in not_reached
            and self._failed_connections < _FAILED_CONNECTIONS
        ):
            return None
        return self._context.peers.choose(service_name, self._history.peers)

    async def send(
        self,
        peer: MemberInfo,
        service_name: str,
        body: bytes,
        time_left_s: float,
    ) -> AttemptOutcome:
        """Send the request to a peer; a stream is forwarded to the caller."""
        self._history.peers.add(peer.name)
        self._splitter.start_response()
        relayed_total.add(1)
        arrivals_total.add(1, {'service': service_name, 'reason': 'relayed'})
        context = self._context
        request = self._request
        headers = context.http_codec.encode_relay(
            request, time_left_s, self._splitter.last_event_id
        )
        headers.update(
            context.peers.sign(request.request_id, self._continuation.origin)
        )
        send_state = SendState()
        url = f'http://{peer.http_address}{request.target}'
        try:
            async with context.upstream.send(
                request.method, url, headers, body, send_state
            ) as answer:
                outcome = await self._relay.receive_from_peer(answer)
        except (ClientError, OSError, TimeoutError) as error:
            outcome = outcome_of_error(error, sent=send_state.sent)
        self._history.note_outcome(outcome)
        self._log.log_relayed(peer.name, outcome)
        return outcome
