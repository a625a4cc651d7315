"""Two faults at once."""

import asyncio

from caperridge.standins.engine_model import answer_text
from promises.conftest import Fleet

ITEMS = 40


async def test_an_engine_dies_while_the_platform_loses_answers(fleet: Fleet) -> None:
    fleet.slow(5.0)
    fleet.platform.faults.lose_answers = 0.5
    file = await fleet.upload("entry-1", ITEMS)
    body = {"input_file_id": file, "endpoint": "/v1/completions"}
    key = {"Idempotency-Key": "night"}
    status, job = await fleet.ask("entry-1", "/v1/batches", body, **key)
    while status != 200:
        # Its answer was lost for good: the client sends it again, elsewhere.
        assert job["error"]["run"] == "unknown"
        status, job = await fleet.ask("entry-2", "/v1/batches", body, **key)
    await fleet.holder()
    asked = [
        asyncio.ensure_future(fleet.complete(name, f"alarm at {name}?", 40))
        for name in fleet.instances_by_id
    ]
    await asyncio.sleep(0.1)
    await fleet.standins.kill_engine("runner-1")
    fleet.slow(1.0)
    answers = await asyncio.gather(*asked)
    assert answers == [
        answer_text(f"alarm at {name}?", 40) for name in fleet.instances_by_id
    ]
    await fleet.completed("entry-2", job["id"])
    fleet.platform.faults.lose_answers = 0.0
    await fleet.check_each_once("entry-3", job["id"], ITEMS)
    _, again = await fleet.ask("entry-3", "/v1/batches", body, **key)
    assert again["id"] == job["id"]
