"""Servers that write refusals once more, where another answer is due."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator

import pytest

from mallowspindle.standins.scripted_server import (
    Arrival,
    Script,
    ScriptedServer,
    answer,
    refusal,
)
from mallowspindle.tests.proxy.shops import PATHS, Shop, open_shop

_PROMISES = frozenset((408, 421, 429, 503))
# A server that has refused a request is avoided for a moment.
_AVOIDED_S = 0.45
_GAP_S = 0.05
_BODY = b'whole answer'

Copy = Callable[[str, str], Iterator[bytes]]


def _refuse_then_run(copy: Copy) -> Script:
    """Return a script that refuses the first request of a connection.

    ``copy`` yields what is written for the second one, which runs.
    """

    async def script(
        server: ScriptedServer, arrival: Arrival
    ) -> AsyncIterator[bytes]:
        if not arrival.earlier_ids:
            yield refusal(arrival.request_id)
            return
        server.runs[arrival.request_id] += 1
        for part in copy(arrival.earlier_ids[0], arrival.request_id):
            yield part
            await asyncio.sleep(_GAP_S)

    return script


def _assert_sound(shop: Shop, request_id: str, status: int) -> None:
    """Assert that a request ran once at most, and not after a promise."""
    runs = shop.runs(request_id)
    assert runs <= 1, f'{request_id} ran {runs} times'
    assert not runs or status not in _PROMISES, f'{status} after a run'


def _chunked(*parts: bytes) -> bytes:
    return b''.join(b'%x\r\n%b\r\n' % (len(part), part) for part in parts)


def _before(copied: bytes) -> Copy:
    def copy(earlier_id: str, request_id: str) -> Iterator[bytes]:
        yield copied.replace(b'EARLIER', earlier_id.encode())
        yield answer(request_id, _BODY)

    return copy


def _in_one_segment(copied: bytes) -> Copy:
    def copy(earlier_id: str, request_id: str) -> Iterator[bytes]:
        yield b''.join(
            (
                copied.replace(b'EARLIER', earlier_id.encode()),
                answer(request_id, _BODY),
            )
        )

    return copy


def _after(own_id: bool) -> Copy:
    def copy(earlier_id: str, request_id: str) -> Iterator[bytes]:
        copied = refusal(request_id if own_id else earlier_id)
        yield answer(request_id, _BODY) + copied

    return copy


def _within_length(earlier_id: str, request_id: str) -> Iterator[bytes]:
    whole = answer(request_id, _BODY)
    yield whole[:-4] + refusal(request_id)
    yield whole[-4:]


def _within_chunks(earlier_id: str, request_id: str) -> Iterator[bytes]:
    yield answer(
        request_id, lines=('Transfer-Encoding: chunked',), framed=False
    )
    yield _chunked(_BODY[:4]) + refusal(request_id)
    yield _chunked(_BODY[4:], b'')


def _without_length(earlier_id: str, request_id: str) -> Iterator[bytes]:
    yield answer(request_id, _BODY[:4], framed=False)
    yield refusal(request_id)
    yield _BODY[4:]
    yield b''


_EARLIER = refusal('EARLIER')
_INTERIM = b'HTTP/1.1 103 Early Hints\r\nRequest-Id: EARLIER\r\nNot-Executed: 1\r\n\r\n'
# The copies, and the status of the order that runs.
_COPIES: dict[str, tuple[Copy, int]] = {
    'before the answer': (_before(_EARLIER), 200),
    'in the segment of the answer': (_in_one_segment(_EARLIER), 200),
    'before the answer, without an id': (_before(refusal(None)), 502),
    'before the answer, with a body': (
        _before(refusal('EARLIER', b'no room')),
        200,
    ),
    'before the answer, with a large body': (
        _before(refusal('EARLIER', b'no room ' * 100_000)),
        200,
    ),
    'before the answer, without a length': (
        _before(refusal('EARLIER', framed=False)),
        502,
    ),
    'as an interim head': (_before(_INTERIM), 200),
    'behind an interim head': (_in_one_segment(_INTERIM + _EARLIER), 200),
    'behind the answer': (_after(own_id=False), 200),
    'behind the answer, with its id': (_after(own_id=True), 200),
    'within a length': (_within_length, 502),
    'within chunks': (_within_chunks, 502),
    'without a length': (_without_length, 200),
}


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('place', _COPIES)
async def test_a_copied_refusal_is_not_the_answer_to_the_next_order(
    place: str, path: str
) -> None:
    """Guards against an order that runs twice, or is promised not to run."""
    copy, expected_status = _COPIES[place]
    async with open_shop(path, _refuse_then_run(copy)) as shop:
        refused_status, _, _ = await shop.order('r1')
        await asyncio.sleep(_AVOIDED_S)
        status, _, _ = await shop.order('r2')
        await asyncio.sleep(_GAP_S)
        last_status, _, _ = await shop.order('r3')
        assert (refused_status, shop.arrivals('r1')) == (503, 2)
        assert shop.runs('r2') == 1
        _assert_sound(shop, 'r2', status)
        _assert_sound(shop, 'r3', last_status)
        assert status == expected_status


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('pause_s', [0, _GAP_S, _AVOIDED_S + _GAP_S])
async def test_a_refusal_that_comes_twice_answers_one_order(
    path: str, pause_s: float
) -> None:
    """Guards against the second one as the answer to the next order.

    They come in one segment, while nothing is under way, or as the next order
    arrives.
    """

    async def script(
        server: ScriptedServer, arrival: Arrival
    ) -> AsyncIterator[bytes]:
        request_id = arrival.request_id
        if not pause_s:
            yield refusal(request_id) * 2
            return
        yield refusal(request_id)
        await asyncio.sleep(pause_s)
        yield refusal(request_id)

    async with open_shop(path, script) as shop:
        assert (await shop.order('r1'))[0] == 503
        await asyncio.sleep(_AVOIDED_S)
        for server in shop.servers:
            server.script = _run_all
        status, body, _ = await shop.order('r2')
        assert (status, body) == (200, _BODY)
        assert shop.runs('r2') == 1


async def _run_all(
    server: ScriptedServer, arrival: Arrival
) -> AsyncIterator[bytes]:
    server.runs[arrival.request_id] += 1
    yield answer(arrival.request_id, _BODY)


@pytest.mark.parametrize('path', PATHS)
async def test_a_refusal_in_two_parts_answers_one_order(path: str) -> None:
    """Guards against the rest of a copy that began before the next order."""

    async def script(
        server: ScriptedServer, arrival: Arrival
    ) -> AsyncIterator[bytes]:
        request_id = arrival.request_id
        if not arrival.earlier_ids:
            yield refusal(request_id) + refusal(request_id)[:40]
            return
        server.runs[request_id] += 1
        yield refusal(arrival.earlier_ids[0])[40:]
        yield answer(request_id, _BODY)

    async with open_shop(path, script) as shop:
        assert (await shop.order('r1'))[0] == 503
        await asyncio.sleep(_AVOIDED_S)
        status, _, _ = await shop.order('r2')
        assert shop.runs('r2') == 1
        _assert_sound(shop, 'r2', status)


@pytest.mark.parametrize('path', PATHS)
async def test_a_refused_order_that_comes_again_runs_once(path: str) -> None:
    """Guards against a copied refusal that bears the id of the order.

    A caller sends the order once more under its id, and the servers write
    their refusals once more before they run it.
    """
    copy = _before(_EARLIER)
    async with open_shop(path, _refuse_then_run(copy)) as shop:
        assert (await shop.order('r1'))[0] == 503
        await asyncio.sleep(_AVOIDED_S)
        for server in shop.servers:
            server.script = _copy_if_carried
        status, body, _ = await shop.order('r1')
        assert shop.runs('r1') == 1
        assert (status, body) == (200, _BODY)


async def _copy_if_carried(
    server: ScriptedServer, arrival: Arrival
) -> AsyncIterator[bytes]:
    server.runs[arrival.request_id] += 1
    if arrival.was_carried:
        yield refusal(arrival.request_id)
        await asyncio.sleep(_GAP_S)
    yield answer(arrival.request_id, _BODY)


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize(
    'status', ['503 Failed', '429 Too Many Requests', '408 Request Timeout']
)
async def test_a_failed_order_is_not_promised_to_be_unrun(
    status: str, path: str
) -> None:
    """Guards against a promise that the server has not given.

    Only ``Not-Executed`` and status 421 state that a request has not run.
    """

    async def script(
        server: ScriptedServer, arrival: Arrival
    ) -> AsyncIterator[bytes]:
        server.runs[arrival.request_id] += 1
        yield answer(arrival.request_id, b'failed', status=status)

    async with open_shop(path, script) as shop:
        found_status, _, headers = await shop.order('r1')
        assert shop.runs('r1') == 1
        assert found_status == 502
        # With another status, the proof would be of another answer.
        assert 'Response-Signature' not in headers


@pytest.mark.parametrize('path', PATHS)
async def test_a_failed_lookup_keeps_its_status(path: str) -> None:
    """A lookup may run again, so its status promises nothing to callers."""

    async def script(
        server: ScriptedServer, arrival: Arrival
    ) -> AsyncIterator[bytes]:
        server.runs[arrival.request_id] += 1
        yield answer(arrival.request_id, b'failed', status='503 Failed')

    async with open_shop(path, script) as shop:
        status, body, headers = await shop.order('r1', path='/status/1')
        assert (status, body) == (503, b'failed')
        assert headers['Response-Signature'] == 'proof'


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('end', ['reset', 'close'])
@pytest.mark.parametrize('size', [0, 900_000])
async def test_an_order_whose_connection_ends_may_have_run(
    size: int, end: str, path: str
) -> None:
    """Guards against "not run" for a request of which bytes have left.

    The connection is new or kept, and the body of the order is not read.
    """

    async def script(
        server: ScriptedServer, arrival: Arrival
    ) -> AsyncIterator[bytes]:
        server.runs[arrival.request_id] += 1
        if arrival.request_id == 'r1':
            yield answer(arrival.request_id, _BODY)
            return
        if end == 'reset':
            raise ConnectionResetError
        yield b''

    async with open_shop(path, script) as shop:
        assert (await shop.order('r1'))[0] == 200
        found = set()
        for number in range(2, 6):
            status, _, _ = await shop.order(f'r{number}', bytes(size))
            found.add((status, shop.arrivals(f'r{number}')))
        # After a failure, an order may be refused without being sent.
        assert found <= {(502, 1), (503, 0)}
        assert (502, 1) in found
