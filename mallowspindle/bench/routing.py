"""``make bench``: routing policies under the brief's load, against baselines.

One venture after the other, each with the same engines and the same load:
organisations with heavy shared prefixes, short questions, long letters and
bursts. Ratios between the policies are the result, not absolute times.
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
_WEIGHTS = (8, 5, 1, 1, 1)
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
    """What one run of a policy gave."""

    first_token: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MAX_MS, 3)
    )
    gap: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MAX_MS, 3)
    )
    served_in_target: dict[str, int] = field(default_factory=dict)
    refused: int = 0
    cost_micro: int = 0
    uncached_tokens: int = 0


@dataclass(frozen=True)
class Job:
    """One request of the load."""

    at_s: float
    organisation: str
    prompt: str
    max_tokens: int


def make_load(seed: int) -> list[Job]:
    """Return the jobs of one run."""
    chance = random.Random(seed)
    prefixes = {
        name: ' '.join(f'{name}{chance.random()}' for _ in range(1500))
        for name in ORGANISATIONS
    }
    jobs: list[Job] = []
    at_s = 0.0
    for number in range(_REQUESTS):
        in_burst = number % _BURST_EVERY < _BURST_SIZE
        if not in_burst:
            at_s += chance.expovariate(_RATE_PER_S)
        name = chance.choices(ORGANISATIONS, _WEIGHTS)[0]
        long_letter = chance.choices((True, False), (15, 85))[0]
        prompt = f'{prefixes[name]} question {number}'
        jobs.append(Job(at_s, name, prompt, 80 if long_letter else 15))
    return jobs


async def run_policy(policy: str, seed: int) -> PolicyResult:
    """Run the load with one policy."""
    with tempfile.TemporaryDirectory() as folder:
        async with Venture(Path(folder)) as venture:
            await _start(venture, policy)
            outcome = PolicyResult()
            begun_s = time.monotonic()
            await asyncio.gather(
                *(
                    _run_job(venture, job, number, begun_s, outcome)
                    for number, job in enumerate(make_load(seed))
                )
            )
            await asyncio.sleep(1)
            report = await read_report(venture.log_client, _EFFECTS_STREAMS)
            outcome.cost_micro = report.total_micro()
            outcome.uncached_tokens = sum(
                entry.tokens
                for entry in report.entries.values()
                if entry.kind in {'prompt', 'recompute'}
            )
            return outcome


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


async def _run_job(
    venture: Venture,
    job: Job,
    number: int,
    begun_s: float,
    outcome: PolicyResult,
) -> None:
    await asyncio.sleep(begun_s + job.at_s - time.monotonic())
    url = venture.process(f'entry-{number % 3 + 1}').url
    sent_s = time.monotonic()
    last_s = sent_s
    times: list[float] = []
    body = chat_body(job.prompt, job.max_tokens)
    answer = Answer()
    async for state in start_chat(
        venture.session, url, token_of(job.organisation), body
    ):
        answer = state
        now = time.monotonic()
        times.append((now - last_s) * 1000)
        last_s = now
    if not answer.done:
        outcome.refused += 1
        return
    first_ms = times[0]
    outcome.first_token.record_value(max(1, int(first_ms)))
    gap_ms = statistics.mean(times[1:])
    outcome.gap.record_value(max(1, int(gap_ms)))
    if first_ms <= _FIRST_TOKEN_TARGET_MS and gap_ms <= _TOKEN_GAP_TARGET_MS:
        served = outcome.served_in_target
        served[job.organisation] = served.get(job.organisation, 0) + 1


def show(policy: str, seed: int, outcome: PolicyResult) -> None:
    """Print one row."""
    served = sum(outcome.served_in_target.values())
    first, gap = outcome.first_token, outcome.gap
    cost = outcome.cost_micro / served if served else float('inf')
    small = sum(
        count
        for name, count in outcome.served_in_target.items()
        if name.startswith('small')
    )
    sys.stdout.write(
        f'{policy:<14}{seed:>5}{served:>8}{small:>7}{outcome.refused:>8}'
        f'{cost:>12.0f}{outcome.uncached_tokens:>11}'
        f'{first.get_value_at_percentile(50):>8}'
        f'{first.get_value_at_percentile(95):>8}'
        f'{first.get_value_at_percentile(99):>8}'
        f'{gap.get_value_at_percentile(95):>8}\n'
    )
    sys.stdout.flush()


def main() -> None:
    """Run all policies with several seeds."""
    seeds = [int(text) for text in sys.argv[1:]] or [1, 2, 3]
    sys.stdout.write(
        'policy         seed  served  small refused   cost/srv   uncached'
        '  ft p50  ft p95  ft p99 gap p95\n'
    )
    for seed in seeds:
        for policy in POLICIES:
            show(policy, seed, asyncio.run(run_policy(policy, seed)))


if __name__ == '__main__':
    main()
