"""Enforces limits of organisations across entry VMs by gossiped usage."""

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
    """Compares limits with the usage of this node and its live peers.

    Peers report their usage with each heartbeat, so a limit may be exceeded
    by the requests that all nodes admit within one heartbeat interval.
    """

    def __init__(self, node: str, usage: UsageTable) -> None:
        self._node = node
        self._usage = usage
        self._in_progress: Counter[str] = Counter()
        self._admission_times: dict[str, deque[float]] = {}
        usage.register_report_source(self._usage_reports)

    def refusal(
        self, organisation: Organisation, live: set[str]
    ) -> NotRun | None:
        """Return why the organisation may not start a request, if so."""
        limits = organisation.limits
        peers = [
            report
            for report in self._usage.peer_reports(live)
            if report.organisation == organisation.name
        ]
        rate = self._own_rate(organisation.name)
        rate += sum(report.rate_per_s for report in peers)
        if limits.requests_per_s and rate >= limits.requests_per_s:
            return NotRun('the limit of requests per second is met', _WINDOW_S)
        running = self._in_progress[organisation.name]
        running += sum(report.in_progress for report in peers)
        max_in_progress = limits.requests_in_progress
        if max_in_progress and running >= max_in_progress:
            return NotRun('the limit of requests in progress is met', _WINDOW_S)
        return None

    @contextmanager
    def track_request(self, organisation: str) -> Iterator[None]:
        """Count a request in the rate, and as in progress until it ends."""
        self._admission_times.setdefault(organisation, deque()).append(
            time.monotonic()
        )
        self._in_progress[organisation] += 1
        try:
            yield
        finally:
            self._in_progress[organisation] -= 1

    def _own_rate(self, organisation: str) -> float:
        times = self._admission_times.get(organisation, deque())
        window_start_s = time.monotonic() - _WINDOW_S
        while times and times[0] < window_start_s:
            times.popleft()
        return len(times) / _WINDOW_S

    def _usage_reports(self) -> list[UsageReport]:
        reports = (
            UsageReport(self._node, name, self._own_rate(name), running)
            for name, running in self._in_progress.items()
        )
        return [
            report
            for report in reports
            if report.rate_per_s or report.in_progress
        ]
