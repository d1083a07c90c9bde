"""Errors of attempts to run a request on a model engine."""


class AttemptError(Exception):
    """An attempt ended without a complete answer."""


class AttemptNotRun(AttemptError):
    """The request was not sent, or the engine refused to run it."""


class StreamCut(AttemptError):
    """The engine failed, or its stream ended before the last chunk."""


class StreamStalled(AttemptError):
    """The engine sent nothing in time; the stream is not resumed."""


class StreamGone(AttemptError):
    """The stream to resume is unknown, or its engine can't be reached."""


class WrongAnswer(AttemptError):
    """The answer is malformed, out of order, or for another attempt."""


class RequestRejected(AttemptError):
    """The engine rejected the request as invalid."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self._status = status

    @property
    def status(self) -> int:
        """The HTTP status of the engine's answer."""
        return self._status
