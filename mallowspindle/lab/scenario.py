"""Load patterns: request profiles, engines, the fleet and disturbances."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from mallowspindle.catalog.configuration import FleetBounds


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """A class of requests with the same distribution of lengths.

    A prompt starts with ``shared_tokens`` that are common to all requests with
    the same key out of ``keys``. ``own_tokens`` and ``output_tokens`` are the
    mean lengths of the rest of the prompt and of the answer. A request earns
    ``value`` if its first event comes within ``first_event_target_s`` and no
    gap between events exceeds the scenario's ``max_gap_s``, and a tenth of it
    if it is late.
    """

    name: str
    requests_per_s: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    first_event_target_s: float
    deadline_s: float
    value: float
    keys: int = 40


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """The speed and capacity of an engine.

    A step generates one token for each running request and prefills up to
    ``prefill_chunk_tokens`` of one prompt. Each prefilled token attends to all
    tokens before it, which costs ``attention_s_per_pair`` for each pair. A
    stream sends an event every ``tokens_per_event`` tokens.
    """

    slots: int = 64
    cache_tokens: int = 540_000
    step_s: float = 0.0042
    step_per_running_s: float = 0.000001
    prefill_tokens_per_s: float = 64_000
    attention_s_per_pair: float = 0.65e-9
    prefill_chunk_tokens: int = 2048
    tokens_per_event: int = 5


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A disturbance that starts at ``at_s`` and lasts ``duration_s``.

    The meaning of ``magnitude`` depends on the kind.
    """

    kind: str
    at_s: float
    duration_s: float
    magnitude: float = 1
    zone: str = ''


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load pattern; times are in seconds from its start."""

    profiles: tuple[RequestProfile, ...]
    engine: EngineSpec = EngineSpec()
    bounds: FleetBounds = FleetBounds(
        min_servers=1,
        max_servers=6,
        boot_s=4,
        zone_prices={'a': 1.0, 'b': 0.8, 'c': 1.25, 'd': 0.9},
        reclaimable_price=0.22,
    )
    nodes: int = 6
    length_s: float = 50
    # Mean number of requests that a caller sends at once.
    group_size: float = 3
    # A stream is late if two of its events are farther apart than this.
    max_gap_s: float = 0.4
    disturbances: tuple[Disturbance, ...] = field(default=())


LETTERS = RequestProfile('letters', 6.6, 5400, 6600, 380, 1.2, 15, 8)
QUESTIONS = RequestProfile('questions', 22, 200, 630, 290, 1, 15, 0.8, keys=280)
TAGS = RequestProfile('tags', 13, 570, 1800, 25, 1.5, 3, 0.5, keys=100)
_CALM = Scenario((LETTERS, QUESTIONS, TAGS))

Pattern = Callable[[], Scenario]
patterns: dict[str, Pattern] = {}


def pattern(name: str) -> Callable[[Pattern], Pattern]:
    """Return a decorator that registers a load pattern under ``name``."""

    def decorate(function: Pattern) -> Pattern:
        patterns[name] = function
        return function

    return decorate


@pattern('calm')
def calm() -> Scenario:
    """Return the usual load, without disturbances."""
    return _CALM


@pattern('burst')
def burst() -> Scenario:
    """Return a load in which all request rates double for a while."""
    return replace(_CALM, disturbances=(Disturbance('burst', 15, 8, 2),))


@pattern('hot-prefix')
def hot_prefix() -> Scenario:
    """Return a load in which two thirds share one prefix for a while."""
    return replace(
        _CALM, disturbances=(Disturbance('hot-prefix', 10, 20, 0.66),)
    )


@pattern('zone-reclaimed')
def zone_reclaimed() -> Scenario:
    """Return the reclaim of two zones, one after the other.

    Both have no reclaimable servers for some time afterwards.
    """
    return replace(
        _CALM,
        disturbances=(
            Disturbance('reclaim', 18, 14, zone='b'),
            Disturbance('reclaim', 24, 13, zone='d'),
        ),
    )


@pattern('slow-server')
def slow_server() -> Scenario:
    """Return a server that becomes four times as slow without notice."""
    return replace(_CALM, disturbances=(Disturbance('slow', 12, 20, 4),))


@pattern('crash')
def crash() -> Scenario:
    """Return the loss of all servers of one zone without notice."""
    return replace(_CALM, disturbances=(Disturbance('crash', 20, 1, zone='a'),))
