"""Answers in the shape of the OpenAI-compatible interface."""

import json
from typing import Any

from xxhash import xxh32_hexdigest

from mallowspindle.attempts.request import (
    AttemptInfo,
    GenerationRequest,
    Progress,
)

_MARK = '\0token\0'
DONE_EVENT = b'data: [DONE]\n\n'


def chunk(
    request: GenerationRequest, delta: dict[str, str], finish: str | None
) -> dict[str, Any]:
    """Return one chunk of a streamed answer."""
    return {
        'id': request.request_id,
        'object': 'chat.completion.chunk',
        'created': int(request.accepted_at_s),
        'model': request.model,
        'choices': [{'index': 0, 'delta': delta, 'finish_reason': finish}],
    }


def token_frame(request: GenerationRequest) -> tuple[str, str]:
    """Return the JSON text before and after a token in its chunk."""
    marked = chunk(request, {'role': 'assistant', 'content': _MARK}, None)
    head, _, tail = json.dumps(marked).partition(json.dumps(_MARK))
    return head, tail


def usage(progress: Progress) -> dict[str, Any]:
    """Return the usage as the caller sees it: the first attempt's prompt."""
    attempts = progress.attempts
    first = attempts[0] if attempts else None
    prompt_tokens = first.prompt_tokens if first else 0
    return {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': len(progress.tokens),
        'total_tokens': prompt_tokens + len(progress.tokens),
        'prompt_tokens_details': {'cached_tokens': _cached(first)},
    }


def completion(
    request_id: str, model: str, created_s: float, progress: Progress
) -> dict[str, Any]:
    """Return the whole answer of a request that is done."""
    finish = progress.ending.finish_reason if progress.ending else None
    message = {'role': 'assistant', 'content': ''.join(progress.tokens)}
    return {
        'id': request_id,
        'object': 'chat.completion',
        'created': int(created_s),
        'model': model,
        'choices': [{'index': 0, 'message': message, 'finish_reason': finish}],
        'usage': usage(progress),
    }


def encode_event(document: dict[str, Any], event_id: str = '') -> bytes:
    """Return a server-sent event."""
    prefix = f'id: {event_id}\n' if event_id else ''
    return f'{prefix}data: {json.dumps(document)}\n\n'.encode()


def event_id(tokens: list[str], seen: int) -> str:
    """Return the id of the event after which ``seen`` tokens are known.

    The digest of the text lets another entry VM check that its answer
    begins with the same tokens.
    """
    text = ''.join(tokens[:seen])
    return f'{seen}-{xxh32_hexdigest(text.encode())}'


def _cached(attempt: AttemptInfo | None) -> int:
    return attempt.cached_tokens if attempt else 0
