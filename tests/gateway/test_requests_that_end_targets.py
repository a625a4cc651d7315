"""Requests that end each target that runs them, and what runs beside them.

What was seen: of six targets up to six ended within three seconds, and again ten
seconds later; in one series eleven ended, eight of them after it could have been known
why. In all ends one request was there that had begun, had made no event and was about
0.1 s old.

How it came about: a caller sent the same request again and again, each time with
another id, to whichever instance the balancer chose. Each instance judged each try
alone, placed it on a sound target that was nearly empty, and forgot it when that target
ended.

What proved it: the same request is sent here to several instances in turn, and each try
ends a target for as long as there are any; with one that ends nothing, none does.
"""

import pytest

from gateway.conftest import Answer, World, until
from gateway.runner_standin import Run

FATAL = b"ends whoever runs it"
# Ends under one request, from which on it is sent to no target any more.
ENOUGH = 3
REPEATS = 8


def is_fatal(run: Run) -> bool:
    return run.body.startswith(FATAL) or run.path.endswith("/fatal")


@pytest.fixture
async def fleet(world: World) -> World:
    """Three instances and five targets, each of which a fatal request ends."""
    for _ in range(5):
        runner = await world.add_runner()
        runner.fatal = is_fatal
    for _ in range(3):
        await world.add_instance()
    await world.ready()
    return world


async def repeat(
    world: World, path: str, first: int = 0, count: int = REPEATS, **headers: str
) -> list[Answer]:
    """Send a fatal request again and again, to the instances in turn."""
    answers: list[Answer] = []
    for number in range(first, first + count):
        instance = world.instances[number % len(world.instances)]
        answers.append(await world.ask(instance, path, f"f{number}", FATAL, **headers))
        await world.replace_ended()
    return answers


async def test_a_request_that_ended_three_targets_is_sent_to_no_other(
    fleet: World,
) -> None:
    answers = await repeat(fleet, "/once/1")
    assert len(fleet.runners_ended) == ENOUGH
    for answer in answers[ENOUGH:]:
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0


async def test_an_item_that_ended_three_targets_is_sent_to_no_other(
    fleet: World,
) -> None:
    await fleet.submit(fleet.instances[0], "job", ["sound-1", "fatal", "sound-2"])
    for number in range(1, ENOUGH + 1):
        await until(lambda many=number: _ended(fleet) >= many)
        await fleet.replace_ended()
    sound = {"sound-1", "sound-2"}
    for number in range(10):
        # Time enough for it to be sent again, if it was.
        await until(lambda: sound <= _completed(fleet) or _ended(fleet) > ENOUGH)
        sound.add(f"later-{number}")
        await fleet.submit(fleet.instances[1], f"job-{number}", [f"later-{number}"])
    assert _ended(fleet) == ENOUGH


def _ended(world: World) -> int:
    here = sum(1 for one in world.runners if one.ended)
    return here + len(world.runners_ended)


def _completed(world: World) -> set[str]:
    runners = [*world.runners, *world.runners_ended]
    return {run.id for one in runners for run in one.runs if run.ended}
