"""Client middleware that disables the automatic retries of the HTTP library.

If the connection breaks before a response, the library resends requests with idempotent
methods (GET, HEAD, PUT, DELETE, OPTIONS, TRACE), also if the connection was new. Only
the sender can decide whether a call may be repeated, so :func:`prevent_retry` raises
an error that the library does not retry.
"""

import aiohttp


class LostOnTheWayError(aiohttp.ClientError):
    """The connection broke while the request was in flight."""


async def prevent_retry(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the library from resending ``request`` after a broken connection.

    Raises:
        LostOnTheWayError: in place of the errors that the library retries.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        # Not connected, so nothing was sent; the library does not retry these.
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise LostOnTheWayError(type(error).__name__) from error
