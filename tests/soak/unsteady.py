"""Instances that are out of step, targets that restart in place, and odd entries."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

import aiohttp
import orjson

from gateway.conftest import ROUTES
from soak.callers import Callers
from soak.diary import EVERYBODY, Life
from soak.proxy import PASS, SILENCE
from soak.town import SoakInstance, Town

# Streams are short, so that instances infer a version a few seconds after a change.
TIMEOUT_MS = 1000
ODD_INTERVAL_S = 1.0
FOLLOWED_WITHIN_S = 2.0
MARKER = "marker"
# Fields of an entry that another writer gets wrong.
ODD_FIELDS = {
    "address": ["127.0.0.1:0655350", "127.0.0.1:99999", "0.0.0.0:80", "x", 5, None],
    "slots": [0, -1, 2.5, 2**70, "8"],
    "version": ["", "v\n1", "v" * 5000, 7],
    "zone": ["a\r\nb", {}, "z" * 5000],
    "service": [[], "", "model\x00"],
    "born": [0, -1, 1.5, "1", 2**70],
    "seq": [-1, "1", 1e300],
}
ODD_KEYS = ["odd", "odd 1", "odd@5", "i-0@17", "\u00f6dd", "x" * 200]


async def happen(
    town: Town, callers: Callers, chance: random.Random, seconds: float
) -> None:
    """Play for a while; several plays overlap."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    plays: list[Callable[..., Awaitable[None]]] = [restart, restart, join, lose_all]
    writer = asyncio.ensure_future(write_odd_entries(town, callers, chance, seconds))
    running: list[asyncio.Future[None]] = [writer]
    version = 1
    while loop.time() < end:
        version += 1
        play = chance.choice(plays)(town, callers, chance, f"v{version}")
        running.append(asyncio.ensure_future(play))
        await asyncio.sleep(chance.uniform(0.5, 2.0))
    await asyncio.gather(*running)


async def restart(
    town: Town, callers: Callers, chance: random.Random, version: str
) -> None:
    """Restart a target in place; its entry comes before, with or after that."""
    number = chance.randrange(len(town.runners))
    trouble = town.diary.begin(EVERYBODY, "a target restarts")
    runner = await town.restart_in_place(number, version)
    runner.break_after = chance.choice([None, 2, 3])
    await asyncio.sleep(chance.choice([0.0, 0.1, 0.5, 1.0]))
    town.list_runner(number, "ready")
    await asyncio.sleep(chance.uniform(0.0, 0.5))
    runner.break_after = None
    trouble.end()


async def join(
    town: Town, callers: Callers, chance: random.Random, version: str
) -> None:
    """Have a version join while an instance is out of step; streams go on there."""
    behind = chance.choice(town.instances)
    trouble = town.diary.begin(behind.id, "out of step")
    stands = chance.random() < 0.5
    if stands:
        behind.send(signal.SIGSTOP)
    else:
        behind.store.set_mode(SILENCE)
    callers.back_at = behind
    number = chance.randrange(len(town.runners))
    replaced = town.diary.begin(EVERYBODY, "a target is replaced")
    await town.replace_runner(number, version, 0.0)
    town.runners[number].break_after = 2
    await asyncio.sleep(chance.uniform(0.2, 3.0))
    if stands:
        behind.send(signal.SIGCONT)
    await asyncio.sleep(0.3)
    behind.store.set_mode(PASS)
    town.runners[number].break_after = None
    callers.back_at = None
    replaced.end()
    trouble.end()


async def lose_all(
    town: Town, callers: Callers, chance: random.Random, version: str
) -> None:
    """Kill all instances while a target restarts in place."""
    restarting = restart(town, callers, chance, version)
    task = asyncio.ensure_future(restarting)
    await asyncio.sleep(chance.uniform(0.0, 0.6))
    for one in town.instances:
        one.send(signal.SIGKILL)
    await task


async def write_odd_entries(
    town: Town, callers: Callers, chance: random.Random, seconds: float
) -> None:
    """Write an odd entry each second, and a sound one that all have to follow."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=FOLLOWED_WITHIN_S)
    ) as session:
        number = 0
        while loop.time() < end:
            number += 1
            town.store.put_bytes("servers", chance.choice(ODD_KEYS), _odd(town, chance))
            marker = town.entry(0) | {"service": MARKER, "version": f"m{number}"}
            town.store.put("servers", MARKER, marker)
            began_at = loop.time()
            lives = {one.id: one.life for one in town.instances}
            up = [one for one in town.instances if await _marker_at(session, one)]
            await asyncio.sleep(FOLLOWED_WITHIN_S)
            for one in up:
                seen = await _marker_at(session, one)
                calm = town.diary.calm(one.id, began_at, loop.time(), alone=True)
                life = one.life
                if not calm or life is not lives[one.id] or _ends(life):
                    continue
                if seen != f"m{number}":
                    callers.report(f"{one.id} lists {seen}, not m{number}")
            await asyncio.sleep(ODD_INTERVAL_S)
    for life in town.diary.lives:
        if life.code not in (None, -signal.SIGKILL) and life.term is None:
            callers.report(f"{life.instance} ended by itself with {life.code}")


def _ends(life: Life | None) -> bool:
    """Whether a process has ended or was told to."""
    return life is None or life.term is not None or life.ended is not None


def _odd(town: Town, chance: random.Random) -> bytes:
    """Return the value of an odd entry."""
    kind = chance.random()
    if kind < 0.1:
        return b"[" * 5000
    if kind < 0.2:
        return b"\xff" + orjson.dumps(town.entry(0))
    name = chance.choice(list(ODD_FIELDS))
    odd = chance.choice(ODD_FIELDS[name])
    big = odd == 2**70
    entry = town.entry(0) | {name: 0 if big else odd}
    value = orjson.dumps(entry)
    return value.replace(b'"%s":0' % name.encode(), b'"%s":%d' % (name.encode(), 2**70))


async def _marker_at(session: aiohttp.ClientSession, one: SoakInstance) -> str:
    """Return the version of the marker that an instance has listed.

    It is empty if the instance does not answer.
    """
    try:
        async with session.get(f"http://{one.ready}/state") as answer:
            targets = (await answer.json())["targets"]
    except (aiohttp.ClientError, TimeoutError):
        return ""
    return next(
        (
            target["software_version"]
            for id, target in targets.items()
            if id.partition("@")[0] == MARKER
        ),
        "nothing",
    )


def short_routes() -> list[dict]:
    """Return the routes, with streams that are short."""
    return [route | {"timeoutMs": TIMEOUT_MS} for route in ROUTES]
