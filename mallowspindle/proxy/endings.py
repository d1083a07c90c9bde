"""How one request ends: its response, or the cut of a started one."""

from aiohttp.web import Response, StreamResponse

from mallowspindle.outcomes import NotRun
from mallowspindle.proxy import replies
from mallowspindle.proxy.outcomes import (
    UNAVAILABLE_RETRY_AFTER_S,
    Answered,
    AttemptOutcome,
    PeerAnswered,
)
from mallowspindle.proxy.state import ExchangeState


class ExchangeEnding:
    """Ends one request and logs why."""

    def __init__(self, state: ExchangeState) -> None:
        self._state = state

    def refuse(
        self, reason: str, retry_after_s: float = UNAVAILABLE_RETRY_AFTER_S
    ) -> StreamResponse:
        """End a request that no server accepted.

        The response says ``not run`` only if no attempt may have run.
        """
        if self._state.history.run_count:
            return self.fail(replies.unknown_outcome())
        self.log_end('refused', reason)
        return replies.refusal(retry_after_s)

    def time_out(self) -> StreamResponse:
        """End a request that has no time left.

        It may still run at a server or a peer that has not answered.
        """
        if (
            not self._state.history.is_empty
            or self._state.relay.response is not None
        ):
            return self.fail(replies.timed_out())
        self.log_end('refused', 'no time was left')
        return replies.refusal(UNAVAILABLE_RETRY_AFTER_S)

    def fail(self, response: Response) -> StreamResponse:
        """End a request with an unknown outcome, or cut a started response.

        An error response of a server takes precedence over ``response``.
        """
        server_error = self._state.server_error
        if (
            server_error is not None
            and self._state.relay.response is None
            and self._may_pass_on(server_error)
        ):
            return replies.complete_answer(server_error.head, server_error.body)
        if self._state.relay.response is None:
            self.log_end('failed', f'status {response.status}')
            return response
        self.log_end('cut', 'the stream can not go on')
        transport = self._state.web_request.transport
        if transport is not None:
            # Events that are already written still reach the caller. The end
            # of the stream is missing, so that it can't seem complete.
            transport.close()
        return self._state.relay.response

    def final_response(self, outcome: AttemptOutcome) -> StreamResponse:
        """Return the response to a request that is not sent again."""
        match outcome:
            case PeerAnswered() if (
                outcome.promises_not_run and self._state.history.run_count
            ):
                return self.fail(replies.unknown_outcome())
            case Answered(head=head, body=body) if (
                self._state.relay.response is None
                and self._may_pass_on(outcome)
            ):
                return replies.complete_answer(head, body)
            case NotRun(reason=reason):
                return self.refuse(reason)
            case _:
                return self.fail(replies.unknown_outcome())

    def _may_pass_on(self, answer: Answered) -> bool:
        """Return whether the status of an answer tells its caller the truth.

        A server that has run a request may answer with a status that callers
        take as a promise. They send the request again even if it must run once.
        """
        return (
            self._state.route.repeatable
            or isinstance(answer, PeerAnswered)
            or not answer.has_not_run_status
        )

    def log_end(self, ending: str, reason: str) -> None:
        """Log how the request ended, and why."""
        self._state.log.log_end(ending, reason, self._state.history)
