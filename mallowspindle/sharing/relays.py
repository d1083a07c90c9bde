"""Which entry VMs tell the states of a zone on.

Load pattern: all nodes want to know the work of all others a few times a
second. In a small venture each tells each. In a large one that takes the
links and processors of small nodes, so each tells only the relays of its zone;
these tell the sum to the other zones' relays and to the nodes of their own.
"""

from collections.abc import Iterable

from mallowspindle.membership.messages import MemberInfo
from mallowspindle.utils.identifiers import rendezvous_order

# Largest venture in which each node tells each.
_MOST_DIRECT = 16
# The first relay of a zone tells; the second takes over when it is silent.
_RELAYS = 2


def uses_full_mesh(nodes: int) -> bool:
    """Tell whether each node of a venture of this size tells each."""
    return nodes <= _MOST_DIRECT


def relays_of(zone: str, members: Iterable[MemberInfo]) -> list[str]:
    """Return the names of the relays of a zone, the first one first.

    Nodes that are leaving relay only in a zone that has no others.
    """
    present = [info for info in members if info.zone == zone]
    staying = [info for info in present if not info.leaving]
    names = [info.name for info in staying or present]
    return rendezvous_order(f'relay {zone}', names)[:_RELAYS]
