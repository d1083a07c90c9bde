"""Usage of the organisations as reported by the entry VMs."""

from collections.abc import Callable, Collection

from mallowspindle.membership.messages import UsageReport


class UsageTable:
    """The latest report for each node and organisation."""

    def __init__(self) -> None:
        self._own: Callable[[], list[UsageReport]] = list
        self._peers: dict[str, list[UsageReport]] = {}

    @property
    def own(self) -> list[UsageReport]:
        """The reports of this node."""
        return self._own()

    def register_report_source(
        self, source: Callable[[], list[UsageReport]]
    ) -> None:
        """Set the function that returns this node's reports for a heartbeat."""
        self._own = source

    def replace_reports(self, node: str, reports: list[UsageReport]) -> None:
        """Replace the reports of a peer."""
        self._peers[node] = reports

    def peer_reports(self, live: Collection[str]) -> list[UsageReport]:
        """Return the reports of the live peers."""
        return [
            report
            for node, reports in self._peers.items()
            if node in live
            for report in reports
        ]
