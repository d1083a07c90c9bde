"""Seeded schedules of disturbances."""

import random
from dataclasses import dataclass, replace
from typing import Self

from mallowspindle.soak.disturbances.library import all_disturbances

# When disturbances begin, in seconds from the begin of the load.
_FIRST_S = 3.0
_LAST_S = 14.0
_MIN_ENTRIES = 3
_MAX_ENTRIES = 6
# Many faults need two events that are so close to each other.
_PAIR_S = 2.0
_PAIR_SHARE = 0.6
_PLANNED_SHARE = 0.2
# How often nodes take each start for their first one. No deployment sets it.
_BOOTSTRAP_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class Entry:
    """A disturbance, when it begins, and the seed of its choices."""

    at_s: float
    name: str
    seed: int


@dataclass(frozen=True, slots=True)
class Schedule:
    """The disturbances of one run, in the order in which they begin.

    With ``bootstrap``, nodes take each start for their first one.
    """

    seed: int
    entries: tuple[Entry, ...]
    bootstrap: bool = False

    @classmethod
    def from_seed(cls, seed: int) -> Self:
        """Draw three to six disturbances, often two close together."""
        rng = random.Random(seed)  # noqa: S311
        only_planned = rng.random() < _PLANNED_SHARE
        names = sorted(
            name
            for name, each in all_disturbances().items()
            if each.planned or not only_planned
            for _ in range(each.weight)
        )
        entries = tuple(
            Entry(round(at_s, 2), rng.choice(names), rng.getrandbits(32))
            for at_s in _draw_begins(rng)
        )
        bootstrap = rng.random() < _BOOTSTRAP_SHARE
        return cls(seed, entries, bootstrap=bootstrap)

    @property
    def only_planned(self) -> bool:
        """Whether nothing but planned work takes place."""
        return all(
            all_disturbances()[entry.name].planned for entry in self.entries
        )

    def without(self, position: int) -> Self:
        """Return the schedule without one of its entries."""
        entries = self.entries[:position] + self.entries[position + 1 :]
        return replace(self, entries=entries)

    def __str__(self) -> str:
        prefix = 'bootstrap, ' if self.bootstrap else ''
        return prefix + ', '.join(
            f'{entry.at_s} s {entry.name}' for entry in self.entries
        )


def _draw_begins(rng: random.Random) -> list[float]:
    """Return when the disturbances begin, many of them close together."""
    begins = [rng.uniform(_FIRST_S, _FIRST_S + _PAIR_S)]
    for _ in range(rng.randint(_MIN_ENTRIES, _MAX_ENTRIES) - 1):
        is_pair = rng.random() < _PAIR_SHARE
        pause_s = _PAIR_S if is_pair else _LAST_S - _FIRST_S
        begins.append(min(_LAST_S, begins[-1] + rng.uniform(0, pause_s)))
    return begins
