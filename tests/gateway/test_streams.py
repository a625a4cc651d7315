"""Message streams between instances."""

import asyncio
import inspect
import socket

import pytest

from caperridge.gateway.mesh.messages import KINDS_BY_NAME, Hello, JobNews
from caperridge.gateway.mesh.streams import (
    USER_TIMEOUT_MS,
    OutStream,
    decode,
    encode,
)
from caperridge.peers.framing import FrameSplitter, MessageError
from caperridge.records import Record, pack
from gateway.conftest import World, until


async def test_a_stream_that_went_silent_ends_by_itself() -> None:
    """Loopback loses no packets, so the socket options are checked."""
    server = await asyncio.get_running_loop().create_server(
        asyncio.Protocol, "127.0.0.1", 0
    )
    host, port = server.sockets[0].getsockname()
    stream = OutStream(f"{host}:{port}", lambda: Hello("e", "e.1", "a", "e:1", []))
    running = asyncio.ensure_future(stream.run_once())
    await until(lambda: stream.connected)
    connection = stream._transport.get_extra_info("socket")
    limit_ms = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert limit_ms == USER_TIMEOUT_MS
    running.cancel()
    server.close()


def _sent(message: Record) -> Record | None:
    (body,) = FrameSplitter().feed(encode(message))
    return decode(body)


@pytest.mark.parametrize("kind", KINDS_BY_NAME.values(), ids=KINDS_BY_NAME)
def test_each_kind_of_message_comes_as_it_was_sent(kind: type[Record]) -> None:
    values = [f"value-{place}" for place in inspect.signature(kind).parameters]
    message = kind(*values)
    assert _sent(message) == message


def test_messages_of_other_releases_are_read_as_far_as_they_are_known() -> None:
    assert decode(pack(["Unheard", 1])) is None
    newer = ["JobNews", "j", "e.1", 3, True, "a field of later"]
    assert decode(pack(newer)) == JobNews("j", "e.1", 3, cancelled=True)
    assert decode(pack(newer[:4])) == JobNews("j", "e.1", 3)
    with pytest.raises(MessageError):
        decode(pack(newer[:3]))


async def test_who_is_near_is_told_anew_after_members_changed(world: World) -> None:
    """The list of near peers is cached between changes of members."""
    first = await world.add_instance(zone="a")
    second = await world.add_instance(zone="a")
    await world.ready()
    assert [one.id for one in first.mesh.roster.near()] == ["e-1"]
    await world.add_instance(zone="b")
    await world.ready()
    assert {one.id for one in first.mesh.roster.near()} == {"e-1", "e-2"}
    assert {one.id for one in second.mesh.roster.near()} == {"e-0", "e-2"}
