"""Garbage collection of a long-running process."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def loading() -> Iterator[None]:
    """Collect no garbage meanwhile, and leave out what was loaded later on.

    Modules, validators and services stay until the process ends. They are some
    100,000 objects; to visit them all takes 0.1 s, in which a node with half of
    a core answers nobody.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()
