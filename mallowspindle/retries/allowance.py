"""The retries of one service that this node may make."""

import asyncio
import logging
import random
from collections.abc import Callable
from enum import StrEnum
from typing import Any
from zlib import crc32

from mallowspindle.log.errors import AppendConflict, AppendUncertain, LogError
from mallowspindle.log.keyed import KeyedWriter
from mallowspindle.log.positions import era_of
from mallowspindle.policies.budget import BudgetTerms, RetryShare
from mallowspindle.policies.grants import (
    VALIDITY_S,
    Demand,
    Grant,
    GrantLedger,
    Permits,
)
from mallowspindle.retries.records import GrantList
from mallowspindle.utils.clock import SharedClock, boot_clock_s
from mallowspindle.utils.codec import CodecError
from mallowspindle.utils.tasks import BackgroundTasks
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

# Longest time for which a retry waits for a grant.
MAX_WAIT_S = 0.3
# Appends that are tried while other nodes are faster.
_MAX_TRIES = 4
# Bound of the random wait before the second try; it rises by as much with each
# further one. It is reached by ventures of this many nodes.
_BACKOFF_S = 0.01
_CROWD = 16
_MIN_NODES = 4
# Time without calls after one that failed, and after one that found no room:
# grants end one by one, and each end would make all nodes read the log.
_PAUSE_S = 0.25
_FULL_PAUSE_S = 1.5

grants_total = meter.create_counter('retry_grants')


class Refusal(StrEnum):
    """Why a retry is not allowed."""

    NO_ROOM = 'no room'
    NOT_REACHED = 'store not reached'
    CONTENDED = 'other nodes were faster'
    LATE = 'no grant in time'


class RetryAllowance:
    """Spends the node's own share of retries, and grants of the slack.

    ``count_nodes`` returns how many nodes are known. Only the random waits
    depend on it.
    """

    def __init__(
        self,
        service: str,
        terms: BudgetTerms,
        writer: KeyedWriter,
        time_of_day: SharedClock,
        count_nodes: Callable[[], int],
        tasks: BackgroundTasks,
    ) -> None:
        self._service = service
        self._writer = writer
        self._time_of_day = time_of_day
        self._count_nodes = count_nodes
        self._tasks = tasks
        self._share = RetryShare(terms, boot_clock_s)
        self._ledger = GrantLedger(terms, time_of_day)
        self._permits = Permits()
        self._demand = Demand()
        self._waiting = 0
        self._asking: asyncio.Task[None] | None = None
        self._failure: Refusal = Refusal.NOT_REACHED
        self._paused_until_s = 0.0
        self._seen_at_s: float | None = None

    def note_request(self) -> None:
        """Count a caller's request."""
        self._share.note_request()

    def try_spend_share(self) -> bool:
        """Spend one retry of the node's own share; False if none is left."""
        return self._share.try_spend()

    async def spend(self, timeout_s: float) -> Refusal | None:
        """Spend one retry; return why there is none, or None if it is spent."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + min(timeout_s, MAX_WAIT_S)
        # Permits first, since they expire sooner than the share.
        is_spent = self._permits.take()
        if not is_spent and self._share.try_spend():
            return None
        self._demand.note()
        while not (is_spent or self._permits.take()):
            refusal = self._find_refusal(ends_at_s - loop.time())
            if refusal is not None:
                return refusal
            await self._wait_for_grant(ends_at_s - loop.time())
        return None

    def describe(self) -> dict[str, Any]:
        """Return what is known of the budget, for the log."""
        seen_at_s = self._seen_at_s
        age_s = None if seen_at_s is None else boot_clock_s() - seen_at_s
        return {
            'service': self._service,
            'requests': self._share.request_count,
            'own_retries': self._share.retry_count,
            'room': self._ledger.room(),
            'seen_s_ago': None if age_s is None else round(age_s, 3),
        }

    def _find_refusal(self, time_left_s: float) -> Refusal | None:
        """Return why no grant is asked for or waited for."""
        if time_left_s <= 0:
            return Refusal.LATE
        if self._is_asking():
            return None
        if not self._ledger.has_room():
            return Refusal.NO_ROOM
        return self._failure if boot_clock_s() < self._paused_until_s else None

    def _is_asking(self) -> bool:
        return self._asking is not None and not self._asking.done()

    async def _wait_for_grant(self, timeout_s: float) -> None:
        """Wait until the current call for a grant has ended."""
        if self._asking is None or self._asking.done():
            self._asking = self._tasks.spawn(self._ask(), 'retry grant')
        self._waiting += 1
        try:
            await asyncio.wait({self._asking}, timeout=timeout_s)
        finally:
            self._waiting -= 1

    async def _ask(self) -> None:
        """Ask for a grant for all retries that wait."""
        try:
            outcome = await self._try_to_append()
        except LogError as error:
            self._pause(Refusal.NOT_REACHED)
            log.info(
                'retries not granted',
                extra={'service': self._service, 'error': str(error)},
            )
            is_uncertain = isinstance(error, AppendUncertain)
            outcome = 'uncertain' if is_uncertain else 'failed'
        except Exception:
            # Without a pause, the retries that wait would ask again at once.
            self._pause(Refusal.NOT_REACHED)
            raise
        grants_total.add(1, {'service': self._service, 'outcome': outcome})

    async def _try_to_append(self) -> str:
        """Append a grant unless there is no room; return the outcome."""
        for number in range(_MAX_TRIES):
            await asyncio.sleep(self._backoff_s(number))
            if self._writer.end is None:
                await self._read()
            size = self._ledger.next_size(self._waiting, self._demand.count())
            if not size:
                self._pause(Refusal.NO_ROOM, _FULL_PAUSE_S)
                return 'no room'
            try:
                await self._append(size)
            except AppendConflict:
                continue
            return 'granted'
        self._pause(Refusal.CONTENDED)
        return 'contended'

    async def _read(self) -> None:
        record = (await self._writer.read()).get(self._service)
        self._seen_at_s = boot_clock_s()
        self._ledger.merge(self._decode(record) if record else [])

    def _era(self) -> int:
        return era_of(self._writer.end or 0)

    async def _append(self, size: int) -> None:
        """Append the known grants and a new one, whose permits are then valid.

        Permits count from before the append, since the answer may be late.
        """
        sent_at_s = boot_clock_s()
        grant = self._ledger.new_grant(size)
        grants = GrantList([*self._ledger.counted(), grant], self._era())
        await self._writer.write(self._service, grants.encode())
        self._seen_at_s = boot_clock_s()
        self._ledger.add(grant)
        self._permits.add(size, sent_at_s + VALIDITY_S)

    def _decode(self, record: bytes) -> list[Grant]:
        """Return the grants of a record.

        One that can't be read, or is of a former era of the log, may lack some
        grants, so that it leaves no room at first.
        """
        try:
            found = GrantList.decode(record)
        except CodecError as error:
            log.error(
                'retry grants not understood',
                extra={'service': self._service, 'error': str(error)},
            )
            return [self._unknown_grants(f'unreadable-{crc32(record)}')]
        if found.era == self._era():
            return found.grants
        return [*found.grants, self._unknown_grants(f'era-{self._era()}')]

    def _unknown_grants(self, grant_id: str) -> Grant:
        permits = max(1, self._ledger.limit)
        return Grant(grant_id, permits, self._time_of_day.now_s())

    def _backoff_s(self, number: int) -> float:
        """Return how long to wait before a try, counted from 0."""
        crowd = min(_CROWD, max(_MIN_NODES, self._count_nodes())) / _CROWD
        return random.uniform(0, _BACKOFF_S * number * crowd)  # noqa: S311

    def _pause(self, failure: Refusal, pause_s: float = _PAUSE_S) -> None:
        """Make no call for a while, which differs between the nodes."""
        self._failure = failure
        spread_s = random.uniform(0, pause_s)  # noqa: S311
        self._paused_until_s = boot_clock_s() + pause_s / 2 + spread_s
