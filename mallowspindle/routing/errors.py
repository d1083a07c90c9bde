"""Errors of routing."""


class RoutingError(Exception):
    """No backend server can be chosen."""


class NoServer(RoutingError):
    """No backend server is usable now; retry after ``retry_after_s``."""

    def __init__(self, serves: str, retry_after_s: float) -> None:
        super().__init__(f'no backend server for {serves} is usable now')
        self._retry_after_s = retry_after_s

    @property
    def retry_after_s(self) -> float:
        """Seconds after which a server may be usable."""
        return self._retry_after_s
