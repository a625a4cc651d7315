"""Keys of teams: who is let in, what targets are told, and whose jobs are whose."""

import asyncio
import io

import logbook
import orjson
import pytest
from multidict import CIMultiDict

from caperridge.gateway.credentials import CredentialFilter
from caperridge.gateway.process import GatewayInstance
from caperridge.gateway.state import state_of
from caperridge.log import JsonLinesHandler
from caperridge.platform.teams import decode_teams
from gateway.conftest import ROUTES, World, bearer, route, tenant, until

NORTH, SOUTH = "north-secret-key", "south-secret-key"
TEAMS = [tenant("north", NORTH, "north-second-key"), tenant("south", SOUTH)]
OPEN_ROUTES = [*ROUTES, route("open", anonymous=True)]
ITEMS = ["x1", "x2"]


@pytest.fixture
async def fleet(world: World) -> World:
    """Two instances, one target and two teams."""
    world.configure(2, OPEN_ROUTES, TEAMS)
    await world.add_runner()
    for _ in range(2):
        await world.add_instance()
    await world.ready()
    return world


async def done(
    world: World, instance: GatewayInstance, job: str, key: str, count: int
) -> list:
    async with asyncio.timeout(10):
        while True:
            answer = await world.results(instance, job, key=key)
            assert answer.status == 200
            results = orjson.loads(answer.body)["results"]
            if len(results) >= count:
                return results
            await asyncio.sleep(0.02)


async def test_the_target_is_told_the_team_and_not_the_key(fleet: World) -> None:
    answer = await fleet.ask(fleet.instances[0], "/ask/1", "q1", **bearer(NORTH))
    assert (answer.status, answer.whole) == (200, True)
    (run,) = fleet.runners[0].runs
    assert run.headers["X-Tenant"] == "north"
    assert "Authorization" not in run.headers


@pytest.mark.parametrize(
    "headers",
    [{}, bearer("unknown"), {"Authorization": NORTH}, {"Authorization": "Basic x"}],
)
async def test_without_a_known_key_nothing_runs(
    fleet: World, headers: dict[str, str]
) -> None:
    answer = await fleet.ask(fleet.instances[0], "/ask/1", "q1", **headers)
    assert answer.status == 401
    assert answer.headers["WWW-Authenticate"] == "Bearer"
    assert (await fleet.submit(fleet.instances[0], "j1", ITEMS)).status == 401
    assert (await fleet.results(fleet.instances[0], "j1")).status == 401
    assert fleet.runners[0].runs == []


async def test_an_unknown_path_is_404_with_and_without_a_key(fleet: World) -> None:
    for headers in ({}, bearer(NORTH)):
        answer = await fleet.ask(fleet.instances[0], "/none/1", "q1", **headers)
        assert answer.status == 404


async def test_an_anonymous_route_needs_no_key_and_tells_no_team(fleet: World) -> None:
    forged = {"X-Tenant": "north", "x_tenant": "south"} | bearer("unknown")
    answer = await fleet.call(
        fleet.instances[0], "POST", "/open/1", {"X-Request-Id": "q1"} | forged, b"q"
    )
    assert answer.status == 200
    (run,) = fleet.runners[0].runs
    assert not {"x-tenant", "x_tenant", "authorization"} & {
        name.lower() for name in run.headers
    }


async def test_without_teams_headers_pass_unchanged(world: World) -> None:
    await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    headers = bearer(NORTH) | {"X-Tenant": "any"}
    assert (await world.ask(instance, "/ask/1", "q1", **headers)).status == 200
    (run,) = world.runners[0].runs
    assert run.headers["Authorization"] == f"Bearer {NORTH}"
    assert run.headers["X-Tenant"] == "any"


@pytest.mark.parametrize(
    "forged",
    [
        [("X-Tenant", "south")],
        [("x-tenant", "south"), ("X-TENANT", "east")],
        [("X_Tenant", "south")],
        [("X-Tenant", "south, east"), ("Connection", "x-tenant")],
        [("Connection", "X-Tenant, close")],
        [("AUTHORIZATION", "Bearer k"), ("authorization", "Bearer l")],
    ],
)
def test_a_forged_team_reaches_no_target(forged: list[tuple[str, str]]) -> None:
    headers = CIMultiDict([("X-Request-Id", "1"), *forged])
    sent = CredentialFilter("X-Tenant").headers_for(headers, "north")
    assert sorted(sent.items()) == [("X-Request-Id", "1"), ("X-Tenant", "north")]


async def test_an_added_key_serves_and_a_revoked_one_does_not(fleet: World) -> None:
    fleet.configure(3, OPEN_ROUTES, [tenant("north", "new-key"), tenant("south")])
    for instance in fleet.instances:
        await until(lambda one=instance: one.configuration.table.version == 3)
        for key, status in (("new-key", 200), (NORTH, 401), (SOUTH, 401)):
            answer = await fleet.ask(instance, "/ask/1", f"q-{key}", **bearer(key))
            assert answer.status == status


async def test_before_a_configuration_is_known_nobody_is_refused_for_good(
    world: World,
) -> None:
    world.store.refuse = 503
    instance = await world.add_instance()
    answer = await world.ask(instance, "/ask/1", "q1", **bearer("unknown"))
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0


async def test_a_job_is_its_team_s_alone(fleet: World) -> None:
    first, second = fleet.instances
    assert (await fleet.submit(first, "j1", ITEMS, key=NORTH)).status == 202
    await done(fleet, second, "j1", "north-second-key", 2)
    assert {run.headers["X-Tenant"] for run in fleet.runners[0].runs} == {"north"}
    for instance in fleet.instances:
        assert (await fleet.results(instance, "j1", key=SOUTH)).status == 404
        for method, path in (("DELETE", "/lots/j1"), ("GET", "/items/j1?id=x1")):
            answer = await fleet.call(instance, method, path, bearer(SOUTH))
            assert answer.status == 404


async def test_two_teams_may_use_one_id(fleet: World) -> None:
    first, second = fleet.instances
    assert (await fleet.submit(first, "j1", ["x1"], key=NORTH)).status == 202
    assert (await fleet.submit(second, "j1", ["y1"], key=SOUTH)).status == 202
    for instance in fleet.instances:
        (north,) = await done(fleet, instance, "j1", NORTH, 1)
        (south,) = await done(fleet, instance, "j1", SOUTH, 1)
        assert (north["id"], south["id"]) == ("x1", "y1")


async def test_a_job_outlives_the_key_it_was_sent_with(fleet: World) -> None:
    runner = fleet.runners[0]
    runner.refuse = True
    assert (
        await fleet.submit(fleet.instances[0], "j1", ITEMS, key=NORTH)
    ).status == 202
    fleet.configure(3, OPEN_ROUTES, [tenant("north", "new-key")])
    for instance in fleet.instances:
        await until(lambda one=instance: one.configuration.table.version == 3)
    runner.refuse = False
    await done(fleet, fleet.instances[1], "j1", "new-key", 2)
    assert {run.headers["X-Tenant"] for run in runner.runs} == {"north"}


async def test_waiting_tokens_are_limited_for_each_team(fleet: World) -> None:
    fleet.runners[0].refuse = True
    first, second = fleet.instances
    assert (await fleet.submit(first, "j1", ["x1"], 900, NORTH)).status == 202
    assert (await fleet.submit(second, "j2", ["x2"], 900, NORTH)).status == 429
    assert (await fleet.submit(second, "j2", ["x2"], 900, SOUTH)).status == 202


async def test_credentials_of_an_item_reach_neither_the_store_nor_targets(
    fleet: World,
) -> None:
    headers = {"X-Request-Id": "j1"} | bearer(NORTH)
    item = {
        "id": "x1",
        "path": "/work/x1",
        "headers": {"authorization": f"Bearer {NORTH}", "x_tenant": "south"},
        "body": "",
        "tokens": 1,
    }
    body = {"requests": [item]}
    answer = await fleet.call(
        fleet.instances[0], "POST", "/work/j1", headers, json=body
    )
    assert answer.status == 202
    await done(fleet, fleet.instances[0], "j1", NORTH, 1)
    (run,) = fleet.runners[0].runs
    assert run.headers["X-Tenant"] == "north"
    assert "Authorization" not in run.headers
    assert "x_tenant" not in run.headers


async def test_keys_are_in_no_log_row_object_or_state(fleet: World) -> None:
    first = fleet.instances[0]
    logged = io.StringIO()
    with JsonLinesHandler(logged, level=logbook.DEBUG).applicationbound():
        await fleet.ask(first, "/ask/1", "q1", **bearer(NORTH))
        await fleet.ask(first, "/ask/1", "q2", **bearer("mistyped-secret-key"))
        assert (await fleet.submit(first, "j1", ITEMS, key=SOUTH)).status == 202
        await done(fleet, first, "j1", SOUTH, 2)
    assert "request placed" in logged.getvalue()
    assert "unknown key" in logged.getvalue()
    written = [logged.getvalue(), repr(state_of(first))]
    written += [
        repr(value)
        for key, value in fleet.store.rows.items()
        if key[0] != first._dialect.configuration_table
    ]
    written += [repr(value) for value in fleet.store.objects.items()]
    for key in (NORTH, SOUTH, "mistyped-secret-key"):
        assert not [text for text in written if key in text]


@pytest.mark.parametrize(
    "bad",
    [
        {"apiKeys": ["k"]},
        {"name": "", "apiKeys": ["k"]},
        {"name": "bad", "apiKeys": [""]},
        {"name": "bad", "apiKeys": [7]},
        {"name": "bad", "apiKeys": "k"},
        {"name": "bad", "apiKeys": ["k"], "ratePerS": -1},
        {"name": "bad", "apiKeys": ["k"], "burst": "many"},
        "no team",
        None,
    ],
)
def test_an_invalid_team_stops_no_other(bad: object) -> None:
    teams = decode_teams([bad, tenant("north", NORTH, ratePerS=2, burst=3, extra=1)])
    assert len(teams) == 1
    found = teams.by_name("north")
    assert found is not None
    assert found.limit is not None
    assert (found.limit.rate_per_s, found.limit.burst) == (2, 3)


def test_a_key_of_two_teams_is_the_first_one_s() -> None:
    teams = decode_teams([tenant("north", "k"), tenant("south", "k", "l")])
    digests = decode_teams([tenant("only", "k")])._teams_by_digest
    (digest,) = digests
    found = teams.by_digest(digest)
    assert found is not None
    assert found.name == "north"


def test_a_rate_of_zero_or_none_is_no_limit() -> None:
    teams = decode_teams([tenant("a", "k"), tenant("b", "l", ratePerS=0, burst=5)])
    for name in ("a", "b"):
        found = teams.by_name(name)
        assert found is not None
        assert found.limit is None
