"""Which requests are turned away before they are sent.

Load pattern: more prompts than the servers read in time, as when a zone's
servers are taken away. Sent all the same, each waits behind the others until
all are late. A request behind whose server more is waiting than its objective
allows is refused at once, and told when that will have been read. Its own
length does not count, so that long prompts are served as often as short ones.
"""

from dataclasses import dataclass

# Part of the objective that the prompts ahead may take.
_WAITING_PART = 0.8
# Callers wait no longer than this part of the time they have left.
_PAUSE_PART = 0.33
_LEAST_PAUSE_S = 0.1


@dataclass(frozen=True, slots=True)
class QueueEstimate:
    """What waits ahead of a request at the best server, and its times."""

    backlog_s: float
    objective_s: float
    time_left_s: float


def refusal_retry_after_s(turn: QueueEstimate) -> float:
    """Return 0 to admit a request, or when the caller should come back."""
    bearable_s = turn.objective_s * _WAITING_PART
    if turn.backlog_s <= bearable_s:
        return 0
    over_s = max(_LEAST_PAUSE_S, turn.backlog_s - bearable_s)
    return min(over_s, turn.time_left_s * _PAUSE_PART)
