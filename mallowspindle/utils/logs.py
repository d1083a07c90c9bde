"""JSON-line logging."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'


def configure_logging(level: str, node_name: str) -> None:
    """Send log records of all modules to stderr as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            _FIELDS,
            rename_fields={'asctime': 'time', 'levelname': 'level'},
            static_fields={'node': node_name},
        )
    )
    logging.getLogger('transitions').setLevel(logging.WARNING)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
