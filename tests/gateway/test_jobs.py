"""Jobs: accepted once, each item done once, the same results at every instance."""

import asyncio

import orjson
import pytest

from caperridge.decisions.rendezvous import owner
from caperridge.gateway.jobs.broker import FULL_TARGET_PAUSE_S, SlotBroker, SlotRequest
from caperridge.gateway.mesh.messages import SlotDecline, SlotGrant
from caperridge.gateway.occupancy import Count, Occupancy
from gateway.conftest import World, route, until

ITEMS = ["x1", "x2", "x3"]


async def listed(world: World, instance, job: str, count: int) -> list:
    """Wait until ``count`` results are listed and return them."""
    async with asyncio.timeout(10):
        while True:
            answer = await world.results(instance, job)
            assert answer.status == 200
            results = orjson.loads(answer.body)["results"]
            if len(results) >= count:
                return results
            await asyncio.sleep(0.02)


async def test_a_job_is_done_and_read_the_same_at_every_instance(world: World) -> None:
    runner = await world.add_runner()
    instances = [await world.add_instance() for _ in range(3)]
    await world.ready()
    assert (await world.submit(instances[0], "j1", ITEMS)).status == 202
    results = await listed(world, instances[1], "j1", 3)
    assert {one["id"] for one in results} == set(ITEMS)
    assert all(one["state"] == "completed" for one in results)
    for one in results:
        assert one["message"] == "\n".join(runner.text(one["id"]))
    for instance in instances:
        assert await listed(world, instance, "j1", 3) == results
        page = orjson.loads((await world.results(instance, "j1", 2)).body)
        assert page == {"total": 3, "results": results[2:], "nextToken": 3}
    run = runner.runs[0]
    assert (run.path, run.body) == (f"/work/{run.id}", f"body of {run.id}".encode())


async def test_the_same_job_again_is_taken_once(world: World) -> None:
    runner = await world.add_runner()
    instances = [await world.add_instance() for _ in range(2)]
    await world.ready()
    answers = await asyncio.gather(
        *(world.submit(instance, "j1", ITEMS) for instance in instances * 2)
    )
    assert {answer.status for answer in answers} == {202}
    await listed(world, instances[0], "j1", 3)
    assert sorted(run.id for run in runner.runs) == ITEMS


async def test_an_unknown_job_is_404_and_an_unsure_instance_503(world: World) -> None:
    await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    assert (await world.results(instance, "none")).status == 404
    world.store.refuse = 503
    assert (await world.results(instance, "none")).status == 503


@pytest.mark.parametrize("delay_s", [0.0, 0.4])
async def test_a_lost_answer_of_the_store_doubles_and_loses_nothing(
    world: World, delay_s: float
) -> None:
    runner = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    world.store.delay_writes_s = delay_s
    world.store.lose_answers = 1
    assert (await world.submit(instance, "j1", ITEMS)).status == 202
    world.store.lose_answers = 2
    results = await listed(world, instance, "j1", 3)
    assert sorted(one["id"] for one in results) == ITEMS
    await asyncio.sleep(delay_s * 1.5)
    assert await listed(world, instance, "j1", 3) == results
    assert runner.max_busy <= runner.slots


async def test_what_a_killed_instance_held_goes_on_behind_its_last_event(
    world: World,
) -> None:
    runner = await world.add_runner()
    runner.events = 60
    runner.pause_s = 0.05
    first = await world.add_instance()
    second = await world.add_instance()
    await world.ready()
    await world.submit(first, "j1", ["x1"])
    await until(lambda: any(key[2].startswith("p:") for key in world.store.rows))
    await world.kill(first)
    runner.pause_s = 0.001
    (result,) = await listed(world, second, "j1", 1)
    assert result["message"] == "\n".join(runner.text("x1"))
    assert runner.runs[-1].resumed_after > 0


async def test_a_stopping_instance_hands_its_jobs_on_at_once(world: World) -> None:
    runner = await world.add_runner()
    runner.events = 40
    runner.pause_s = 0.05
    first = await world.add_instance()
    second = await world.add_instance()
    await world.ready()
    await world.submit(first, "j1", ["x1"])
    await until(lambda: first.keeper.held_by_id and runner.busy)
    await until(lambda: first.keeper.held_by_id["j1"].states[0].progress.event > 3)
    await first.keeper.hand_over()
    await until(lambda: "j1" in second.keeper.held_by_id, within_s=1.5)
    (result,) = await listed(world, second, "j1", 1)
    assert result["message"] == "\n".join(runner.text("x1"))
    assert runner.runs[-1].resumed_after >= 3


async def test_all_instances_lost_and_started_again_finish_the_job(
    world: World,
) -> None:
    runner = await world.add_runner()
    runner.pause_s = 0.2
    instances = [await world.add_instance() for _ in range(2)]
    await world.ready()
    await world.submit(instances[0], "j1", ITEMS)
    for instance in instances:
        await world.kill(instance)
    runner.pause_s = 0.0
    fresh = await world.add_instance("e-0")
    await until(lambda: fresh.ready)
    assert len(await listed(world, fresh, "j1", 3)) == 3


async def test_a_cancelled_job_stops_and_keeps_what_is_listed(world: World) -> None:
    runner = await world.add_runner()
    runner.events = 100
    runner.pause_s = 0.05
    instances = [await world.add_instance() for _ in range(2)]
    await world.ready()
    await world.submit(instances[0], "j1", ITEMS)
    await until(lambda: runner.busy == 3)
    for _ in range(2):
        answer = await world.call(instances[1], "DELETE", "/lots/j1")
        assert answer.status == 200
    await until(lambda: not runner.busy, within_s=1.0)
    runs = len(runner.runs)
    await asyncio.sleep(0.5)
    assert len(runner.runs) == runs
    assert (await world.results(instances[0], "j1")).status == 200
    await until(lambda: instances[0].index.waiting_tokens("work") == 0)


async def test_the_limit_of_a_route_holds_across_instances(world: World) -> None:
    runner = await world.add_runner()
    runner.pause_s = 1.0
    instances = [await world.add_instance() for _ in range(3)]
    await world.ready()
    answers = await asyncio.gather(
        *(
            world.submit(instances[number % 3], f"j{number}", [f"y{number}"], 300)
            for number in range(6)
        )
    )
    statuses = sorted(answer.status for answer in answers)
    assert statuses == [202, 202, 202, 429, 429, 429]
    refused = next(answer for answer in answers if answer.status == 429)
    assert float(refused.headers["Retry-After"]) > 0


async def test_the_body_of_an_item_can_be_read_anywhere(world: World) -> None:
    runner = await world.add_runner()
    runner.pause_s = 1.0
    instances = [await world.add_instance() for _ in range(2)]
    await world.ready()
    await world.submit(instances[0], "j1", ITEMS)
    answer = await world.call(instances[1], "GET", "/items/j1?id=x2")
    assert (answer.status, answer.body) == (200, b"body of x2")
    answer = await world.call(instances[1], "GET", "/items/j1?id=none")
    assert answer.status == 404


@pytest.mark.parametrize(("status", "attempts"), [(500, 3), (422, 1)])
async def test_an_item_that_always_fails_ends_dead(
    world: World, status: int, attempts: int
) -> None:
    runner = await world.add_runner()
    runner.status = status
    instance = await world.add_instance()
    await world.ready()
    await world.submit(instance, "j1", ["x1"])
    (result,) = await listed(world, instance, "j1", 1)
    assert (result["state"], result["message"]) == ("dead_letter", "")
    assert len(runner.runs) == attempts


async def test_an_item_at_targets_that_hang_is_not_given_up(world: World) -> None:
    # Guards against items marked dead because the leases of their runs ended.
    runner = await world.add_runner()
    runner.status = 504
    instance = await world.add_instance()
    await world.ready()
    await world.submit(instance, "j1", ["x1"])
    await until(lambda: len(runner.runs) > 3)  # attempts of its route
    runner.status = 200
    (result,) = await listed(world, instance, "j1", 1)
    assert result["state"] == "completed"


async def test_items_of_a_route_that_is_gone_end_dead(world: World) -> None:
    runner = await world.add_runner()
    runner.refuse = True
    instance = await world.add_instance()
    await world.ready()
    await world.submit(instance, "j1", ["x1"])
    world.configure(2, [route("ask")])
    (result,) = await listed(world, instance, "j1", 1)
    assert result["state"] == "dead_letter"
    assert runner.runs == []


async def test_online_requests_take_the_slots_of_items(world: World) -> None:
    runner = await world.add_runner(slots=2)
    runner.events = 50
    runner.pause_s = 0.02
    instances = [await world.add_instance() for _ in range(2)]
    await world.ready()
    await world.submit(instances[0], "j1", ["x1", "x2"])
    await until(lambda: runner.busy == 2)
    answers = await asyncio.gather(
        *(world.ask(instances[1], "/ask/1", f"r{number}") for number in range(2))
    )
    assert all(answer.data == runner.text(f"r{n}") for n, answer in enumerate(answers))
    results = await listed(world, instances[0], "j1", 2)
    for one in results:
        assert one["message"] == "\n".join(runner.text(one["id"]))
    assert any(run.resumed_after for run in runner.runs)


async def test_an_item_that_gives_way_before_its_first_step_runs_again(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A task cancelled before its first step runs no code that ends the run."""
    instance = await world.add_instance()
    await until(lambda: instance.ready)
    await world.submit(instance, "j1", ["x1"])
    held = instance.keeper.held_by_id
    await until(lambda: "j1" in held)
    runner = await world.add_runner(slots=1)
    monkeypatch.setattr(instance.granting, "request_and_grant", lambda jobs, now: None)
    await until(lambda: instance.fleet.targets.by_id)
    target = instance.fleet.targets.by_id[runner.id]
    now = asyncio.get_running_loop().time()
    assert instance.keeper._slots.start_item(list(held.values()), target, now)
    held["j1"].states[0].cancel()
    monkeypatch.undo()
    (result,) = await listed(world, instance, "j1", 1)
    assert result["state"] == "completed"
    assert instance.fleet.occupancy.total_at(runner.id).total == 0


async def test_a_holder_that_was_replaced_lists_nothing_more(world: World) -> None:
    runner = await world.add_runner()
    runner.pause_s = 2.0
    first = await world.add_instance()
    await world.ready()
    await world.submit(first, "j1", ITEMS)
    await until(lambda: runner.busy == 3)
    second = await world.add_instance()
    await until(lambda: second.ready)
    second.mesh.alive = list  # it sees no live peers
    second.mesh.incarnation_alive = lambda incarnation: False
    await until(lambda: "j1" in second.keeper.held_by_id)
    await until(lambda: "j1" not in first.keeper.held_by_id)
    runner.pause_s = 0.01
    results = await listed(world, second, "j1", 3)
    assert sorted(one["id"] for one in results) == ITEMS
    assert await listed(world, first, "j1", 3) == results


async def test_a_long_text_is_kept_whole(world: World) -> None:
    runner = await world.add_runner()
    runner.events = 60
    runner.pause_s = 0.0
    runner.text = lambda request: [f"{n}" * 1200 for n in range(1, 61)]
    instance = await world.add_instance()
    await world.ready()
    await world.submit(instance, "j1", ["x1"])
    (result,) = await listed(world, instance, "j1", 1)
    assert result["message"] == "\n".join(runner.text("x1"))
    assert any(name.startswith("text-") for name in world.store.objects)


async def test_bad_jobs_are_refused_with_400(world: World) -> None:
    await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    answer = await world.submit(instance, "a/b", ["x1"])
    assert answer.status == 400
    bad = [b"", b"[]", b'{"requests":[{}]}', b'{"requests":3}']
    item = {"id": "a", "path": "/", "headers": {}, "body": "%%", "tokens": 1}
    bad.append(orjson.dumps({"requests": [item]}))
    for body in bad:
        answer = await world.call(
            instance, "POST", "/work/j", {"X-Request-Id": "j"}, body
        )
        assert answer.status == 400


async def test_an_instance_that_the_store_turns_away_takes_jobs_through_a_peer(
    world: World,
) -> None:
    runner = await world.add_runner()
    instances = [await world.add_instance() for _ in range(2)]
    await world.ready()
    rejected = instances[0]
    await until(lambda: all(m.store_reached for m in rejected.mesh.alive()))
    world.store_of(rejected)._base = "http://127.0.0.1:1"
    assert (await world.submit(rejected, "j1", ITEMS)).status == 202
    assert len(await listed(world, rejected, "j1", 3)) == 3
    assert sorted(run.id for run in runner.runs) == ITEMS
    body = await world.call(rejected, "GET", "/items/j1?id=x1")
    assert body.body == b"body of x1"


async def test_a_claim_whose_answer_is_lost_is_taken_up_by_who_made_it(
    world: World,
) -> None:
    """The holder in the head does not know that it holds the job."""
    await world.add_runner()
    instances = [await world.add_instance() for _ in range(2)]
    await world.ready()
    first, second = (instance.settings.instance for instance in instances)
    job = next(id for id in map(str, range(99)) if owner(id, [first, second]) == second)
    world.store.lose_table = "jobs"
    world.store.lose_answers = 1
    assert (await world.submit(instances[0], job, ITEMS)).status == 202
    assert len(await listed(world, instances[1], job, 3)) == 3


async def test_a_job_whose_task_failed_is_held_again(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    write = instance.keeper._writer.write
    failures = [RuntimeError("planted")]

    async def failing(job, holder):
        if failures:
            raise failures.pop()
        return await write(job, holder)

    monkeypatch.setattr(instance.keeper._writer, "write", failing)
    await world.submit(instance, "j1", ITEMS)
    assert len(await listed(world, instance, "j1", 3)) == 3


async def test_a_job_taken_through_a_peer_by_a_fresh_instance_is_not_old(
    world: World,
) -> None:
    """An instance that never reached the store itself does not know its clock."""
    await world.add_runner()
    first = await world.add_instance()
    await world.ready()
    second = await world.add_instance()
    world.store_of(second)._base = "http://127.0.0.1:1"
    await until(lambda: any(m.store_reached for m in second.mesh.alive()))
    second.reachability.record_failure("it is turned away")
    await until(lambda: second.configuration.table is not None)
    assert (await world.submit(second, "j1", ITEMS)).status == 202
    results = await listed(world, first, "j1", 3)
    assert [one["state"] for one in results] == ["completed"] * 3
    age_s = first.clock.now() - first.index.entries_by_job["j1"].sent_s
    assert 0 <= age_s < 5


async def test_a_grant_for_a_slot_that_is_taken_is_not_repeated_at_once(
    world: World,
) -> None:
    """The granter may lack counts of requests that the grantee has received."""
    runner = await world.add_runner(slots=1)
    instance = await world.add_instance()
    await world.ready()
    instance.fleet.occupancy.update_peer_count("elsewhere", runner.id, Count(1, 0))
    sent = []
    instance.mesh.send = lambda peer, message: sent.append(message)
    instance.keeper._handle_grant("granter", SlotGrant(runner.id))
    assert sent == [SlotDecline(runner.id, full=True)]
    now = asyncio.get_running_loop().time()
    broker = SlotBroker("granter")
    broker.set_requests("peer", {"model": SlotRequest(1, 0.0)})
    targets = list(instance.fleet.targets.by_id.values())
    assert broker.grant(targets, Occupancy("granter"), 0.0, now)
    broker.record_full("peer", runner.id, now)
    assert not broker.grant(targets, Occupancy("granter"), 0.0, now + 0.01)
    later = now + FULL_TARGET_PAUSE_S + 0.01
    assert broker.grant(targets, Occupancy("granter"), 0.0, later)


@pytest.mark.parametrize("instances", [1, 3])
async def test_a_target_that_refuses_everything_keeps_no_item_from_others(
    world: World, instances: int
) -> None:
    """It always has the most free slots, so every item was sent to it repeatedly."""
    refusing = await world.add_runner(slots=8)
    refusing.refuse = True
    taking = await world.add_runner(slots=1)
    for _ in range(instances):
        await world.add_instance()
    await world.ready()
    await world.submit(world.instances[0], "j1", ITEMS)
    results = await listed(world, world.instances[0], "j1", 3)
    assert sorted(one["id"] for one in results) == ITEMS
    assert sorted(run.id for run in taking.runs) == ITEMS
    assert refusing.refused < 20


async def test_slots_that_lost_instances_left_busy_are_not_taken_for_free(
    world: World,
) -> None:
    """Runs of an instance that lost power continue at their targets."""
    runner = await world.add_runner(slots=3)
    runner.orphaned = 2
    instance = await world.add_instance()
    await world.ready()
    await until(lambda: instance.fleet.occupancy.total_at(runner.id).total == 2)
    runner.pause_s = 0.3
    await world.submit(instance, "j1", ITEMS)
    await until(lambda: runner.busy)
    await asyncio.sleep(0.6)
    assert runner.max_busy == 1
    runner.orphaned = 0
    await until(lambda: runner.busy == 3)
    assert instance.fleet.occupancy.total_at(runner.id).total == 3


async def test_an_old_job_is_swept_with_all_that_was_kept_of_it(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    runner = await world.add_runner()
    runner.events = 60
    runner.pause_s = 0.0
    runner.text = lambda request: ["y" * 1200 for _ in range(60)]
    instances = [await world.add_instance() for _ in range(2)]
    await world.ready()
    await world.submit(instances[0], "j1", ITEMS)
    await listed(world, instances[0], "j1", 3)
    for instance in instances:
        entries = instance.index.entries_by_job
        await until(lambda known=entries: "j1" in known and not known["j1"].open)
    assert [one.sweeper.expired_jobs() for one in instances] == [[], []]
    later = instances[0].clock.now() + 200.0
    for instance in instances:
        monkeypatch.setattr(instance.clock, "now", lambda: later)
    due = [one for one in instances if one.sweeper.expired_jobs()]
    assert len(due) == 1
    for entry in due[0].sweeper.expired_jobs():
        await due[0].sweeper._sweep(entry)
    assert world.store.objects == {}
    kept = [key for key in world.store.rows if key[0] in ("jobs", "job-index")]
    assert kept == [("job-index", "", "gate:work")]
    for instance in instances:
        entries = instance.index.entries_by_job
        await until(lambda known=entries: "j1" not in known)
        assert "j1" not in instance.keeper.listed_by_id
        assert (await world.results(instance, "j1")).status == 404
