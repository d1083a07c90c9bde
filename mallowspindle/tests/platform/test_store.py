"""The log client while the store comes back from older copies."""

import asyncio
import json
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from aiohttp import ClientSession
from aiohttp.test_utils import TestServer

from mallowspindle.catalog.following import StreamFollower
from mallowspindle.catalog.state import ConfigurationState, ServerState
from mallowspindle.duties.lease import Lease
from mallowspindle.duties.records import UsageReport
from mallowspindle.log.errors import (
    AppendConflict,
    AppendUncertain,
    LogError,
    RecordsExpired,
)
from mallowspindle.log.positions import era_of, offset_of, position_of
from mallowspindle.platform.configuration import decode_configuration
from mallowspindle.platform.servers import decode_server
from mallowspindle.platform.store import (
    CONFIGURATION_STREAM,
    SERVERS_STREAM,
    StoreLog,
    decode_keyed,
)
from mallowspindle.standins.platform_store import StoreStandin
from mallowspindle.tests.clock import FakeClock

_LEASE_S = 3.0
_ENTRY = {
    'service': 'models',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'slots': 8,
    'state': 'ready',
    'born': 1,
}


class Store:
    """A store stand-in and the calls of operators and servers."""

    def __init__(self, server: TestServer, session: ClientSession) -> None:
        self._url = str(server.make_url('')).rstrip('/')
        self._session = session
        self._address = f'{server.host}:{server.port}'

    def log(self) -> StoreLog:
        """Return a new client, as that of another node."""
        return StoreLog(self._session, self._address, 1)

    async def restore(self, age_s: float = 0) -> None:
        """Let the store come back from a copy."""
        await self._post(f'/operator-restore/{age_s}')

    async def put(self, stream: str, key: str, **content: object) -> None:
        """Write a keyed record."""
        body = json.dumps(content).encode() if content else b''
        await self._post(f'/operator/{stream}/{key}', body)

    async def put_server(self, **changes: object) -> None:
        """Write the entry of a server."""
        await self.put(SERVERS_STREAM, 'one', **{**_ENTRY, **changes})

    async def _post(self, path: str, body: bytes = b'') -> None:
        async with self._session.post(
            f'{self._url}{path}', data=body
        ) as response:
            response.raise_for_status()


@pytest_asyncio.fixture(name='store', params=[1, 7])
async def _store(request: pytest.FixtureRequest) -> AsyncIterator[Store]:
    server = TestServer(StoreStandin(request.param).app())
    async with server, ClientSession() as session:
        yield Store(server, session)


async def test_positions_rise_over_eras(store: Store) -> None:
    log = store.log()
    first = await log.append('topic', [b'1', b'2'])
    await store.restore(100)
    again = await log.append('topic', [b'3'])
    assert offset_of(first) == offset_of(again) == 0
    assert era_of(again) == era_of(first) + 1
    assert again > first


async def test_an_older_position_has_expired_after_a_return(
    store: Store,
) -> None:
    """The log has grown past the position, so no answer shows the loss."""
    log = store.log()
    position = await log.append('topic', [b'lost', b'lost too'])
    await store.restore(100)
    await store.log().append('topic', [b'1', b'2', b'3'])
    with pytest.raises(RecordsExpired) as expired:
        await log.read('topic', position + 1)
    page = await log.read('topic', expired.value.first_offset)
    assert [record.payload for record in page.records] == [b'1', b'2', b'3']


async def test_a_long_read_that_spans_a_return_yields_nothing(
    store: Store,
) -> None:
    log = store.log()
    position = await log.append('topic', [b'lost'])
    reading = asyncio.create_task(log.read('topic', position + 1, 0.5))
    await asyncio.sleep(0.1)
    await store.restore(100)
    await store.log().append('topic', [b'1', b'2'])
    with pytest.raises(RecordsExpired):
        await reading


async def test_a_condition_of_a_former_era_never_holds(store: Store) -> None:
    """The stream ends at the same offset again, behind other records."""
    log, other = store.log(), store.log()
    position = await log.append('topic', [b'lost'])
    await store.restore(100)
    await other.append('topic', [b'another'])
    with pytest.raises(AppendUncertain):
        await log.append('topic', [b'mine'], position + 1)
    with pytest.raises(AppendConflict):
        await log.append('topic', [b'mine'], position + 1)


async def test_an_answer_of_a_former_era_is_refused(store: Store) -> None:
    log = store.log()
    await log.append('topic', [b'1'])
    with pytest.raises(LogError):
        log._note_era('0')  # noqa: SLF001
    with pytest.raises(LogError):
        log._note_era('new')  # noqa: SLF001


async def test_an_append_answered_in_a_former_era_is_uncertain(
    store: Store,
) -> None:
    """The store may have appended the record before it came back."""
    log = store.log()
    log._note_era('99')  # noqa: SLF001
    with pytest.raises(AppendUncertain):
        await log.append('topic', [b'1'])


async def test_a_store_without_eras_counts_offsets_as_before() -> None:
    server = TestServer(StoreStandin(None).app())
    async with server, ClientSession() as session:
        log = Store(server, session).log()
        assert await log.append('topic', [b'1']) == 0
        assert await log.append('topic', [b'2'], 1) == 1
        assert (await log.read('topic', 0)).next_offset == 2


async def test_fencing_numbers_rise_and_old_holders_stop(store: Store) -> None:
    clock = FakeClock()
    one = Lease(store.log(), 'one', 1, _LEASE_S, clock)
    two = Lease(store.log(), 'two', 1, _LEASE_S, clock)
    numbers = []
    holder, other = one, two
    for _ in range(3):
        clock.advance(10)
        assert await holder.claim()
        assert holder.valid_tenure is not None
        numbers.append(holder.valid_tenure.fencing_number)
        await holder.append(UsageReport(numbers[-1], len(numbers), {'farm': 1}))
        await store.restore(100)
        await holder.catch_up()
        assert not holder.is_holder
        holder, other = other, holder
    assert numbers == sorted(set(numbers))
    assert set(one.state.reports) == {1, 3}


async def test_a_holder_cut_off_in_the_return_does_not_act_again(
    store: Store,
) -> None:
    clock = FakeClock()
    one = Lease(store.log(), 'one', 1, _LEASE_S, clock)
    two = Lease(store.log(), 'two', 1, _LEASE_S, clock)
    await one.claim()
    await store.restore(100)
    await store.restore(100)
    clock.advance(_LEASE_S)
    assert one.valid_tenure is None
    clock.advance(_LEASE_S)
    assert await two.claim()
    with pytest.raises(AppendUncertain):
        await one.renew()
    await two.catch_up()
    assert two.valid_tenure is not None
    await one.renew()
    assert not one.is_holder


async def test_settings_do_not_go_back_and_follow_what_is_written_again(
    store: Store,
) -> None:
    log = store.log()
    state = ConfigurationState('config', decode_configuration)
    follower = StreamFollower(
        CONFIGURATION_STREAM, log, decode_keyed, state.fold
    )
    await store.put(CONFIGURATION_STREAM, 'config', version=5)
    await follower.read()
    await asyncio.sleep(0.1)
    await store.put(CONFIGURATION_STREAM, 'config', version=7)
    await follower.read()
    await store.restore(0.05)
    await follower.read()
    assert state.current is not None
    assert state.current.version == 7
    await store.put(CONFIGURATION_STREAM, 'config', version=8)
    await follower.read()
    assert state.current.version == 8


async def test_news_that_took_the_place_of_lost_records_are_seen(
    store: Store,
) -> None:
    """Offsets alone would look as if nothing had been written."""
    state = ConfigurationState('config', decode_configuration)
    reader, peer = (
        StreamFollower(
            CONFIGURATION_STREAM, store.log(), decode_keyed, state.fold
        )
        for _ in range(2)
    )
    for version in (5, 7):
        await store.put(CONFIGURATION_STREAM, 'config', version=version)
    peer.apply_update(await reader.read())
    await store.restore(100)
    for version in (8, 9):
        await store.put(CONFIGURATION_STREAM, 'config', version=version)
    peer.apply_update(await reader.read())
    assert state.current is not None
    assert state.current.version == 9
    assert peer.through == reader.through
    assert not peer.has_gap


def _servers_follower(store: Store, state: ServerState) -> StreamFollower:
    return StreamFollower(
        SERVERS_STREAM,
        store.log(),
        decode_keyed,
        state.fold,
        state.note_restored,
    )


async def test_servers_that_the_copy_lacks_stay_for_a_while(
    store: Store,
) -> None:
    state = ServerState(decode_server)
    follower = _servers_follower(store, state)
    await store.put_server()
    await follower.read()
    await store.restore(100)
    await follower.read()
    assert set(state.servers) == {'one'}
    await store.put_server(sequence=2)
    await follower.read()
    state.expire_lapsed()
    assert set(state.servers) == {'one'}


async def test_a_server_that_leaves_is_not_ready_again_in_the_copy(
    store: Store,
) -> None:
    state = ServerState(decode_server)
    follower = _servers_follower(store, state)
    await store.put_server()
    await follower.read()
    await asyncio.sleep(0.1)
    await store.put_server(state='draining')
    await follower.read()
    await store.restore(0.05)
    await follower.read()
    assert state.servers['one'].draining


async def test_a_removed_server_is_back_only_once_it_writes_again(
    store: Store,
) -> None:
    state = ServerState(decode_server)
    follower = _servers_follower(store, state)
    await store.put_server()
    await follower.read()
    await asyncio.sleep(0.1)
    await store.put(SERVERS_STREAM, 'one')
    await follower.read()
    assert not state.servers
    await store.restore(0.05)
    await follower.read()
    assert not state.servers
    await store.put_server(sequence=9)
    await follower.read()
    assert set(state.servers) == {'one'}


def test_positions_keep_era_and_offset() -> None:
    position = position_of(3, 12)
    assert (era_of(position), offset_of(position)) == (3, 12)
    assert position_of(0, 12) == 12
    assert position_of(2, 10**9) < position_of(3, 0)
