"""``mallowspindle nodes`` and ``mallowspindle servers``."""

from mallowspindle.commands.client import call_node
from mallowspindle.commands.output import Output, print_rows
from mallowspindle.config.operator import OperatorSection

_NODE_COLUMNS = (
    'name',
    'region',
    'zone',
    'http_address',
    'live',
    'leaving',
    'in_progress',
    'settings_through',
    'heard_s_ago',
)
_SERVER_COLUMNS = (
    'vm_id',
    'role',
    'serves',
    'zone',
    'address',
    'leaving',
    'usable',
    'running',
    'queued',
)


async def nodes(operator: OperatorSection, output: Output) -> None:
    """Print the entry VMs that the node knows."""
    rows = await call_node(operator, 'GET', '/operator/nodes')
    print_rows(rows, _NODE_COLUMNS, output)


async def servers(operator: OperatorSection, output: Output) -> None:
    """Print the backend servers that the node knows."""
    rows = await call_node(operator, 'GET', '/operator/servers')
    print_rows(rows, _SERVER_COLUMNS, output)
