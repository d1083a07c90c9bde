"""Quotas with a tolerance: admission by a forecast of the peers' use.

Load pattern: prompts of many sizes reach up to 300 nodes, which know what the
others admitted up to 1 s late. A node forecasts the sum of all admitted work:
what the peers reported, plus what they have admitted since at their rate, less
what has left the span since. The tolerance beyond the quota covers the error
of the forecast, so that nodes need not leave room for it.

If more is asked for than there is room, all nodes would take the same room at
once. Each then admits at random with the probability at which all of them
together use up the room in the time until they know of it. So the room goes to
the nodes that are asked, however uneven, and prompts of any size are admitted
as often.

Restarted nodes have forgotten what they admitted. So the rate is also bounded
over two shorter spans, and what they may have allowed counts as used.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import repeat
from math import sqrt
from typing import Self

from mallowspindle.policies.quota import KEPT_FRACTION, AdmittedWork

# Lengths of the spans as fractions of the window.
SPAN_FRACTIONS = (0.375, 0.625, 1.0)
# The error of a forecast of work admitted in 0.7 s stayed below 1 s of the
# rate in floods of 6 times the quota; 0.7 s alone let them pass what is granted.
_RESERVE_EXTRA_S = 0.3
# Part of the tolerance that the shorter spans allow beyond rate and burst. Long
# prompts come in bursts also below the quota.
_SHORT_TOLERANCE_FRACTION = 0.5
# Part of the reserve that restarted nodes leave.
_RESTART_RESERVE_FRACTION = 0.2
# Rate, compared with the average of the shortest span, from which the peers are
# forecast to go on at the present rate.
_SURGE_RATIO = 1.6
# An expiry rate says nothing about later times.
_EXPIRY_KNOWN_S = 1.0
_MIN_ASKED_PER_S = 1e-9
# Uptime before which the peers' demand is not known.
_DEMAND_UNKNOWN_S = 1.5
_MIN_UPTIME_S = 0.1


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """What the platform grants beyond a quota, to cover late knowledge.

    ``fraction`` is of the limit of the window. Only quotas in tokens have the
    fixed number of ``tokens``.
    """

    fraction: float = 0
    tokens: float = 0


@dataclass(frozen=True, slots=True)
class ToleratedTerms:
    """The quota of all nodes together, and what is granted beyond it.

    ``report_age_s`` is the time until the nodes know of admitted work. Quotas
    in requests have a ``unit_cost``: so few requests vary much by chance.
    """

    rate_per_s: float
    burst: float
    window_s: float
    tolerance: float
    report_age_s: float
    unit_cost: float = 0

    @property
    def spans_s(self) -> tuple[float, ...]:
        """The lengths of the spans, the whole window last."""
        return tuple(self.window_s * fraction for fraction in SPAN_FRACTIONS)

    @property
    def unknown_s(self) -> float:
        """The time whose admitted work is not known for sure."""
        return self.report_age_s + _RESERVE_EXTRA_S

    @property
    def granted(self) -> float:
        """The maximum that may be admitted in any window."""
        return self.rate_per_s * self.window_s + self.burst + self.tolerance

    @property
    def limits(self) -> tuple[float, ...]:
        """What is admitted in each span if all work is known."""
        whole = self.granted - self._reserve
        short = self.burst + self.tolerance * _SHORT_TOLERANCE_FRACTION
        return tuple(
            min(whole, self.rate_per_s * span_s + short)
            for span_s in self.spans_s[:-1]
        ) + (whole,)

    def usable_fraction(self, uptime_s: float) -> float:
        """Return which fraction of the window's limit a node may count on.

        Nodes that started ``uptime_s`` ago have forgotten what they admitted
        in the rest of the window. It counts as the most that the spans allow.
        """
        forgotten_s = self.window_s - uptime_s
        if forgotten_s <= 0:
            return 1
        whole = self.limits[-1]
        forgotten = next(
            limit
            for span_s, limit in zip(self.spans_s, self.limits, strict=True)
            if forgotten_s <= span_s
        )
        left = (
            self.granted - _RESTART_RESERVE_FRACTION * self._reserve - forgotten
        )
        return min(1, max(0, left / whole))

    def limits_after_restart(self, uptime_s: float) -> list[float]:
        """Return what one node may admit that started ``uptime_s`` ago."""
        usable = self.usable_fraction(uptime_s)
        return [limit * usable for limit in self.limits]

    @property
    def _reserve(self) -> float:
        """What of the tolerance is left to errors of the forecast."""
        unknown = self.rate_per_s * self.unknown_s
        return unknown + sqrt(unknown * self.unit_cost)


@dataclass(frozen=True, slots=True)
class UseForecast:
    """What some nodes admitted in each span, forecast to the present.

    The rates are of what was admitted and of what callers asked for.
    """

    used: tuple[float, ...]
    rate_per_s: float
    asked_per_s: float

    @classmethod
    def of_peers(
        cls,
        used: Sequence[float],
        expiring_per_s: Sequence[float],
        rate_per_s: float,
        asked_per_s: float,
        short_span_s: float,
        age_s: float,
    ) -> Self:
        """Return the forecast from sums of reports that are ``age_s`` old.

        The average of the short span is the steadier rate, unless there is a
        surge. The expiry rates hold for a second.
        """
        usual_per_s = used[0] / short_span_s
        if rate_per_s > _SURGE_RATIO * usual_per_s:
            usual_per_s = rate_per_s
        growth = usual_per_s * age_s
        expiring_s = min(_EXPIRY_KNOWN_S, age_s)
        return cls(
            tuple(
                max(0, amount - leaving * expiring_s) + growth
                for amount, leaving in zip(used, expiring_per_s, strict=True)
            ),
            rate_per_s,
            asked_per_s,
        )

    @classmethod
    def of_node(
        cls,
        admitted: AdmittedWork,
        spans_s: Sequence[float],
        asked_per_s: float,
    ) -> Self:
        """Return what this node admitted, which it knows exactly."""
        return cls(
            tuple(map(admitted.used_within, spans_s)),
            admitted.rate_per_s(),
            asked_per_s,
        )


@dataclass(frozen=True, slots=True)
class KnownNodes:
    """The nodes whose work a node knows: all, and those that just started."""

    nodes: int
    young: int


class LostUse:
    """What peers admitted that are no longer heard, or have restarted.

    Their use is missing from the sums at once, but is in the spans for a while.
    It is taken to leave them at a constant rate.
    """

    def __init__(self, spans_s: Sequence[float]) -> None:
        self._spans_s = spans_s
        self._lost = [0.0 for _ in spans_s]
        self._used: tuple[float, ...] = ()
        self._known = KnownNodes(0, 0)
        self._at_s = 0.0

    def observe(
        self, known: KnownNodes, used: tuple[float, ...], now_s: float
    ) -> None:
        """Record the peers' use, and what of it is lost or back."""
        lost = self.by_span(now_s)
        if self._used:
            lost = list(
                map(
                    self._with_change,
                    lost,
                    self._decreases(used, now_s),
                    repeat(known),
                )
            )
        self._lost = lost
        self._used = used
        self._known = known
        self._at_s = now_s

    def by_span(self, now_s: float) -> list[float]:
        """Return what of the lost use is still in each span."""
        elapsed_s = now_s - self._at_s
        return [
            amount * max(0, 1 - elapsed_s / span_s)
            for amount, span_s in zip(self._lost, self._spans_s, strict=True)
        ]

    def _decreases(self, used: tuple[float, ...], now_s: float) -> list[float]:
        """Return by how much the use fell that has not left its span."""
        elapsed_s = now_s - self._at_s
        return [
            before * max(0, 1 - elapsed_s / span_s) - amount
            for before, amount, span_s in zip(
                self._used, used, self._spans_s, strict=True
            )
        ]

    def _with_change(
        self, lost: float, decrease: float, known: KnownNodes
    ) -> float:
        if known.nodes < self._known.nodes or known.young > self._known.young:
            return lost + max(0, decrease)
        if known.nodes > self._known.nodes:
            return max(0, lost + min(0, decrease))
        return lost


@dataclass(frozen=True, slots=True)
class QuotaRoom:
    """The room of each span for work of all nodes."""

    rooms: tuple[float, ...]
    short_use: float
    probability: float

    @classmethod
    def of(
        cls,
        terms: ToleratedTerms,
        own: UseForecast,
        peers: UseForecast,
        lost: Sequence[float],
        *,
        reporting_fraction: float,
        uptimes_s: Sequence[float],
        resumes_stream: bool,
    ) -> Self:
        """Return the room that the known nodes share.

        Nodes that are not heard use their share, or what was ``lost`` of them
        if that is more. See ``quota.is_within`` for the other arguments.
        """
        usable = sum(map(terms.usable_fraction, uptimes_s)) / len(uptimes_s)
        # Nodes that a restarted node does not hear have restarted, too.
        share = reporting_fraction * usable
        if not resumes_stream:
            share *= 1 - KEPT_FRACTION * (1 - usable)
        # A node that gets most requests has forgotten more than its share.
        own_limits = terms.limits_after_restart(uptimes_s[0])
        rooms = tuple(
            min(limit - own_used, own_limit - own_used)
            for limit, own_limit, own_used in zip(
                _left(terms.limits, share, lost, peers.used),
                own_limits,
                own.used,
                strict=True,
            )
        )
        usual_per_s = min(
            terms.rate_per_s * share, own.rate_per_s + peers.rate_per_s
        )
        room_per_s = max(0, min(rooms)) / terms.unknown_s
        return cls(
            rooms,
            own.used[0] + peers.used[0],
            (usual_per_s + room_per_s)
            / _asked_per_s(own, peers, uptimes_s, usable),
        )

    def admits(self, cost: float, draw: float) -> bool:
        """Return whether work is admitted, given a random ``draw`` below 1.

        Work that exceeds the shorter spans is admitted if the window has room
        and nothing else was admitted in the shortest one.
        """
        *shorter, whole = self.rooms
        if cost > whole or draw >= self.probability:
            return False
        return cost <= min(shorter) or self.short_use < 1


def _left(
    limits: Sequence[float],
    share: float,
    lost: Sequence[float],
    peers_used: Sequence[float],
) -> Iterator[float]:
    """Yield what peers leave of each limit, heard or not."""
    for limit, missing, used in zip(limits, lost, peers_used, strict=True):
        yield min(limit * share, limit - missing) - used


def _asked_per_s(
    own: UseForecast,
    peers: UseForecast,
    uptimes_s: Sequence[float],
    usable: float,
) -> float:
    """Return what callers ask of all nodes.

    Nodes that started together have not told it yet; each is taken to be asked
    for as much as this one.
    """
    asked_per_s = own.asked_per_s + peers.asked_per_s
    own_uptime_s = uptimes_s[0]
    if own_uptime_s < _DEMAND_UNKNOWN_S:
        measured_s = max(_MIN_UPTIME_S, min(1, own_uptime_s))
        alike = own.asked_per_s / measured_s * len(uptimes_s) * (1 - usable)
        asked_per_s = max(asked_per_s, alike)
    return max(asked_per_s, _MIN_ASKED_PER_S)
