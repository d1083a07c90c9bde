"""Models of request bodies, and their conversion to requests."""

from typing import Any, Literal, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from mallowspindle.attempts.request import GenerationRequest, RequestKind
from mallowspindle.entry.problems import ProblemError
from mallowspindle.settings.documents import Organisation
from mallowspindle.utils.identifiers import new_id

BodyT = TypeVar('BodyT', bound=BaseModel)

_BAD_REQUEST = 400
_DEFAULT_MAX_TOKENS = 256
_CHAT_PRIORITY, _BUNDLE_PRIORITY, _BATCH_PRIORITY = 0, 5, 9


class Message(BaseModel):
    """One message of a chat; other fields are passed on to the engine."""

    model_config = ConfigDict(extra='allow')

    role: Literal['system', 'developer', 'user', 'assistant', 'tool']
    content: str | list[dict[str, Any]] | None = ''


class StreamOptions(BaseModel):
    """Options of a streamed answer."""

    model_config = ConfigDict(extra='allow')

    include_usage: bool = False


class ChatBody(BaseModel):
    """Body of a chat completion; other fields are passed on to the engine."""

    model_config = ConfigDict(extra='allow')

    model: str = Field(min_length=1)
    messages: list[Message] = Field(min_length=1)
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = Field(None, ge=1)
    max_completion_tokens: int | None = Field(None, ge=1)
    choices: int = Field(1, ge=1, le=1, alias='n')


class BundleBody(ChatBody):
    """Body of a long job, answered later and by ``deadline_s`` (Unix time)."""

    deadline_s: float = Field(0, ge=0)
    batch: bool = False


def parse_body(model: type[BodyT], raw: bytes) -> BodyT:
    """Validate a body; raise a 400 problem that lists all its errors."""
    try:
        return model.model_validate_json(raw)
    except ValidationError as error:
        details = '; '.join(
            f'{".".join(str(part) for part in detail["loc"])}: {detail["msg"]}'
            for detail in error.errors()
        )
        raise ProblemError(_BAD_REQUEST, 'invalid-request', details) from error


def generation_request(
    body: ChatBody,
    organisation: Organisation,
    kind: RequestKind,
    deadline_s: float,
    now_s: float,
) -> GenerationRequest:
    """Convert a validated body to a request to be accepted.

    ``deadline_s`` and ``now_s`` are Unix time.
    """
    limit = body.max_tokens or body.max_completion_tokens
    return GenerationRequest(
        request_id=new_id('req'),
        organisation=organisation.name,
        organisation_path=organisation.path,
        model=body.model,
        kind=kind,
        body=body.model_dump(
            exclude={
                'model',
                'stream',
                'stream_options',
                'max_tokens',
                'max_completion_tokens',
                'deadline_s',
                'batch',
                'choices',
            },
            exclude_none=True,
        ),
        max_tokens=limit or _DEFAULT_MAX_TOKENS,
        priority=_priority(body, kind),
        accepted_at_s=now_s,
        deadline_s=deadline_s,
    )


def _priority(body: ChatBody, kind: RequestKind) -> int:
    if kind == RequestKind.CHAT:
        return _CHAT_PRIORITY
    batch = isinstance(body, BundleBody) and body.batch
    return _BATCH_PRIORITY if batch else _BUNDLE_PRIORITY
