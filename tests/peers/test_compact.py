"""Compact encoding of frequent messages: round trips and rejected input."""

import asyncio
from typing import Any

import pytest

from caperridge.peers.codec import Codec, NamesError
from caperridge.peers.compact import (
    COMPACT_PROTOCOL,
    MAX_NAMES,
    NameDecoder,
    NameEncoder,
)
from caperridge.peers.messages import (
    Heartbeat,
    Hello,
    JobNews,
    LatencyNews,
    LoadNews,
    OnlineCounts,
)
from caperridge.peers.stream import PeerStream
from caperridge.records import Record, pack, unpack
from peers.test_frames import FakeWriter

MESSAGES = [
    Heartbeat("", 0, 7, 3, True, [["e-2", 9, "suspect", 4]]),
    Heartbeat("e-9", 12, 8),
    OnlineCounts([["r-1", 2, 70], ["r-2", 1, 1]]),
    OnlineCounts([["r-2", 0, 90]], "e-9"),
    LatencyNews("", "r-3", 0.25, 0.5),
    LatencyNews("e-9", "r-1", 0.25),
    LoadNews("", [["r-1", 1, 0, 5], ["r-4", 2, 3, 0]]),
    JobNews("j-1", "open"),
]


def encoded_body(codec: Codec, message: Record) -> bytes:
    return codec.encode(message)[4:]


@pytest.mark.parametrize("protocol", [1, COMPACT_PROTOCOL, COMPACT_PROTOCOL + 1])
def test_what_is_sent_comes_out_again_at_an_old_release_too(protocol: int) -> None:
    sender, receiver = Codec("e-1", protocol), Codec("e-2", COMPACT_PROTOCOL)
    for message in MESSAGES * 2:
        assert receiver.decode(encoded_body(sender, message)) == message


def test_an_old_release_gets_maps_only() -> None:
    codec = Codec("e-1", COMPACT_PROTOCOL - 1)
    assert all(isinstance(unpack(encoded_body(codec, m)), dict) for m in MESSAGES)


def test_a_name_is_sent_once_and_an_own_message_names_no_sender() -> None:
    codec = Codec("e-1", COMPACT_PROTOCOL)
    news = LatencyNews("e-1", "r-1", 0.25)
    assert unpack(encoded_body(codec, news))[1:] == ["r-1", 0.25]
    assert unpack(encoded_body(codec, news))[1:] == [0, 0.25]


def test_of_sequences_the_step_is_sent() -> None:
    codec = Codec("e-1", COMPACT_PROTOCOL)
    for first in (2_000_000_000_000, 2_000_000_000_003):
        parts = unpack(
            encoded_body(codec, OnlineCounts([["r-1", 1, first], ["r-2", 1, 1]]))
        )
    assert parts[1] == [[0, 1, 3], [1, 1, 1]]


def test_both_ends_stop_numbering_at_the_same_name() -> None:
    encoder, decoder = NameEncoder(), NameDecoder()
    names = [f"r-{n}" for n in range(MAX_NAMES + 2)]
    for name in names * 2:
        assert decoder.convert_name(encoder.convert_name(name)) == name
    assert encoder.convert_name(names[MAX_NAMES - 1]) == MAX_NAMES - 1
    assert encoder.convert_name(names[MAX_NAMES]) == names[MAX_NAMES]
    for number in (MAX_NAMES, -1):
        with pytest.raises(ValueError, match="not the number of a name"):
            decoder.convert_name(number)


@pytest.mark.parametrize(
    ("parts", "expected"),
    [
        (
            [1, 7, 0, [], False, 0, "", "a field of a later release"],
            Heartbeat("", 0, 7),
        ),
        ([1], Heartbeat()),
        ([3, "r-1"], LatencyNews("", "r-1")),
        ([99, 1], None),
        ([], None),
    ],
)
def test_later_fields_and_codes_are_skipped(parts: list[Any], expected: Any) -> None:
    assert Codec("e-1", COMPACT_PROTOCOL).decode(pack(parts)) == expected


INVALID_MESSAGES = [
    [3, 0],
    [3, -1],
    [3, None],
    [2, [[5, 1, 1]]],
    [2, [7]],
    [2, 7],
    [2, [["r-1", 1]]],
    [2, [["r-1", 1, "x"]]],
    [2],
    [4, [[0, 1, 1, 1]]],
    [4, [[]]],
    [[], 1],
]


@pytest.mark.parametrize("parts", INVALID_MESSAGES)
def test_a_stream_whose_names_are_out_of_step_is_closed(parts: list[Any]) -> None:
    with pytest.raises(NamesError):
        Codec("e-1", COMPACT_PROTOCOL).decode(pack(parts))


async def test_names_out_of_step_end_the_stream_and_a_map_that_is_wrong_does_not() -> (
    None
):
    hello = Hello("e-1", "oviedo", 1, protocol=COMPACT_PROTOCOL)
    received: list[Record] = []
    stream = PeerStream(
        asyncio.StreamReader(),
        FakeWriter(),
        hello,
        True,
        lambda _, m: received.append(m),
    )
    stream._handle_body(pack({"is": "JobNews"}))
    assert not stream.closed
    stream._handle_body(pack([3, 0]))
    assert stream.closed
    assert received == []
