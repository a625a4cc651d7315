"""Answers with neither a length nor chunks, which end with their connection."""

import pytest
from multidict import CIMultiDict
from result import Ok

from caperridge.targets.outcomes import Lost
from caperridge.targets.plain import PlainCall, PlainClient
from gateway.unframed import reset

HEAD = b"HTTP/1.%d 200 OK\r\nConnection: close\r\n\r\n"
CALL = PlainCall("POST", "/check", CIMultiDict(), b"")
PATIENT_S = 20.0  # longer than this process may stand still


@pytest.mark.parametrize("minor", [0, 1])
async def test_an_answer_that_ends_with_its_connection_is_complete(raw, minor) -> None:
    async def script(reader, writer) -> None:
        await server.head(reader)
        writer.write(HEAD % minor + b"whole")
        await writer.drain()
        writer.close()

    server = await raw(script)
    client = PlainClient(PATIENT_S, connect_s=PATIENT_S)
    outcome = await client.call(server.address, CALL)
    await client.close()
    assert isinstance(outcome, Ok)
    assert outcome.ok_value.body == b"whole"


@pytest.mark.parametrize("sent", [b"", b"half"])
async def test_an_answer_that_is_reset_is_lost(raw, sent) -> None:
    async def script(reader, writer) -> None:
        await server.head(reader)
        writer.write(HEAD % 1 + sent)
        await writer.drain()
        reset(writer.transport)

    server = await raw(script)
    client = PlainClient(PATIENT_S, connect_s=PATIENT_S)
    outcome = await client.call(server.address, CALL)
    await client.close()
    assert isinstance(outcome.err_value, Lost)
