"""Which prompt prefixes a server probably caches."""

import json
from collections import OrderedDict
from typing import Any

from xxhash import xxh3_64_intdigest

_BLOCK_CHARS = 256
_MAX_BLOCKS_PER_PROMPT = 512
_CHARS_PER_TOKEN = 4
_REMEMBERED_BLOCKS = 50_000


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
    """Blocks that this node has sent to each server, by last use."""

    def __init__(self) -> None:
        self._blocks: OrderedDict[tuple[str, int], None] = OrderedDict()

    def remember(self, vm_id: str, prompt: Prompt) -> None:
        """Note that the server computes this prompt."""
        for block in prompt.blocks:
            self._blocks[vm_id, block] = None
            self._blocks.move_to_end((vm_id, block))
        while len(self._blocks) > _REMEMBERED_BLOCKS:
            self._blocks.popitem(last=False)

    def forget(self, vm_id: str, prompt: Prompt) -> None:
        """Note that the server turned out not to cache this prompt."""
        for block in prompt.blocks:
            self._blocks.pop((vm_id, block), None)

    def cached_tokens(self, vm_id: str, prompt: Prompt) -> int:
        """Return the tokens of the prompt that the server should cache."""
        matched = 0
        for block in prompt.blocks:
            if (vm_id, block) not in self._blocks:
                break
            matched += 1
        return min(prompt.tokens, matched * _BLOCK_CHARS // _CHARS_PER_TOKEN)


def _chain(text: str) -> list[int]:
    blocks: list[int] = []
    parent = 0
    end = min(len(text), _BLOCK_CHARS * _MAX_BLOCKS_PER_PROMPT)
    for start in range(0, end - _BLOCK_CHARS + 1, _BLOCK_CHARS):
        block = text[start : start + _BLOCK_CHARS].encode()
        parent = xxh3_64_intdigest(block, seed=parent)
        blocks.append(parent)
    return blocks
