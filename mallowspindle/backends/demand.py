"""Demand for services, from the requests of this node and of its peers."""

from collections import defaultdict
from collections.abc import Callable, Sequence
from functools import partial

from mallowspindle.backends.view import NO_WORK, BackendView
from mallowspindle.policies.fleet import Demand
from mallowspindle.policies.prefill import prefill_time_s
from mallowspindle.policies.rates import RateMeter
from mallowspindle.proxy.messages import CallerRequest
from mallowspindle.sharing.messages import PrefillDemand, WorkSum

# Span over which the demand is averaged. It covers a few bursts of prompts.
_SPAN_S = 6.0
_MS = 1000


class DemandMeters:
    """Prefill time per second that this node's callers request, by service."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._meters: dict[str, RateMeter] = defaultdict(
            partial(RateMeter, _SPAN_S, clock)
        )

    def note(
        self,
        service_name: str,
        views: Sequence[BackendView],
        request: CallerRequest,
    ) -> None:
        """Add a request to the demand for a service with these servers."""
        cached = 0
        if request.prompt:
            cached = max(
                (
                    view.prefix_cache.cached_tokens(request.prompt)
                    for view in views
                ),
                default=0,
            )
        prefill_s = prefill_time_s(request.prompt_tokens or 0, cached)
        self._meters[service_name].note(prefill_s)

    def own(self) -> dict[str, PrefillDemand]:
        """Return this node's demand by service."""
        return {
            name: PrefillDemand(int(meter.rate_per_s() * _MS))
            for name, meter in self._meters.items()
        }

    def total(
        self, service_name: str, views: Sequence[BackendView], peers: WorkSum
    ) -> Demand:
        """Return the demand for a service, that of the peers included."""
        peer_demand = peers.demands.get(service_name, PrefillDemand(0))
        own_prefill_load = self._meters[service_name].rate_per_s()
        running = sum(
            view.load().running
            + peers.loads.get(view.server.server_id, NO_WORK).running
            for view in views
        )
        slots = min((view.server.slots for view in views), default=1)
        return Demand(
            own_prefill_load + peer_demand.reading_ms / _MS, running, slots
        )
