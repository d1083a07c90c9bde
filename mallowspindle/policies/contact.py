"""Contact: whether a node can know which configuration is in force.

Load pattern: the paths of one node to the store and to all peers stop, or the
node is frozen, while callers still reach it. The others apply newer versions of
the configuration. If the store is down for all nodes instead, none of them may
stop serving, and the answers of peers tell the two apart.
"""

from dataclasses import dataclass

# A node whose paths stop was certain of its configuration up to half of the
# bound before: the store is read for all nodes every 0.5 s, and the next node
# takes over within 1 s. So half of the bound of silence is left.
_SILENT_FRACTION = 0.5
# A node asks peers about once a second while the store is down for all. This
# leaves room for a second of silence. The operators extend the bound by more
# than half of it while the store is unstable.
_TOLD_FRACTION = 1.5


@dataclass(frozen=True, slots=True)
class Contact:
    """What a node has heard of its configuration, as ages in seconds.

    ``certain_age_s``: since its configuration certainly matched the store.
    ``peer_silence_s``: since it sent the last call that a peer has answered.
    ``outage_told_s``: since it sent the last question for the configuration
    that was answered by a peer that had not heard from the store either.
    """

    certain_age_s: float
    peer_silence_s: float
    outage_told_s: float
    knows_peers: bool


class ContactWatch:
    """Decides whether a node is cut off; never without a bound.

    It is cut off once its configuration is older than ``apply_s`` and no peer
    answers. Then the answer of a peer alone does not end it, as the peer may
    know a newer configuration: it ends when the configuration is certain again,
    or when a peer says that the store is down for it too.
    """

    def __init__(self, apply_s: float | None) -> None:
        self._apply_s = apply_s
        self._has_known_peers = False
        self._is_cut_off = False

    def update(self, contact: Contact) -> bool:
        """Return whether the node is cut off now."""
        if self._apply_s is None:
            return False
        self._has_known_peers = self._has_known_peers or contact.knows_peers
        is_certain = contact.certain_age_s < self._apply_s
        is_told = contact.outage_told_s < self._apply_s * _TOLD_FRACTION
        if is_certain or is_told or not self._has_known_peers:
            self._is_cut_off = False
        elif contact.peer_silence_s >= self._apply_s * _SILENT_FRACTION:
            self._is_cut_off = True
        return self._is_cut_off
