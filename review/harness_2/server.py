"""A backend server in the process of the test.

It answers as the users' pages say: one request at a time on a connection, with
the id, the proof and its load in each answer, and ``Not-Executed`` where it has
not run a request.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from harness_2.http import Ended, Message, read_message
from harness_2.world import Record, World

# Writes the answer to a request that runs.
Answer = Callable[['Server', Message, asyncio.StreamWriter], Awaitable[None]]


@dataclass(slots=True)
class Arrival:
    """A request that has reached a server."""

    at_s: float
    request: Message
    has_run: bool


@dataclass(slots=True, eq=False)
class Server:
    """A backend server with ``slots`` and a short queue."""

    world: World
    record: Record
    server_id: str
    service: str
    answer: Answer
    slots: int = 6
    queue: int = 24
    headers: dict[str, str] = field(default_factory=dict)
    # "Most servers drop a request when its channel closes"; this one does not.
    keeps_running: bool = False
    # Called for each request turned away for want of room.
    on_turned_away: Callable[['Server'], None] | None = None
    address: str = ''
    born: int = 1
    running: int = 0
    waiting: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    crashes_at_s: list[float] = field(default_factory=list)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _room: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def start(self, **entry: Any) -> None:
        """Listen, at the same address as before, and register."""
        host, _, port = (self.address or '127.0.0.1:0').rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=512
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        self.running = 0
        self.waiting = 0
        await self.world.register(
            self.server_id,
            service=self.service,
            address=self.address,
            slots=self.slots,
            born=self.born,
            **entry,
        )

    def crash(self, back_after_s: float) -> None:
        """End at once, with all requests, and start again later."""
        if self._server is None:
            return
        self.crashes_at_s.append(asyncio.get_running_loop().time())
        self.record.note(f'{self.server_id} crashes')
        self.stop()
        self.world.spawn(self._restart(back_after_s))

    def stop(self) -> None:
        """End at once: all connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()

    @property
    def is_up(self) -> bool:
        """Whether it accepts connections."""
        return self._server is not None

    def head(self, request: Message, status: str, **more: str) -> bytes:
        """Return the head of an answer, without a length."""
        headers = {
            'Request-Id': request.headers.get('request-id', ''),
            'Server-Load': f'{self.running},{self.waiting},{self.slots}',
            **self.headers,
            **more,
        }
        if 'not_executed' in headers:
            headers['Not-Executed'] = headers.pop('not_executed')
        else:
            headers['Response-Signature'] = f'proof-{self.server_id}'
        lines = [f'HTTP/1.1 {status}']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        return ('\r\n'.join(lines) + '\r\n').encode()

    async def _restart(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self.born += 1
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None or not request.complete:
                    return
                if not await self._handle(request, reader, writer):
                    return
        except (Ended, OSError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        now_s = asyncio.get_running_loop().time()
        arrival = Arrival(now_s, request, False)
        if request.start.split(' ')[1] in {'/health', '/report'}:
            writer.write(b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n')
            return True
        self.arrivals.append(arrival)
        expected = request.headers.get('expect-instance')
        if expected not in {None, self.server_id}:
            self._refuse(request, writer, '421 Misdirected Request')
            return True
        if self.running >= self.slots and self.waiting >= self.queue:
            self._refuse(request, writer, '503 Service Unavailable')
            if self.on_turned_away is not None:
                self.on_turned_away(self)
            return self.is_up
        self.waiting += 1
        async with self._room:
            try:
                await self._room.wait_for(lambda: self.running < self.slots)
            finally:
                self.waiting -= 1
            self.running += 1
        arrival.has_run = True
        request_id = request.headers.get('request-id', '')
        self.record.note(f'{self.server_id} runs {request_id}')
        work = asyncio.ensure_future(self.answer(self, request, writer))
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait(
                {work, gone}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done() and self.keeps_running:
                await work
            if not work.done():
                # The channel has been closed, so the work is dropped.
                work.cancel()
                return False
            await work
            return 'close' not in request.headers.get('connection', '')
        finally:
            gone.cancel()
            work.cancel()
            await asyncio.gather(gone, work, return_exceptions=True)
            async with self._room:
                self.running = max(0, self.running - 1)
                self._room.notify_all()

    def _refuse(
        self, request: Message, writer: asyncio.StreamWriter, status: str
    ) -> None:
        request_id = request.headers.get('request-id', '')
        self.record.note(f'{self.server_id} refuses {request_id}: {status}')
        head = self.head(request, status, not_executed='1')
        writer.write(head + b'Content-Length: 0\r\n\r\n')


def whole_answer(body: bytes, work_s: float) -> Answer:
    """Return a behaviour: work for a while, then answer with a length."""

    async def answer(
        server: Server, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(work_s)
        head = server.head(request, '200 OK')
        length = f'Content-Length: {len(body)}\r\n\r\n'.encode()
        writer.write(head + length + body)
        await writer.drain()

    return answer


def event_stream(count: int, pause_s: float) -> Answer:
    """Return a behaviour: send events in chunks, from the asked one on."""

    async def answer(
        server: Server, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        first = int(request.headers.get('last-event-id', '0')) + 1
        head = server.head(request, '200 OK')
        writer.write(
            head + b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        for number in range(first, count + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
            await asyncio.sleep(pause_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    return answer
