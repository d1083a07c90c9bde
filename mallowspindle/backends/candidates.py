"""Candidates and placements that the placement policy compares."""

from mallowspindle.backends.view import NO_WORK, BackendView
from mallowspindle.catalog.configuration import EngineModel
from mallowspindle.catalog.service import CatalogService
from mallowspindle.policies.placement import Candidate, Placement
from mallowspindle.proxy.messages import CallerRequest
from mallowspindle.sharing.messages import (
    PrefillDemand,
    ServerLoad,
    WorkSum,
)
from mallowspindle.utils.identifiers import rendezvous_order

_MS = 1000
# Number of servers assigned to a shared prefix that no server is known to
# cache, so that all nodes send it to the same few.
_OWNERS_PER_PREFIX = 2


def placement_of(
    request: CallerRequest, zone: str, unreported_s: float = 0
) -> Placement:
    """Return the placement of a request as seen from a node in ``zone``."""
    shared_tokens = sum(part.tokens for part in request.prompt[:-1])
    tokens = request.prompt_tokens or 0
    return Placement(zone, tokens, shared_tokens, unreported_s)


def engine_of(catalog: CatalogService, service_name: str) -> EngineModel | None:
    """Return the engine of a service; None if it runs plain requests."""
    configuration = catalog.configuration
    spec = configuration and configuration.services.get(service_name)
    return spec.engine if spec else None


def prefix_owners(
    usable: list[BackendView], request: CallerRequest
) -> list[str]:
    """Return the servers that the shared prefix of a prompt is assigned to."""
    shared = request.prompt[:-1]
    if not shared:
        return []
    key = ','.join(part.part_id for part in shared)
    server_ids = [view.server.server_id for view in usable]
    return rendezvous_order(key, server_ids)[:_OWNERS_PER_PREFIX]


def newest_at_each_address(views: list[BackendView]) -> list[BackendView]:
    """Return the server that started last at each address."""
    if len({view.server.address for view in views}) == len(views):
        return views
    by_start = sorted(views, key=lambda view: view.server.started_at_ms)
    return list({view.server.address: view for view in by_start}.values())


def unreported_s(peers: WorkSum, service_name: str) -> float:
    """Estimate the prefill time of what peers sent since their last reports."""
    if not peers.nodes:
        return 0
    peer_demand = peers.demands.get(service_name, PrefillDemand(0))
    return peer_demand.reading_ms / _MS * peers.ages_s / peers.nodes


def candidate_of(
    view: BackendView,
    peer_loads: dict[str, ServerLoad],
    cached_tokens: int = 0,
    *,
    is_owner: bool = False,
) -> Candidate:
    """Return a server as a candidate for placement, work of peers included."""
    server = view.server
    own = view.load()
    peers = peer_loads.get(server.server_id, NO_WORK)
    return Candidate(
        server.server_id,
        server.zone,
        server.slots,
        own.running + peers.running,
        (own.backlog_ms + peers.backlog_ms) / _MS,
        cached_tokens,
        is_owner,
        view.full,
        server.cold_remaining_s > 0,
    )
