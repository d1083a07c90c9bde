"""Reading of responses whose length a server decides."""

from aiohttp import ClientPayloadError, ClientResponse

# Reports list the runs of a server, some tens of bytes each.
_MAX_BODY_BYTES = 1_000_000


async def read_body(response: ClientResponse) -> bytes:
    """Return the body; raise ``ClientPayloadError`` if it is too long.

    A server in trouble may send bytes without end.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > _MAX_BODY_BYTES:
            response.close()
            raise ClientPayloadError(
                f'expected at most {_MAX_BODY_BYTES} bytes from {response.url}'
            )
    return bytes(body)
