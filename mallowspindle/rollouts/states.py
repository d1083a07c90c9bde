"""States with which rollouts begin and go on."""

from dataclasses import replace

from mallowspindle.catalog.orders import RolloutOrder
from mallowspindle.policies.rollout import Decision, Phase
from mallowspindle.rollouts.records import RolloutState

# Longest time after which an order is usually read: the interval between reads,
# and the time of one step. The limit counts from when it was written.
_READ_DELAY_S = 0.6


def serves_already(order: RolloutOrder, former: RolloutState | None) -> bool:
    """Return whether an order names a version that is judged already.

    ``former`` is the state of the order before.
    """
    if former is None:
        return False
    if former.phase is Phase.COMPLETED:
        return order.target == former.target
    return not former.phase.is_final and order.target in former.former


def first_state(
    order: RolloutOrder,
    former: RolloutState | None,
    versions: set[str],
    now_s: float,
) -> RolloutState:
    """Return the state with which the rollout of an order begins.

    ``versions`` are those of the servers at that time. An order that replaces
    another one under way bars its version, unless it is the one asked for.
    """
    barred = set(former.barred) if former else set()
    serving = versions - barred
    if former and not former.phase.is_final:
        barred.add(former.target)
        serving = set(former.former)
    return RolloutState(
        order.service,
        order.target,
        order.duration_s,
        order.position,
        now_s - _READ_DELAY_S,
        former=sorted(serving - {order.target}),
        barred=sorted(barred - {order.target}),
        is_trusted=serves_already(order, former),
    )


def next_state(
    state: RolloutState, decision: Decision, versions: set[str]
) -> RolloutState:
    """Return the state that follows from a decision."""
    if decision.phase is state.phase:
        return state
    barred = set(state.barred)
    if decision.phase is Phase.ROLLED_BACK:
        barred.add(state.target)
    elif decision.phase is Phase.COMPLETED:
        barred.update(versions, state.former)
        barred.discard(state.target)
    return replace(
        state,
        phase=decision.phase,
        reason=decision.reason,
        barred=sorted(barred),
    )
