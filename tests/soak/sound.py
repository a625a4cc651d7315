"""What sound targets and the platform's balancer may do, drawn by a seed."""

import asyncio
import random

from soak.callers import Callers
from soak.diary import EVERYBODY
from soak.town import Town

MAX_SILENCE_S = 1.5


async def unframed(town: Town, callers: Callers, chance: random.Random) -> None:
    """Have a runner end its answers with their connection, some of them too early."""
    trouble = town.diary.begin(EVERYBODY, "unframed answers")
    runner = chance.choice(town.runners)
    runner.unframed = True
    runner.break_resets = chance.random() < 0.5
    # An end between two events is the end of the answer, to everybody.
    runner.break_bytes = chance.choice([b"", b"id: "]) if runner.break_resets else b"id"
    for _ in range(chance.randint(1, 4)):
        runner.break_after = chance.choice([None, 0, 1, 2])
        await asyncio.sleep(chance.uniform(0.1, 0.5))
    runner.break_after = None
    runner.unframed = False
    trouble.end()


async def silent(town: Town, callers: Callers, chance: random.Random) -> None:
    """Have a runner, or all of them, send nothing for a while and go on.

    The diary has no trouble then: a planned stop ends no answer sooner.
    """
    runners = [chance.choice(town.runners)]
    if chance.random() < 0.3:
        runners = list(town.runners)
    for runner in runners:
        runner.going.clear()
    await asyncio.sleep(chance.uniform(0.3, MAX_SILENCE_S))
    for runner in runners:
        runner.going.set()


async def crowd(town: Town, callers: Callers, chance: random.Random) -> None:
    """Have most callers come to one instance, and more often."""
    callers.crowded = chance.choice(town.instances)
    await asyncio.sleep(chance.uniform(1.0, 4.0))
    callers.crowded = None


async def happen(
    town: Town, callers: Callers, chance: random.Random, seconds: float, calm: bool
) -> None:
    """Have these things happen for a while, one after the other.

    Args:
        town: where.
        callers: that use it.
        chance: draws them.
        seconds: for how long.
        calm: only what is no trouble in a planned stop.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    kinds = [silent, crowd] if calm else [unframed, silent, crowd]
    while loop.time() < end:
        await chance.choice(kinds)(town, callers, chance)
        await asyncio.sleep(chance.uniform(0.05, 0.9))
