"""Which runs are copied in case a server is lost without notice."""

from mallowspindle.policies.copies import is_worth_copying


def test_long_answer_to_short_prompt_is_copied() -> None:
    assert is_worth_copying(800, 300)


def test_short_answer_to_long_prompt_is_not_copied() -> None:
    assert not is_worth_copying(4000, 300)
