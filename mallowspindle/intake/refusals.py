"""Counts and logs clients that are refused before their requests run."""

import logging
from enum import StrEnum
from typing import Any

from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

refusals_total = meter.create_counter('clients_refused')


class Reason(StrEnum):
    """Why a client is refused; each is a kind of log line."""

    HEAD = 'the head of a request is too long'
    MALFORMED = 'a request is malformed'
    FRAMING = 'a body has too much beside its data'
    ROOM = 'no room for an unfinished request'
    COST = 'an unfinished request takes much CPU time'
    CONNECTIONS = 'too many connections'
    UNREAD = 'a response is not read'
    UNPROVEN = 'too many peers have not proved their key'


def note_refusal(reason: Reason, listener: str, **details: Any) -> None:
    """Count a refused client; the log writes some lines of each kind."""
    refusals_total.add(1, {'reason': reason.name.lower(), 'listener': listener})
    log.info(str(reason), extra={'listener': listener, **details})
