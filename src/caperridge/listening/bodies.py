"""Reads the bodies of requests within the limits of one client and of all."""

import asyncio
import math

from aiohttp import web, web_protocol

from caperridge.listening.connection import BodyCutError, GuardedConnection
from caperridge.listening.decoding import decoded_bytes
from caperridge.listening.memory import SMALL_BYTES

# A body is held once for the request, and once on its way to where it goes.
COPIES = 2
# Longest wait for the memory of a body.
MAX_WAIT_S = 2.0
RETRY_AFTER_S = 1.0


class BodyRefusedError(Exception):
    """A body was not read to its end, so that its request has not run.

    Attributes:
        status: of the answer.
        reason: for the caller and the log.
        retry_after_s: delay after which the caller may retry; 0 for none.
    """

    def __init__(self, status: int, reason: str, retry_after_s: float = 0.0) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


def connection_of(request: web.Request) -> GuardedConnection | None:
    """Return the connection of a request; None if it is closed or not guarded."""
    return getattr(request.transport, "connection", None)


async def reserve(request: web.Request, size: int) -> None:
    """Take memory for a request that is read in parts; it is held until its end.

    Args:
        request: of a client.
        size: in bytes.

    Raises:
        BodyRefusedError: there is no memory for it.
    """
    connection = connection_of(request)
    if connection is not None:
        await _reserve(connection, size, math.inf)


async def reserve_values(request: web.Request, text: bytes) -> None:
    """Take the memory of the values that a JSON body decodes into.

    Args:
        request: of a client.
        text: its body.

    Raises:
        BodyRefusedError: there is no memory for them.
    """
    connection = connection_of(request)
    if connection is None:
        return
    size = decoded_bytes(text)
    if size > connection.memory.capacity_bytes:
        raise BodyRefusedError(413, "its values need more memory than there is")
    await _reserve(connection, size, math.inf)


async def read_body(
    request: web.Request, max_bytes: int, deadline: float = math.inf
) -> bytes:
    """Return the whole body of a request.

    Args:
        request: of a client.
        max_bytes: largest body.
        deadline: for the body, on the event loop's clock.

    Raises:
        BodyRefusedError: it is too large, takes too long, or there is no memory.
        OSError: the client has closed the connection.
    """
    length = request.content_length
    if length is not None and length > max_bytes:
        raise BodyRefusedError(413, f"its body is larger than {max_bytes} bytes")
    connection = connection_of(request)
    try:
        async with asyncio.timeout_at(None if math.isinf(deadline) else deadline):
            taken = 0
            if connection is not None and length:
                taken = await _reserve(connection, COPIES * length, deadline)
            body = await _read(request, connection, max_bytes, taken)
    except TimeoutError as error:
        raise BodyRefusedError(408, "its body takes too long") from error
    except BodyCutError as error:
        retry_after_s = RETRY_AFTER_S if error.status == 503 else 0.0
        raise BodyRefusedError(error.status, error.reason, retry_after_s) from error
    except web_protocol.RequestPayloadError as error:
        raise BodyRefusedError(400, f"its body is malformed: {error}") from error
    if connection is not None:
        connection.update_revocable()
    return body


async def _reserve(connection: GuardedConnection, size: int, deadline: float) -> int:
    """Take the memory of a body whose length is known; return how much it is."""
    loop = asyncio.get_running_loop()
    until = min(deadline, loop.time() + MAX_WAIT_S)
    large = size > SMALL_BYTES
    if not await connection.memory.take_until(connection, size, large, until):
        raise BodyRefusedError(503, "no memory is left for its body", RETRY_AFTER_S)
    return size


async def _read(
    request: web.Request,
    connection: GuardedConnection | None,
    max_bytes: int,
    taken: int,
) -> bytes:
    """Read to the end; take memory for what exceeds ``taken`` bytes.

    The length of a body in chunks, or of a compressed one, is not known before.
    """
    parts: list[bytes] = []
    size = 0
    try:
        while part := await request.content.readany():
            size += len(part)
            parts.append(part)
            if size > max_bytes:
                reason = f"its body is larger than {max_bytes} bytes"
                raise BodyRefusedError(413, reason)
            if connection is not None and COPIES * size > taken:
                taken += _grow(connection, size, COPIES * size - taken)
        return b"".join(parts)
    finally:
        # An error keeps the frames that it has passed, for as long as itself is kept.
        parts.clear()


def _grow(connection: GuardedConnection, size: int, needed: int) -> int:
    """Take memory for a body of ``size`` bytes so far; return how much it is."""
    now = asyncio.get_running_loop().time()
    step = max(SMALL_BYTES, needed)
    if not connection.memory.grow(connection, step, size > SMALL_BYTES, now):
        raise BodyRefusedError(503, "no memory is left for its body", RETRY_AFTER_S)
    return step
