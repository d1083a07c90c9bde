"""``mallowspindle effects``: calls with an unknown outcome."""

from mallowspindle.commands.client import call_node
from mallowspindle.commands.output import Output, print_document, print_rows
from mallowspindle.config.operator import OperatorSection

_COLUMNS = (
    'organisation',
    'service',
    'key',
    'claim_id',
    'node',
    'claimed_at_s',
    'reason',
)


async def list_unresolved(operator: OperatorSection, output: Output) -> None:
    """Print the calls whose outcome is unknown."""
    rows = await call_node(operator, 'GET', '/operator/effects')
    print_rows(rows, _COLUMNS, output)


async def resolve(
    operator: OperatorSection,
    call: dict[str, str],
    *,
    ran: bool,
    evidence: str,
    output: Output,
) -> None:
    """Record whether a call ran, with the evidence for it."""
    body = {**call, 'ran': ran, 'evidence': evidence, 'author': operator.name}
    answer = await call_node(
        operator, 'POST', '/operator/effects/resolve', body
    )
    print_document(answer, output)
