"""Stand-in for a model engine with an OpenAI-compatible API."""

import argparse
import asyncio
import json
import time
from functools import partial
from typing import Any

from aiohttp.web import (
    Application,
    HTTPConflict,
    HTTPNotFound,
    Request,
    Response,
    StreamResponse,
    json_response,
)

from mallowspindle.standins.faults import (
    Faults,
    add_fault_routes,
    drop_connection,
)
from mallowspindle.standins.generation import (
    Generator,
    PrefixCache,
    Speed,
    Stream,
    block_hashes,
)
from mallowspindle.standins.server import serve

_KV_BYTES_PER_TOKEN = 1024


class EngineStandin:
    """Serves one model from a simulated continuous batch."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self._cache = PrefixCache(args.cache_tokens)
        speed = Speed(args.prefill_rate, args.step_s, max_batch=args.max_batch)
        self._generator = Generator(speed, self._cache, args.seed)
        self._streams: dict[str, Stream] = {}
        self._faults = Faults()
        self._load_report: dict[str, Any] = {}
        self._fencing_number = -1
        self._refused_requests = 0
        self._model = args.model

    def app(self) -> Application:
        """Return the HTTP application."""
        app = Application(client_max_size=16_000_000)
        app.router.add_post('/v1/chat/completions', self._complete)
        app.router.add_get('/v1/models', self._list_models)
        app.router.add_get('/v1/streams/{id}', self._resume)
        app.router.add_delete('/v1/streams/{id}', self._cancel)
        app.router.add_get('/load', self._load)
        app.router.add_get('/cache/events', self._list_cache_events)
        app.router.add_post('/kv/export', self._export)
        app.router.add_post('/kv/import', self._import)
        app.router.add_post('/orders', self._handle_order)
        add_fault_routes(app, self._faults)
        app.cleanup_ctx.append(self._background)
        return app

    async def _background(self, app: Application) -> Any:
        tasks = [
            asyncio.create_task(self._generator.run()),
            asyncio.create_task(self._refresh_load_report()),
        ]
        yield
        for task in tasks:
            task.cancel()

    async def _complete(self, request: Request) -> StreamResponse:
        if self._faults.down:
            drop_connection(request)
        if self._faults.leaving or self._faults.consume('refuse'):
            self._refused_requests += 1
            return Response(status=503, headers={'Retry-After': '1'})
        body = await request.json()
        stream = self._start(request.headers.get('X-Request-Id', ''), body)
        if body.get('stream'):
            return await self._follow(request, stream, 0)
        return await self._respond_unstreamed(request, stream)

    def _start(self, attempt_id: str, body: dict[str, Any]) -> Stream:
        prompt = [
            word
            for message in body['messages']
            for word in (message['role'], *str(message['content']).split())
        ]
        stream = Stream(
            attempt_id=attempt_id,
            prompt=prompt,
            target_tokens=int(body.get('max_tokens') or 16),
            priority=int(body.get('priority', 0)),
        )
        self._streams[attempt_id] = stream
        self._generator.submit(stream)
        return stream

    async def _resume(self, request: Request) -> StreamResponse:
        stream = self._streams.get(request.match_info['id'])
        if stream is None or stream.finish_reason == 'cancelled':
            raise HTTPNotFound
        return await self._follow(
            request, stream, int(request.query.get('from', '0'))
        )

    async def _cancel(self, request: Request) -> Response:
        stream = self._streams.pop(request.match_info['id'], None)
        if stream is None:
            raise HTTPNotFound
        stream.finish_reason = stream.finish_reason or 'cancelled'
        return Response()

    async def _follow(
        self, request: Request, stream: Stream, start: int
    ) -> StreamResponse:
        response = StreamResponse(headers=self._headers(stream))
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        stream.followers += 1
        try:
            await self._relay(request, response, stream, start)
        finally:
            stream.followers -= 1
        return response

    async def _relay(
        self,
        request: Request,
        response: StreamResponse,
        stream: Stream,
        start: int,
    ) -> None:
        sent = start
        while not (stream.finish_reason and sent >= len(stream.tokens)):
            async with stream.changed:
                await stream.changed.wait_for(
                    partial(_has_progress, stream, sent)
                )
            for token in stream.tokens[sent:]:
                await asyncio.sleep(self._faults.slow_s)
                await response.write(
                    _encode_event(self._chunk(stream, token), sent)
                )
                sent += 1
                if self._should_cut(sent):
                    drop_connection(request)
                    return
        if stream.finish_reason == 'cancelled' or self._faults.consume(
            'truncate'
        ):
            return
        await response.write(_encode_event(self._last_chunk(stream), sent))
        await response.write(b'data: [DONE]\n\n')

    def _should_cut(self, sent: int) -> bool:
        cut_after = self._faults.cut_after_tokens
        return 0 < cut_after <= sent and self._faults.consume('cuts')

    async def _respond_unstreamed(
        self, request: Request, stream: Stream
    ) -> Response:
        stream.followers += 1
        async with stream.changed:
            await stream.changed.wait_for(lambda: stream.finish_reason)
        stream.followers -= 1
        answer = self._chunk(stream, '')
        answer['choices'] = [
            {
                'index': 0,
                'message': {
                    'role': 'assistant',
                    'content': ''.join(stream.tokens),
                },
                'finish_reason': stream.finish_reason,
            }
        ]
        answer['usage'] = _usage(stream)
        return json_response(answer, headers=self._headers(stream))

    def _headers(self, stream: Stream) -> dict[str, str]:
        crossed = self._faults.consume('cross')
        return {'X-Request-Id': 'other' if crossed else stream.attempt_id}

    def _chunk(self, stream: Stream, token: str) -> dict[str, Any]:
        delta = {'role': 'assistant', 'content': token}
        return {
            'id': stream.attempt_id,
            'object': 'chat.completion.chunk',
            'created': int(time.time()),
            'model': self._model,
            'choices': [{'index': 0, 'delta': delta, 'finish_reason': None}],
        }

    def _last_chunk(self, stream: Stream) -> dict[str, Any]:
        chunk = self._chunk(stream, '')
        chunk['choices'] = [
            {'index': 0, 'delta': {}, 'finish_reason': stream.finish_reason}
        ]
        chunk['usage'] = _usage(stream)
        return chunk

    async def _list_models(self, request: Request) -> Response:
        return json_response(
            {'object': 'list', 'data': [{'id': self._model, 'object': 'model'}]}
        )

    async def _refresh_load_report(self) -> None:
        while True:
            self._load_report = {
                'running': self._generator.running,
                'queued': self._generator.queued,
                'max_batch': self._args.max_batch,
                'prefill_tokens_per_s': self._args.prefill_rate,
                'model': self._model,
            }
            await asyncio.sleep(self._args.report_lag_s)

    async def _load(self, request: Request) -> Response:
        current = {
            'leaving': self._faults.leaving,
            'refused': self._refused_requests,
        }
        return json_response({**self._load_report, **current})

    async def _list_cache_events(self, request: Request) -> Response:
        start = int(request.query.get('from', '0'))
        events = self._cache.events[start:]
        gap = self._args.event_gap
        delivered = [
            event
            for number, event in enumerate(events, start)
            if gap == 0 or number % gap
        ]
        return json_response({'events': delivered, 'next': start + len(events)})

    async def _export(self, request: Request) -> Response:
        parameters = await request.json()
        stream = self._streams.get(parameters['attempt_id'])
        if stream is None:
            raise HTTPNotFound
        tokens = stream.prompt + [token.strip() for token in stream.tokens]
        await asyncio.sleep(
            len(tokens) * _KV_BYTES_PER_TOKEN / self._args.kv_bytes_per_s
        )
        return json_response({'tokens': tokens})

    async def _import(self, request: Request) -> Response:
        parameters = await request.json()
        self._cache.store(block_hashes(parameters['tokens']))
        return Response()

    async def _handle_order(self, request: Request) -> Response:
        order = await request.json()
        fencing_number = int(order['fencing'])
        if self._args.check_fencing and fencing_number < self._fencing_number:
            raise HTTPConflict(text='old fencing number')
        self._fencing_number = fencing_number
        self._model = order.get('model', self._model)
        return json_response({'model': self._model})


def _has_progress(stream: Stream, sent: int) -> bool:
    return len(stream.tokens) > sent or bool(stream.finish_reason)


def _encode_event(chunk: dict[str, Any], index: int) -> bytes:
    return f'id: {index}\ndata: {json.dumps(chunk)}\n\n'.encode()


def _usage(stream: Stream) -> dict[str, Any]:
    return {
        'prompt_tokens': len(stream.prompt),
        'completion_tokens': len(stream.tokens),
        'total_tokens': len(stream.prompt) + len(stream.tokens),
        'prompt_tokens_details': {'cached_tokens': stream.cached_tokens},
    }


def main() -> None:
    """Run the engine stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--model', default='letters')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--cache-tokens', type=int, default=65_536)
    parser.add_argument('--prefill-rate', type=float, default=20_000)
    parser.add_argument('--step-s', type=float, default=0.01)
    parser.add_argument('--max-batch', type=int, default=16)
    parser.add_argument('--report-lag-s', type=float, default=0.5)
    parser.add_argument('--event-gap', type=int, default=7)
    parser.add_argument('--kv-bytes-per-s', type=float, default=50e6)
    parser.add_argument('--check-fencing', action='store_true')
    args = parser.parse_args()
    asyncio.run(serve(EngineStandin(args).app(), args.host, args.port))


if __name__ == '__main__':
    main()
