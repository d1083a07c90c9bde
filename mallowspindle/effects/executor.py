"""Execution of a keyed call: append a claim, send, record the outcome."""

import asyncio
import logging
from dataclasses import dataclass

from mallowspindle.effects.call import PlainCall, PlainClient
from mallowspindle.effects.errors import EffectsError, RecordRefused
from mallowspindle.effects.records import (
    CallOutcome,
    Claim,
    EffectsRecord,
    Release,
)
from mallowspindle.effects.stream import EffectsStream
from mallowspindle.ledger.records import LedgerEntry
from mallowspindle.outcomes import Done, NotRun, Outcome
from mallowspindle.routing.errors import NoServer
from mallowspindle.routing.prefixes import Prompt
from mallowspindle.routing.router import RouterService
from mallowspindle.utils.identifiers import new_id
from mallowspindle.utils.tasks import BackgroundTasks

log = logging.getLogger(__name__)

RETRY_AFTER_S = 1.0
_CLAIM_RETRY_PAUSE_S = 0.05
_RECORD_RETRY_PAUSE_S = 0.2
_RECORD_WAIT_S = 1.0


@dataclass(frozen=True, slots=True)
class CallPlan:
    """A call with the settings of its service that affect its execution."""

    call: PlainCall
    refusal_means_not_run: bool
    cost: LedgerEntry | None = None


class Executor:
    """Sends a call only if its claim has won, and records the outcome."""

    def __init__(
        self,
        node: str,
        client: PlainClient,
        router: RouterService,
        claim_timeout_s: float,
    ) -> None:
        self._node = node
        self._client = client
        self._router = router
        self._claim_timeout_s = claim_timeout_s
        self._in_progress: set[str] = set()
        self._record_tasks = BackgroundTasks()

    async def flush_records(self, timeout_s: float) -> None:
        """Wait until all outcomes and releases are in the log.

        Logs an error if this takes longer than ``timeout_s``.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._record_tasks.wait()
        except TimeoutError:
            log.error(
                'timed out with %s records not yet in the log',
                len(self._record_tasks),
            )

    async def close(self) -> None:
        """Cancel the appends in the background."""
        await self._record_tasks.cancel()

    def is_running(self, claim: Claim) -> bool:
        """Tell whether this node is running the call of the claim."""
        return claim.claim_id in self._in_progress

    async def run(
        self, stream: EffectsStream, claim: Claim, plan: CallPlan
    ) -> Outcome | None:
        """Run the call if its claim wins; None if another claim has won."""
        self._in_progress.add(claim.claim_id)
        try:
            refusal = await self._append_claim(stream, claim)
            if refusal is not None:
                return refusal
            if not stream.table.wins(claim):
                return None
            return await self._send(stream, claim, plan)
        finally:
            self._in_progress.discard(claim.claim_id)

    async def run_unkeyed(self, plan: CallPlan) -> Outcome:
        """Run a call without a claim.

        It is sent to another server only after one that did not run it.
        """
        try:
            return await self._try_servers(new_id('call'), plan)
        except NoServer as error:
            return NotRun(str(error), error.retry_after_s)

    async def _append_claim(
        self, stream: EffectsStream, claim: Claim
    ) -> NotRun | None:
        """Retry the append until it succeeds or its key has a winner.

        Returns None then. Returns ``NotRun`` if the log refuses the claim and
        no earlier try can have appended it, or after ``claim_timeout_s``. The
        claim may still be appended after that, so a release is recorded.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._claim_timeout_s
        maybe_appended = False
        while loop.time() < deadline_s:
            try:
                await stream.append(claim)
            except RecordRefused as error:
                if not maybe_appended:
                    return NotRun(f'log unavailable: {error}', RETRY_AFTER_S)
            except EffectsError:
                maybe_appended = True
            else:
                return None
            if await _has_winner(stream, claim):
                return None
            await asyncio.sleep(_CLAIM_RETRY_PAUSE_S)
        self._record_in_background(stream, Release(claim.key, claim.claim_id))
        return NotRun('the log did not confirm the claim', RETRY_AFTER_S)

    async def _send(
        self, stream: EffectsStream, claim: Claim, plan: CallPlan
    ) -> Outcome:
        try:
            outcome = await self._try_servers(claim.claim_id, plan)
        except NoServer as error:
            await self._record(stream, Release(claim.key, claim.claim_id))
            return NotRun(str(error), error.retry_after_s)
        match outcome:
            case Done():
                record = CallOutcome(
                    claim.key,
                    claim.claim_id,
                    outcome.status,
                    outcome.content_type,
                    outcome.body,
                    cost=plan.cost,
                )
            case _:
                reason = getattr(outcome, 'reason', 'unknown')
                record = CallOutcome(
                    claim.key, claim.claim_id, unknown=reason, cost=plan.cost
                )
        await self._record(stream, record)
        return outcome

    async def _try_servers(self, call_id: str, plan: CallPlan) -> Outcome:
        """Try one server after another until one may have run the call."""
        avoid: set[str] = set()
        while True:
            view = self._router.pick_plain(plan.call.service, avoid)
            avoid.add(view.vm.vm_id)
            attempt_id = f'{call_id}.{len(avoid)}'
            self._router.record_dispatch(view, attempt_id, Prompt([]))
            outcome = await self._client.send(
                plan.call,
                view.vm.address,
                attempt_id,
                refusal_means_not_run=plan.refusal_means_not_run,
            )
            self._router.record_completion(view, attempt_id)
            if not isinstance(outcome, NotRun):
                return outcome
            view.record_failure()

    async def _record(
        self, stream: EffectsStream, record: EffectsRecord
    ) -> None:
        """Append a record; continue in the background after a short wait."""
        task = self._record_in_background(stream, record)
        await asyncio.wait({task}, timeout=_RECORD_WAIT_S)

    def _record_in_background(
        self, stream: EffectsStream, record: EffectsRecord
    ) -> asyncio.Task[None]:
        return self._record_tasks.spawn(
            _append_until_done(stream, record), f'record {record.key}'
        )


async def _has_winner(stream: EffectsStream, claim: Claim) -> bool:
    try:
        await stream.read_available()
    except EffectsError:
        return False
    state = stream.table.state(claim.key)
    return state is not None and state.winning_claim is not None


async def _append_until_done(
    stream: EffectsStream, record: EffectsRecord
) -> None:
    while True:
        try:
            await stream.append(record)
        except EffectsError as error:
            log.warning('record of %s waits: %s', record.key, error)
            await asyncio.sleep(_RECORD_RETRY_PAUSE_S)
        else:
            return
