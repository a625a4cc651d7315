"""A request that ends each engine that runs it, sent again and again to any instance.

One request was moved from engine to engine until its attempts were used up, and its
repeats began anew: nothing that one of them did was known to the next.
"""

import asyncio
from typing import Any

import pytest

from caperridge.decisions import suspects
from caperridge.instance import held_requests
from caperridge.instance.process import Instance
from promises.conftest import Fleet, until

ENOUGH = 3
# Longer than a test takes.
PAUSES_S = (1000.0, 2000.0, 4000.0)


class Engines:
    """The engines of a fleet, of which each ends that runs anything.

    Attributes:
        ended: how many have.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.ended = 0
        self._fleet = fleet
        self._kills: list[asyncio.Future[None]] = []
        self._killed: list[str] = []
        self._number = 100

    async def end_running(self) -> None:
        """End each engine that has run something; another one comes for it."""
        for id, engine in list(self._fleet.engines_by_id.items()):
            if not engine.runs_by_request:
                continue
            self.ended += 1
            del self._fleet.engines_by_id[id]
            for transport in list(engine.transports):
                transport.abort()
            kill = self._fleet.standins.kill_engine(id)
            self._kills.append(asyncio.ensure_future(kill))
            self._killed.append(id)

    async def end_while(self, asking: "asyncio.Future[Any]") -> None:
        """End engines until a request has its answer, and those that ran it last."""
        while not asking.done():
            await self.end_running()
            await asyncio.sleep(0.005)
        await self.end_running()
        await asyncio.gather(*self._kills)
        for id in self._killed:
            self._fleet.standins.unlist(id)
            self._number += 1
            await self._fleet.standins.add_engine(f"runner-{self._number}")
        self._kills, self._killed = [], []


@pytest.fixture
async def engines(fleet: Fleet, monkeypatch: pytest.MonkeyPatch) -> Engines:
    monkeypatch.setattr(suspects, "TRIAL_DELAYS_S", PAUSES_S)
    for number in range(4):
        await fleet.standins.add_engine(f"runner-{number + 10}")
    poll(fleet)
    await until(lambda: all(map(knows_six, fleet.instances_by_id.values())))
    return Engines(fleet)


def knows_six(instance: Instance) -> bool:
    """Return whether an instance knows six engines, and may use them."""
    states = instance.online.book.states_by_id.values()
    return sum(state.member.service == "chat" for state in states) >= 6


def poll(fleet: Fleet) -> None:
    """Have each instance read the list of targets soon."""
    for instance in fleet.instances_by_id.values():
        instance.members.poll_soon()


def asked(prompt: str) -> dict[str, Any]:
    """Return the body of a request."""
    return {"model": "chat", "prompt": prompt, "max_tokens": 40}


async def repeat(fleet: Fleet, engines: Engines, count: int) -> list[tuple[int, Any]]:
    """Send one that ends engines so often, to the instances in turn."""
    answers: list[tuple[int, Any]] = []
    for number in range(count):
        instance = f"entry-{number % 3 + 1}"
        body = asked("ends whoever runs it")
        asking = asyncio.ensure_future(fleet.ask(instance, "/v1/completions", body))
        await engines.end_while(asking)
        answers.append(asking.result())
        poll(fleet)
        await until(lambda: all(map(knows_six, fleet.instances_by_id.values())))
        await until(lambda: all(map(has_judged, fleet.instances_by_id.values())))
    return answers


def has_judged(instance: Instance) -> bool:
    """Return whether an instance knows what is to blame for what it heard."""
    instance.held_requests.judge()
    return not instance.held_requests.quarantine.evaluation_pending


async def test_it_is_kept_from_engines_at_every_instance(
    fleet: Fleet, engines: Engines
) -> None:
    answers = await repeat(fleet, engines, 5)
    assert engines.ended <= ENOUGH + 1
    for status, answer in answers[-3:]:
        assert status == 503
        assert answer["error"]["code"] == held_requests.CODE
        assert answer["error"]["run"] == "not_run"


async def test_others_are_served_while_it_is_held(
    fleet: Fleet, engines: Engines
) -> None:
    await repeat(fleet, engines, 3)
    for number in range(1, 4):
        instance = f"entry-{number}"
        status, _ = await fleet.ask(instance, "/v1/completions", asked("another"))
        assert status == 200
    held = fleet.instances_by_id["entry-1"].state()["held_requests"]
    assert len(held) == 1
