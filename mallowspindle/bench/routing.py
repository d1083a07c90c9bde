"""``make bench``: routing policies compared with baselines under one load.

Each policy runs in a new venture with the same engines and the same load:
organisations with long shared prefixes, short questions, long letters and
bursts. Only ratios between the policies are meaningful, not absolute times.
"""

import asyncio
import random
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from hdrh.histogram import HdrHistogram

from mallowspindle.bench.caller import Answer, chat_body, start_chat
from mallowspindle.bench.venture import Venture, token_of
from mallowspindle.ledger.report import read_report

POLICIES = ('random', 'round_robin', 'least_loaded', 'prefix_only', 'predicted')
ORGANISATIONS = ('large-1', 'large-2', 'small-1', 'small-2', 'small-3')
_ORGANISATION_WEIGHTS = (8, 5, 1, 1, 1)
_ENGINES = 6
_REQUESTS = 240
_RATE_PER_S = 30.0
_BURST_EVERY = 40
_BURST_SIZE = 12
_FIRST_TOKEN_TARGET_MS = 470
_TOKEN_GAP_TARGET_MS = 43
_MAX_MS = 60_000
_EFFECTS_STREAMS = 8


@dataclass
class PolicyResult:
    """The result of one run of a policy."""

    first_token: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MAX_MS, 3)
    )
    token_gap: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MAX_MS, 3)
    )
    served_in_target: dict[str, int] = field(default_factory=dict)
    refused: int = 0
    cost_micro: int = 0
    uncached_tokens: int = 0


@dataclass(frozen=True)
class LoadRequest:
    """One request of the load."""

    at_s: float
    organisation: str
    prompt: str
    max_tokens: int


def make_load(seed: int) -> list[LoadRequest]:
    """Return the requests of one run."""
    rng = random.Random(seed)
    prefixes = {
        name: ' '.join(f'{name}{rng.random()}' for _ in range(1500))
        for name in ORGANISATIONS
    }
    requests: list[LoadRequest] = []
    at_s = 0.0
    for number in range(_REQUESTS):
        in_burst = number % _BURST_EVERY < _BURST_SIZE
        if not in_burst:
            at_s += rng.expovariate(_RATE_PER_S)
        name = rng.choices(ORGANISATIONS, _ORGANISATION_WEIGHTS)[0]
        long_letter = rng.choices((True, False), (15, 85))[0]
        prompt = f'{prefixes[name]} question {number}'
        requests.append(
            LoadRequest(at_s, name, prompt, 80 if long_letter else 15)
        )
    return requests


async def run_policy(policy: str, seed: int) -> PolicyResult:
    """Run the load with one policy."""
    with tempfile.TemporaryDirectory() as folder:
        async with Venture(Path(folder)) as venture:
            await _start(venture, policy)
            result = PolicyResult()
            started_s = time.monotonic()
            await asyncio.gather(
                *(
                    _send_request(venture, request, number, started_s, result)
                    for number, request in enumerate(make_load(seed))
                )
            )
            await asyncio.sleep(1)
            report = await read_report(venture.log_client, _EFFECTS_STREAMS)
            result.cost_micro = report.total_micro()
            result.uncached_tokens = sum(
                entry.tokens
                for entry in report.entries.values()
                if entry.kind in {'prompt', 'recompute'}
            )
            return result


async def _start(venture: Venture, policy: str) -> None:
    venture.overrides = {'routing': {'policy': policy}}
    await venture.start_platform()
    await venture.publish_defaults(*ORGANISATIONS)
    await asyncio.gather(
        *(
            venture.start_engine(
                f'engine-{number}',
                'abcd'[number % 4],
                f'--seed={number}',
                '--cache-tokens=3200',
                '--prefill-rate=6000',
                '--max-batch=8',
            )
            for number in range(_ENGINES)
        )
    )
    await venture.start_nodes({'entry-1': 'a', 'entry-2': 'b', 'entry-3': 'c'})


async def _send_request(
    venture: Venture,
    request: LoadRequest,
    number: int,
    started_s: float,
    result: PolicyResult,
) -> None:
    await asyncio.sleep(started_s + request.at_s - time.monotonic())
    url = venture.process(f'entry-{number % 3 + 1}').url
    sent_s = time.monotonic()
    last_event_s = sent_s
    delays_ms: list[float] = []
    body = chat_body(request.prompt, request.max_tokens)
    answer = Answer()
    async for state in start_chat(
        venture.session, url, token_of(request.organisation), body
    ):
        answer = state
        now = time.monotonic()
        delays_ms.append((now - last_event_s) * 1000)
        last_event_s = now
    if not answer.done:
        result.refused += 1
        return
    first_ms = delays_ms[0]
    result.first_token.record_value(max(1, int(first_ms)))
    gap_ms = statistics.mean(delays_ms[1:])
    result.token_gap.record_value(max(1, int(gap_ms)))
    if first_ms <= _FIRST_TOKEN_TARGET_MS and gap_ms <= _TOKEN_GAP_TARGET_MS:
        served = result.served_in_target
        served[request.organisation] = served.get(request.organisation, 0) + 1


def print_result(policy: str, seed: int, result: PolicyResult) -> None:
    """Print the row of one run."""
    served = sum(result.served_in_target.values())
    first_token, token_gap = result.first_token, result.token_gap
    cost = result.cost_micro / served if served else float('inf')
    small_served = sum(
        count
        for name, count in result.served_in_target.items()
        if name.startswith('small')
    )
    sys.stdout.write(
        f'{policy:<14}{seed:>5}{served:>8}{small_served:>7}{result.refused:>8}'
        f'{cost:>12.0f}{result.uncached_tokens:>11}'
        f'{first_token.get_value_at_percentile(50):>8}'
        f'{first_token.get_value_at_percentile(95):>8}'
        f'{first_token.get_value_at_percentile(99):>8}'
        f'{token_gap.get_value_at_percentile(95):>8}\n'
    )
    sys.stdout.flush()


def main() -> None:
    """Run all policies with each seed."""
    seeds = [int(text) for text in sys.argv[1:]] or [1, 2, 3]
    sys.stdout.write(
        'policy         seed  served  small refused   cost/srv   uncached'
        '  ft p50  ft p95  ft p99 gap p95\n'
    )
    for seed in seeds:
        for policy in POLICIES:
            print_result(policy, seed, asyncio.run(run_policy(policy, seed)))


if __name__ == '__main__':
    main()
