"""The HTTP server for callers and operators."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Self, cast

from aiohttp import ClientSession, TCPConnector
from aiohttp.web import (
    Application,
    AppRunner,
    HTTPException,
    Request,
    Response,
    Server,
    StreamResponse,
    json_response,
    middleware,
)
from prometheus_client import generate_latest

from mallowspindle.entry.addresses import addresses_for
from mallowspindle.entry.calls import CallHandlers
from mallowspindle.entry.context import EntryContext
from mallowspindle.entry.generation import GenerationHandlers
from mallowspindle.entry.operators import OperatorHandlers
from mallowspindle.entry.problems import ProblemError, problem
from mallowspindle.entry.relay import AnswerRelay
from mallowspindle.intake.server import ConnectionFactory
from mallowspindle.intake.service import IntakeService
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

_INTERNAL_ERROR = 500
_CLOSE_TIMEOUT_S = 0.3
# How long the unread rest of a refused body is still received.
_LINGERING_TIME_S = 1.0
_BACKLOG = 1024

requests_total = meter.create_counter('http_requests')

Handler = Callable[[Request], Awaitable[StreamResponse]]


@service(
    'entry',
    requires=(
        'membership',
        'settings',
        'attempts',
        'effects',
        'recovery',
        'intake',
    ),
)
class EntryService(Service):
    """Serves callers and operators over HTTP."""

    def __init__(self, kernel: Kernel) -> None:
        self._context = EntryContext.from_kernel(kernel)
        self._intake = kernel.find('intake', IntakeService)
        self._runner: AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self._session = ClientSession(connector=TCPConnector(limit=0))
        self._open_requests = 0
        self._port = 0

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the server from the services that it uses."""
        return cls(kernel)

    @property
    def port(self) -> int:
        """The port on which callers are served."""
        return self._port

    def listen_addresses(self) -> dict[str, str | int]:
        """Return the port for callers and the address for peers."""
        peer_address = self._context.membership.own.peer_address
        return {'port': self._port, 'peer_address': peer_address}

    async def start(self) -> None:
        """Listen, then announce the HTTP address to the other members."""
        node = self._context.config.node
        self._runner = AppRunner(
            self._build_application(), access_log=None, shutdown_timeout=1
        )
        await self._runner.setup()
        self._listener = await asyncio.get_running_loop().create_server(
            ConnectionFactory(
                cast(Server, self._runner.server),
                self._intake,
                'http',
                self._intake.bounds.callers,
                access_log=None,
                lingering_time=_LINGERING_TIME_S,
            ),
            node.host,
            node.http_port,
            backlog=_BACKLOG,
        )
        self._port = self._listener.sockets[0].getsockname()[1]
        self._context.membership.update(
            http_address=f'{node.host}:{self._port}'
        )

    async def drain(self, timeout_s: float) -> None:
        """Keep listening, to answer new requests with other addresses.

        The drain of the other services finishes the requests in progress or
        hands them over.
        """
        log.info('draining with %s open requests', self._open_requests)

    async def stop(self) -> None:
        """Wait briefly for open requests, then close all connections."""
        for _ in range(int(_CLOSE_TIMEOUT_S * 100)):
            if not self._open_requests:
                break
            await asyncio.sleep(0.01)
        if self._listener is not None:
            self._listener.close()
        if self._runner is not None:
            await self._runner.cleanup()
        await self._session.close()

    def _build_application(self) -> Application:
        app = Application(
            middlewares=[self._count_open_requests, problem_middleware],
            client_max_size=self._context.config.limits.body_bytes,
        )
        generation = GenerationHandlers(
            self._context, AnswerRelay(self._session)
        )
        app.router.add_get('/v1/addresses', self._addresses)
        app.router.add_get('/v1/models', generation.models)
        app.router.add_post('/v1/chat/completions', generation.chat)
        app.router.add_post('/v1/bundles', generation.bundle)
        app.router.add_get('/v1/requests/{request_id}', generation.status)
        app.router.add_get(
            '/v1/requests/{request_id}/events', generation.events
        )
        app.router.add_route(
            '*',
            '/v1/services/{service}/{path:.*}',
            CallHandlers(self._context).call,
        )
        app.router.add_get('/metrics', _metrics)
        app.router.add_get('/health', self._health)
        OperatorHandlers(self._context).add_routes(app)
        return app

    @middleware
    async def _count_open_requests(
        self, request: Request, handler: Handler
    ) -> StreamResponse:
        self._open_requests += 1
        try:
            return await handler(request)
        finally:
            self._open_requests -= 1

    async def _addresses(self, request: Request) -> Response:
        own = self._context.membership.own
        zone = request.query.get('zone', own.zone)
        live = self._context.membership.table.live()
        return json_response(
            {
                'addresses': addresses_for(zone, own, live),
                'valid_for_s': self._context.config.limits.address_validity_s,
            }
        )

    async def _health(self, request: Request) -> Response:
        own = self._context.membership.own
        return json_response(
            {
                'name': own.name,
                'leaving': own.leaving,
                'settings_through': own.settings_through,
                'settings_fresh': self._context.settings.is_current,
            }
        )


@middleware
async def problem_middleware(
    request: Request, handler: Handler
) -> StreamResponse:
    """Answer errors of handlers with problem documents."""
    requests_total.add(1)
    try:
        return await handler(request)
    except ProblemError as error:
        return error.as_response()
    except HTTPException as error:
        kind = error.reason.lower().replace(' ', '-')
        return problem(error.status, kind, error.text or error.reason)
    except Exception:
        log.exception('request to %s failed', request.path)
        return problem(
            _INTERNAL_ERROR, 'internal-error', 'the request failed inside'
        )


async def _metrics(request: Request) -> Response:
    return Response(body=generate_latest(), content_type='text/plain')
