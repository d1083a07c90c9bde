"""The platform's names stand in its package alone."""

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
    'Kv-Backup',
    'Kv-From',
    'Last-Event-Id',
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
)
ROOT = Path(mallowspindle.__file__).parent
# The translation itself, and what plays the platform's side in tests.
SPEAKING = ('platform', 'standins', 'tests', 'soak')


def _sources() -> list[Path]:
    paths = (path.relative_to(ROOT) for path in ROOT.rglob('*.py'))
    return [path for path in paths if path.parts[0] not in SPEAKING]


@pytest.mark.parametrize('word', WORDS)
def test_the_word_stands_nowhere_else(word: str) -> None:
    speaking = [
        str(path)
        for path in _sources()
        if word in (ROOT / path).read_text(encoding='utf-8')
    ]
    assert not speaking
