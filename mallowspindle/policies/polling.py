"""Polling of the store: which entry VM reads it next.

Load pattern: many entry VMs need the same few streams, and each call costs
money. One node reads the store and forwards the records to the others. If they
stop arriving for any reason, the node of the next rank takes over.
"""

# Time that the reader's records have to arrive before the next node reads.
_FAILOVER_MARGIN_S = 0.35
# Additional delay of each further rank, so that earlier ranks read first.
_RANK_STEP_S = 0.15
# Number of nodes after the reader that are delayed step by step. The remaining
# nodes are spread over a fixed time, since every node must know of a leaving
# server within 2 s.
_STEPPED_RANKS = 3
_REMAINING_SPREAD_S = 0.25


def polling_delay_s(interval_s: float, rank: int, nodes: int = 1) -> float:
    """Return the age of the known records at which a node reads the store.

    The node of rank 0 reads every ``interval_s``, the others later.
    """
    if rank == 0:
        return interval_s
    margin_s = _FAILOVER_MARGIN_S + _RANK_STEP_S * (
        min(rank, _STEPPED_RANKS) - 1
    )
    if rank > _STEPPED_RANKS:
        remaining_nodes = max(nodes - 1, rank) - _STEPPED_RANKS
        margin_s += (
            _REMAINING_SPREAD_S * (rank - _STEPPED_RANKS) / remaining_nodes
        )
    return interval_s + margin_s
