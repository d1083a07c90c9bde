"""How fast servers are, from their own statements and from past responses."""

import math
import time
from collections import defaultdict
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, replace
from statistics import fmean

from mallowspindle.backends.candidates import engine_of
from mallowspindle.backends.view import (
    NO_WORK,
    BackendView,
    InFlightRequest,
)
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.catalog.service import CatalogService
from mallowspindle.policies.placement import Candidate, Placement
from mallowspindle.policies.speed import (
    NOTHING,
    PLAIN_PRIOR,
    PREFILL_PRIOR,
    PaceMeter,
    Taken,
    bounded_time_s,
    learnt_pace,
    mean_pace,
    present_slowdown,
    turns_of,
)
from mallowspindle.proxy.messages import LoadReport
from mallowspindle.sharing.messages import ServerReport, ServerTime, WorkSum
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.telemetry import meter

_MS = 1000
_PERCENT = 100
# Age up to which a node tells its peers of a report, and up to which one counts.
_MAX_SHARED_AGE_S = 1.0
_MAX_REPORT_AGE_S = 5.0
# Age up to which the requests in a report count: with older ones, a server that
# was full and gets no request would be avoided for ever.
_MAX_QUEUE_AGE_S = 2.0
# For how long the means over the servers of a service are kept.
_MEANS_VALIDITY_S = 0.2
# Time of a plain request, and of a second of prefill, before any response.
_DEFAULT_PLAIN_PACE_S = 0.1
_DEFAULT_PREFILL_PACE = 1.0
# Responses to prompts with less prefill time show the network, not the server.
_MIN_PREFILL_S = 0.01

prediction_error = meter.create_histogram('response_prediction_error', 's')


@dataclass(frozen=True, slots=True)
class _Report:
    """A report of a server; ``own`` is whether this node has got it itself."""

    requests: int
    slowdown: float
    at_s: float
    own: bool


@dataclass(frozen=True, slots=True)
class _Means:
    """Means over the servers of a service, and their paces, as of ``at_s``.

    ``paces`` are those of the servers at a slowdown of 1.
    """

    pace: float
    slowdown: float
    at_s: float
    paces: Mapping[str, float]


class ServerSpeeds:
    """The speed of each server of the services that state their slowdowns."""

    def __init__(
        self,
        catalog: CatalogService,
        sharing: SharingService,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._sharing = sharing
        self._catalog = catalog
        self._clock = clock
        self._peers = WorkSum()
        self._reports: dict[str, _Report] = {}
        self._own: dict[str, PaceMeter] = defaultdict(PaceMeter)
        self._means: dict[str, _Means] = {}
        # The services without a stated slowdown, and when that was found.
        self._unstated_at_s: dict[str, float] = {}

    def record(self, server: BackendServer, load: LoadReport) -> None:
        """Record the load in a server's response."""
        if load.slowdown is not None:
            self._reports[server.server_id] = _Report(
                load.running + load.waiting,
                load.slowdown,
                self._clock(),
                own=True,
            )

    def record_response(
        self, view: BackendView, in_flight: InFlightRequest
    ) -> None:
        """Learn from the time to an answer or to the first event."""
        if not in_flight.work:
            return
        now_s = self._clock()
        taken_s = now_s - in_flight.sent_at_s
        prediction_error.record(abs(taken_s - in_flight.expected_s))
        report = self._reports.get(view.server.server_id)
        work = in_flight.work
        in_flight.work = 0
        is_plain = not self._has_engine(view.server.service)
        if report is None or (
            is_plain and _may_have_waited(work, view, report)
        ):
            return
        self._own[view.server.server_id].note(
            bounded_time_s(taken_s, in_flight.expected_s),
            work * report.slowdown,
            now_s,
        )

    def note_sent(
        self, view: BackendView, tracked: InFlightRequest, wait_s: float
    ) -> None:
        """Record what is expected of a request that is sent."""
        means = self._means.get(view.server.service)
        if means is None:
            return
        tracked.sent_at_s = self._clock()
        pace = self._pace(view.server.server_id, means, tracked.sent_at_s)
        if not self._has_engine(view.server.service):
            tracked.work = turns_of(self._ahead(view) - 1, view.server.slots)
        elif tracked.prefill_s >= _MIN_PREFILL_S:
            tracked.work = (tracked.prefill_s + wait_s) / pace
        tracked.expected_s = tracked.work * pace

    def prefill_pace(self, view: BackendView) -> float:
        """Return the factor on the usual prefill time; 1 if not followed."""
        means = self._means.get(view.server.service)
        if means is None or not self._has_engine(view.server.service):
            return 1
        return self._pace(view.server.server_id, means, self._clock())

    def apply(
        self,
        usable: Sequence[BackendView],
        candidates: Sequence[Candidate],
        placement: Placement,
    ) -> tuple[Placement, str]:
        """Set the pace of candidates; return the placement and its policy.

        The backlog of plain requests is the shortest wait for a slot. Nothing is
        changed at services whose servers state no slowdown.
        """
        service_name = usable[0].server.service
        self._merge_peers()
        means = self._current_means(service_name, usable)
        if means is None:
            return placement, 'predicted'
        now_s = self._clock()
        for candidate in candidates:
            candidate.pace = self._pace(candidate.server_id, means, now_s)
        if self._has_engine(service_name):
            return placement, 'prefill_pace'
        self._set_queues(usable, candidates)
        unreported = self._unreported_requests(usable, means)
        return (
            replace(placement, unreported_s=unreported, plain=True),
            'plain_pace',
        )

    def own_reports(self) -> dict[str, ServerReport]:
        """Return what servers have lately reported to this node itself.

        What peers have told is not passed on: its age would lack the time in
        transit, so that it could seem newer than it is.
        """
        now_s = self._clock()
        return {
            server_id: ServerReport(
                report.requests,
                round(report.slowdown * _PERCENT),
                int((now_s - report.at_s) * _MS),
            )
            for server_id, report in self._reports.items()
            if report.own and now_s - report.at_s < _MAX_SHARED_AGE_S
        }

    def own_times(self) -> dict[str, ServerTime]:
        """Return what the responses to this node have taken."""
        now_s = self._clock()
        sums = {
            server_id: own.sums(now_s) for server_id, own in self._own.items()
        }
        return {
            server_id: ServerTime(int(took.taken_s * _MS), int(took.work * _MS))
            for server_id, took in sums.items()
            if took.work * _MS >= 1
        }

    def forget(self, server_id: str) -> None:
        """Forget a server: another one has its id now."""
        self._reports.pop(server_id, None)
        self._own.pop(server_id, None)

    def forget_gone(self, server_ids: Collection[str]) -> None:
        """Forget all servers but ``server_ids``."""
        for table in (self._reports, self._own):
            for server_id in table.keys() - set(server_ids):
                table.pop(server_id)

    def _has_engine(self, service_name: str) -> bool:
        return engine_of(self._catalog, service_name) is not None

    def _current_means(
        self, service_name: str, views: Sequence[BackendView]
    ) -> _Means | None:
        """Return the means of a service; None if no slowdown is stated."""
        if not self._reports:
            return None
        now_s = self._clock()
        kept_s = now_s - _MEANS_VALIDITY_S
        known = self._means.get(service_name)
        if known is not None and known.at_s > kept_s:
            return known
        if self._unstated_at_s.get(service_name, -math.inf) > kept_s:
            return None
        return self._renew_means(service_name, views, now_s)

    def _renew_means(
        self, service_name: str, views: Sequence[BackendView], now_s: float
    ) -> _Means | None:
        slowdowns = self._recent_slowdowns(views, now_s - _MAX_REPORT_AGE_S)
        if not slowdowns:
            self._unstated_at_s[service_name] = now_s
            self._means.pop(service_name, None)
            return None
        default, prior = (
            (_DEFAULT_PREFILL_PACE, PREFILL_PRIOR)
            if self._has_engine(service_name)
            else (_DEFAULT_PLAIN_PACE_S, PLAIN_PRIOR)
        )
        taken = {view.server.server_id: self._taken(view) for view in views}
        mean = mean_pace(taken.values(), default)
        paces = {
            server_id: learnt_pace(own, mean, prior)
            for server_id, own in taken.items()
        }
        means = _Means(mean, fmean(slowdowns), now_s, paces)
        self._means[service_name] = means
        return means

    def _recent_slowdowns(
        self, views: Sequence[BackendView], oldest_s: float
    ) -> list[float]:
        reports = (self._reports.get(view.server.server_id) for view in views)
        return [
            report.slowdown
            for report in reports
            if report and report.at_s > oldest_s
        ]

    def _taken(self, view: BackendView) -> Taken:
        """Return what the responses of a server took, over all nodes."""
        server_id = view.server.server_id
        meter_of_server = self._own.get(server_id)
        own = NOTHING
        if meter_of_server is not None:
            own = meter_of_server.sums(self._clock())
        peers = self._peers.times.get(server_id)
        if peers is None:
            return own
        return Taken(
            own.taken_s + peers.taken_ms / _MS, own.work + peers.work / _MS
        )

    def _pace(self, server_id: str, means: _Means, now_s: float) -> float:
        """Return the expected time of a unit of work at a server now."""
        pace = means.paces.get(server_id, means.pace)
        report = self._reports.get(server_id)
        if report is None:
            return pace * means.slowdown
        return pace * present_slowdown(
            report.slowdown, now_s - report.at_s, means.slowdown
        )

    def _set_queues(
        self, views: Sequence[BackendView], candidates: Sequence[Candidate]
    ) -> None:
        """Set the requests at each server, and the shortest wait for a slot."""
        for view, candidate in zip(views, candidates, strict=True):
            candidate.running = self._ahead(view)
        wait_s = min(
            each.pace * (turns_of(each.running, each.slots) - 1)
            for each in candidates
        )
        for each in candidates:
            each.backlog_s = wait_s

    def _unreported_requests(
        self, views: Sequence[BackendView], means: _Means
    ) -> float:
        """Estimate how many requests peers have sent since their reports.

        As many as they had there arrive in the time that each takes.
        """
        peers = self._peers
        if not peers.nodes:
            return 0
        reported = sum(
            peers.loads.get(view.server.server_id, NO_WORK).running
            for view in views
        )
        age_s = peers.ages_s / peers.nodes
        return reported * age_s / (means.pace * means.slowdown)

    def _ahead(self, view: BackendView) -> int:
        """Return how many requests of all nodes are at a server.

        The work of peers and the last report are both about half a second old,
        and neither is the better one at all times, so the larger counts.
        """
        load = self._peers.loads.get(view.server.server_id, NO_WORK)
        known = len(view.in_flight) + load.running
        report = self._reports.get(view.server.server_id)
        if report is None or self._clock() - report.at_s > _MAX_QUEUE_AGE_S:
            return known
        return max(known, report.requests)

    def _merge_peers(self) -> None:
        """Adopt the reports of peers that are newer than the known ones."""
        work = self._sharing.peer_work()
        if work is self._peers:
            return
        self._peers = work
        now_s = self._clock()
        for server_id, told in work.reports.items():
            at_s = now_s - told.age_ms / _MS
            known = self._reports.get(server_id)
            if known is None or known.at_s < at_s:
                self._reports[server_id] = _Report(
                    told.requests,
                    told.slowdown_percent / _PERCENT,
                    at_s,
                    own=False,
                )


def _may_have_waited(turns: float, view: BackendView, report: _Report) -> bool:
    """Return whether a plain request may have waited for a slot.

    For how long is not known, so its time does not tell the server's pace.
    """
    return turns > 1 or report.requests >= view.server.slots
