"""Answers with neither a length nor chunks, which end with their connection."""

import aiohttp
from aiohttp.client_proto import ResponseHandler
from multidict import MultiMapping


def is_unframed(headers: MultiMapping[str]) -> bool:
    """Whether an answer with ``headers`` ends with its connection."""
    return (
        "Content-Length" not in headers
        and "chunked" not in headers.get("Transfer-Encoding", "").lower()
    )


def protocol_of(response: aiohttp.ClientResponse) -> ResponseHandler | None:
    """Return the protocol of a response, which drops it at the end of its body."""
    return response.connection.protocol if response.connection is not None else None


def was_reset(protocol: ResponseHandler | None) -> bool:
    """Whether the connection of ``protocol`` was reset, not ended."""
    # The library sets an exception at the end of every connection; only that of a
    # reset is one of the system.
    return protocol is not None and isinstance(protocol.exception(), OSError)
