"""Stand-in for the cloud: a VM list that lags and reclaim notices."""

import argparse
import asyncio
import time
from dataclasses import dataclass

from aiohttp.web import (
    Application,
    HTTPNotFound,
    Request,
    Response,
    json_response,
)

from mallowspindle.native.cloud import Vm
from mallowspindle.standins.faults import Faults, add_fault_routes
from mallowspindle.standins.server import serve


@dataclass(slots=True)
class Instance:
    """One VM with the times of its registration, notice and reclaim."""

    vm: Vm
    registered_at_s: float
    reclaim_at_s: float | None = None
    notice_at_s: float = 0


class CloudStandin:
    """Lists VMs with a lag; tests register and reclaim them."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._instances: dict[str, Instance] = {}
        self._faults = Faults()

    def app(self) -> Application:
        """Return the HTTP application."""
        app = Application()
        app.router.add_get('/vms', self._list)
        app.router.add_post('/vms', self._register)
        app.router.add_delete('/vms/{vm_id}', self._remove)
        app.router.add_get('/vms/{vm_id}/notice', self._notice)
        app.router.add_post('/vms/{vm_id}/reclaim', self._reclaim)
        add_fault_routes(app, self._faults)
        return app

    async def _list(self, request: Request) -> Response:
        if self._faults.down:
            return Response(status=503)
        await asyncio.sleep(self._faults.slow_s)
        listed_before_s = time.monotonic() - self._lag_s
        return json_response(
            [
                _as_listed(instance, listed_before_s)
                for instance in self._instances.values()
                if instance.registered_at_s <= listed_before_s
            ]
        )

    async def _register(self, request: Request) -> Response:
        vm = Vm.model_validate(await request.json())
        known_before = request.query.get('known_before') == '1'
        age_s = self._lag_s if known_before else 0
        self._instances[vm.vm_id] = Instance(vm, time.monotonic() - age_s)
        return json_response(vm.model_dump(mode='json'))

    async def _remove(self, request: Request) -> Response:
        self._instances.pop(request.match_info['vm_id'], None)
        return Response()

    async def _notice(self, request: Request) -> Response:
        if self._faults.down:
            return Response(status=503)
        instance = self._instances.get(request.match_info['vm_id'])
        if instance is None or instance.reclaim_at_s is None:
            return json_response(None)
        remaining_s = instance.reclaim_at_s - time.monotonic()
        return json_response({'leaves_in_s': max(0.0, remaining_s)})

    async def _reclaim(self, request: Request) -> Response:
        instance = self._instances.get(request.match_info['vm_id'])
        if instance is None:
            raise HTTPNotFound
        parameters = await request.json()
        now = time.monotonic()
        instance.reclaim_at_s = now + float(parameters['notice_s'])
        instance.notice_at_s = now
        return Response()


def _as_listed(instance: Instance, listed_before_s: float) -> dict[str, object]:
    leaving = (
        instance.reclaim_at_s is not None
        and instance.notice_at_s <= listed_before_s
    )
    listed = instance.vm.model_copy(update={'leaving': leaving})
    return listed.model_dump(mode='json')


def main() -> None:
    """Run the cloud stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--lag-s', type=float, default=0.5)
    args = parser.parse_args()
    asyncio.run(serve(CloudStandin(args.lag_s).app(), args.host, args.port))


if __name__ == '__main__':
    main()
