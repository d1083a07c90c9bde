"""The addresses that callers should use."""

from mallowspindle.membership.messages import MemberInfo

_MAX_ADDRESSES = 8


def addresses_for(
    zone: str, own: MemberInfo, live: list[MemberInfo]
) -> list[str]:
    """Return HTTP addresses, best first: own zone, then least in progress.

    Members that are leaving or not yet serving are left out.
    """
    members = (own, *live)
    usable = [
        info for info in members if info.http_address and not info.leaving
    ]
    ranked = sorted(
        usable,
        key=lambda info: (info.zone != zone, info.in_progress, info.name),
    )
    return [info.http_address for info in ranked[:_MAX_ADDRESSES]]
