"""Batch streams against an engine stand-in: they are preempted without lost tokens."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from caperridge.instance.batch_streams import BatchStreams
from caperridge.instance.item_work import ItemWork
from caperridge.measure.fleet import SERVICE, FleetShape, StandinFleet, running_fleet
from caperridge.measure.load import LoadFigures, one_request
from caperridge.peers.messages import OnlineNews
from caperridge.standins.engine_model import EngineCosts, answer_text
from caperridge.store.interface import ListedMember
from conftest import until

MAX_RUNNING = 6
COSTS = EngineCosts(step_s=0.008, sequence_s=0.0001, most_running=MAX_RUNNING)
TOKENS = 40


class SaturatedFleet:
    """A fleet with one instance and one engine that is filled by batch."""

    def __init__(self, fleet: StandinFleet) -> None:
        self.fleet = fleet
        self.engine = fleet.engines_by_id["runner-1"]
        self.instance = fleet.instances_by_id["entry-1"]
        self.streams: BatchStreams = self.instance.streams
        self.works: list[ItemWork] = []
        self.errors_by_request: dict[str, Any] = {}
        self.streams.finished = self._finished

    def _finished(self, work: ItemWork, error: Any) -> None:
        assert work.request not in self.errors_by_request
        self.errors_by_request[work.request] = error

    def submit(self, count: int) -> None:
        for number in range(count):
            body = {"model": SERVICE, "prompt": f"log {number}", "max_tokens": TOKENS}
            work = ItemWork(f"j.{number}", "j", SERVICE, "/v1/completions", body)
            self.works.append(work)
            self.streams.submit(work)

    @property
    def at_engine(self) -> int:
        model = self.engine.model
        return len(model.running_by_attempt) + len(model.waiting)

    def batch_running(self) -> int:
        return len(self.streams.state()["running"])

    def preemption_count(self) -> int:
        return sum(work.preemptions for work in self.works)

    def check_complete(self) -> None:
        assert set(self.errors_by_request.values()) == {None}
        for number, work in enumerate(self.works):
            assert "".join(work.texts) == answer_text(f"log {number}", TOKENS)

    async def send_online(self, count: int, tokens: int = 10) -> LoadFigures:
        figures = LoadFigures()
        url = self.fleet.callers_urls()[0]
        requests = []
        for number in range(count):
            body = {"model": SERVICE, "prompt": f"q {number}", "max_tokens": tokens}
            requests.append(one_request(self.fleet.http, url, body, figures))
        await asyncio.gather(*requests)
        return figures


@asynccontextmanager
async def saturated(items: int = 20) -> AsyncIterator[SaturatedFleet]:
    async with running_fleet(FleetShape(engines=1, costs=COSTS)) as fleet:
        world = SaturatedFleet(fleet)
        world.submit(items)
        await until(lambda: world.batch_running() >= MAX_RUNNING - 1)
        yield world


async def test_online_preempts_batch_and_batch_completes_whole() -> None:
    async with saturated() as world:
        figures = await world.send_online(5)
        assert (figures.answered, figures.failed) == (5, 0)
        assert world.preemption_count() >= 4
        await until(lambda: len(world.errors_by_request) == len(world.works))
        world.check_complete()


async def test_an_online_request_has_its_place_at_the_engine_within_a_few_steps() -> (
    None
):
    async with saturated() as world:
        waits: list[int] = []
        submit = world.engine.submit

        def watch(sequence: Any) -> Any:
            queue = submit(sequence)
            if sequence.request.startswith("req-"):
                asyncio.get_running_loop().call_later(
                    0.03, check_waiting, sequence.attempt
                )
            return queue

        def check_waiting(attempt: str) -> None:
            waits.append(sum(s.attempt == attempt for s in world.engine.model.waiting))

        world.engine.submit = watch
        await world.send_online(4, tokens=20)
        assert waits == [0, 0, 0, 0]


async def news_of_a_peer(world: SaturatedFleet) -> None:
    for sequence, in_flight in enumerate([1, 3, MAX_RUNNING], 1):
        news = OnlineNews("entry-9", "runner-1", in_flight, sequence)
        world.streams.online_changed(
            news.target, news.instance, news.in_flight, news.sequence
        )
    assert world.batch_running() == 0


async def news_of_the_lease(world: SaturatedFleet) -> None:
    items = list(world.works)
    world.streams.drop_all()
    assert world.batch_running() == 0
    for work in items:
        if work.request not in world.errors_by_request:
            world.streams.submit(work)


async def a_cut_stream(world: SaturatedFleet) -> None:
    world.engine.faults.cut_after = 3
    await asyncio.sleep(0.1)
    world.engine.faults.cut_after = 0


async def the_runner_goes_to_a_peer(world: SaturatedFleet) -> None:
    members = list(world.fleet.members_by_id.values())
    names = iter(f"entry-{n}" for n in range(2, 99))
    membership = world.instance.membership
    while membership.owner("runner-1", "oviedo") == "entry-1":
        peer = ListedMember(next(names), "instance", "127.0.0.1:1", "oviedo")
        members.append(peer)
        membership.apply_list(members)
    world.fleet.platform.set_members(members)
    await until(lambda: world.batch_running() == 0)
    assert any(0 < len(work.texts) < TOKENS for work in world.works)
    world.fleet.platform.set_members(list(world.fleet.members_by_id.values()))


@pytest.mark.parametrize(
    "disturb",
    [news_of_a_peer, news_of_the_lease, a_cut_stream, the_runner_goes_to_a_peer],
)
async def test_a_disturbed_item_has_each_token_once(
    disturb: Callable[[SaturatedFleet], Any],
) -> None:
    async with saturated() as world:
        # An item that fails is submitted again, as the dispatcher does.
        finished = world.streams.finished

        def resubmit(work: ItemWork, error: Any) -> None:
            finished(work, None) if error is None else world.streams.submit(work)

        world.streams.finished = resubmit
        await until(lambda: sum(len(work.texts) > 4 for work in world.works) >= 4)
        tokens_before = [len(work.texts) for work in world.works]
        await disturb(world)
        for work, tokens in zip(world.works, tokens_before, strict=True):
            assert len(work.texts) >= tokens
        await until(lambda: len(world.errors_by_request) == len(world.works), 15.0)
        world.check_complete()


async def test_a_cancelled_job_leaves_nothing_at_the_engine() -> None:
    async with saturated() as world:
        world.streams.cancel_job("j")
        await until(lambda: world.at_engine == 0)
        await asyncio.sleep(0.05)
        assert world.at_engine == 0
        readers = [str(task.get_coro()) for task in asyncio.all_tasks()]
        assert not [reader for reader in readers if "BatchStreams._run" in reader]
        assert world.streams.state()["waiting_by_service"] == {SERVICE: 0}


# Guards against items that go on at another software version after their target is lost
# or gives them up.
async def test_an_item_starts_over_at_another_software_version() -> None:
    shape = FleetShape(engines=0, costs=COSTS)
    async with running_fleet(shape) as fleet:
        old = await fleet.add_engine("runner-1", software_version="v1")
        world = SaturatedFleet(fleet)
        world.submit(MAX_RUNNING)
        await until(lambda: sum(len(work.texts) > 4 for work in world.works) >= 4)
        new = await fleet.add_engine("runner-2", software_version="v2")
        started_over: list[str] = []

        def start(work: ItemWork, target: str) -> None:
            before = len(work.texts)
            plain_start(work, target)
            if before and target == "runner-2":
                assert not work.texts
                started_over.append(work.request)

        plain_start, world.streams._start = world.streams._start, start
        fleet.unlist("runner-1")
        await old.stop()
        await until(lambda: len(world.errors_by_request) == len(world.works), 15.0)
        world.check_complete()
        assert started_over
        assert new.tokens_produced >= len(started_over) * TOKENS


# Guards against tokens that are dropped although another item can use the place.
async def test_a_place_goes_first_to_an_item_that_need_not_start_over() -> None:
    async with saturated() as world:
        streams = world.streams
        begun, fresh = (
            ItemWork(f"j.{name}", "j", SERVICE, "/v1/completions", {})
            for name in ("begun", "fresh")
        )
        begun.texts.append("a")
        begun.software_version = "another"
        streams.book.states_by_id["runner-1"].member.software_version = "v1"
        waiting = deque([begun, fresh])
        assert streams._take_next("runner-1", waiting) is begun
        streams.book.states_by_id["runner-2"] = streams.book.states_by_id[
            "runner-1"
        ].replace(
            member=streams.book.states_by_id["runner-1"].member.replace(
                id="runner-2", software_version="another"
            )
        )
        streams.own.by_service[SERVICE].append("runner-2")
        waiting = deque([begun, fresh])
        assert streams._take_next("runner-1", waiting) is fresh
        assert streams._take_next("runner-1", waiting) is begun
        assert not waiting


# Guards against items that go back to a failing target for ever: each place elsewhere
# was declined while the only target of their software version seemed to have room.
async def test_an_item_starts_over_rather_than_decline_a_place() -> None:
    shape = FleetShape(engines=0, costs=COSTS)
    async with running_fleet(shape) as fleet:
        old = await fleet.add_engine("runner-1", software_version="v1")
        world = SaturatedFleet(fleet)
        finished = world.streams.finished

        def resubmit(work: ItemWork, error: Any) -> None:
            finished(work, None) if error is None else world.streams.submit(work)

        world.streams.finished = resubmit
        world.submit(2)
        await until(lambda: all(len(work.texts) > 4 for work in world.works))
        await fleet.add_engine("runner-2", software_version="v2")
        old.faults.refuse_status = 503
        for item in world.streams._running.listed():
            world.streams._requeue(item)
        world.streams.fill()
        await until(lambda: len(world.errors_by_request) == len(world.works), 6.0)
        world.check_complete()
