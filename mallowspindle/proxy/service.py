"""Listens for callers and for the platform's questions."""

import asyncio
import logging
from typing import Self, cast

from aiohttp.web import BaseRequest, Response, Server, StreamResponse
from prometheus_client import generate_latest

from mallowspindle.config.platform import ListenSection, PlatformSettings
from mallowspindle.entry.addresses import addresses_for
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.membership.service import MembershipService
from mallowspindle.proxy import replies
from mallowspindle.proxy.callers import (
    CallerConnection,
    CallerServer,
    Handler,
)
from mallowspindle.proxy.context import ProxyContext
from mallowspindle.proxy.gate import Gate
from mallowspindle.utils.tasks import BackgroundTasks, run_periodically
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

_UNAVAILABLE = 503
# Longest request line and header field; the operators' limit on all headers
# together is checked on each request.
_MAX_LINE_BYTES = 32_768
# Unread bytes of a refused body are taken in for this long, so that the
# caller reads the answer before the connection ends.
_LINGERING_S = 1.0
_KEEPALIVE_S = 60.0
# Pause between two looks at callers that take too long: small beside the
# operators' limits of some seconds.
_SWEEP_S = 0.5
# Callers keep an address for a few seconds after it is no longer named.
_SERVES_ON_S = 3.0
_DRAIN_TICK_S = 0.05
# Part of a drain that is kept for closing down and for the interpreter's end,
# also on a VM that is short of processor time.
_CLOSING_PART = 0.1
# Time in which open connections close by themselves.
_CLOSING_S = 0.3
_BACKLOG = 1024
_REFUSED_PAUSE_S = 0.1

requests_total = meter.create_counter('caller_requests')
request_duration = meter.create_histogram('caller_request_duration', 's')


@service('proxy', requires=('border', 'catalog', 'backends', 'sharing'))
class ProxyService(Service):
    """Serves callers, and says which entry VMs they should use."""

    def __init__(
        self,
        context: ProxyContext,
        listen: ListenSection,
        membership: MembershipService,
    ) -> None:
        self._context = context
        self._listen = listen
        self._membership = membership
        self._gate = Gate(context)
        self._servers: list[asyncio.Server] = []
        self._opened: dict[str, str | int] = {}
        self._callers: CallerServer | None = None
        self._tasks = BackgroundTasks()
        self._open_requests = 0
        self._draining = False
        self._refusing = False

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the listeners on the other services."""
        return cls(
            ProxyContext.from_kernel(kernel),
            kernel.settings(PlatformSettings).listen,
            kernel.find('membership', MembershipService),
        )

    @property
    def context(self) -> ProxyContext:
        """What exchanges share."""
        return self._context

    @property
    def ready(self) -> bool:
        """Whether callers may be sent to this node."""
        return (
            not self._draining
            and self._context.catalog.configuration is not None
        )

    def listen_addresses(self) -> dict[str, str | int]:
        """Return the addresses in use."""
        peers = self._membership.own.peer_address
        return {**self._opened, 'peers': peers}

    async def start(self) -> None:
        """Listen on all addresses of the settings."""
        listen = self._listen
        self._callers = CallerServer(
            self._serve,
            access_log=None,
            keepalive_timeout=_KEEPALIVE_S,
            lingering_time=_LINGERING_S,
            max_line_size=_MAX_LINE_BYTES,
            max_field_size=_MAX_LINE_BYTES,
        )
        readiness = _plain_server(self._readiness)
        addresses = _plain_server(self._addresses)
        await self._open('callers', self._callers, listen.callers)
        await self._open('readiness', readiness, listen.readiness)
        await self._open('addresses', addresses, listen.addresses)
        if listen.metrics is not None:
            await self._open('metrics', _plain_server(_metrics), listen.metrics)
        self._membership.update(http_address=self._opened['callers'])
        self._tasks.spawn(
            run_periodically(self._end_slow, _SWEEP_S), 'slow callers'
        )

    async def prepare_drain(self) -> None:
        """Stop being ready; the members hear it too."""
        self._draining = True

    async def drain(self, timeout_s: float) -> None:
        """Serve on for a while, then finish the requests in progress."""
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        log.info('draining', extra={'open_requests': self._open_requests})
        ends_at_s = began_at_s + finishing_time_s(timeout_s)
        refuses_at_s = min(began_at_s + _SERVES_ON_S, ends_at_s)
        while loop.time() < ends_at_s:
            self._refusing = loop.time() >= refuses_at_s
            if self._refusing and not self._open_requests:
                break
            await asyncio.sleep(_DRAIN_TICK_S)
        log.info('drained', extra={'open_requests': self._open_requests})

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._tasks.cancel()
        for server in self._servers:
            server.close()
        if self._callers is not None:
            await self._callers.shutdown(_CLOSING_S)
        await self._context.upstream.close()

    async def _open(self, name: str, server: Server, endpoint: str) -> None:
        host, _, port = endpoint.rpartition(':')
        opened = await asyncio.get_running_loop().create_server(
            server, host, int(port), backlog=_BACKLOG
        )
        self._servers.append(opened)
        bound_port = opened.sockets[0].getsockname()[1]
        self._opened[name] = f'{host}:{bound_port}'

    async def _serve(self, web_request: BaseRequest) -> StreamResponse:
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        connection = cast(CallerConnection, web_request.protocol)
        connection.note_begun()
        self._open_requests += 1
        try:
            response = await self._answer(web_request)
        finally:
            self._open_requests -= 1
            connection.note_ended()
        requests_total.add(1, {'status': response.status})
        request_duration.record(loop.time() - began_at_s)
        if self._draining:
            response.force_close()
        return response

    async def _answer(self, web_request: BaseRequest) -> StreamResponse:
        if self._refusing:
            return replies.refusal(_REFUSED_PAUSE_S)
        return await self._gate.handle(web_request)

    async def _end_slow(self) -> None:
        configuration = self._context.catalog.configuration
        if self._callers is not None and configuration is not None:
            self._callers.end_slow(configuration.limits)

    async def _readiness(self, web_request: BaseRequest) -> Response:
        return Response(status=200 if self.ready else _UNAVAILABLE)

    async def _addresses(self, web_request: BaseRequest) -> Response:
        http_codec = self._context.http_codec
        own = self._membership.own
        zone = http_codec.decode_zone(web_request.query) or own.zone
        live = self._membership.table.live()
        body = http_codec.encode_addresses(
            addresses_for(zone, own, live),
            self._context.config.address_validity_s,
        )
        return Response(body=body, content_type='application/json')


def finishing_time_s(timeout_s: float) -> float:
    """Return how long requests may go on in a drain of ``timeout_s``."""
    return max(0, timeout_s * (1 - _CLOSING_PART))


def _plain_server(handler: Handler) -> Server:
    return Server(handler, access_log=None)


async def _metrics(web_request: BaseRequest) -> Response:
    return Response(body=generate_latest(), content_type='text/plain')
