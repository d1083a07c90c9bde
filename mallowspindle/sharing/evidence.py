"""Which evidence a relay includes in the next state that it sends.

Load pattern: many servers crash at one moment, and every node tells the same parts of
prompts several times a second. A relay that sent all of it to each node of its
zone would need more than the slowest links carry: 0.57 MB a second at 77 nodes
for 128 parts with four crashes each, where a link of 5 Mbit/s carries 0.6 MB. Its
other messages, and the requests of callers, would wait behind them.
"""

from collections.abc import Iterator, Mapping

from mallowspindle.sharing.messages import PartEvidence

# Crashes and clearances in one state, about 40 bytes each. Sent to 21 nodes 2.9
# times a second they take 0.16 MB/s, a quarter of the slowest link.
_MAX_RECORDS = 64
# Nodes look at the latest state only, and may miss some, so that a part is sent
# in several states. Afterwards a few parts take turns, for nodes that start.
_TIMES_SENT_AT_ONCE = 6
_PARTS_IN_TURN = 4
# Parts that were not told for this number of states are forgotten.
_FORGOTTEN_AFTER = 64


class _Sent:
    """What was sent of a part, and how often since it last changed."""

    def __init__(self) -> None:
        self.record_ids: set[str] = set()
        self.times = 0
        self.seen_in = 0

    def note(self, found: PartEvidence, state_number: int) -> None:
        """Note what is known by now; a change begins the count anew."""
        self.seen_in = state_number
        record_ids = found.crashes.keys() | found.cleared.keys()
        # A crash that was cleared changes sides, which is a change too.
        record_ids |= {f'cleared {crash_id}' for crash_id in found.cleared}
        if not record_ids <= self.record_ids:
            self.record_ids |= record_ids
            self.times = 0


class EvidenceSelection:
    """Chooses the evidence of each state, the least told first."""

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
            self._sent.setdefault(part_id, _Sent()).note(
                found, self._state_number
            )
        self._forget()
        chosen = {due_id: evidence[due_id] for due_id in self._due(evidence)}
        for chosen_id in chosen:
            self._sent[chosen_id].times += 1
        return chosen

    def _due(self, evidence: Mapping[str, PartEvidence]) -> Iterator[str]:
        """Yield the parts to send, up to the bounds of one state."""

        def urgency(part_id: str) -> tuple[int, int]:
            crashes = len(evidence[part_id].crashes)
            return self._sent[part_id].times, -crashes

        records = 0
        turns = 0
        for part_id in sorted(evidence, key=urgency):
            in_turn = self._sent[part_id].times >= _TIMES_SENT_AT_ONCE
            turns += in_turn
            if records >= _MAX_RECORDS or turns > _PARTS_IN_TURN:
                return
            yield part_id
            found = evidence[part_id]
            records += len(found.crashes) + len(found.cleared)

    def _forget(self) -> None:
        self._sent = {
            part_id: sent
            for part_id, sent in self._sent.items()
            if sent.seen_in > self._state_number - _FORGOTTEN_AFTER
        }
