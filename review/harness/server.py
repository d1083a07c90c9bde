"""Stand-in for a sound backend server, of the kinds that PROTOCOL.md tells.

It runs each request that names it, echoes the id, signs its answer and, with
``--events``, streams events that name the server and its software version.
"""

import argparse
import asyncio
import json
import time
from typing import Any

from aiohttp import web


class Server:
    """One lifetime of a server, and the runs that it began."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._id: str = arguments.id
        self._version: str = arguments.version
        self._events: int = arguments.events
        self._work_s: float = arguments.work_ms / 1000
        self._runs: list[dict[str, Any]] = []

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == '/runs':
            return web.Response(text=json.dumps(self._runs))
        request_id = request.headers.get('Request-Id', '')
        headers = {'Request-Id': request_id, 'Instance-Id': self._id}
        if request.headers.get('Expect-Instance') not in {None, self._id}:
            return web.Response(status=421, headers=headers)
        if not request_id:
            headers['Not-Executed'] = '1'
            return web.Response(status=400, headers=headers)
        body = await request.read()
        run = {
            'id': request_id,
            'resumes': request.headers.get('Resumes'),
            'last_event': request.headers.get('Last-Event-Id'),
            'server': self._id,
            'version': self._version,
            'target': request.raw_path,
            'tenant': request.headers.get('Tenant'),
            'body_bytes': len(body),
            'began_at_s': time.time(),
            'ended': False,
        }
        self._runs.append(run)
        headers['Response-Signature'] = f'{self._id}.{request_id}'
        if self._events:
            return await self._stream(request, headers, run)
        await asyncio.sleep(self._work_s)
        run['ended'] = True
        return web.Response(headers=headers, text=f'done by {self._id}')

    async def _stream(
        self,
        request: web.BaseRequest,
        headers: dict[str, str],
        run: dict[str, Any],
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        first = int(request.headers.get('Last-Event-Id', '0')) + 1
        for number in range(first, self._events + 1):
            await asyncio.sleep(self._work_s)
            event = f'id: {number}\ndata: {self._version} {self._id}\n\n'
            await response.write(event.encode())
        run['ended'] = True
        return response


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--id', required=True)
    parser.add_argument('--version', default='1')
    parser.add_argument('--events', type=int, default=0)
    parser.add_argument('--work-ms', type=float, default=45)
    server = Server(parser.parse_args())
    runner = web.ServerRunner(
        web.Server(server.serve), handler_cancellation=True
    )
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    print(json.dumps({'port': runner.addresses[0][1]}), flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
