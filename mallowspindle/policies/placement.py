"""Which server gets a request.

Load pattern: prompts of very different lengths, of which many share long
parts, on servers that read prompts one after the other between the tokens of
running requests. Sending each prompt to the server that will have read it
first keeps the time to the first token short and reads shared parts once.
Many nodes send at a time, and hear of one another's work up to a second late.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from mallowspindle.policies.prefill import prefill_time_s

# Delay that each running request adds to the tokens of the others.
_RUNNING_S = 0.0006
# Delay for each request that a server without a free slot has too many.
_QUEUED_S = 0.05
# Disadvantages in seconds of predicted time to the first token.
_OTHER_ZONE_S = 0.002
_FULL_S = 1.0
_COLD_S = 0.5
# Share of the cached tokens' time that counts for a server that should get
# the shared parts, though it may not have read them yet.
_OWNER_SHARE = 0.5


# Not frozen: one is made for each server and request, which takes a frozen
# one three times as long.
@dataclass(slots=True)
class Candidate:
    """A server that may get the request; loads include those of peers.

    ``backlog_s`` is the time that prompts ahead of the request take to read.
    """

    server_id: str
    zone: str
    slots: int
    running: int
    backlog_s: float
    cached_tokens: int
    is_owner: bool = False
    full: bool = False
    cold: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """The request to place, as seen from a node in ``zone``.

    ``unheard_s`` is the reading that other nodes have probably sent to all
    servers together since they told their work.
    """

    zone: str
    prompt_tokens: int
    shared_tokens: int
    unheard_s: float = 0


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
    """Return the share of busy slots: the baseline, blind to prompts."""
    return candidate.running / candidate.slots


@policy('predicted')
def predicted_cost_s(candidate: Candidate, placement: Placement) -> float:
    """Return the predicted seconds to the first token."""
    cached = candidate.cached_tokens
    if candidate.is_owner:
        cached = max(cached, int(placement.shared_tokens * _OWNER_SHARE))
    read_s = prefill_time_s(placement.prompt_tokens, cached)
    running = candidate.running
    queued = max(0, running + 1 - candidate.slots)
    return (
        candidate.backlog_s
        + read_s
        + running * _RUNNING_S
        + running / candidate.slots * _QUEUED_S
        + queued * _QUEUED_S
        + (candidate.zone != placement.zone) * _OTHER_ZONE_S
        + candidate.full * _FULL_S
        + candidate.cold * _COLD_S
    )


@policy('copy_keeper')
def copy_keeper_cost(candidate: Candidate, placement: Placement) -> float:
    """Return the cost of keeping a copy of a run at ``placement.zone``.

    A zone's servers may be lost together, so another zone goes first.
    """
    same_zone = candidate.zone == placement.zone
    return same_zone + candidate.full + candidate.running / candidate.slots


def choose_server(
    candidates: Sequence[Candidate],
    placement: Placement,
    name: str = 'predicted',
) -> Candidate:
    """Return the candidate of the lowest cost; equal ones at random.

    If others have sent work of which this node has not heard, all would choose
    the same few. They have sent it to the cheapest servers, which are level by
    now; so a server is drawn by how far it lies below that level. The owners of
    the shared parts, other ones for each request, compete with it.
    """
    cost = policies[name]
    if not placement.unheard_s:
        shuffled = random.sample(list(candidates), len(candidates))
        return min(shuffled, key=lambda candidate: cost(candidate, placement))
    costs = [cost(candidate, placement) for candidate in candidates]
    contenders = _drawn(costs, placement.unheard_s)
    contenders += [
        place for place, one in enumerate(candidates) if one.is_owner
    ]
    return candidates[min(contenders, key=costs.__getitem__)]


def _drawn(costs_s: Sequence[float], unheard_s: float) -> list[int]:
    """Return the place of a server by how far it lies below the level."""
    level_s = _level_s(costs_s, unheard_s)
    room_s = [max(0, level_s - cost_s) for cost_s in costs_s]
    return random.choices(range(len(room_s)), room_s)


def _level_s(costs_s: Sequence[float], unheard_s: float) -> float:
    """Return up to where ``unheard_s`` fills the servers, cheapest first."""
    level_s = 0.0
    filled_s = 0.0
    for count, cost_s in enumerate(sorted(costs_s), start=1):
        if count > 1 and cost_s >= level_s:
            break
        filled_s += cost_s
        level_s = (filled_s + unheard_s) / count
    return level_s
