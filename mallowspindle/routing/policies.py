"""Registered policies that choose one of the usable servers."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import count

from mallowspindle.routing.prefixes import PrefixMemory, Prompt
from mallowspindle.routing.servers import ServerView

_CANDIDATES = 8
_STEP_S = 0.02
_RECLAIM_RATE_PER_S = 1 / 3600


@dataclass(frozen=True, slots=True)
class Choice:
    """What a policy may look at."""

    prompt: Prompt
    expected_tokens: int
    memory: PrefixMemory


Policy = Callable[[Sequence[ServerView], Choice], ServerView]
policies: dict[str, Policy] = {}
_turns = count()


def policy(name: str) -> Callable[[Policy], Policy]:
    """Return a decorator that registers a policy under ``name``."""

    def decorate(function: Policy) -> Policy:
        policies[name] = function
        return function

    return decorate


@policy('random')
def choose_random(servers: Sequence[ServerView], choice: Choice) -> ServerView:
    """Choose any server."""
    return random.choice(servers)


@policy('round_robin')
def choose_in_turn(servers: Sequence[ServerView], choice: Choice) -> ServerView:
    """Choose the servers one after the other."""
    return servers[next(_turns) % len(servers)]


@policy('least_loaded')
def choose_least_loaded(
    servers: Sequence[ServerView], choice: Choice
) -> ServerView:
    """Choose the server with the fewest reported and own streams."""
    return min(_shuffled(servers), key=_streams_ahead)


@policy('prefix_only')
def choose_by_prefix(
    servers: Sequence[ServerView], choice: Choice
) -> ServerView:
    """Choose the server that should cache most of the prompt."""
    return max(
        _shuffled(servers),
        key=lambda view: choice.memory.cached_tokens(
            view.vm.vm_id, choice.prompt
        ),
    )


@policy('predicted')
def choose_predicted(
    servers: Sequence[ServerView], choice: Choice
) -> ServerView:
    """Choose the lowest predicted time to the first token.

    At most ``_CANDIDATES`` servers are weighed: those that should cache
    most of the prompt, and a random sample of the others.
    """
    return min(
        _candidates(servers, choice),
        key=lambda view: predicted_cost_s(view, choice),
    )


def predicted_cost_s(view: ServerView, choice: Choice) -> float:
    """Return the predicted seconds to the first token, with reclaim risk.

    The risk is the chance of a reclaim during the expected tokens, times
    the seconds that recomputing the whole prompt would take.
    """
    rate = max(1, view.report.prefill_tokens_per_s)
    cached = choice.memory.cached_tokens(view.vm.vm_id, choice.prompt)
    own_s = (choice.prompt.tokens - cached) / rate
    ahead_s = sum(
        dispatch.prompt_tokens / rate
        for dispatch in view.dispatched_since_report()
    )
    free_slots = view.report.max_batch - _streams_ahead(view)
    wait_s = max(0, -free_slots) * _STEP_S + view.report.running * _STEP_S / 10
    return own_s + ahead_s + wait_s + _reclaim_risk_s(view, choice, rate)


def _reclaim_risk_s(view: ServerView, choice: Choice, rate: float) -> float:
    if not view.vm.reclaimable:
        return 0
    chance = choice.expected_tokens * _STEP_S * _RECLAIM_RATE_PER_S
    return chance * choice.prompt.tokens / rate


def _streams_ahead(view: ServerView) -> int:
    own = len(view.dispatched_since_report())
    return view.report.running + view.report.queued + own


def _candidates(
    servers: Sequence[ServerView], choice: Choice
) -> list[ServerView]:
    if len(servers) <= _CANDIDATES:
        return _shuffled(servers)
    caching = [
        view
        for view in servers
        if choice.memory.cached_tokens(view.vm.vm_id, choice.prompt)
    ]
    half = _CANDIDATES // 2
    return [*caching[:half], *random.sample(list(servers), half)]


def _shuffled(servers: Sequence[ServerView]) -> list[ServerView]:
    return random.sample(list(servers), len(servers))
