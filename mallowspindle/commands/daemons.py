"""Calls of commands to a daemon with the platform interface."""

from pathlib import Path
from typing import Any

from mallowspindle.commands.errors import CommandError, ExitCode
from mallowspindle.config.errors import ConfigError
from mallowspindle.config.ini import load_model
from mallowspindle.config.platform import PlatformSettings
from mallowspindle.peers.errors import PeerError, PeerRefused
from mallowspindle.peers.handshake import Credentials
from mallowspindle.peers.link import PeerLink

_TIMEOUT_S = 3.0


async def call_daemon(settings: Path, node: str, message: object) -> Any:
    """Call a node as its peers do; the settings are those of a daemon."""
    config = _load_settings(settings)
    address = node or config.listen.peers
    link = PeerLink(
        address,
        Credentials('operator', config.peers.shared_key.encode()),
        config.peers.max_frame_bytes,
    )
    try:
        return await link.call(message, _TIMEOUT_S)
    except PeerRefused as error:
        raise CommandError(ExitCode.REFUSED, str(error)) from error
    except PeerError as error:
        raise CommandError(
            ExitCode.UNREACHABLE, f'node {address} not reached: {error}'
        ) from error
    finally:
        await link.close()


def _load_settings(path: Path) -> PlatformSettings:
    try:
        return load_model(PlatformSettings, path.read_text('utf-8'))
    except (OSError, ConfigError) as error:
        raise CommandError(ExitCode.INVALID, str(error)) from error
