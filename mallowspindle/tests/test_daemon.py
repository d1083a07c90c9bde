"""The daemon's arguments and environment, and what its start imports."""

import os
import subprocess
import sys
from pathlib import Path

_COMMAND = (sys.executable, '-m', 'mallowspindle.daemon')


def _run_daemon(
    *arguments: str, **variables: str
) -> subprocess.CompletedProcess[str]:
    return subprocess.run(  # noqa: S603
        [*_COMMAND, *arguments],
        env={**os.environ, **variables},
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


def test_environment_names_the_settings_file(tmp_path: Path) -> None:
    missing = str(tmp_path / 'missing.ini')
    completed = _run_daemon(MALLOWSPINDLE_SETTINGS=missing)
    assert completed.returncode == 2
    assert missing in completed.stderr


def test_arguments_override_the_environment(tmp_path: Path) -> None:
    path = tmp_path / 'named.ini'
    completed = _run_daemon(
        '--settings', str(path), MALLOWSPINDLE_SETTINGS='/other.ini'
    )
    assert completed.returncode == 2
    assert str(path) in completed.stderr


def test_daemon_does_not_import_cappa() -> None:
    """Importing cappa would delay a restarted node by a fifth of a second."""
    code = 'import sys, mallowspindle.daemon; sys.exit("cappa" in sys.modules)'
    completed = subprocess.run(  # noqa: S603
        [sys.executable, '-c', code], check=False, timeout=60
    )
    assert completed.returncode == 0
