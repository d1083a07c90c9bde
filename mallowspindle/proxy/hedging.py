"""Sends a request to a second server if the first one takes long."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial

from mallowspindle.backends.view import Pick
from mallowspindle.catalog.configuration import RouteKind
from mallowspindle.outcomes import NotRun
from mallowspindle.policies.hedging import is_short_of_capacity
from mallowspindle.proxy.attempts import ServerAttempts, attempts_total
from mallowspindle.proxy.outcomes import Answered, AttemptOutcome, Relayed
from mallowspindle.proxy.state import ExchangeState
from mallowspindle.utils.telemetry import meter

sent_total = meter.create_counter('hedges_sent')
won_total = meter.create_counter('hedges_won')
refused_total = meter.create_counter('hedges_refused')


@dataclass(slots=True, eq=False)
class _Contender:
    """One of the attempts of a request that are in progress together."""

    pick: Pick
    began_at_s: float
    task: asyncio.Task[AttemptOutcome] = field(init=False)
    given_up: bool = False

    @property
    def server_id(self) -> str:
        """The server that was picked for it."""
        return self.pick.view.server.server_id


class HedgedAttempts:
    """The attempts of one request, of which two may be in progress together.

    Only requests that may run again are hedged: those of safe routes, and
    resumable streams before their first event.
    """

    def __init__(self, state: ExchangeState) -> None:
        self._state = state
        self._limits = state.context.hedge_limits
        self._contenders: list[_Contender] = []
        # The one that has begun the stream to the caller.
        self._beginner: _Contender | None = None

    async def send(
        self, pick: Pick, service_name: str, body: bytes, attempt_number: int
    ) -> AttemptOutcome:
        """Return the outcome of an attempt, or of it and its hedge."""
        if not self._may_hedge(pick):
            plain = ServerAttempts(self._state)
            return await plain.send(pick.view, body, attempt_number)
        if attempt_number == 1:
            self._limits.share_of(service_name).note_request()
        self._contenders = []
        # A stream that broke off within its first event may begin again.
        self._beginner = None
        first = self._start(pick, body, attempt_number)
        try:
            delay_s = self._limits.delay_s(self._state.route.name)
            if delay_s is not None:
                await asyncio.wait(_tasks([first]), timeout=delay_s)
                if self._is_open(first):
                    self._start_hedge(first, service_name, body, attempt_number)
            return await self._first_answer()
        finally:
            self._give_up_others()

    def _may_hedge(self, pick: Pick) -> bool:
        """Return whether the request may be sent to a second server at all."""
        state = self._state
        return (
            self._limits.enabled
            and pick.by_speed
            and state.request.relayed_by is None
            and self._may_run_twice()
        )

    def _may_run_twice(self) -> bool:
        state = self._state
        route = state.route
        if route.kind is RouteKind.STREAM:
            is_new = (
                state.request.last_event_id is None
                and state.relay.response is None
            )
            return route.resumable and is_new
        return route.kind is RouteKind.SAFE

    def _is_open(self, first: _Contender) -> bool:
        """Return whether nothing has come of the first attempt yet."""
        return not _is_done(first) and self._beginner is None

    def _start(
        self,
        pick: Pick,
        body: bytes,
        attempt_number: int,
        *,
        is_hedge: bool = False,
    ) -> _Contender:
        contender = _Contender(pick, asyncio.get_running_loop().time())
        attempts = ServerAttempts(
            self._state, partial(self._begin, contender), is_hedge=is_hedge
        )
        contender.task = asyncio.create_task(
            attempts.send(pick.view, body, attempt_number)
        )
        contender.task.add_done_callback(_retrieve)
        self._contenders.append(contender)
        return contender

    def _start_hedge(
        self,
        first: _Contender,
        service_name: str,
        body: bytes,
        attempt_number: int,
    ) -> None:
        """Send the request to a second server, unless a limit forbids it."""
        reason, pick = self._pick_hedge(service_name)
        if pick is None:
            refused_total.add(1, {'reason': reason})
            return
        self._limits.share_of(service_name).spend()
        sent_total.add(1)
        hedge = self._start(pick, body, attempt_number, is_hedge=True)
        self._state.log.log_hedge(
            'hedge sent', hedge.pick.view, first=first.server_id
        )

    def _pick_hedge(self, service_name: str) -> tuple[str, Pick | None]:
        """Return the server for the hedge, or why there is none."""
        state = self._state
        context = state.context
        if state.history.run_count + 2 > state.max_runs:
            return 'max_attempts', None
        if not self._limits.share_of(service_name).has_room():
            return 'share', None
        if context.quarantine.find_refusal(state.request) is not None:
            return 'quarantine', None
        pick = context.backends.pick(
            service_name,
            state.request,
            state.history.servers,
            state.continuation.software_version,
            streams=state.route.kind is RouteKind.STREAM,
        )
        if pick is None or not self._has_capacity(pick):
            return 'capacity', None
        if not context.retries.try_spend_share(service_name):
            return 'retry_budget', None
        return '', pick

    def _has_capacity(self, pick: Pick) -> bool:
        view = pick.view
        return not (
            view.full
            or view.ejected
            or is_short_of_capacity(
                pick.backlog_s, self._state.route.objective_s
            )
        )

    def _begin(self, contender: _Contender) -> None:
        """Let an attempt begin the stream, and end the other one.

        Raise ``CancelledError`` if the other one has begun it.
        """
        if self._beginner is None:
            self._beginner = contender
            self._note_winner(contender)
            self._give_up_others(contender)
        elif self._beginner is not contender:
            raise asyncio.CancelledError

    async def _first_answer(self) -> AttemptOutcome:
        """Return the first usable answer, or the outcome of all attempts.

        An attempt that failed, also by an error of its server, waits for the
        other one, which takes the place of a retry.
        """
        outcomes: list[AttemptOutcome] = []
        pending = list(self._contenders)
        while pending:
            ended = await _first_ended(pending)
            pending.remove(ended)
            if ended.task.cancelled():
                continue
            outcome = ended.task.result()
            outcomes.append(outcome)
            if _is_usable(outcome):
                break
        chosen = max(outcomes, key=_usefulness)
        if isinstance(chosen, Answered) and _is_usable(chosen):
            self._note_winner(ended)
        return chosen

    def _note_winner(self, contender: _Contender) -> None:
        """Record the attempt whose answer or stream the caller gets."""
        self._note_time(contender)
        if len(self._contenders) == 1:
            return
        first, hedge = self._contenders
        if contender is hedge:
            won_total.add(1)
        self._state.log.log_hedge(
            'hedge won' if contender is hedge else 'hedge not needed',
            hedge.pick.view,
            first=first.server_id,
        )

    def _note_time(self, contender: _Contender) -> None:
        now_s = asyncio.get_running_loop().time()
        self._limits.note_time(
            self._state.route.name, now_s - contender.began_at_s
        )

    def _give_up_others(self, chosen: _Contender | None = None) -> None:
        """Cancel the attempts in progress, which closes their connections.

        They may have run. What is known of their times counts, since leaving
        out the longest ones would make hedges more and more frequent.
        """
        for contender in self._contenders:
            if contender is not chosen and not contender.given_up:
                contender.given_up = not _is_done(contender)
                if contender.given_up:
                    contender.task.cancel()
                    self._state.history.note_cancelled()
                    self._note_time(contender)
                    attempts_total.add(1, {'outcome': 'GivenUp'})


def _is_done(contender: _Contender) -> bool:
    return contender.task.done()


def _tasks(
    contenders: Iterable[_Contender],
) -> list[asyncio.Task[AttemptOutcome]]:
    return [contender.task for contender in contenders]


def _is_usable(outcome: AttemptOutcome) -> bool:
    """Return whether an outcome is the response to the caller."""
    if isinstance(outcome, Answered):
        return not outcome.is_server_error
    return isinstance(outcome, Relayed)


def _usefulness(outcome: AttemptOutcome) -> int:
    """Return which outcome counts, the highest first.

    An attempt that has not run says nothing of one that may have.
    """
    if _is_usable(outcome):
        return 3
    if isinstance(outcome, NotRun):
        return 0
    return 1 + isinstance(outcome, Answered)


async def _first_ended(contenders: list[_Contender]) -> _Contender:
    """Return the first attempt that has ended, without a wait if one has."""
    if not any(map(_is_done, contenders)):
        await asyncio.wait(
            _tasks(contenders), return_when=asyncio.FIRST_COMPLETED
        )
    return next(filter(_is_done, contenders))


def _retrieve(task: asyncio.Task[AttemptOutcome]) -> None:
    """Mark the error of an attempt as seen: it may have been given up."""
    if not task.cancelled():
        task.exception()
