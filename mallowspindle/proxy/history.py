"""Where one request has been sent, and how often it may have run."""

from dataclasses import dataclass, field

from mallowspindle.outcomes import NotRun
from mallowspindle.proxy.outcomes import AttemptOutcome, PeerAnswered


@dataclass(slots=True)
class AttemptHistory:
    """The attempts of one request, at servers and through peers.

    ``run_count`` is the number of attempts that may have run. An attempt that
    has not ended yet is in ``servers`` or ``peers`` only.
    """

    servers: set[str] = field(default_factory=set)
    peers: set[str] = field(default_factory=set)
    run_count: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether the request has been sent nowhere."""
        return not self.servers and not self.peers

    @property
    def names(self) -> list[str]:
        """The servers and peers, sorted."""
        return sorted(self.servers | self.peers)

    def note_outcome(self, outcome: AttemptOutcome) -> None:
        """Count an attempt that has ended, unless it certainly has not run."""
        is_refusal = (
            isinstance(outcome, PeerAnswered) and outcome.promises_not_run
        )
        if not isinstance(outcome, NotRun) and not is_refusal:
            self.run_count += 1

    def note_cancelled(self) -> None:
        """Count an attempt that was given up and may have run."""
        self.run_count += 1
