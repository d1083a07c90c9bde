"""Simulates many entry VMs before servers whose machines slow down at times.

It extends the simulation of ``crowd``: each server states its load and present
slowdown in its responses.
"""

import math
import random
from bisect import bisect_right
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from functools import partial
from heapq import heappop, heappush
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from multidict import CIMultiDict

from mallowspindle.backends.view import BackendView, InFlightRequest, Pick
from mallowspindle.policies import placement as policies
from mallowspindle.policies.hedging import (
    HedgeShare,
    RouteTimes,
    is_short_of_capacity,
)
from mallowspindle.policies.placement import Candidate, Placement
from mallowspindle.proxy.messages import CallerRequest, LoadReport
from mallowspindle.sharing.messages import WorkSum
from mallowspindle.sharing.service import _SUM_CACHE_S
from mallowspindle.tests.backends import crowd

# A third of the servers is slow at any time, for 2 s each.
SLOWDOWN = 2.5
SLOW_S = 2.0
MEAN_PAUSE_S = 4.0
_PLAIN_SLOTS = 4
_PLAIN_WORK_S = 0.06
_PLAIN_SIGMA = 0.5
PLAIN_OBJECTIVE_S = 0.218
_FOREVER_S = 200.0


class Machine:
    """The times at which a machine is slow, and its lasting speed."""

    def __init__(
        self, rng: random.Random, factor: float, start_s: float
    ) -> None:
        self._factor = factor
        self._changes_s = [start_s - rng.uniform(0, SLOW_S + MEAN_PAUSE_S)]
        # Whether it is slow after an even or an odd number of changes.
        while self._changes_s[-1] < start_s + _FOREVER_S:
            slow_at_s = self._changes_s[-1] + rng.expovariate(1 / MEAN_PAUSE_S)
            self._changes_s += [slow_at_s, slow_at_s + SLOW_S]

    def slowdown(self, at_s: float) -> float:
        """Return how long work takes at a moment, 1 for as usual."""
        is_slow = not bisect_right(self._changes_s, at_s) % 2
        return SLOWDOWN if is_slow else 1

    def end_of(self, begins_at_s: float, work_s: float) -> float:
        """Return when work is done that begins at a moment."""
        at_s = begins_at_s
        left_s = work_s * self._factor
        while True:
            index = bisect_right(self._changes_s, at_s)
            slowdown = self.slowdown(at_s)
            until_s = self._changes_s[index]
            if at_s + left_s * slowdown <= until_s:
                return at_s + left_s * slowdown
            left_s -= (until_s - at_s) / slowdown
            at_s = until_s


class UnevenEngine(crowd.Engine):
    """An engine on a machine with a speed of its own."""

    def __init__(self, machine: Machine) -> None:
        super().__init__()
        self.machine = machine
        self.ends_s: list[float] = []

    def submit(
        self, request: CallerRequest, now_s: float
    ) -> tuple[float, float, float]:
        """Return the prefill time and the times of the first event and end."""
        tokens = request.prompt_tokens or 0
        cached = self.prefix_cache.cached_tokens(request.prompt)
        self.prefix_cache.remember(request.prompt)
        prefill_s = crowd.prefill_time_s(tokens, cached) + crowd._DECODE_STEP_S
        starts_at_s = max(now_s, self.prefilled_at_s, heappop(self._slots))
        first_token_s = self.machine.end_of(starts_at_s, prefill_s)
        decoding_s = request.output_tokens * crowd._DECODE_STEP_S
        end_s = self.machine.end_of(first_token_s, decoding_s)
        self.prefilled_at_s = first_token_s
        heappush(self._slots, end_s)
        heappush(self.ends_s, end_s)
        return prefill_s, first_token_s, end_s

    def load(self, now_s: float) -> LoadReport:
        """Return what the server states in a response."""
        while self.ends_s and self.ends_s[0] <= now_s:
            heappop(self.ends_s)
        return LoadReport(len(self.ends_s), 0, self.machine.slowdown(now_s))


@dataclass(slots=True, eq=False)
class _Job:
    """A plain request at a server, and what to call when it is answered."""

    work_s: float
    answer: Callable[[], None]


class PlainServer:
    """Runs requests in a fixed number of slots, in the order of arrival.

    Cancelled requests leave at once.
    """

    def __init__(
        self,
        machine: Machine,
        clock: Callable[[], float],
        schedule: Callable[[float, Callable[[], None]], None],
    ) -> None:
        self._machine = machine
        self._clock = clock
        self._schedule = schedule
        self._waiting: deque[_Job] = deque()
        self._running: set[_Job] = set()
        self.prefilled_at_s = 0.0

    def run(self, job: _Job) -> None:
        """Accept a request."""
        self._waiting.append(job)
        self._fill_slots()

    def cancel(self, job: _Job) -> None:
        """Give up a request that has not been answered."""
        if job in self._waiting:
            self._waiting.remove(job)
        self._running.discard(job)
        self._fill_slots()

    def load(self) -> LoadReport:
        """Return what the server states in a response."""
        return LoadReport(
            len(self._running),
            len(self._waiting),
            self._machine.slowdown(self._clock()),
        )

    def _fill_slots(self) -> None:
        while self._waiting and len(self._running) < _PLAIN_SLOTS:
            job = self._waiting.popleft()
            self._running.add(job)
            end_s = self._machine.end_of(self._clock(), job.work_s)
            self._schedule(end_s - self._clock(), partial(self._end, job))

    def _end(self, job: _Job) -> None:
        if job in self._running:
            self._running.remove(job)
            self._fill_slots()
            job.answer()


class _PeerWork:
    """The sum of the peers' work, kept for a moment as the nodes do."""

    def __init__(self, node: crowd.Node, clock: Callable[[], float]) -> None:
        self._sum = node.peer_states.peer_work
        self._clock = clock
        self._known = self._sum()
        self._summed_at_s = clock()

    def __call__(self) -> WorkSum:
        """Return the sum."""
        if self._clock() - self._summed_at_s > _SUM_CACHE_S:
            self._known = self._sum()
            self._summed_at_s = self._clock()
        return self._known


class UnevenSimulation(crowd.Simulation):
    """Simulates a deployment whose servers are uneven."""

    def __init__(
        self,
        deployment: crowd.Deployment,
        seed: int,
        *,
        plain: bool = False,
        factors: Sequence[float] = (1,),
        utilisation: float = 0.55,
        hedging_share: float = 0,
    ) -> None:
        super().__init__(deployment, seed)
        self.sent = 0
        self.hedges = 0
        self.hedgers = {
            node.name: (RouteTimes(self._clock), HedgeShare(hedging_share))
            for node in self._nodes
        }
        self._plain = plain
        names = list(self._engines)
        machines = (
            Machine(self._random, factors[index % len(factors)], self._now_s)
            for index in range(len(names))
        )
        engines: Any = map(UnevenEngine, machines)
        if plain:
            engines = (
                PlainServer(machine, self._clock, self._schedule)
                for machine in machines
            )
        self._engines = dict(zip(names, engines, strict=True))
        if plain:
            spec = SimpleNamespace(engine=None)
            for node in self._nodes:
                catalog: Any = node.backends._catalog  # noqa: SLF001
                catalog.configuration.services[crowd.SERVICE] = spec
                for server in catalog.servers.values():
                    object.__setattr__(server, 'slots', _PLAIN_SLOTS)
        for each in self._nodes:
            each.current_peer_work = _PeerWork(each, self._clock)
        self._rate = utilisation * len(names) * _PLAIN_SLOTS / _PLAIN_WORK_S

    def _schedule_first_events(self) -> None:
        if not self._plain:
            super()._schedule_first_events()
            return
        with patch.object(crowd, 'REQUEST_PROFILES', ()):
            super()._schedule_first_events()
        self._schedule(0, self._send_plain)

    def _send_plain(self) -> None:
        work_s = self._random.lognormvariate(
            math.log(_PLAIN_WORK_S) - _PLAIN_SIGMA**2 / 2, _PLAIN_SIGMA
        )
        request = CallerRequest(
            'POST',
            '/',
            'shop.example',
            f'r-{next(self._numbers)}',
            CIMultiDict(),
            body=str(work_s).encode(),
        )
        self._send(self._random.choice(self._nodes), request)
        self._schedule(self._random.expovariate(self._rate), self._send_plain)

    def _attempt(
        self, node: crowd.Node, request: CallerRequest, avoid: tuple[str, ...]
    ) -> None:
        pick = node.backends.pick(crowd.SERVICE, request, avoid)
        assert pick is not None
        if self._plain:
            _HedgedRequest(self, node, request).begin(pick)
            return
        engine: Any = self._engines[pick.view.server.server_id]
        _, first_s, end_s = engine.submit(request, self.now_s)
        stack = ExitStack()
        work = stack.enter_context(
            node.backends.track_request(pick.view, request)
        )

        def answer() -> None:
            record_answer(node, pick.view, work, engine.load(self.now_s))

        self.schedule(first_s - self.now_s, answer)
        self.schedule(end_s - self.now_s, stack.close)
        self.note_time(self.now_s, first_s - self.now_s)

    @property
    def now_s(self) -> float:
        """The simulated time."""
        return self._now_s

    def schedule(self, pause_s: float, action: Callable[[], None]) -> None:
        """Call ``action`` after a pause."""
        self._schedule(pause_s, action)

    def server(self, name: str) -> Any:
        """Return a server by id."""
        return self._engines[name]

    def note_time(self, began_at_s: float, taken_s: float) -> None:
        """Record a response, unless its request came in the warm-up."""
        if began_at_s > crowd._START_S + crowd._WARM_UP_S:  # noqa: SLF001
            self.result.first_token_s.append(taken_s)


def record_answer(
    node: crowd.Node,
    view: BackendView,
    work: InFlightRequest,
    load: LoadReport,
) -> None:
    """Let a node record an answer, or the head of one."""
    head: Any = SimpleNamespace(load=load, limit=None, leaving=False, pause_s=0)
    node.backends.record_statements(view, head)
    node.backends.record_response(view, work)
    work.note_first_event()
    view.record_success()


class _HedgedRequest:
    """A plain request, and a second attempt of it as the proxy sends one."""

    def __init__(
        self,
        simulation: UnevenSimulation,
        node: crowd.Node,
        request: CallerRequest,
    ) -> None:
        self._simulation = simulation
        self._node = node
        self._request = request
        self._began_at_s = simulation.now_s
        self._times: RouteTimes = simulation.hedgers[node.name][0]
        self._share: HedgeShare = simulation.hedgers[node.name][1]
        self._attempts: list[tuple[PlainServer, _Job, ExitStack]] = []
        self._tried: list[str] = []

    def begin(self, pick: Pick) -> None:
        """Send it to its first server."""
        self._share.note_request()
        self._simulation.sent += 1
        self._send(pick)
        delay_s = self._times.usual_s()
        if delay_s is not None:
            self._simulation.schedule(delay_s, self._hedge)

    def _hedge(self) -> None:
        if not self._attempts or not self._share.has_room():
            return
        pick = self._node.backends.pick(
            crowd.SERVICE, self._request, self._tried
        )
        if pick and not is_short_of_capacity(pick.backlog_s, PLAIN_OBJECTIVE_S):
            self._share.spend()
            self._simulation.hedges += 1
            self._send(pick)

    def _send(self, pick: Pick) -> None:
        stack = ExitStack()
        work = stack.enter_context(
            self._node.backends.track_request(pick.view, self._request)
        )
        server_id = pick.view.server.server_id
        server: PlainServer = self._simulation.server(server_id)

        def answer() -> None:
            record_answer(self._node, pick.view, work, server.load())
            self._finish()

        self._tried.append(server_id)
        job = _Job(float(self._request.body), answer)
        self._attempts.append((server, job, stack))
        server.run(job)

    def _finish(self) -> None:
        taken_s = self._simulation.now_s - self._began_at_s
        self._times.note(taken_s)
        self._simulation.note_time(self._began_at_s, taken_s)
        for server, job, stack in self._attempts:
            server.cancel(job)
            stack.close()
        self._attempts = []


def power_of_two(
    candidates: Sequence[Candidate], placement: Placement, name: str = ''
) -> Candidate:
    """Return the less loaded of two servers that are drawn at random."""
    drawn = random.sample(list(candidates), 2)
    return min(drawn, key=lambda each: each.running / each.slots)


def least_loaded(
    candidates: Sequence[Candidate], placement: Placement, name: str = ''
) -> Candidate:
    """Return the server with the smallest share of busy slots."""
    return policies.choose_server(candidates, placement, 'least_loaded')


def present(
    candidates: Sequence[Candidate], placement: Placement, name: str = ''
) -> Candidate:
    """Return the server by the decision for services without slowdowns."""
    return policies.choose_server(candidates, placement, 'predicted')
