"""Checks callers' requests before they are sent to a server."""

import asyncio
import logging
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import cast

from aiohttp.web import BaseRequest, Response, StreamResponse
from opentelemetry.trace import SpanKind

from mallowspindle.catalog.configuration import (
    CallerLimits,
    Configuration,
    Organisation,
    Route,
)
from mallowspindle.intake.body import BodyBuffer
from mallowspindle.proxy import replies
from mallowspindle.proxy.callers import CallerConnection
from mallowspindle.proxy.context import ProxyContext
from mallowspindle.proxy.errors import BadRequest
from mallowspindle.proxy.exchange import Exchange
from mallowspindle.proxy.messages import CallerRequest
from mallowspindle.proxy.state import ExchangeState
from mallowspindle.utils.telemetry import hop_span, meter

log = logging.getLogger(__name__)
cut_off_refusals = meter.create_counter('cut_off_refusals')

# Retry-After while this node has no configuration, which it gets within
# 1 or 2 s of its start.
_NO_CONFIGURATION_RETRY_AFTER_S = 0.5
# Retry-After for an unknown route or key while the configuration may be stale:
# a node that reaches the store or its peers reads the newer one in this time.
_STALE_CONFIGURATION_RETRY_AFTER_S = 0.5
# A caller waits while a node finds out whether its configuration is up to date.
_CONFIRM_TIMEOUT_S = 0.25
# Retry-After while this node is cut off from the store and all peers. Nobody
# knows for how long; another node may answer at once.
_CUT_OFF_RETRY_AFTER_S = 0.5
# Retry-After for a request that lost its room to others: stalled ones are
# refused within a second.
_NO_ROOM_RETRY_AFTER_S = 1.0
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclass(frozen=True, slots=True)
class _Body:
    payload: bytes


@dataclass(frozen=True, slots=True)
class _Allowed:
    route: Route
    organisation: Organisation | None


@dataclass(frozen=True, slots=True)
class _Denied:
    reason: str
    denial: Response


class AdmissionGate:
    """Matches requests to routes and organisations and applies limits."""

    def __init__(self, context: ProxyContext) -> None:
        self._context = context

    async def handle(self, web_request: BaseRequest) -> StreamResponse:
        """Process a request and return the response for the caller."""
        # Callers state the time that they had left when they sent the request.
        read_at_s = asyncio.get_running_loop().time()
        began_at_s = read_at_s - self._context.stalls.possible_delay_s
        if not await self._may_serve():
            return self._refuse_cut_off(web_request)
        configuration = self._context.catalog.configuration
        if configuration is None:
            return replies.refusal(_NO_CONFIGURATION_RETRY_AFTER_S)
        if _headers_size(web_request) > configuration.limits.header_bytes:
            return replies.headers_too_large()
        try:
            request = self._context.http_codec.decode_request(
                web_request.method, web_request.raw_path, web_request.headers
            )
        except BadRequest as error:
            log.info('bad request', extra={'reason': str(error)})
            return replies.bad_request(str(error))
        request = self._context.peers.accept(request)
        with hop_span('caller request', SpanKind.SERVER) as span:
            span.set_attribute('request', request.request_id)
            response = await self._admit(
                web_request, request, configuration, began_at_s
            )
            span.set_attribute('status', response.status)
            return response

    async def _admit(
        self,
        web_request: BaseRequest,
        request: CallerRequest,
        configuration: Configuration,
        began_at_s: float,
    ) -> StreamResponse:
        match = _match(request, configuration)
        if isinstance(match, _Denied) and await self._was_behind():
            configuration = self._context.catalog.configuration or configuration
            match = _match(request, configuration)
        if isinstance(match, _Denied):
            return self._deny(request, configuration, match)
        organisation = match.organisation
        body = await self._read_body(web_request, configuration.limits)
        if isinstance(body, Response):
            _log_refusal(request, configuration, f'status {body.status}')
            return body
        # The peer that passed a request on has counted it.
        if organisation is not None and request.relayed_by is None:
            decision = self._context.quotas.admit(
                organisation,
                request.tokens,
                resumes_stream=request.last_event_id is not None,
            )
            if decision.retry_after_s:
                _log_refusal(
                    request, configuration, 'over quota', decision.details
                )
                return replies.over_quota(decision.retry_after_s)
        admitted = replace(
            request,
            organisation=organisation.name if organisation else None,
            body=body.payload,
        )
        state = ExchangeState.begin(
            self._context,
            web_request,
            admitted,
            match.route,
            organisation,
            began_at_s,
        )
        return await Exchange(state).run(body.payload)

    async def _may_serve(self) -> bool:
        """Return whether this node can know which configuration is in force."""
        catalog = self._context.catalog
        return not catalog.is_cut_off or await catalog.regain_contact()

    def _refuse_cut_off(self, web_request: BaseRequest) -> Response:
        cut_off_refusals.add(1)
        configuration = self._context.catalog.configuration
        log.info(
            'request refused',
            extra={
                'request': web_request.headers.get(
                    self._context.http_codec.id_header
                ),
                'path': web_request.path,
                'version': configuration and configuration.version,
                'reason': 'cut off from store and peers',
            },
        )
        return replies.refusal(_CUT_OFF_RETRY_AFTER_S)

    async def _was_behind(self) -> bool:
        """Return whether a configuration that was old is up to date now."""
        catalog = self._context.catalog
        if catalog.is_current:
            return False
        return await catalog.confirm_configuration(_CONFIRM_TIMEOUT_S)

    def _deny(
        self,
        request: CallerRequest,
        configuration: Configuration,
        denied: _Denied,
    ) -> Response:
        """Return the denial, or ask the caller to retry if it may be wrong.

        A newer configuration may have the route or the key. Requests that a
        stale configuration allows are still served unless this node is cut off:
        operators want nodes to serve while the store is down.
        """
        if self._context.catalog.is_current:
            _log_refusal(request, configuration, denied.reason)
            return denied.denial
        reason = f'{denied.reason}, may be behind'
        _log_refusal(request, configuration, reason)
        return replies.refusal(_STALE_CONFIGURATION_RETRY_AFTER_S)

    async def _read_body(
        self, web_request: BaseRequest, limits: CallerLimits
    ) -> _Body | Response:
        length = web_request.content_length
        if length is not None and length > limits.body_bytes:
            return replies.body_too_large()
        if not web_request.can_read_body:
            return _Body(b'')
        if '100-continue' in web_request.headers.get('Expect', '').lower():
            _send_continue(web_request)
        connection = cast(CallerConnection, web_request.protocol)
        try:
            async with asyncio.timeout(None) as timeout:
                with connection.refusable_by(timeout, web_request.content):
                    return await _read_up_to(web_request, limits.body_bytes)
        except TimeoutError:
            if connection.evicted:
                return replies.refusal(_NO_ROOM_RETRY_AFTER_S)
            return replies.body_timed_out()


def _match(
    request: CallerRequest, configuration: Configuration
) -> _Allowed | _Denied:
    host = request.host.partition(':')[0]
    route = configuration.find_route(host, request.path)
    if route is None:
        return _Denied('no route', replies.not_found())
    organisation = configuration.find_organisation(request.key or '')
    needs_key = configuration.requires_key and not route.public
    if needs_key and organisation is None:
        return _Denied('unknown key', replies.unauthorized())
    return _Allowed(route, organisation)


async def _read_up_to(
    web_request: BaseRequest, max_bytes: int
) -> _Body | Response:
    body = BodyBuffer()
    async for chunk in web_request.content.iter_any():
        if body.size + len(chunk) > max_bytes:
            return replies.body_too_large()
        body.append(chunk)
    return _Body(body.join())


def _send_continue(web_request: BaseRequest) -> None:
    if web_request.transport is not None:
        web_request.transport.write(_CONTINUE)


def _headers_size(web_request: BaseRequest) -> int:
    # Each header line also has a colon, a space and CRLF: 4 bytes.
    return sum(
        len(name) + len(field_value) + 4
        for name, field_value in web_request.raw_headers
    )


def _log_refusal(
    request: CallerRequest,
    configuration: Configuration,
    reason: str,
    details: Mapping[str, object] | None = None,
) -> None:
    log.info(
        'request refused',
        extra={
            'request': request.request_id,
            'path': request.path,
            'version': configuration.version,
            'reason': reason,
            **(details or {}),
        },
    )
