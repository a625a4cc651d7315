"""Frames, handshake and send queue: round trips, other releases, invalid input."""

import asyncio
import struct
from typing import Any

import pytest

from caperridge.peers import handshake, messages
from caperridge.peers.batching import batch_online_counts, split_online_counts
from caperridge.peers.frames import MAX_HELLO_BYTES, decode, encode
from caperridge.peers.framing import (
    MAX_FRAME_BYTES,
    FrameError,
    MessageError,
    read_body,
)
from caperridge.peers.outbox import Outbox
from caperridge.peers.stream import SILENCE_TIMEOUT_S, PeerStream
from caperridge.records import Record, pack, unpack

EXAMPLES: list[Record] = [
    messages.Hello("e-1", "oviedo", 3, b"n" * 16, b"p", 1, "0.1", 7000, 2),
    messages.Heartbeat("e-1", 3, 9, 4, True, [["e-2", 1, "suspect", 5]]),
    messages.OnlineNews("e-1", "r-1", 2, 8),
    messages.OnlineCounts([["r-1", 2, 8], ["r-2", 0, 1]], "e-9"),
    messages.LatencyNews("e-1", "r-1", 0.2, 0.03),
    messages.LoadNews("e-1", [["r-1", 2, 3, 4]]),
    messages.JobNews("batch_1", "cancelled"),
    messages.JobsRead(7, 5, [["j", "open"], ["s", "lapsed"]], [{"id": "j"}], 2**63),
    messages.SessionsWatched(),
    messages.TargetNews("r-1", 2, True),
    messages.LoadNews("e-1", [["r-1", 1, 2, 3]]),
    messages.LoadedNews("r-1", 2, 3, {"model": "north"}, True),
    messages.ConfigurationNews(5, 4, b"\x00\xff"),
    messages.ConfigurationAsk(4),
    messages.RelayCall(1, "read", {"keys": ["a"]}, 3.0),
    messages.RelayAnswer(1, "ok", {"a": b"\xff"}),
    messages.ListNews([{"id": "r-1"}], ["r-2"], True, [["e-9", "oviedo", "h:1"]]),
    messages.ListAsk(),
    messages.TraceAsk(1, "req-1"),
    messages.TraceAnswer(1, None),
    messages.EndNews("e-1", "r-1", "c0ffee", "heat", 0.1, 0, 7.5),
    messages.SoundNews("e-1", "c0ffee", "heat", 0.4, 7.5),
]


def test_every_kind_has_an_example() -> None:
    assert {type(e).__name__ for e in EXAMPLES} == set(messages.KINDS_BY_NAME)


@pytest.mark.parametrize("message", EXAMPLES, ids=lambda m: type(m).__name__)
def test_a_message_survives_the_way_and_fields_of_a_later_release(
    message: Record,
) -> None:
    frame = encode(message)
    assert struct.unpack(">I", frame[:4]) == (len(frame) - 4,)
    assert decode(frame[4:]) == message
    later = {"is": type(message).__name__, "colour": "red", **message.to_map()}
    assert decode(pack(later)) == message


@pytest.mark.parametrize(
    ("message", "fields"),
    [
        (messages.Heartbeat(sequence=7), {"is": "Heartbeat", "sequence": 7}),
        (messages.RelayAnswer(1, "ok", []), {"value": []}),
        (messages.RelayAnswer(1, "ok", None), {}),
        (messages.ListAsk(), {"is": "ListAsk"}),
    ],
)
def test_a_field_with_its_default_is_left_out_and_comes_back(
    message: Record, fields: dict[str, Any]
) -> None:
    body = encode(message)[4:]
    assert decode(body) == message
    sent = unpack(body)
    assert fields.items() <= sent.items()
    assert "rumours" not in sent
    assert ("value" in sent) == ("value" in fields)


async def test_a_message_does_not_name_its_sender_who_said_hello() -> None:
    received: list[Record] = []
    stream = PeerStream(
        asyncio.StreamReader(),
        FakeWriter(),
        hello("e-1"),
        True,
        lambda _, message: received.append(message),
    )
    own = messages.LatencyNews("e-1", "r-1", 0.2, 0.0)
    of_other = messages.LatencyNews("e-2", "r-1", 0.2, 0.0)
    for message in (own, of_other):
        stream._handle_body(encode(message, "e-1")[4:])
    assert received == [own, of_other]
    assert "instance" not in unpack(encode(own, "e-1")[4:])


def test_online_news_is_gathered_by_sender_and_scattered_again() -> None:
    own = [messages.OnlineNews("e-1", f"r-{n}", n, 1000 + n) for n in range(3)]
    forwarded = messages.OnlineNews("e-2", "r-9", 4, 7)
    other = messages.JobNews("j", "open")
    batched = batch_online_counts([own[0], other, forwarded, *own[1:]], "e-1")
    assert batched[1] == other
    split = [n for m in (batched[0], batched[2]) for n in split_online_counts(m, "e-1")]
    assert split == [*own, forwarded]


@pytest.mark.parametrize("counts", [[["r-1", 2]], [["r-1", 2, "x"]], [7], 7])
def test_counts_that_make_no_sense_are_refused(counts: Any) -> None:
    with pytest.raises((ValueError, TypeError)):
        split_online_counts(messages.OnlineCounts(counts), "e-1")


@pytest.mark.parametrize(
    ("fields", "found"),
    [
        ({"is": "Gossip", "x": 1}, None),
        (
            {"is": "Heartbeat", "instance": "e", "incarnation": 1, "sequence": 2},
            messages.Heartbeat("e", 1, 2),
        ),
        (
            {
                "is": "Hello",
                "instance": "e",
                "availability_zone": "z",
                "incarnation": 1,
            },
            messages.Hello("e", "z", 1),
        ),
    ],
)
def test_another_release_is_understood(fields: Any, found: Record | None) -> None:
    assert decode(pack(fields)) == found


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xc1",
        b"\x93\x01",
        b"GET / HTTP",
        pack([1, 2]),
        pack({"x": 1}),
        pack({"is": 7}),
        pack({"is": "JobNews", "job": "j"}),
        pack({"is": "OnlineNews"}),
    ],
)
def test_garbage_is_no_message(body: bytes) -> None:
    with pytest.raises(MessageError):
        decode(body)


def test_a_message_too_large_for_a_frame_is_not_sent() -> None:
    with pytest.raises(MessageError):
        encode(messages.ConfigurationNews(1, 0, bytes(MAX_FRAME_BYTES)))


async def test_an_announced_giant_is_not_awaited() -> None:
    reader = asyncio.StreamReader()
    reader.feed_data(struct.pack(">I", MAX_FRAME_BYTES + 1))
    with pytest.raises(FrameError):
        await read_body(reader)


class Pipe:
    """Writer whose bytes the reader at the other end gets; records what is written."""

    def __init__(self) -> None:
        self.reader = asyncio.StreamReader()
        self.written: list[bytes] = []

    def write(self, data: bytes) -> None:
        self.written.append(data)
        self.reader.feed_data(data)

    async def drain(self) -> None:
        """Do nothing; all bytes are delivered at once."""


def hello(instance: str, **changes: Any) -> messages.Hello:
    return messages.Hello(instance, "oviedo", 1, **changes)


async def run_handshake(
    dialer: messages.Hello,
    listener: messages.Hello,
    dialer_secret: str = "s",
    listener_secret: str = "s",
) -> tuple[Any, Any, Pipe]:
    to_listener, to_dialer = Pipe(), Pipe()
    async with asyncio.timeout(5):
        listening = asyncio.ensure_future(
            handshake.listen(
                to_listener.reader, to_dialer, lambda _: listener, listener_secret
            )
        )
        listening.add_done_callback(lambda _: to_dialer.reader.feed_eof())
        try:
            dialer_result = await handshake.dial(
                to_dialer.reader, to_listener, dialer, dialer_secret
            )
        except (handshake.HandshakeError, EOFError) as error:
            dialer_result = error
        to_listener.reader.feed_eof()
        listener_result = (await asyncio.gather(listening, return_exceptions=True))[0]
    return dialer_result, listener_result, to_listener


async def test_both_ends_learn_who_the_other_is() -> None:
    dialer_result, listener_result, _ = await run_handshake(
        hello("a", port=1), hello("b", port=2)
    )
    assert (dialer_result.instance, dialer_result.port) == ("b", 2)
    assert (listener_result.instance, listener_result.port) == ("a", 1)


@pytest.mark.parametrize(
    ("dialer", "listener", "secrets"),
    [
        (hello("a"), hello("b"), ("wrong", "s")),
        (hello("a"), hello("b"), ("s", "wrong")),
        (hello("a"), hello("a"), ("s", "s")),
        (hello("a", protocol=0), hello("b"), ("s", "s")),
        (messages.Hello("a", 7, 1), hello("b"), ("s", "s")),
    ],
)
async def test_an_unproven_or_impossible_peer_is_refused(
    dialer: messages.Hello, listener: messages.Hello, secrets: tuple[str, str]
) -> None:
    dialer_result, listener_result, _ = await run_handshake(dialer, listener, *secrets)
    assert isinstance(dialer_result, Exception) or isinstance(
        listener_result, Exception
    )
    assert isinstance(listener_result, handshake.HandshakeError | EOFError)


async def test_a_recorded_handshake_is_of_no_use() -> None:
    _, _, recorded = await run_handshake(hello("a"), hello("b"))
    to_listener, to_dialer = Pipe(), Pipe()
    for data in recorded.written:
        to_listener.write(data)
    with pytest.raises(handshake.HandshakeError, match="proof"):
        await handshake.listen(to_listener.reader, to_dialer, lambda _: hello("b"), "s")


async def test_a_reflected_proof_is_of_no_use() -> None:
    """A proof made for the dialer's role does not authenticate a listener."""
    to_listener, to_dialer = Pipe(), Pipe()
    dialing = asyncio.ensure_future(
        handshake.dial(to_dialer.reader, to_listener, hello("a"), "s")
    )
    await asyncio.sleep(0)
    first = decode(to_listener.written[0][4:])
    own = handshake.with_new_nonce(hello("b"))
    proof = handshake.compute_proof("s", handshake.DIALER, own, first)
    to_dialer.write(encode(own.replace(proof=proof)))
    with pytest.raises(handshake.HandshakeError, match="proof"):
        await dialing


@pytest.mark.parametrize("field", ["instance", "availability_zone", "incarnation"])
def test_a_proof_covers_who_the_sender_is(field: str) -> None:
    mine, other = (
        handshake.with_new_nonce(hello("a")),
        handshake.with_new_nonce(hello("b")),
    )
    proof = handshake.compute_proof("s", handshake.DIALER, mine, other)
    changed = mine.replace(**{field: 9 if field == "incarnation" else "x"})
    with pytest.raises(handshake.HandshakeError):
        handshake.verify_proof("s", handshake.DIALER, changed, proof, other)


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack(">I", MAX_HELLO_BYTES + 1),
        encode(messages.JobNews("j", "open")),
        struct.pack(">I", 2) + b"\xc1\xc1",
    ],
)
async def test_what_is_no_hello_is_refused(data: bytes) -> None:
    to_listener = Pipe()
    to_listener.write(data)
    to_listener.reader.feed_eof()
    with pytest.raises((handshake.HandshakeError, EOFError)):
        await handshake.listen(to_listener.reader, Pipe(), lambda _: hello("b"), "s")


def test_newer_news_takes_the_place_of_older_and_room_is_bounded() -> None:
    outbox = Outbox(max_messages=3)
    for number in range(5):
        assert outbox.put(messages.OnlineNews("e", "r-1", number, number))
    assert outbox.put(messages.RelayCall(1, "read", {}, 1.0))
    assert outbox.put(messages.RelayCall(2, "read", {}, 1.0))
    assert not outbox.put(messages.OnlineNews("e", "r-2", 1, 9))
    assert outbox.put(messages.OnlineNews("e", "r-1", 7, 10))
    assert outbox.dropped == 1
    taken = outbox.drain()
    assert taken[0] == messages.OnlineNews("e", "r-1", 7, 10)
    assert [type(m).__name__ for m in taken] == ["OnlineNews", "RelayCall", "RelayCall"]
    assert outbox.drain() == []


class FakeWriter:
    """Minimal writer for an idle stream."""

    def __init__(self) -> None:
        self.closed = False

    def get_extra_info(self, name: str) -> tuple[str, int]:
        return ("127.0.0.1", 7)

    def close(self) -> None:
        self.closed = True


async def test_a_silent_stream_is_closed_and_a_talking_one_is_not() -> None:
    writer = FakeWriter()
    stream = PeerStream(asyncio.StreamReader(), writer, hello("a"), True, print)
    stream.close_if_silent(100.0)
    stream.close_if_silent(100.0 + SILENCE_TIMEOUT_S - 1)
    stream.bytes_in += 1
    stream.close_if_silent(100.0 + SILENCE_TIMEOUT_S)
    assert not writer.closed
    stream.close_if_silent(100.0 + 2 * SILENCE_TIMEOUT_S)
    assert writer.closed
    assert not stream.send(messages.ListAsk())
