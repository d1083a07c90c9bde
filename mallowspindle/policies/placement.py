"""Placement: which server gets a request.

Load pattern: prompts of very different lengths, many of which share long
prefixes, on servers that prefill prompts one at a time between the decoding
steps of running requests. Each prompt goes to the server that will finish its
prefill first. This keeps the time to the first token short and computes shared
prefixes once. Many nodes place requests concurrently, and each learns of the
others' work up to a second late.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from mallowspindle.policies.prefill import prefill_time_s
from mallowspindle.policies.speed import turns_of

# Delay that each running request adds to each token of the others.
_RUNNING_PENALTY_S = 0.0006
# Delay for each request beyond the slots of a server.
_QUEUED_PENALTY_S = 0.05
# Penalties in seconds of predicted time to the first token.
_OTHER_ZONE_PENALTY_S = 0.002
_FULL_PENALTY_S = 1.0
_COLD_PENALTY_S = 0.5
# Share of a shared prefix that counts as cached at the servers assigned to it,
# which may not have computed it yet.
_OWNER_CACHE_SHARE = 0.5


# Not frozen: one is created for each server and request, and creating a frozen
# dataclass takes three times as long.
@dataclass(slots=True)
class Candidate:
    """A server that may get the request; its load includes that of peers.

    ``backlog_s`` is the prefill time of the prompts ahead of the request.
    ``is_owner`` is whether the server is assigned to the shared prefix.
    ``pace`` is the expected time there for one unit of work, see
    ``policies.speed``.
    """

    server_id: str
    zone: str
    slots: int
    running: float
    backlog_s: float
    cached_tokens: int
    is_owner: bool = False
    full: bool = False
    cold: bool = False
    pace: float = 1.0


@dataclass(frozen=True, slots=True)
class Placement:
    """The request to place, as seen from a node in ``zone``.

    ``unreported_s`` is the estimated prefill time of the requests that other
    nodes have sent to all servers since they last reported their work. For a
    ``plain`` request it is the number of these requests instead.
    """

    zone: str
    prompt_tokens: int
    shared_tokens: int
    unreported_s: float = 0
    plain: bool = False


Policy = Callable[[Candidate, Placement], float]
policies: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Return a decorator that registers a cost function under ``name``."""

    def decorate(function: Policy) -> Policy:
        policies[name] = function
        return function

    return decorate


@policy('least_loaded')
def load_cost(candidate: Candidate, placement: Placement) -> float:
    """Return the share of busy slots: a baseline that ignores prompts."""
    return candidate.running / candidate.slots


@policy('predicted')
def predicted_cost_s(candidate: Candidate, placement: Placement) -> float:
    """Return the predicted time to the first token in seconds."""
    cached = candidate.cached_tokens
    if candidate.is_owner:
        cached = max(cached, int(placement.shared_tokens * _OWNER_CACHE_SHARE))
    own_prefill_s = prefill_time_s(placement.prompt_tokens, cached)
    running = candidate.running
    queued = max(0, running + 1 - candidate.slots)
    return (
        candidate.backlog_s
        + own_prefill_s
        + running * _RUNNING_PENALTY_S
        + running / candidate.slots * _QUEUED_PENALTY_S
        + queued * _QUEUED_PENALTY_S
        + (candidate.zone != placement.zone) * _OTHER_ZONE_PENALTY_S
        + candidate.full * _FULL_PENALTY_S
        + candidate.cold * _COLD_PENALTY_S
    )


@policy('prefill_pace')
def prefill_pace_cost_s(candidate: Candidate, placement: Placement) -> float:
    """Return the predicted time to the first token at the server's pace.

    Its backlog is already in the time that the server needs for it.
    """
    as_usual_s = predicted_cost_s(candidate, placement)
    own_s = as_usual_s - candidate.backlog_s
    return candidate.backlog_s + own_s * candidate.pace


@policy('plain_pace')
def plain_pace_cost_s(candidate: Candidate, placement: Placement) -> float:
    """Return the predicted time to the response of a plain request."""
    return (
        candidate.pace * turns_of(candidate.running, candidate.slots)
        + (candidate.zone != placement.zone) * _OTHER_ZONE_PENALTY_S
        + candidate.full * _FULL_PENALTY_S
        + candidate.cold * _COLD_PENALTY_S
    )


@policy('copy_keeper')
def copy_keeper_cost(candidate: Candidate, placement: Placement) -> float:
    """Return the cost of keeping a copy of a run in ``placement.zone``.

    The servers of a zone may be lost together, so other zones are preferred.
    """
    same_zone = candidate.zone == placement.zone
    return same_zone + candidate.full + candidate.running / candidate.slots


def choose_server(
    candidates: Sequence[Candidate],
    placement: Placement,
    name: str = 'predicted',
) -> Candidate:
    """Return the candidate with the lowest cost; ties are broken at random.

    If other nodes have sent work that they have not reported yet, all nodes
    would choose the same few servers. The unreported work is assumed to have
    filled the cheapest servers up to a common cost. One server is then drawn at
    random, weighted by the work that brings it to that level. It competes with
    the owners of the shared prefix, which differ by request.
    """
    cost = policies[name]
    if not placement.unreported_s:
        shuffled = random.sample(list(candidates), len(candidates))
        return min(shuffled, key=lambda candidate: cost(candidate, placement))
    costs = [cost(candidate, placement) for candidate in candidates]
    rates = [1 / candidate.pace for candidate in candidates]
    if placement.plain:
        rates = [candidate.slots / candidate.pace for candidate in candidates]
    contenders = _draw_index(costs, rates, placement.unreported_s)
    contenders += [
        index for index, each in enumerate(candidates) if each.is_owner
    ]
    return candidates[min(contenders, key=costs.__getitem__)]


def _draw_index(
    costs_s: Sequence[float], rates: Sequence[float], unreported: float
) -> list[int]:
    """Draw a server, weighted by the work that brings it to the fill level.

    Return a list with its index. ``rates`` is the work that each does in 1 s.
    """
    level_s = _fill_level_s(costs_s, rates, unreported)
    weights = [
        rate * max(0, level_s - cost_s)
        for rate, cost_s in zip(rates, costs_s, strict=True)
    ]
    return random.choices(range(len(weights)), weights)


def _fill_level_s(
    costs_s: Sequence[float], rates: Sequence[float], unreported: float
) -> float:
    """Return the cost up to which ``unreported`` work fills the cheapest servers.

    This is water-filling: the servers below the level share the work so that
    all of them reach the same cost.
    """
    level_s = 0.0
    filled = unreported
    rate_sum = 0.0
    for cost_s, rate in sorted(zip(costs_s, rates, strict=True)):
        if rate_sum and cost_s >= level_s:
            break
        filled += cost_s * rate
        rate_sum += rate
        level_s = filled / rate_sum
    return level_s
