"""Online requests: forwarded unchanged, retried where allowed, never run twice."""

import asyncio

import orjson
import pytest

from caperridge.gateway import edge
from gateway.conftest import ROUTES, World, configuration, route, until


@pytest.fixture
def routes() -> list:
    return list(ROUTES)


async def test_a_request_passes_unchanged_and_its_answer_too(world: World) -> None:
    runner = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    path = "/ask/a%2Fb/../c?x=%20y&z"
    answer = await world.ask(instance, path, "r1", X_Model="m", X_Other="1, 2")
    run = runner.runs[0]
    assert (answer.status, answer.whole) == (200, True)
    assert answer.data == runner.text("r1")
    assert answer.headers["X-Response-Stamp"] == "stamp-i-0-r1"
    assert (run.method, run.path, run.body) == ("POST", path, b"question")
    assert run.headers["Host"] == "calls.example"
    assert (run.headers["X-Model"], run.headers["X-Other"]) == ("m", "1, 2")
    assert run.headers["X-Expect-Instance"] == "i-0"
    assert 4000 < int(run.headers["X-Deadline-Ms"]) <= 5000


async def test_no_route_is_404_and_no_configuration_503(world: World) -> None:
    await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    assert (await world.ask(instance, "/none/1", "r1")).status == 404
    fresh = await world.add_instance("fresh")
    await world.ready()  # its first read of the configuration is over
    fresh.configuration.table = None
    answer = await world.ask(fresh, "/none/1", "r1")
    assert (answer.status, float(answer.headers["Retry-After"]) > 0) == (503, True)


@pytest.mark.parametrize("fault", ["break_after", "silent_after"])
async def test_a_resumable_stream_goes_on_elsewhere(world: World, fault: str) -> None:
    first = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    setattr(first, fault, 2)
    asking = asyncio.ensure_future(world.ask(instance, "/ask/1", "r1"))
    await until(lambda: first.runs)
    second = await world.add_runner()
    answer = await asking
    assert answer.data == first.text("r1")
    assert answer.headers["X-Response-Stamp"] == "stamp-i-0-r1"
    assert [run.resumed_after for run in second.runs] == [2]
    assert answer.whole


async def test_a_stream_that_may_not_be_repeated_is_cut_and_runs_once(
    world: World,
) -> None:
    runner = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    runner.break_after = 2
    answer = await world.ask(instance, "/once/1", "r1")
    assert (answer.status, answer.whole) == (200, False)
    assert answer.data == runner.text("r1")[:2]
    assert len(runner.runs) == 1


@pytest.mark.parametrize("fault", ["lose", "wrong_id"])
async def test_an_unknown_outcome_is_no_promise(world: World, fault: str) -> None:
    runner = await world.add_runner()
    await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    for one in world.runners:
        setattr(one, fault, True)
    answer = await world.ask(instance, "/once/1", "r1")
    assert answer.status == 502
    assert "X-Response-Stamp" not in answer.headers
    assert sum(len(one.runs) for one in world.runners) == 1
    assert runner is world.runners[0]


async def test_a_refusal_that_says_not_run_moves_any_request(world: World) -> None:
    refusing = await world.add_runner()
    refusing.refuse = True
    taking = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    for number in range(4):
        answer = await world.ask(instance, f"/once/{number}", f"r{number}")
        assert answer.data == taking.text(f"r{number}")
    assert refusing.runs == []


async def test_a_failure_of_a_target_is_passed_on_as_it_is(world: World) -> None:
    runner = await world.add_runner()
    runner.status = 500
    instance = await world.add_instance()
    await world.ready()
    answer = await world.ask(instance, "/once/1", "r1")
    assert (answer.status, answer.body) == (500, b"failed")
    assert answer.headers["X-Response-Stamp"] == "stamp-i-0-r1"


async def test_the_log_tells_a_target_s_failure_from_an_answer(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A failure that must not be retried is relayed and logged as an answer too."""
    lines: list[dict] = []
    monkeypatch.setattr(edge.log, "info", lambda _, **fields: lines.append(fields))
    runner = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    for status, id in ((200, "r1"), (500, "r2")):
        runner.status = status
        await world.ask(instance, f"/once/{id}", id)
    answered = {line["request"]: line for line in lines if "status" in line}
    assert (answered["r1"]["status"], answered["r2"]["status"]) == (200, 500)
    assert all(0 <= line["begun_s"] <= line["took_s"] for line in answered.values())


async def test_a_request_that_fails_everywhere_runs_as_often_as_its_route_allows(
    world: World,
) -> None:
    for _ in range(4):
        (await world.add_runner()).status = 500
    instance = await world.add_instance()
    await world.ready()
    answer = await world.ask(instance, "/ask/1", "r1")
    assert (answer.status, answer.body) == (500, b"failed")
    assert "X-Response-Stamp" in answer.headers
    assert sum(len(runner.runs) for runner in world.runners) == 2


async def test_another_incarnation_at_the_address_runs_nothing(world: World) -> None:
    runner = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    runner.id = "i-other"
    answer = await world.ask(instance, "/once/1", "r1")
    assert answer.status == 503
    assert runner.runs == []


async def test_a_caller_that_leaves_frees_its_target(world: World) -> None:
    runner = await world.add_runner()
    runner.pause_s = 5.0
    instance = await world.add_instance()
    await world.ready()
    asking = asyncio.ensure_future(world.ask(instance, "/ask/1", "r1"))
    await until(lambda: runner.busy)
    asking.cancel()
    await until(lambda: not runner.busy, within_s=0.5)
    assert instance.fleet.occupancy.total_at("i-0").total == 0


async def test_a_route_s_timeout_ends_a_request(world: World) -> None:
    runner = await world.add_runner()
    runner.silent_after = 0
    world.configure(2, [route("once", resumable=False, timeoutMs=300)])
    instance = await world.add_instance()
    await world.ready()
    started_at = asyncio.get_running_loop().time()
    answer = await world.ask(instance, "/once/1", "r1")
    assert answer.status == 504
    assert asyncio.get_running_loop().time() - started_at < 0.8


async def test_an_answer_without_length_that_is_reset_is_not_whole(
    world: World,
) -> None:
    runner = await world.add_runner()
    runner.unframed = True
    instance = await world.add_instance()
    await world.ready()
    assert (await world.ask(instance, "/once/1", "r1")).whole
    runner.break_after = 2
    answer = await world.ask(instance, "/once/2", "r2")
    assert not answer.whole


async def test_a_draining_target_gets_nothing_new_at_any_instance(
    world: World,
) -> None:
    leaving = await world.add_runner()
    staying = await world.add_runner()
    instances = [await world.add_instance() for _ in range(2)]
    await world.ready()
    world.list_runner(leaving, state="draining")
    for instance in instances:
        await until(lambda one=instance: one.fleet.targets.by_id["i-0"].draining)
        for number in range(4):
            await world.ask(instance, "/ask/1", f"r{number}")
    assert leaving.runs == []
    assert len(staying.runs) == 8


async def test_a_configuration_reaches_an_instance_that_the_store_turns_away(
    world: World,
) -> None:
    await world.add_runner()
    first = await world.add_instance()
    second = await world.add_instance()
    await world.ready()
    watcher = second._watchers[0]
    second.background.tasks_by_name[
        "watch op"
    ].cancel()  # stops its long poll of the configuration
    assert watcher.copy.loaded
    world.configure(7, ROUTES)
    await until(lambda: second.configuration.table.version == 7, within_s=2.0)
    assert first.configuration.table.version == 7


async def test_a_lower_version_is_never_put_in_force(world: World) -> None:
    await world.add_runner()
    world.configure(5, ROUTES)
    instance = await world.add_instance()
    await world.ready()
    world.configure(4, [])
    await asyncio.sleep(0.2)
    assert instance.configuration.table.version == 5
    dialect = instance._dialect
    older = dialect.configuration(orjson.dumps(configuration(3, [])))
    assert not instance.configuration.offer(older, "test")


async def test_forgotten_history_costs_no_change(world: World) -> None:
    await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    world.store.expire_history()
    world.configure(9, ROUTES)
    await until(lambda: instance.configuration.table.version == 9)


async def test_a_head_of_many_kilobytes_is_taken(world: World) -> None:
    runner = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    parts = ",".join(f"{number:08x}:10" for number in range(1200))
    answer = await world.ask(instance, "/ask/1", "r1", X_Prompt_Prefix=parts)
    assert answer.status == 200
    assert runner.runs[0].headers["X-Prompt-Prefix"] == parts
