"""HTTP handlers for operators."""

import asyncio
import hmac
import os
import signal
from dataclasses import asdict
from hashlib import sha256
from typing import Any

from aiohttp.web import Application, Request, Response, json_response
from pydantic import BaseModel, ConfigDict

from mallowspindle.effects.errors import EffectsError
from mallowspindle.effects.records import CallKey, Resolution
from mallowspindle.effects.table import KeyState
from mallowspindle.entry.context import EntryContext
from mallowspindle.entry.generation import status_of
from mallowspindle.entry.models import parse_body
from mallowspindle.entry.problems import ProblemError
from mallowspindle.routing.servers import ServerView

_UNAUTHORIZED = 401
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503
_ACCEPTED = 202
_BEARER = 'Bearer '
_DRAIN_DELAY_S = 0.05


class ResolveBody(BaseModel):
    """Body of an operator's resolution of a call with an unknown outcome."""

    model_config = ConfigDict(extra='forbid')

    organisation: str
    service: str
    key: str
    claim_id: str
    ran: bool
    evidence: str
    author: str


class OperatorHandlers:
    """Handlers of ``/operator``."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def add_routes(self, app: Application) -> None:
        """Register the routes with the application."""
        app.router.add_get('/operator/nodes', self.nodes)
        app.router.add_get('/operator/servers', self.servers)
        app.router.add_get('/operator/requests/{request_id}', self.request)
        app.router.add_post('/operator/drain', self.drain)
        app.router.add_get('/operator/effects', self.unresolved)
        app.router.add_post('/operator/effects/resolve', self.resolve)

    async def nodes(self, request: Request) -> Response:
        """List the entry VMs that this node knows."""
        self._authorize(request)
        own = {**asdict(self._context.membership.own), 'live': True}
        own['heard_s_ago'] = 0
        table = self._context.membership.table
        live = {info.name for info in table.live()}
        others = [
            {
                **asdict(member.info),
                'live': member.info.name in live,
                'heard_s_ago': round(member.age_s(), 2),
            }
            for member in table.known()
        ]
        return json_response([own, *others])

    async def servers(self, request: Request) -> Response:
        """List the backend servers that this node knows."""
        self._authorize(request)
        return json_response(
            [
                self._describe_server(view)
                for view in self._context.directory.all()
            ]
        )

    async def request(self, request: Request) -> Response:
        """Return the state of a request."""
        self._authorize(request)
        request_id = request.match_info['request_id']
        reply = await self._context.recovery.find(request_id)
        if not reply.owner:
            raise ProblemError(
                _NOT_FOUND, 'not-found', f'no request {request_id}'
            )
        document = {**asdict(reply), 'status': status_of(reply)}
        document['tokens'] = len(reply.tokens)
        return json_response(document)

    async def drain(self, request: Request) -> Response:
        """Start a graceful shutdown of this daemon."""
        self._authorize(request)
        loop = asyncio.get_running_loop()
        loop.call_later(_DRAIN_DELAY_S, os.kill, os.getpid(), signal.SIGTERM)
        return json_response({'draining': True}, status=_ACCEPTED)

    async def unresolved(self, request: Request) -> Response:
        """List the calls whose outcome is unknown."""
        self._authorize(request)
        return json_response(
            [
                _describe_call(state)
                for state in self._context.effects.unresolved()
            ]
        )

    async def resolve(self, request: Request) -> Response:
        """Record an operator's resolution of a call."""
        self._authorize(request)
        body = parse_body(ResolveBody, await request.read())
        resolution = Resolution(
            key=CallKey(body.organisation, body.service, body.key),
            claim_id=body.claim_id,
            ran=body.ran,
            evidence=body.evidence,
            author=body.author,
            at_s=self._context.membership.clock.now_s(),
        )
        try:
            recorded = await self._context.effects.resolve(resolution)
        except EffectsError as error:
            raise ProblemError(
                _UNAVAILABLE, 'log-unavailable', str(error), 1
            ) from error
        if not recorded:
            raise ProblemError(
                _CONFLICT,
                'not-unresolved',
                f'{resolution.key} is not unresolved',
            )
        return json_response({'resolved': str(resolution.key)})

    def _authorize(self, request: Request) -> None:
        expected = self._context.config.operators.token_sha256
        header = request.headers.get('Authorization', '')
        token = header.removeprefix(_BEARER).encode()
        token_digest = sha256(token).hexdigest()
        if not expected or not hmac.compare_digest(expected, token_digest):
            raise ProblemError(
                _UNAUTHORIZED, 'unauthorized', 'not an operator token'
            )

    def _describe_server(self, view: ServerView) -> dict[str, Any]:
        return {
            **view.vm.model_dump(mode='json'),
            'leaving': self._context.directory.is_leaving(view),
            'usable': view.usable,
            'running': view.report.running,
            'queued': view.report.queued,
            'own_attempts': len(view.dispatches),
        }


def _describe_call(state: KeyState) -> dict[str, Any]:
    winning_claim = state.winning_claim
    if winning_claim is None:
        return {}
    return {
        **asdict(winning_claim.key),
        'claim_id': winning_claim.claim_id,
        'node': winning_claim.node,
        'claimed_at_s': winning_claim.at_s,
        'reason': state.outcome.unknown if state.outcome else 'no outcome',
    }
