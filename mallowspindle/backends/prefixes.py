"""Index of the prompt prefixes that a backend server probably caches."""

from collections import OrderedDict

from mallowspindle.proxy.messages import PromptPart

Prompt = tuple[PromptPart, ...]
PrefixKey = tuple[str, ...]


class PrefixCacheIndex:
    """Prompt parts that one server has computed, least recently used first.

    A cached part is only usable behind the same preceding parts, so the key of
    a part consists of their ids and its own.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._parts: OrderedDict[PrefixKey, int] = OrderedDict()
        self._total_tokens = 0

    def remember(self, prompt: Prompt) -> None:
        """Record that the server computes this prompt."""
        for prefix, part in _prefixes(prompt):
            self._total_tokens += part.tokens - self._parts.get(prefix, 0)
            self._parts[prefix] = part.tokens
            self._parts.move_to_end(prefix)
        while self._parts and self._total_tokens > self._capacity_tokens:
            _, tokens = self._parts.popitem(last=False)
            self._total_tokens -= tokens

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the length in tokens of the prefix that should be cached."""
        cached = 0
        prefix: PrefixKey = ()
        # Keys are built one by one: most servers lack even the first part.
        for part in prompt:
            prefix = (*prefix, part.part_id)
            if prefix not in self._parts:
                break
            cached += part.tokens
        return cached


def _prefixes(prompt: Prompt) -> list[tuple[PrefixKey, PromptPart]]:
    ids = tuple(part.part_id for part in prompt)
    return [(ids[: end + 1], part) for end, part in enumerate(prompt)]
