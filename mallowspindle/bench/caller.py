"""A caller that follows streamed answers across entry VMs."""

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientError, ClientResponse, ClientSession

_MAX_ATTEMPTS = 40
_RETRY_DELAY_S = 0.2


@dataclass(slots=True)
class Answer:
    """The part of a streamed answer that the caller has received.

    ``continuations`` counts the requests for the rest of the answer.
    """

    request_id: str = ''
    tokens: list[str] = field(default_factory=list)
    last_event_id: str = ''
    finish_reason: str = ''
    continue_at: list[str] = field(default_factory=list)
    error: str = ''
    done: bool = False
    continuations: int = 0

    @property
    def text(self) -> str:
        """The text received so far."""
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
    """Return the authorization header for a token."""
    return {'Authorization': f'Bearer {token}'}


async def start_chat(
    session: ClientSession,
    url: str,
    token: str,
    body: dict[str, Any],
    answer: Answer | None = None,
) -> AsyncIterator[Answer]:
    """Send a streaming chat request; yield the answer after each event."""
    answer = answer or Answer()
    async with session.post(
        f'{url}/v1/chat/completions', json=body, headers=bearer(token)
    ) as response:
        async for state in _follow(response, answer):
            yield state


async def continue_chat(
    session: ClientSession, url: str, token: str, answer: Answer
) -> AsyncIterator[Answer]:
    """Continue an answer at another entry VM."""
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
    request_id = response.headers.get('X-Request-Id', '')
    answer.request_id = answer.request_id or request_id
    if not request_id:
        answer.error = 'the response has no X-Request-Id header'
        yield answer
        return
    reader = _EventReader(answer)
    try:
        async for raw in response.content:
            if reader.read_line(raw):
                yield answer
    except ClientError as error:
        answer.error = str(error)
        yield answer
    if not answer.done and not answer.error:
        answer.error = 'the stream ended before [DONE]'
        yield answer


class _EventReader:
    """Parses server-sent events; the empty line completes an event."""

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._event_id = ''
        self._payload = ''

    def read_line(self, raw: bytes) -> bool:
        """Read one line; return whether it completes an event."""
        line = raw.decode()
        if line.startswith('id: '):
            self._event_id = line[4:].rstrip()
        elif line.startswith('data: '):
            self._payload = line[6:].rstrip()
        elif line == '\n' and self._payload:
            self._apply()
            return True
        return False

    def _apply(self) -> None:
        _apply_payload(self._answer, self._payload)
        self._answer.last_event_id = self._event_id
        self._payload = ''


def _delta_texts(delta: dict[str, str]) -> list[str]:
    text = delta.get('content', '')
    return list(filter(None, (text,)))


def _apply_payload(answer: Answer, payload: str) -> None:
    if payload == '[DONE]':
        answer.done = True
        return
    document = json.loads(payload)
    error = document.get('error')
    if error:
        answer.error = error['type']
    answer.continue_at = document.get('continue_at', [])
    for choice in document.get('choices', []):
        answer.tokens.extend(_delta_texts(choice['delta']))
        answer.finish_reason = choice['finish_reason'] or ''


async def chat_to_end(
    session: ClientSession,
    urls: list[str],
    token: str,
    body: dict[str, Any],
    answer: Answer | None = None,
) -> Answer:
    """Fetch a complete answer, and continue it where an entry VM says.

    Refused requests and interrupted streams are retried at the next address.
    The answer's ``error`` is set if ``_MAX_ATTEMPTS`` did not suffice. A caller
    that passes an ``answer`` can follow its progress.
    """
    answer = answer or Answer()
    targets = list(urls)
    for number in range(_MAX_ATTEMPTS):
        url = targets[number % len(targets)]
        try:
            answer = await _send_once(session, url, token, body, answer)
        except ClientError as error:
            answer.error = str(error)
        if answer.done:
            return answer
        if answer.continue_at:
            targets = [link.split('/v1/')[0] for link in answer.continue_at]
            answer.continue_at = []
        else:
            await asyncio.sleep(_RETRY_DELAY_S)
    return answer


async def _send_once(
    session: ClientSession,
    url: str,
    token: str,
    body: dict[str, Any],
    answer: Answer,
) -> Answer:
    if answer.request_id:
        answer.continuations += 1
        states = continue_chat(session, url, token, answer)
    else:
        states = start_chat(session, url, token, body, answer)
    async for state in states:
        answer = state
    return answer
