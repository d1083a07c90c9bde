"""Faults that tests inject into a stand-in."""

from aiohttp.web import Application, Request, Response, json_response
from pydantic import BaseModel, ConfigDict


class Faults(BaseModel):
    """Faults of one stand-in; each use of a counted fault lowers its count.

    ``down`` refuses all requests, ``slow_s`` delays answers, ``lose_answers``
    drops answers after the effect, ``late_s`` delays the effect itself and
    ``refuse`` answers 503 without any effect. ``no_room`` refuses copies of
    runs, ``no_room_at_last`` only the last copy, after the run was stopped.
    ``cuts`` closes streams after ``cut_after_tokens`` tokens or events; with
    ``detaches`` their runs go on without a connection, and with ``no_moves``
    and ``no_reports`` nobody can stop them or learn of them. ``report_lag_s``
    is how late reports tell that a run has ended. ``cross`` answers with the id of another request. ``forgets`` restarts a
    resumed stream at its first event and ``skips`` leaves out the first event
    that is due. ``limit_per_s`` is a limit on requests that a server states in
    its responses. A server crashes for ``crash_s`` when it begins a response
    to a prompt with ``deadly_part``, unless that is the last part, and
    ``deadly_run_s`` after it has begun to run a request to ``deadly_target``.
    ``says_leaving`` adds to all responses that the server is leaving, and
    ``turn_away`` refuses requests with this text as the time to come back.
    ``repeats_refusals`` writes the refusal of a request once more, before the
    response, when the same request comes again on a kept connection.
    ``copy_refusals_s`` writes each refusal once more after this time, whatever
    its connection carries then. ``refuse_s`` is the time before ``refuse``
    answers. ``slow_events_s`` is a pause before each event. ``endless`` names where
    bytes come without end: in the ``head``, a ``body`` or an ``event``.
    ``load`` is what a server states of its load, and ``fail_s`` the time before
    an error response of ``truncate``.
    """

    model_config = ConfigDict(extra='forbid')

    down: bool = False
    slow_s: float = 0
    late_s: float = 0
    lose_answers: int = 0
    refuse: int = 0
    truncate: int = 0
    cross: int = 0
    cut_after_tokens: int = 0
    cuts: int = 0
    detaches: bool = False
    no_moves: bool = False
    no_reports: bool = False
    report_lag_s: float = 0
    leaving: bool = False
    no_room: int = 0
    no_room_at_last: int = 0
    forgets: int = 0
    skips: int = 0
    limit_per_s: float | str | None = None
    says_leaving: bool = False
    turn_away: str = ''
    repeats_refusals: bool = False
    copy_refusals_s: float = 0
    refuse_s: float = 0
    slow_events_s: float = 0
    endless: str = ''
    load: str = ''
    fail_s: float = 0
    deadly_part: str = ''
    deadly_target: str = ''
    deadly_run_s: float = 0.06
    crash_s: float = 1.5

    def consume(self, name: str) -> bool:
        """Use up one of the counted faults; return False if none remains."""
        remaining = getattr(self, name)
        if remaining <= 0:
            return False
        setattr(self, name, remaining - 1)
        return True


def add_fault_routes(app: Application, faults: Faults) -> None:
    """Add ``POST /faults``, which sets the fields given in a JSON object."""

    async def change(request: Request) -> Response:
        parameters = await request.json()
        changed = Faults.model_validate({**faults.model_dump(), **parameters})
        for field in parameters:
            setattr(faults, field, getattr(changed, field))
        return json_response(faults.model_dump())

    app.router.add_post('/faults', change)


def drop_connection(request: Request) -> None:
    """Abort the caller's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
