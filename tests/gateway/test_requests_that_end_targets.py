"""Quarantine of requests that crash each target that runs them.

Guards against one caller that crashes a whole fleet. It sent the same request again and
again, each time with another id and to another instance. Each instance evaluated each
try separately and sent it to a healthy target with few requests. Of six targets up to
six crashed within three seconds, and again ten seconds later; in one series eleven
crashed, eight of them after the cause could have been known. At all crashes one request
was running that was about 0.1 s old and had no event yet.
"""

import asyncio
import random
from typing import Any

import pytest

from caperridge.decisions import suspects
from caperridge.gateway import held_rows, request_guard
from caperridge.gateway.held_rows import HeldRow
from caperridge.gateway.jobs.codec import from_bytes
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.messages import SoundRuns, Suspects, TargetEnded
from caperridge.gateway.process import GatewayInstance
from caperridge.gateway.state import state_of
from gateway.conftest import Answer, World, until
from gateway.runner_standin import Run

FATAL = b"ends whoever runs it"
# Crashes under one request after which it is sent to no target.
CRASH_THRESHOLD = 3
REPEATS = 8
# Longer than any test takes; tests of trials move the clock.
TRIAL_DELAYS_S = (1000.0, 2000.0, 4000.0)


def is_fatal(run: Run) -> bool:
    return run.body.startswith(FATAL) or run.path.endswith("/fatal")


@pytest.fixture
async def fleet(world: World, monkeypatch: pytest.MonkeyPatch) -> World:
    """Three instances and five targets, which fatal requests crash."""
    monkeypatch.setattr(suspects, "TRIAL_DELAYS_S", TRIAL_DELAYS_S)
    for _ in range(5):
        runner = await world.add_runner()
        runner.fatal = is_fatal
    for _ in range(3):
        await world.add_instance()
    await world.ready()
    return world


async def repeat(
    world: World,
    path: str,
    first: int = 0,
    count: int = REPEATS,
    body: bytes = FATAL,
    **headers: str,
) -> list[Answer]:
    """Send a fatal request repeatedly, to the instances in turn."""
    answers: list[Answer] = []
    for number in range(first, first + count):
        instance = world.instances[number % len(world.instances)]
        crashes = crash_count(world)
        answer = await world.ask(instance, path, f"f{number}", body, **headers)
        answers.append(answer)
        if crash_count(world) > crashes:
            await all_know(world)
        await world.replace_crashed()
    return answers


def crash_count(world: World) -> int:
    """Return how many targets have crashed."""
    here = sum(1 for one in world.runners if one.crashed)
    return here + len(world.crashed_runners)


async def all_know(world: World) -> None:
    """Wait until every instance has evaluated all crashes."""
    await until(
        lambda: all(
            known_targets(one) >= {target.id for target in all_crashed(world)}
            and not one.guard.quarantine.evaluation_pending
            for one in world.instances
        )
    )


def all_crashed(world: World) -> list:
    return [*world.crashed_runners, *(one for one in world.runners if one.crashed)]


def known_targets(instance: GatewayInstance) -> set[str]:
    """Return the targets of whose crash an instance knows."""
    suspects = instance.guard.quarantine.by_content.values()
    return {crash.target for suspect in suspects for crash in suspect.crashes}


def completed(world: World) -> set[str]:
    """Return the ids of requests whose answer was completed."""
    runners = [*world.runners, *world.crashed_runners]
    return {run.id for one in runners for run in one.runs if run.finished}


async def test_a_request_that_ended_three_targets_is_sent_to_no_other(
    fleet: World,
) -> None:
    answers = await repeat(fleet, "/once/1")
    assert crash_count(fleet) == CRASH_THRESHOLD
    for answer in answers[CRASH_THRESHOLD:]:
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0


async def test_a_run_that_waits_elsewhere_is_withdrawn_by_the_quarantine(
    fleet: World,
) -> None:
    """Guards against a crash under a run that was queued before the quarantine.

    The third crash is announced while the request waits at a fourth target, which
    crashed 0.25 s after the third one.
    """
    waiting = fleet.runners[0]
    waiting.fatal = lambda run: False
    waiting.hold_head = True
    crashing = fleet.runners[1:]
    for runner in crashing:
        runner.refuse = True
    asking = [
        asyncio.ensure_future(fleet.ask(fleet.instances[0], "/once/1", id, body))
        for id, body in (("waits", FATAL), ("harmless", b"another question"))
    ]
    await until(lambda: waiting.busy == 2)
    waiting.refuse = True
    for runner in crashing:
        runner.refuse = False
    await repeat(fleet, "/once/1", count=CRASH_THRESHOLD)
    assert crash_count(fleet) == CRASH_THRESHOLD
    cancelled = await asking[0]
    assert cancelled.status == 502
    # The runner notices the closed connection shortly after the answer.
    await until(lambda: any(run.cut for run in waiting.runs), 1.0)
    assert {run.id: run.cut for run in waiting.runs} == {
        "waits": True,
        "harmless": False,
    }
    asking[1].cancel()


async def test_a_stream_that_is_moved_ends_no_more_targets_by_itself(
    fleet: World,
) -> None:
    """One try is enough evidence, and its caller learns that it has run."""
    answer = await fleet.ask(fleet.instances[0], "/ask/1", "f0", FATAL)
    assert (answer.status, crash_count(fleet)) == (502, CRASH_THRESHOLD)
    await all_know(fleet)
    await fleet.replace_crashed()
    answers = await repeat(fleet, "/ask/1", first=1, count=4)
    assert {answer.status for answer in answers} == {503}
    assert crash_count(fleet) == CRASH_THRESHOLD


async def test_one_that_makes_events_before_it_ends_a_target_is_found(
    fleet: World,
) -> None:
    for runner in fleet.runners:
        runner.fatal_after = 2
    answers = await repeat(fleet, "/once/1")
    assert crash_count(fleet) == CRASH_THRESHOLD
    assert [answer.status for answer in answers[CRASH_THRESHOLD:]] == [503] * 5


@pytest.mark.parametrize(
    ("path", "body", "headers"),
    [
        ("/once/1", b"another question", {}),
        ("/once/2", b"question", {}),
        ("/ask/1", b"question", {}),
    ],
)
async def test_other_requests_are_served_while_and_after_it_is_found_out(
    fleet: World, path: str, body: bytes, headers: dict[str, str]
) -> None:
    for number in range(5):
        await repeat(fleet, "/once/1", first=number, count=1)
        for instance in fleet.instances:
            answer = await fleet.ask(instance, path, f"s{number}", body, **headers)
            assert (answer.status, answer.whole) == (200, True)
    assert crash_count(fleet) == CRASH_THRESHOLD


async def test_another_caller_of_the_same_is_served(fleet: World) -> None:
    """The request crashes targets for one caller only, e.g. by that caller's setup."""
    for runner in fleet.runners:
        runner.fatal = lambda run: run.headers.get("X-Team") == "one"
    await repeat(fleet, "/once/1", X_Team="one")
    assert crash_count(fleet) == CRASH_THRESHOLD
    for instance in fleet.instances:
        answer = await fleet.ask(instance, "/once/1", "s", FATAL, X_Team="two")
        assert (answer.status, answer.whole) == (200, True)


async def test_headers_that_change_hide_it_from_nobody(fleet: World) -> None:
    for number in range(REPEATS):
        await repeat(fleet, "/once/1", first=number, count=1, X_Trace=f"t{number}")
    assert crash_count(fleet) == CRASH_THRESHOLD


async def test_several_such_requests_at_once_are_kept_from_targets_each(
    fleet: World,
) -> None:
    for number in range(5):
        for variant in (b" 1", b" 2", b" 3"):
            first = 10 * number + int(variant)
            await repeat(fleet, "/once/1", first=first, count=1, body=FATAL + variant)
    assert crash_count(fleet) == 3 * CRASH_THRESHOLD


async def test_an_instance_that_just_started_knows(fleet: World) -> None:
    await repeat(fleet, "/once/1")
    fresh = await fleet.add_instance()
    await fleet.ready()
    await until(lambda: fresh.guard.quarantine.quarantined())
    answer = await fleet.ask(fresh, "/once/1", "f", FATAL)
    assert (answer.status, crash_count(fleet)) == (503, CRASH_THRESHOLD)


async def test_instances_that_all_started_anew_know(fleet: World) -> None:
    """Two crashes are stored, so they survive a restart of all instances."""
    await repeat(fleet, "/once/1", count=2)
    await until(lambda: stored_suspects(fleet) == 1)
    for instance in list(fleet.instances):
        await fleet.kill(instance)
    for _ in range(2):
        await fleet.add_instance()
    await fleet.ready()
    await all_know(fleet)
    answers = await repeat(fleet, "/once/1", first=2, count=4)
    assert crash_count(fleet) == CRASH_THRESHOLD
    assert [answer.status for answer in answers] == [502, 503, 503, 503]


def stored_suspects(world: World) -> int:
    """Return how many suspects are in the store."""
    return sum(1 for key in world.store.rows if key[0] == held_rows.TABLE)


async def test_what_runs_beside_it_is_not_blamed(fleet: World) -> None:
    """Streams move to another target after each crash and so meet as many crashes."""
    for runner in fleet.runners:
        runner.events = 60
    asking = [
        asyncio.ensure_future(fleet.ask(instance, f"/ask/{n}", f"s{n}", b"long"))
        for n, instance in enumerate(fleet.instances)
    ]
    await until(lambda: busy(fleet) == 3)
    await repeat(fleet, "/once/1", count=5)
    answers = await asyncio.gather(*asking)
    assert [(one.status, one.whole) for one in answers] == [(200, True)] * 3
    assert crash_count(fleet) == CRASH_THRESHOLD


async def test_a_popular_request_is_served_though_targets_end_by_themselves(
    fleet: World,
) -> None:
    """A popular request is running at every crash, but runs well between crashes."""
    served: list[str] = []
    refused: list[bytes] = []

    async def go_on(instance: GatewayInstance) -> None:
        for number in range(40):
            answer = await fleet.ask(instance, "/once/1", f"p{number}", b"popular")
            if answer.status == 503:
                refused.append(answer.body)
            if answer.status == 200 and answer.whole:
                served.append(f"p{number}")

    asking = [asyncio.ensure_future(go_on(one)) for one in fleet.instances * 2]
    await until(lambda: served)
    for _ in range(2 * CRASH_THRESHOLD):
        await until(lambda: busy(fleet))
        busiest = max(fleet.runners, key=lambda one: one.busy)
        await busiest.crash()
        await fleet.replace_crashed()
        good_runs = len(served)
        await until(lambda many=good_runs: len(served) > many)
    await asyncio.gather(*asking)
    assert crash_count(fleet) == 2 * CRASH_THRESHOLD
    assert refused == []
    assert len(served) > 100


async def test_a_request_in_demand_that_is_held_wrongly_is_back_in_a_second(
    fleet: World, ahead: list[float]
) -> None:
    """It has no good run yet and was running at three crashes by coincidence."""
    for number in range(CRASH_THRESHOLD):
        asking = asyncio.ensure_future(
            fleet.ask(fleet.instances[number], "/once/1", f"r{number}", b"new")
        )
        await until(lambda: busy(fleet))
        await next(one for one in fleet.runners if one.busy).crash()
        await asking
        await all_know(fleet)
        await fleet.replace_crashed()
    answer = await fleet.ask(fleet.instances[0], "/once/1", "held", b"new")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) <= TRIAL_DELAYS_S[0]
    ahead.append(TRIAL_DELAYS_S[0])
    for number, instance in enumerate(fleet.instances):
        answer = await fleet.ask(instance, "/once/1", f"back{number}", b"new")
        assert (answer.status, answer.whole) == (200, True)


async def test_a_popular_request_is_served_though_many_targets_end_at_once(
    fleet: World,
) -> None:
    """The instance at which it recently ran well exonerates it."""
    served, lost, *_ = fleet.instances
    assert (await fleet.ask(served, "/once/1", "before", b"popular")).whole
    for runner in fleet.runners:
        runner.hold_head = True
    asking = [
        asyncio.ensure_future(fleet.ask(lost, "/once/1", f"p{number}", b"popular"))
        for number in range(len(fleet.runners))
    ]
    await until(lambda: busy(fleet) == len(fleet.runners))
    for runner in fleet.runners:
        await runner.crash()
    await asyncio.gather(*asking)
    await all_know(fleet)
    await fleet.replace_crashed()
    for number, instance in enumerate(fleet.instances):
        answer = await fleet.ask(instance, "/once/1", f"a{number}", b"popular")
        assert (answer.status, answer.whole) == (200, True)


async def test_one_instance_tries_it_again_and_a_good_run_clears_it(
    fleet: World, ahead: list[float]
) -> None:
    await repeat(fleet, "/once/1")
    ahead.append(TRIAL_DELAYS_S[0])
    answers = await asyncio.gather(
        *(
            fleet.ask(instance, "/once/1", f"t{number}", FATAL)
            for number, instance in enumerate(fleet.instances * 3)
        )
    )
    assert crash_count(fleet) == CRASH_THRESHOLD + 1
    assert sorted(answer.status for answer in answers) == [502] + [503] * 8
    await fleet.replace_crashed()
    for runner in fleet.runners:
        runner.fatal = lambda run: False
    answer = await fleet.ask(fleet.instances[1], "/once/1", "early", FATAL)
    assert answer.status == 503
    ahead.append(TRIAL_DELAYS_S[1])
    answer = await fleet.ask(fleet.instances[1], "/once/1", "good", FATAL)
    assert (answer.status, answer.whole) == (200, True)
    await until(
        lambda: not any(one.guard.quarantine.quarantined() for one in fleet.instances)
    )
    for number, instance in enumerate(fleet.instances):
        answer = await fleet.ask(instance, "/once/1", f"again{number}", FATAL)
        assert (answer.status, answer.whole) == (200, True)
    await until(lambda: stored_suspects(fleet) == 0)


async def test_one_whose_caller_leaves_as_its_target_ends_is_found(
    fleet: World,
) -> None:
    for number in range(REPEATS):
        for runner in fleet.runners:
            runner.fatal_after_disconnect = True
        crashes = crash_count(fleet)
        instance = fleet.instances[number % 3]
        asking = asyncio.ensure_future(
            fleet.ask(instance, "/once/1", f"f{number}", FATAL)
        )
        await until(lambda one=asking: one.done() or busy(fleet))
        running = not asking.done()
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        if running:
            await until(lambda many=crashes: crash_count(fleet) > many)
            await all_know(fleet)
        await fleet.replace_crashed()
    assert crash_count(fleet) == CRASH_THRESHOLD


def busy(world: World) -> int:
    """Return how many requests are running."""
    return sum(one.busy for one in world.runners)


async def test_callers_that_leave_blame_no_request(fleet: World) -> None:
    for runner in fleet.runners:
        runner.hold_head = True
    for number in range(2 * CRASH_THRESHOLD):
        leaving = asyncio.ensure_future(
            fleet.ask(fleet.instances[0], "/once/1", f"r{number}")
        )
        await until(lambda: busy(fleet))
        leaving.cancel()
        await until(lambda: not busy(fleet))
    await until(lambda: not fleet.instances[0].guard.checking_crashes)
    assert not any(one.guard.has_suspects for one in fleet.instances)


async def test_targets_that_break_off_answers_blame_no_request(fleet: World) -> None:
    for runner in fleet.runners:
        runner.break_after = 2
    for number in range(2 * CRASH_THRESHOLD):
        instance = fleet.instances[number % 3]
        answer = await fleet.ask(instance, "/once/1", f"r{number}")
        assert (answer.status, answer.whole) == (200, False)
    assert not any(one.guard.has_suspects for one in fleet.instances)


@pytest.mark.parametrize("notice", [True, False])
async def test_targets_that_leave_blame_no_request(fleet: World, notice: bool) -> None:
    """Some leave without notice: their entry is removed and they keep serving."""
    for runner in fleet.runners:
        runner.events = 1000
    asking = [
        asyncio.ensure_future(fleet.ask(fleet.instances[0], "/once/1", f"r{number}"))
        for number in range(2 * CRASH_THRESHOLD)
    ]
    await until(lambda: busy(fleet) == 2 * CRASH_THRESHOLD)
    for runner in fleet.runners:
        if notice:
            fleet.list_runner(runner, state="draining")
        else:
            fleet.store.remove("servers", runner.id)
    for instance in fleet.instances:
        targets = instance.fleet.targets
        await until(lambda known=targets: not known.of_service("model"))
    for runner in fleet.runners:
        await runner.crash()
    await asyncio.gather(*asking)
    await until(lambda: not fleet.instances[0].guard.checking_crashes)
    assert not any(one.guard.has_suspects for one in fleet.instances)


async def test_a_target_that_says_nothing_when_it_ends_is_known_by_its_entry(
    fleet: World,
) -> None:
    """Its address does not refuse connections; its entry lapses seconds later."""
    for number in range(CRASH_THRESHOLD):
        instance = fleet.instances[number]
        instance._crash_detector.is_refused = _never
        answer = await fleet.ask(instance, "/once/1", f"f{number}", FATAL)
        assert answer.status == 502
        await until(lambda one=instance: not one.guard.checking_crashes)
        await fleet.replace_crashed()
        await all_know(fleet)
    answer = await fleet.ask(fleet.instances[0], "/once/1", "f", FATAL)
    assert (answer.status, crash_count(fleet)) == (503, CRASH_THRESHOLD)


async def _never(address: str) -> bool:
    return False


async def test_an_operator_sees_what_is_known_how_old_and_who_told(
    fleet: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[dict] = []
    monkeypatch.setattr(
        request_guard.log,
        "info",
        lambda message, **fields: lines.append({"message": message} | fields),
    )
    await repeat(fleet, "/once/1")
    (line, *_) = [
        one for one in lines if one["message"] == "quarantined request refused"
    ]
    assert line["request"] == f"f{CRASH_THRESHOLD}"
    assert [crash["reported_by"] for crash in line["ends"]] == ["e-0", "e-1", "e-2"]
    assert {crash["target"] for crash in line["ends"]} == {
        one.id for one in fleet.crashed_runners
    }
    assert all(0 <= crash["age_s"] < 60 for crash in line["ends"])
    assert 0 < line["trial_in_s"] <= TRIAL_DELAYS_S[0]
    (held,) = state_of(fleet.instances[0])["quarantine"]
    assert held["content"] == line["content"]
    assert suspects.QUARANTINE_THRESHOLD == CRASH_THRESHOLD


async def test_an_instance_that_missed_the_word_of_peers_knows_from_the_store(
    fleet: World,
) -> None:
    cut_off = fleet.instances[-1]
    for kind in (TargetEnded, SoundRuns, Suspects):
        cut_off.mesh.register(kind, lambda peer, message: None)
    fleet.instances.remove(cut_off)
    await repeat(fleet, "/once/1")
    fleet.instances.append(cut_off)
    await until(lambda: cut_off.guard.quarantine.quarantined())
    answer = await fleet.ask(cut_off, "/once/1", "f", FATAL)
    assert (answer.status, crash_count(fleet)) == (503, CRASH_THRESHOLD)


async def test_peers_tell_each_other_while_the_store_is_away(
    fleet: World, ahead: list[float]
) -> None:
    """No trial can be claimed during the outage; the row is written after it."""
    await repeat(fleet, "/once/1", count=2)
    fleet.store.refuse = 503
    await until(lambda: not any(one.reachability.reached for one in fleet.instances))
    await fleet.ask(fleet.instances[2], "/once/1", "f2", FATAL)
    await all_know(fleet)
    ahead.append(TRIAL_DELAYS_S[0])
    for number, instance in enumerate(fleet.instances):
        answer = await fleet.ask(instance, "/once/1", f"g{number}", FATAL)
        assert answer.status == 503
    assert crash_count(fleet) == CRASH_THRESHOLD
    fleet.store.refuse = None
    await until(lambda: stored_holds(fleet) == 1)


def stored_holds(world: World) -> int:
    """Return how many requests are in quarantine according to the store."""
    rows = [row for key, row in world.store.rows.items() if key[0] == held_rows.TABLE]
    return sum(1 for value, _ in rows if from_bytes(HeldRow, value).since)


async def test_who_starts_while_the_store_is_away_is_reported_by_peers(
    fleet: World,
) -> None:
    fleet.store.refuse = 503
    await until(lambda: not any(one.reachability.reached for one in fleet.instances))
    for number, instance in enumerate(fleet.instances):
        await fleet.ask(instance, "/once/1", f"f{number}", FATAL)
        await all_know(fleet)
    fresh = await fleet.add_instance()
    await until(lambda: fresh.guard.quarantine.quarantined())
    assert crash_count(fleet) == CRASH_THRESHOLD


async def test_a_right_to_try_again_outlasts_targets_that_refuse(
    fleet: World, ahead: list[float]
) -> None:
    await repeat(fleet, "/once/1")
    for runner in fleet.runners:
        runner.fatal = lambda run: False
    for runner in fleet.runners[1:]:
        runner.refuse = True
    ahead.append(TRIAL_DELAYS_S[0])
    answer = await fleet.ask(fleet.instances[0], "/once/1", "good", FATAL)
    assert (answer.status, answer.whole) == (200, True)


async def test_in_a_large_fleet_one_good_word_is_enough(
    fleet: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All instances know of a good run, but one announcement suppresses the others."""
    monkeypatch.setattr(Mesh, "large", property(lambda mesh: True))
    for number, instance in enumerate(fleet.instances):
        assert (await fleet.ask(instance, "/once/1", f"b{number}", b"popular")).whole
    for number, instance in enumerate(fleet.instances):
        instance.fleet.rng = FixedRandom(0.9 if number else 0.0)
    senders: list[str] = []
    for instance in fleet.instances:
        receive = instance.mesh._handlers_by_kind[SoundRuns]

        def record(peer: str, message: SoundRuns, receive: Any = receive) -> None:
            senders.append(peer)
            receive(peer, message)

        instance.mesh.register(SoundRuns, record)
    for runner in fleet.runners:
        runner.hold_head = True
    asking = asyncio.ensure_future(
        fleet.ask(fleet.instances[0], "/once/1", "p", b"popular")
    )
    await until(lambda: busy(fleet))
    await next(one for one in fleet.runners if one.busy).crash()
    await asking
    await all_know(fleet)
    assert senders == [fleet.instances[0].settings.instance] * 2


class FixedRandom(random.Random):
    """A source of randomness that always returns the same number."""

    def __init__(self, value: float) -> None:
        super().__init__(0)
        self._value = value

    def random(self) -> float:
        return self._value
