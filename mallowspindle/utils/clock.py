"""Time of day that the nodes agree on, also while a VM's own clock jumps."""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median_high, median_low

log = logging.getLogger(__name__)

# Larger differences between two readings of a VM's time of day are jumps; time
# synchronisation corrects smaller ones.
_JUMP_S = 0.25
# A time of day that may be further from the sender's is not taken over.
MAX_ERROR_S = _JUMP_S
# How long after its start a node takes over the time of its peers.
_SETTLING_S = 10.0
# The time of a peer that has run for so much longer counts more: it may have
# started before a jump.
_LONGER_BY_S = 2.0


def boot_clock_s() -> float:
    """Return the time of a clock that also runs while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class _PeerClock:
    """The offset of a peer's time of day from the own steady clock."""

    offset_s: float
    runs_longer: bool


class SharedClock:
    """Time of day that follows the steady clock.

    It takes over small corrections of the VM's time of day, but no jumps. A
    node that has just started may have done so during a jump, so it takes over
    the median time of its peers: of those that have run for longer, if there
    are any.
    """

    def __init__(
        self,
        wall: Callable[[], float] = time.time,
        steady: Callable[[], float] = boot_clock_s,
    ) -> None:
        self._wall = wall
        self._steady = steady
        self._started_at_s = steady()
        self._first_offset_s = wall() - self._started_at_s
        self._offset_s = self._first_offset_s
        self._jumped = False
        self._peers: dict[str, _PeerClock] = {}

    @property
    def age_s(self) -> float:
        """Seconds since the start of this node."""
        return self._steady() - self._started_at_s

    @property
    def is_settling(self) -> bool:
        """Whether the node takes over the time of its peers."""
        return self.age_s < _SETTLING_S

    @property
    def jump_s(self) -> float:
        """Seconds by which the VM's time of day is ahead of this clock."""
        return self._wall() - self._steady() - self._offset_s

    def now_s(self) -> float:
        """Return the time of day as Unix time."""
        jump_s = self.jump_s
        jumped = abs(jump_s) > _JUMP_S
        if not jumped:
            self._offset_s += jump_s
        if jumped != self._jumped:
            self._jumped = jumped
            log.warning(
                'time of day of this VM %s',
                'has jumped' if jumped else 'is right again',
                extra={'ahead_s': round(jump_s, 3)},
            )
        return self._steady() + self._offset_s

    def note_peer(self, name: str, time_s: float, age_s: float) -> None:
        """Take a peer's time of day into account, and how long it has run."""
        if not self.is_settling:
            return
        self._peers[name] = _PeerClock(
            time_s - self._steady(), age_s > self.age_s + _LONGER_BY_S
        )
        longer_running = [
            peer.offset_s for peer in self._peers.values() if peer.runs_longer
        ]
        offset_s = self._median_s(
            longer_running
            or [
                self._first_offset_s,
                *(peer.offset_s for peer in self._peers.values()),
            ]
        )
        change_s = offset_s - self._offset_s
        if abs(change_s) > _JUMP_S:
            self._offset_s = offset_s
            log.warning(
                'time of day taken over from peers',
                extra={
                    'change_s': round(change_s, 3),
                    'of_longer_running': len(longer_running),
                },
            )

    def _median_s(self, offsets_s: list[float]) -> float:
        """Return the median, of two in the middle the one nearer to the own."""
        return min(
            median_low(offsets_s),
            median_high(offsets_s),
            key=lambda offset_s: abs(offset_s - self._first_offset_s),
        )
