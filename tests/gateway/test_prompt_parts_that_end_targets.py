"""Quarantine of prompt parts that crash each target that begins to write on them.

Guards against requests that are all different, but share one part of their prompts
under which each target crashes. They came to all instances; each was judged by its
whole content, so none was recognised, and up to 26 targets crashed in a row. Sound
requests share the caller and the other parts.
"""

import itertools
from collections.abc import Iterator

import pytest

from caperridge.decisions import suspects
from caperridge.gateway.process import GatewayInstance
from gateway.conftest import Answer, World
from gateway.runner_standin import Run
from gateway.test_requests_that_end_targets import all_know, crash_count

FATAL_PART = "bad0"
# Crashes under one part after which no request with it is sent to a target.
CRASH_THRESHOLD = 3
# Longer than any test takes; tests of trials move the clock.
TRIAL_DELAYS_S = (1000.0, 2000.0, 4000.0)


def is_fatal(run: Run) -> bool:
    return f"{FATAL_PART}:" in run.headers.get("X-Prompt-Prefix", "")


@pytest.fixture
async def fleet(world: World, monkeypatch: pytest.MonkeyPatch) -> World:
    """Three instances and five targets, which the fatal part crashes."""
    monkeypatch.setattr(suspects, "TRIAL_DELAYS_S", TRIAL_DELAYS_S)
    for _ in range(5):
        runner = await world.add_runner()
        runner.fatal = is_fatal
    for _ in range(3):
        await world.add_instance()
    await world.ready()
    return world


@pytest.fixture
def numbers() -> Iterator[int]:
    return itertools.count()


def prompt(number: int, *shared: str) -> str:
    """Return the parts of a prompt; the last one is of request ``number`` only."""
    return ",".join(f"{part}:100" for part in (*shared, f"f{number:04x}"))


async def ask(
    fleet: World,
    instance: GatewayInstance,
    number: int,
    *shared: str,
    path: str = "/once/1",
) -> Answer:
    """Send a request that is like no other but for the shared parts of its prompt."""
    return await fleet.ask(
        instance,
        path,
        f"r{number}",
        f"question {number}".encode(),
        X_Prompt_Prefix=prompt(number, *shared),
    )


async def send_fatal(
    fleet: World,
    numbers: Iterator[int],
    count: int = 8,
    shared: tuple[str, ...] = ("a0", FATAL_PART),
    path: str = "/once/1",
) -> list[Answer]:
    """Send fatal requests one after the other, to the instances in turn."""
    answers: list[Answer] = []
    for number in itertools.islice(numbers, count):
        instance = fleet.instances[number % len(fleet.instances)]
        crashes = crash_count(fleet)
        answers.append(await ask(fleet, instance, number, *shared, path=path))
        if crash_count(fleet) > crashes:
            await all_know(fleet)
        await fleet.replace_crashed()
    return answers


async def send_sound(
    fleet: World, numbers: Iterator[int], *shared: str, path: str = "/once/1"
) -> None:
    """Have each instance serve a sound request."""
    for instance in fleet.instances:
        answer = await ask(fleet, instance, next(numbers), *shared, path=path)
        assert (answer.status, answer.whole) == (200, True)


async def test_a_part_under_which_three_targets_crashed_is_sent_to_no_other(
    fleet: World, numbers: Iterator[int]
) -> None:
    await send_sound(fleet, numbers, "a0", "b0")
    answers = await send_fatal(fleet, numbers)
    assert crash_count(fleet) == CRASH_THRESHOLD
    for answer in answers[CRASH_THRESHOLD:]:
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0
