"""Decisions of the quarantine."""

import pytest

from mallowspindle.policies.quarantine import (
    count_events,
    find_refused_part,
    trial_due_ms,
)

_CRASHES = {'one': 0, 'two': 1000, 'three': 2000}


@pytest.mark.parametrize(
    ('times_ms', 'events'),
    [([], 0), ([5], 1), ([5, 50, 99], 1), ([0, 100, 200], 3), ([200, 0], 2)],
)
def test_crashes_close_together_are_one_event(
    times_ms: list[int], events: int
) -> None:
    assert count_events(times_ms) == events


def test_prompts_with_all_parts_that_can_not_be_told_apart_are_refused() -> (
    None
):
    suspects = {'a': _CRASHES, 'b': _CRASHES}
    assert find_refused_part(('a', 'b', 'c'), suspects) == 'a'
    assert find_refused_part(('c', 'b', 'a'), suspects) == 'a'
    assert find_refused_part(('a', 'c'), suspects) is None


def test_the_part_of_more_crashes_is_refused_alone() -> None:
    suspects = {'a': {**_CRASHES, 'four': 3000}, 'b': _CRASHES}
    assert find_refused_part(('a',), suspects) == 'a'
    assert find_refused_part(('b',), suspects) is None


def test_parts_of_other_crashes_do_not_matter() -> None:
    other = {'five': 0, 'six': 1000, 'seven': 2000}
    suspects = {'a': _CRASHES, 'b': other}
    assert find_refused_part(('a',), suspects) == 'a'
    assert find_refused_part(('b', 'c'), suspects) == 'b'


def test_trials_come_later_and_later() -> None:
    pauses_s = []
    crashes = dict(_CRASHES)
    for number in range(8):
        pauses_s.append((trial_due_ms(crashes) - max(crashes.values())) / 1000)
        crashes[f'more-{number}'] = 10_000 * (number + 1)
    assert pauses_s == [30, 60, 120, 240, 480, 600, 600, 600]
