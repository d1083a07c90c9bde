"""JSON-line logging that is bounded and never blocks."""

import logging
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from logging.handlers import QueueHandler, QueueListener
from queue import Queue

from pythonjsonlogger.json import JsonFormatter

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'
# Lines of one kind that are written each second; the next line of the kind
# tells how many were left out.
_LINES_PER_S = 20.0
_BURST_LINES = 40.0
# Lines that wait for a slow reader of the output before more are dropped.
_QUEUED_LINES = 2000


@dataclass(slots=True)
class _Kind:
    """What is left to write of one kind of line."""

    allowance: float
    filled_at_s: float
    left_out: int = 0


class RateCap(logging.Filter):
    """Caps the rate of each kind of line: a logger and its message."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._kinds: dict[tuple[str, str], _Kind] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether to write a line; add how many were left out."""
        now_s = self._clock()
        key = (record.name, str(record.msg))
        kind = self._kinds.setdefault(key, _Kind(_BURST_LINES, now_s))
        filled = (now_s - kind.filled_at_s) * _LINES_PER_S
        kind.allowance = min(_BURST_LINES, kind.allowance + filled)
        kind.filled_at_s = now_s
        if kind.allowance < 1:
            kind.left_out += 1
            return False
        kind.allowance -= 1
        if kind.left_out:
            record.left_out = kind.left_out
            kind.left_out = 0
        return True


class DroppingQueueHandler(QueueHandler):
    """Hands lines to the writer; counts those for which there is no room."""

    def __init__(self, queue: 'Queue[logging.LogRecord]') -> None:
        super().__init__(queue)
        self._lines = queue
        self._dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a line unless the queue is full."""
        if self._lines.full():
            self._dropped += 1
            return
        if self._dropped:
            record.dropped = self._dropped
            self._dropped = 0
        self._lines.put_nowait(record)


def configure_logging(level: str, node_name: str) -> QueueListener:
    """Write log records of all modules to stdout as JSON lines.

    A thread writes them, so that a reader who is slow holds up no request;
    the returned listener is stopped to write the last lines.
    """
    writer = logging.StreamHandler(sys.stdout)
    writer.setFormatter(
        JsonFormatter(
            _FIELDS,
            rename_fields={'asctime': 'time', 'levelname': 'level'},
            static_fields={'node': node_name},
        )
    )
    queue: Queue[logging.LogRecord] = Queue(_QUEUED_LINES)
    listener = QueueListener(queue, writer)
    listener.start()
    handler = DroppingQueueHandler(queue)
    # The writer formats the line; without a formatter here, the logging
    # module would put level and logger into the message.
    handler.setFormatter(logging.Formatter('%(message)s'))
    handler.addFilter(RateCap())
    logging.getLogger('transitions').setLevel(logging.WARNING)
    logging.getLogger('asyncio').setLevel(logging.WARNING)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    return listener
