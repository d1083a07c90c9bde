"""What callers ask, of which servers, and what goes wrong meanwhile."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from mallowspindle.catalog.configuration import FleetBounds


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """One kind of request.

    Lengths are means in tokens, of which ``shared`` lead the prompt and
    are common to all requests with the same of ``keys`` keys. A request
    earns ``worth`` if its first event comes within ``aim_s`` and no two are
    farther apart than the scenario's gap; a tenth of it if it is late.
    """

    name: str
    per_s: float
    shared: int
    prompt: int
    output: int
    aim_s: float
    deadline_s: float
    worth: float
    keys: int = 40


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """How fast an engine works, and what it holds.

    A step makes one token for each running request and reads up to ``chunk``
    tokens of one prompt; each token read attends to all before it.
    """

    slots: int = 64
    cache_tokens: int = 540_000
    step_s: float = 0.0042
    step_per_running_s: float = 0.000001
    read_tokens_per_s: float = 64_000
    read_s_per_pair: float = 0.65e-9
    chunk: int = 2048
    stride: int = 5


@dataclass(frozen=True, slots=True)
class Trouble:
    """Something that happens from ``at_s`` on, for ``for_s``.

    ``magnitude`` is how strong it is; what it means depends on the kind.
    """

    kind: str
    at_s: float
    for_s: float
    magnitude: float = 1
    zone: str = ''


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load pattern; times in seconds from the start."""

    kinds: tuple[RequestProfile, ...]
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
    # Requests of a caller that come together, on average.
    clump: float = 3
    # Longest pause between two events of a stream that is on time.
    gap_s: float = 0.4
    troubles: tuple[Trouble, ...] = field(default=())


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
    """Return the usual load, without trouble."""
    return _CALM


@pattern('burst')
def burst() -> Scenario:
    """Return a jump of all kinds to twice the rate."""
    return replace(_CALM, troubles=(Trouble('burst', 15, 8, 2),))


@pattern('hot-prefix')
def hot_prefix() -> Scenario:
    """Return a load of which two thirds share one prefix for a while."""
    return replace(_CALM, troubles=(Trouble('hot-prefix', 10, 20, 0.66),))


@pattern('zone-reclaimed')
def zone_reclaimed() -> Scenario:
    """Return two zones that are reclaimed and stay dry, one by one."""
    return replace(
        _CALM,
        troubles=(
            Trouble('reclaim', 18, 14, zone='b'),
            Trouble('reclaim', 24, 13, zone='d'),
        ),
    )


@pattern('slow-server')
def slow_server() -> Scenario:
    """Return a server that takes four times as long, unannounced."""
    return replace(_CALM, troubles=(Trouble('slow', 12, 20, 4),))


@pattern('crash')
def crash() -> Scenario:
    """Return servers of one zone that end without notice."""
    return replace(_CALM, troubles=(Trouble('crash', 20, 1, zone='a'),))
