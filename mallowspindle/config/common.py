"""Settings of the daemon that all interfaces share."""

from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from mallowspindle.config.ini import Section


def _split_words(text: Any) -> Any:
    return text.split() if isinstance(text, str) else text


WordList = Annotated[list[str], BeforeValidator(_split_words)]


class InterfaceChoice(BaseModel):
    """The option of ``[node]`` that selects the model of all settings."""

    model_config = ConfigDict(extra='ignore', frozen=True)

    interface: str = 'native'


class NodeSection(Section):
    """Name, interface, location and addresses of this entry VM."""

    interface: str = 'native'
    name: str = Field(pattern=r'^[a-z0-9][a-z0-9-]*$')
    region: str = 'local'
    zone: str
    host: str = '127.0.0.1'
    http_port: int = Field(0, ge=0, le=65535)
    peer_port: int = Field(0, ge=0, le=65535)
    vm_id: str = ''
    # Has no effect. Accepted since files of earlier versions set it: what former
    # processes have spent of the retry budget is known from the log.
    bootstrap: bool = False


class PeersSection(Section):
    """Discovery and authentication of peers, and heartbeats between them."""

    shared_key: str = Field(min_length=16)
    seeds: WordList = Field(default_factory=list)
    heartbeat_interval_s: float = Field(0.5, gt=0)
    suspect_after_s: float = Field(1.5, gt=0)
    fanout: int = Field(8, ge=1)
    max_frame_bytes: int = Field(16_000_000, ge=1024)


def _none_if_empty(text: Any) -> Any:
    return None if text == '' else text  # noqa: PLC1901


Megabytes = Annotated[float, Field(ge=0)]
Count = Annotated[int, Field(ge=0)]
OptionalMegabytes = Annotated[Megabytes | None, BeforeValidator(_none_if_empty)]
OptionalCount = Annotated[Count | None, BeforeValidator(_none_if_empty)]


class IntakeSection(Section):
    """Memory and descriptors of the VM, and bounds on what is held of them.

    Bounds that are empty or 0 are derived: an eighth of `memory_mb` for
    `unfinished_bytes` of requests, another one for `answer_bytes` of servers
    that are not forwarded yet, and as `caller_connections` half of `max_fds`,
    or less if a sixth of the memory has no room for them at 32 KiB each.
    Without `memory_mb`, 160 MB count; without `max_fds`, the process's own
    limit.
    """

    memory_mb: OptionalMegabytes = None
    max_fds: OptionalCount = None
    unfinished_bytes: OptionalCount = None
    answer_bytes: OptionalCount = None
    caller_connections: OptionalCount = None


class TelemetrySection(Section):
    """Trace exporters and log level."""

    traces_file: str = ''
    otlp_endpoint: str = ''
    log_level: str = Field('info', pattern='^(debug|info|warning|error)$')


class CommonSettings(BaseModel):
    """Settings that every interface has: node, peers and telemetry."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    node: NodeSection
    peers: PeersSection
    intake: IntakeSection = IntakeSection.model_validate({})
    telemetry: TelemetrySection = TelemetrySection.model_validate({})

    @property
    def peer_endpoint(self) -> tuple[str, int]:
        """Host and port on which this entry VM listens for peers."""
        return self.node.host, self.node.peer_port

    @property
    def drain_timeout_s(self) -> float:
        """Seconds for requests in progress to finish after a stop signal."""
        raise NotImplementedError
