"""Replays of load patterns, and what the policies gain under them."""

from dataclasses import replace

import pytest

from mallowspindle.lab.replay import Replay, replay
from mallowspindle.lab.scenario import patterns

SEEDS = (1, 2)
LENGTH_S = 36
# Part of the day's worth that callers get in spite of the trouble.
LEAST_WHOLE = 0.9


def _replay(pattern: str, policy: str, seed: int) -> Replay:
    scenario = replace(patterns[pattern](), length_s=LENGTH_S)
    return replay(scenario, policy, seed)


def test_a_seed_gives_the_same_replay() -> None:
    first = _replay('calm', 'predicted', 1)
    again = _replay('calm', 'predicted', 1)
    assert first.summary == again.summary
    assert first.samples == again.samples
    assert _replay('calm', 'predicted', 2).summary != first.summary


@pytest.mark.parametrize(
    'pattern', ['hot-prefix', 'slow-server', 'zone-reclaimed']
)
def test_prediction_serves_more_than_the_baseline(pattern: str) -> None:
    """Replays hot prefixes, a slow server and the reclaim of zones."""
    for seed in SEEDS:
        predicted = _replay(pattern, 'predicted', seed).summary
        baseline = _replay(pattern, 'least_loaded', seed).summary
        assert predicted.worth > baseline.worth
        assert predicted.read_tokens < baseline.read_tokens


def test_the_fleet_is_made_up_while_zones_are_dry() -> None:
    """Replays the reclaim of two zones: the rest carries the load."""
    for seed in SEEDS:
        played = _replay('zone-reclaimed', 'predicted', seed)
        least = min(
            sample.servers for sample in played.samples if sample.at_s > 5
        )
        assert least >= 3
        assert played.summary.whole > LEAST_WHOLE


def test_a_reclaimable_fleet_costs_less_than_the_first_one() -> None:
    played = _replay('calm', 'predicted', 1)
    start, end = played.samples[0], played.samples[-1]
    on_demand_per_s = 2 * sum(patterns['calm']().bounds.zone_prices.values())
    on_demand = on_demand_per_s * (end.at_s - start.at_s)
    assert end.price - start.price < on_demand * 3 / 4
