"""Tests of the HTTP interface for intents, at one instance."""

from typing import Any

import pytest

from caperridge.keys import token_digest
from conftest import DECLARATION, OPERATOR, Fleet, until

BROKEN = """
[services.chat]
kind = "engine"
modle = "north"
[callers.heat]
services = ["chat"]
"""
STRAY = DECLARATION + '[callers.x]\ntoken_sha256 = "%s"\nservices = ["chatt"]\n' % (
    "f" * 64
)


def files(declaration: str, **more: Any) -> dict[str, Any]:
    return {"files": {"all.toml": declaration}, **more}


async def plan_of(fleet: Fleet, body: dict[str, Any]) -> dict[str, Any]:
    status, answer = await fleet.operate("/intents", body)
    assert status == 200
    return answer["plan"]


async def test_a_plan_changes_nothing(fleet: Fleet) -> None:
    plan = await plan_of(fleet, files(DECLARATION.replace("billing", "invoices")))
    assert plan["base_version"] == 1
    actions = [(change["action"], change["name"]) for change in plan["changes"]]
    assert actions == [("remove", "billing"), ("add", "invoices")]
    assert any("billing is removed" in text for text in plan["warnings"])
    status, answer = await fleet.operate("/configuration")
    assert (status, answer["version"]) == (200, 1)


async def test_a_plan_says_what_is_loaded_and_how_long(fleet: Fleet) -> None:
    declaration = DECLARATION.replace('version = "1"', 'version = "2"').replace(
        '"1" = 10.0', '"1" = 10.0, "2" = 11.0'
    )
    declaration += "[weight_stores.default]\ngb_per_s = 2.0\n"
    plan = await plan_of(fleet, files(declaration))
    effect = "runner-1, runner-2 of chat load north 2: 22.0 GB from the weight store"
    assert plan["effects"] == [f"{effect}, about 11 s"]


async def test_a_plan_says_who_loses_access(fleet: Fleet) -> None:
    declaration = DECLARATION.replace("callers.heat", "callers.cold").replace(
        "operators.ana", "operators.bo"
    )
    plan = await plan_of(fleet, files(declaration))
    assert "1 callers lose access: heat" in plan["effects"]
    assert "you (ana) lose your own access" in plan["warnings"]


@pytest.mark.parametrize(
    ("declaration", "findings"),
    [
        (
            BROKEN,
            {
                ("all.toml:4", "services.chat.modle"),
                ("all.toml:5", "callers.heat.token_sha256"),
            },
        ),
        (STRAY, {("all.toml:19", "callers.x.services")}),
        ("[services", {("all.toml", "-")}),
        ("", set()),
    ],
)
async def test_findings_come_together_with_their_place(
    fleet: Fleet, declaration: str, findings: set[tuple[str, str]]
) -> None:
    status, answer = await fleet.operate("/intents", files(declaration))
    assert status == (400 if findings else 200)
    if not findings:
        return
    found = answer["error"]["findings"]
    assert {(f["source"], f["key"]) for f in found} == findings
    texts = " ".join(f["message"] for f in found)
    if declaration is BROKEN:
        assert "did you mean 'model'?" in texts
    if declaration is STRAY:
        assert "did you mean 'chat'?" in texts


async def test_a_confirm_needs_the_plan_it_confirms(fleet: Fleet) -> None:
    declaration = DECLARATION.replace("lookup", "search")
    body = files(declaration, digest="1-made-up")
    status, answer = await fleet.operate("/intents/confirm", body)
    assert (status, answer["error"]["code"]) == (409, "head_moved")
    assert answer["error"]["run"] == "not_run"
    body["digest"] = answer["plan"]["digest"]
    status, answer = await fleet.operate("/intents/confirm", body)
    assert (status, answer["version"], answer["already"]) == (200, 2, False)
    status, answer = await fleet.operate("/intents/confirm", body)
    assert (status, answer["version"], answer["already"]) == (200, 2, True)


async def test_the_loser_of_a_race_gets_a_new_plan(fleet: Fleet) -> None:
    declarations = [DECLARATION.replace("lookup", name) for name in ("one", "two")]
    digests = [(await plan_of(fleet, files(d)))["digest"] for d in declarations]
    statuses = []
    for declaration, digest in zip(declarations, digests, strict=True):
        body = files(declaration, digest=digest)
        status, answer = await fleet.operate("/intents/confirm", body)
        statuses.append(status)
    assert statuses == [200, 409]
    assert answer["plan"]["base_version"] == 2
    changes = {(c["action"], c["name"]) for c in answer["plan"]["changes"]}
    assert changes == {("remove", "one"), ("add", "two")}


async def test_history_diff_and_rollback(fleet: Fleet) -> None:
    await fleet.confirm(DECLARATION.replace("lookup", "search"))
    await until(lambda: fleet.instance.configuration.current.version == 2)
    plan = await plan_of(fleet, {"rollback_to": 1})
    body = {"rollback_to": 1, "digest": plan["digest"]}
    status, answer = await fleet.operate("/intents/confirm", body)
    assert (status, answer["version"]) == (200, 3)
    await until(lambda: fleet.instance.configuration.current.version == 3)
    _, answer = await fleet.operate("/configuration/history?limit=2")
    shown = [
        (v["version"], v["operator"], v["rollback_to"]) for v in answer["versions"]
    ]
    assert shown == [(3, "ana", 1), (2, "ana", 0)]
    _, answer = await fleet.operate("/configuration/diff?from=1&to=3")
    assert answer["changes"] == []
    _, answer = await fleet.operate("/configuration/diff?from=2&to=3")
    assert {c["name"] for c in answer["changes"]} == {"lookup", "search"}
    status, answer = await fleet.operate("/intents", {"rollback_to": 99})
    assert (status, answer["error"]["code"]) == (404, "version_not_found")


async def test_it_is_said_where_a_version_is_in_force(fleet: Fleet) -> None:
    _, answer = await fleet.operate("/configuration/in-force?version=1")
    assert answer["in_force"] == ["entry-1"]
    _, answer = await fleet.operate("/configuration/in-force?version=2")
    assert answer["behind"] == {"entry-1": 1}


async def test_without_the_platform_a_plan_says_so_and_a_confirm_is_refused(
    fleet: Fleet,
) -> None:
    body = files(DECLARATION.replace("lookup", "search"))
    fleet.memory.faults.outage = True
    plan = await plan_of(fleet, body)
    assert any("the platform is away" in text for text in plan["warnings"])
    body["digest"] = plan["digest"]
    status, answer = await fleet.operate("/intents/confirm", body)
    assert (status, answer["error"]["code"]) == (503, "platform_away")
    assert answer["error"]["run"] == "not_run"
    fleet.memory.faults.outage = False
    status, answer = await fleet.operate("/intents/confirm", body)
    assert (status, answer["version"]) == (200, 2)


@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("/intents", {}),
        ("/intents", {"files": []}),
        ("/intents/confirm", {"rollback_to": "1"}),
        ("/configuration/diff?from=x", None),
        ("/configuration/history?limit=-1", None),
    ],
)
async def test_wrong_input_is_refused(fleet: Fleet, path: str, body: Any) -> None:
    status, answer = await fleet.operate(path, body)
    assert (status, answer["error"]["code"]) == (400, "bad_request")


@pytest.mark.parametrize(
    "path",
    [
        "/configuration",
        "/configuration/history",
        "/configuration/diff",
        "/configuration/in-force",
    ],
)
async def test_a_stranger_reads_nothing(fleet: Fleet, path: str) -> None:
    headers = {"Authorization": "Bearer " + token_digest(OPERATOR)}
    url = fleet.operators_url + path
    async with fleet.http.get(url, headers=headers) as response:
        assert response.status == 401
