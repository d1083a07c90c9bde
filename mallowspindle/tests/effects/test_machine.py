"""Calls run at most once under arbitrary interleavings of faults.

Hypothesis derives the seed of the derandomized examples from the source of the
class: a change of a name or docstring in it changes the examples.
"""

import asyncio
from collections import Counter, defaultdict
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mallowspindle.config.native import NativeSettings
from mallowspindle.effects.call import PlainCall
from mallowspindle.effects.executor import CallPlan
from mallowspindle.effects.service import EffectsService
from mallowspindle.outcomes import Done, NotRun, Outcome
from mallowspindle.tests.effects.fakes import (
    KnownMembers,
    NodeClient,
    NodeLog,
    SteppedLoop,
    TwoServers,
    World,
    member,
)

NODES = ('entry-1', 'entry-2', 'entry-3')
WINDOW_S = 1000.0
STREAM = 'effects-0'

config = NativeSettings.model_validate(
    {
        'node': {'name': 'n', 'zone': 'z'},
        'peers': {'shared_key': 'x' * 16},
        'native': {'log_url': 'http://x', 'cloud_url': 'http://x'},
        'effects': {'streams': 1, 'window_s': WINDOW_S},
    }
)


class AtMostOnce(RuleBasedStateMachine):
    """Three nodes, one log and one service, stepped by hypothesis."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = SteppedLoop()
        self.world = World(self.loop)
        self.alive: dict[str, Any] = {}
        self.services: dict[str, EffectsService] = {}
        self.calls: dict[str, dict[str, asyncio.Task[Outcome]]] = {}
        self.told: dict[str, tuple[str, Outcome]] = {}
        self.incarnation = 0
        self.numbers = 0

    @initialize()
    def start_all(self) -> None:
        for name in NODES:
            self.start(name)
        self.loop.advance(1)

    def start(self, name: str) -> None:
        self.incarnation += 1
        info = member(name, self.incarnation)
        self.alive[name] = info
        self.calls[name] = {}
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(self._start(name, info))

    async def _start(self, name: str, info: Any) -> None:
        self.services[name] = EffectsService(
            config,
            NodeLog(self.world, name),  # type: ignore[arg-type]
            KnownMembers(info, self.alive),  # type: ignore[arg-type]
            TwoServers(),  # type: ignore[arg-type]
            NodeClient(self.world, name),  # type: ignore[arg-type]
            self.loop.time,
        )
        await self.services[name].start()

    @rule(name=st.sampled_from(NODES), key=st.sampled_from(['k1', 'k2', 'k3']))
    def call(self, name: str, key: str) -> None:
        self.numbers += 1
        number = str(self.numbers)
        call = PlainCall('o', 'o', 's', 'POST', '', '', number.encode(), key)
        plan = CallPlan(call, refusal_means_not_run=True)
        work = self.services[name].run(plan, wait_s=20)
        self.calls[name][number] = self.loop.create_task(work)
        self.told_key = key
        self.loop.advance(0.01)
        self.collect()

    @precondition(lambda self: self.world.gates)
    @rule(data=st.data())
    def let_pass(self, data: st.DataObject) -> None:
        self.open_gate(data, 'ok')

    @precondition(lambda self: self.world.gates)
    @rule(data=st.data())
    def let_pass_and_settle(self, data: st.DataObject) -> None:
        self.open_gate(data, 'ok')
        self.wait(0.3)

    @precondition(lambda self: self.world.gates)
    @rule(data=st.data(), ending=st.sampled_from(['lost', 'late', 'refused']))
    def fail(self, data: st.DataObject, ending: str) -> None:
        self.open_gate(data, ending)

    def open_gate(self, data: st.DataObject, ending: str) -> None:
        gates = self.world.gates
        gate = gates.pop(data.draw(st.integers(0, len(gates) - 1)))
        if not gate.ending.done():
            gate.ending.set_result(ending)
        self.loop.advance(0.01)
        self.collect()

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 30.0]))
    def wait(self, seconds: float) -> None:
        self.loop.advance(seconds)
        self.collect()

    @rule(
        name=st.sampled_from(NODES),
        fault=st.sampled_from(['freeze', 'crash', 'log', 'late', 'expire']),
    )
    def disturb(self, name: str, fault: str) -> None:
        match fault:
            case 'freeze':
                self.freeze_or_thaw(name)
            case 'crash':
                self.crash_and_restart(name)
            case 'log':
                self.world.log_down = not self.world.log_down
            case 'late':
                self.world.land_late()
            case _:
                self.expire_old_records()
        self.loop.advance(0.5)
        self.collect()

    def freeze_or_thaw(self, name: str) -> None:
        self.world.frozen ^= {name}
        self.loop.run_until_complete(self._notify())

    async def _notify(self) -> None:
        async with self.world.thawed:
            self.world.thawed.notify_all()

    def crash_and_restart(self, name: str) -> None:
        self.world.frozen.discard(name)
        self.world.gates = [
            gate for gate in self.world.gates if gate.node != name
        ]
        for task in self.calls[name].values():
            task.cancel()
        self.loop.run_until_complete(self.services[name].stop())
        self.start(name)
        self.loop.advance(1)

    def expire_old_records(self) -> None:
        """Retention is longer than the window that keys are honoured."""
        horizon_s = self.loop.time() - 2 * WINDOW_S
        records = self.world.streams[STREAM]
        kept = [rec.offset for rec in records if rec.appended_at_s > horizon_s]
        self.world.expired[STREAM] = kept[0] if kept else len(records)

    def collect(self) -> None:
        """Note what callers were told."""
        for calls in self.calls.values():
            for number, task in list(calls.items()):
                if task.done():
                    calls.pop(number)
                    if not task.cancelled():
                        self.told[number] = ('', task.result())

    @invariant()
    def runs_at_most_once(self) -> None:
        runs = Counter(key for key, _ in self.world.runs)
        assert all(count == 1 for count in runs.values()), self.world.runs

    @invariant()
    def not_run_is_true(self) -> None:
        ran = {number for _, number in self.world.runs}
        refused = {
            number
            for number, (_, outcome) in self.told.items()
            if isinstance(outcome, NotRun)
        }
        assert not ran & refused

    @invariant()
    def outcomes_never_change(self) -> None:
        bodies = defaultdict(set)
        run_of_key = dict(self.world.runs)
        numbers = {number: key for key, number in run_of_key.items()}
        for _, outcome in self.told.values():
            if isinstance(outcome, Done):
                key = numbers[outcome.body.decode()]
                bodies[key].add(outcome.body)
        assert all(len(told) == 1 for told in bodies.values())

    def teardown(self) -> None:
        self.world.frozen.clear()
        self.loop.run_until_complete(self._notify())
        for name, running in self.services.items():
            for task in self.calls[name].values():
                task.cancel()
            self.loop.run_until_complete(running.stop())
        self.loop.advance(0.01)
        self.loop.close()


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = settings(
    max_examples=150,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
