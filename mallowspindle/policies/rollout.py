"""When a rollout of a new software version goes on, and when it ends.

The load pattern: 100 to 300 requests a second for 12 to 16 s, with streams of 2
to 5 s, while the version may turn bad at any moment. A bad version may get a
tenth of the requests. Old servers stop at the completion, so their streams have
to end before it; the version is judged for as long as that allows.
"""

from dataclasses import dataclass
from enum import StrEnum

# Fraction of the exposure that the canary uses; the rest covers requests that
# are sent after the version has turned bad and before all nodes know.
_CANARY_FRACTION = 0.9
# Load of a canary server beside the average old one, so that it has at least
# that of the busiest ones.
_CANARY_LOAD = 1.25
# With few old servers, one canary server needs more than the exposure to have
# that load; the canary then pauses from time to time.
_MAX_CANARY_SHARE = 0.16
# Fraction of the slack that may be used before the canary pauses.
_SLACK_FRACTION = 0.5
# Time before the limit at which a rollout is completed if nothing is under way
# at old servers, and at the latest. The order is read up to 0.5 s late, and the
# status takes up to 0.1 s to be written.
_COMPLETE_S = 1.2
_COMPLETE_LATEST_S = 0.6
# Time in which all nodes hear of the switch.
_SPREAD_S = 0.4
_MIN_CANARY_S = 1.5
# Requests that last longer than this are not waited for: the canary would be too
# short to judge.
_MAX_DRAIN_S = 6.0
_MIN_DRAIN_S = 0.3
_MIN_RESPONSES = 20
# Evidence, as a fraction of that for a bad verdict, with which nothing is
# switched.
_SUSPICIOUS = 0.5


class Phase(StrEnum):
    """How far a rollout has come."""

    HOLD = 'hold'
    CANARY = 'canary'
    SWITCH = 'switch'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled back'

    @property
    def is_final(self) -> bool:
        """Whether nothing is decided any more."""
        return self in {Phase.COMPLETED, Phase.ROLLED_BACK}


@dataclass(frozen=True, slots=True)
class Canary:
    """Share of the requests for the new version, and servers that get them."""

    share: float
    servers: int


@dataclass(frozen=True, slots=True)
class RolloutTerms:
    """What operators tolerate of a bad version."""

    exposure_share: float
    exposure_slack: float

    def canary(self, old_servers: int) -> Canary:
        """Return the share and the number of servers of the canary."""
        share = self.exposure_share * _CANARY_FRACTION
        count = max(1, round(share * old_servers / _CANARY_LOAD))
        if old_servers:
            share = min(_MAX_CANARY_SHARE, _CANARY_LOAD * count / old_servers)
        return Canary(share, count)

    def is_exposed(self, sent_new: int, sent: int) -> bool:
        """Return whether the new version has had as much as it may get now."""
        slack = self.exposure_slack * _SLACK_FRACTION
        return sent_new > self.exposure_share * sent + slack


@dataclass(frozen=True, slots=True)
class Situation:
    """What is known of a rollout at one moment.

    ``suspicion`` is the evidence against the version, 1 for a bad verdict with
    its ``finding``. ``longest_s`` and ``longest_stream_s`` are the longest plain
    request and the longest stream lately, 0 without any; ``old_running`` counts
    the requests at servers of other versions, and is None if some nodes have not
    told theirs. ``is_trusted`` is whether the version served when the order came.
    ``is_exposed`` is whether it has had as much as it may get now.
    """

    elapsed_s: float
    duration_s: float
    phase: Phase
    has_servers: bool
    old_servers: int
    responses: int = 0
    suspicion: float = 0
    finding: str = ''
    longest_s: float = 0
    longest_stream_s: float = 0
    old_running: int | None = None
    is_trusted: bool = False
    is_exposed: bool = False

    @property
    def left_s(self) -> float:
        """Time until the limit."""
        return self.duration_s - self.elapsed_s

    @property
    def streams_are_due(self) -> bool:
        """Whether streams have to begin at the new version from now on."""
        return self._must_move(max(self.longest_s, self.longest_stream_s))

    @property
    def all_are_due(self) -> bool:
        """Whether all requests have to go to the new version from now on."""
        return self._must_move(self.longest_s)

    def _must_move(self, longest_s: float) -> bool:
        """Return whether requests end before the completion only just."""
        drain_s = min(_MAX_DRAIN_S, max(_MIN_DRAIN_S, longest_s))
        left_s = self.left_s - _COMPLETE_S - _SPREAD_S
        return left_s <= drain_s and self.elapsed_s >= _MIN_CANARY_S


@dataclass(frozen=True, slots=True)
class Decision:
    """The phase from now on, and why.

    ``share`` and ``stream_share`` are the shares of the plain requests and of
    the streams for the new version, on ``servers`` of its servers (None: all).
    """

    phase: Phase
    reason: str
    share: float = 0
    stream_share: float = 0
    servers: int | None = None


def decide(now: Situation, terms: RolloutTerms) -> Decision:
    """Return the phase that follows from a situation."""
    phase, reason = _next_phase(now)
    match phase:
        case Phase.CANARY if now.is_exposed:
            return Decision(phase, reason)
        case Phase.CANARY:
            canary = terms.canary(now.old_servers)
            share = canary.share
            return Decision(phase, reason, share, share, canary.servers)
        case Phase.SWITCH if now.is_trusted or _may_move_all(now):
            return Decision(phase, reason, 1, 1)
        case Phase.SWITCH:
            # Plain requests at the old version show what affects both.
            share = 0 if now.is_exposed else terms.canary(now.old_servers).share
            return Decision(phase, reason, share, 1)
        case Phase.COMPLETED:
            return Decision(phase, reason, 1, 1)
    return Decision(phase, reason)


def _next_phase(now: Situation) -> tuple[Phase, str]:
    if now.phase.is_final:
        return now.phase, ''
    if now.suspicion >= 1 and not now.is_trusted:
        return Phase.ROLLED_BACK, now.finding
    match now.phase:
        case Phase.HOLD:
            return _leave_hold(now)
        case Phase.CANARY:
            return _leave_canary(now)
    return _leave_switch(now)


def _may_move_all(now: Situation) -> bool:
    return now.all_are_due and now.suspicion < _SUSPICIOUS


def _leave_hold(now: Situation) -> tuple[Phase, str]:
    if now.has_servers and now.is_trusted:
        return Phase.SWITCH, 'the version served before'
    if now.has_servers:
        return Phase.CANARY, 'the version has servers'
    return _wait(now, 'no server of the version')


def _leave_canary(now: Situation) -> tuple[Phase, str]:
    if not now.has_servers:
        return _wait(now, 'no server of the version is left')
    if not now.streams_are_due:
        return now.phase, ''
    if now.responses < _MIN_RESPONSES:
        return _wait(now, f'only {now.responses} responses to judge by')
    if now.suspicion >= _SUSPICIOUS:
        return _wait(now, f'not certain to be good: {now.finding}')
    return Phase.SWITCH, f'{now.responses} responses are as expected'


def _leave_switch(now: Situation) -> tuple[Phase, str]:
    if not now.has_servers:
        return _wait(now, 'no server of the version is left')
    if now.suspicion >= _SUSPICIOUS and not now.is_trusted:
        return _wait(now, f'not certain to be good: {now.finding}')
    if now.old_running == 0 and (now.is_trusted or now.left_s <= _COMPLETE_S):
        return Phase.COMPLETED, 'nothing is under way at old servers'
    if now.left_s <= _COMPLETE_LATEST_S:
        reason = f'the limit: {now.old_running} requests are at old servers'
        return Phase.COMPLETED, reason
    return now.phase, ''


def _wait(now: Situation, reason: str) -> tuple[Phase, str]:
    """Stay in a phase; roll back shortly before the limit."""
    if now.left_s <= _COMPLETE_LATEST_S:
        return Phase.ROLLED_BACK, reason
    return now.phase, ''
