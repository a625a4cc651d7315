"""Online requests while their instance stops as planned."""

import asyncio

from caperridge.instance.drain import FINISHING
from conftest import Fleet, until

TOKENS = 800  # their steps alone take longer than the balancer needs
BODY = {"model": "chat", "prompt": "alarm 17?", "max_tokens": TOKENS}
BALANCER_S = 0.5  # long beside one short request, also on a busy machine
DRAIN_S = 60.0


async def test_requests_of_an_instance_that_stops_are_answered_whole(
    fleet: Fleet,
) -> None:
    fleet.instance.settings.balancer_s = BALANCER_S
    fleet.instance.settings.drain_s = DRAIN_S
    ask = asyncio.create_task(fleet.post("/v1/completions", BODY))
    while not fleet.instance.online.in_flight:
        await asyncio.sleep(0.001)
    drained = asyncio.create_task(fleet.instance.drain.run())
    await asyncio.sleep(0)
    assert fleet.instance.not_ready_because()
    status, _ = await fleet.post("/v1/completions", BODY | {"max_tokens": 2})
    assert status == 200  # the balancer has not moved on yet
    await until(lambda: fleet.instance.drain.stage == FINISHING)
    assert not ask.done()  # the stop waits for it
    status, answer = await ask
    assert status == 200
    assert answer["usage"]["completion_tokens"] == TOKENS
    await drained
    assert fleet.instance.drain.cut == []
    for engine in fleet.engines_by_id.values():
        assert set(engine.runs_by_request.values()) <= {1}
