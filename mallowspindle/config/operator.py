"""Settings of the operators' command-line tool."""

from pydantic import BaseModel, ConfigDict, Field

from mallowspindle.config.ini import Section


class OperatorSection(Section):
    """Who the operator is, and where the log and a node are."""

    name: str = Field(min_length=1)
    log_url: str
    node_url: str = ''
    token: str = ''
    timeout_s: float = Field(3.0, gt=0)
    effects_streams: int = Field(8, ge=1, le=256)


class OperatorSettings(BaseModel):
    """All settings of ``mallowspindle``."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    operator: OperatorSection
