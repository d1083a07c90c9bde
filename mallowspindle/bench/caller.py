"""A caller that follows streamed answers and continues them elsewhere."""

import json
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientError, ClientResponse, ClientSession


@dataclass(slots=True)
class Answer:
    """A streamed answer as the caller has it."""

    request_id: str = ''
    tokens: list[str] = field(default_factory=list)
    last_event_id: str = ''
    finish_reason: str = ''
    continue_at: list[str] = field(default_factory=list)
    error: str = ''
    done: bool = False

    @property
    def text(self) -> str:
        """The whole text so far."""
        return ''.join(self.tokens)


def chat_body(
    prompt: str, max_tokens: int, *, stream: bool = True
) -> dict[str, Any]:
    """Return the body of a chat completion."""
    return {
        'model': 'letters',
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': max_tokens,
        'stream': stream,
    }


def bearer(token: str) -> dict[str, str]:
    """Return the header that carries a token."""
    return {'Authorization': f'Bearer {token}'}


async def start_chat(
    session: ClientSession, url: str, token: str, body: dict[str, Any]
) -> AsyncIterator[Answer]:
    """Send a streamed chat; yield the answer after each event."""
    answer = Answer()
    async with session.post(
        f'{url}/v1/chat/completions', json=body, headers=bearer(token)
    ) as response:
        async for state in _follow(response, answer):
            yield state


async def continue_chat(
    session: ClientSession, url: str, token: str, answer: Answer
) -> AsyncIterator[Answer]:
    """Go on with an answer at another entry VM."""
    headers = {**bearer(token), 'Last-Event-ID': answer.last_event_id}
    path = f'/v1/requests/{answer.request_id}/events'
    async with session.get(f'{url}{path}', headers=headers) as response:
        async for state in _follow(response, answer):
            yield state


async def _follow(
    response: ClientResponse, answer: Answer
) -> AsyncIterator[Answer]:
    if not response.ok:
        answer.error = f'{response.status} {await response.text()}'
        yield answer
        return
    answer.error = ''
    answer.request_id = response.headers['X-Request-Id']
    try:
        async for raw in response.content:
            line = raw.decode().rstrip()
            if line.startswith('id: '):
                answer.last_event_id = line[4:]
            elif line.startswith('data: '):
                _take(answer, line[6:])
                yield answer
    except ClientError as error:
        answer.error = str(error)
        yield answer


def _texts(delta: dict[str, str]) -> list[str]:
    return [text for name, text in delta.items() if name == 'content' and text]


def _take(answer: Answer, payload: str) -> None:
    if payload == '[DONE]':
        answer.done = True
        return
    document = json.loads(payload)
    if 'error' in document:
        answer.error = document['error']['type']
        answer.continue_at = document.get('continue_at', [])
        return
    for choice in document['choices']:
        answer.tokens.extend(_texts(choice['delta']))
        answer.finish_reason = choice['finish_reason'] or ''
