"""Selects the addresses of entry VMs that callers should use."""

from collections.abc import Collection, Iterable

from mallowspindle.membership.messages import MemberInfo
from mallowspindle.utils.identifiers import rendezvous_order

# The protocol's limit: callers use no more addresses from one answer.
_MAX_ADDRESSES = 64
# Shorter lists are extended to this length with nodes of other zones, so that
# a caller still has addresses when all nodes of its zone are lost at once.
_MIN_ADDRESSES = 8


def addresses_for(
    zone: str,
    own: MemberInfo,
    live: list[MemberInfo],
    disconnected: Collection[str] = (),
) -> list[str]:
    """Return HTTP addresses, those of the zone first.

    Both groups are sorted by requests in progress, the least busy node first.

    All nodes of the zone are listed, since callers pick one at random. A short
    list is extended with nodes of other zones. They are chosen by rendezvous
    hashing of the zone, so that zones get different nodes and keep them while
    they are live. Members that are leaving or not yet serving are left out, and
    so are ``disconnected`` ones, unless they are half of the members or more:
    the others could not take all callers.
    """
    usable = _usable([*live, own], disconnected)
    local_members = [info for info in usable.values() if info.zone == zone]
    other_zone_names = [
        name for name, info in usable.items() if info.zone != zone
    ]
    shortfall = max(0, _MIN_ADDRESSES - len(local_members))
    extra_names = rendezvous_order(f'addresses {zone}', other_zone_names)[
        :shortfall
    ]
    ranked = [
        *_sort_by_load(local_members),
        *_sort_by_load(usable[name] for name in extra_names),
    ]
    return [info.http_address for info in ranked[:_MAX_ADDRESSES]]


def _usable(
    members: Iterable[MemberInfo], disconnected: Collection[str]
) -> dict[str, MemberInfo]:
    """Return the members that callers may use, by name."""
    usable = {
        info.name: info
        for info in members
        if info.http_address and not info.leaving
    }
    connected = usable.keys() - set(disconnected)
    if len(connected) <= len(usable) / 2:
        return usable
    return {name: usable[name] for name in connected}


def _sort_by_load(infos: Iterable[MemberInfo]) -> list[MemberInfo]:
    return sorted(infos, key=lambda info: (info.in_progress, info.name))
