"""Token generation of the engine stand-in: batching and prefix cache."""

import asyncio
import random
from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import count

from xxhash import xxh3_64_hexdigest

BLOCK_TOKENS = 16
# A stream that no caller follows is cancelled after this time.
_UNFOLLOWED_TIMEOUT_S = 3.0


@dataclass(slots=True)
class Stream:
    """One generation: its tokens so far and the number of its followers."""

    attempt_id: str
    prompt: list[str]
    target_tokens: int
    priority: int
    cached_tokens: int = 0
    tokens: list[str] = field(default_factory=list)
    finish_reason: str = ''
    followers: int = 0
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)


class PrefixCache:
    """LRU cache of the block hashes of prefixes."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[dict[str, object]] = []

    @property
    def events(self) -> list[dict[str, object]]:
        """Stored and removed blocks, oldest first."""
        return self._events

    def cached_tokens(self, prompt: list[str]) -> int:
        """Return how many leading tokens of ``prompt`` are cached."""
        matched = 0
        for block in block_hashes(prompt):
            if block not in self._blocks:
                break
            matched += BLOCK_TOKENS
        return matched

    def store(self, blocks: list[str]) -> None:
        """Add ``blocks`` and evict the least recently used ones."""
        for block in blocks:
            if block not in self._blocks:
                self._events.append({'kind': 'stored', 'block': block})
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._events.append({'kind': 'removed', 'block': evicted})


@dataclass(frozen=True, slots=True)
class Speed:
    """Speed and batch size of the simulated engine."""

    prefill_tokens_per_s: float = 20_000
    step_s: float = 0.01
    step_s_per_stream: float = 0.0005
    max_batch: int = 16


class Generator:
    """Runs streams in a continuous batch with a priority queue."""

    def __init__(self, speed: Speed, cache: PrefixCache, seed: int) -> None:
        self._speed = speed
        self._cache = cache
        self._random = random.Random(seed)
        self._arrival_numbers = count()
        self._waiting: asyncio.PriorityQueue[tuple[int, int, Stream]] = (
            asyncio.PriorityQueue()
        )
        self._running: set[str] = set()
        self._slots = asyncio.Semaphore(speed.max_batch)
        self._prefill_lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def running(self) -> int:
        """The number of streams in the batch."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """The number of streams that wait for a slot in the batch."""
        return self._waiting.qsize()

    def submit(self, stream: Stream) -> None:
        """Queue ``stream``; a lower priority number goes first."""
        self._waiting.put_nowait(
            (stream.priority, next(self._arrival_numbers), stream)
        )

    async def run(self) -> None:
        """Move queued streams into the batch, forever."""
        while True:
            await self._slots.acquire()
            _, _, stream = await self._waiting.get()
            task = asyncio.create_task(self._generate(stream))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _generate(self, stream: Stream) -> None:
        self._running.add(stream.attempt_id)
        try:
            await self._compute_prompt(stream)
            await self._decode(stream)
        finally:
            self._running.discard(stream.attempt_id)
            self._slots.release()

    async def _compute_prompt(self, stream: Stream) -> None:
        async with self._prefill_lock:
            stream.cached_tokens = self._cache.cached_tokens(stream.prompt)
            uncached = len(stream.prompt) - stream.cached_tokens
            await asyncio.sleep(uncached / self._speed.prefill_tokens_per_s)
            self._cache.store(block_hashes(stream.prompt))

    async def _decode(self, stream: Stream) -> None:
        unfollowed_s = 0.0
        while not stream.finish_reason:
            pause_s = self._step_s()
            await asyncio.sleep(pause_s)
            unfollowed_s = 0.0 if stream.followers else unfollowed_s + pause_s
            if unfollowed_s > _UNFOLLOWED_TIMEOUT_S:
                stream.finish_reason = 'cancelled'
            elif not stream.finish_reason:
                self._add_token(stream)
            async with stream.changed:
                stream.changed.notify_all()
        if stream.finish_reason == 'length':
            self._cache.store(block_hashes(stream.prompt + stream.tokens))

    def _add_token(self, stream: Stream) -> None:
        stream.tokens.append(f'w{self._random.randrange(10_000)} ')
        if len(stream.tokens) >= stream.target_tokens:
            stream.finish_reason = 'length'

    def _step_s(self) -> float:
        return self._speed.step_s + self._speed.step_s_per_stream * self.running


def block_hashes(tokens: list[str]) -> list[str]:
    """Return the chained hashes of the full blocks of ``tokens``."""
    hashes: list[str] = []
    parent = ''
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = ' '.join(tokens[start : start + BLOCK_TOKENS])
        parent = xxh3_64_hexdigest(f'{parent}|{block}'.encode())
        hashes.append(parent)
    return hashes
