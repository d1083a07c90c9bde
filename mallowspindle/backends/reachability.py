"""Reports of servers that accept no connections."""

from collections import Counter
from collections.abc import Collection, Container, Mapping, Sequence
from itertools import chain

from mallowspindle.backends.view import BackendView

# Number of nodes that must report a server as unreachable before others avoid
# it. A single node may be disconnected itself.
_MIN_REPORTERS = 2


def reported_unreachable(
    zones: Mapping[str, Mapping[str, int]], own_zone: str
) -> set[str]:
    """Return the servers that enough peers report as unreachable.

    ``zones`` holds the number of reports by zone of the peers and by server.
    All nodes of another zone may be disconnected from a server that this
    zone reaches. So another zone counts as one report, however many of its
    nodes agree; each node of this zone counts.
    """
    if not zones:
        return set()
    reporters = Counter(name for counts in zones.values() for name in counts)
    reporters.update(zones.get(own_zone, {}))
    reporters.subtract(dict.fromkeys(zones.get(own_zone, {}), 1))
    return {
        name for name, count in reporters.items() if count >= _MIN_REPORTERS
    }


def own_report(
    views: Mapping[str, BackendView],
    registered: Container[str],
    zone: str,
    not_reached: Container[str] = (),
) -> dict[str, dict[str, int]]:
    """Return the registered servers that this node reports as unreachable.

    If it finds more servers unreachable than reachable, it reports none,
    since it may be disconnected itself. Nor does it report servers of the
    services in ``not_reached``, from which it is disconnected.
    """
    unreachable = [
        name
        for name, view in views.items()
        if view.unreachable
        and name in registered
        and view.server.service not in not_reached
    ]
    if not unreachable:
        return {}
    reachable = sum(view.reachable for view in views.values())
    if len(unreachable) > reachable:
        return {}
    return {zone: dict.fromkeys(unreachable, 1)}


def first_trusted(
    groups: Sequence[list[BackendView]], suspects: Collection[str]
) -> list[BackendView]:
    """Return the first group of servers that can be used, without the others.

    Ejected servers and ``suspects``, which peers don't reach, are left out,
    unless all servers of all groups are ejected.
    """
    trusted = (_without_suspects(group, suspects) for group in groups)
    return next(filter(None, chain(trusted, reversed(groups))), [])


def _without_suspects(
    serving: list[BackendView], suspects: Collection[str]
) -> list[BackendView]:
    healthy = [view for view in serving if not view.ejected]
    if not suspects:
        return healthy
    trusted = [
        view
        for view in healthy
        if view.reachable or view.server.server_id not in suspects
    ]
    return trusted or healthy
