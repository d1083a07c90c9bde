"""A simulated model engine: batching, chunked prefill and a prefix cache."""

import math
from collections import deque
from collections.abc import Generator
from dataclasses import dataclass, field
from typing import Any

from simpy import Environment, Event

from mallowspindle.backends.prefixes import PrefixCacheIndex, Prompt
from mallowspindle.lab.scenario import EngineSpec

# A SimPy process.
SimProcess = Generator[Event, Any, None]


@dataclass(slots=True, eq=False)
class Run:
    """One request at one engine, in simulated time."""

    prompt: Prompt
    prompt_tokens: int
    output_tokens: int
    ended: Event
    unprocessed_tokens: int = 0
    generated_tokens: int = 0
    first_event_at_s: float = math.inf
    last_event_at_s: float = math.inf
    longest_gap_s: float = 0
    lost: bool = False

    def record_event(self, now_s: float) -> None:
        """Record the time at which an event is sent."""
        if math.isinf(self.first_event_at_s):
            self.first_event_at_s = now_s
        else:
            gap_s = now_s - self.last_event_at_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_event_at_s = now_s


@dataclass(eq=False)
class Engine:
    """A server whose steps take ``slowdown`` times as long as specified."""

    env: Environment
    server_id: str
    zone: str
    reclaimable: bool
    spec: EngineSpec
    slowdown: float = 1
    draining: bool = False
    prefilled_tokens: int = 0
    prefix_cache: PrefixCacheIndex = field(init=False)
    waiting: deque[Run] = field(default_factory=deque)
    running: list[Run] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.prefix_cache = PrefixCacheIndex(self.spec.cache_tokens)
        self._wakeup = self.env.event()
        self.env.process(self._work())

    def submit(self, run: Run) -> None:
        """Queue a request and wake the engine."""
        self.waiting.append(run)
        if not self._wakeup.triggered:
            self._wakeup.succeed()

    def stop(self) -> None:
        """Stop at once and lose all running and queued requests."""
        for run in (*self.running, *self.waiting):
            run.lost = True
            if not run.ended.triggered:
                run.ended.succeed()
        self.running.clear()
        self.waiting.clear()

    def _work(self) -> SimProcess:
        while True:
            if not (self.waiting or self.running):
                self._wakeup = self.env.event()
                yield self._wakeup
            self._admit()
            yield from self._step()

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.spec.slots:
            run = self.waiting.popleft()
            cached = self.prefix_cache.cached_tokens(run.prompt)
            run.unprocessed_tokens = max(1, run.prompt_tokens - cached)
            self.prefilled_tokens += run.unprocessed_tokens
            self.running.append(run)

    def _step(self) -> SimProcess:
        """Prefill a chunk of the oldest unprocessed prompt and generate tokens.

        Without a prompt to prefill, ``tokens_per_event`` steps are simulated
        as one.
        """
        spec = self.spec
        prefilling = next(
            (run for run in self.running if run.unprocessed_tokens), None
        )
        chunk = (
            min(spec.prefill_chunk_tokens, prefilling.unprocessed_tokens)
            if prefilling
            else 0
        )
        steps = 1 if prefilling else spec.tokens_per_event
        step_s = spec.step_s + spec.step_per_running_s * len(self.running)
        step_time_s = steps * step_s
        if prefilling is not None:
            step_time_s += self._prefill_s(prefilling, chunk)
        decoding = [run for run in self.running if not run.unprocessed_tokens]
        yield self.env.timeout(step_time_s * self.slowdown)
        for run in decoding:
            self._decode(run, steps)
        if prefilling is not None:
            self._prefill(prefilling, chunk)

    def _prefill_s(self, run: Run, chunk: int) -> float:
        pairs = chunk * (run.prompt_tokens - run.unprocessed_tokens + chunk / 2)
        token_time_s = chunk / self.spec.prefill_tokens_per_s
        return token_time_s + pairs * self.spec.attention_s_per_pair

    def _decode(self, run: Run, tokens: int) -> None:
        events_before = run.generated_tokens // self.spec.tokens_per_event
        run.generated_tokens = min(
            run.output_tokens, run.generated_tokens + tokens
        )
        finished = run.generated_tokens >= run.output_tokens
        if (
            finished
            or run.generated_tokens // self.spec.tokens_per_event
            > events_before
        ):
            run.record_event(self.env.now)
        if finished and run in self.running:
            self.running.remove(run)
            run.ended.succeed()

    def _prefill(self, run: Run, chunk: int) -> None:
        run.unprocessed_tokens -= chunk
        if not run.unprocessed_tokens:
            self.prefix_cache.remember(run.prompt)
            run.record_event(self.env.now)
