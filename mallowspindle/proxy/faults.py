"""Counts and logs answers that are given up before their end."""

import logging
from enum import StrEnum
from typing import Any

from aiohttp import ClientPayloadError

from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

given_up_total = meter.create_counter('answers_given_up')


class Fault(StrEnum):
    """Why an answer is given up; each is a kind of log line."""

    SIZE = 'an answer is too long'
    EVENT = 'an event is too long'
    HEAD = 'the head of an answer is too long'
    FRAMING = 'an answer has too much beside its data'
    STRAY = 'stray answers are too long'
    ROOM = 'no room for an unfinished answer'
    UNREAD = 'no room for an answer that is not read'


class AnswerGivenUp(ClientPayloadError):
    """An answer is not read to its end; its request may have run."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault))


def note_given_up(fault: Fault, **details: Any) -> AnswerGivenUp:
    """Count an answer that is given up, and return the error to raise.

    The log writes some lines of each kind.
    """
    given_up_total.add(1, {'reason': fault.name.lower()})
    log.info(str(fault), extra=details)
    return AnswerGivenUp(fault)
