"""Quarantine of prompt parts that crash each target that begins to write on them.

Guards against requests that are all different, but share one part of their prompts
under which each target crashes. They came to all instances; each was judged by its
whole content, so none was recognised, and up to 26 targets crashed in a row. Sound
requests share the caller and the other parts.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from multidict import CIMultiDict

from caperridge.decisions import suspects
from caperridge.decisions.quarantine import PART_SETTLE_S, Quarantine
from caperridge.decisions.suspect_keys import part_keys
from caperridge.decisions.suspects import (
    PART_QUARANTINE_THRESHOLD_AFTER_GOOD_RUN,
    Hold,
)
from caperridge.gateway import (
    held_rows,
    request_guard,
    suspect_writes,
)
from caperridge.gateway.clock import StoreClock
from caperridge.gateway.held_rows import HeldRow
from caperridge.gateway.jobs.codec import to_bytes
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.messages import SoundRuns, Suspects, TargetEnded
from caperridge.gateway.process import GatewayInstance
from caperridge.gateway.rows import RowKey, StoredRow
from caperridge.gateway.table_watchers import QUARANTINE_READ_INTERVAL_S
from caperridge.gateway.watcher import StoreReachability
from caperridge.platform.dialect import PlatformDialect
from gateway.conftest import Answer, World, job_body, until
from gateway.runner_standin import Run
from gateway.test_requests_that_end_targets import (
    all_know,
    busy,
    completed,
    crash_count,
    stored_holds,
    stored_suspects,
)

FATAL_PART = "bad0"
# Crashes under one part after which no request with it is sent to a target.
CRASH_THRESHOLD = 3
FIRST_PART_THRESHOLD = 5
# Longer than any test takes; tests of trials move the clock.
TRIAL_DELAYS_S = (1000.0, 2000.0, 4000.0)


def is_fatal(run: Run) -> bool:
    return f"{FATAL_PART}:" in run.headers.get("X-Prompt-Prefix", "")


@pytest.fixture
async def fleet(world: World, monkeypatch: pytest.MonkeyPatch) -> World:
    """Three instances and five targets, which the fatal part crashes."""
    monkeypatch.setattr(suspects, "TRIAL_DELAYS_S", TRIAL_DELAYS_S)
    for _ in range(5):
        runner = await world.add_runner()
        runner.fatal = is_fatal
    for _ in range(3):
        await world.add_instance()
    await world.ready()
    return world


@pytest.fixture
def numbers() -> Iterator[int]:
    return itertools.count()


def prompt(number: int, *shared: str) -> str:
    """Return the parts of a prompt; the last one is of request ``number`` only."""
    return ",".join(f"{part}:100" for part in (*shared, f"f{number:04x}"))


async def ask(
    fleet: World,
    instance: GatewayInstance,
    number: int,
    *shared: str,
    path: str = "/once/1",
) -> Answer:
    """Send a request that is like no other but for the shared parts of its prompt."""
    return await fleet.ask(
        instance,
        path,
        f"r{number}",
        f"question {number}".encode(),
        X_Prompt_Prefix=prompt(number, *shared),
    )


async def send_fatal(
    fleet: World,
    numbers: Iterator[int],
    count: int = 8,
    shared: tuple[str, ...] = ("a0", FATAL_PART),
    path: str = "/once/1",
) -> list[Answer]:
    """Send fatal requests one after the other, to the instances in turn."""
    answers: list[Answer] = []
    for number in itertools.islice(numbers, count):
        instance = fleet.instances[number % len(fleet.instances)]
        crashes = crash_count(fleet)
        answers.append(await ask(fleet, instance, number, *shared, path=path))
        if crash_count(fleet) > crashes:
            await all_know(fleet)
        await fleet.replace_crashed()
    return answers


async def send_sound(
    fleet: World, numbers: Iterator[int], *shared: str, path: str = "/once/1"
) -> None:
    """Have each instance serve a sound request."""
    for instance in fleet.instances:
        answer = await ask(fleet, instance, next(numbers), *shared, path=path)
        assert (answer.status, answer.whole) == (200, True)


async def test_a_part_under_which_three_targets_crashed_is_sent_to_no_other(
    fleet: World, numbers: Iterator[int]
) -> None:
    await send_sound(fleet, numbers, "a0", "b0")
    answers = await send_fatal(fleet, numbers)
    assert crash_count(fleet) == CRASH_THRESHOLD
    for answer in answers[CRASH_THRESHOLD:]:
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0


async def test_sound_requests_with_the_other_parts_are_served_throughout(
    fleet: World, numbers: Iterator[int]
) -> None:
    for _ in range(6):
        await send_sound(fleet, numbers, "a0", "b0")
        await send_fatal(fleet, numbers, count=1)
        await send_sound(fleet, numbers, "a0")
    assert crash_count(fleet) == CRASH_THRESHOLD


async def test_the_narrower_of_two_parts_is_blamed_where_no_good_run_is_known(
    fleet: World, numbers: Iterator[int]
) -> None:
    await send_fatal(fleet, numbers)
    assert crash_count(fleet) == CRASH_THRESHOLD
    await send_sound(fleet, numbers, "a0", "b0")


async def test_a_stream_that_is_moved_does_not_hide_its_part(
    fleet: World, numbers: Iterator[int]
) -> None:
    """One try crashes three targets and is quarantined by its own content."""
    await send_sound(fleet, numbers, "a0", "b0")
    answers = await send_fatal(fleet, numbers, path="/ask/1")
    assert crash_count(fleet) == CRASH_THRESHOLD + 1
    assert [answer.status for answer in answers[2:]] == [503] * 6
    await send_sound(fleet, numbers, "a0", "b0", path="/ask/1")


async def test_a_first_part_is_blamed_later_and_only_without_a_good_run(
    fleet: World, numbers: Iterator[int]
) -> None:
    answers = await send_fatal(fleet, numbers, shared=(FATAL_PART,))
    assert crash_count(fleet) == FIRST_PART_THRESHOLD
    assert [one.status for one in answers[FIRST_PART_THRESHOLD:]] == [503] * 3


async def test_two_fatal_parts_are_found_each(
    fleet: World, numbers: Iterator[int]
) -> None:
    for runner in fleet.runners:
        runner.fatal = lambda run: "bad" in run.headers.get("X-Prompt-Prefix", "")
    await send_sound(fleet, numbers, "a0", "b0")
    for _ in range(5):
        await send_fatal(fleet, numbers, count=1, shared=("a0", "bad1"))
        await send_fatal(fleet, numbers, count=1, shared=("a0", "bad2"))
    assert crash_count(fleet) == 2 * CRASH_THRESHOLD
    await send_sound(fleet, numbers, "a0", "b0")


async def test_a_run_that_began_before_the_crashes_clears_none_of_them(
    fleet: World, numbers: Iterator[int]
) -> None:
    """The part has become fatal, and a run from before is not over yet."""
    before, *others = fleet.runners
    before.fatal = lambda run: False
    before.hold_head = True
    set_refusing(others, True)
    asking = asyncio.ensure_future(
        ask(fleet, fleet.instances[0], next(numbers), "a0", FATAL_PART)
    )
    await until(lambda: before.busy == 1)
    set_refusing([before], True)
    set_refusing(others, False)
    await send_fatal(fleet, numbers, count=2)
    before.hold_head = False
    assert (await asking).status == 200
    await send_fatal(fleet, numbers)
    assert crash_count(fleet) == PART_QUARANTINE_THRESHOLD_AFTER_GOOD_RUN


# Guards against items that wait for the trials of online requests: an item crashes no
# target by itself, whatever its prompt shares with requests that do.
async def test_items_with_a_quarantined_part_are_done_at_once(
    fleet: World, numbers: Iterator[int]
) -> None:
    await send_fatal(fleet, numbers)
    assert all(blamed_parts_of(one) for one in fleet.instances)
    for runner in fleet.runners:
        runner.fatal = is_fatal_online
    items = [f"with-part-{number}" for number in range(6)]
    await submit(fleet, "job", dict.fromkeys(items, ("a0", FATAL_PART)))
    await until(lambda: set(items) <= completed(fleet))
    answers = await send_fatal(fleet, numbers, count=2)
    assert [answer.status for answer in answers] == [503, 503]
    assert crash_count(fleet) == CRASH_THRESHOLD


def is_fatal_online(run: Run) -> bool:
    return is_fatal(run) and not run.path.startswith("/work/")


# Guards against online requests that are refused because targets crashed under items
# with the same prompt parts.
async def test_crashes_under_items_blame_no_part(
    fleet: World, numbers: Iterator[int]
) -> None:
    items = [f"item-{number}" for number in range(6)]
    await submit(fleet, "job", dict.fromkeys(items, ("a0", FATAL_PART)))
    crashes = 2 * PART_QUARANTINE_THRESHOLD_AFTER_GOOD_RUN
    while crash_count(fleet) < crashes:
        await until(lambda: any(one.crashed for one in fleet.runners))
        await fleet.replace_crashed()
    for runner in fleet.runners:
        runner.fatal = lambda run: False
    await until(lambda: not any(one.guard.checking_crashes for one in fleet.instances))
    await asyncio.sleep(PART_SETTLE_S)
    assert not any(one.guard.has_suspects for one in fleet.instances)
    await fleet.replace_crashed()
    answers = [
        await ask(fleet, one, next(numbers), "a0", FATAL_PART)
        for one in fleet.instances
    ]
    assert [(answer.status, answer.whole) for answer in answers] == [(200, True)] * 3
    await until(lambda: set(items) <= completed(fleet))


def blamed_parts(world: World) -> int:
    """Return how many parts are in quarantine at the first instance."""
    quarantined = world.instances[0].guard.quarantine.quarantined()
    return sum(1 for one in quarantined if one.is_part)


async def submit(
    fleet: World, job: str, shared_by_item: dict[str, tuple[str, ...]]
) -> None:
    """Submit a job whose items share parts of their prompts."""
    body = job_body(list(shared_by_item))
    for number, item in enumerate(body["requests"]):
        shared = shared_by_item[item["id"]]
        item["headers"]["X-Prompt-Prefix"] = prompt(0xB000 + number, *shared)
    answer = await fleet.call(
        fleet.instances[0], "POST", f"/work/{job}", {"X-Request-Id": job}, json=body
    )
    assert answer.status == 202


async def test_an_instance_that_just_started_knows(
    fleet: World, numbers: Iterator[int]
) -> None:
    await send_fatal(fleet, numbers)
    fresh = await fleet.add_instance()
    answer = Answer(503, {}, b"no configuration is known yet", True)
    while b"no configuration" in answer.body:
        answer = await ask(fleet, fresh, next(numbers), "a0", FATAL_PART)
    assert (answer.status, crash_count(fleet)) == (503, CRASH_THRESHOLD)
    assert b"a part of its prompt" in answer.body


async def test_instances_that_all_started_anew_know(
    fleet: World, numbers: Iterator[int]
) -> None:
    """Two crashes are stored, so they survive a restart of all instances."""
    await send_fatal(fleet, numbers, count=2)
    await until(lambda: stored_suspects(fleet) >= 1)
    await fleet_starts_anew(fleet)
    answers = await send_fatal(fleet, numbers, count=4)
    assert crash_count(fleet) == CRASH_THRESHOLD
    assert [answer.status for answer in answers] == [502, 503, 503, 503]


async def fleet_starts_anew(fleet: World) -> None:
    for instance in list(fleet.instances):
        await fleet.kill(instance)
    for _ in range(2):
        await fleet.add_instance()
    await fleet.ready()
    await all_know(fleet)


async def test_an_instance_that_missed_the_word_of_peers_knows_from_the_store(
    fleet: World, numbers: Iterator[int]
) -> None:
    cut_off = fleet.instances[-1]
    for kind in (TargetEnded, SoundRuns, Suspects):
        cut_off.mesh.register(kind, lambda peer, message: None)
    fleet.instances.remove(cut_off)
    await send_fatal(fleet, numbers)
    fleet.instances.append(cut_off)
    await until(lambda: cut_off.guard.quarantine.quarantined())
    answer = await ask(fleet, cut_off, next(numbers), "a0", FATAL_PART)
    assert (answer.status, crash_count(fleet)) == (503, CRASH_THRESHOLD)


async def test_an_instance_that_is_cut_off_finds_the_part_by_itself(
    fleet: World, numbers: Iterator[int]
) -> None:
    for instance in fleet.instances[1:]:
        await fleet.kill(instance)
    fleet.store.refuse = 503
    await until(lambda: not fleet.instances[0].reachability.reached)
    (alone,) = fleet.instances
    for number in itertools.islice(numbers, 5):
        await ask(fleet, alone, number, "a0", FATAL_PART)
        await until(lambda: not alone.guard.checking_crashes)
        await until(lambda: not alone.guard.quarantine.evaluation_pending)
    assert crash_count(fleet) == CRASH_THRESHOLD
    answer = await ask(fleet, alone, next(numbers), "a0", "b0")
    assert (answer.status, answer.whole) == (200, True)


async def test_popular_parts_are_served_though_targets_crash_by_themselves(
    fleet: World, numbers: Iterator[int]
) -> None:
    """They are running at every crash, but run well between crashes."""
    statuses: list[int] = []

    async def go_on(instance: GatewayInstance) -> None:
        for _ in range(40):
            answer = await ask(fleet, instance, next(numbers), "a0", "b0")
            statuses.append(answer.status)

    asking = [asyncio.ensure_future(go_on(one)) for one in fleet.instances * 2]
    for _ in range(3 * CRASH_THRESHOLD):
        await until(lambda: busy(fleet))
        busiest = max(fleet.runners, key=lambda one: one.busy)
        await busiest.crash()
        await fleet.replace_crashed()
        await asyncio.sleep(0.05)
    await asyncio.gather(*asking)
    assert crash_count(fleet) == 3 * CRASH_THRESHOLD
    assert 503 not in statuses
    assert stored_suspects(fleet) == 0


async def test_a_part_that_is_held_wrongly_is_served_after_one_trial(
    fleet: World, numbers: Iterator[int], ahead: list[float]
) -> None:
    for runner in fleet.runners:
        runner.fatal = is_fatal
    await send_fatal(fleet, numbers)
    assert blamed_parts(fleet) == 1
    for runner in fleet.runners:
        runner.fatal = lambda run: False
    ahead.append(TRIAL_DELAYS_S[0])
    await send_sound(fleet, numbers, "a0", FATAL_PART)
    await until(lambda: not any(blamed_parts_of(one) for one in fleet.instances))
    await until(lambda: stored_suspects(fleet) == 0)


async def test_a_trial_of_a_part_uses_up_none_of_a_wider_one(
    fleet: World, numbers: Iterator[int], ahead: list[float]
) -> None:
    """The first part is held wrongly, and the next request has the fatal part, too."""
    await send_fatal(fleet, numbers)
    for instance in fleet.instances:
        hold_first_part(instance, "a0")
    await until(lambda: all(len(blamed_parts_of(one)) == 2 for one in fleet.instances))
    ahead.append(TRIAL_DELAYS_S[0])
    (answer,) = await send_fatal(fleet, numbers, count=1)
    assert (answer.status, crash_count(fleet)) == (502, CRASH_THRESHOLD + 1)
    await send_sound(fleet, numbers, "a0", "b0")


def hold_first_part(instance: GatewayInstance, part: str) -> None:
    """Put a first part in quarantine at an instance."""
    _, first = part_keys([part, "any", "own"])
    now = request_guard.elapsed_s()
    hold = Hold(frozenset(), now, 0, now + TRIAL_DELAYS_S[0])
    assert instance.guard.quarantine.merge(first, [], hold)


def blamed_parts_of(instance: GatewayInstance) -> list[str]:
    """Return the keys of the parts in quarantine at an instance."""
    quarantined = instance.guard.quarantine.quarantined()
    return [one.content for one in quarantined if one.is_part]


async def test_runs_that_wait_elsewhere_are_cancelled_by_the_quarantine(
    fleet: World, numbers: Iterator[int]
) -> None:
    waiting = fleet.runners[0]
    waiting.fatal = lambda run: False
    waiting.hold_head = True
    crashing = fleet.runners[1:]
    set_refusing(crashing, True)
    asking = [
        asyncio.ensure_future(ask(fleet, fleet.instances[0], next(numbers), *shared))
        for shared in (("a0", FATAL_PART), ("a0", "b0"))
    ]
    await until(lambda: waiting.busy == 2)
    waiting.refuse = True
    set_refusing(crashing, False)
    await send_fatal(fleet, numbers, count=CRASH_THRESHOLD)
    assert crash_count(fleet) == CRASH_THRESHOLD
    assert (await asking[0]).status == 502
    cut = {"r0": True, "r1": False}
    await until(lambda: {run.id: run.cut for run in waiting.runs} == cut, 1.0)
    asking[1].cancel()


def set_refusing(runners: list, refuse: bool) -> None:
    for runner in runners:
        runner.refuse = refuse


@pytest.mark.parametrize("lost", [1, 2])
async def test_an_announced_good_run_of_a_part_suppresses_others(
    fleet: World, numbers: Iterator[int], lost: int
) -> None:
    """Good runs are announced only where one more crash could blame the part."""
    await send_sound(fleet, numbers, "a0", "b0")
    announced: list[list] = []
    for instance in fleet.instances:
        record_announcements(instance, announced.append)
    for _ in range(lost):
        for runner in fleet.runners:
            runner.hold_head = True
        number = next(numbers)
        asking = asyncio.ensure_future(
            ask(fleet, fleet.instances[0], number, "a0", "b0")
        )
        await until(lambda: busy(fleet))
        await next(one for one in fleet.runners if one.busy).crash()
        await asking
        await all_know(fleet)
        await fleet.replace_crashed()
    keys = {key for entry in announced for key, _, _ in entry}
    assert len(keys) == (0 if lost == 1 else 1)


def record_announcements(
    instance: GatewayInstance, record: Callable[[list], None]
) -> None:
    """Call ``record`` with the good runs that an instance receives."""
    receive = instance.mesh._handlers_by_kind[SoundRuns]

    def handle(peer: str, message: SoundRuns) -> None:
        record(message.runs)
        receive(peer, message)

    instance.mesh.register(SoundRuns, handle)


@pytest.mark.parametrize("reporter_writes", [True, False])
async def test_in_a_large_fleet_one_instance_stores_a_quarantine(
    fleet: World,
    numbers: Iterator[int],
    monkeypatch: pytest.MonkeyPatch,
    reporter_writes: bool,
) -> None:
    """Guards against hundreds of instances that all write the row of one quarantine.

    If the instance that reported the crashes does not store it, another one does.
    """
    monkeypatch.setattr(Mesh, "large", property(lambda mesh: True))
    reporter, *others = fleet.instances
    if not reporter_writes:
        monkeypatch.setattr(reporter.guard.rows, "schedule_write", lambda key: None)
    scheduled: list[str] = []
    for instance in others:
        monkeypatch.setattr(instance.guard.rows, "_pending", Recorded(scheduled))
    for number in itertools.islice(numbers, CRASH_THRESHOLD):
        await ask(fleet, reporter, number, "a0", FATAL_PART)
        await all_know(fleet)
        await fleet.replace_crashed()
    await until(lambda: all(blamed_parts_of(one) for one in fleet.instances))
    await until(lambda: stored_holds(fleet) == 1)
    await asyncio.sleep(2 * suspect_writes.MIN_BACKUP_WRITE_DELAY_S)
    assert bool(scheduled) is not reporter_writes


class Recorded(dict[str, None]):
    """Pending writes that also records their keys."""

    def __init__(self, keys: list[str]) -> None:
        super().__init__()
        self._keys = keys

    def __setitem__(self, key: str, value: None) -> None:
        self._keys.append(key)
        super().__setitem__(key, value)


# Guards against a fatal part that was a new suspect at each position of a prompt.
async def test_a_part_is_found_whatever_stands_before_it(
    fleet: World, numbers: Iterator[int]
) -> None:
    await send_sound(fleet, numbers, "a0", "b0", "c0")
    for before in (("a0",), ("a0", "b0"), ("a0", "b0", "c0"), ("c0", "b0")):
        await send_fatal(fleet, numbers, count=1, shared=(*before, FATAL_PART))
    assert crash_count(fleet) == CRASH_THRESHOLD
    await send_sound(fleet, numbers, "a0", "b0", "c0")


# Guards against an error answer, in which nothing was written, that counted as a good
# run of the part and cleared it everywhere.
@pytest.mark.parametrize("status", [400, 500])
async def test_an_error_answer_does_not_clear_a_fatal_part(
    fleet: World, numbers: Iterator[int], status: int
) -> None:
    for _ in range(CRASH_THRESHOLD + 2):
        await send_fatal(fleet, numbers, count=1)
        set_status(fleet, status)
        await send_fatal(fleet, numbers, count=1)
        set_status(fleet, 200)
    assert crash_count(fleet) == CRASH_THRESHOLD


async def test_an_error_answer_to_a_trial_does_not_end_the_quarantine(
    fleet: World, numbers: Iterator[int], ahead: list[float]
) -> None:
    await send_fatal(fleet, numbers)
    ahead.append(TRIAL_DELAYS_S[0])
    set_status(fleet, 500)
    answer = await ask(fleet, fleet.instances[0], next(numbers), "a0", FATAL_PART)
    assert answer.status == 500
    set_status(fleet, 200)
    answers = await send_fatal(fleet, numbers, count=4)
    assert [answer.status for answer in answers] == [503] * 4
    assert crash_count(fleet) == CRASH_THRESHOLD


def set_status(fleet: World, status: int) -> None:
    """Have all targets answer with ``status``."""
    for runner in fleet.runners:
        runner.status = status


# Guards against items that lose their place at a target for the crashes of online
# requests that share a part of their prompts.
async def test_items_that_wait_at_a_target_outlast_the_quarantine_of_their_part(
    fleet: World, numbers: Iterator[int]
) -> None:
    waiting, *crashing = fleet.runners
    waiting.fatal = lambda run: False
    waiting.hold_head = True
    set_refusing(crashing, True)
    await submit(fleet, "job", {"bad-1": ("a0", FATAL_PART)})
    await until(lambda: waiting.busy == 1)
    waiting.refuse = True
    set_refusing(crashing, False)
    await send_fatal(fleet, numbers, count=CRASH_THRESHOLD)
    assert crash_count(fleet) == CRASH_THRESHOLD
    assert all(blamed_parts_of(one) for one in fleet.instances)
    waiting.hold_head = False
    await until(lambda: "bad-1" in completed(fleet))
    assert [run.cut for run in waiting.runs] == [False]


# Guards against popular parts blamed for many targets that lose power in one moment.
@pytest.mark.parametrize("written", [0, 2])
async def test_popular_parts_are_not_blamed_where_all_targets_crash_at_once(
    fleet: World, numbers: Iterator[int], written: int
) -> None:
    for _ in range(3):
        await fleet.add_runner()
    await fleet.ready()
    await send_sound(fleet, numbers, "a0", "b0")
    for runner in fleet.runners:
        runner.hold_head = not written
        runner.pause_s = 30.0
        runner.fatal = lambda run: False
    runs = 2 * len(fleet.runners)
    asking = [
        asyncio.ensure_future(
            ask(fleet, fleet.instances[number % 3], next(numbers), "a0", "b0")
        )
        for number in range(runs)
    ]
    await until(lambda: busy(fleet) == runs)
    await asyncio.gather(*(runner.crash() for runner in fleet.runners))
    await until(lambda: all(not one.guard.checking_crashes for one in fleet.instances))
    await until(
        lambda: all(
            not one.guard.quarantine.evaluation_pending for one in fleet.instances
        )
    )
    assert [blamed_parts_of(one) for one in fleet.instances] == [[], [], []]
    for one in asking:
        one.cancel()
    await asyncio.gather(*asking, return_exceptions=True)


# Guards against crashes in the far future, which count never and are never settled. The
# row of a suspect came from a peer before this instance had the store's clock.
def test_crashes_of_a_row_that_comes_before_the_clock_is_known_are_recent() -> None:
    row = HeldRow([["t", "c", 0.1, 0, 1.7e9, "e-0"]], [], 0.0, 0, 0.0)
    quarantine = Quarantine()
    store: Any = None
    table = held_rows.QuarantineTable(
        store, StoreClock(), StoreReachability(), quarantine
    )
    key = RowKey(held_rows.TABLE, "", "part-1")
    table.apply_rows([StoredRow(key, to_bytes(row), 1, False)], "peer")
    (crash,) = quarantine.by_content["part-1"].crashes
    assert crash.at <= held_rows.elapsed_s()


@pytest.mark.parametrize(
    "lines",
    [
        ["a0:100,bad0:50,f1:20"],
        ["a0:100", "bad0:50,f1:20"],
        [" a0 : 100 , bad0 :50, f1:20"],
        [",a0:100,,bad0:50,f1:20, "],
        ["A0:100,BAD0:50,F1:20"],
    ],
)
def test_the_spelling_of_the_header_does_not_matter(lines: list[str]) -> None:
    headers = CIMultiDict([("x-prompt-prefix", line) for line in lines])
    assert PlatformDialect().prompt_parts(headers) == ["a0", "bad0", "f1"]


async def test_a_row_that_says_the_same_is_not_written_again(
    fleet: World, numbers: Iterator[int]
) -> None:
    """All instances know the same, but their times differ by some milliseconds."""
    await send_fatal(fleet, numbers)
    await until(lambda: stored_holds(fleet) == 1)
    await until(lambda: not any(one.guard.rows._pending for one in fleet.instances))
    await asyncio.sleep(2 * QUARANTINE_READ_INTERVAL_S)
    before = dict(fleet.store.rows)
    for instance in fleet.instances:
        for key in blamed_parts_of(instance):
            instance.guard.rows.schedule_write(key)
    await until(lambda: not any(one.guard.rows._pending for one in fleet.instances))
    await asyncio.sleep(held_rows.RETRY_DELAY_S / 2)
    assert fleet.store.rows == before
