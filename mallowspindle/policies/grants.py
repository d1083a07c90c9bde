"""Grants: how the nodes share the slack of a retry budget.

The log holds a list of grants for each service, and a node that needs retries
appends the list with a grant of its own, on condition that nobody else has
appended. So the sum of all grants is bounded whichever nodes see each other,
and processes that start again find what their former ones were granted.

The permits of a grant are used soon, and every node counts a grant for a window
longer than that, on its own steady clock and from when it first saw the grant.
So permits of two grants are used within one window only if the later one has
counted the earlier one.
"""

import secrets
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import repeat
from typing import Annotated

from pydantic import Field

from mallowspindle.policies.budget import BudgetTerms
from mallowspindle.utils.clock import SharedClock, boot_clock_s

# Time for which the permits of a grant may be used.
VALIDITY_S = 2.0
# Fraction of the slack that is granted. The rest is a margin for retries that
# reach their servers late.
_USED_FRACTION = 0.8
# Part of what is granted that one node takes beyond the retries that wait, and
# that has to be free. With less, a service that fails for long would take an
# append for each single retry, as grants end one by one.
_PART = 1 / 8
# By how much the times of day of two nodes may differ, and by how much more if
# one has just started and may not have heard of its peers' time.
_MAX_SKEW_S = 5.0
_MAX_START_SKEW_S = 60.0
_ID_BYTES = 6


@dataclass(frozen=True, slots=True)
class Grant:
    """Retries that one node may make.

    ``granted_at_s`` is a Unix time not before the grant: a node that has just
    started adds by how much its time of day may be behind.
    """

    grant_id: str
    permits: Annotated[int, Field(ge=1)]
    granted_at_s: float


@dataclass(frozen=True, slots=True)
class _KnownGrant:
    """A grant, and until when it counts on the own clock."""

    grant: Grant
    counts_until_s: float


class GrantLedger:
    """The grants of one service as this node has seen them.

    What this node has seen counts until its time is over, whatever the log says
    later: the log may come back from an older copy.
    """

    def __init__(
        self,
        terms: BudgetTerms,
        time_of_day: SharedClock,
        clock: Callable[[], float] = boot_clock_s,
    ) -> None:
        self._limit = int(_USED_FRACTION * terms.slack)
        self._part = max(1, int(_PART * self._limit))
        self._lifetime_s = terms.window_s + VALIDITY_S
        self._time_of_day = time_of_day
        self._clock = clock
        self._known: dict[str, _KnownGrant] = {}

    @property
    def limit(self) -> int:
        """The permits that all nodes together are granted at a time."""
        return self._limit

    def room(self) -> int:
        """Return how many permits are left."""
        return self._limit - sum(grant.permits for grant in self.counted())

    def counted(self) -> list[Grant]:
        """Return the grants that count at present."""
        now_s = self._clock()
        return [
            known.grant
            for known in self._known.values()
            if known.counts_until_s >= now_s
        ]

    def has_room(self) -> bool:
        """Return whether there is room for a grant."""
        return self.room() >= self._part

    def next_size(self, waiting: int, demand: int) -> int:
        """Return the permits to ask for, 0 if there is no room.

        So many retries are ``waiting``, and ``demand`` is how many needed a
        permit in the time for which those of a grant are valid.
        """
        if not self.has_room():
            return 0
        return min(self.room(), max(1, waiting, min(demand, self._part)))

    def new_grant(self, permits: int) -> Grant:
        """Return a grant with the present date."""
        granted_at_s = self._time_of_day.now_s() + self._start_skew_s()
        return Grant(secrets.token_hex(_ID_BYTES), permits, granted_at_s)

    def add(self, grant: Grant) -> None:
        """Count a grant from now on."""
        self._forget_over()
        self._known[grant.grant_id] = _KnownGrant(
            grant, self._clock() + self._lifetime_s
        )

    def merge(self, grants: Iterable[Grant]) -> None:
        """Take in the grants that the log has."""
        for grant in grants:
            if grant.grant_id not in self._known and not self._is_over(grant):
                self.add(grant)
        self._forget_over()

    def _forget_over(self) -> None:
        """Drop the grants that would not be taken for new ones any more."""
        self._known = {
            grant_id: known
            for grant_id, known in self._known.items()
            if known.counts_until_s >= self._clock()
            or not self._is_over(known.grant)
        }

    def _is_over(self, grant: Grant) -> bool:
        """Return whether a grant certainly counts no more, by its date."""
        age_s = self._time_of_day.now_s() - grant.granted_at_s
        skew_s = _MAX_SKEW_S + self._start_skew_s()
        return age_s > self._lifetime_s + skew_s

    def _start_skew_s(self) -> float:
        return _MAX_START_SKEW_S if self._time_of_day.is_settling else 0


class Demand:
    """The retries that needed a permit in the last seconds."""

    def __init__(self, clock: Callable[[], float] = boot_clock_s) -> None:
        self._clock = clock
        self._times_s: deque[float] = deque()

    def note(self) -> None:
        """Count a retry that needs a permit."""
        self._times_s.append(self._clock())
        self.count()

    def count(self) -> int:
        """Return the retries in the time for which permits are valid."""
        while self._times_s and self._times_s[0] < self._clock() - VALIDITY_S:
            self._times_s.popleft()
        return len(self._times_s)


class Permits:
    """The granted permits that this node has not used yet."""

    def __init__(self, clock: Callable[[], float] = boot_clock_s) -> None:
        self._clock = clock
        self._valid_until_s: deque[float] = deque()

    def add(self, count: int, valid_until_s: float) -> None:
        """Add permits that may be used until ``valid_until_s``."""
        self._valid_until_s.extend(repeat(valid_until_s, count))

    def take(self) -> bool:
        """Use one permit; return False if none is valid."""
        while self._valid_until_s:
            if self._valid_until_s.popleft() >= self._clock():
                return True
        return False
