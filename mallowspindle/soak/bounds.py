"""The operators' bounds that depend on the number of nodes."""

from dataclasses import dataclass
from typing import Any, Self

_RATIO = 0.2
_WINDOW_S = 10.0
# The operators' sheets allow 52 for 6 nodes, 56 for 8 and 156 for 58.
_BASE_SLACK = 40
_SLACK_OF_NODE = 2


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """How many repeats a service may get in each window.

    Over all nodes, ``ratio`` of the requests for it and ``slack`` more.
    """

    ratio: float = _RATIO
    window_s: float = _WINDOW_S
    slack: float = _BASE_SLACK

    @classmethod
    def from_size(cls, nodes: int) -> Self:
        """Return the bounds of a site with so many nodes."""
        return cls(slack=_BASE_SLACK + _SLACK_OF_NODE * nodes)

    def proxy_options(self) -> dict[str, Any]:
        """Return the options of ``[proxy]`` that state these bounds."""
        return {
            'retry_ratio': self.ratio,
            'retry_window_s': self.window_s,
            'retry_slack': self.slack,
        }
