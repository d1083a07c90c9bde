"""Listens for callers and for requests of the platform."""

import asyncio
import logging
from dataclasses import replace
from typing import Self

from aiohttp.web import BaseRequest, Response, Server, StreamResponse
from prometheus_client import generate_latest

from mallowspindle.config.platform import ListenSection, PlatformSettings
from mallowspindle.entry.addresses import addresses_for
from mallowspindle.intake.bounds import IntakeBounds
from mallowspindle.intake.server import BoundedServer
from mallowspindle.intake.service import IntakeService
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.membership.service import MembershipService
from mallowspindle.proxy import replies
from mallowspindle.proxy.callers import CallerServer
from mallowspindle.proxy.context import ProxyContext
from mallowspindle.proxy.gate import AdmissionGate
from mallowspindle.utils.tasks import BackgroundTasks, run_periodically
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

_UNAVAILABLE = 503
# Interval between checks for timed-out callers: short compared to the
# configured timeouts of some seconds.
_TIMEOUT_CHECK_INTERVAL_S = 0.5
# Callers use an address for a few seconds after it is no longer published, so a
# node accepts requests for this long after it was told to stop. Requests that
# callers send later than 3 s after that must not be cut.
_ADDRESS_RETENTION_S = 2.9
_DRAIN_POLL_INTERVAL_S = 0.05
# Fraction of the drain timeout reserved for closing connections and for the
# exit of the interpreter, also on a VM that is short of CPU time.
_SHUTDOWN_FRACTION = 0.1
# How long the last responses may take to be sent.
_CONNECTION_CLOSE_TIMEOUT_S = 0.15
_BACKLOG = 1024
_DRAIN_RETRY_AFTER_S = 0.1

requests_total = meter.create_counter('caller_requests')
request_duration = meter.create_histogram('caller_request_duration', 's')


@service(
    'proxy',
    requires=(
        'border',
        'catalog',
        'backends',
        'quarantine',
        'sharing',
        'retries',
        'streams',
        'intake',
    ),
)
class ProxyService(Service):
    """Serves callers and lists the entry VMs that they should use."""

    def __init__(
        self,
        context: ProxyContext,
        listen: ListenSection,
        membership: MembershipService,
        intake: IntakeService | None = None,
    ) -> None:
        self._intake = intake or IntakeService(IntakeBounds.by_default())
        self._context = context
        self._listen = listen
        self._membership = membership
        self._gate = AdmissionGate(context)
        self._servers: list[asyncio.Server] = []
        self._bound_addresses: dict[str, str | int] = {}
        self._caller_server: CallerServer | None = None
        self._tasks = BackgroundTasks()
        self._open_requests = 0
        # On the clock of the event loop; None until the node is told to stop.
        self._drain_began_at_s: float | None = None
        self._refuses_from_s = float('inf')

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service from the settings and other services."""
        return cls(
            ProxyContext.from_kernel(kernel),
            kernel.settings(PlatformSettings).listen,
            kernel.find('membership', MembershipService),
            kernel.find('intake', IntakeService),
        )

    @property
    def context(self) -> ProxyContext:
        """The services and policies that exchanges share."""
        return self._context

    @property
    def ready(self) -> bool:
        """Whether this node is ready for requests."""
        return (
            self._drain_began_at_s is None
            and self._context.catalog.configuration is not None
            and not self._context.catalog.is_cut_off
        )

    @property
    def _refusing(self) -> bool:
        """Whether this node refuses all requests, since it stops soon."""
        return asyncio.get_running_loop().time() >= self._refuses_from_s

    def listen_addresses(self) -> dict[str, str | int]:
        """Return the addresses that this node listens on, by name."""
        peers = self._membership.own.peer_address
        return {**self._bound_addresses, 'peers': peers}

    async def start(self) -> None:
        """Listen on all configured addresses."""
        listen = self._listen
        intake = self._intake
        bounds = intake.bounds
        self._caller_server = CallerServer(self._serve, intake)
        readiness = BoundedServer(
            self._readiness, intake, 'readiness', bounds.others
        )
        addresses = BoundedServer(
            self._addresses, intake, 'addresses', bounds.addresses
        )
        await self._listen_on('callers', self._caller_server, listen.callers)
        await self._listen_on('readiness', readiness, listen.readiness)
        await self._listen_on('addresses', addresses, listen.addresses)
        if listen.metrics is not None:
            metrics = BoundedServer(_metrics, intake, 'metrics', bounds.others)
            await self._listen_on('metrics', metrics, listen.metrics)
        self._membership.update(http_address=self._bound_addresses['callers'])
        self._tasks.spawn(
            run_periodically(self._close_overdue, _TIMEOUT_CHECK_INTERVAL_S),
            'slow callers',
        )
        self._tasks.spawn(self._context.stalls.run(), 'stalls')

    async def prepare_drain(self) -> None:
        """Report this node as not ready; membership informs the peers."""
        self._drain_began_at_s = asyncio.get_running_loop().time()
        self._refuses_from_s = self._drain_began_at_s + _ADDRESS_RETENTION_S

    async def drain(self, timeout_s: float) -> None:
        """Accept requests for a while, then finish those in progress."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        began_at_s = self._drain_began_at_s
        if began_at_s is None:
            began_at_s = now_s
        log.info(
            'draining',
            extra={
                'open_requests': self._open_requests,
                'asked_s_ago': round(now_s - began_at_s, 3),
            },
        )
        whole_time_s = now_s + timeout_s - began_at_s
        ends_at_s = began_at_s + request_drain_time_s(whole_time_s)
        self._refuses_from_s = min(self._refuses_from_s, ends_at_s)
        while loop.time() < ends_at_s:
            if self._refusing and not self._open_requests:
                break
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        log.info('drained', extra={'open_requests': self._open_requests})

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._tasks.cancel()
        for server in self._servers:
            server.close()
        if self._caller_server is not None:
            await self._caller_server.close(_CONNECTION_CLOSE_TIMEOUT_S)
        await self._context.lost_runs.stop()
        await self._context.upstream.close()

    async def _listen_on(
        self, name: str, server: Server, endpoint: str
    ) -> None:
        host, _, port = endpoint.rpartition(':')
        listener = await asyncio.get_running_loop().create_server(
            server, host, int(port), backlog=_BACKLOG
        )
        self._servers.append(listener)
        bound_port = listener.sockets[0].getsockname()[1]
        self._bound_addresses[name] = f'{host}:{bound_port}'

    async def _serve(self, web_request: BaseRequest) -> StreamResponse:
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        self._open_requests += 1
        try:
            response = await self._answer(web_request)
        finally:
            self._open_requests -= 1
        requests_total.add(1, {'status': response.status})
        request_duration.record(loop.time() - began_at_s)
        if self._drain_began_at_s is not None:
            response.force_close()
        return response

    async def _answer(self, web_request: BaseRequest) -> StreamResponse:
        if self._refusing:
            return replies.refusal(_DRAIN_RETRY_AFTER_S)
        return await self._gate.handle(web_request)

    async def _close_overdue(self) -> None:
        configuration = self._context.catalog.configuration
        if self._caller_server is not None and configuration is not None:
            await self._caller_server.close_overdue(configuration.limits)

    async def _readiness(self, web_request: BaseRequest) -> Response:
        return Response(status=200 if self.ready else _UNAVAILABLE)

    async def _addresses(self, web_request: BaseRequest) -> Response:
        http_codec = self._context.http_codec
        own = self._membership.own
        zone = http_codec.decode_zone(web_request.query) or own.zone
        if self._context.catalog.is_cut_off:
            addresses = self._addresses_of_others(zone)
        else:
            live = self._membership.table.live()
            disconnected = self._context.nodes_not_reaching()
            addresses = addresses_for(zone, own, live, disconnected)
        body = http_codec.encode_addresses(
            addresses,
            self._context.config.address_validity_s,
        )
        return Response(body=body, content_type='application/json')

    def _addresses_of_others(self, zone: str) -> list[str]:
        """Return the other nodes while this one is cut off.

        It can't tell which of them are live, but callers may reach them.
        """
        own = replace(self._membership.own, http_address='')
        known = [member.info for member in self._membership.table.known()]
        return addresses_for(zone, own, known)


def request_drain_time_s(timeout_s: float) -> float:
    """Return how long requests may run during a drain of ``timeout_s``."""
    return max(0, timeout_s * (1 - _SHUTDOWN_FRACTION))


async def _metrics(web_request: BaseRequest) -> Response:
    return Response(body=generate_latest(), content_type='text/plain')
