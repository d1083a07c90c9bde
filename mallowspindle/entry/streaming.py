"""Streams the answer of a request as server-sent events."""

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress

from aiohttp import ClientConnectionError
from aiohttp.web import Request, StreamResponse
from xxhash import xxh32

from mallowspindle.attempts.request import OwnedRequest
from mallowspindle.entry import chunks

_KEEPALIVE_INTERVAL_S = 15.0


class AnswerStream:
    """Streams the answer of one request to one caller."""

    def __init__(self, owned: OwnedRequest, *, include_usage: bool) -> None:
        self._owned = owned
        self._include_usage = include_usage
        self._digest = xxh32()
        self._tokens_seen = 0
        self._chunk_parts = chunks.token_chunk_parts(owned.request)

    async def serve(
        self,
        request: Request,
        tokens_seen: int,
        alternatives: Callable[[], tuple[str, ...]],
    ) -> StreamResponse:
        """Send all tokens after the first ``tokens_seen``, then the ending.

        ``alternatives`` returns the addresses to send if the request has moved
        to another node.
        """
        response = StreamResponse()
        response.content_type = 'text/event-stream'
        response.headers['X-Request-Id'] = self._owned.request.request_id
        response.headers['Cache-Control'] = 'no-cache'
        await response.prepare(request)
        self._skip_tokens(tokens_seen)
        with suppress(ClientConnectionError, ConnectionResetError):
            await self._send_tokens(response)
            await self._send_ending(response, alternatives())
            await response.write_eof()
        return response

    def _skip_tokens(self, tokens_seen: int) -> None:
        for token in self._owned.progress.tokens[:tokens_seen]:
            self._digest.update(token.encode())
        self._tokens_seen = tokens_seen

    async def _send_tokens(self, response: StreamResponse) -> None:
        while True:
            await self._wait_for_more(response)
            new_tokens = self._owned.progress.tokens[self._tokens_seen :]
            events = [self._token_event(token) for token in new_tokens]
            if events:
                await response.write(b''.join(events))
            elif self._owned.is_final:
                return

    async def _wait_for_more(self, response: StreamResponse) -> None:
        """Wait for tokens; send comments to keep the connection open."""
        while True:
            try:
                async with asyncio.timeout(_KEEPALIVE_INTERVAL_S):
                    return await self._owned.wait_for_tokens_after(
                        self._tokens_seen
                    )
            except TimeoutError:
                await response.write(b': keep-alive\n\n')

    def _token_event(self, token: str) -> bytes:
        self._tokens_seen += 1
        self._digest.update(token.encode())
        head, tail = self._chunk_parts
        return (
            f'id: {self._tokens_seen}-{self._digest.hexdigest()}\n'
            f'data: {head}{json.dumps(token)}{tail}\n\n'
        ).encode()

    async def _send_ending(
        self, response: StreamResponse, addresses: tuple[str, ...]
    ) -> None:
        ending = self._owned.progress.ending
        if self._owned.moved_to or ending is None:
            await response.write(
                chunks.encode_event(self._moved_document(addresses))
            )
        elif ending.failure:
            await response.write(
                chunks.encode_event(_error_document('failed', ending.failure))
            )
        else:
            await self._send_last_chunks(response, ending.finish_reason)

    async def _send_last_chunks(
        self, response: StreamResponse, finish_reason: str
    ) -> None:
        request = self._owned.request
        last_chunk = chunks.chunk(request, {}, finish_reason)
        await response.write(chunks.encode_event(last_chunk))
        if self._include_usage:
            usage_chunk = {
                **chunks.chunk(request, {}, None),
                'choices': [],
                'usage': chunks.usage(self._owned.progress),
            }
            await response.write(chunks.encode_event(usage_chunk))
        await response.write(chunks.DONE_EVENT)

    def _moved_document(self, addresses: tuple[str, ...]) -> dict[str, object]:
        path = f'/v1/requests/{self._owned.request.request_id}/events'
        return {
            **_error_document(
                'moved', 'the answer goes on at another entry VM'
            ),
            'continue_at': [f'http://{name}{path}' for name in addresses],
            'last_event_id': f'{self._tokens_seen}-{self._digest.hexdigest()}',
        }


def _error_document(kind: str, message: str) -> dict[str, object]:
    return {'error': {'message': message, 'type': kind, 'code': kind}}
