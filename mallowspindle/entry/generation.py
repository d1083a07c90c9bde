"""HTTP handlers for chat completions, bundles and their answers."""

import json

from aiohttp.web import Request, Response, StreamResponse, json_response
from opentelemetry.trace import SpanKind

from mallowspindle.attempts.request import (
    GenerationRequest,
    OwnedRequest,
    Progress,
    RequestKind,
)
from mallowspindle.entry import chunks
from mallowspindle.entry.context import EntryContext
from mallowspindle.entry.models import (
    BundleBody,
    ChatBody,
    generation_request,
    parse_body,
)
from mallowspindle.entry.problems import ProblemError
from mallowspindle.entry.relay import AnswerRelay
from mallowspindle.entry.streaming import AnswerStream
from mallowspindle.recovery.messages import FindRequestReply
from mallowspindle.settings.documents import Organisation
from mallowspindle.utils.telemetry import hop_span

_ACCEPTED = 202
_BAD_REQUEST = 400
_FORBIDDEN = 403
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503
_WILDCARD = '*'
_RETRY_AFTER_S = 1.0


class GenerationHandlers:
    """Handlers of requests to models."""

    def __init__(self, context: EntryContext, relay: AnswerRelay) -> None:
        self._context = context
        self._relay = relay

    async def chat(self, request: Request) -> StreamResponse:
        """Answer a chat completion, as a stream or in one response."""
        organisation = self._context.organisation(request)
        body = parse_body(ChatBody, await request.read())
        now_s = self._context.membership.clock.now_s()
        deadline_s = now_s + self._context.config.limits.chat_deadline_s
        new_request = generation_request(
            body, organisation, RequestKind.CHAT, deadline_s, now_s
        )
        self._admit(organisation, new_request)
        with (
            self._context.limits.track_request(organisation.name),
            hop_span('chat', SpanKind.SERVER, request.headers),
        ):
            owned = await self._context.attempts.accept(new_request)
            if body.stream:
                options = body.stream_options
                return await self._stream(
                    request, owned, 0, bool(options and options.include_usage)
                )
            return await self._completion_response(owned)

    async def bundle(self, request: Request) -> Response:
        """Accept a bundle; the caller fetches its answer later."""
        organisation = self._context.organisation(request)
        body = parse_body(BundleBody, await request.read())
        now_s = self._context.membership.clock.now_s()
        if body.deadline_s and body.deadline_s <= now_s:
            raise ProblemError(
                _BAD_REQUEST, 'invalid-request', 'deadline_s has passed'
            )
        new_request = generation_request(
            body, organisation, RequestKind.BUNDLE, body.deadline_s, now_s
        )
        self._admit(organisation, new_request)
        with (
            self._context.limits.track_request(organisation.name),
            hop_span('bundle', SpanKind.SERVER, request.headers),
        ):
            owned = await self._context.attempts.accept(new_request)
        location = f'/v1/requests/{owned.request.request_id}'
        return json_response(
            {'id': owned.request.request_id, 'status': owned.state},
            status=_ACCEPTED,
            headers={'Location': location},
        )

    async def status(self, request: Request) -> Response:
        """Return the state of a request, and its answer once it is done."""
        reply = await self._find(request)
        request_id = request.match_info['request_id']
        document: dict[str, object] = {
            'id': request_id,
            'status': status_of(reply),
            'owner': reply.owner,
            'tokens': len(reply.tokens),
        }
        if reply.ending is not None and reply.ending.failure:
            document['failure'] = reply.ending.failure
        elif reply.ending is not None:
            progress = Progress(reply.tokens, [], reply.ending)
            document['answer'] = chunks.completion(
                request_id, reply.model, 0, progress
            )
        return json_response(document)

    async def events(self, request: Request) -> StreamResponse:
        """Continue a streamed answer after ``Last-Event-ID``."""
        reply = await self._find(request)
        request_id = request.match_info['request_id']
        owned = self._context.recovery.owned.get(request_id)
        if owned is None or owned.moved_to:
            return await self._relay.forward(
                request, self._owner_address(reply)
            )
        tokens_seen = _parse_last_event_id(request)
        await self._verify_last_event_id(request, owned, tokens_seen)
        return await self._stream(request, owned, tokens_seen, False)

    async def models(self, request: Request) -> Response:
        """List the models that the organisation may use."""
        organisation = self._context.organisation(request)
        allowed = [
            {'id': model, 'object': 'model', 'created': 0, 'owned_by': ''}
            for model in self._context.directory.models()
            if is_allowed(model, organisation.access.models)
        ]
        return json_response({'object': 'list', 'data': allowed})

    def _admit(
        self, organisation: Organisation, new_request: GenerationRequest
    ) -> None:
        """Raise a problem if the request can't be accepted."""
        self._context.ensure_accepting()
        if not is_allowed(new_request.model, organisation.access.models):
            raise ProblemError(
                _NOT_FOUND, 'model-not-found', f'no model {new_request.model}'
            )
        self._context.ensure_within_limits(organisation)
        refusal = self._context.attempts.refusal(new_request.model)
        if refusal is not None:
            raise self._context.not_run_problem(refusal)

    async def _stream(
        self,
        request: Request,
        owned: OwnedRequest,
        tokens_seen: int,
        include_usage: bool,
    ) -> StreamResponse:
        """Stream the answer; raise a problem if it fails before a token."""
        await owned.wait_for_tokens_after(tokens_seen)
        if not owned.progress.tokens:
            _raise_failure(owned)
        answer = AnswerStream(owned, include_usage=include_usage)
        return await answer.serve(
            request, tokens_seen, self._context.other_addresses
        )

    async def _completion_response(self, owned: OwnedRequest) -> Response:
        await owned.wait_final()
        _raise_failure(owned)
        if owned.moved_to:
            raise ProblemError(
                _UNAVAILABLE,
                'moved',
                f'request {owned.request.request_id} goes on elsewhere',
                _RETRY_AFTER_S,
                self._context.other_addresses(),
            )
        return json_response(
            chunks.completion(
                owned.request.request_id,
                owned.request.model,
                owned.request.accepted_at_s,
                owned.progress,
            ),
            headers={'X-Request-Id': owned.request.request_id},
        )

    async def _find(self, request: Request) -> FindRequestReply:
        """Return a request of the caller's organisation.

        Raise a 404 problem if there is none.
        """
        organisation = self._context.organisation(request)
        request_id = request.match_info['request_id']
        reply = await self._context.recovery.find(request_id)
        if reply.owner and reply.organisation == organisation.name:
            return reply
        raise ProblemError(_NOT_FOUND, 'not-found', f'no request {request_id}')

    def _owner_address(self, reply: FindRequestReply) -> str:
        owner = self._context.membership.table.find(reply.owner)
        if owner is None or not owner.info.http_address:
            raise ProblemError(
                _UNAVAILABLE,
                'moving',
                'the request is being taken over',
                _RETRY_AFTER_S,
            )
        return owner.info.http_address

    async def _verify_last_event_id(
        self, request: Request, owned: OwnedRequest, tokens_seen: int
    ) -> None:
        """Raise a 409 problem if the caller holds different tokens."""
        last_event_id = request.headers.get('Last-Event-ID', '')
        if not tokens_seen:
            return
        if len(owned.progress.tokens) < tokens_seen:
            await owned.wait_for_tokens_after(tokens_seen - 1)
        if chunks.event_id(owned.progress.tokens, tokens_seen) != last_event_id:
            raise ProblemError(
                _CONFLICT,
                'other-answer',
                'the answer was computed anew; read it from its start',
            )


def is_allowed(name: str, allowed: list[str]) -> bool:
    """Return whether a list of the settings allows a name."""
    return _WILDCARD in allowed or name in allowed


def status_of(reply: FindRequestReply) -> str:
    """Return the state of a request as reported to callers."""
    if reply.ending is None:
        return 'running' if reply.tokens else 'accepted'
    return 'failed' if reply.ending.failure else 'done'


def _parse_last_event_id(request: Request) -> int:
    last_event_id = request.headers.get('Last-Event-ID', '')
    number = last_event_id.split('-', 1)[0]
    if last_event_id and not number.isdecimal():
        raise ProblemError(
            _BAD_REQUEST, 'invalid-request', 'Last-Event-ID is not of ours'
        )
    return int(number or 0)


def _raise_failure(owned: OwnedRequest) -> None:
    ending = owned.progress.ending
    if ending is None or not ending.failure:
        return
    kind = 'not-run' if ending.status == _UNAVAILABLE else 'failed'
    raise ProblemError(
        ending.status,
        kind,
        _engine_error_message(ending.failure),
        ending.retry_after_s,
    )


def _engine_error_message(failure: str) -> str:
    """Return the message of an engine's JSON error, else the text itself."""
    try:
        return str(json.loads(failure)['error']['message'])
    except (ValueError, KeyError, TypeError):
        return failure
