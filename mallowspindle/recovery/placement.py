"""Choice of the peer that holds the copy of a request."""

from collections.abc import Collection

from mallowspindle.membership.messages import MemberInfo
from mallowspindle.utils.identifiers import rendezvous_order


def choose_holder(
    request_id: str,
    own: MemberInfo,
    live: list[MemberInfo],
    avoid: Collection[str] = (),
) -> MemberInfo | None:
    """Return the peer to hold the copy, or None if there is none.

    Peers in another zone of the same region are preferred, then those in other
    regions, then those in the node's own zone. The rendezvous order decides
    between equals. Leaving peers are never chosen.
    """
    usable = {
        info.name: info
        for info in live
        if not info.leaving and info.name not in avoid
    }
    order = rendezvous_order(request_id, usable)
    ranked = sorted(order, key=lambda name: _distance(own, usable[name]))
    return usable[ranked[0]] if ranked else None


def _distance(own: MemberInfo, other: MemberInfo) -> int:
    if other.region != own.region:
        return 1
    return 2 if other.zone == own.zone else 0
