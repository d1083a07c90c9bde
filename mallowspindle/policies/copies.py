"""Which runs are copied to a second server while they run.

Load pattern: servers are lost without notice, together with streams that must
not run a second time. A copy costs the transfer of the prompt's KV cache. Its
benefit grows with the time that the answer takes. Therefore a run is copied if
its answer is long compared with its prompt.
"""

# Maximum prompt tokens for each output token. Above it, the transfer costs more
# bandwidth between servers than the lost run is worth.
_MAX_PROMPT_PER_OUTPUT = 4


def is_worth_copying(prompt_tokens: int, output_tokens: int) -> bool:
    """Return whether a run of these expected token counts should be copied."""
    return prompt_tokens <= output_tokens * _MAX_PROMPT_PER_OUTPUT
