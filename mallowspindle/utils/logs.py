"""JSON Lines logging with a limited rate that never blocks."""

import logging
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from logging.handlers import QueueHandler, QueueListener
from queue import Queue

from pythonjsonlogger.json import JsonFormatter

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'
# Rate limit of lines with the same logger and message. The next line that is
# written has the number of suppressed ones in its field `left_out`.
_LINES_PER_S = 20.0
_BURST_LINES = 40.0
# Lines buffered for a slow reader of stdout; when full, lines are dropped.
_QUEUED_LINES = 2000


@dataclass(slots=True)
class _TokenBucket:
    """Rate limit of one logger and message."""

    tokens: float
    refilled_at_s: float
    left_out: int = 0


class RateLimitFilter(logging.Filter):
    """Filter that limits the rate of lines with the same logger and message."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._buckets: dict[tuple[str, str], _TokenBucket] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a line; add the number of suppressed ones."""
        now_s = self._clock()
        key = (record.name, str(record.msg))
        bucket = self._buckets.setdefault(
            key, _TokenBucket(_BURST_LINES, now_s)
        )
        refill = (now_s - bucket.refilled_at_s) * _LINES_PER_S
        bucket.tokens = min(_BURST_LINES, bucket.tokens + refill)
        bucket.refilled_at_s = now_s
        if bucket.tokens < 1:
            bucket.left_out += 1
            return False
        bucket.tokens -= 1
        if bucket.left_out:
            record.left_out = bucket.left_out
            bucket.left_out = 0
        return True


class DroppingQueueHandler(QueueHandler):
    """Queue handler that drops and counts records when the queue is full.

    The next record that is queued has the count in its field ``dropped``.
    """

    def __init__(self, queue: 'Queue[logging.LogRecord]') -> None:
        super().__init__(queue)
        self._records = queue
        self._dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record unless the queue is full."""
        if self._records.full():
            self._dropped += 1
            return
        if self._dropped:
            record.dropped = self._dropped
            self._dropped = 0
        self._records.put_nowait(record)


def configure_logging(level: str, node_name: str) -> QueueListener:
    """Write log records of all modules to stdout as JSON Lines.

    A separate thread writes them, so that a slow reader of stdout delays no
    request. Stop the returned listener to flush the last lines.
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
    # The writer adds level and logger. Without a formatter here, basicConfig
    # would set one that also puts them into the message.
    handler.setFormatter(logging.Formatter('%(message)s'))
    handler.addFilter(RateLimitFilter())
    logging.getLogger('transitions').setLevel(logging.WARNING)
    logging.getLogger('asyncio').setLevel(logging.WARNING)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    return listener
