"""The simulated engine prefills in chunks and caches prefixes."""

import pytest
from simpy import Environment

from mallowspindle.lab.engine import Engine, Run
from mallowspindle.lab.scenario import EngineSpec
from mallowspindle.proxy.messages import PromptPart

SPEC = EngineSpec(attention_s_per_pair=0)


def _engine(env: Environment) -> Engine:
    return Engine(env, 'one', 'a', reclaimable=False, spec=SPEC)


def _run(env: Environment, own: str, tokens: int = 6400) -> Run:
    prompt = (PromptPart(f'shared-{tokens}', tokens), PromptPart(own, 64))
    return Run(prompt, tokens + 64, 50, env.event())


def test_first_event_follows_the_prefill() -> None:
    env = Environment()
    engine, run = _engine(env), _run(env, 'x')
    engine.submit(run)
    env.run(until=run.ended)
    prefill_s = run.prompt_tokens / SPEC.prefill_tokens_per_s
    assert run.first_event_at_s == pytest.approx(
        prefill_s + 4 * SPEC.step_s, abs=0.001
    )
    assert env.now == pytest.approx(
        run.first_event_at_s + 50 * SPEC.step_s, abs=0.01
    )


def test_cached_prefix_is_not_prefilled_again() -> None:
    env = Environment()
    engine, first, second = _engine(env), _run(env, 'x'), _run(env, 'y')
    engine.submit(first)
    env.run(until=first.ended)
    sent_at_s = env.now
    engine.submit(second)
    env.run(until=second.ended)
    assert second.first_event_at_s - sent_at_s < first.first_event_at_s / 4
    assert engine.prefilled_tokens == first.prompt_tokens + 64


def test_long_prompt_delays_other_streams() -> None:
    env = Environment()
    engine, short = _engine(env), _run(env, 'x', tokens=64)
    short.output_tokens = 500
    engine.submit(short)
    env.run(until=0.5)
    calm_gap_s = short.longest_gap_s
    engine.submit(_run(env, 'z', tokens=20_000))
    env.run(until=short.ended)
    assert short.longest_gap_s > 4 * calm_gap_s


def test_stopped_engine_loses_its_requests() -> None:
    env = Environment()
    engine, run = _engine(env), _run(env, 'x')
    engine.submit(run)
    env.run(until=0.05)
    engine.stop()
    env.run(until=run.ended)
    assert run.lost
