"""Tests of the header codec of the users' platform."""

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from mallowspindle.platform.codec import PlatformHttpCodec
from mallowspindle.proxy.errors import BadRequest
from mallowspindle.proxy.messages import (
    Dispatch,
    LoadReport,
    PromptPart,
    StatedLimit,
)

CODEC = PlatformHttpCodec()
# Python converts no numbers of more than 4300 digits.
_HUGE = '9' * 5000
REQUIRED_HEADERS = {'Host': 'shop.example', 'Request-Id': 'r1'}


def _headers(**changes: str) -> CIMultiDictProxy[str]:
    extra_headers = {
        name.replace('_', '-'): text for name, text in changes.items()
    }
    return CIMultiDictProxy(CIMultiDict({**REQUIRED_HEADERS, **extra_headers}))


def test_a_request_is_decoded() -> None:
    request = CODEC.decode_request(
        'POST',
        '/a/b?c=1',
        _headers(
            Authorization='Token secret',
            Deadline_Ms='1500',
            Token_Count='1460,80',
            Prompt_Prefix='5c:800,91:410',
            Last_Event_Id='12',
            Length_Hint='70',
        ),
    )
    assert request.path == '/a/b'
    assert request.key == 'secret'
    assert request.patience_s == pytest.approx(1.5)
    assert request.tokens == 1540
    assert request.prompt == (PromptPart('5c', 800), PromptPart('91', 410))
    assert request.last_event_id == '12'


@pytest.mark.parametrize(
    'changes',
    [
        {'Deadline_Ms': 'x'},
        {'Token_Count': '5'},
        {'Token_Count': 'a,b'},
        {'Prompt_Prefix': '5c'},
        {'Prompt_Prefix': f'5c:{_HUGE}'},
        {'Deadline_Ms': _HUGE},
        {'Deadline_Ms': '9' * 400},
        {'Deadline_Ms': '-5'},
        {'Deadline_Ms': '1_000'},
        {'Length_Hint': _HUGE},
        {'Token_Count': f'{_HUGE},80'},
        {'Token_Count': '-1000,80'},
        {'Token_Count': '1,2,3'},
        {'Request_Id': ''},
    ],
)
def test_malformed_requests_are_refused(changes: dict[str, str]) -> None:
    with pytest.raises(BadRequest):
        CODEC.decode_request('GET', '/', _headers(**changes))


def test_a_target_with_a_fragment_is_refused() -> None:
    """Guards against a server that gets another target than the caller sent."""
    with pytest.raises(BadRequest):
        CODEC.decode_request('GET', '/a#b', _headers())


def test_reserved_headers_of_callers_are_not_forwarded() -> None:
    request = CODEC.decode_request(
        'POST',
        '/',
        _headers(
            Authorization='Token secret',
            Tenant='forged',
            Kv_Backup='10.0.0.9:80',
            Kv_From='10.0.0.9:80/1',
            Pin_Ms='100',
            Hold='h',
            Request_Priority='0',
            Connection='close, X-Hop',
            X_Hop='1',
            X_Own='kept',
        ),
    )
    sent = CODEC.encode_dispatch(
        request, Dispatch('i-1', 1.25, organisation='farm')
    )
    assert dict(sent) == {
        'Host': 'shop.example',
        'Request-Id': 'r1',
        'X-Own': 'kept',
        'Expect-Instance': 'i-1',
        'Deadline-Ms': '1250',
        'Tenant': 'farm',
    }


@pytest.mark.parametrize(
    ('status', 'changes', 'not_run'),
    [
        (503, {'Not_Executed': '1'}, True),
        (421, {}, True),
        (503, {}, False),
        (500, {}, False),
        (200, {}, False),
    ],
)
def test_not_run_requires_an_explicit_server_statement(
    status: int, changes: dict[str, str], *, not_run: bool
) -> None:
    head = CODEC.decode_response_head(status, _headers(**changes))
    assert head.not_run == not_run


def test_server_load_is_decoded() -> None:
    head = CODEC.decode_response_head(200, _headers(Server_Load='3,1,8'))
    assert head.load == LoadReport(3, 1)
    assert 'Server-Load' not in head.headers
    malformed = CODEC.decode_response_head(200, _headers(Server_Load='many'))
    assert malformed.load is None


@pytest.mark.parametrize(
    ('fourth', 'slowdown'),
    [
        ('100', 1),
        (' 250 ', 2.5),
        ('60', 0.6),
        ('10', 0.1),
        ('10000', 100),
        ('', None),
        ('0', None),
        ('9', None),
        ('10001', None),
        ('-250', None),
        ('2.5', None),
        ('nan', None),
        ('slow', None),
        (_HUGE, None),
        ('250,7', 2.5),
    ],
)
def test_slowdown_of_server_is_decoded(
    fourth: str, slowdown: float | None
) -> None:
    """Guards against counts that are lost for an odd figure beside them."""
    head = CODEC.decode_response_head(
        200, _headers(Server_Load=f'3,1,8,{fourth}')
    )
    assert head.load == LoadReport(3, 1, slowdown)


@pytest.mark.parametrize(
    ('text', 'limit'),
    [
        ('2.5', StatedLimit(2.5)),
        ('0', StatedLimit(0)),
        ('-1', None),
        ('nan', None),
        ('inf', None),
        ('many', None),
    ],
)
def test_server_limit_is_decoded(text: str, limit: StatedLimit | None) -> None:
    head = CODEC.decode_response_head(200, _headers(Server_Limit=text))
    assert head.limit == limit


def test_server_without_limit_states_that_there_is_none() -> None:
    head = CODEC.decode_response_head(200, _headers())
    assert head.limit == StatedLimit(None)


@pytest.mark.parametrize(
    'date', ['01 Jan 2020 00:00:00', '01 Jan 2090 00:00:00']
)
def test_pauses_until_a_date_follow_the_clock_of_the_server(date: str) -> None:
    """Guards against pauses that a jump of the VM's time changes."""
    until = date.replace('00:00:00', '00:00:07')
    headers = CIMultiDictProxy(
        CIMultiDict(
            {'Retry-After': f'Thu, {until} GMT', 'Date': f'Thu, {date} GMT'}
        )
    )
    head = PlatformHttpCodec().decode_response_head(503, headers)
    assert head.pause_s == pytest.approx(7)


@pytest.mark.parametrize(
    ('status', 'text', 'pause_s'),
    [
        (503, '1.5', 1.5),
        (503, '0', 0),
        (503, '-3', 0),
        (503, '1e9', 3600),
        (503, 'nan', 0),
        (503, 'soon', 0),
        (503, 'Thu, 01 Jan 1970 00:00:00 GMT', 0),
        (503, 'Fri, 01 Jan 2100 00:00:00 GMT', 3600),
        (200, '1.5', 0),
    ],
)
def test_pauses_that_servers_ask_for(
    status: int, text: str, pause_s: float
) -> None:
    headers = CIMultiDictProxy(CIMultiDict({'Retry-After': text}))
    head = PlatformHttpCodec().decode_response_head(status, headers)
    assert head.pause_s == pytest.approx(pause_s)


@pytest.mark.parametrize(
    'changes',
    [
        {'Server_Load': f'{_HUGE},1,8'},
        {'Server_Load': f'1,{_HUGE},8'},
        {'Server_Load': '\u0661,\u0662,8'},
        {'Server_Limit': _HUGE},
        {'Server_Limit': '1e999'},
        {'Server_Limit': '-1'},
        {'Retry_After': _HUGE},
        {'Retry_After': 'Mon, 01 Jan 0001 00:00:00 -0000'},
        {'Retry_After': 'Fri, 31 Dec 9999 23:59:59 -2359'},
        {'Retry_After': f'Mon, {_HUGE} Jan 2026 00:00:00 GMT'},
    ],
)
def test_statements_of_servers_that_are_out_of_range_are_ignored(
    changes: dict[str, str],
) -> None:
    """Guards against answers that are lost for a header beside them."""
    head = CODEC.decode_response_head(503, _headers(**changes))
    assert head.status == 503
    assert head.load is None
    assert head.limit is None or head.limit.per_s is None
    assert 0 <= head.pause_s <= 3600
