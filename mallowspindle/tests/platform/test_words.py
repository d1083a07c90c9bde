"""Check that only the platform package uses the platform's wire names."""

from pathlib import Path

import pytest

import mallowspindle

WORDS = (
    'Not-Executed',
    'Expect-Instance',
    'Deadline-Ms',
    'Response-Signature',
    'Token-Count',
    'Prompt-Prefix',
    'Lease-Holder',
    'Fencing-Token',
    'Server-Load',
    'Server-Limit',
    'Server-Leaving',
    'Kv-Backup',
    'Kv-From',
    'Last-Event-Id',
    'Resumes',
    'log-append',
    'log-read',
    'log-newest',
    'kv-move',
    'traffic_split',
    'cold_remaining_ms',
    'desired_count',
    'window_id',
    'ttl_s',
    'keyed.',
    'rollout/',
    'expose_share',
    'expose_slack',
    'rolled_back',
)
ROOT = Path(mallowspindle.__file__).parent
# The platform package itself, and code that acts as the platform in tests.
ALLOWED_PACKAGES = ('platform', 'standins', 'tests', 'soak')


def _sources() -> list[Path]:
    paths = (path.relative_to(ROOT) for path in ROOT.rglob('*.py'))
    return [path for path in paths if path.parts[0] not in ALLOWED_PACKAGES]


@pytest.mark.parametrize('word', WORDS)
def test_platform_name_is_used_only_in_allowed_packages(word: str) -> None:
    modules_with_word = [
        str(path)
        for path in _sources()
        if word in (ROOT / path).read_text(encoding='utf-8')
    ]
    assert not modules_with_word
