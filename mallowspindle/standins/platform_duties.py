"""Stand-in of the users' platform's interface for duties."""

import argparse
import asyncio
from typing import Any

from aiohttp.web import Application, Request, Response, json_response

from mallowspindle.standins.faults import (
    Faults,
    add_fault_routes,
    drop_connection,
)
from mallowspindle.standins.server import serve


class DutiesStandin:
    """Accepts usage and orders, and refuses lower fencing numbers."""

    def __init__(self) -> None:
        self._faults = Faults()
        self._fences: dict[str, int] = {}
        self._calls: list[dict[str, Any]] = []
        self._dry_zones: set[str] = set()

    def app(self) -> Application:
        """Return the HTTP application."""
        app = Application()
        app.router.add_post('/usage', self._usage)
        app.router.add_post('/scale', self._scale)
        app.router.add_post('/dry/{zone}', self._dry)
        app.router.add_get('/calls', self._list)
        add_fault_routes(app, self._faults)
        return app

    async def _usage(self, request: Request) -> Response:
        return await self._accept(request, 'usage', 'usage')

    async def _scale(self, request: Request) -> Response:
        body = await request.json()
        if body.get('spot') and body['zone'] in self._dry_zones:
            error = {'error': 'none of that kind is to be had there'}
            return json_response(error, status=409)
        subject = f'{body["service"]}/{body["zone"]}'
        return await self._accept(request, 'scale', subject)

    async def _accept(
        self, request: Request, duty: str, subject: str
    ) -> Response:
        if self._faults.down or self._faults.consume('refuse'):
            return Response(status=503)
        token = int(request.headers['Fencing-Token'])
        if token < self._fences.get(subject, -1):
            error = {'error': 'a higher fence was seen'}
            return json_response(error, status=409)
        self._fences[subject] = token
        call = {
            'duty': duty,
            'holder': request.headers['Lease-Holder'],
            'token': token,
            'body': await request.json(),
        }
        self._calls.append(call)
        if self._faults.consume('lose_answers'):
            drop_connection(request)
        return json_response({})

    async def _dry(self, request: Request) -> Response:
        self._dry_zones.add(request.match_info['zone'])
        return Response()

    async def _list(self, request: Request) -> Response:
        return json_response(self._calls)


def main() -> None:
    """Run the stand-in of the duties' interface."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    args = parser.parse_args()
    asyncio.run(serve(DutiesStandin().app(), args.host, args.port))


if __name__ == '__main__':
    main()
