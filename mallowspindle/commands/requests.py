"""``mallowspindle requests show`` and ``mallowspindle drain``."""

from mallowspindle.commands.client import ask_node
from mallowspindle.commands.output import Output, print_document
from mallowspindle.config.operator import OperatorSection


async def show(
    operator: OperatorSection, request_id: str, output: Output
) -> None:
    """Print what the nodes know of a request."""
    found = await ask_node(operator, 'GET', f'/operator/requests/{request_id}')
    print_document(found, output)


async def drain(operator: OperatorSection, output: Output) -> None:
    """Begin a graceful shutdown of the node."""
    answer = await ask_node(operator, 'POST', '/operator/drain')
    print_document(answer, output)
