"""Retry budgets under a service that fails every request."""

from mallowspindle.policies.budget import BudgetTerms, RetryBudget
from mallowspindle.tests.clock import FakeClock

NODES = 6
TERMS = BudgetTerms(ratio=0.2, window_s=10, slack=52)


def test_retries_of_all_nodes_stay_within_budget() -> None:
    clock = FakeClock()
    budgets = [RetryBudget(TERMS, clock) for _ in range(NODES)]
    requests: list[float] = []
    retries: list[float] = []
    for _ in range(3000):
        clock.advance(0.01)
        budget = budgets[len(requests) % NODES]
        budget.note_request()
        requests.append(clock())
        if budget.try_spend(NODES):
            retries.append(clock())
    for end_s in retries[::20]:
        window = [at_s for at_s in retries if end_s - 10 < at_s <= end_s]
        sent = [at_s for at_s in requests if end_s - 10 < at_s <= end_s]
        assert len(window) <= TERMS.ratio * len(sent) + TERMS.slack
    assert retries


def test_node_with_few_requests_may_retry() -> None:
    budget = RetryBudget(TERMS, FakeClock())
    budget.note_request()
    assert budget.try_spend(NODES)


def test_budget_is_restored_after_window() -> None:
    clock = FakeClock()
    budget = RetryBudget(TERMS, clock)
    while budget.try_spend(NODES):
        clock.advance(0.001)
    clock.advance(11)
    assert budget.try_spend(NODES)
