"""Evidence against parts of prompts and requests, as this node knows it."""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import filterfalse, islice

from mallowspindle.policies.quarantine import (
    Crashes,
    find_refused_part,
    is_request,
    is_suspect,
    terms_of,
    trial_due_ms,
)
from mallowspindle.sharing.messages import PartEvidence

_MS = 1000
# Bounds the memory of a node and the size of its messages. A server may have
# hundreds of requests when it crashes, so they have a bound of their own.
_MAX_PARTS = 128
_MAX_REQUESTS = 256
_MAX_CRASHES = 12
# Parts with changes are shared for this time, and then in turns, some in each
# state, so that a node that starts or misses a message gets all of them.
_SHARED_AS_RECENT_S = 3.0
_MAX_RECENT_PARTS = 16
_PARTS_IN_TURN = 4
# Evidence is dropped so long after the last crash. It is twice the longest
# pause between two trials of a refused part.
_RETENTION_MS = 1_200_000


@dataclass(slots=True)
class _Part:
    """Crashes that speak against a part, and those that were cleared since.

    ``shares`` counts the states that had the evidence since it changed.
    """

    crashes: dict[str, int] = field(default_factory=dict)
    cleared: dict[str, int] = field(default_factory=dict)
    changed_at_s: float = 0
    shares: int = 0

    @property
    def newest_ms(self) -> int:
        """Unix time of the last crash."""
        return max((*self.crashes.values(), *self.cleared.values()), default=0)

    def merge(self, crashes: Crashes, cleared: Crashes) -> bool:
        """Add evidence in any order; return whether it was new."""
        before = (dict(self.crashes), dict(self.cleared))
        _add_earliest(self.cleared, cleared)
        for crash_id in self.crashes.keys() & self.cleared.keys():
            self.crashes.pop(crash_id)
        uncleared = [
            found for found in crashes.items() if found[0] not in self.cleared
        ]
        _add_earliest(self.crashes, dict(uncleared))
        return before != (self.crashes, self.cleared)


class EvidenceTable:
    """Crashes and answers by part or request, joined with what peers know.

    Requests are kept beside parts, under their fingerprints. An answer clears a
    part of the crashes that this node knows by then. Since crashes and
    clearances are only added, nodes agree whatever order their messages arrive
    in.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        unix_clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._unix_clock = unix_clock
        self._parts: dict[str, _Part] = {}
        self._suspect_parts: dict[str, Crashes] = {}
        self._suspect_requests: dict[str, Crashes] = {}
        self._request_count = 0
        self._next_in_turn = 0

    @property
    def suspects(self) -> Mapping[str, Crashes]:
        """The crashes of what has enough of them to be refused."""
        return {**self._suspect_parts, **self._suspect_requests}

    @property
    def has_suspect_requests(self) -> bool:
        """Whether any request has enough crashes to be refused."""
        return bool(self._suspect_requests)

    @property
    def has_requests(self) -> bool:
        """Whether there is evidence against any request."""
        return self._request_count > 0

    def record_crash(
        self, part_ids: Iterable[str], crash_id: str
    ) -> dict[str, PartEvidence]:
        """Record a crash under a prompt; return the new evidence."""
        now_ms = int(self._unix_clock() * _MS)
        return self.merge(
            {
                part_id: PartEvidence({crash_id: now_ms}, {})
                for part_id in part_ids
            }
        )

    def record_answer(self, part_ids: Iterable[str]) -> dict[str, PartEvidence]:
        """Clear the parts of a prompt that was answered; return the changes."""
        return self.merge(
            {
                part_id: PartEvidence({}, dict(self._parts[part_id].crashes))
                for part_id in part_ids
                if part_id in self._parts and self._parts[part_id].crashes
            }
        )

    def merge(
        self, evidence: Mapping[str, PartEvidence]
    ) -> dict[str, PartEvidence]:
        """Add evidence; return the parts for which any of it was new."""
        oldest_ms = self._unix_clock() * _MS - _RETENTION_MS
        changed: dict[str, PartEvidence] = {}
        for part_id, found in evidence.items():
            crashes = _later(found.crashes, oldest_ms)
            cleared = _later(found.cleared, oldest_ms)
            if not crashes and not cleared:
                continue
            part = self._parts.setdefault(part_id, _Part())
            if part.merge(crashes, cleared):
                part.changed_at_s = self._clock()
                part.shares = 0
                changed[part_id] = found
        if changed:
            self._trim(oldest_ms)
        return changed

    def explained_by(self, part_id: str) -> list[str]:
        """Return the requests whose crashes are all laid to a part."""
        crashes = self._suspect_parts.get(part_id, {})
        return [
            request_id
            for request_id, found in self._parts.items()
            if is_request(request_id)
            and found.crashes
            and _explains(crashes, found.crashes)
        ]

    def find_refused(self, part_ids: Collection[str]) -> str | None:
        """Return the part for which a prompt is refused; None if it is not."""
        return find_refused_part(part_ids, self._suspect_parts)

    def find_refused_request(self, fingerprint: str) -> str | None:
        """Return the fingerprint if requests with it are refused, else None."""
        return find_refused_part([fingerprint], self._suspect_requests)

    def is_trial_due(self, part_id: str) -> bool:
        """Return whether a refused part may be tried with one request."""
        return self.trial_wait_s(part_id) <= 0

    def trial_wait_s(self, part_id: str) -> float:
        """Return the time until a refused part may be tried."""
        due_ms = trial_due_ms(self.suspects[part_id], terms_of(part_id))
        return due_ms / _MS - self._unix_clock()

    def has_crashes(self, part_ids: Iterable[str]) -> bool:
        """Return whether crashes speak against one of the parts."""
        return any(
            part_id in self._parts and self._parts[part_id].crashes
            for part_id in part_ids
        )

    def crash_age_s(self, crash_id: str) -> float | None:
        """Return the age of a recorded crash; None if it is not recorded."""
        times_ms = [
            found[crash_id]
            for part in self._parts.values()
            for found in (part.crashes, part.cleared)
            if crash_id in found
        ]
        if not times_ms:
            return None
        return self._unix_clock() - min(times_ms) / _MS

    def shared(self) -> dict[str, PartEvidence]:
        """Return what the next state tells the peers."""
        if not self._parts:
            return {}
        recent_s = self._clock() - _SHARED_AS_RECENT_S
        recent = [
            part_id
            for part_id, part in self._parts.items()
            if part.changed_at_s >= recent_s
        ]
        recent.sort(key=self._urgency)
        chosen = {*recent[:_MAX_RECENT_PARTS], *self._parts_in_turn()}
        for chosen_id in chosen:
            self._parts[chosen_id].shares += 1
        return {part_id: self._evidence_of(part_id) for part_id in chosen}

    def _evidence_of(self, part_id: str) -> PartEvidence:
        part = self._parts[part_id]
        return PartEvidence(dict(part.crashes), dict(part.cleared))

    def _parts_in_turn(self) -> list[str]:
        start = self._next_in_turn
        found = list(islice(self._parts, start, start + _PARTS_IN_TURN))
        self._next_in_turn = start + _PARTS_IN_TURN if found else 0
        return found

    def _weight(self, part_id: str) -> tuple[int, int]:
        part = self._parts[part_id]
        return len(part.crashes), part.newest_ms

    def _urgency(self, part_id: str) -> tuple[int, int, int]:
        """Return a sort key for what peers should hear first."""
        part = self._parts[part_id]
        return -len(part.crashes), part.shares, -part.newest_ms

    def _trim(self, oldest_ms: float) -> None:
        """Drop what has expired, and the least suspect of too many."""
        by_weight = sorted(
            (
                part_id
                for part_id, part in self._parts.items()
                if part.newest_ms >= oldest_ms
            ),
            key=self._weight,
            reverse=True,
        )
        requests = list(filter(is_request, by_weight))[:_MAX_REQUESTS]
        parts = list(filterfalse(is_request, by_weight))[:_MAX_PARTS]
        kept_ids = {*requests, *parts}
        self._parts = {
            part_id: part
            for part_id, part in self._parts.items()
            if part_id in kept_ids
        }
        for kept in self._parts.values():
            _keep_newest(kept.crashes)
            _keep_newest(kept.cleared)
        self._request_count = sum(
            bool(self._parts[request_id].crashes) for request_id in requests
        )
        self._suspect_parts = self._suspects_among(parts)
        self._suspect_requests = {
            request_id: crashes
            for request_id, crashes in self._suspects_among(requests).items()
            if not any(
                _explains(part_crashes, crashes)
                for part_crashes in self._suspect_parts.values()
            )
        }

    def _suspects_among(self, part_ids: Iterable[str]) -> dict[str, Crashes]:
        return {
            part_id: self._parts[part_id].crashes
            for part_id in part_ids
            if is_suspect(self._parts[part_id].crashes, terms_of(part_id))
        }


def _explains(part_crashes: Crashes, request_crashes: Crashes) -> bool:
    """Return whether a request was in no crash that a part was not in."""
    return request_crashes.keys() <= part_crashes.keys()


def _add_earliest(known: dict[str, int], found: Crashes) -> None:
    """Add crashes; nodes notice the same one at slightly different times."""
    for crash_id, time_ms in found.items():
        known[crash_id] = min(time_ms, known.get(crash_id, time_ms))


def _later(crashes: Crashes, oldest_ms: float) -> dict[str, int]:
    return {
        crash_id: time_ms
        for crash_id, time_ms in crashes.items()
        if time_ms >= oldest_ms
    }


def _keep_newest(crashes: dict[str, int]) -> None:
    for crash_id in sorted(crashes, key=crashes.__getitem__)[:-_MAX_CRASHES]:
        crashes.pop(crash_id)
