"""Errors of attempts at backend servers."""


class AttemptError(Exception):
    """An attempt gave no whole answer."""


class AttemptNotRun(AttemptError):
    """No byte of the request left, or the engine refused it unrun."""


class StreamCut(AttemptError):
    """The engine's stream ended before its last chunk."""


class StreamStalled(AttemptError):
    """The engine sent nothing for too long; its stream is given up."""


class StreamGone(AttemptError):
    """The engine no longer knows the stream to resume."""


class WrongAnswer(AttemptError):
    """The answer carries another attempt's id or a gap."""


class RequestRejected(AttemptError):
    """The engine says that the request itself is invalid."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self._status = status

    @property
    def status(self) -> int:
        """The HTTP status of the engine's answer."""
        return self._status
