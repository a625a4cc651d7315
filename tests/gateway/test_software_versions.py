"""A stream goes on only at the software version that began it."""

import asyncio

import pytest

from caperridge.gateway import stream_origins
from caperridge.gateway.process import GatewayInstance
from gateway.conftest import Answer, World, route, until
from gateway.runner_standin import RunnerStandin

NEW_VERSION = "v2"
# So many that a choice by chance is not right for all of them.
STREAMS = [f"r{number}" for number in range(8)]


async def mixed_world(world: World, *zones: str) -> tuple[RunnerStandin, RunnerStandin]:
    """Start instances before a target of each version; return the targets."""
    first = await world.add_runner(slots=20)
    second = await world.add_runner(slots=20, software_version=NEW_VERSION)
    for zone in zones or "a":
        await world.add_instance(zone=zone)
    await world.ready()
    return first, second


def data_by_one_version(world: World, id: str, data: list[str]) -> bool:
    """Whether the events are the beginning of what one version writes for ``id``."""
    texts = [runner.text(id)[: len(data)] for runner in world.runners]
    return data in texts


async def begin(world: World, instance: GatewayInstance) -> None:
    """Have the streams begin, by turns at each version."""
    for number, id in enumerate(STREAMS):
        refusing = world.runners[number % 2]
        refusing.refuse = True
        await world.ask(instance, "/ask/1", id)
        refusing.refuse = False
    assert all(runner.runs for runner in world.runners)


async def take_up(world: World, instance: GatewayInstance, stream: str) -> Answer:
    """Ask for a stream from its third event on."""
    head = {"Last_Event_Id": "2", "Resumes": stream}
    return await world.ask(instance, "/ask/1", f"{stream}-again", **head)


def versions_of(world: World, id: str) -> set[str]:
    """Return the software versions that ran a request."""
    return {
        runner.software_version
        for runner in world.runners
        for run in runner.runs
        if run.id == id
    }


async def assert_all_go_on(world: World, instance: GatewayInstance) -> None:
    """Check that each stream goes on whole at the version that began it."""
    for stream in STREAMS:
        answer = await take_up(world, instance, stream)
        assert (answer.status, len(answer.data)) == (200, 3)
        assert versions_of(world, f"{stream}-again") == versions_of(world, stream)


# Guards against a retry that continues a stream at a target of another version.
async def test_a_retry_inside_an_answer_stays_at_the_software_version(
    world: World,
) -> None:
    breaking, other = await mixed_world(world)
    breaking.break_after = 2
    other.break_after = 2
    for number in range(4):
        id = f"r{number}"
        answer = await world.ask(world.instances[0], "/ask/1", id)
        assert answer.data
        assert data_by_one_version(world, id, answer.data)


# Guards against a retry that goes on elsewhere when no target of the version is left.
async def test_an_answer_ends_where_no_target_of_its_software_version_is_left(
    world: World,
) -> None:
    breaking, other = await mixed_world(world)
    breaking.fatal = other.fatal = lambda run: True
    breaking.fatal_after = 2
    other.fatal_after = 2
    answer = await world.ask(world.instances[0], "/ask/1", "r1")
    assert not answer.whole
    assert len(answer.data) == 2
    assert sum(len(one.runs) for one in world.runners) == 1


# Guards against a caller's stream that goes on at another version where the caller
# comes back: at the instance that began it, at another one of its availability zone,
# or at one that started afterwards and knows nothing yet.
@pytest.mark.parametrize("where", ["same", "other", "started"])
async def test_a_stream_that_is_taken_up_stays_at_the_software_version(
    world: World, where: str
) -> None:
    await mixed_world(world, "a", "a")
    await begin(world, world.instances[0])
    if where == "started":
        await world.add_instance(zone="a")
        await world.ready()
    await assert_all_go_on(world, world.instances[0 if where == "same" else -1])


# Guards against streams that can't go on because what began them is known only to an
# instance that was lost, or to an availability zone that was lost.
@pytest.mark.parametrize("large", [False, True])
@pytest.mark.parametrize("lost", [1, 3])
async def test_what_began_a_stream_is_known_after_losses(
    world: World, lost: int, large: bool, request: pytest.FixtureRequest
) -> None:
    if large:
        request.getfixturevalue("many_peers")
    await mixed_world(world, "a", "a", "a", "b", "b")
    await begin(world, world.instances[0])
    for _ in range(lost):
        await world.kill(world.instances[0])
    for instance in world.instances:
        await until(lambda one=instance: len(one.mesh.alive()) == 4 - lost)
    await assert_all_go_on(world, world.instances[0])


# Guards against streams that only one of the remaining availability zones can find.
async def test_what_began_a_stream_is_known_everywhere_after_the_loss_of_its_zone(
    world: World,
) -> None:
    await mixed_world(world, "a", "b", "c")
    lost, *others = world.instances
    await begin(world, lost)
    await world.kill(lost)
    for instance in others:
        await until(lambda one=instance: len(one.mesh.alive()) == 1)
    for instance in others:
        for stream in STREAMS:
            ask = instance.configuration.table.routes[0]
            found = await instance.origins.find(stream, ask)
            assert {found.origin.software_version} == versions_of(world, stream)


# Guards against a stream of unknown origin that goes on at any version.
async def test_a_stream_of_unknown_origin_is_refused_at_once_and_not_run(
    world: World,
) -> None:
    await mixed_world(world, "a", "a")
    answer = await take_up(world, world.instances[0], "never-seen")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert not any(runner.runs for runner in world.runners)


# Guards against streams that are lost although there was only one version that can have
# begun them.
async def test_a_stream_of_unknown_origin_goes_on_at_the_only_software_version(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(stream_origins, "KEEP_MARGIN_S", 0.0)
    world.configure(1, [route("ask", timeoutMs=400)])
    await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    refused = await take_up(world, instance, "r1")
    assert refused.status == 503  # the list has not been known for long enough

    def known_for_long() -> bool:
        return instance.origins._infer(instance.configuration.table.routes[0])

    await until(known_for_long)
    answer = await take_up(world, instance, "r1")
    assert (answer.status, len(answer.data)) == (200, 3)
    newer = await world.add_runner(software_version=NEW_VERSION)
    await world.ready()
    assert (await take_up(world, instance, "r2")).status == 503
    assert not newer.runs


# Guards against streams that are lost at an instance that has just started and knows
# too little to infer their version, where its peers know enough.
async def test_a_fresh_instance_asks_peers_for_the_only_software_version(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(stream_origins, "KEEP_MARGIN_S", 0.0)
    world.configure(1, [route("ask", timeoutMs=400)])
    await world.add_runner()
    first = await world.add_instance()
    await world.add_instance()
    await world.ready()
    await asyncio.sleep(0.45)
    fresh = await world.add_instance()
    await world.ready()
    fresh.fleet.list_known_since = lambda: float("inf")
    head = {"Last_Event_Id": "2"}
    answer = await world.ask(fresh, "/ask/1", "r1", **head)
    assert (answer.status, len(answer.data)) == (200, 3)
    # One peer that knows of a second version is enough.
    first.fleet.versions.record("model", NEW_VERSION, asyncio.get_running_loop().time())
    assert (await world.ask(fresh, "/ask/1", "r2", **head)).status == 503


# Guards against a stream that waits for a version that has left for good.
async def test_a_stream_whose_software_version_has_left_is_refused_at_once(
    world: World,
) -> None:
    first, _ = await mixed_world(world)
    await begin(world, world.instances[0])
    world.list_runner(first, state="draining")
    await until(
        lambda: world.instances[0].fleet.targets.by_id[first.id].draining,
    )
    for stream in STREAMS:
        began_at = versions_of(world, stream)
        answer = await take_up(world, world.instances[0], stream)
        assert answer.status == (200 if began_at == {NEW_VERSION} else 503)
        assert versions_of(world, f"{stream}-again") <= began_at


# Guards against a stream that goes on at another service of a route that is split.
async def test_a_stream_goes_on_at_the_service_that_began_it(world: World) -> None:
    split = [{"service": "model", "weight": 1}, {"service": "other", "weight": 1}]
    world.configure(1, [route("ask", trafficSplit=split)])
    await mixed_world(world)
    instance = world.instances[0]
    streams = [f"r{number}" for number in range(20)]
    answers = {id: await world.ask(instance, "/ask/1", id) for id in streams}
    begun = [id for id, answer in answers.items() if answer.status == 200]
    assert 0 < len(begun) < len(streams)  # the other service has no target
    for stream in begun:
        answer = await take_up(world, instance, stream)
        assert (answer.status, len(answer.data)) == (200, 3)


# Guards against records that grow with what callers send.
async def test_what_is_kept_of_streams_is_bounded_and_expires(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(stream_origins, "EXPIRY_INTERVAL_S", 0.0)
    await mixed_world(world, "a", "a")
    first, second = world.instances
    await world.ask(first, "/ask/1", "r" * 5000)
    await until(lambda: second.origins.known == 1)
    assert first.origins.known == 1
    assert len(str(first.origins._table._records_by_key)) < 500
    for instance in world.instances:
        kept_until = max(
            one.until for one in instance.origins._table._records_by_key.values()
        )
        instance.origins.expire(kept_until)
        assert instance.origins.known == 0
