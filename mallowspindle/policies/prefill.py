"""How long a model engine needs to read a prompt.

Load pattern: prompts from a hundred tokens to fifty thousand on the same
servers. A server reads them one after the other, so the time of all before a
request decides when its first token comes; tokens alone understate the long
ones, whose attention grows with the square of their length.
"""

# Tokens read in a second, and seconds for each pair of tokens that attend to
# each other: orders of magnitude of the engines in use. Choices depend on
# the ratio between servers, not on the absolute figures.
_TOKENS_PER_S = 60_000
_S_PER_PAIR = 0.6e-9


def prefill_time_s(prompt_tokens: int, cached_tokens: int) -> float:
    """Return the seconds to read a prompt whose head is cached."""
    unread = max(0, prompt_tokens - cached_tokens)
    pairs = unread * (prompt_tokens + cached_tokens) / 2
    return unread / _TOKENS_PER_S + pairs * _S_PER_PAIR
