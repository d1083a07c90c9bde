"""Replays of load patterns, and the scores of the policies in them."""

from dataclasses import replace

import pytest

from mallowspindle.lab.replay import Replay, replay
from mallowspindle.lab.scenario import patterns

SEEDS = (1, 2)
LENGTH_S = 36
# Share of the possible value that requests earn in spite of the disturbance.
MIN_EARNED_SHARE = 0.9


def _replay(pattern: str, policy: str, seed: int) -> Replay:
    scenario = replace(patterns[pattern](), length_s=LENGTH_S)
    return replay(scenario, policy, seed)


def test_same_seed_gives_the_same_replay() -> None:
    first = _replay('calm', 'predicted', 1)
    again = _replay('calm', 'predicted', 1)
    assert first.summary == again.summary
    assert first.samples == again.samples
    assert _replay('calm', 'predicted', 2).summary != first.summary


@pytest.mark.parametrize(
    'pattern', ['hot-prefix', 'slow-server', 'zone-reclaimed']
)
def test_predicted_scores_above_least_loaded(pattern: str) -> None:
    """Replays hot prefixes, a slow server and the reclaim of two zones."""
    for seed in SEEDS:
        predicted = _replay(pattern, 'predicted', seed).summary
        baseline = _replay(pattern, 'least_loaded', seed).summary
        assert predicted.score > baseline.score
        assert predicted.prefilled_tokens < baseline.prefilled_tokens


def test_fleet_is_kept_up_without_reclaimable_servers() -> None:
    """Replays the reclaim of two zones; the other zones carry the load."""
    for seed in SEEDS:
        replayed = _replay('zone-reclaimed', 'predicted', seed)
        fewest = min(
            sample.servers for sample in replayed.samples if sample.at_s > 5
        )
        assert fewest >= 3
        assert replayed.summary.earned_share > MIN_EARNED_SHARE


def test_reclaimable_fleet_costs_less_than_initial_fleet() -> None:
    replayed = _replay('calm', 'predicted', 1)
    start, end = replayed.samples[0], replayed.samples[-1]
    on_demand_per_s = 2 * sum(patterns['calm']().bounds.zone_prices.values())
    on_demand = on_demand_per_s * (end.at_s - start.at_s)
    assert end.cost - start.cost < on_demand * 3 / 4
