"""Stand-in for a backend server on the users' platform.

With ``--events`` it streams server-sent events, otherwise it sends one answer.
"""

import argparse
import asyncio
from typing import Any
from weakref import WeakKeyDictionary

from aiohttp.abc import AbstractStreamWriter
from aiohttp.web import (
    Application,
    BaseRequest,
    Request,
    Response,
    StreamResponse,
    json_response,
)

from mallowspindle.standins.faults import (
    Faults,
    add_fault_routes,
    drop_connection,
)
from mallowspindle.standins.server import Listener, serve

_MISDIRECTED_REQUEST = 421
_ENDLESS_LINES = 20_000
_ENDLESS_PAUSE_S = 0.002


class StreamWithoutLength(StreamResponse):
    """A streamed response that ends when its connection is closed."""

    _length_check = False

    async def prepare(
        self, request: BaseRequest
    ) -> AbstractStreamWriter | None:
        """Send the head; close the connection at the end of the response."""
        self.force_close()
        return await super().prepare(request)


class ServerStandin:
    """A backend server with an id that records its runs."""

    def __init__(
        self,
        server_id: str,
        event_count: int,
        pause_s: float,
        *,
        resumes: bool = True,
        has_ids: bool = True,
        has_length: bool = True,
    ) -> None:
        self._id = server_id
        self._event_count = event_count
        self._pause_s = pause_s
        self._resumes = resumes
        self._has_ids = has_ids
        self._has_length = has_length
        self._faults = Faults()
        self._runs: list[dict[str, Any]] = []
        self._arrivals: list[dict[str, Any]] = []
        self._crashes_at_s: list[float] = []
        self._turned_away_at_s: list[float] = []
        self._refusals: list[dict[str, Any]] = []
        self._endless_bytes = 0
        # The status lines and headers of refusals on each connection, by
        # request.
        self._refused: WeakKeyDictionary[Any, dict[str, str]] = (
            WeakKeyDictionary()
        )
        self._listener: Listener | None = None
        self._restart: asyncio.Task[None] | None = None

    def app(self) -> Application:
        """Return the HTTP application."""
        app = Application(client_max_size=8_000_000)
        app.router.add_get('/runs', self._list_runs)
        app.router.add_get('/arrivals', self._list_arrivals)
        app.router.add_get('/crashes', self._list_crashes)
        app.router.add_get('/turned-away', self._list_turned_away)
        app.router.add_get('/refusals', self._list_refusals)
        app.router.add_get('/endless-bytes', self._count_endless_bytes)
        app.router.add_get('/report', self._report)
        app.router.add_post('/kv-move', self._copy_run)
        app.router.add_delete('/kv-handle/{handle}', self._drop_handle)
        add_fault_routes(app, self._faults)
        app.router.add_route('*', '/{path:.*}', self._serve)
        return app

    def use_listener(self, listener: Listener) -> None:
        """Use ``listener`` to refuse connections after a crash."""
        self._listener = listener

    async def _serve(self, request: Request) -> StreamResponse:
        arrival = self._record_arrival(request)
        headers = {
            'Request-Id': request.headers['Request-Id'],
            'Instance-Id': self._id,
        }
        if self._faults.limit_per_s is not None:
            headers['Server-Limit'] = str(self._faults.limit_per_s)
        if self._faults.load:
            headers['Server-Load'] = self._faults.load
        if request.headers.get('Expect-Instance') != self._id:
            self._note_refusal(request, '421 Misdirected Request', headers)
            return Response(status=_MISDIRECTED_REQUEST, headers=headers)
        if self._faults.says_leaving:
            headers['Server-Leaving'] = '1'
        if self._faults.turn_away:
            self._turned_away_at_s.append(asyncio.get_running_loop().time())
            headers['Not-Executed'] = '1'
            headers['Retry-After'] = self._faults.turn_away
            return Response(status=503, headers=headers)
        if self._faults.consume('refuse'):
            await asyncio.sleep(self._faults.refuse_s)
            headers['Not-Executed'] = '1'
            self._note_refusal(request, '503 Full', headers)
            self._refusals.append(
                {
                    'id': headers['Request-Id'],
                    'at_s': asyncio.get_running_loop().time(),
                }
            )
            return Response(status=503, headers=headers)
        self._repeat_refusal(request)
        run = {
            'id': request.headers['Request-Id'],
            'method': request.method,
            'target': request.raw_path,
            'headers': dict(request.headers),
            'body': (await request.read()).decode(),
            'began_at_s': asyncio.get_running_loop().time(),
            'ended': False,
            'ended_at_s': 0,
            'events': 0,
            'detached': False,
            # Whether the connection was closed before the answer was ready.
            'left': False,
            'stopped': False,
        }
        self._runs.append(run)
        arrival['ran'] = True
        try:
            return await self._answer(request, headers, run)
        finally:
            run['ended'] = True
            run['ended_at_s'] = asyncio.get_running_loop().time()

    def _record_arrival(self, request: Request) -> dict[str, Any]:
        """Record a request, also one that is refused or fails later."""
        peer = request.get_extra_info('peername')
        arrival = {
            'id': request.headers['Request-Id'],
            'at_s': asyncio.get_running_loop().time(),
            'port': peer[1] if peer else 0,
            'kv_from': request.headers.get('Kv-From', ''),
            'ran': False,
        }
        self._arrivals.append(arrival)
        return arrival

    def _note_refusal(
        self, request: Request, status: str, headers: dict[str, str]
    ) -> None:
        lines = [f'{name}: {text}\r\n' for name, text in headers.items()]
        head = ''.join([f'HTTP/1.1 {status}\r\nContent-Length: 0\r\n', *lines])
        refused = self._refused.setdefault(request.transport, {})
        refused[headers['Request-Id']] = f'{head}\r\n'
        if self._faults.copy_refusals_s and request.transport is not None:
            asyncio.get_running_loop().call_later(
                self._faults.copy_refusals_s,
                request.transport.write,
                f'{head}\r\n'.encode(),
            )

    def _repeat_refusal(self, request: Request) -> None:
        refused = self._refused.get(request.transport, {})
        head = refused.get(request.headers['Request-Id'])
        if self._faults.repeats_refusals and head and request.transport:
            request.transport.write(head.encode())

    async def _answer(
        self, request: Request, headers: dict[str, str], run: dict[str, Any]
    ) -> StreamResponse:
        if request.raw_path == self._faults.deadly_target:
            await asyncio.sleep(self._faults.deadly_run_s)
            self._crash()
            await asyncio.sleep(self._faults.crash_s)
        if self._faults.consume('lose_answers'):
            drop_connection(request)
        if self._faults.endless:
            return await self._send_without_end(request, headers)
        headers['Response-Signature'] = f'{self._id}-signature'
        if self._faults.consume('truncate'):
            await asyncio.sleep(self._faults.fail_s)
            return Response(status=500, headers=headers, text='failed')
        if not self._event_count:
            await asyncio.sleep(self._pause_s + self._faults.slow_s)
            run['left'] = request.transport is None
            return Response(headers=headers, text=f'answer of {self._id}')
        return await self._stream(request, headers, run)

    async def _send_without_end(
        self, request: Request, headers: dict[str, str]
    ) -> StreamResponse:
        """Send bytes until the gateway closes the connection."""
        response = StreamWithoutLength(headers=headers)
        transport = request.transport
        if self._faults.endless == 'head':
            lines = [f'{name}: {text}\r\n' for name, text in headers.items()]
            head = ''.join(lines)
            if transport is not None:
                transport.write(f'HTTP/1.1 200 OK\r\n{head}'.encode())
        else:
            await response.prepare(request)
        part = b'x: y\r\n' if self._faults.endless == 'head' else b'data: x\n'
        while transport is not None and not transport.is_closing():
            transport.write(part * _ENDLESS_LINES)
            self._endless_bytes += len(part) * _ENDLESS_LINES
            await asyncio.sleep(_ENDLESS_PAUSE_S)
        return response

    async def _stream(
        self, request: Request, headers: dict[str, str], run: dict[str, Any]
    ) -> StreamResponse:
        """Stream the events after the last one that the caller received."""
        response_class = (
            StreamResponse if self._has_length else StreamWithoutLength
        )
        response = response_class(headers=headers)
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        if self._is_deadly(request):
            self._crash()
            await asyncio.sleep(self._faults.crash_s)
        first = self._first_event(request)
        cut = self._faults.consume('cuts')
        for number in range(first, self._event_count + 1):
            await asyncio.sleep(self._pause_s + self._faults.slow_events_s)
            if run['stopped']:
                drop_connection(request)
                return response
            if cut and number - first == self._faults.cut_after_tokens:
                await response.write(f'id: {number}\nda'.encode())
                drop_connection(request)
                if not self._faults.detaches:
                    return response
                run['detached'] = True
            if not run['detached']:
                await response.write(self._format_event(number))
            run['events'] = number
        return response

    def _is_deadly(self, request: Request) -> bool:
        parts = request.headers.get('Prompt-Prefix', '').split(',')[:-1]
        part_ids = [part.partition(':')[0] for part in parts]
        return self._faults.deadly_part in part_ids

    def _crash(self) -> None:
        """Drop all connections, and refuse new ones for a while."""
        self._crashes_at_s.append(asyncio.get_running_loop().time())
        if self._listener is not None:
            pause = self._listener.pause(self._faults.crash_s)
            self._restart = asyncio.create_task(pause)

    def _first_event(self, request: Request) -> int:
        """Return the number of the first event to send."""
        last_received = int(request.headers.get('Last-Event-Id', '0'))
        resumes = self._resumes or 'Kv-From' in request.headers
        if not last_received or not resumes or self._faults.consume('forgets'):
            return 1
        return last_received + 1 + self._faults.consume('skips')

    def _format_event(self, number: int) -> bytes:
        id_line = f'id: {number}\n' if self._has_ids else ''
        return f'{id_line}data: t{number}\n\n'.encode()

    async def _copy_run(self, request: Request) -> Response:
        """Copy a run's KV cache to another server; ``last`` stops the run."""
        if self._faults.no_moves:
            return Response(status=400)
        parameters = await request.json()
        running = {run['id']: run for run in self._runs if not run['ended']}
        if parameters['id'] not in running:
            return Response(status=404)
        if self._faults.consume('no_room'):
            return json_response({}, status=503)
        if parameters.get('last'):
            running[parameters['id']]['stopped'] = True
            if self._faults.consume('no_room_at_last'):
                return json_response({'handle': 'h1'}, status=503)
        return json_response({'handle': 'h1', 'create_rev': 0})

    async def _drop_handle(self, request: Request) -> Response:
        return Response()

    async def _report(self, request: Request) -> Response:
        if self._faults.no_reports:
            return Response(status=404)
        now_s = asyncio.get_running_loop().time()
        running = sum(not run['ended'] for run in self._runs)
        report = {
            'id': self._id,
            'running': running,
            'waiting': 0,
            'runs': [
                [run['id'], 0, run['events'], 5]
                for run in self._runs
                if not run['ended']
                or now_s - run['ended_at_s'] < self._faults.report_lag_s
            ],
        }
        if self._faults.leaving:
            report['leaves_ms'] = 1000
        return json_response(report)

    async def _list_crashes(self, request: Request) -> Response:
        return json_response(self._crashes_at_s)

    async def _list_turned_away(self, request: Request) -> Response:
        return json_response(self._turned_away_at_s)

    async def _list_refusals(self, request: Request) -> Response:
        return json_response(self._refusals)

    async def _count_endless_bytes(self, request: Request) -> Response:
        return json_response(self._endless_bytes)

    async def _list_arrivals(self, request: Request) -> Response:
        return json_response(self._arrivals)

    async def _list_runs(self, request: Request) -> Response:
        return json_response(self._runs)


def main() -> None:
    """Run the backend server stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--server-id', required=True)
    parser.add_argument('--events', type=int, default=0)
    parser.add_argument('--pause-s', type=float, default=0.01)
    parser.add_argument(
        '--no-resume',
        action='store_true',
        help='start streams at their first event unless their memory is there',
    )
    parser.add_argument(
        '--no-ids', action='store_true', help='send events without ids'
    )
    parser.add_argument(
        '--no-length',
        action='store_true',
        help='end streams with their connection only',
    )
    args = parser.parse_args()
    standin = ServerStandin(
        args.server_id,
        args.events,
        args.pause_s,
        resumes=not args.no_resume,
        has_ids=not args.no_ids,
        has_length=not args.no_length,
    )
    asyncio.run(
        serve(standin.app(), args.host, args.port, standin.use_listener)
    )


if __name__ == '__main__':
    main()
