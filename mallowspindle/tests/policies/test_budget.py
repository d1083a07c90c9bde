"""Retry budgets under a service that fails every request."""

from mallowspindle.policies.budget import BudgetTerms, RetryBudget
from mallowspindle.tests.clock import FakeClock

NODES = 6
TERMS = BudgetTerms(ratio=0.2, window_s=10, slack=52)


def test_all_nodes_stay_below_the_budget_when_everything_fails() -> None:
    clock = FakeClock()
    budgets = [RetryBudget(TERMS, clock) for _ in range(NODES)]
    requests: list[float] = []
    repeats: list[float] = []
    for _ in range(3000):
        clock.advance(0.01)
        budget = budgets[len(requests) % NODES]
        budget.note_request()
        requests.append(clock())
        if budget.try_spend(NODES):
            repeats.append(clock())
    for end_s in repeats[::20]:
        window = [at_s for at_s in repeats if end_s - 10 < at_s <= end_s]
        asked = [at_s for at_s in requests if end_s - 10 < at_s <= end_s]
        assert len(window) <= TERMS.ratio * len(asked) + TERMS.slack
    assert repeats


def test_a_quiet_node_may_repeat_a_little() -> None:
    budget = RetryBudget(TERMS, FakeClock())
    budget.note_request()
    assert budget.try_spend(NODES)


def test_the_budget_comes_back_after_the_window() -> None:
    clock = FakeClock()
    budget = RetryBudget(TERMS, clock)
    while budget.try_spend(NODES):
        clock.advance(0.001)
    clock.advance(11)
    assert budget.try_spend(NODES)
