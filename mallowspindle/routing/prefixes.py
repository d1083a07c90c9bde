"""Estimates which prompt prefixes the model engines cache."""

import json
from collections import OrderedDict
from itertools import takewhile
from typing import Any

from xxhash import xxh3_64_intdigest

_BLOCK_CHARS = 256
_MAX_BLOCKS_PER_PROMPT = 512
_CHARS_PER_TOKEN = 4
_MAX_BLOCKS_PER_SERVER = 20_000
_MIN_BLOCKS_PER_SERVER = 64
_GROWTH_BLOCKS = 4
_SHRINK_FACTOR = 0.7
_SHARE_TOLERANCE = 0.25


class Prompt:
    """The estimated length and the block hashes of a prompt."""

    def __init__(self, messages: list[dict[str, Any]]) -> None:
        text = ''.join(json.dumps(message) for message in messages)
        self._tokens = len(text) // _CHARS_PER_TOKEN + 1
        self._blocks = _hash_blocks(text)

    @property
    def tokens(self) -> int:
        """The estimated length in tokens."""
        return self._tokens

    @property
    def blocks(self) -> list[int]:
        """Hashes of the leading blocks; each also covers the blocks before."""
        return self._blocks


class PrefixMemory:
    """Prompt blocks that each server probably caches.

    The limited cache of a server is shared with requests of other nodes. So the
    number of blocks remembered for a server shrinks whenever its engine reports
    a smaller cached share than expected, and otherwise grows slowly.
    """

    def __init__(self) -> None:
        self._servers: dict[str, _ServerMemory] = {}

    def remember(self, vm_id: str, prompt: Prompt) -> None:
        """Record that the server computes this prompt."""
        self._memory_of(vm_id).remember(prompt.blocks)

    def cached_tokens(self, vm_id: str, prompt: Prompt) -> int:
        """Return how many tokens of the prompt the server should cache."""
        matching_blocks = self._memory_of(vm_id).matching_blocks(prompt.blocks)
        return min(
            prompt.tokens, matching_blocks * _BLOCK_CHARS // _CHARS_PER_TOKEN
        )

    def verify(
        self, vm_id: str, expected_share: float, reported_share: float
    ) -> None:
        """Adjust the memory of a server to the cached share that it reports."""
        memory = self._memory_of(vm_id)
        if reported_share < expected_share - _SHARE_TOLERANCE:
            memory.shrink()
        elif expected_share:
            memory.grow()

    def _memory_of(self, vm_id: str) -> '_ServerMemory':
        return self._servers.setdefault(vm_id, _ServerMemory())


class _ServerMemory:
    """Blocks of one server; the least recently used are evicted first."""

    def __init__(self) -> None:
        self._capacity = _MAX_BLOCKS_PER_SERVER
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def remember(self, blocks: list[int]) -> None:
        """Record that the server computes these blocks."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        self._evict()

    def matching_blocks(self, blocks: list[int]) -> int:
        """Return how many leading blocks are remembered."""
        leading = takewhile(self._blocks.__contains__, blocks)
        return sum(1 for _ in leading)

    def shrink(self) -> None:
        """Lower the capacity, since the server evicted more than expected."""
        shrunk_blocks = int(len(self._blocks) * _SHRINK_FACTOR)
        self._capacity = max(_MIN_BLOCKS_PER_SERVER, shrunk_blocks)
        self._evict()

    def grow(self) -> None:
        """Raise the capacity slightly."""
        self._capacity = min(
            _MAX_BLOCKS_PER_SERVER, self._capacity + _GROWTH_BLOCKS
        )

    def _evict(self) -> None:
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)


def _hash_blocks(text: str) -> list[int]:
    blocks: list[int] = []
    parent = 0
    end = min(len(text), _BLOCK_CHARS * _MAX_BLOCKS_PER_PROMPT)
    for start in range(0, end - _BLOCK_CHARS + 1, _BLOCK_CHARS):
        block = text[start : start + _BLOCK_CHARS].encode()
        parent = xxh3_64_intdigest(block, seed=parent)
        blocks.append(parent)
    return blocks
