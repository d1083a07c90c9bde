"""Tests of the commands of ``mallowspindle-lab``."""

import subprocess
import sys
from pathlib import Path

from mallowspindle.lab.plots import plot_replay
from mallowspindle.lab.replay import replay
from mallowspindle.lab.scenario import patterns

_LAB = (sys.executable, '-m', 'mallowspindle.lab')


def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(  # noqa: S603
        [*_LAB, *arguments], capture_output=True, text=True, check=False
    )


def test_list_names_patterns_and_policies() -> None:
    listed = _run('list')
    assert listed.returncode == 0
    assert 'zone-reclaimed' in listed.stdout
    assert 'least_loaded' in listed.stdout


def test_unknown_pattern_is_named() -> None:
    refused = _run('compare', '--pattern', 'nothing')
    assert refused.returncode == 2
    assert 'unknown pattern nothing' in refused.stdout + refused.stderr


def test_plot_is_a_png_image(tmp_path: Path) -> None:
    path = tmp_path / 'day.png'
    plot_replay(replay(patterns['calm'](), 'predicted', 1), 'calm', path)
    assert path.read_bytes().startswith(b'\x89PNG')
