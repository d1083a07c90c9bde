"""Whether the run of a stream has ended whose connection was lost.

Load pattern: servers crash, fall silent, or lose single answers, and most but
not all of them drop a run with its connection. A stream that must not run
twice goes on from a copy of its run only if the run has ended. Its caller
waits meanwhile, and leaves if no event comes for about two seconds.
"""

from dataclasses import dataclass

# Maximum age of what servers report, which is some hundred milliseconds old.
REPORT_AGE_S = 1.0


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run whose connection was lost at ``lost_at_s``.

    ``server_id`` and ``started_at_ms`` (Unix time, 0 if unknown) are those of
    its server. ``began_at_s`` is when its first event came, on the same clock
    as ``lost_at_s``; None if there was none, so that it may still wait there.
    """

    request_id: str
    server_id: str
    started_at_ms: int
    began_at_s: float | None
    lost_at_s: float

    @property
    def listed_from_s(self) -> float:
        """When the server has reported the run at the latest, if it runs."""
        began_at_s = self.began_at_s
        if began_at_s is None:
            began_at_s = self.lost_at_s
        return began_at_s + REPORT_AGE_S

    @property
    def decided_at_s(self) -> float:
        """From when on the server reports whether the run goes on."""
        return self.lost_at_s + REPORT_AGE_S

    def is_from(self, server_id: str | None, started_at_ms: int | None) -> bool:
        """Return whether a report may be of the run's server.

        Another server, or a later start of the same, may have its address.
        """
        if server_id not in {None, self.server_id}:
            return False
        return (
            not started_at_ms
            or not self.started_at_ms
            or started_at_ms == self.started_at_ms
        )


def has_ended(
    run: LostRun, reported_ids: frozenset[str], asked_at_s: float
) -> bool:
    """Return whether a report of the run's server shows that it has ended.

    One that was asked for too early may not list it yet.
    """
    return (
        run.request_id not in reported_ids and asked_at_s >= run.listed_from_s
    )
