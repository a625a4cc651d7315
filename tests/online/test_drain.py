"""Online requests while their instance stops as planned."""

import asyncio

from conftest import Fleet

BODY = {"model": "chat", "prompt": "alarm 17?", "max_tokens": 200}


async def test_requests_of_an_instance_that_stops_are_answered_whole(
    fleet: Fleet,
) -> None:
    ask = asyncio.create_task(fleet.post("/v1/completions", BODY))
    while not fleet.instance.online.in_flight:
        await asyncio.sleep(0.001)
    drained = asyncio.create_task(fleet.instance.drain.run())
    await asyncio.sleep(0)
    assert fleet.instance.not_ready_because()
    status, _ = await fleet.post("/v1/completions", BODY | {"max_tokens": 2})
    assert status == 200  # the balancer has not moved on yet
    status, answer = await ask
    assert status == 200
    assert answer["usage"]["completion_tokens"] == 200
    await drained
    for engine in fleet.engines_by_id.values():
        assert set(engine.runs_by_request.values()) <= {1}
