"""Copies of runs while servers are lost without notice."""

from mallowspindle.policies.copies import is_worth_copying


def test_long_answers_to_short_prompts_are_copied() -> None:
    assert is_worth_copying(800, 300)


def test_short_answers_to_long_prompts_are_not() -> None:
    assert not is_worth_copying(4000, 300)
