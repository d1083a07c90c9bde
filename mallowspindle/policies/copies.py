"""Which runs are copied to a second server while they run.

Load pattern: servers are lost without notice, and streams that must not run
again are lost with them. A copy costs a transfer of the prompt's memory; what
it saves grows with the time that the answer takes. So answers that are long
for their prompt are copied.
"""

# Prompt tokens to transfer for each token of the answer, at most: beyond it a
# transfer takes more of the servers' links than the loss is worth.
_MOST_PROMPT_PER_OUTPUT = 4


def is_worth_copying(prompt_tokens: int, output_tokens: int) -> bool:
    """Tell whether a copy of a run pays, for the tokens that are expected."""
    return prompt_tokens <= output_tokens * _MOST_PROMPT_PER_OUTPUT
