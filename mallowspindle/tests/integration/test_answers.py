"""Each caller gets its complete answer despite engine and network faults."""

import asyncio

import pytest
import pytest_asyncio

from mallowspindle.bench.caller import (
    Answer,
    bearer,
    chat_body,
    chat_to_end,
    start_chat,
)
from mallowspindle.bench.proxy import FaultProxy
from mallowspindle.bench.venture import Venture, token_of

TOKEN = token_of('farm')
TOKENS = 30

# Bytes of the response after which its connection is closed: inside the status
# line, the headers, the chunk framing, an event id and a JSON body, between
# events, and close to the end.
CUT_OFFSETS = (5, 60, 180, 260, 300, 330, 420, 601, 1000, 2333, 5000, 7000)


@pytest_asyncio.fixture
async def proxied_venture(small_venture: Venture) -> tuple[Venture, FaultProxy]:
    proxy = await FaultProxy.start(small_venture.process('entry-1').address)
    return small_venture, proxy


async def test_interrupted_stream_is_continued(
    proxied_venture: tuple[Venture, FaultProxy],
) -> None:
    venture, proxy = proxied_venture
    others = [venture.process(name).url for name in ('entry-2', 'entry-3')]
    for cut in CUT_OFFSETS:
        proxy.cut_answer_after(cut)
        answer = await chat_to_end(
            venture.session,
            [proxy.url, *others],
            TOKEN,
            chat_body(f'letter {cut}', TOKENS),
        )
        assert answer.done, (cut, answer.error)
        assert len(answer.tokens) == TOKENS, cut
        assert answer.text == await _stored_text(venture, answer), cut
    await proxy.stop()


@pytest.mark.parametrize('fault', ['truncate', 'cross'])
async def test_invalid_engine_answers_are_not_forwarded(
    small_venture: Venture, fault: str
) -> None:
    for name in ('engine-1', 'engine-2'):
        await small_venture.set_faults(name, **{fault: 2})
    url = small_venture.process('entry-1').url
    answer = await chat_to_end(
        small_venture.session, [url], TOKEN, chat_body('letter', TOKENS)
    )
    assert answer.done
    assert len(answer.tokens) == TOKENS
    assert answer.text == await _stored_text(small_venture, answer)


async def test_persistently_invalid_engine_fails_the_request(
    small_venture: Venture,
) -> None:
    for name in ('engine-1', 'engine-2'):
        await small_venture.set_faults(name, cross=100)
    url = small_venture.process('entry-1').url
    body = chat_body('letter', TOKENS, stream=False)
    async with small_venture.session.post(
        f'{url}/v1/chat/completions', json=body, headers=bearer(TOKEN)
    ) as response:
        assert response.status == 502
        assert response.content_type == 'application/problem+json'


async def test_wrong_last_event_id_is_rejected(small_venture: Venture) -> None:
    url = small_venture.process('entry-1').url
    answer = Answer()
    async for answer in start_chat(
        small_venture.session, url, TOKEN, chat_body('letter', TOKENS)
    ):
        assert not answer.error
    headers = {**bearer(TOKEN), 'Last-Event-ID': '10-00000000'}
    path = f'/v1/requests/{answer.request_id}/events'
    for name in ('entry-1', 'entry-2'):
        node_url = small_venture.process(name).url
        async with small_venture.session.get(
            f'{node_url}{path}', headers=headers
        ) as response:
            assert response.status == 409


async def test_other_organisation_gets_not_found(
    small_venture: Venture,
) -> None:
    url = small_venture.process('entry-1').url
    answer = await chat_to_end(
        small_venture.session, [url], TOKEN, chat_body('letter', TOKENS)
    )
    other_headers = bearer(token_of('haulier'))
    for suffix in ('', '/events'):
        for name in ('entry-1', 'entry-2', 'entry-3'):
            node_url = small_venture.process(name).url
            async with small_venture.session.get(
                f'{node_url}/v1/requests/{answer.request_id}{suffix}',
                headers=other_headers,
            ) as response:
                assert response.status == 404


async def test_relayed_answer_is_like_its_owners(
    small_venture: Venture,
) -> None:
    url = small_venture.process('entry-1').url
    answer = await chat_to_end(
        small_venture.session, [url], TOKEN, chat_body('letter', TOKENS)
    )
    bodies = set()
    for name in ('entry-1', 'entry-2', 'entry-3'):
        node_url = small_venture.process(name).url
        async with small_venture.session.get(
            f'{node_url}/v1/requests/{answer.request_id}/events',
            headers=bearer(TOKEN),
        ) as response:
            assert response.headers['X-Request-Id'] == answer.request_id
            assert response.content_type == 'text/event-stream'
            bodies.add(await response.read())
    assert len(bodies) == 1


async def test_concurrent_answers_do_not_cross(small_venture: Venture) -> None:
    url = small_venture.process('entry-2').url
    answers = await asyncio.gather(
        *(
            chat_to_end(
                small_venture.session,
                [url],
                TOKEN,
                chat_body(f'letter {number}', 20 + number),
            )
            for number in range(24)
        )
    )
    for number, answer in enumerate(answers):
        assert len(answer.tokens) == 20 + number
        assert answer.text == await _stored_text(small_venture, answer)


async def _stored_text(venture: Venture, answer: Answer) -> str:
    url = venture.process('entry-3').url
    stored = await venture.get(f'{url}/v1/requests/{answer.request_id}', TOKEN)
    return str(stored['answer']['choices'][0]['message']['content'])
