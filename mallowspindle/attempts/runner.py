"""Runs one accepted request, in several attempts if some fail."""

import asyncio
import logging
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from dataclasses import replace

from opentelemetry.trace import SpanKind

from mallowspindle.attempts.engine import (
    EndEvent,
    EngineClient,
    EngineEvent,
    StartEvent,
    TokenEvent,
)
from mallowspindle.attempts.errors import (
    AttemptError,
    RequestRejected,
    StreamCut,
)
from mallowspindle.attempts.request import (
    AttemptInfo,
    Ending,
    GenerationRequest,
    OwnedRequest,
    RequestKind,
)
from mallowspindle.config.native import RoutingSection
from mallowspindle.ledger.service import LedgerService
from mallowspindle.recovery.replication import Replicator
from mallowspindle.routing.errors import NoServer
from mallowspindle.routing.prefixes import Prompt
from mallowspindle.routing.router import RouterService
from mallowspindle.routing.servers import ServerView
from mallowspindle.utils.identifiers import new_id
from mallowspindle.utils.telemetry import hop_span, meter

log = logging.getLogger(__name__)

_NO_SERVER_PAUSE_S = 0.2
_GATEWAY_TIMEOUT = 504
_BAD_GATEWAY = 502
_UNAVAILABLE = 503

recomputed_tokens = meter.create_counter('recomputed_tokens')
attempts_started = meter.create_counter('attempts')


class RequestRunner:
    """Starts, resumes, retries and cancels the attempts of one request."""

    def __init__(
        self,
        owned: OwnedRequest,
        config: RoutingSection,
        router: RouterService,
        replicator: Replicator,
        ledger: LedgerService,
        engine: EngineClient,
        clock: Callable[[], float],
    ) -> None:
        self._owned = owned
        self._clock = clock
        self._config = config
        self._router = router
        self._replicator = replicator
        self._ledger = ledger
        self._engine = engine
        self._tokens = list(owned.progress.tokens)
        attempts = owned.progress.attempts
        self._attempt = attempts[-1] if attempts else None
        self._resumable = self._attempt
        self._prompt = Prompt(owned.request.body['messages'])
        self._tried_vm_ids: set[str] = set()

    @property
    def _request(self) -> GenerationRequest:
        return self._owned.request

    async def run(self) -> None:
        """Run until the request ends or another node owns it."""
        self._owned.begin()
        attempts_task = asyncio.create_task(self._run_to_ending())
        final_task = asyncio.create_task(self._owned.wait_final())
        try:
            await asyncio.wait(
                {attempts_task, final_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if attempts_task.done() and not self._owned.is_final:
                self._replicator.add(self._owned, attempts_task.result())
                await final_task
        finally:
            attempts_task.cancel()
            final_task.cancel()
        if not self._owned.moved_to:
            self._ledger.enqueue_request_costs(self._owned)

    def apply_split_change(self) -> None:
        """Start a new cost segment if another split is in force."""
        attempt = self._attempt
        if attempt is None or self._owned.is_final:
            return
        segment = self._ledger.current_segment(
            self._request.organisation_path, len(self._tokens)
        )
        if segment.version != attempt.segments[-1].version:
            self._record_attempt(
                replace(attempt, segments=[*attempt.segments, segment])
            )

    async def _run_to_ending(self) -> Ending:
        try:
            async with asyncio.timeout(self._time_limit_s()):
                return await self._run_attempts()
        except TimeoutError:
            await self._cancel_stream()
            return Ending(failure='deadline passed', status=_GATEWAY_TIMEOUT)
        except RequestRejected as error:
            return Ending(failure=str(error), status=error.status)
        except NoServer as error:
            return Ending(
                failure=str(error),
                status=_UNAVAILABLE,
                retry_after_s=error.retry_after_s,
            )

    async def _cancel_stream(self) -> None:
        if self._attempt is not None:
            await self._engine.cancel(self._attempt)

    def _time_limit_s(self) -> float | None:
        remaining_s = self._request.seconds_left(self._clock())
        return None if remaining_s == float('inf') else max(0, remaining_s)

    async def _run_attempts(self) -> Ending:
        failures = 0
        while failures < self._config.attempts:
            tokens_before = len(self._tokens)
            try:
                return await self._resume_or_start()
            except NoServer as error:
                await self._wait_for_server(error)
            except RequestRejected:
                raise
            except AttemptError as error:
                self._handle_failure(error)
                progressed = len(self._tokens) > tokens_before
                failures = 1 if progressed else failures + 1
        return Ending(
            failure=f'{failures} attempts failed', status=_BAD_GATEWAY
        )

    async def _resume_or_start(self) -> Ending:
        """Resume the last stream if its engine may have it, else start one."""
        attempt = self._resumable
        if attempt is None:
            return await self._start_attempt()
        return await self._read_stream(
            attempt, len(self._tokens) - attempt.offset
        )

    def _handle_failure(self, error: AttemptError) -> None:
        log.info('request %s: %s', self._request.request_id, error)
        if not isinstance(error, StreamCut):
            self._resumable = None

    async def _wait_for_server(self, error: NoServer) -> None:
        """Pause before the next try.

        A chat without tokens fails at once, so that its caller can retry.
        """
        if self._request.kind == RequestKind.CHAT and not self._tokens:
            raise error
        await asyncio.sleep(_NO_SERVER_PAUSE_S)

    async def _start_attempt(self) -> Ending:
        view = self._router.pick_engine(
            self._request.model,
            self._prompt,
            self._request.max_tokens,
            self._tried_vm_ids,
        )
        attempt = self._build_attempt(view)
        self._router.record_dispatch(view, attempt.attempt_id, self._prompt)
        self._tried_vm_ids.add(view.vm.vm_id)
        attempts_started.add(1)
        try:
            ending = await self._read_stream(attempt, None)
            self._verify_cache(view)
        except AttemptError:
            view.record_failure()
            raise
        finally:
            self._router.record_completion(view, attempt.attempt_id)
        view.record_success()
        return ending

    def _verify_cache(self, view: ServerView) -> None:
        attempt = self._attempt
        if attempt is not None and attempt.prompt_tokens:
            self._router.verify(
                view,
                attempt.attempt_id,
                attempt.cached_tokens / attempt.prompt_tokens,
            )

    def _build_attempt(self, view: ServerView) -> AttemptInfo:
        path = self._request.organisation_path
        recompute = self._attempt is not None
        done = len(self._tokens)
        return AttemptInfo(
            attempt_id=new_id('attempt'),
            vm_id=view.vm.vm_id,
            address=view.vm.address,
            offset=done,
            price_micro_per_hour=view.vm.price_micro_per_hour,
            prefill_tokens_per_s=view.report.prefill_tokens_per_s,
            recompute=recompute,
            prompt_tokens=self._prompt.tokens + done,
            cached_tokens=0,
            prompt_shares=self._ledger.prompt_shares(path, recompute=recompute),
            segments=[self._ledger.current_segment(path, done)],
        )

    async def _read_stream(
        self, attempt: AttemptInfo, start: int | None
    ) -> Ending:
        """Read a new stream, or one resumed at ``start``, to its end."""
        if start is None:
            stream = self._engine.start(self._request, attempt, self._tokens)
        else:
            stream = self._engine.resume(attempt, start)
        with hop_span('backend server', SpanKind.CLIENT):
            async with aclosing(stream):
                ending = await self._process_events(attempt, stream)
        if ending is None:
            raise StreamCut('the stream ended without its last chunk')
        return ending

    async def _process_events(
        self,
        attempt: AttemptInfo,
        stream: AsyncGenerator[EngineEvent, None],
    ) -> Ending | None:
        async for event in stream:
            match event:
                case StartEvent():
                    self._ensure_recorded(attempt)
                case TokenEvent():
                    self._tokens.append(event.text)
                    self._replicator.add(self._owned, event.text)
                case EndEvent():
                    return self._end_attempt(event)
        return None

    def _ensure_recorded(self, attempt: AttemptInfo) -> None:
        """Send the attempt to the copy's holder once the engine runs it."""
        recorded = self._attempt
        if recorded is None or recorded.attempt_id != attempt.attempt_id:
            self._record_attempt(attempt)
            self._resumable = attempt

    def _end_attempt(self, event: EndEvent) -> Ending:
        if self._attempt is not None:
            attempt = replace(
                self._attempt,
                prompt_tokens=event.prompt_tokens,
                cached_tokens=event.cached_tokens,
            )
            self._record_attempt(attempt)
            if attempt.recompute:
                recomputed_tokens.add(event.prompt_tokens - event.cached_tokens)
        return Ending(finish_reason=event.finish_reason)

    def _record_attempt(self, attempt: AttemptInfo) -> None:
        self._attempt = attempt
        self._replicator.add(self._owned, attempt)
