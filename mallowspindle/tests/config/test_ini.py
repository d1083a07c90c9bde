"""Settings files: all problems are reported, with section and option."""

from pathlib import Path

import pytest

from mallowspindle.config.errors import ConfigError
from mallowspindle.config.ini import load_model
from mallowspindle.config.native import NativeSettings
from mallowspindle.config.platform import PlatformSettings
from mallowspindle.daemon import load_settings

VALID = """
[node]
name = entry-1
zone = a

[peers]
shared_key = a-key-of-sixteen-characters
seeds = 127.0.0.1:1 127.0.0.1:2

[native]
log_url = http://127.0.0.1:1
cloud_url = http://127.0.0.1:2
"""

PLATFORM = """
[node]
name = entry-1
zone = a

[listen]
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
addresses = 127.0.0.1:3
peers = 127.0.0.1:4

[peers]
shared_key = a-key-of-sixteen-characters

[store]
address = 127.0.0.1:5

"""


def test_absent_options_have_defaults() -> None:
    loaded = load_model(NativeSettings, VALID)
    assert loaded.peers.seeds == ['127.0.0.1:1', '127.0.0.1:2']
    assert loaded.limits.body_bytes > 0


def test_all_problems_are_reported_at_once() -> None:
    text = VALID.replace('zone = a', 'zone = a\ncolour = red\nhttp_port = x')
    with pytest.raises(ConfigError) as caught:
        load_model(NativeSettings, f'{text}\n[surprise]\nx = 1\n')
    reported = {
        (problem.section, problem.option) for problem in caught.value.problems
    }
    assert reported == {
        ('node', 'colour'),
        ('node', 'http_port'),
        ('surprise', '-'),
    }


@pytest.mark.parametrize('text', ['no section = 1', '[node]\nname'])
def test_invalid_syntax_is_reported(text: str) -> None:
    with pytest.raises(ConfigError, match='syntax'):
        load_model(NativeSettings, text)


def test_unknown_policy_is_reported(tmp_path: Path) -> None:
    path = tmp_path / 'entry.ini'
    path.write_text(f'{VALID}\n[routing]\npolicy = guess\n')
    with pytest.raises(ConfigError, match='least_loaded'):
        load_settings(path)
    path.write_text(f'{VALID}\n[routing]\npolicy = random\n')
    settings = load_settings(path)
    assert isinstance(settings, NativeSettings)
    assert settings.routing.policy == 'random'


def test_missing_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(ConfigError):
        load_settings(tmp_path / 'nothing.ini')


@pytest.mark.parametrize(
    ('text', 'apply_s'), [('', None), ('2000', 2.0), (' 3500', 3.5)]
)
def test_bound_that_the_deployment_lacks_is_off(
    text: str, apply_s: float | None
) -> None:
    """Guards against a start that fails where the template renders nothing."""
    settings = load_model(
        PlatformSettings, f'{PLATFORM}[proxy]\nconfig_apply_ms = {text}\n'
    )
    assert settings.proxy.config_apply_s == apply_s
