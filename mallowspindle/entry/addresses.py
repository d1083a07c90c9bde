"""The addresses that callers should use."""

from collections.abc import Iterable

from mallowspindle.membership.messages import MemberInfo
from mallowspindle.utils.identifiers import rendezvous_order

# Callers take no more than this from one answer (the protocol's limit).
_MAX_ADDRESSES = 64
# Where a zone has fewer nodes, others are named up to this many, so that a
# caller still has some when all nodes of its zone are lost at once.
_MIN_ADDRESSES = 8


def addresses_for(
    zone: str, own: MemberInfo, live: list[MemberInfo]
) -> list[str]:
    """Return HTTP addresses, best first: own zone, then least in progress.

    All nodes of the zone are named, since callers pick at random among them.
    Those of other zones fill up a short answer; each zone is given others, the
    same ones for as long as they are live. Members that are leaving or not yet
    serving are left out.
    """
    members = {own.name: own, **{info.name: info for info in live}}
    usable = {
        name: info
        for name, info in members.items()
        if info.http_address and not info.leaving
    }
    near = [info for info in usable.values() if info.zone == zone]
    far = [name for name, info in usable.items() if info.zone != zone]
    missing = max(0, _MIN_ADDRESSES - len(near))
    filling = rendezvous_order(f'addresses {zone}', far)[:missing]
    ranked = [
        *_least_busy(near),
        *_least_busy(usable[name] for name in filling),
    ]
    return [info.http_address for info in ranked[:_MAX_ADDRESSES]]


def _least_busy(infos: Iterable[MemberInfo]) -> list[MemberInfo]:
    return sorted(infos, key=lambda info: (info.in_progress, info.name))
