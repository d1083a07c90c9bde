"""Logs are bounded and never wait for their reader."""

import logging
from queue import Queue

from mallowspindle.tests.clock import FakeClock
from mallowspindle.utils.logs import DroppingQueueHandler, RateCap


def _record(message: str) -> logging.LogRecord:
    return logging.LogRecord('a', logging.INFO, '', 0, message, (), None)


def test_lines_of_one_kind_are_capped_and_counted() -> None:
    clock = FakeClock()
    cap = RateCap(clock)
    written = sum(cap.filter(_record('one')) for _ in range(1000))
    assert written < 100
    assert cap.filter(_record('another'))
    clock.advance(1)
    record = _record('one')
    assert cap.filter(record)
    assert getattr(record, 'left_out', 0) == 1000 - written


def test_a_full_queue_drops_lines_and_says_how_many() -> None:
    queue: Queue[logging.LogRecord] = Queue(2)
    handler = DroppingQueueHandler(queue)
    for _ in range(5):
        handler.emit(_record('one'))
    assert queue.qsize() == 2
    queue.get()
    queue.get()
    handler.emit(_record('two'))
    assert getattr(queue.get(), 'dropped', 0) == 3
