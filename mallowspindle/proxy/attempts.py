"""Sends one request to servers, and follows its run where it moves."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any

from aiohttp import ClientError
from multidict import CIMultiDict

from mallowspindle.backends.view import (
    BackendView,
    InFlightRequest,
    Relocation,
)
from mallowspindle.catalog.configuration import RouteKind
from mallowspindle.outcomes import NotRun, Unknown
from mallowspindle.policies.copies import is_worth_copying
from mallowspindle.policies.lost_runs import LostRun
from mallowspindle.proxy.connections import SendState
from mallowspindle.proxy.messages import Dispatch, MovedRun
from mallowspindle.proxy.outcomes import (
    UNAVAILABLE_RETRY_AFTER_S,
    Answered,
    AttemptOutcome,
    Diverged,
    OverBudget,
    Unreachable,
    outcome_of_error,
)
from mallowspindle.proxy.state import ExchangeState
from mallowspindle.proxy.upstream import arrivals_total
from mallowspindle.utils.telemetry import meter

attempts_total = meter.create_counter('attempts')


class ServerAttempts:
    """The attempts of one request at servers that were picked for it.

    ``on_first_event`` is called before the first event of a stream is used.
    ``is_hedge`` is whether another attempt is in progress when this one begins.
    """

    def __init__(
        self,
        state: ExchangeState,
        on_first_event: Callable[[], None] | None = None,
        *,
        is_hedge: bool = False,
    ) -> None:
        self._state = state
        self._on_first_event = on_first_event
        self._hedge_fields: dict[str, Any] = {'hedge': True} if is_hedge else {}
        self._relocation: Relocation | None = None
        self._continues_copy = False
        self._send_state = SendState()

    async def send(
        self, view: BackendView, body: bytes, attempt_number: int
    ) -> AttemptOutcome:
        """Send the request; if its run is moved, continue it at the target."""
        outcome = await self._attempt(view, body)
        self._state.history.note_outcome(outcome)
        self._record_outcome(view, outcome, attempt_number)
        while self._relocation is not None:
            moved = self._relocation
            self._relocation = None
            outcome = await self._continue_run(moved, body)
            self._record_outcome(moved.target, outcome, attempt_number)
            if isinstance(outcome, NotRun):
                # The target has not continued the run, but the run itself had
                # started before, so the outcome is unknown.
                self._relocation = moved.fallback
                outcome = Unknown(f'a moved run found no place: {outcome}')
        return outcome

    async def _continue_run(
        self, moved: Relocation, body: bytes
    ) -> AttemptOutcome:
        # An attempt that is refused below has no connection.
        self._send_state = SendState()
        backends = self._state.context.backends
        if not self._state.continuation.allows(moved.target.server):
            return NotRun(
                'the server has another software version',
                UNAVAILABLE_RETRY_AFTER_S,
            )
        if (
            self._state.context.quarantine.find_refusal(self._state.request)
            is not None
        ):
            return NotRun('it has crashed servers', UNAVAILABLE_RETRY_AFTER_S)
        if not backends.rollouts.allows(moved.target.server):
            return NotRun(
                'the software version gets no requests',
                UNAVAILABLE_RETRY_AFTER_S,
            )
        if not (moved.paid or await self._pay(moved.target)):
            return OverBudget(
                'the retry budget has no room', UNAVAILABLE_RETRY_AFTER_S
            )
        if not (moved.claimed or backends.claim(moved.target)):
            return NotRun(
                'the server is at its limit', UNAVAILABLE_RETRY_AFTER_S
            )
        return await self._attempt(moved.target, body, moved.run)

    async def _pay(self, target: BackendView) -> bool:
        """Spend the retry budget for an arrival at another server."""
        return await self._state.context.retries.try_spend(
            target.server.service, self._state.time_left_s()
        )

    async def _attempt(
        self, view: BackendView, body: bytes, continues: MovedRun | None = None
    ) -> AttemptOutcome:
        self._count_arrival(view, continues)
        send_state = SendState()
        self._send_state = send_state
        self._state.history.servers.add(view.server.server_id)
        self._state.splitter.start_response()
        request = self._state.request
        keeper = self._copy_keeper(view)
        headers = self._dispatch_headers(view, continues, keeper)
        url = f'http://{view.server.address}{request.target}'
        with self._track(view) as in_flight:
            in_flight.on_first_event = self._on_first_event
            try:
                async with self._state.context.upstream.send(
                    request.method, url, headers, body, send_state
                ) as answer:
                    outcome = await self._state.relay.receive(
                        answer, view, in_flight
                    )
            except (ClientError, OSError, TimeoutError) as error:
                if self._state.time_left_s() <= 0:
                    raise TimeoutError from error
                outcome = outcome_of_error(error, sent=send_state.sent)
                self._state.context.backends.record_lost_connection(view)
                if isinstance(outcome, Unreachable):
                    self._state.hop.note_failed_connection()
            if in_flight.watch is not None:
                self._state.context.rollouts.record(in_flight.watch, outcome)
            if isinstance(outcome, Unknown) and not in_flight.settled:
                await self._record_lost(view, in_flight, send_state)
            if self._can_continue_run(outcome):
                self._relocation = await self._relocate(view, keeper, in_flight)
        return outcome

    def _count_arrival(
        self, view: BackendView, continues: MovedRun | None
    ) -> None:
        """Count the request by why it is sent; call before it is recorded."""
        if continues:
            reason = 'copy' if self._continues_copy else 'moved'
        elif self._state.history.is_empty:
            reason = 'passed_on' if self._state.request.relayed_by else 'first'
        else:
            reason = 'hedge' if self._hedge_fields else 'retry'
        arrivals_total.add(
            1, {'service': view.server.service, 'reason': reason}
        )

    @contextmanager
    def _track(self, view: BackendView) -> Iterator[InFlightRequest]:
        """Count the request at a server, and measure its response."""
        context = self._state.context
        with context.backends.track_request(
            view, self._state.request
        ) as in_flight:
            with context.rollouts.watch(
                view.server,
                self._state.route.name,
                streams=self._state.route.kind is RouteKind.STREAM,
                predicted_s=in_flight.remaining_wait_s(view.clock()),
            ) as watch:
                in_flight.watch = watch
                yield in_flight

    async def _record_lost(
        self,
        view: BackendView,
        in_flight: InFlightRequest,
        send_state: SendState,
    ) -> None:
        """Record that a server was lost before it outlived the request."""
        if not in_flight.streaming:
            self._state.log.log_unanswered(view, send_state.responding)
        if in_flight.move is None:
            await self._state.context.quarantine.record_lost(
                view.server,
                self._state.request,
                responding=send_state.responding,
            )

    def _can_continue_run(self, outcome: AttemptOutcome) -> bool:
        """Return whether the run may continue elsewhere from its memory."""
        return (
            isinstance(outcome, Unknown)
            and not isinstance(outcome, Diverged)
            and self._state.splitter.can_resume
        )

    def _dispatch_headers(
        self,
        view: BackendView,
        continues: MovedRun | None,
        keeper: BackendView | None,
    ) -> CIMultiDict[str]:
        organisation = self._state.organisation
        dispatch = Dispatch(
            server_id=view.server.server_id,
            time_left_s=self._state.time_left_s(),
            organisation=organisation.name if organisation else None,
            last_event_id=self._state.splitter.last_event_id,
            continues=continues,
            copy_keeper=keeper.server.address if keeper else None,
        )
        return self._state.context.http_codec.encode_dispatch(
            self._state.request, dispatch
        )

    def _copy_keeper(self, view: BackendView) -> BackendView | None:
        """Return the server that keeps a copy of the run; None for no copy.

        Streams that may run again need no copy: their prompt is prefilled
        again.
        """
        if (
            self._state.route.kind is not RouteKind.STREAM
            or self._state.route.repeatable
        ):
            return None
        request = self._state.request
        if not is_worth_copying(
            request.prompt_tokens or 0, request.likely_output_tokens
        ):
            return None
        return self._state.context.backends.pick_copy_keeper(view, request)

    async def _relocate(
        self,
        view: BackendView,
        keeper: BackendView | None,
        in_flight: InFlightRequest,
    ) -> Relocation | None:
        """Return where a lost stream continues; None if it can't.

        A copy is assumed to exist once the response has started.
        """
        lost_at_s = asyncio.get_running_loop().time()
        moved = await in_flight.relocation()
        self._continues_copy = moved is None
        if moved or keeper is None or self._state.relay.response is None:
            return moved
        run = LostRun(
            self._state.request.request_id,
            view.server.server_id,
            view.server.started_at_ms,
            in_flight.began_at_s,
            lost_at_s,
        )
        context = self._state.context
        return await context.lost_runs.relocate(
            run,
            view,
            keeper,
            can_move=context.backends.can_move_runs(view.server.service),
        )

    def _record_outcome(
        self, view: BackendView, outcome: AttemptOutcome, attempt_number: int
    ) -> None:
        """Log the outcome of an attempt and update the state of the server."""
        attempts_total.add(1, {'outcome': type(outcome).__name__})
        log_outcome: Callable[..., None] = partial(
            self._state.log.log_attempt,
            view=view,
            attempt_number=attempt_number,
            **self._hedge_fields,
        )
        match outcome:
            case NotRun(reason=reason):
                if isinstance(outcome, Unreachable):
                    self._state.context.backends.record_unreachable(view)
                elif not isinstance(outcome, OverBudget):
                    view.record_full(UNAVAILABLE_RETRY_AFTER_S)
                log_outcome(
                    'attempt not run',
                    reason=reason,
                    local_port=self._send_state.local_port,
                    reused=self._send_state.reused,
                    carried=self._send_state.carried,
                )
            case Unknown(reason=reason) if self._relocation is not None:
                log_outcome(
                    'stream goes on elsewhere',
                    reason=reason,
                    target=self._relocation.target.server.server_id,
                    target_software=(
                        self._relocation.target.server.software_version
                    ),
                    memory_at=self._relocation.run.source_address,
                )
            case Unknown(reason=reason):
                view.record_failure()
                log_outcome('attempt lost', reason=reason)
            case Answered(head=head) if outcome.is_server_error:
                self._state.server_error = outcome
                view.record_failure()
                log_outcome('server failed', status=head.status)
            case _:
                view.record_success()
