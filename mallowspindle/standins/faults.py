"""Faults that a stand-in shows on request."""

from aiohttp.web import Application, Request, Response, json_response
from pydantic import BaseModel, ConfigDict


class Faults(BaseModel):
    """Faults of one stand-in; counts go down as they are used.

    ``down`` refuses everything, ``slow_s`` delays answers, ``lose_answers``
    drops answers after the effect, ``late_s`` delays the effect itself,
    ``refuse`` answers 503 without any effect, ``no_room`` refuses copies of
    runs and ``no_room_at_last`` those of runs that have just been stopped.
    ``forgets`` starts a resumed stream at its first event and ``skips`` leaves
    out the event with which it should go on.
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
    leaving: bool = False
    no_room: int = 0
    no_room_at_last: int = 0
    forgets: int = 0
    skips: int = 0

    def consume(self, name: str) -> bool:
        """Use one of the counted faults; False if none is left."""
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True


def add_fault_routes(app: Application, faults: Faults) -> None:
    """Let ``POST /faults`` replace the fields given in a JSON object."""

    async def change(request: Request) -> Response:
        asked = await request.json()
        changed = Faults.model_validate({**faults.model_dump(), **asked})
        for field in asked:
            setattr(faults, field, getattr(changed, field))
        return json_response(faults.model_dump())

    app.router.add_post('/faults', change)


def drop_connection(request: Request) -> None:
    """Cut the caller's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
