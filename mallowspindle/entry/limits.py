"""Limits of organisations, shared over the entry VMs by gossiped usage."""

import time
from collections import Counter, deque
from collections.abc import Iterator
from contextlib import contextmanager

from mallowspindle.membership.messages import UsageReport
from mallowspindle.membership.usage import UsageTable
from mallowspindle.outcomes import NotRun
from mallowspindle.settings.documents import Organisation

_WINDOW_S = 1.0


class OrganisationLimits:
    """Counts what this node admits and adds what the peers report.

    Peers report with each heartbeat, so a limit may be passed by what all
    nodes admit within one heartbeat interval.
    """

    def __init__(self, node: str, usage: UsageTable) -> None:
        self._node = node
        self._usage = usage
        self._in_progress: Counter[str] = Counter()
        self._admitted: dict[str, deque[float]] = {}
        usage.register_report_source(self._reports)

    def refusal(
        self, organisation: Organisation, live: set[str]
    ) -> NotRun | None:
        """Return why the organisation may not begin a request now."""
        limits = organisation.limits
        peers = [
            report
            for report in self._usage.peer_reports(live)
            if report.organisation == organisation.name
        ]
        rate = self._rate(organisation.name)
        rate += sum(report.rate_per_s for report in peers)
        if limits.requests_per_s and rate >= limits.requests_per_s:
            return NotRun('the limit of requests per second is met', _WINDOW_S)
        running = self._in_progress[organisation.name]
        running += sum(report.in_progress for report in peers)
        most = limits.requests_in_progress
        if most and running >= most:
            return NotRun('the limit of requests in progress is met', _WINDOW_S)
        return None

    @contextmanager
    def track_request(self, organisation: str) -> Iterator[None]:
        """Count a request while it is in progress."""
        self._admitted.setdefault(organisation, deque()).append(
            time.monotonic()
        )
        self._in_progress[organisation] += 1
        try:
            yield
        finally:
            self._in_progress[organisation] -= 1

    def _rate(self, organisation: str) -> float:
        times = self._admitted.get(organisation, deque())
        horizon_s = time.monotonic() - _WINDOW_S
        while times and times[0] < horizon_s:
            times.popleft()
        return len(times) / _WINDOW_S

    def _reports(self) -> list[UsageReport]:
        reports = (
            UsageReport(self._node, name, self._rate(name), running)
            for name, running in self._in_progress.items()
        )
        return [
            report
            for report in reports
            if report.rate_per_s or report.in_progress
        ]
