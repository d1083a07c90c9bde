"""What the parts of one exchange share."""

import asyncio
from dataclasses import dataclass
from typing import Self

from aiohttp.web import BaseRequest

from mallowspindle.catalog.configuration import Organisation, Route
from mallowspindle.proxy.context import ProxyContext
from mallowspindle.proxy.continuation import Continuation
from mallowspindle.proxy.events import EventSplitter
from mallowspindle.proxy.history import AttemptHistory
from mallowspindle.proxy.hops import PeerHop
from mallowspindle.proxy.messages import CallerRequest
from mallowspindle.proxy.outcomes import Answered
from mallowspindle.proxy.records import ExchangeLog
from mallowspindle.proxy.relaying import ResponseRelay

# Part of the caller's timeout reserved for sending the response back.
_RESPONSE_RESERVE_S = 0.02


@dataclass(slots=True)
class ExchangeState:
    """One request of a caller, and what has become of it so far.

    ``deadline_s`` is on the clock of the event loop. ``server_error`` is the
    last error response of a server.
    """

    context: ProxyContext
    web_request: BaseRequest
    request: CallerRequest
    route: Route
    organisation: Organisation | None
    deadline_s: float
    splitter: EventSplitter
    continuation: Continuation
    relay: ResponseRelay
    log: ExchangeLog
    hop: PeerHop
    history: AttemptHistory
    server_error: Answered | None = None

    @classmethod
    def begin(
        cls,
        context: ProxyContext,
        web_request: BaseRequest,
        request: CallerRequest,
        route: Route,
        organisation: Organisation | None,
        began_at_s: float,
    ) -> Self:
        """Return the state of a request that has just been admitted."""
        patience_s = request.patience_s
        limit_s = route.timeout_s
        if patience_s is not None:
            limit_s = min(limit_s, patience_s - _RESPONSE_RESERVE_S)
        splitter = EventSplitter(request.last_event_id)
        continuation = Continuation(
            context.streams, request, route, organisation
        )
        relay = ResponseRelay(
            context,
            web_request,
            request,
            route,
            organisation,
            splitter,
            continuation,
        )
        exchange_log = ExchangeLog(request, route, began_at_s, splitter)
        history = AttemptHistory()
        return cls(
            context=context,
            web_request=web_request,
            request=request,
            route=route,
            organisation=organisation,
            deadline_s=began_at_s + limit_s,
            splitter=splitter,
            continuation=continuation,
            relay=relay,
            log=exchange_log,
            hop=PeerHop(
                context,
                request,
                relay,
                splitter,
                continuation,
                history,
                exchange_log,
            ),
            history=history,
        )

    @property
    def max_runs(self) -> int:
        """How often the request may run, and so at how many servers."""
        return self.request.max_runs or self.route.max_attempts

    def time_left_s(self) -> float:
        """Return the seconds until the request has to be answered."""
        return self.deadline_s - asyncio.get_running_loop().time()
