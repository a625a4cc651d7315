"""Connect probes that show whether a target's port is still open."""

import asyncio
import contextlib

# Availability zones are some milliseconds apart; a live host refuses immediately.
CONNECT_TIMEOUT_S = 0.2


async def connect(address: str) -> None:
    """Open a connection to ``address`` and close it.

    Raises:
        OSError: the connection could not be opened.
    """
    host, _, port = address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()


async def is_refused(address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> bool:
    """Return whether the host of ``address`` refuses connections to it.

    No response within ``timeout_s`` seconds proves nothing: the host may be cut off by
    the network while its target is alive.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await connect(address)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    return False
