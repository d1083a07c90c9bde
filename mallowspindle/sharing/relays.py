"""Choice of the entry VMs that relay the states of a zone.

Load pattern: every node needs the work of all others a few times a second. In
a small venture each node sends its state to every other one. In a large one
that would overload the links and processors of small nodes, so each node sends
only to the relays of its zone; these send the sum to the relays of the other
zones and to the nodes of their own zone.
"""

from collections.abc import Iterable

from mallowspindle.membership.messages import MemberInfo
from mallowspindle.utils.identifiers import rendezvous_order

# Largest venture, in nodes, in which each sends to every other one.
_MAX_FULL_MESH = 16
# The first relay of a zone sends; the second takes over if it is silent.
_RELAYS = 2


def uses_full_mesh(nodes: int) -> bool:
    """Tell whether nodes of a venture of this size all send to each other."""
    return nodes <= _MAX_FULL_MESH


def relays_of(zone: str, members: Iterable[MemberInfo]) -> list[str]:
    """Return the names of the relays of a zone in order of preference.

    Leaving nodes are relays only if the zone has no others.
    """
    present = [info for info in members if info.zone == zone]
    staying = [info for info in present if not info.leaving]
    names = [info.name for info in staying or present]
    return rendezvous_order(f'relay {zone}', names)[:_RELAYS]
