"""Quarantine: what is refused because it crashes servers.

Load pattern: a request, or one part of a prompt, crashes each server that
begins to run it. The connection to the server breaks, so the failure is laid to
the server, and repeats carry the request to the next one. Each crash takes all
other requests at the server with it. The request comes again, and the part
comes in ever new requests, at any node.

Evidence is kept for each part and for each request, known by its fingerprint:
the crashes of servers that had it, less those after which it was answered.
Crashes at the same moment, as when a zone is lost, count once.

Parts that occur together are in the same crashes. Only a prompt with all the
parts that can't be told apart is refused: one with some of them either clears
these or shows that the others have no part in the crashes. The same holds for
requests that were at the same servers.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

# Number of crashes from which something is refused. Two may be chance: a
# request and its repeat may both be at servers that crash for another reason.
CRASHES_TO_REFUSE = 3
_MAX_TRIAL_S = 600.0
_REQUEST_PREFIX = 'request:'


@dataclass(frozen=True, slots=True)
class QuarantineTerms:
    """How evidence against parts of prompts, or against requests, counts.

    Crashes less than ``same_moment_ms`` apart have one cause, such as the loss
    of a zone. What is refused is tried with one request after
    ``first_trial_s`` without a crash, and after twice the time for each crash
    more, up to ten minutes.
    """

    same_moment_ms: int
    first_trial_s: float


PARTS = QuarantineTerms(100, 30.0)
# A request is at one server at a time, and many copies of it may come in a short
# time, so its crashes are closer together than those of parts. The same request
# is less likely than a part to be sound later.
REQUESTS = QuarantineTerms(20, 120.0)

# Unix time in ms by crash.
Crashes = Mapping[str, int]


def is_request(suspect_id: str) -> bool:
    """Return whether an id is the fingerprint of a request, not of a part."""
    return suspect_id.startswith(_REQUEST_PREFIX)


def terms_of(suspect_id: str) -> QuarantineTerms:
    """Return how evidence against a request or a part counts."""
    return REQUESTS if is_request(suspect_id) else PARTS


def count_events(
    times_ms: Iterable[int], same_moment_ms: int = PARTS.same_moment_ms
) -> int:
    """Return the number of crashes, those at the same moment counted once."""
    events = 0
    last_ms: int | None = None
    for time_ms in sorted(times_ms):
        if last_ms is None or time_ms - last_ms >= same_moment_ms:
            events += 1
            last_ms = time_ms
    return events


def is_suspect(crashes: Crashes, terms: QuarantineTerms = PARTS) -> bool:
    """Return whether enough crashes speak against a part or a request."""
    events = count_events(crashes.values(), terms.same_moment_ms)
    return events >= CRASHES_TO_REFUSE


def trial_due_ms(crashes: Crashes, terms: QuarantineTerms = PARTS) -> float:
    """Return the Unix time in ms at which what is refused may be tried."""
    events = count_events(crashes.values(), terms.same_moment_ms)
    further = max(0, events - CRASHES_TO_REFUSE)
    pause_s = min(_MAX_TRIAL_S, terms.first_trial_s * 2**further)
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
