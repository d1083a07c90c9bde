"""Tells whether anything listens at an address."""

import asyncio

# As long as the proxy tries to connect to a server.
_CONNECT_TIMEOUT_S = 0.5


async def accepts_connections(address: str) -> bool:
    """Return whether anything accepts a connection at ``address``."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        # Includes TimeoutError.
        return False
    writer.close()
    return True
