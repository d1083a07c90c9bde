"""``mallowspindle requests show`` and ``mallowspindle drain``."""

from mallowspindle.commands.client import call_node
from mallowspindle.commands.output import Output, print_document
from mallowspindle.config.operator import OperatorSection


async def show(
    operator: OperatorSection, request_id: str, output: Output
) -> None:
    """Print what the nodes know of a request."""
    request_info = await call_node(
        operator, 'GET', f'/operator/requests/{request_id}'
    )
    print_document(request_info, output)


async def drain(operator: OperatorSection, output: Output) -> None:
    """Start a graceful shutdown of the node."""
    answer = await call_node(operator, 'POST', '/operator/drain')
    print_document(answer, output)
