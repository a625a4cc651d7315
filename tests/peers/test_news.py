"""The shared member list, updates from peers and the stream registry; no sockets."""

import asyncio
from typing import Any

import pytest
from result import Err, Ok

from caperridge.decisions.membership import Membership
from caperridge.decisions.routing import TargetPool
from caperridge.instance.members import POLL_S, MembersReader
from caperridge.instance.messages import JobsChanged, MembersListed
from caperridge.instance.peer_news import PeerNews
from caperridge.peers.interface import NoPeers, PeerListener
from caperridge.peers.messages import (
    JobNews,
    ListAsk,
    ListNews,
    OnlineNews,
    TargetNews,
)
from caperridge.peers.streams import Streams
from caperridge.records import Record
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import ListedMember, NotDone

ZONE = "oviedo"


def target(name: str, **changes: Any) -> ListedMember:
    return ListedMember(name, "target", "h:1", ZONE, **changes)


class Recorder(NoPeers):
    """Records sent messages and their receivers; every send succeeds."""

    def __init__(self, *connected: str) -> None:
        self.ids = list(connected)
        self.sent: list[tuple[str, Record]] = []
        self.listeners: list[PeerListener] = []

    def send(self, instance: str, message: Record) -> bool:
        self.sent.append((instance, message))
        return True

    def send_zone(self, message: Record) -> int:
        self.sent.append(("zone", message))
        return 1

    def connected(self) -> list[str]:
        return self.ids


class ScriptedPlatform(MemoryPlatform):
    """Returns the list that the test sets, after ``before`` ran; None: unreachable."""

    def __init__(self) -> None:
        super().__init__(lambda: 0.0)
        self.listed: list[ListedMember] | None = []
        self.before: Any = None

    async def members(self) -> Any:
        if self.before is not None:
            self.before()
        return Err(NotDone("away")) if self.listed is None else Ok(self.listed)


class Reader:
    """A member list reader whose iterations the test runs."""

    def __init__(self, *connected: str, readers: int = 1) -> None:
        self.platform = ScriptedPlatform()
        self.peers = Recorder(*connected)
        self.lists: list[set[str]] = []
        self.reader = MembersReader(
            self.platform, self.listed, self.peers, lambda: readers
        )

    def listed(self, message: MembersListed) -> None:
        self.lists.append({member.id for member in message.members})

    async def poll(self, *members: ListedMember) -> None:
        self.platform.listed = list(members)
        polls = self.reader.polls
        while self.reader.polls == polls:
            await self.reader.idle()

    def receive(self, message: Record) -> None:
        self.reader._take(message, "b")


async def test_only_what_changed_is_told_to_the_zone() -> None:
    reader = Reader("b")
    await reader.poll(target("r-1"), target("r-2"))
    assert reader.peers.sent == []
    await reader.poll(target("r-2", state="leaving"), target("r-3"))
    ((to, news),) = reader.peers.sent
    assert (to, news.removed, news.whole) == ("zone", ["r-1"], False)
    assert [fields["id"] for fields in news.members] == ["r-2", "r-3"]
    await reader.poll(target("r-2", state="leaving"), target("r-3"))
    assert len(reader.peers.sent) == 1
    assert len(reader.lists) == 2


async def test_a_change_reported_by_a_peer_is_taken_over_a_reading_begun_before() -> (
    None
):
    reader = Reader("b")
    await reader.poll(target("r-1"))
    change = ListNews([target("r-2").to_map()], ["r-1"])
    reader.platform.before = lambda: reader.receive(change)
    await reader.poll(target("r-1"))
    assert reader.lists[-1] == {"r-2"}


async def test_a_change_of_an_unknown_list_is_of_no_use_but_a_whole_one_is() -> None:
    reader = Reader("b")
    reader.receive(ListNews([target("r-2").to_map()]))
    assert not reader.reader.known
    reader.receive(ListNews([target("r-2").to_map()], whole=True))
    assert reader.reader.known
    assert reader.lists == [{"r-2"}]


async def test_a_reader_without_list_asks_a_peer_and_one_without_does_not_tell() -> (
    None
):
    reader = Reader("b")
    reader.platform.listed = None
    await reader.reader.idle()
    assert reader.peers.sent == [("b", ListAsk())]
    reader.receive(ListAsk())
    assert len(reader.peers.sent) == 1


@pytest.mark.parametrize("readers", [1, 23])
async def test_the_reading_is_shared_by_all_instances_of_a_zone(readers: int) -> None:
    reader = Reader("b", readers=readers)
    await reader.poll(target("r-1"))
    iterations = 20_000
    for _ in range(iterations):
        await reader.reader.idle()
    mean_s = iterations * reader.reader.idle_s / reader.reader.polls
    assert 0.8 * POLL_S * readers < mean_s < 1.3 * POLL_S * readers


class RecordingStreams:
    """Batch streams that only record notifications."""

    def __init__(self) -> None:
        self.notified: list[tuple[str, str, int]] = []
        self.gone: list[str] = []

    def online_changed(
        self, target: str, sender: str, in_flight: int, sequence: int
    ) -> None:
        self.notified.append((target, sender, in_flight))

    def sender_gone(self, sender: str) -> None:
        self.gone.append(sender)


def make_peer_news(
    owner: str,
) -> tuple[PeerNews, RecordingStreams, Recorder, list[Any], TargetPool]:
    view = Membership("a", ZONE)
    others = [ListedMember(i, "instance", "h:1", ZONE) for i in ("a", "b")]
    view.apply_list(others)
    keys = [f"r-{n}" for n in range(30) if view.owner(f"r-{n}", ZONE) == owner]
    book = TargetPool(ZONE)
    book.apply_list([target(keys[0], incarnation=2)])
    loads, peers, jobs = RecordingStreams(), Recorder("b"), []
    news = PeerNews([book], loads, jobs.append, view, peers)
    return news, loads, peers, jobs, book


@pytest.mark.parametrize(
    ("owner", "sender", "instance", "forwarded"),
    [
        ("a", "c", "c", False),
        ("b", "c", "c", True),
        ("b", "d", "c", False),
        ("b", "b", "b", False),
    ],
)
def test_online_news_gets_to_the_dispatcher_that_is_known_here_in_one_more_step(
    owner: str, sender: str, instance: str, forwarded: bool
) -> None:
    news, loads, peers, _, book = make_peer_news(owner)
    (name,) = book.states_by_id
    message = OnlineNews(instance, name, 4, 9)
    news.take(sender, message)
    assert peers.sent == ([("b", message)] if forwarded else [])
    assert loads.notified == ([] if forwarded else [(name, instance, 4)])
    news.removed("c")
    assert loads.gone == ["c"]


@pytest.mark.parametrize(("incarnation", "leaving"), [(1, False), (2, True)])
def test_a_target_leaves_only_in_its_incarnation(
    incarnation: int, leaving: bool
) -> None:
    news, _, _, jobs, book = make_peer_news("a")
    (name,) = book.states_by_id
    news.take("b", TargetNews(name, incarnation, True))
    assert book.states_by_id[name].leaving == leaving
    news.take("b", JobNews("batch_1", "cancelled"))
    news.take("b", JobNews("batch_2", "open"))
    assert jobs == [JobsChanged("batch_1"), JobsChanged("")]


class FakeStream:
    """The part of a stream that the stream registry uses."""

    def __init__(self, instance: str, dialed: bool, incarnation: int = 1) -> None:
        self.instance = instance
        self.dialed = dialed
        self.closed = False
        self.hello = ListedMember(instance, "", "", ZONE, incarnation=incarnation)

    def close(self) -> None:
        self.closed = True


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_both_ends_keep_the_same_one_of_two_streams(order: tuple[int, int]) -> None:
    """If both dial at once, the stream opened by a is kept, in either order."""
    for own, other, kept in (("a", "b", 0), ("b", "a", 1)):
        streams = Streams(own, ZONE)
        both = [FakeStream(other, True), FakeStream(other, False)]
        for index in order:
            streams.add(both[index])
        assert streams.by_id[other] is both[kept]
        assert [s.closed for s in both] == [kept != 0, kept != 1]


async def test_a_later_incarnation_has_the_stream() -> None:
    streams = Streams("a", ZONE)
    later, earlier = FakeStream("b", False, 9), FakeStream("b", True, 8)
    assert streams.add(later)
    assert not streams.add(earlier)
    assert streams.by_id["b"] is later
    await asyncio.sleep(0)
