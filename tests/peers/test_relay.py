"""Platform calls relayed through a peer: outcomes, refusals and end to end."""

import asyncio
from typing import Any

import pytest
from result import Err, Ok, Result

from caperridge.decisions.membership import Membership
from caperridge.decisions.relay_choice import BASE_COOLDOWN_S, RelaySelector
from caperridge.instance.relay import (
    MOST_CALLS_IN,
    MOST_RELAYED_BYTES,
    RelayClient,
    RelayServer,
)
from caperridge.peers.interface import NoPeers
from caperridge.peers.messages import RelayAnswer, RelayCall
from caperridge.records import Record, pack, unpack
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import (
    Committed,
    Conflict,
    FieldEquals,
    ListedMember,
    NotDone,
    Platform,
    PutRow,
    Row,
    RowAbsent,
    Unknown,
)
from caperridge.store.relay import PROBE_INTERVAL_S, RelayedPlatform, RelayTransport
from caperridge.store.relay_wire import (
    RelayError,
    decode_outcome,
    encode_outcome,
    perform,
)
from conftest import until
from peers.conftest import Mesh
from peers.cuts import CUT, CutPlatform

SILENT = Err(Unknown("no answer", reached=False))
THROTTLED = Err(NotDone("throttled", 0.2))
FAILED = Err(Unknown("the platform failed"))
DONE = Ok(Committed({"k": 1}))
CONFLICT = Err(Conflict(["k"], {"k": Row("k", {"x": 1}, 3, "t"), "l": None}))


class ScriptedPlatform(MemoryPlatform):
    """Answers every call with the scripted outcome; counts them."""

    def __init__(self, outcome: Result[Any, Any]) -> None:
        super().__init__(lambda: 0.0)
        self.outcome = outcome
        self.calls = 0

    async def transact(self, *_: Any) -> Any:
        self.calls += 1
        return self.outcome

    async def read(self, *_: Any) -> Any:
        self.calls += 1
        return self.outcome


class ScriptedTransport(RelayTransport):
    """A relay that answers with the scripted outcome."""

    def __init__(self, outcome: Result[Any, Any]) -> None:
        self.outcome = outcome
        self.calls = 0
        self.needed: list[bool] = []

    async def call(self, method: str, arguments: dict[str, Any]) -> Any:
        self.calls += 1
        return self.outcome

    def set_needed(self, cut_off: bool) -> None:
        self.needed.append(cut_off)


@pytest.mark.parametrize(
    ("direct", "way", "write", "read"),
    [
        (DONE, CUT, DONE, DONE),
        (CONFLICT, DONE, CONFLICT, CONFLICT),
        (THROTTLED, DONE, THROTTLED, THROTTLED),
        (FAILED, DONE, FAILED, FAILED),
        (CUT, DONE, DONE, DONE),
        (CUT, CONFLICT, CONFLICT, CONFLICT),
        (CUT, SILENT, SILENT, SILENT),
        (CUT, CUT, CUT, CUT),
        # A write that may have been sent is in doubt, whatever a relay would answer.
        (SILENT, DONE, SILENT, DONE),
        (SILENT, CUT, SILENT, SILENT),
    ],
)
async def test_the_outcome_stays_true(
    direct: Any, way: Any, write: Any, read: Any
) -> None:
    for call, expected in (("transact", write), ("read", read)):
        platform = RelayedPlatform(ScriptedPlatform(direct), lambda: 0.0)
        platform.transport = ScriptedTransport(way)
        arguments = ([], [], "t") if call == "transact" else (["k"],)
        assert await getattr(platform, call)(*arguments) == expected
        assert platform.direct.calls == 1
        await platform.close()


async def test_while_cut_off_the_relay_is_asked_first_and_the_direct_way_probed() -> (
    None
):
    now = [0.0]
    direct, way = ScriptedPlatform(CUT), ScriptedTransport(DONE)
    platform = RelayedPlatform(direct, lambda: now[0])
    platform.transport = way
    for _ in range(5):
        assert await platform.transact([], [], "t") == DONE
    assert (direct.calls, way.calls, way.needed) == (1, 5, [True])
    direct.outcome = DONE
    now[0] += PROBE_INTERVAL_S
    assert await platform.transact([], [], "t") == DONE
    await until(lambda: not platform.cut_off)
    assert way.needed == [True, False]
    calls = way.calls
    assert await platform.transact([], [], "t") == DONE
    assert way.calls == calls
    await platform.close()


async def test_while_cut_off_the_direct_way_is_tried_if_no_peer_can_help() -> None:
    platform = RelayedPlatform(ScriptedPlatform(DONE), lambda: 0.0)
    platform.transport = ScriptedTransport(CUT)
    platform.cut_off = True
    assert await platform.transact([], [], "t") == DONE
    assert not platform.cut_off
    await platform.close()


@pytest.mark.parametrize("outcome", [DONE, CONFLICT, CUT, SILENT, THROTTLED, FAILED])
def test_an_outcome_keeps_its_class_on_the_way(outcome: Any) -> None:
    kind, value = encode_outcome(outcome)
    assert decode_outcome("transact", kind, unpack(pack(value))) == outcome


@pytest.mark.parametrize(
    ("outcome", "value"), [("maybe", 1), ("Conflict", None), ("ok", 7), ("NotDone", {})]
)
def test_an_outcome_that_makes_no_sense_is_an_error(outcome: str, value: Any) -> None:
    with pytest.raises(RelayError):
        decode_outcome("transact", outcome, value)


CALLS = [
    ("transact", [RowAbsent("k")], [PutRow("k", {"a": b"\x00"})], "t"),
    ("transact", [FieldEquals("none", "a", 1)], [], "t"),
    ("put_object", "o", b"\x00\xff"),
    ("read", ["k"]),
    ("scan", "k"),
    ("get_object", "o", 1, 1),
    ("get_object", "none"),
    ("list_objects", "o"),
    ("members",),
    ("delete_object", "o"),
]


class WireRelay(RelayTransport):
    """A relay in this process that encodes and decodes its calls."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform

    async def call(self, method: str, arguments: dict[str, Any]) -> Any:
        outcome = await perform(self.platform, method, unpack(pack(arguments)))
        kind, value = encode_outcome(outcome)
        return decode_outcome(method, kind, unpack(pack(value)))

    def set_needed(self, cut_off: bool) -> None:
        """Do nothing."""


async def test_each_call_through_a_relay_is_as_the_direct_one() -> None:
    direct, remote = MemoryPlatform(lambda: 0.0), MemoryPlatform(lambda: 0.0)
    for memory in (direct, remote):
        memory.set_members([ListedMember("r-1", "target", "h:1", "oviedo")])
    relayed = RelayedPlatform(ScriptedPlatform(CUT), lambda: 0.0)
    relayed.transport = WireRelay(remote)
    relayed.cut_off = True
    for method, *arguments in CALLS:
        expected = await getattr(direct, method)(*arguments)
        assert await getattr(relayed, method)(*arguments) == expected
    await relayed.close()


@pytest.mark.parametrize(
    ("method", "arguments"),
    [("close", {}), ("__init__", {}), ("read", {}), ("transact", {"token": "t"})],
)
async def test_a_call_that_makes_no_sense_is_not_made(
    method: str, arguments: dict[str, Any]
) -> None:
    with pytest.raises(RelayError):
        await perform(MemoryPlatform(lambda: 0.0), method, arguments)


class RecordingPeers(NoPeers):
    """Peers without sockets; records sent messages."""

    def __init__(self, *connected: str) -> None:
        self.ids = list(connected)
        self.sent: list[tuple[str, Record]] = []

    def send(self, instance: str, message: Record) -> bool:
        self.sent.append((instance, message))
        return instance in self.ids

    def connected(self) -> list[str]:
        return self.ids


def client(peers: RecordingPeers, deadline_s: float = 5.0) -> RelayClient:
    return RelayClient(peers, Membership("a", "oviedo"), deadline_s, lambda: 0.0)


async def test_a_stream_that_ends_leaves_the_outcome_unknown() -> None:
    peers = RecordingPeers("b")
    relay = client(peers)
    call = asyncio.ensure_future(relay.call("transact", {}))
    await until(lambda: peers.sent)
    relay.closed("b")
    assert (await call).err_value == Unknown(
        "the stream to the relay ended", reached=False
    )


async def test_an_answer_of_another_peer_or_call_is_not_taken() -> None:
    peers = RecordingPeers("b")
    relay = client(peers)
    call = asyncio.ensure_future(relay.call("read", {}))
    await until(lambda: peers.sent)
    number = peers.sent[0][1].number
    relay.answered("c", RelayAnswer(number, "ok", {}))
    relay.answered("b", RelayAnswer(number + 1, "ok", {}))
    await asyncio.sleep(0)
    assert not call.done()
    relay.answered("b", RelayAnswer(number, "ok", {}))
    assert await call == Ok({})
    relay.answered("b", RelayAnswer(number, "ok", {}))


async def test_a_peer_that_cannot_help_is_followed_by_another() -> None:
    peers = RecordingPeers("b", "c")
    relay = client(peers)
    call = asyncio.ensure_future(relay.call("read", {}))
    await until(lambda: len(peers.sent) == 1)
    kind, value = encode_outcome(CUT)
    relay.answered("b", RelayAnswer(peers.sent[0][1].number, kind, value.to_map()))
    await until(lambda: len(peers.sent) == 2)
    assert peers.sent[1][0] == "c"
    relay.answered("c", RelayAnswer(peers.sent[1][1].number, "ok", {}))
    assert await call == Ok({})


async def test_no_peer_or_too_large_a_call_is_not_done() -> None:
    assert (await client(RecordingPeers()).call("read", {})) == Err(
        NotDone("no peer reaches the platform", reached=False)
    )
    too_large = {"name": "o", "data": bytes(MOST_RELAYED_BYTES)}
    outcome = await client(RecordingPeers("b")).call("put_object", too_large)
    assert isinstance(outcome.err_value, NotDone)


async def test_a_busy_relay_refuses_and_its_calls_end_in_time() -> None:
    memory = MemoryPlatform(lambda: 0.0)
    memory.faults.slow_s = 60.0
    peers = RecordingPeers("b")
    server = RelayServer(memory, peers)
    for number in range(MOST_CALLS_IN + 1):
        server.called("b", RelayCall(number, "read", {"keys": []}, 0.05))
    answer = peers.sent[0][1]
    assert (answer.number, answer.outcome) == (MOST_CALLS_IN, "NotDone")
    await until(lambda: len(peers.sent) == MOST_CALLS_IN + 1)
    assert {m.outcome for _, m in peers.sent[1:]} == {"Unknown"}
    await server.stop()


def test_a_relay_elsewhere_is_preferred_and_a_failed_one_sits_out() -> None:
    choice = RelaySelector("a", "oviedo")
    zones = {"b": "oviedo", "c": "bilbao", "d": "santander"}
    assert choice.pick(zones, {}, [], 0.0) == "c"
    assert choice.pick(zones, {"c": 1}, [], 0.0) == "d"
    choice.record_failure("c", 0.0)
    assert choice.pick(zones, {}, ["d"], 0.0) == "b"
    assert choice.pick(zones, {}, [], BASE_COOLDOWN_S) == "c"
    opened = choice.peers_to_connect(
        {"oviedo": ["a"], "bilbao": ["c"], "santander": ["d"]}
    )
    assert sorted(opened) == ["c", "d"]


async def test_an_instance_cut_off_from_the_platform_reaches_it_elsewhere(
    mesh: Mesh,
) -> None:
    way = CutPlatform(mesh.memory)
    first = await mesh.start("entry-1", "oviedo", platform=way)
    await mesh.start("entry-2", "bilbao")
    await until(lambda: first.peers.connected() == ["entry-2"])
    way.cut = True
    done = await first.platform.transact([RowAbsent("k")], [PutRow("k", {})], "t")
    assert done == Ok(Committed({"k": 1}))
    assert mesh.memory.rows_by_key["k"].token == "t"
    state = first.state()
    assert state["platform_cut_off"]
    assert state["platform_relayed"] >= 1
    way.cut = False
    await until(lambda: not first.platform.cut_off)


async def test_a_fresh_instance_of_a_cut_off_zone_learns_all_from_a_seed(
    mesh: Mesh,
) -> None:
    ways = [CutPlatform(mesh.memory) for _ in range(4)]
    mesh.memory.set_members([])
    target = ListedMember("runner-1", "target", "h:1", "oviedo", service="chat")
    mesh.list_member(target)
    first = await mesh.start("entry-1", platform=ways[0])
    second = await mesh.start("entry-2", platform=ways[1])
    await until(lambda: first.peers.connected() == ["entry-2"])
    for way in ways:
        way.cut = True
    seeds = [first.addresses_by_listener["peers"]]
    started = [
        await mesh.start(f"entry-{n}", platform=ways[n - 1], listed=False, seeds=seeds)
        for n in (3, 4)
    ]
    for instance in started:
        await until(lambda i=instance: "runner-1" in i.online.book.states_by_id)
        await until(lambda i=instance: len(i.peers.connected()) == 3)
    # The two ends of a stream notice it at different times.
    others = ["entry-1", "entry-3", "entry-4"]
    await until(lambda: second.peers.connected() == others)
    names = ["entry-1", "entry-2", "entry-3", "entry-4"]
    for instance in mesh.instances_by_id.values():
        await until(lambda i=instance: i.membership.live("oviedo") == names)
