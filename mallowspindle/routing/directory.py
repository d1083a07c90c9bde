"""Directory of backend servers, from the VM list and their load reports."""

import asyncio
import logging
from collections import defaultdict
from typing import Self

from aiohttp import ClientError, ClientSession, ClientTimeout

from mallowspindle.config.native import NativeSettings
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.membership.service import MembershipService
from mallowspindle.native.cloud import CloudClient, Role, Vm
from mallowspindle.native.errors import CloudError
from mallowspindle.native.service import NativeService
from mallowspindle.routing.servers import LoadReport, ServerView
from mallowspindle.utils.bodies import read_bounded
from mallowspindle.utils.identifiers import rendezvous_order
from mallowspindle.utils.tasks import BackgroundTasks, run_periodically

log = logging.getLogger(__name__)
_LOAD_TIMEOUT_S = 1.0
_FAILED_POLLS_BEFORE_SUSPECT = 2


@service('directory', requires=('native', 'membership'))
class DirectoryService(Service):
    """Keeps a view of each backend server and knows which ones are leaving."""

    def __init__(
        self,
        config: NativeSettings,
        cloud: CloudClient,
        membership: MembershipService,
    ) -> None:
        self._config = config
        self._cloud = cloud
        self._membership = membership
        self._views: dict[str, ServerView] = {}
        self._failed_polls: dict[str, int] = {}
        self._session: ClientSession | None = None
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service with the shared cloud client."""
        platform = kernel.find('native', NativeService)
        membership = kernel.find('membership', MembershipService)
        return cls(kernel.settings(NativeSettings), platform.cloud, membership)

    async def start(self) -> None:
        """Read the VM list once, then poll it and the load reports."""
        self._session = ClientSession(
            timeout=ClientTimeout(total=_LOAD_TIMEOUT_S)
        )
        await self._refresh_list()
        self._tasks.spawn(
            run_periodically(
                self._refresh_list, self._config.native.vm_poll_interval_s
            ),
            'VM list',
        )
        self._tasks.spawn(
            run_periodically(
                self._poll_loads, self._config.routing.load_interval_s
            ),
            'load reports',
        )

    async def stop(self) -> None:
        """Stop polling and close the HTTP session."""
        await self._tasks.cancel()
        if self._session is not None:
            await self._session.close()

    def all(self) -> list[ServerView]:
        """Return all watched backend servers, leaving ones included."""
        return list(self._views.values())

    def is_leaving(self, view: ServerView) -> bool:
        """Return whether any source reports that the server is leaving."""
        departures = self._membership.departures
        return (
            view.vm.leaving
            or view.report.leaving
            or view.vm.vm_id in departures
        )

    def serving(self, serves: str, role: Role) -> list[ServerView]:
        """Return the servers of a model or service that are not leaving."""
        return [
            view
            for view in self._views.values()
            if view.vm.role == role
            and view.vm.serves == serves
            and not self.is_leaving(view)
        ]

    def usable(self, serves: str, role: Role) -> list[ServerView]:
        """Return the serving servers, without ejected ones unless all are."""
        serving = self.serving(serves, role)
        return [view for view in serving if view.usable] or serving

    def models(self) -> list[str]:
        """Return the models that engines serve."""
        return sorted(
            {
                view.vm.serves
                for view in self._views.values()
                if view.vm.role == Role.ENGINE
            }
        )

    def note_leaving(self, view: ServerView) -> None:
        """Notify the other entry VMs that the server is leaving."""
        self._membership.report_leaving_server(view.vm.vm_id)

    async def _refresh_list(self) -> None:
        try:
            vms = await self._cloud.list_vms()
        except CloudError as error:
            log.warning('cannot read the VM list: %s', error)
            return
        backends = watched_subset(
            vms, self._config.node.name, self._config.routing.watched_servers
        )
        self._views = {vm.vm_id: self._view_of(vm) for vm in backends}
        for vm in backends:
            if vm.leaving:
                self._membership.report_leaving_server(vm.vm_id)

    def _view_of(self, vm: Vm) -> ServerView:
        view = self._views.get(vm.vm_id)
        if view is None:
            return ServerView(vm)
        view.vm = vm
        return view

    async def _poll_loads(self) -> None:
        views = list(self._views.values())
        await asyncio.gather(*(self._poll_load(view) for view in views))

    async def _poll_load(self, view: ServerView) -> None:
        if self._session is None:
            return
        url = f'http://{view.vm.address}/load'
        try:
            async with self._session.get(url) as response:
                report = LoadReport.model_validate_json(
                    await read_bounded(response)
                )
        except (ClientError, TimeoutError, ValueError):
            self._count_failed_poll(view)
            return
        self._failed_polls.pop(view.vm.vm_id, None)
        view.take_report(report)
        if report.leaving:
            self.note_leaving(view)

    def _count_failed_poll(self, view: ServerView) -> None:
        failed = self._failed_polls.get(view.vm.vm_id, 0) + 1
        self._failed_polls[view.vm.vm_id] = failed
        if failed == _FAILED_POLLS_BEFORE_SUSPECT:
            log.warning('no load report from %s', view.vm.vm_id)
            view.record_failure()


def watched_subset(vms: list[Vm], node: str, limit: int) -> list[Vm]:
    """Return the backend servers that ``node`` watches and uses.

    For each model or service, at most ``limit`` servers are chosen by
    rendezvous hashing, so that the work of a node does not grow with the fleet.
    """
    groups: dict[tuple[Role, str], dict[str, Vm]] = defaultdict(dict)
    for vm in vms:
        if vm.role != Role.ENTRY:
            groups[vm.role, vm.serves][vm.vm_id] = vm
    return [
        group[vm_id]
        for group in groups.values()
        for vm_id in rendezvous_order(node, group)[:limit]
    ]
