"""Backend servers as seen by this node."""

import time
from dataclasses import dataclass, field

from pydantic import BaseModel, ConfigDict

from mallowspindle.native.cloud import Vm

_SUSPECT_S = 2.0
_MAX_SUSPECT_S = 30.0


class LoadReport(BaseModel):
    """The load that a backend server reports, with a delay."""

    model_config = ConfigDict(frozen=True, extra='ignore')

    running: int = 0
    queued: int = 0
    max_batch: int = 16
    prefill_tokens_per_s: float = 20_000
    leaving: bool = False


@dataclass(slots=True)
class Dispatch:
    """One attempt that this node has sent to a server.

    ``prompt_tokens`` are those that the server should not have cached, and
    ``cached_share`` is the share of the prompt that it should have cached.
    """

    sent_at_s: float
    prompt_tokens: int
    cached_share: float = 0


@dataclass(slots=True)
class ServerView:
    """One backend server: its report, this node's dispatches and failures."""

    vm: Vm
    report: LoadReport = field(default_factory=LoadReport)
    reported_at_s: float = 0
    dispatches: dict[str, Dispatch] = field(default_factory=dict)
    failures: int = 0
    suspect_until_s: float = 0

    @property
    def usable(self) -> bool:
        """Whether the server is not ejected because of failures."""
        return time.monotonic() >= self.suspect_until_s

    def dispatched_since_report(self) -> list[Dispatch]:
        """Return this node's attempts that the report cannot include yet."""
        return [
            dispatch
            for dispatch in self.dispatches.values()
            if dispatch.sent_at_s > self.reported_at_s
        ]

    def take_report(self, report: LoadReport) -> None:
        """Store a new load report."""
        self.report = report
        self.reported_at_s = time.monotonic()

    def record_failure(self) -> None:
        """Eject the server for a bounded time that doubles with each failure."""
        self.failures += 1
        pause_s = min(_MAX_SUSPECT_S, _SUSPECT_S * 2 ** (self.failures - 1))
        self.suspect_until_s = time.monotonic() + pause_s

    def record_success(self) -> None:
        """End the ejection."""
        self.failures = 0
        self.suspect_until_s = 0
