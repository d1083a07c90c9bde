"""Stand-in for the duties interface of the users' platform."""

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
    """Accepts usage reports and scale orders; refuses old fencing numbers."""

    def __init__(self) -> None:
        self._faults = Faults()
        self._fencing_numbers: dict[str, int] = {}
        self._calls: list[dict[str, Any]] = []
        self._zones_without_spot: set[str] = set()

    def app(self) -> Application:
        """Return the HTTP application."""
        app = Application()
        app.router.add_post('/usage', self._report_usage)
        app.router.add_post('/scale', self._scale_service)
        app.router.add_post('/dry/{zone}', self._exhaust_zone)
        app.router.add_get('/calls', self._list_calls)
        add_fault_routes(app, self._faults)
        return app

    async def _report_usage(self, request: Request) -> Response:
        return await self._accept(request, 'usage', 'usage')

    async def _scale_service(self, request: Request) -> Response:
        body = await request.json()
        if body.get('spot') and body['zone'] in self._zones_without_spot:
            error = {'error': 'none of that kind is to be had there'}
            return json_response(error, status=409)
        subject = f'{body["service"]}/{body["zone"]}'
        return await self._accept(request, 'scale', subject)

    async def _accept(
        self, request: Request, duty: str, subject: str
    ) -> Response:
        if self._faults.down or self._faults.consume('refuse'):
            return Response(status=503)
        fencing_number = int(request.headers['Fencing-Token'])
        if fencing_number < self._fencing_numbers.get(subject, -1):
            error = {'error': 'a higher fence was seen'}
            return json_response(error, status=409)
        self._fencing_numbers[subject] = fencing_number
        call = {
            'duty': duty,
            'holder': request.headers['Lease-Holder'],
            'token': fencing_number,
            'body': await request.json(),
        }
        self._calls.append(call)
        if self._faults.consume('lose_answers'):
            drop_connection(request)
        return json_response({})

    async def _exhaust_zone(self, request: Request) -> Response:
        """Refuse further orders of spot servers in a zone."""
        self._zones_without_spot.add(request.match_info['zone'])
        return Response()

    async def _list_calls(self, request: Request) -> Response:
        return json_response(self._calls)


def main() -> None:
    """Run the duties interface stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    args = parser.parse_args()
    asyncio.run(serve(DutiesStandin().app(), args.host, args.port))


if __name__ == '__main__':
    main()
