"""An emulated model engine: batches, chunked reading, a cache of prefixes."""

import math
from collections import deque
from collections.abc import Generator
from dataclasses import dataclass, field
from typing import Any

from simpy import Environment, Event

from mallowspindle.backends.prefixes import PrefixCacheIndex, Prompt
from mallowspindle.lab.scenario import EngineSpec

# What a process of the emulation does, step by step.
Steps = Generator[Event, Any, None]


@dataclass(slots=True, eq=False)
class Run:
    """One request at one engine; times are those of the emulation."""

    prompt: Prompt
    prompt_tokens: int
    output_tokens: int
    ended: Event
    unprocessed_tokens: int = 0
    generated_tokens: int = 0
    first_at_s: float = math.inf
    event_at_s: float = math.inf
    longest_gap_s: float = 0
    lost: bool = False

    def note_event(self, now_s: float) -> None:
        """Take in that an event has been made."""
        if math.isinf(self.first_at_s):
            self.first_at_s = now_s
        else:
            gap_s = now_s - self.event_at_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.event_at_s = now_s


@dataclass(eq=False)
class Engine:
    """A server; ``speed`` above 1 makes its steps take longer."""

    env: Environment
    server_id: str
    zone: str
    reclaimable: bool
    spec: EngineSpec
    speed: float = 1
    draining: bool = False
    read_tokens: int = 0
    memory: PrefixCacheIndex = field(init=False)
    waiting: deque[Run] = field(default_factory=deque)
    running: list[Run] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.memory = PrefixCacheIndex(self.spec.cache_tokens)
        self._woken = self.env.event()
        self.env.process(self._work())

    def submit(self, run: Run) -> None:
        """Take a request in."""
        self.waiting.append(run)
        if not self._woken.triggered:
            self._woken.succeed()

    def end(self) -> None:
        """End at once; what runs is lost."""
        for run in (*self.running, *self.waiting):
            run.lost = True
            if not run.ended.triggered:
                run.ended.succeed()
        self.running.clear()
        self.waiting.clear()

    def _work(self) -> Steps:
        while True:
            if not (self.waiting or self.running):
                self._woken = self.env.event()
                yield self._woken
            self._admit()
            yield from self._step()

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.spec.slots:
            run = self.waiting.popleft()
            cached = self.memory.cached_tokens(run.prompt)
            run.unprocessed_tokens = max(1, run.prompt_tokens - cached)
            self.read_tokens += run.unprocessed_tokens
            self.running.append(run)

    def _step(self) -> Steps:
        """Read a chunk of the oldest unread prompt, or make some tokens."""
        spec = self.spec
        reading = next(
            (run for run in self.running if run.unprocessed_tokens), None
        )
        chunk = min(spec.chunk, reading.unprocessed_tokens) if reading else 0
        steps = 1 if reading else spec.stride
        step_s = spec.step_s + spec.step_per_running_s * len(self.running)
        took_s = steps * step_s
        if reading is not None:
            took_s += self._reading_s(reading, chunk)
        making = [run for run in self.running if not run.unprocessed_tokens]
        yield self.env.timeout(took_s * self.speed)
        for run in making:
            self._make(run, steps)
        if reading is not None:
            self._read(reading, chunk)

    def _reading_s(self, run: Run, chunk: int) -> float:
        pairs = chunk * (run.prompt_tokens - run.unprocessed_tokens + chunk / 2)
        by_tokens_s = chunk / self.spec.read_tokens_per_s
        return by_tokens_s + pairs * self.spec.read_s_per_pair

    def _make(self, run: Run, tokens: int) -> None:
        before = run.generated_tokens // self.spec.stride
        run.generated_tokens = min(
            run.output_tokens, run.generated_tokens + tokens
        )
        whole = run.generated_tokens >= run.output_tokens
        if whole or run.generated_tokens // self.spec.stride > before:
            run.note_event(self.env.now)
        if whole and run in self.running:
            self.running.remove(run)
            run.ended.succeed()

    def _read(self, run: Run, chunk: int) -> None:
        run.unprocessed_tokens -= chunk
        if not run.unprocessed_tokens:
            self.memory.remember(run.prompt)
            run.note_event(self.env.now)
