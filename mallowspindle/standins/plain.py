"""Stand-in for a plain service whose POST is not idempotent."""

import argparse
import asyncio
import time

from aiohttp.web import Application, Request, Response, json_response

from mallowspindle.standins.faults import (
    Faults,
    add_fault_routes,
    drop_connection,
)
from mallowspindle.standins.server import serve


class PlainStandin:
    """Runs each POST and records it in a ledger that tests can read."""

    def __init__(self, work_s: float) -> None:
        self._work_s = work_s
        self._runs: list[dict[str, object]] = []
        self._faults = Faults()

    def app(self) -> Application:
        """Return the HTTP application."""
        app = Application()
        app.router.add_get('/load', self._load)
        app.router.add_get('/ledger', self._ledger)
        add_fault_routes(app, self._faults)
        app.router.add_post('/{path:.*}', self._run)
        return app

    async def _run(self, request: Request) -> Response:
        if self._faults.down:
            drop_connection(request)
            return Response(status=500)
        body = await request.text()
        if self._faults.leaving or self._faults.consume('refuse'):
            headers = {'X-Not-Run': '1', 'Retry-After': '1'}
            return Response(status=503, headers=headers)
        self._runs.append(
            {
                'path': request.match_info['path'],
                'attempt': request.headers.get('X-Request-Id', ''),
                'key': request.headers.get('Idempotency-Key', ''),
                'body': body,
                'at_s': time.time(),
            }
        )
        await asyncio.sleep(self._work_s + self._faults.slow_s)
        if self._faults.consume('lose_answers'):
            drop_connection(request)
        return self._answer(request)

    def _answer(self, request: Request) -> Response:
        attempt = request.headers.get('X-Request-Id', '')
        if self._faults.consume('cross'):
            attempt = 'another-attempt'
        return json_response(
            {'filed': len(self._runs), 'path': request.match_info['path']},
            headers={'X-Request-Id': attempt},
        )

    async def _load(self, request: Request) -> Response:
        return json_response(
            {'running': 0, 'queued': 0, 'leaving': self._faults.leaving}
        )

    async def _ledger(self, request: Request) -> Response:
        return json_response(self._runs)


def main() -> None:
    """Run the plain service stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--work-s', type=float, default=0.01)
    args = parser.parse_args()
    asyncio.run(serve(PlainStandin(args.work_s).app(), args.host, args.port))


if __name__ == '__main__':
    main()
