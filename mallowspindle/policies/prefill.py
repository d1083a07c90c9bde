"""The time that a model engine needs to prefill a prompt.

Load pattern: prompts of a hundred to fifty thousand tokens on the same servers.
A server prefills prompts one at a time, so the prefill times of all prompts
ahead determine when a request gets its first token. Token counts alone
underestimate long prompts, since attention is quadratic in the length.
"""

# Prefill rate, and time for each pair of tokens that attend to each other, in
# the order of magnitude of the engines in use. Placement depends on the ratio
# between servers, not on the absolute values.
_TOKENS_PER_S = 60_000
_S_PER_TOKEN_PAIR = 0.6e-9


def prefill_time_s(prompt_tokens: int, cached_tokens: int) -> float:
    """Return the prefill time of a prompt with a cached prefix, in seconds."""
    uncached_tokens = max(0, prompt_tokens - cached_tokens)
    token_pairs = uncached_tokens * (prompt_tokens + cached_tokens) / 2
    return uncached_tokens / _TOKENS_PER_S + token_pairs * _S_PER_TOKEN_PAIR
