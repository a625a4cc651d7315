"""Whether anything listens where a target was."""

import asyncio
import contextlib

# Availability zones are some milliseconds apart; a host that lives refuses at once.
CONNECT_TIMEOUT_S = 0.2


async def connect(address: str) -> None:
    """Open a connection to ``address`` and close it.

    Raises:
        OSError: that was not possible.
    """
    host, _, port = address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()


async def is_refused(address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> bool:
    """Return whether nothing listens at ``address`` any more, as its host says.

    A host that says nothing may be cut off, and its target live.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await connect(address)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    return False
