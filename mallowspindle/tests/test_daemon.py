"""The daemon's arguments and environment, and what its start imports."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

_COMMAND = (sys.executable, '-m', 'mallowspindle.daemon')
_SETTINGS = """
[node]
interface = platform
name = entry-1
zone = a
[listen]
callers = 127.0.0.1:0
readiness = 127.0.0.1:0
addresses = 127.0.0.1:0
peers = 127.0.0.1:0
[peers]
shared_key = a-shared-key-for-loopback
[store]
address = 127.0.0.1:9
"""
_STOP_TIMEOUT_S = 10


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


@pytest.fixture
def starting_daemon(tmp_path: Path) -> Iterator[subprocess.Popen[str]]:
    """Start a daemon that waits for a store which is away."""
    path = tmp_path / 'entry.ini'
    path.write_text(_SETTINGS)
    with subprocess.Popen(  # noqa: S603
        [*_COMMAND, '--settings', str(path)],
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout is not None
        for line in process.stdout:
            if 'store not reached' in line:
                break
        yield process
        process.kill()


@pytest.mark.parametrize('reload_first', [True, False])
def test_signals_during_the_start_are_handled(
    starting_daemon: subprocess.Popen[str], reload_first: bool
) -> None:
    """Guards against a reload that ends a starting process, and late stops."""
    if reload_first:
        starting_daemon.send_signal(signal.SIGHUP)
        time.sleep(0.2)
    assert starting_daemon.poll() is None
    starting_daemon.send_signal(signal.SIGTERM)
    output, _ = starting_daemon.communicate(timeout=_STOP_TIMEOUT_S)
    assert starting_daemon.returncode == 0
    assert '"message": "stopped"' in output
    assert '"message": "started"' not in output
