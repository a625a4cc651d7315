"""Keeps the HTTP library from sending a request again by itself.

If the connection breaks before an answer, it does so for methods that are idempotent
by name (GET, HEAD, PUT, DELETE, OPTIONS, TRACE), on a fresh connection too. Whether a
call may be repeated is for its sender to say, so :func:`loss_is_final` hands the loss
on as an error that the library lets pass.
"""

import aiohttp


class LostOnTheWayError(aiohttp.ClientError):
    """The connection broke with the request under way."""


async def loss_is_final(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the library from sending ``request`` again after a broken connection.

    Raises:
        LostOnTheWayError: instead of the errors that the library answers by a repeat.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        # No connection, so no byte has left; the library does not repeat these.
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise LostOnTheWayError(type(error).__name__) from error
