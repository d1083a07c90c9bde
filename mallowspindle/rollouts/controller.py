"""Carries out orders to roll out software versions."""

import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from mallowspindle.catalog.orders import RolloutOrder, orders_total
from mallowspindle.catalog.service import CatalogService
from mallowspindle.log.errors import LogError
from mallowspindle.policies.rollout import Decision, Phase, decide
from mallowspindle.rollouts.observing import RolloutObserver
from mallowspindle.rollouts.records import (
    CanaryPlan,
    RolloutNews,
    RolloutState,
)
from mallowspindle.rollouts.service import RolloutsService
from mallowspindle.rollouts.states import first_state, next_state
from mallowspindle.rollouts.store import RolloutStore
from mallowspindle.utils.tasks import BackgroundTasks

log = logging.getLogger(__name__)

# Pause between two messages to all nodes, while a rollout is under way and
# otherwise. The first is a third of the time for which they are valid.
_TELL_S = 0.3
_TELL_IDLE_S = 2.0
# Pause after the log gave no usable answer.
_FAILURE_PAUSE_S = 0.4
_MS = 1000
LogCall = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Tenure:
    """One tenure of the lease; ``may_write`` is whether it still lasts."""

    fencing_number: int
    may_write: Callable[[], bool]


class RolloutController:
    """Carries out the orders during one tenure of the lease."""

    def __init__(
        self,
        rollouts: RolloutsService,
        catalog: CatalogService,
        observer: RolloutObserver,
        store: RolloutStore,
        tenure: Tenure,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._rollouts = rollouts
        self._book = rollouts.book
        self._catalog = catalog
        self._observer = observer
        self._store = store
        self._tenure = tenure
        self._clock = clock
        self._plans: dict[str, RolloutNews] = {}
        self._logged: dict[str, RolloutState] = {}
        self._reported: dict[str, RolloutState] = {}
        self._ignored: set[int] = set()
        self._loaded = False
        self._told_at_s = 0.0
        self._next_call_s = 0.0
        self._calls = BackgroundTasks()
        self._restored_at_s = catalog.restored_at_s

    @property
    def fencing_number(self) -> int:
        """The fencing number of the tenure."""
        return self._tenure.fencing_number

    def step(self) -> None:
        """Decide, and tell and log what has changed.

        Nothing waits for the log: phases that need it begin once it has answered.
        """
        if self._catalog.restored_at_s != self._restored_at_s:
            # The log may have lost what this node has written.
            self._restored_at_s = self._catalog.restored_at_s
            self._loaded = False
            self._reported.clear()
        names = {*self._catalog.orders, *self._book.states}
        wanted = list(filter(None, map(self._advance, sorted(names))))
        self._tell_if_due()
        if self._calls or self._clock() < self._next_call_s:
            return
        if not self._loaded:
            self._calls.spawn(self._call(self._load), 'rollouts')
        elif wanted:
            self._calls.spawn(self._call(wanted[0]), 'rollouts')

    async def stop(self) -> None:
        """Stop calls to the log."""
        await self._calls.cancel()

    async def _call(self, work: LogCall) -> None:
        try:
            await work()
        except LogError as error:
            log.info('rollout not logged', extra={'error': str(error)})
            self._loaded = False
            self._next_call_s = self._clock() + _FAILURE_PAUSE_S

    async def _load(self) -> None:
        states = await self._store.load()
        self._loaded = True
        self._logged = {state.service: state for state in states}
        for state in states:
            self._book.merge(state)

    def _advance(self, name: str) -> LogCall | None:
        """Go on with the rollout of a service; return what the log is told."""
        order = self._book.pending(name)
        if order is not None:
            return partial(self._begin, order) if self._knows(order) else None
        state = self._book.states[name]
        if not state.phase.is_final:
            situation = self._observer.situation(state)
            decision = decide(situation, self._observer.terms)
            changed = next_state(state, decision, self._versions(name))
            if decision.phase not in {state.phase, Phase.ROLLED_BACK}:
                return partial(
                    self._change, state, changed, decision, situation.finding
                )
            self._publish(changed, decision, situation.finding)
            state = changed
        is_told = self._reported.get(name) == self._logged.get(name) == state
        return None if is_told else partial(self._log, state)

    def _knows(self, order: RolloutOrder) -> bool:
        configuration = self._catalog.configuration
        if configuration and order.service in configuration.services:
            return True
        if self._versions(order.service):
            return True
        if configuration and order.position not in self._ignored:
            self._ignored.add(order.position)
            orders_total.add(1, {'outcome': 'unknown service'})
            log.warning(
                'rollout order ignored, the service is not known',
                extra={'service': order.service, 'target': order.target},
            )
        return False

    async def _begin(self, order: RolloutOrder) -> None:
        former = self._book.states.get(order.service)
        state = first_state(
            order,
            former,
            self._versions(order.service),
            self._observer.now_s(),
        )
        await self._save(state)
        replaces = former is not None and not former.phase.is_final
        orders_total.add(1, {'outcome': 'replaces' if replaces else 'begun'})
        log.info(
            'rollout begun',
            extra={
                'service': order.service,
                'target': order.target,
                'replaces': former.target if former and replaces else None,
                'barred': state.barred,
                'is_trusted': state.is_trusted,
            },
        )
        self._publish(state, Decision(state.phase, ''), '')

    async def _change(
        self,
        state: RolloutState,
        changed: RolloutState,
        decision: Decision,
        finding: str,
    ) -> None:
        """Log a phase, then tell all nodes unless the version is bad by now."""
        await self._save(changed)
        if self._book.states.get(state.service) == state:
            self._publish(changed, decision, finding)
            await self._log(changed)

    async def _save(self, state: RolloutState) -> None:
        await self._store.save(state, self._tenure.may_write)
        self._logged[state.service] = state

    async def _log(self, state: RolloutState) -> None:
        """Log a state and tell the operators, unless this is done."""
        if self._logged.get(state.service) != state:
            await self._save(state)
        await self._store.report(state, self._tenure.may_write)
        self._reported[state.service] = state
        log.info(
            'rollout status written',
            extra={'service': state.service, 'phase': str(state.phase)},
        )

    def _publish(
        self, state: RolloutState, decision: Decision, finding: str
    ) -> None:
        """Tell all nodes at once if anything has changed."""
        plan = CanaryPlan(
            decision.share,
            decision.stream_share,
            self._observer.canary_servers(state, decision),
        )
        news = RolloutNews(state, plan, finding)
        known = self._plans.get(state.service)
        if known is None or known.state != state:
            self._observer.note_phase(state.service)
        self._plans[state.service] = news
        if known is None or (known.state, known.plan) != (state, plan):
            self._tell()

    def _versions(self, name: str) -> set[str]:
        servers = self._observer.servers(name)
        return {server.software_version for server in servers}

    def _tell_if_due(self) -> None:
        states = self._book.states.values()
        under_way = any(not state.phase.is_final for state in states)
        pause_s = _TELL_S if under_way else _TELL_IDLE_S
        if states and (self._clock() - self._told_at_s) >= pause_s:
            self._tell()

    def _tell(self) -> None:
        self._told_at_s = self._clock()
        states = self._book.states
        news = [
            RolloutNews(state)
            for name, state in states.items()
            if name not in self._plans
        ]
        news.extend(self._plans.values())
        self._rollouts.tell(news, self._tenure.fencing_number)
