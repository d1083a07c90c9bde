"""Settings of the operators' command-line tool."""

from pydantic import BaseModel, ConfigDict, Field

from mallowspindle.config.ini import Section


class OperatorSection(Section):
    """The operator's name and token, and addresses of the log and a node."""

    name: str = Field(min_length=1)
    log_url: str
    node_url: str = ''
    token: str = ''
    timeout_s: float = Field(3.0, gt=0)
    effects_streams: int = Field(8, ge=1, le=256)


class OperatorSettings(BaseModel):
    """All settings of the ``mallowspindle`` command."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    operator: OperatorSection
