"""Streams of engines with neither a length nor chunks, ended by their connection."""

import pytest

from caperridge.targets.engine import Attempt, AttemptFailed, EngineClient
from caperridge.targets.outcomes import Lost, TargetRefused
from gateway.unframed import reset

HEAD = b"HTTP/1.%d %d As Said\r\nConnection: close\r\n\r\n"
EVENT = b'data: {"id":"r","attempt":"a","offset":0}\n\n'
DONE = b"data: [DONE]\n\n"
BROKEN = {
    "ended inside an event": (EVENT[:9], False),
    "ended between events": (b"", False),
    "ended inside the last event": (DONE[:-1], False),
    "reset between events": (b"", True),
}


async def _events(address: str) -> list[bytes]:
    """Return the events of one attempt."""
    client = EngineClient()
    attempt = Attempt("r", "a", address, "/v1/completions", {})
    received: list[bytes] = []
    try:
        async for events in client.stream(attempt):
            received += events
    except AttemptFailed as failed:
        failed.received = received
        raise
    finally:
        await client.close()
    return received


@pytest.mark.parametrize("minor", [0, 1])
async def test_a_stream_that_has_its_closing_event_is_complete(raw, minor) -> None:
    async def script(reader, writer) -> None:
        await server.head(reader)
        writer.write(HEAD % (minor, 200) + EVENT + DONE)
        await writer.drain()
        writer.close()

    server = await raw(script)
    assert await _events(server.address) == [EVENT]


@pytest.mark.parametrize("rest", BROKEN.values(), ids=BROKEN)
async def test_a_stream_without_its_closing_event_is_lost(raw, rest) -> None:
    sent, resets = rest

    async def script(reader, writer) -> None:
        await server.head(reader)
        writer.write(HEAD % (1, 200) + EVENT + sent)
        await writer.drain()
        reset(writer.transport) if resets else writer.close()

    server = await raw(script)
    with pytest.raises(AttemptFailed) as failed:
        await _events(server.address)
    assert isinstance(failed.value.error, Lost)
    assert failed.value.received in ([], [EVENT]) if resets else [EVENT]


async def test_a_refusal_that_ends_with_its_connection_is_read(raw) -> None:
    async def script(reader, writer) -> None:
        await server.head(reader)
        refusal = b'{"error": {"message": "full", "run": "not_run"}}'
        writer.write(HEAD % (1, 503) + refusal)
        await writer.drain()
        writer.close()

    server = await raw(script)
    with pytest.raises(AttemptFailed) as failed:
        await _events(server.address)
    assert failed.value.error == TargetRefused(503, "full", "not_run")
