"""Where streams may go on."""

from contextlib import nullcontext
from dataclasses import replace
from typing import Any, cast

import pytest
from multidict import CIMultiDict

from mallowspindle.catalog.configuration import (
    Organisation,
    Route,
    RouteKind,
    TrafficShare,
)
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.proxy.continuation import Continuation, UnknownBegin
from mallowspindle.proxy.messages import CallerRequest
from mallowspindle.streams.messages import StreamBegun, StreamKey
from mallowspindle.streams.records import StreamOrigin
from mallowspindle.streams.service import OneVersion, StreamsService

_ROUTE = Route(
    'letters',
    'shop.example',
    '/letters/',
    RouteKind.STREAM,
    (TrafficShare('models', 1),),
    15,
    1,
    resumable=True,
)
_V1 = BackendServer('i-1', 'models', 'i-1:80', 'a', 8, software_version='v1')
_V2 = replace(_V1, server_id='i-2', software_version='v2')
_ORIGIN = StreamOrigin('models', 'v1')
_FARM = Organisation('farm', frozenset())


class _Streams:
    """Knows one stream."""

    def __init__(
        self, service: str = 'models', *, several: bool = True
    ) -> None:
        self.begun = StreamBegun(StreamKey('farm', 'first'), service, 'v1')
        self.several = several
        self.tracked: list[StreamBegun] = []

    async def find(
        self, key: StreamKey, *services: str, route_name: str
    ) -> StreamBegun | OneVersion | None:
        """Return the stream if it has this key."""
        if key == self.begun.key:
            return self.begun
        return None if self.several else OneVersion(_ORIGIN)

    def track(self, begun: StreamBegun) -> Any:
        """Record a stream."""
        self.tracked.append(begun)
        return nullcontext()


def _continuation(
    streams: _Streams,
    last_event_id: str | None = None,
    resumes: str | None = None,
    route: Route = _ROUTE,
) -> Continuation:
    request = CallerRequest(
        'POST',
        '/',
        'shop.example',
        'second',
        CIMultiDict(),
        last_event_id=last_event_id,
        resumes=resumes,
    )
    return Continuation(cast(StreamsService, streams), request, route, _FARM)


async def test_a_new_stream_may_begin_anywhere_and_is_bound_then() -> None:
    streams = _Streams()
    continuation = _continuation(streams)
    assert await continuation.find_service('models') == 'models'
    assert continuation.allows(_V1)
    assert continuation.allows(_V2)
    with continuation:
        continuation.note_begun(_V2)
    assert not continuation.allows(_V1)
    assert continuation.software_version == 'v2'
    assert streams.tracked == [
        StreamBegun(StreamKey('farm', 'second'), 'models', 'v2')
    ]


async def test_a_stream_that_is_taken_up_goes_on_where_it_has_begun() -> None:
    streams = _Streams()
    continuation = _continuation(streams, '7', 'first')
    assert await continuation.find_service('models') == 'models'
    assert continuation.allows(_V1)
    assert not continuation.allows(_V2)
    continuation.note_begun(_V1)
    assert streams.tracked == [streams.begun]


@pytest.mark.parametrize('resumes', ['unknown', None])
async def test_a_stream_of_an_unknown_version_does_not_go_on(
    resumes: str | None,
) -> None:
    continuation = _continuation(_Streams(), '7', resumes)
    with pytest.raises(UnknownBegin):
        await continuation.find_service('models')


async def test_a_stream_of_the_only_version_goes_on_there_alone() -> None:
    """Guards against a version that registers before the first event."""
    streams = _Streams(several=False)
    continuation = _continuation(streams, '7', 'unknown')
    assert await continuation.find_service('models') == 'models'
    assert continuation.origin == _ORIGIN
    assert continuation.allows(_V1)
    assert not continuation.allows(_V2)
    assert streams.tracked == [
        StreamBegun(StreamKey('farm', 'unknown'), 'models', 'v1')
    ]


async def test_a_stream_goes_on_at_its_service_of_a_split_route() -> None:
    """Guards against the draw of another service for each request."""
    shares = (TrafficShare('models', 1), TrafficShare('other models', 1))
    continuation = _continuation(
        _Streams(several=False), '7', 'unknown', replace(_ROUTE, shares=shares)
    )
    assert await continuation.find_service('other models') == 'models'


async def test_a_stream_does_not_go_on_at_another_service() -> None:
    """The route has been moved since the stream began."""
    continuation = _continuation(_Streams('old models'), '7', 'first')
    with pytest.raises(UnknownBegin):
        await continuation.find_service('models')


async def test_streams_that_callers_can_not_take_up_are_not_told() -> None:
    streams = _Streams()
    continuation = _continuation(
        streams, route=replace(_ROUTE, resumable=False)
    )
    continuation.note_begun(_V1)
    assert not continuation.allows(_V2)
    assert not streams.tracked
