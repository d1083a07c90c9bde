"""Reads response bodies whose length the other side decides."""

from aiohttp import ClientPayloadError, ClientResponse

# Answers of one call: reports list the runs of a server, some tens of bytes
# each.
CALL_BYTES = 1_000_000


_STATUSES_WITHOUT_BODY = frozenset((204, 304))


class OversizedBody(ClientPayloadError):
    """A body is longer than any that a sound server would send."""


def tells_its_length(response: ClientResponse) -> bool:
    """Return whether the truncation of a response can be detected.

    If a response is ended only by the close of its connection, headers or
    body may be missing without notice.
    """
    if response.method == 'HEAD' or response.status in _STATUSES_WITHOUT_BODY:
        return True
    headers = response.headers
    return 'Content-Length' in headers or 'Transfer-Encoding' in headers


async def read_bounded(
    response: ClientResponse, max_bytes: int = CALL_BYTES
) -> bytes:
    """Return the body; raise ``OversizedBody`` if it is too long.

    A server in trouble may send bytes without end.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            response.close()
            raise OversizedBody(
                f'expected at most {max_bytes} bytes from {response.url}'
            )
    return bytes(body)
