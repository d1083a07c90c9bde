"""Which evidence a relay includes in the next state that it sends.

Load pattern: many servers crash at one moment, and every node tells the same
parts of prompts several times a second. The sum of all nodes holds nearly all
of them, and a relay sends it to each node of its zone 2.9 times a second. At 77
nodes that took 0.7 MB a second, on a link that carries 1.2 MB in all: other
messages and the requests of callers waited behind them.
"""

from collections.abc import Iterator, Mapping, Sequence
from itertools import accumulate

from mallowspindle.sharing.messages import PartEvidence

# Ids of parts, crashes and clearances in one state, about 40 bytes each. Sent to
# 21 nodes 2.9 times a second, 64 take 0.16 MB/s, a quarter of the slowest link.
_MAX_CHANGED_IDS = 48
_MAX_ROTATED_IDS = 16
# Nodes look at the latest state only and may miss some, so a part is sent in
# several states after a change. Afterwards parts are sent in rotation, for nodes
# that start later.
_TIMES_SENT_AT_ONCE = 6
_PARTS_IN_ROTATION = 4
# A part with more crashes is closer to being refused. Each of up to three
# crashes counts like this number of states in which it was sent less.
_STATES_PER_CRASH = 2
_CRASHES_UNTIL_REFUSED = 3
# A part that was in no sum for this number of states is forgotten.
_FORGOTTEN_AFTER = 64
# Bounds the memory for a part that is in crashes all day.
_MAX_KNOWN_IDS = 64


class _Sent:
    """What was sent of a part, and how often since it last changed."""

    def __init__(self) -> None:
        self.times = 0
        self.last_sent_in = 0
        self.last_seen_in = 0
        # In the order in which they were first sent.
        self._known_ids: dict[str, None] = {}

    def note_seen(self, found: PartEvidence, state_number: int) -> None:
        """Begin the count anew if anything in the sum was never sent."""
        self.last_seen_in = state_number
        if not self._known_ids.keys() >= _record_ids(found):
            self.times = 0

    def note_sent(self, found: PartEvidence, state_number: int) -> None:
        """Record that a state carries the part."""
        self.times = min(self.times + 1, _TIMES_SENT_AT_ONCE)
        self.last_sent_in = state_number
        self._known_ids.update(dict.fromkeys(_record_ids(found)))
        while len(self._known_ids) > _MAX_KNOWN_IDS:
            self._known_ids.pop(next(iter(self._known_ids)))


class EvidenceSelection:
    """Chooses the evidence of each state.

    Changed parts come first, those that were sent least often before the others;
    then some of the rest in rotation.
    """

    def __init__(self) -> None:
        self._sent: dict[str, _Sent] = {}
        self._state_number = 0

    def next(
        self, evidence: Mapping[str, PartEvidence]
    ) -> dict[str, PartEvidence]:
        """Return the evidence for the next state."""
        if not evidence and not self._sent:
            return {}
        self._state_number += 1
        for part_id, found in evidence.items():
            sent = self._sent.setdefault(part_id, _Sent())
            sent.note_seen(found, self._state_number)
        self._forget()
        chosen = {due_id: evidence[due_id] for due_id in self._due(evidence)}
        for chosen_id, chosen_evidence in chosen.items():
            self._sent[chosen_id].note_sent(chosen_evidence, self._state_number)
        return chosen

    def _due(self, evidence: Mapping[str, PartEvidence]) -> Iterator[str]:
        """Yield the parts to send, up to the bound of one state."""
        changed = [
            part_id
            for part_id in evidence
            if self._sent[part_id].times < _TIMES_SENT_AT_ONCE
        ]
        changed.sort(key=lambda each: self._urgency(each, evidence[each]))
        unchanged = sorted(
            evidence.keys() - set(changed),
            key=lambda each: self._sent[each].last_sent_in,
        )
        yield from _first_within(changed, evidence, _MAX_CHANGED_IDS)
        yield from _first_within(
            unchanged[:_PARTS_IN_ROTATION], evidence, _MAX_ROTATED_IDS
        )

    def _urgency(self, part_id: str, found: PartEvidence) -> int:
        crashes = min(len(found.crashes), _CRASHES_UNTIL_REFUSED)
        return self._sent[part_id].times - crashes * _STATES_PER_CRASH

    def _forget(self) -> None:
        oldest = self._state_number - _FORGOTTEN_AFTER
        self._sent = {
            part_id: sent
            for part_id, sent in self._sent.items()
            if sent.last_seen_in > oldest
        }


def _first_within(
    part_ids: Sequence[str], evidence: Mapping[str, PartEvidence], max_ids: int
) -> Iterator[str]:
    """Yield parts while their ids are within a bound, and at least one."""
    sizes = (1 + len(_record_ids(evidence[each])) for each in part_ids)
    for part_id, size in zip(part_ids, accumulate(sizes), strict=True):
        yield part_id
        if size >= max_ids:
            return


def _record_ids(found: PartEvidence) -> set[str]:
    # A crash that is cleared later is a change too.
    cleared = {f'cleared {crash_id}' for crash_id in found.cleared}
    return cleared.union(found.crashes)
