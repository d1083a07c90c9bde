"""When this node may send a request to a second server."""

from collections import defaultdict
from functools import partial

from mallowspindle.config.platform import HedgingSection
from mallowspindle.policies.hedging import HedgeShare, RouteTimes


class HedgeLimits:
    """The times of the routes and the share of hedges of each service."""

    def __init__(self, settings: HedgingSection) -> None:
        self._settings = settings
        self._times: dict[str, RouteTimes] = defaultdict(RouteTimes)
        self._shares: dict[str, HedgeShare] = defaultdict(
            partial(HedgeShare, settings.share)
        )

    @property
    def enabled(self) -> bool:
        """Whether the settings allow hedges."""
        return self._settings.share > 0

    def note_time(self, route_name: str, taken_s: float) -> None:
        """Record the time of an answer, or until an attempt was given up."""
        self._times[route_name].note(taken_s)

    def delay_s(self, route_name: str) -> float | None:
        """Return the time after which a hedge is sent; None for no hedge."""
        usual_s = self._times[route_name].usual_s()
        if usual_s is None:
            return None
        return max(self._settings.min_delay_s, usual_s)

    def share_of(self, service_name: str) -> HedgeShare:
        """Return what limits the hedges of a service."""
        return self._shares[service_name]
