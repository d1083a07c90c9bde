"""Which prompt prefixes a server probably caches."""

import json
from collections import OrderedDict
from itertools import takewhile
from typing import Any

from xxhash import xxh3_64_intdigest

_BLOCK_CHARS = 256
_MAX_BLOCKS_PER_PROMPT = 512
_CHARS_PER_TOKEN = 4
_REMEMBERED_BLOCKS = 20_000
_LEAST_BLOCKS = 64
_GROWTH_BLOCKS = 4
_SHRINK = 0.7
_TOLERATED_SHARE = 0.25


class Prompt:
    """A prompt as routing sees it: its length and its block hashes."""

    def __init__(self, messages: list[dict[str, Any]]) -> None:
        text = ''.join(json.dumps(message) for message in messages)
        self._tokens = len(text) // _CHARS_PER_TOKEN + 1
        self._blocks = _chain(text)

    @property
    def tokens(self) -> int:
        """The estimated length in tokens."""
        return self._tokens

    @property
    def blocks(self) -> list[int]:
        """Hashes of the leading blocks, each covering all before it."""
        return self._blocks


class PrefixMemory:
    """Blocks that each server probably caches.

    A server caches more requests than this node sends, in limited memory.
    So the memory of a server shrinks whenever its engine reports less cached
    than was expected, and grows again slowly.
    """

    def __init__(self) -> None:
        self._servers: dict[str, _ServerMemory] = {}

    def remember(self, vm_id: str, prompt: Prompt) -> None:
        """Note that the server computes this prompt."""
        self._of(vm_id).remember(prompt.blocks)

    def cached_tokens(self, vm_id: str, prompt: Prompt) -> int:
        """Return the tokens of the prompt that the server should cache."""
        matched = self._of(vm_id).matched(prompt.blocks)
        return min(prompt.tokens, matched * _BLOCK_CHARS // _CHARS_PER_TOKEN)

    def verify(
        self, vm_id: str, expected_share: float, reported_share: float
    ) -> None:
        """Compare the expected share of cached tokens with the reported."""
        memory = self._of(vm_id)
        if reported_share < expected_share - _TOLERATED_SHARE:
            memory.shrink()
        elif expected_share:
            memory.grow()

    def _of(self, vm_id: str) -> '_ServerMemory':
        return self._servers.setdefault(vm_id, _ServerMemory())


class _ServerMemory:
    """Blocks of one server, least recently used out first."""

    def __init__(self) -> None:
        self._capacity = _REMEMBERED_BLOCKS
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def remember(self, blocks: list[int]) -> None:
        """Note that the server computes these blocks."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        self._evict()

    def matched(self, blocks: list[int]) -> int:
        """Return how many leading blocks are remembered."""
        leading = takewhile(self._blocks.__contains__, blocks)
        return sum(1 for _ in leading)

    def shrink(self) -> None:
        """Remember less: the server has evicted more than was thought."""
        kept = int(len(self._blocks) * _SHRINK)
        self._capacity = max(_LEAST_BLOCKS, kept)
        self._evict()

    def grow(self) -> None:
        """Remember a little more."""
        self._capacity = min(
            _REMEMBERED_BLOCKS, self._capacity + _GROWTH_BLOCKS
        )

    def _evict(self) -> None:
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)


def _chain(text: str) -> list[int]:
    blocks: list[int] = []
    parent = 0
    end = min(len(text), _BLOCK_CHARS * _MAX_BLOCKS_PER_PROMPT)
    for start in range(0, end - _BLOCK_CHARS + 1, _BLOCK_CHARS):
        block = text[start : start + _BLOCK_CHARS].encode()
        parent = xxh3_64_intdigest(block, seed=parent)
        blocks.append(parent)
    return blocks
