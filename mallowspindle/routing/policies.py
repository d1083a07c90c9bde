"""Routing policies, which choose one of the usable servers."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import count

from mallowspindle.routing.prefixes import PrefixMemory, Prompt
from mallowspindle.routing.servers import ServerView

_MAX_CANDIDATES = 8
_DECODE_STEP_S = 0.02
_RECLAIM_RATE_PER_S = 1 / 3600


@dataclass(frozen=True, slots=True)
class RoutingQuery:
    """The input of a policy: the request, and what the servers should cache."""

    prompt: Prompt
    expected_tokens: int
    memory: PrefixMemory


Policy = Callable[[Sequence[ServerView], RoutingQuery], ServerView]
policies: dict[str, Policy] = {}
_round_robin_counter = count()


def policy(name: str) -> Callable[[Policy], Policy]:
    """Return a decorator that registers a policy under ``name``."""

    def decorate(function: Policy) -> Policy:
        policies[name] = function
        return function

    return decorate


@policy('random')
def choose_random(
    servers: Sequence[ServerView], query: RoutingQuery
) -> ServerView:
    """Choose a server at random."""
    return random.choice(servers)


@policy('round_robin')
def choose_round_robin(
    servers: Sequence[ServerView], query: RoutingQuery
) -> ServerView:
    """Choose the servers in turn."""
    return servers[next(_round_robin_counter) % len(servers)]


@policy('least_loaded')
def choose_least_loaded(
    servers: Sequence[ServerView], query: RoutingQuery
) -> ServerView:
    """Choose the server with the fewest streams.

    Streams are those of the last load report and those sent since.
    """
    return min(_shuffled(servers), key=_streams_ahead)


@policy('prefix_only')
def choose_by_prefix(
    servers: Sequence[ServerView], query: RoutingQuery
) -> ServerView:
    """Choose the server that probably caches most of the prompt."""
    return max(
        _shuffled(servers),
        key=lambda view: query.memory.cached_tokens(
            view.vm.vm_id, query.prompt
        ),
    )


@policy('predicted')
def choose_predicted(
    servers: Sequence[ServerView], query: RoutingQuery
) -> ServerView:
    """Choose the server with the lowest predicted time to the first token.

    If there are more than ``_MAX_CANDIDATES`` servers, only some are compared:
    servers that probably cache a part of the prompt, and a random sample.
    """
    return min(
        _candidates(servers, query),
        key=lambda view: predicted_cost_s(view, query),
    )


def predicted_cost_s(view: ServerView, query: RoutingQuery) -> float:
    """Return the predicted time to the first token plus the reclaim risk.

    The risk is the probability of a reclaim while the expected tokens are
    generated, times the time to recompute the whole prompt.
    """
    rate = max(1, view.report.prefill_tokens_per_s)
    cached = query.memory.cached_tokens(view.vm.vm_id, query.prompt)
    own_prefill_s = (query.prompt.tokens - cached) / rate
    queued_prefill_s = sum(
        dispatch.prompt_tokens / rate
        for dispatch in view.dispatched_since_report()
    )
    free_slots = view.report.max_batch - _streams_ahead(view)
    wait_s = (
        max(0, -free_slots) * _DECODE_STEP_S
        + view.report.running * _DECODE_STEP_S / 10
    )
    return (
        own_prefill_s
        + queued_prefill_s
        + wait_s
        + _reclaim_risk_s(view, query, rate)
    )


def _reclaim_risk_s(
    view: ServerView, query: RoutingQuery, rate: float
) -> float:
    if not view.vm.reclaimable:
        return 0
    reclaim_probability = (
        query.expected_tokens * _DECODE_STEP_S * _RECLAIM_RATE_PER_S
    )
    return reclaim_probability * query.prompt.tokens / rate


def _streams_ahead(view: ServerView) -> int:
    own = len(view.dispatched_since_report())
    return view.report.running + view.report.queued + own


def _candidates(
    servers: Sequence[ServerView], query: RoutingQuery
) -> list[ServerView]:
    if len(servers) <= _MAX_CANDIDATES:
        return _shuffled(servers)
    caching = [
        view
        for view in servers
        if query.memory.cached_tokens(view.vm.vm_id, query.prompt)
    ]
    half = _MAX_CANDIDATES // 2
    return [*caching[:half], *random.sample(list(servers), half)]


def _shuffled(servers: Sequence[ServerView]) -> list[ServerView]:
    return random.sample(list(servers), len(servers))
