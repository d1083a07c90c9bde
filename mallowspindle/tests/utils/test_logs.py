"""Tests of the rate limit and the bounded queue of the log."""

import logging
from queue import Queue

from mallowspindle.tests.clock import FakeClock
from mallowspindle.utils.logs import DroppingQueueHandler, RateLimitFilter


def _record(message: str) -> logging.LogRecord:
    return logging.LogRecord('a', logging.INFO, '', 0, message, (), None)


def test_repeated_lines_are_rate_limited_and_counted() -> None:
    clock = FakeClock()
    rate_limit = RateLimitFilter(clock)
    written = sum(rate_limit.filter(_record('one')) for _ in range(1000))
    assert written < 100
    assert rate_limit.filter(_record('another'))
    clock.advance(1)
    record = _record('one')
    assert rate_limit.filter(record)
    assert getattr(record, 'left_out', 0) == 1000 - written


def test_a_full_queue_drops_lines_and_counts_them() -> None:
    queue: Queue[logging.LogRecord] = Queue(2)
    handler = DroppingQueueHandler(queue)
    for _ in range(5):
        handler.emit(_record('one'))
    assert queue.qsize() == 2
    queue.get()
    queue.get()
    handler.emit(_record('two'))
    assert getattr(queue.get(), 'dropped', 0) == 3
