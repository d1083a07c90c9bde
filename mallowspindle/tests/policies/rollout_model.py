"""Model of a service during a rollout, without processes or real time.

``python -m mallowspindle.tests.policies.rollout_model`` prints the number of
false verdicts of each kind over 200 seeds.
"""

import heapq
import math
import random
import sys
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import count
from typing import NamedTuple

from mallowspindle.policies.rollout import (
    Decision,
    Phase,
    RolloutTerms,
    Situation,
    decide,
)
from mallowspindle.policies.versions import (
    Cell,
    VersionJudge,
    time_bucket,
)

BAD_KINDS = ('errors', 'slow', 'late', 'under load', 'one route')
GOOD_KINDS = ('calm', 'crash', 'burst', 'slow zone', 'garbled')
TERMS = RolloutTerms(exposure_share=0.1, exposure_slack=50)
SEEDS = 200
ROLLBACK_S = 5.0
_COUNTED_BAD = 50
_ZONES = 3
_STEP_S = 0.2
# Shares of bad responses that bad versions have.
_LEAST_BAD, _MOST_BAD = 0.4, 0.8
_SLOW_FACTOR = 8
# Load, beside that of the average old server, that a version does not bear.
_LOAD_LIMIT = 0.8


class _Route(NamedTuple):
    """A route with its weight and the median time of a first answer."""

    name: str
    weight: float
    median_s: float
    streams: bool

    @property
    def measure(self) -> str:
        return f'{self.name} first' if self.streams else self.name


_ROUTES = (
    _Route('plain', 0.5, 0.06, streams=False),
    _Route('letters', 0.35, 0.2, streams=True),
    _Route('rare', 0.15, 0.1, streams=False),
)
_EVENT_S = 0.05
_EVENTS_TIMED = 4


@dataclass(slots=True)
class Outcome:
    """What came of one rollout."""

    phase: Phase = Phase.HOLD
    reason: str = ''
    ended_at_s: float = math.inf
    sent: int = 0
    sent_new: int = 0
    sent_late: int = 0
    bad_at_s: list[float] = field(default_factory=list)

    @property
    def is_overexposed(self) -> bool:
        """Whether a bad version got more requests than operators tolerate."""
        allowed = TERMS.exposure_share * self.sent + TERMS.exposure_slack
        return self.sent_new > allowed or self.sent_late > 0


class _Arrival(NamedTuple):
    """A response that counts at the node that decides from ``at_s`` on."""

    at_s: float
    number: int
    is_new: bool
    cell: Cell
    bucket: int


class RolloutModel:
    """One service with nodes whose counts come up to 1 s late."""

    def __init__(self, kind: str, seed: int) -> None:
        self._kind = kind
        self._random = random.Random(f'{kind}-{seed}')
        draw = self._random.uniform
        self._rate_per_s = draw(100, 300)
        self.duration_s = draw(12, 16)
        self._servers = self._random.randint(8, 24)
        self._starts_at_s = draw(0.5, 2.5)
        self._bad_from_s = self._starts_at_s
        if kind == 'late':
            self._bad_from_s += draw(1, 4)
        self._bad_share = draw(_LEAST_BAD, _MOST_BAD)
        # A disturbance that both versions see.
        self._trouble_at_s = draw(1, 11)
        self._trouble_s = draw(2, 6)
        self._slow_zone = self._random.randrange(_ZONES)
        self._zone_factor = draw(4, 8)
        self._burst_factor = draw(2, 3.5)
        # Lost attempts that the check of a crashed server lets through.
        self._stray_failures = self._random.randint(1, 3)
        self._load_per_s: defaultdict[str, float] = defaultdict(float)
        self._loaded_at_s: dict[str, float] = {}
        self._counts: dict[bool, defaultdict[Cell, Counter[int]]] = {
            False: defaultdict(Counter),
            True: defaultdict(Counter),
        }
        self._arriving: list[_Arrival] = []
        self._order = count()
        # What nodes hear, and when it is told.
        self._told = [(0.0, Decision(Phase.HOLD, ''))]
        self._old_ends_at_s = 0.0
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Play the rollout to its limit."""
        judge = VersionJudge()
        now_s, next_step_s = 0.0, 0.0
        while now_s < self.duration_s:
            now_s += self._random.expovariate(self._arrivals_per_s(now_s))
            while next_step_s <= min(now_s, self.duration_s):
                self._step(judge, next_step_s)
                next_step_s += _STEP_S
            self._send(now_s)
        return self.outcome

    def _arrivals_per_s(self, now_s: float) -> float:
        factor = self._burst_factor if self._is_in('burst', now_s) else 1
        return self._rate_per_s * factor

    def _is_in(self, kind: str, now_s: float) -> bool:
        age_s = now_s - self._trouble_at_s
        return self._kind == kind and 0 <= age_s < self._trouble_s

    def _step(self, judge: VersionJudge, now_s: float) -> None:
        while self._arriving and self._arriving[0].at_s <= now_s:
            arrived = heapq.heappop(self._arriving)
            self._counts[arrived.is_new][arrived.cell][arrived.bucket] += 1
        new, old = (
            {
                cell: tuple(counts[index] for index in range(18))
                for cell, counts in self._counts[is_new].items()
            }
            for is_new in (True, False)
        )
        result = self.outcome
        judge.note(now_s, new, old)
        finding = judge.finding()
        situation = Situation(
            elapsed_s=now_s,
            duration_s=self.duration_s,
            phase=result.phase,
            has_servers=now_s >= self._starts_at_s,
            responses=judge.responses,
            suspicion=finding.suspicion,
            finding=finding.reason,
            old_servers=self._servers,
            longest_s=0.5,
            longest_stream_s=4.5,
            old_running=int(self._old_ends_at_s > now_s - 0.8),
            is_exposed=TERMS.is_exposed(result.sent_new, result.sent),
        )
        decision = decide(situation, TERMS)
        if decision.phase is not result.phase:
            result.phase = decision.phase
            result.reason = decision.reason
            if decision.phase.is_final:
                result.ended_at_s = now_s
        if decision != self._told[-1][1]:
            self._told.append((now_s, decision))

    def _decision_at_node(self, now_s: float) -> Decision:
        """Return the decision that a random node knows."""
        delay_s = self._random.uniform(0.05, 0.4)
        return next(
            decision
            for at_s, decision in reversed(self._told)
            if at_s <= max(0, now_s - delay_s)
        )

    def _send(self, now_s: float) -> None:
        decision = self._decision_at_node(now_s)
        weights = [route.weight for route in _ROUTES]
        route = self._random.choices(_ROUTES, weights)[0]
        share = decision.stream_share if route.streams else decision.share
        is_new = self._random.random() < share
        self.outcome.sent += 1
        bad_at_s = self.outcome.bad_at_s
        if is_new:
            self.outcome.sent_new += 1
            if len(bad_at_s) >= _COUNTED_BAD:
                fiftieth_s = sorted(bad_at_s)[_COUNTED_BAD - 1]
                self.outcome.sent_late += now_s > fiftieth_s + ROLLBACK_S
        used = decision.servers if is_new else None
        self._respond(now_s, route, used or self._servers, is_new=is_new)

    def _respond(
        self, now_s: float, route: _Route, used: int, *, is_new: bool
    ) -> None:
        number = self._random.randrange(used)
        zone = number % _ZONES
        load = self._load(f'{is_new}-{number}', now_s)
        usual_load = self._rate_per_s / self._servers
        factor = max(1, load / usual_load / 2.5)
        if self._is_in('burst', now_s):
            factor *= self._burst_factor
        if self._is_in('slow zone', now_s) and zone == self._slow_zone:
            factor *= self._zone_factor
        is_bad = (
            is_new
            and self._is_bad(now_s, route.name, load / usual_load)
            and self._random.random() < self._bad_share
        )
        failed = is_bad and self._kind != 'slow'
        if is_bad and not failed:
            factor *= _SLOW_FACTOR
        elif is_new and self._is_stray(now_s):
            failed = True
        if is_bad:
            self.outcome.bad_at_s.append(now_s)
        cell = Cell(str(zone), route.measure)
        spread = self._random.lognormvariate(0, 0.45)
        first_s = route.median_s * spread * factor
        if failed:
            self._report(now_s + first_s, cell, 0, is_new=is_new)
            return
        self._report(now_s + first_s, cell, time_bucket(first_s), is_new=is_new)
        ends_at_s = now_s + first_s
        if route.streams:
            event_s = _EVENT_S * factor * self._random.lognormvariate(0, 0.2)
            self._report(
                ends_at_s + _EVENTS_TIMED * event_s,
                Cell(str(zone), f'{route.name} pace'),
                time_bucket(event_s),
                is_new=is_new,
            )
            ends_at_s += self._random.uniform(2, 4.3)
        if not is_new:
            self._old_ends_at_s = max(self._old_ends_at_s, ends_at_s)

    def _is_bad(self, now_s: float, route: str, load: float) -> bool:
        if self._kind not in BAD_KINDS or now_s < self._bad_from_s:
            return False
        if self._kind == 'under load':
            return load >= _LOAD_LIMIT
        return self._kind != 'one route' or route == 'rare'

    def _is_stray(self, now_s: float) -> bool:
        """Return whether a crash or a garbled response counts as a failure."""
        if not (self._is_in('crash', now_s) or self._is_in('garbled', now_s)):
            return False
        self._stray_failures -= 1
        return self._stray_failures >= 0

    def _load(self, server: str, now_s: float) -> float:
        """Return the requests per second of a server, averaged over 1 s."""
        passed_s = now_s - self._loaded_at_s.get(server, now_s)
        self._loaded_at_s[server] = now_s
        load = self._load_per_s[server] * math.exp(-passed_s) + 1
        self._load_per_s[server] = load
        return load

    def _report(
        self, at_s: float, cell: Cell, index: int, *, is_new: bool
    ) -> None:
        """Let a response count at the decider when its node's state arrives."""
        arrives_at_s = at_s + self._random.uniform(0.1, 1.0)
        heapq.heappush(
            self._arriving,
            _Arrival(arrives_at_s, next(self._order), is_new, cell, index),
        )


def play(kind: str, seeds: int) -> list[Outcome]:
    """Return what came of the rollouts of one kind."""
    return [RolloutModel(kind, seed).run() for seed in range(seeds)]


def main() -> None:
    """Print the false verdicts by kind."""
    for kind in (*BAD_KINDS, *GOOD_KINDS):
        outcomes = play(kind, SEEDS)
        phases = Counter(str(outcome.phase) for outcome in outcomes)
        over = sum(
            outcome.is_overexposed for outcome in outcomes if kind in BAD_KINDS
        )
        exposed = sum(outcome.sent_new for outcome in outcomes) / SEEDS
        sys.stdout.write(
            f'{kind}: {dict(phases)}, over the exposure {over}, '
            f'{exposed:.0f} requests at the new version\n'
        )
        wrong = Phase.COMPLETED if kind in BAD_KINDS else Phase.ROLLED_BACK
        reasons = [
            outcome.reason for outcome in outcomes if outcome.phase is wrong
        ]
        sys.stdout.writelines(f'  {reason}\n' for reason in reasons)


if __name__ == '__main__':
    main()
