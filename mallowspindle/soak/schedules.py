"""Seeded schedules of disturbances."""

import random
from dataclasses import dataclass, replace
from typing import Self

from mallowspindle.soak.disturbances import registry

# When disturbances begin, in seconds from the begin of the load.
_FIRST_S = 3.0
_LAST_S = 10.0
_MAX_ENTRIES = 4
# Many faults need two events that are so close to each other.
_PAIR_S = 2.0
_PAIR_SHARE = 0.6
_PLANNED_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class Entry:
    """A disturbance, when it begins, and the seed of its choices."""

    at_s: float
    name: str
    seed: int


@dataclass(frozen=True, slots=True)
class Schedule:
    """The disturbances of one run, in the order in which they begin."""

    seed: int
    entries: tuple[Entry, ...]

    @classmethod
    def from_seed(cls, seed: int) -> Self:
        """Draw two to four disturbances, often two close together."""
        rng = random.Random(seed)  # noqa: S311
        only_planned = rng.random() < _PLANNED_SHARE
        names = sorted(
            name
            for name, each in registry.items()
            if each.planned or not only_planned
            for _ in range(each.weight)
        )
        at_s = rng.uniform(_FIRST_S, _FIRST_S + _PAIR_S)
        entries = []
        for _ in range(rng.randint(2, _MAX_ENTRIES)):
            entries.append(
                Entry(round(at_s, 2), rng.choice(names), rng.getrandbits(32))
            )
            is_pair = rng.random() < _PAIR_SHARE
            pause_s = _PAIR_S if is_pair else _LAST_S - _FIRST_S
            at_s = min(_LAST_S, at_s + rng.uniform(0, pause_s))
        return cls(seed, tuple(entries))

    @property
    def only_planned(self) -> bool:
        """Whether nothing but planned work takes place."""
        return all(registry[entry.name].planned for entry in self.entries)

    def without(self, position: int) -> Self:
        """Return the schedule without one of its entries."""
        entries = self.entries[:position] + self.entries[position + 1 :]
        return replace(self, entries=entries)

    def __str__(self) -> str:
        return ', '.join(
            f'{entry.at_s} s {entry.name}' for entry in self.entries
        )
