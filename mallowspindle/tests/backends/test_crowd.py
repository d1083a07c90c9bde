"""Placement by many nodes that hear of each other's work late."""

from statistics import fmean

from mallowspindle.tests.backends.crowd import Crowd, Simulation

SEEDS = (1, 2, 3)


def _mean_ms(crowd: Crowd) -> float:
    """Return the mean milliseconds up to the first token over some seeds."""
    means_s = [Simulation(crowd, seed).run().mean_s for seed in SEEDS]
    return fmean(means_s) * 1000


def test_many_nodes_do_not_all_choose_the_same_servers() -> None:
    """Replays a grown deployment: all nodes look at the same old sums.

    Every node chose the cheapest server of these, and its queue grew until
    the next sums: 254 ms on average.
    """
    assert _mean_ms(Crowd(nodes=58, servers=45, zones=5)) <= 200


def test_few_nodes_choose_as_well_as_before() -> None:
    """Replays a small deployment, where states come from each to each.

    It took 146 ms when each node chose the cheapest server.
    """
    small = Crowd(nodes=8, servers=9, zones=4, length_s=25)
    assert _mean_ms(small) <= 146
