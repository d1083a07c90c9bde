"""Finds out where a stream may go on whose connection was lost."""

import asyncio
import logging
from dataclasses import dataclass

from opentelemetry.trace import SpanKind

from mallowspindle.adapter import (
    MigrationClient,
    MigrationError,
    NobodyListens,
    NoConnection,
    NoSuchRun,
    RunsReport,
    TargetFull,
)
from mallowspindle.backends.view import BackendView, Relocation
from mallowspindle.policies.lost_runs import LostRun, has_ended
from mallowspindle.proxy.messages import MovedRun
from mallowspindle.utils.tasks import BackgroundTasks
from mallowspindle.utils.telemetry import hop_span, meter

log = logging.getLogger(__name__)

# Many streams are lost together; their server is asked once in this time.
_QUERY_INTERVAL_S = 0.1
# Connections that must fail in a row before a server counts as not reached: the
# first packet of a connection may be lost, and this process may stand still.
_MIN_FAILED_CONNECTIONS = 2
# Callers leave a stream that stands still. A move takes a few transfers.
_DECISION_TIMEOUT_S = 1.5

lost_runs_total = meter.create_counter('lost_runs')


@dataclass(frozen=True, slots=True)
class _Answer:
    """What a server has answered to a query that began at ``asked_at_s``."""

    asked_at_s: float
    found: RunsReport | MigrationError


@dataclass(frozen=True, slots=True)
class _Decision:
    """Where a stream goes on, None if nowhere, and why."""

    relocation: Relocation | None
    reason: str


class _RunQueries:
    """Asks servers for their runs, once for all streams that they have lost."""

    def __init__(self, migration: MigrationClient) -> None:
        self._migration = migration
        self._queries: dict[str, asyncio.Task[_Answer]] = {}
        self._tasks = BackgroundTasks()

    async def ask(self, address: str) -> _Answer:
        """Return the answer of a server to the current query."""
        query = self._queries.get(address)
        if query is None:
            query = self._tasks.spawn(self._ask(address), 'query for runs')
            self._queries[address] = query
        # Others wait for it too.
        return await asyncio.shield(query)

    async def stop(self) -> None:
        """Cancel all queries."""
        await self._tasks.cancel()

    async def _ask(self, address: str) -> _Answer:
        loop = asyncio.get_running_loop()
        asked_at_s = loop.time()
        found: RunsReport | MigrationError
        try:
            found = await self._migration.report_runs(address)
        except MigrationError as error:
            found = error
        finally:
            loop.call_later(_QUERY_INTERVAL_S, self._queries.pop, address, None)
        return _Answer(asked_at_s, found)


class LostRuns:
    """Decides where streams go on whose connection was lost.

    A run that may still be worked on is stopped first. If nobody can tell
    whether it has ended, its stream does not go on.
    """

    def __init__(self, migration: MigrationClient) -> None:
        self._migration = migration
        self._queries = _RunQueries(migration)

    async def stop(self) -> None:
        """Cancel all queries."""
        await self._queries.stop()

    async def relocate(
        self,
        run: LostRun,
        source: BackendView,
        keeper: BackendView,
        *,
        can_move: bool,
    ) -> Relocation | None:
        """Return where a stream goes on; None if its run may still be worked on.

        ``source`` is the server of the run, ``keeper`` the one that keeps a
        copy of it. ``can_move`` is whether servers can stop and move runs.
        """
        query = _StateQuery(
            run,
            source,
            keeper,
            self._queries,
            self._migration if can_move else None,
        )
        with hop_span('state of a lost run', SpanKind.CLIENT):
            found = await query.find()
        waited_s = asyncio.get_running_loop().time() - run.lost_at_s
        lost_runs_total.add(1, {'reason': found.reason})
        log.info(
            'state of a lost run',
            extra={
                'request': run.request_id,
                'server': source.server.server_id,
                'reason': found.reason,
                'goes_on': found.relocation is not None,
                'waited_ms': int(waited_s * 1000),
                'error': query.last_error,
            },
        )
        return found.relocation


class _StateQuery:
    """Asks the server of one lost run until its state is known."""

    def __init__(
        self,
        run: LostRun,
        source: BackendView,
        keeper: BackendView,
        queries: _RunQueries,
        migration: MigrationClient | None,
    ) -> None:
        self._run = run
        self._source = source
        self._keeper = keeper
        self._queries = queries
        self._migration = migration
        self._failed_connections = 0
        self._last_error: MigrationError | None = None

    @property
    def last_error(self) -> str:
        """What the server answered last if it was of no use."""
        return str(self._last_error or '')

    async def find(self) -> _Decision:
        """Return where the stream goes on."""
        try:
            async with asyncio.timeout(_DECISION_TIMEOUT_S):
                return await self._find()
        except TimeoutError:
            return _Decision(None, 'undecided')

    async def _find(self) -> _Decision:
        while True:
            answer = await self._queries.ask(self._source.server.address)
            found = await self._judge(answer)
            if found is not None:
                return found
            if answer.asked_at_s >= self._run.decided_at_s:
                return _Decision(None, 'may still run')
            await asyncio.sleep(_QUERY_INTERVAL_S)

    async def _judge(self, answer: _Answer) -> _Decision | None:
        """Return what follows from an answer; None to ask once more."""
        report = answer.found
        if isinstance(report, MigrationError):
            return self._judge_error(report)
        self._failed_connections = 0
        run = self._run
        if not run.is_from(report.server_id, report.started_at_ms):
            return self._from_copy('another server has its address')
        # Its answer is newer than a report, and knows of preempted runs too.
        found = await self._stop_once()
        if found is not None:
            return found
        if has_ended(run, report.request_ids, answer.asked_at_s):
            return self._from_copy('ended')
        return None

    def _judge_error(self, error: MigrationError) -> _Decision | None:
        self._last_error = error
        if isinstance(error, NobodyListens):
            return self._from_copy('its server has ended')
        if not isinstance(error, NoConnection):
            self._failed_connections = 0
            return None
        self._failed_connections += 1
        if self._failed_connections < _MIN_FAILED_CONNECTIONS:
            return None
        return self._from_copy('its server is not reached')

    async def _stop_once(self) -> _Decision | None:
        migration = self._migration
        self._migration = None
        return await self._stop(migration) if migration else None

    async def _stop(self, migration: MigrationClient) -> _Decision | None:
        """Stop the run and move its memory to the keeper of the copy."""
        source = self._source
        try:
            moved = await migration.move(
                source.server.address,
                self._run.request_id,
                self._keeper.server.address,
            )
        except TargetFull as error:
            self._last_error = error
            if error.source_copy is None:
                return None
            return _Decision(Relocation(source, error.source_copy), 'stopped')
        except NoSuchRun as error:
            self._last_error = error
            # A request that has no event yet may wait at the server.
            if self._run.began_at_s is None:
                return None
            return self._from_copy('ended')
        except MigrationError as error:
            self._last_error = error
            return None
        fallback = Relocation(source, moved)
        return _Decision(Relocation(self._keeper, moved, fallback), 'stopped')

    def _from_copy(self, reason: str) -> _Decision:
        copied = MovedRun(self._keeper.server.address, self._run.request_id)
        return _Decision(Relocation(self._keeper, copied), reason)
