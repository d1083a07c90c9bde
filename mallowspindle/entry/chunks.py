"""Builds answers in the format of the OpenAI-compatible interface."""

import json
from typing import Any

from xxhash import xxh32_hexdigest

from mallowspindle.attempts.request import (
    AttemptInfo,
    GenerationRequest,
    Progress,
)

_TOKEN_PLACEHOLDER = '\0token\0'
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


def token_chunk_parts(request: GenerationRequest) -> tuple[str, str]:
    """Return the JSON text before and after a token in its chunk."""
    template = chunk(
        request, {'role': 'assistant', 'content': _TOKEN_PLACEHOLDER}, None
    )
    head, _, tail = json.dumps(template).partition(
        json.dumps(_TOKEN_PLACEHOLDER)
    )
    return head, tail


def usage(progress: Progress) -> dict[str, Any]:
    """Return the caller's token usage, with the first attempt's prompt."""
    attempts = progress.attempts
    first = attempts[0] if attempts else None
    prompt_tokens = first.prompt_tokens if first else 0
    return {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': len(progress.tokens),
        'total_tokens': prompt_tokens + len(progress.tokens),
        'prompt_tokens_details': {'cached_tokens': _cached_tokens(first)},
    }


def completion(
    request_id: str, model: str, created_s: float, progress: Progress
) -> dict[str, Any]:
    """Return the complete answer of a finished request."""
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
    """Encode a document as a server-sent event."""
    prefix = f'id: {event_id}\n' if event_id else ''
    return f'{prefix}data: {json.dumps(document)}\n\n'.encode()


def event_id(tokens: list[str], tokens_seen: int) -> str:
    """Return the id of the event that carries token number ``tokens_seen``.

    The id contains a digest of the text so far, so that another entry VM can
    check that its answer begins with the same tokens.
    """
    text = ''.join(tokens[:tokens_seen])
    return f'{tokens_seen}-{xxh32_hexdigest(text.encode())}'


def _cached_tokens(attempt: AttemptInfo | None) -> int:
    return attempt.cached_tokens if attempt else 0
