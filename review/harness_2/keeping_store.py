"""The project's stand-in for the store, whose oldest records expire.

``--keep-s`` is the ``keep_s`` of the users' pages: "The oldest records expire
after keep_s"; the newest record of each key is retained.
"""

import argparse
import asyncio
import time

from mallowspindle.standins.platform_store import StoreStandin
from mallowspindle.standins.server import serve

_CHECK_INTERVAL_S = 0.2


class KeepingStore(StoreStandin):
    """A store that drops the records of each topic after ``keep_s``."""

    def __init__(self, keep_s: float) -> None:
        super().__init__()
        self._keep_s = keep_s
        self._checked = 0

    async def expire_forever(self) -> None:
        """Drop what is older than ``keep_s``, again and again."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            oldest_s = time.monotonic() - self._keep_s
            while self._checked < len(self._history):
                written_at_s, name, _ = self._history[self._checked]
                if written_at_s >= oldest_s:
                    break
                topic = self._topics[name]
                topic.records.pop(0)
                topic.first += 1
                self._checked += 1


async def _run(host: str, port: int, keep_s: float) -> None:
    store = KeepingStore(keep_s)
    expiring = asyncio.create_task(store.expire_forever())
    try:
        await serve(store.app(), host, port)
    finally:
        expiring.cancel()


def main() -> None:
    """Run the store."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--keep-s', type=float, required=True)
    arguments = parser.parse_args()
    asyncio.run(_run(arguments.host, arguments.port, arguments.keep_s))


if __name__ == '__main__':
    main()
