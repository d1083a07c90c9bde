"""How the daemon is started."""

import os
import subprocess
import sys
from pathlib import Path

_RUN = (sys.executable, '-m', 'mallowspindle.daemon')


def _start(
    *arguments: str, **variables: str
) -> subprocess.CompletedProcess[str]:
    return subprocess.run(  # noqa: S603
        [*_RUN, *arguments],
        env={**os.environ, **variables},
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


def test_reads_the_file_that_the_environment_names(tmp_path: Path) -> None:
    missing = str(tmp_path / 'missing.ini')
    ended = _start(MALLOWSPINDLE_SETTINGS=missing)
    assert ended.returncode == 2
    assert missing in ended.stderr


def test_arguments_go_before_the_environment(tmp_path: Path) -> None:
    named = tmp_path / 'named.ini'
    ended = _start(
        '--settings', str(named), MALLOWSPINDLE_SETTINGS='/other.ini'
    )
    assert ended.returncode == 2
    assert str(named) in ended.stderr


def test_serving_loads_no_command_line() -> None:
    """A restarted node serves a fifth of a second sooner without it."""
    code = 'import sys, mallowspindle.daemon; sys.exit("cappa" in sys.modules)'
    ended = subprocess.run(  # noqa: S603
        [sys.executable, '-c', code], check=False, timeout=60
    )
    assert ended.returncode == 0
