"""Rollouts of bad and of good versions."""

from dataclasses import replace

import pytest

from mallowspindle.policies.rollout import (
    Phase,
    RolloutTerms,
    Situation,
    decide,
)
from mallowspindle.policies.versions import Cell, VersionJudge
from mallowspindle.tests.policies.rollout_model import (
    BAD_KINDS,
    GOOD_KINDS,
    TERMS,
    play,
)

# All 200 seeds of each kind take minutes; the model prints them as a program.
_SEEDS = 20
CANARY_AT_MOST = 0.16
CERTAIN = 1
_USUAL_LOAD = 1.2
CANARY = Situation(
    elapsed_s=3,
    duration_s=12,
    phase=Phase.CANARY,
    has_servers=True,
    old_servers=20,
    responses=100,
    longest_s=0.2,
    longest_stream_s=5,
    old_running=0,
)


@pytest.mark.parametrize('kind', BAD_KINDS)
def test_bad_versions_are_rolled_back_within_the_exposure(kind: str) -> None:
    """Guards against a bad version that is completed, or gets too much."""
    outcomes = play(kind, _SEEDS)
    assert all(outcome.phase is Phase.ROLLED_BACK for outcome in outcomes)
    # A rare route, at the lowest rates, may take until after the switch.
    over = sum(outcome.is_overexposed for outcome in outcomes)
    assert over <= int(kind == 'one route')


@pytest.mark.parametrize('kind', GOOD_KINDS)
def test_good_versions_are_completed(kind: str) -> None:
    """Guards against a verdict because of what affects both versions."""
    outcomes = play(kind, _SEEDS)
    wrong = [each.reason for each in outcomes if each.phase != Phase.COMPLETED]
    # Of 200 good versions beside a burst, 8 are rolled back, of the others none.
    assert len(wrong) <= int(kind == 'burst'), wrong


@pytest.mark.parametrize('phase', [Phase.HOLD, Phase.CANARY, Phase.SWITCH])
def test_a_bad_verdict_ends_each_phase(phase: Phase) -> None:
    """Guards against a phase in which a bad version stays."""
    found = decide(replace(CANARY, phase=phase, suspicion=1), TERMS)
    assert found.phase is Phase.ROLLED_BACK
    assert (found.share, found.stream_share) == (0, 0)


@pytest.mark.parametrize(
    ('changes', 'phase'),
    [
        ({}, Phase.CANARY),
        ({'elapsed_s': 6}, Phase.SWITCH),
        ({'elapsed_s': 6, 'responses': 3}, Phase.CANARY),
        ({'elapsed_s': 6, 'suspicion': 0.8}, Phase.CANARY),
        ({'elapsed_s': 11.5, 'responses': 3}, Phase.ROLLED_BACK),
        ({'elapsed_s': 11.5, 'has_servers': False}, Phase.ROLLED_BACK),
        ({'phase': Phase.HOLD, 'has_servers': False}, Phase.HOLD),
        ({'phase': Phase.HOLD, 'is_trusted': True}, Phase.SWITCH),
        ({'phase': Phase.SWITCH, 'elapsed_s': 9}, Phase.SWITCH),
        ({'phase': Phase.SWITCH, 'elapsed_s': 11}, Phase.COMPLETED),
        (
            {'phase': Phase.SWITCH, 'elapsed_s': 11, 'old_running': None},
            Phase.SWITCH,
        ),
        (
            {'phase': Phase.SWITCH, 'elapsed_s': 11.5, 'old_running': 2},
            Phase.COMPLETED,
        ),
    ],
)
def test_phases_follow_from_the_time_left(
    changes: dict[str, object], phase: Phase
) -> None:
    """Guards against streams that are cut, and against a missed limit."""
    now = replace(CANARY, **changes)  # type: ignore[arg-type]
    assert decide(now, TERMS).phase is phase


def test_plain_requests_follow_later_than_streams() -> None:
    """Guards against a switch that leaves nothing to compare with."""
    early = decide(replace(CANARY, phase=Phase.SWITCH, elapsed_s=7), TERMS)
    late = decide(replace(CANARY, phase=Phase.SWITCH, elapsed_s=10.2), TERMS)
    assert early.stream_share == 1
    assert early.share < CANARY_AT_MOST
    assert late.share == 1


@pytest.mark.parametrize('old_servers', [0, 1, 4, 8, 12, 20, 60])
def test_canary_servers_are_as_busy_as_old_ones(old_servers: int) -> None:
    """Guards against a canary that hides what fails only under load."""
    canary = RolloutTerms(0.1, 50).canary(old_servers)
    assert canary.share <= CANARY_AT_MOST
    if old_servers >= 8:
        assert canary.share / canary.servers >= _USUAL_LOAD / old_servers


def test_the_canary_pauses_at_its_exposure() -> None:
    assert not TERMS.is_exposed(100, 1000)
    assert TERMS.is_exposed(126, 1000)
    exposed = decide(replace(CANARY, is_exposed=True), TERMS)
    assert (exposed.phase, exposed.share) == (Phase.CANARY, 0)


def test_states_that_are_missing_for_a_while_count_once() -> None:
    """Guards against failures that count again when their zone is back."""
    judge = VersionJudge()
    cell = Cell('a', 'plain')
    old = {cell: (0, 0, 0, 0, 100)}
    for number in range(40):
        seen = (2, 0, 0, 0, 20) if number % 2 else (1, 0, 0, 0, 9)
        judge.note(number / 5, {cell: seen}, old)
    assert judge.responses == 22
    assert judge.finding().suspicion < CERTAIN / 2
