"""Stand-in for the rate-limited store of model weights."""

import argparse
import asyncio
import time

from aiohttp.web import Application, Request, Response, json_response

from mallowspindle.standins.faults import Faults, add_fault_routes
from mallowspindle.standins.server import serve


class WeightStandin:
    """Serves model weights at a limited total rate."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0
        self._faults = Faults()

    def app(self) -> Application:
        """Return the HTTP application."""
        app = Application()
        app.router.add_get('/models/{model}', self._fetch)
        add_fault_routes(app, self._faults)
        return app

    async def _fetch(self, request: Request) -> Response:
        if self._faults.down or self._faults.consume('refuse'):
            return Response(status=503, headers={'Retry-After': '5'})
        size = int(request.query.get('bytes', '0'))
        now = time.monotonic()
        self._free_at_s = max(now, self._free_at_s) + size / self._bytes_per_s
        await asyncio.sleep(self._free_at_s - now)
        return json_response({'model': request.match_info['model']})


def main() -> None:
    """Run the weight store stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--bytes-per-s', type=float, default=1e9)
    args = parser.parse_args()
    standin = WeightStandin(args.bytes_per_s)
    asyncio.run(serve(standin.app(), args.host, args.port))


if __name__ == '__main__':
    main()
