"""Faults from outside, drawn by a seed; they come in series and overlap."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from soak.diary import EVERYBODY
from soak.proxy import MODES, PASS, FaultProxy
from soak.town import Town

Fault = Callable[[Town, random.Random], Awaitable[None]]


async def kill(town: Town, chance: random.Random) -> None:
    """Kill one instance, or all of them at once."""
    victims = (
        town.instances if chance.random() < 0.2 else [chance.choice(town.instances)]
    )
    for one in victims:
        one.send(signal.SIGKILL)


async def stop(town: Town, chance: random.Random) -> None:
    """Stop an instance as planned."""
    chance.choice(town.instances).send(signal.SIGTERM)


async def pause(town: Town, chance: random.Random) -> None:
    """Pause an instance, and wake it."""
    one = chance.choice(town.instances)
    trouble = town.diary.begin(one.id, "paused")
    one.send(signal.SIGSTOP)
    await asyncio.sleep(chance.uniform(0.2, 3.0))
    one.send(signal.SIGCONT)
    trouble.end()


async def reload(town: Town, chance: random.Random) -> None:
    """Have an instance read its settings again."""
    chance.choice(town.instances).send(signal.SIGHUP)


async def way_to_store(town: Town, chance: random.Random) -> None:
    """Harm one instance's way to the store."""
    one = chance.choice(town.instances)
    trouble = town.diary.begin(one.id, "way to the store")
    await _harm(one.store, chance)
    trouble.end()


async def way_to_runner(town: Town, chance: random.Random) -> None:
    """Harm everybody's way to one runner."""
    trouble = town.diary.begin(EVERYBODY, "way to a target")
    await _harm(chance.choice(town.runner_proxies), chance)
    trouble.end()


async def store_away(town: Town, chance: random.Random) -> None:
    """Have the store refuse everybody."""
    trouble = town.diary.begin(EVERYBODY, "store away")
    town.store.refuse = chance.choice([429, 503])
    await asyncio.sleep(chance.uniform(0.2, 2.0))
    town.store.refuse = None
    trouble.end()


async def store_loses(town: Town, chance: random.Random) -> None:
    """Have the store lose answers of writes, some of which are done later."""
    # The answers that are lost, and the late writes, come whenever somebody writes.
    town.diary.begin(EVERYBODY, "store loses answers")
    town.store.delay_writes_s = chance.choice([0.0, 0.0, 0.7, 2.0])
    town.store.lose_answers = chance.randint(1, 6)


async def store_forgets(town: Town, chance: random.Random) -> None:
    """Have the store forget the history of changes."""
    town.diary.begin(EVERYBODY, "store forgets").end()
    town.store.expire_history()


async def runner_fails(town: Town, chance: random.Random) -> None:
    """Have a runner break off, fall silent, refuse or lose answers."""
    trouble = town.diary.begin(EVERYBODY, "a target fails")
    runner = chance.choice(town.runners)
    fault = chance.choice(["break_after", "silent_after", "refuse", "lose", "wrong_id"])
    setattr(runner, fault, 2 if fault.endswith("after") else True)
    await asyncio.sleep(chance.uniform(0.2, 1.0))
    setattr(runner, fault, None if fault.endswith("after") else False)
    trouble.end()


async def runner_drains(town: Town, chance: random.Random) -> None:
    """List a runner as draining, and as ready again."""
    number = chance.randrange(len(town.runners))
    town.list_runner(number, "draining")
    await asyncio.sleep(chance.uniform(0.3, 1.5))
    town.list_runner(number, "ready")


async def change(town: Town, chance: random.Random) -> None:
    """Change the configuration, now and then in quick succession."""
    for _ in range(chance.choice([1, 1, 5])):
        town.change_configuration()
        await asyncio.sleep(0.05)


FAULTS: tuple[Fault, ...] = (
    kill,
    kill,
    stop,
    pause,
    reload,
    way_to_store,
    way_to_runner,
    store_away,
    store_loses,
    store_forgets,
    runner_fails,
    runner_drains,
    change,
)


async def inject(town: Town, chance: random.Random, seconds: float) -> list[str]:
    """Inject faults for a while; return what came, in order."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    told: list[str] = []
    running: set[asyncio.Task[None]] = set()
    while loop.time() < end:
        fault = chance.choice(FAULTS)
        told.append(fault.__name__)
        running.add(asyncio.ensure_future(fault(town, chance)))
        await asyncio.sleep(chance.uniform(0.05, 0.9))
    await asyncio.gather(*running)
    return told


async def release_slowly(town: Town, chance: random.Random, seconds: float) -> None:
    """Replace targets by ones of the next software version, one after the other.

    Some drain first and some end without notice; several versions serve side by side.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    step = 0
    while loop.time() < end:
        number = step % len(town.runners)
        version = f"v{2 + step // len(town.runners)}"
        drain_s = chance.choice([0.0, 0.0, 0.5, 1.0])
        trouble = town.diary.begin(EVERYBODY, "a target is replaced")
        await town.replace_runner(number, version, drain_s)
        trouble.end()
        step += 1
        await asyncio.sleep(chance.uniform(0.5, 1.5))


async def _harm(proxy: FaultProxy, chance: random.Random) -> None:
    proxy.set_mode(chance.choice(MODES))
    await asyncio.sleep(chance.uniform(0.2, 2.5))
    proxy.set_mode(PASS)
