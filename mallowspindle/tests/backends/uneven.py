"""Simulates many entry VMs before servers whose machines slow down at times.

It extends the simulation of ``crowd``: each server states its load and present
slowdown in its responses.
"""

import math
import random
from bisect import bisect_right
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from heapq import heappop, heappush, heapreplace
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from multidict import CIMultiDict

from mallowspindle.policies import placement as policies
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


class PlainServer(UnevenEngine):
    """Runs requests in a fixed number of slots, in the order of arrival."""

    def __init__(self, machine: Machine) -> None:
        super().__init__(machine)
        self._slots = [0.0 for _ in range(_PLAIN_SLOTS)]

    def submit(
        self, request: CallerRequest, now_s: float
    ) -> tuple[float, float, float]:
        """Return the work and the time of the response, twice."""
        work_s = float(request.body)
        starts_at_s = max(now_s, self._slots[0])
        end_s = self.machine.end_of(starts_at_s, work_s)
        heapreplace(self._slots, end_s)
        heappush(self.ends_s, end_s)
        return work_s, end_s, end_s


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
    ) -> None:
        super().__init__(deployment, seed)
        self._plain = plain
        names = list(self._engines)
        kind = PlainServer if plain else UnevenEngine
        machines = (
            Machine(self._random, factors[index % len(factors)], self._now_s)
            for index in range(len(names))
        )
        self._engines = dict(zip(names, map(kind, machines), strict=True))
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
        view = pick.view
        engine: Any = self._engines[view.server.server_id]
        _, first_s, end_s = engine.submit(request, self._now_s)
        stack = ExitStack()
        work = stack.enter_context(node.backends.track_request(view, request))

        def answer() -> None:
            head: Any = SimpleNamespace(
                load=engine.load(self._now_s),
                limit=None,
                leaving=False,
                pause_s=0,
            )
            node.backends.record_statements(view, head)
            node.backends.record_response(view, work)
            work.note_first_event()
            view.record_success()

        self._schedule(first_s - self._now_s, answer)
        self._schedule(end_s - self._now_s, stack.close)
        if self._now_s > crowd._START_S + crowd._WARM_UP_S:
            self.result.first_token_s.append(first_s - self._now_s)


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
