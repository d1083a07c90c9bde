"""Admission control: which requests are refused before they are sent.

Load pattern: more prompts than the servers can prefill in time, for example
after a zone's servers are reclaimed. If all were sent, they would queue behind
each other and all miss their latency objective. A request is refused at once
if the backlog of the best server is longer than its objective allows; the
refusal says when the backlog should be short enough again. The request's own
length does not count, so that long prompts are admitted as often as short ones.
"""

from dataclasses import dataclass

# Fraction of the objective that the prompts ahead may take.
_MAX_BACKLOG_FRACTION = 0.8
# A refused caller waits at most this fraction of its remaining time, so that
# a retry can still succeed.
_MAX_PAUSE_FRACTION = 0.33
_MIN_PAUSE_S = 0.1


@dataclass(frozen=True, slots=True)
class QueueEstimate:
    """The backlog ahead of a request at the best server, and its limits.

    ``backlog_s`` is the prefill time of the prompts ahead, ``objective_s`` the
    latency objective and ``time_left_s`` the time up to the deadline.
    """

    backlog_s: float
    objective_s: float
    time_left_s: float


def refusal_retry_after_s(queue: QueueEstimate) -> float:
    """Return 0 to admit a request, or the seconds to wait before a retry."""
    max_backlog_s = queue.objective_s * _MAX_BACKLOG_FRACTION
    if queue.backlog_s <= max_backlog_s:
        return 0
    excess_s = max(_MIN_PAUSE_S, queue.backlog_s - max_backlog_s)
    return min(excess_s, queue.time_left_s * _MAX_PAUSE_FRACTION)
