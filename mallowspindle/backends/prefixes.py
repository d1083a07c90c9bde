"""Which parts of prompts a backend server probably caches."""

from collections import OrderedDict

from mallowspindle.proxy.messages import PromptPart

Prompt = tuple[PromptPart, ...]
Chain = tuple[str, ...]


class PrefixCacheIndex:
    """Parts of prompts that one server has read, least recently used first.

    A part is cached only behind the parts before it, so it is remembered
    under the chain of their ids.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._parts: OrderedDict[Chain, int] = OrderedDict()
        self._held_tokens = 0

    def remember(self, prompt: Prompt) -> None:
        """Note that the server reads this prompt."""
        for chain, part in _chains(prompt):
            self._held_tokens += part.tokens - self._parts.get(chain, 0)
            self._parts[chain] = part.tokens
            self._parts.move_to_end(chain)
        while self._parts and self._held_tokens > self._capacity_tokens:
            _, tokens = self._parts.popitem(last=False)
            self._held_tokens -= tokens

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the leading tokens that the server should cache."""
        held = 0
        chain: Chain = ()
        # Of most servers not even the first part is remembered.
        for part in prompt:
            chain = (*chain, part.part_id)
            if chain not in self._parts:
                break
            held += part.tokens
        return held


def _chains(prompt: Prompt) -> list[tuple[Chain, PromptPart]]:
    ids = tuple(part.part_id for part in prompt)
    return [(ids[: end + 1], part) for end, part in enumerate(prompt)]
