"""A stream goes on at another server while the first one works on."""

import asyncio
import sys
from collections import defaultdict
from itertools import count
from pathlib import Path

from harness_2.documents import MACHINE, configuration, route
from harness_2.http import Message, call
from harness_2.server import Server
from harness_2.world import (
    Record,
    World,
    caller_headers,
    is_disturbed,
    run,
)

NODES = ('entry-1', 'entry-2')
SERVERS = 4
EVENTS = 40
EVENT_PAUSE_S = 0.1
# "while the server before still works on it 400 ms later"
ALLOWED_S = 0.4
# The site's day trouble-2: answer_lost, share = 0.6, x = 0.3, for_s = 6.0; here
# two of four servers, for 4 s.
LOSING_SERVERS = 2
LOST_SHARE = 0.3
LOSING_S = 4.0
LOST_AFTER_EVENTS = 10
STREAMS_PER_S = 4.0
ENGINE = {
    'slots': 64,
    'kv_capacity_tokens': 544391,
    'kv_bytes': 163840,
    'link_mbps': 260000.0,
    'moves': True,
    'backups': True,
    'stride': 5,
    'most': 12,
    'pin_ms': 4000.0,
    'hold_ms': 2000.0,
    'handle_s': 5.0,
    'models': [{'name': 'm'}],
}


class Fleet:
    """Model servers, and what each has worked on and when."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.loses = False
        self._requests = 0
        # By request: the server, and the times of its first and last event.
        self.work: defaultdict[str, list[list]] = defaultdict(list)

    async def answer(
        self, server: Server, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Stream events in chunks; some answers are lost, the run goes on."""
        loop = asyncio.get_running_loop()
        request_id = request.headers['request-id']
        first = int(request.headers.get('last-event-id', '0')) + 1
        work = [server.server_id, loop.time(), loop.time(), first]
        self.work[request_id].append(work)
        self._record.note(
            f'{server.server_id} works on {request_id} from event {first}, '
            f'Kv-From {request.headers.get("kv-from")}, Kv-Backup '
            f'{request.headers.get("kv-backup")}'
        )
        lost = self._is_lost(server)
        writer.write(
            server.head(request, '200 OK')
            + b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        for number in range(first, EVENTS + 1):
            work[2] = loop.time()
            if lost and number == first + LOST_AFTER_EVENTS:
                self._record.note(
                    f'{server.server_id} closes the channel of {request_id} '
                    f'before event {number}, and works on'
                )
                writer.close()
            if not (lost and number >= first + LOST_AFTER_EVENTS):
                event = f'id: {number}\ndata: piece {number}\n\n'.encode()
                writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
                await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        if not lost:
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        self._record.note(f'{server.server_id} ends {request_id}')

    def _is_lost(self, server: Server) -> bool:
        if not self.loses or not server.loses_answers:
            return False
        self._requests += 1
        return int(self._requests * LOST_SHARE) > int(
            (self._requests - 1) * LOST_SHARE
        )

    def twice(self) -> list[str]:
        """Return the requests that two servers worked on at the same time."""
        found = []
        for request_id, works in self.work.items():
            for former, later in zip(works, works[1:], strict=False):
                overlap_s = former[2] - later[1]
                if former[0] != later[0] and overlap_s > ALLOWED_S:
                    self._record.note(
                        f'{request_id} goes on at {later[0]} from event '
                        f'{later[3]}; {former[0]} works on for another '
                        f'{overlap_s:.1f} s'
                    )
                    found.append(request_id)
        return found


class LosingServer(Server):
    """A server that does not drop a run when its channel closes."""

    loses_answers = False


async def case(record: Record) -> bool:
    """Return whether the rule was broken."""
    world = World(record, MACHINE)
    try:
        return await _play(world, record)
    finally:
        await world.stop()


async def _play(world: World, record: Record) -> bool:
    await world.start_platform()
    questions = route('questions', 'streaming', 'models')
    document = configuration([questions], ['models'])
    document['services'][0]['engine'] = ENGINE
    await world.configure(document)
    fleet = Fleet(record)
    for number in range(SERVERS):
        server = LosingServer(
            world, record, f'model-{number}', 'models', fleet.answer, slots=64
        )
        server.keeps_running = number < LOSING_SERVERS
        server.loses_answers = number < LOSING_SERVERS
        await server.start()
    for name in NODES:
        await world.start_daemon(name)
    for name in NODES:
        await world.wait_ready(name)
    # Machines in touch.
    await asyncio.sleep(4)
    numbers = count(1)

    async def ask() -> None:
        number = next(numbers)
        headers = {
            **caller_headers(f'question-{number}', 15000),
            'Model': 'm',
            'Token-Count': '826,290',
            'Prompt-Prefix': f'aa:198,{number:08x}:628',
        }
        answer = await call(
            world.front(NODES[number % len(NODES)]),
            'POST',
            '/questions/new',
            headers,
            b'a question',
        )
        outcome = 'no answer'
        if answer is not None:
            whole = 'whole' if answer.complete else 'broken off'
            outcome = f'{answer.status}, {whole}'
        record.note(f'question-{number}: {outcome}')

    loop = asyncio.get_running_loop()
    began_at_s = loop.time()
    while loop.time() < began_at_s + LOSING_S + 2:
        fleet.loses = is_disturbed() and loop.time() < began_at_s + LOSING_S
        world.spawn(ask())
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.sleep(EVENTS * EVENT_PAUSE_S * 2)
    found = fleet.twice()
    record.note(f'requests that two servers worked on: {len(found)}')
    return bool(found)


if __name__ == '__main__':
    sys.exit(run(Path(__file__).parent, case))
