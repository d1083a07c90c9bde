"""HTTP handler for calls to plain services."""

from decimal import Decimal

from aiohttp.web import Request, Response
from opentelemetry.trace import SpanKind

from mallowspindle.effects.call import PlainCall
from mallowspindle.effects.errors import InvalidIdempotencyKey
from mallowspindle.effects.executor import CallPlan
from mallowspindle.effects.keys import (
    find_idempotency_key,
    idempotency_key_age_s,
)
from mallowspindle.entry.context import EntryContext
from mallowspindle.entry.generation import is_allowed
from mallowspindle.entry.problems import (
    ProblemError,
    failed_response,
    not_run_response,
    unknown_response,
)
from mallowspindle.ledger.records import LedgerEntry
from mallowspindle.ledger.splitting import split_amount
from mallowspindle.outcomes import Done, Failed, NotRun, Outcome, Unknown
from mallowspindle.settings.document import ServiceSection
from mallowspindle.utils.identifiers import new_id
from mallowspindle.utils.telemetry import hop_span

_BAD_REQUEST = 400
_NOT_FOUND = 404
_READ_METHODS = frozenset(('GET', 'HEAD'))
_MAX_SAME_KEY_WAIT_S = 30.0


class CallHandlers:
    """Handlers of ``/v1/services``."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    async def call(self, request: Request) -> Response:
        """Run a call to a plain service and return its outcome."""
        organisation = self._context.organisation(request)
        name = request.match_info['service']
        self._context.ensure_accepting()
        if not is_allowed(name, organisation.access.services):
            raise ProblemError(_NOT_FOUND, 'not-found', f'no service {name}')
        self._context.ensure_within_limits(organisation)
        options = self._context.settings.tree.documents.service(
            organisation.path, name
        )
        with (
            self._context.limits.track_request(organisation.name),
            hop_span('call', SpanKind.SERVER, request.headers),
        ):
            plan = await self._build_plan(request, organisation.path, options)
            outcome = await self._run(request, plan)
        return self._build_response(outcome)

    async def _build_plan(
        self, request: Request, path: str, options: ServiceSection
    ) -> CallPlan:
        body = await request.read()
        key = ''
        if request.method not in _READ_METHODS:
            key = _find_key(request, options, body)
        call = PlainCall(
            organisation=path.rsplit('/', 1)[-1],
            organisation_path=path,
            service=request.match_info['service'],
            method=request.method,
            path=request.match_info['path'],
            content_type=request.headers.get(
                'Content-Type', 'application/octet-stream'
            ),
            body=body,
            key=key,
        )
        cost = self._build_cost_entry(call, options.pay_per_call_micro)
        return CallPlan(call, options.refusal_means_not_run, cost)

    def _build_cost_entry(
        self, call: PlainCall, cost_micro: int
    ) -> LedgerEntry | None:
        if not cost_micro:
            return None
        segment = self._context.ledger.current_segment(
            call.organisation_path, 0
        )
        shares = {name: Decimal(text) for name, text in segment.shares.items()}
        call_id = new_id('call')
        return LedgerEntry(
            entry_id=call_id,
            kind='call',
            request_id=call.key or call_id,
            attempt_id=call_id,
            organisation=call.organisation,
            subject=call.service,
            vm_id='',
            version=segment.version,
            tokens=0,
            cached_tokens=0,
            amount_micro=cost_micro,
            at_s=self._context.membership.clock.now_s(),
            parts=split_amount(cost_micro, shares) if shares else {},
        )

    async def _run(self, request: Request, plan: CallPlan) -> Outcome:
        key = plan.call.key
        if not key:
            return await self._context.effects.run_unkeyed(plan)
        window_s = self._context.config.effects.window_s
        now_s = self._context.effects.time_s()
        if idempotency_key_age_s(key, request.headers, now_s) > window_s:
            return Unknown('the key is older than keys are remembered')
        return await self._context.effects.run(plan, _MAX_SAME_KEY_WAIT_S)

    def _build_response(self, outcome: Outcome) -> Response:
        match outcome:
            case Done():
                return Response(
                    status=outcome.status,
                    body=outcome.body,
                    content_type=outcome.content_type,
                )
            case NotRun():
                return not_run_response(
                    outcome, self._context.other_addresses()
                )
            case Unknown():
                return unknown_response(outcome)
            case Failed():
                return failed_response(outcome)


def _find_key(request: Request, options: ServiceSection, body: bytes) -> str:
    try:
        return find_idempotency_key(options, request.headers, body)
    except InvalidIdempotencyKey as error:
        raise ProblemError(_BAD_REQUEST, 'key-missing', str(error)) from error
