"""Placement by many nodes that learn of each other's work with a delay."""

from statistics import fmean

from mallowspindle.tests.backends.crowd import Deployment, Simulation

SEEDS = (1, 2, 3)


def _mean_ms(deployment: Deployment) -> float:
    """Return the mean time to the first token in ms over several seeds."""
    means_s = [Simulation(deployment, seed).run().mean_s for seed in SEEDS]
    return fmean(means_s) * 1000


def test_many_nodes_choose_different_servers() -> None:
    """Guards against all nodes of a large deployment choosing one server.

    Every node chose the cheapest server by the same stale sums, so its queue
    grew until the next sums arrived. The mean was 254 ms.
    """
    assert _mean_ms(Deployment(nodes=58, servers=45, zones=5)) <= 200


def test_few_nodes_keep_short_time_to_first_token() -> None:
    """Guards against slower placement in a small deployment.

    Its nodes form a full mesh. The mean was 146 ms when each node chose the
    cheapest server.
    """
    small_deployment = Deployment(nodes=8, servers=9, zones=4, duration_s=25)
    assert _mean_ms(small_deployment) <= 146
