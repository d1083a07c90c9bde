"""The path from callers to backend servers through real processes."""

from typing import Any

from openai import AsyncOpenAI
from openai.types.chat import ChatCompletionMessageParam

from mallowspindle.bench.caller import bearer, chat_body, start_chat
from mallowspindle.bench.venture import Venture, token_of


async def test_openai_client_gets_complete_answers(
    small_venture: Venture,
) -> None:
    client = AsyncOpenAI(
        api_key=token_of('haulier'),
        base_url=f'{small_venture.process("entry-1").url}/v1',
    )
    models = await client.models.list()
    assert [model.id for model in models.data] == ['letters']

    messages: list[ChatCompletionMessageParam] = [
        {'role': 'user', 'content': 'read this bundle'}
    ]
    complete = await client.chat.completions.create(
        model='letters', messages=messages, max_tokens=12
    )
    text = complete.choices[0].message.content or ''
    assert len(text.split()) == 12
    assert complete.choices[0].finish_reason == 'length'

    stream = await client.chat.completions.create(
        model='letters',
        messages=messages,
        max_tokens=12,
        stream=True,
        stream_options={'include_usage': True},
    )
    chunks = [chunk async for chunk in stream]
    pieces = [
        chunk.choices[0].delta.content
        for chunk in chunks
        if chunk.choices and chunk.choices[0].delta.content
    ]
    assert len(pieces) == 12
    assert chunks[-1].usage
    assert chunks[-1].usage.completion_tokens == 12
    await client.close()


async def test_non_idempotent_call_runs_once(small_venture: Venture) -> None:
    headers = {**bearer(token_of('haulier')), 'Idempotency-Key': 'claim-1'}
    answers = []
    for name in ('entry-1', 'entry-2', 'entry-3'):
        url = f'{small_venture.process(name).url}/v1/services/claims/submit'
        async with small_venture.session.post(
            url, json={'claim': 1}, headers=headers
        ) as response:
            assert response.status == 200, await response.text()
            answers.append(await response.json())
    assert answers[0] == answers[1] == answers[2]
    assert len(await small_venture.runs('claims-1')) == 1


async def test_bundle_is_fetched_from_another_node(
    small_venture: Venture,
) -> None:
    token = token_of('haulier')
    url = small_venture.process('entry-1').url
    async with small_venture.session.post(
        f'{url}/v1/bundles',
        json=chat_body('a long bundle', 30),
        headers=bearer(token),
    ) as response:
        assert response.status == 202, await response.text()
        location = response.headers['Location']

    other = f'{small_venture.process("entry-3").url}{location}'

    async def is_done() -> bool:
        status = await small_venture.get(other, token)
        return status['status'] == 'done'

    await small_venture.wait_until(is_done)
    status = await small_venture.get(other, token)
    content = status['answer']['choices'][0]['message']['content']
    assert len(content.split()) == 30
    assert await small_venture.get(other, token_of('farm')) is None


async def test_addresses_list_own_zone_first(small_venture: Venture) -> None:
    url = small_venture.process('entry-1').url
    listed = await small_venture.get(f'{url}/v1/addresses?zone=b')
    assert listed['addresses'][0] == small_venture.process('entry-2').address
    assert len(listed['addresses']) == 3
    assert listed['valid_for_s'] > 0


async def test_refusals_are_problem_documents(small_venture: Venture) -> None:
    url = small_venture.process('entry-1').url
    cases: tuple[Any, ...] = (
        ('bad-token', '/v1/chat/completions', chat_body('x', 1), 401),
        (token_of('farm'), '/v1/chat/completions', {'model': 'm'}, 400),
        (token_of('farm'), '/v1/chat/completions', {'x': 'y' * 3_000_000}, 413),
        (token_of('farm'), '/v1/services/claims/submit', {}, 400),
    )
    for token, path, body, status in cases:
        async with small_venture.session.post(
            f'{url}{path}', json=body, headers=bearer(token)
        ) as response:
            assert response.status == status
            assert response.content_type == 'application/problem+json'


async def test_stream_events_have_ids(small_venture: Venture) -> None:
    url = small_venture.process('entry-2').url
    body = chat_body('hello', 20)
    async for answer in start_chat(
        small_venture.session, url, token_of('farm'), body
    ):
        assert not answer.error
    assert answer.done
    assert len(answer.tokens) == 20
    assert answer.last_event_id.startswith('20-')
