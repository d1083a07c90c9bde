"""Quarantine: which parts of prompts are refused because they crash servers.

Load pattern: one part of a prompt crashes each server that begins to respond to
it. The connection to the server breaks, so the failure is laid to the server,
and repeats carry the request to the next one. Each crash takes all other
requests at the server with it, and the same part comes in ever new requests,
at any node.

Evidence is kept for each part: the crashes of servers that had just begun to
respond to a prompt with it, less those after which a prompt with it was
answered. Crashes at the same moment, as when a zone is lost, count once.

Parts that occur together are in the same crashes. Only a prompt with all the
parts that can't be told apart is refused: one with some of them either clears
these or shows that the others have no part in the crashes.
"""

from collections.abc import Collection, Iterable, Mapping

# Number of crashes from which a part is refused. Two may be chance: a request
# and its repeat may both be at servers that crash for another reason.
CRASHES_TO_REFUSE = 3
# Crashes that are closer together have one cause, such as the loss of a zone.
_SAME_MOMENT_MS = 100
# A refused part is tried with one request after this time without a crash, and
# after twice the time for each crash more, up to the maximum.
_FIRST_TRIAL_S = 30.0
_MAX_TRIAL_S = 600.0

# Unix time in ms by crash.
Crashes = Mapping[str, int]


def count_events(times_ms: Iterable[int]) -> int:
    """Return the number of crashes, those at the same moment counted once."""
    events = 0
    last_ms: int | None = None
    for time_ms in sorted(times_ms):
        if last_ms is None or time_ms - last_ms >= _SAME_MOMENT_MS:
            events += 1
            last_ms = time_ms
    return events


def is_suspect(crashes: Crashes) -> bool:
    """Return whether so many crashes speak against a part."""
    return count_events(crashes.values()) >= CRASHES_TO_REFUSE


def trial_due_ms(crashes: Crashes) -> float:
    """Return the Unix time in ms at which a refused part may be tried."""
    further = count_events(crashes.values()) - CRASHES_TO_REFUSE
    pause_s = min(_MAX_TRIAL_S, _FIRST_TRIAL_S * 2 ** max(0, further))
    return max(crashes.values()) + pause_s * 1000


def find_refused_part(
    part_ids: Collection[str], suspects: Mapping[str, Crashes]
) -> str | None:
    """Return the part for which a prompt is refused; None if it is not.

    It is the same one for all prompts with the parts that can't be told apart.
    ``suspects`` holds the crashes of the parts for which ``is_suspect`` holds.
    """
    present = [part_id for part_id in part_ids if part_id in suspects]
    for part_id in present:
        crashes = suspects[part_id].keys()
        indistinguishable = {
            other_id
            for other_id, other_crashes in suspects.items()
            if crashes <= other_crashes.keys()
        }
        if indistinguishable.issubset(present):
            return min(indistinguishable)
    return None
