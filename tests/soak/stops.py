"""Planned work in series, and the promise that it takes no request from anybody."""

import asyncio
import random
import signal

from soak.callers import NOT_RUN, Tally
from soak.diary import Diary, Life
from soak.kept import DEADLINE_MS, KeptRequest
from soak.town import Town

# A request that meets the end of its connection on the way; the time in which an end
# that was on its way must have reached the caller (seconds, the users' pages).
CROSSING_S = 0.2
# From the end of the grace period to the end of a process, as the users' pages have it.
SPARE_S = 1.0
# Targets are in the soak's own process. When it is late by so much they have fallen
# silent: instances allow 0.7 s between two events, which come every 0.15 s.
STANDSTILL_S = 0.4
# Until a program's first line; 0.02 s measured beside a load of 35, the rest is spare.
INTERPRETER_S = 0.15


async def series(town: Town, chance: random.Random, seconds: float) -> None:
    """Stop many instances in turn, with reloads and changes between."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        count = chance.randint(2, len(town.instances))
        gap_s = min(chance.choice([0.1, 0.5, 1.2]), seconds / 2 / count)
        for one in chance.sample(town.instances, count):
            one.send(signal.SIGTERM)
            await asyncio.sleep(chance.uniform(0.5, 1.5) * gap_s)
            _between(town, chance)
        await asyncio.sleep(chance.uniform(0.0, 2.0))


def _between(town: Town, chance: random.Random) -> None:
    """Reload, change the configuration, or tell somebody who stops to stop again."""
    kind = chance.random()
    one = chance.choice(town.instances)
    if kind < 0.3:
        one.send(signal.SIGHUP)
    elif kind < 0.5:
        town.change_configuration()
    elif kind < 0.8 and one.life is not None and one.life.term is not None:
        one.send(signal.SIGTERM)


def check_stops(
    diary: Diary,
    grace_s: float,
    requests: list[KeptRequest],
    ran: set[str],
    tally: Tally,
) -> None:
    """Check that planned stops were in time and took no request from anybody.

    Nor may a process end that was neither stopped nor killed.

    Checked is every request on a kept connection that met a planned stop of the process
    at the other end, at which nothing else was wrong from 3 s before on.
    """
    for life in diary.lives:
        if life.ended is None:
            continue
        if life.term is None:
            tally.broken += _ended_by_itself(life, diary)
            continue
        if diary.calm(life.instance, life.term, life.ended):
            tally.stops += 1
            took_s = life.ended - life.term
            if took_s - diary.late_s(life.term, life.ended) > grace_s + SPARE_S:
                tally.broken.append(f"{life.instance} took {took_s:.2f} s to stop")
    for request in requests:
        term = request.life.term
        if term is None or request.ended < term:
            continue
        since = min(term, request.begun)
        if not diary.calm(request.life.instance, since, request.ended):
            continue
        tally.met_stops += 1
        what = _lost(request, diary, ran)
        if what:
            tally.broken.append(_told(request, request.life, what))


def _ended_by_itself(life: Life, diary: Diary) -> list[str]:
    """Return what is wrong about a process that ended and had no SIGTERM.

    Besides a kill, a reload is allowed to end it before its program's first line: until
    then it is the interpreter's, and nothing of ours can say what the signal means.
    """
    assert life.ended is not None
    lived_s = life.ended - life.began
    ours = lived_s - diary.late_s(life.began, life.ended) > INTERPRETER_S
    if life.code == -signal.SIGKILL or (life.code == -signal.SIGHUP and not ours):
        return []
    return [f"{life.instance} ended by itself after {lived_s:.2f} s: {life.code}"]


def _lost(request: KeptRequest, diary: Diary, ran: set[str]) -> str:
    """Return what became of a request that should have been answered; empty if it was.

    Allowed besides success and a refusal:

    - A request may cross the end of its connection, for nobody can prevent that: the
      end comes at once, no answer has begun and no target ran it.
    - A deadline may pass, which is then told.
    - The soak itself may be late, which is no doing of the instance. So much later it
      sees the end of a connection; and if it stood still, so did the targets in it, and
      what they had taken may fail as at any silent target. If that was after SIGTERM,
      the stop may have stood still with it (as all processes did in a trace), and what
      was taken then may not have had its time before the end of the grace period.
    """
    assert request.life.term is not None
    since = min(request.begun, request.life.term)
    stood_still = diary.late_s(since, request.ended) > STANDSTILL_S
    open_s = request.ended - request.sent - diary.late_s(request.sent, request.ended)
    if request.whole:
        waited_s = open_s + request.sent - request.begun
        timed_out = (
            request.status == 504 and waited_s >= DEADLINE_MS / 1000 - CROSSING_S
        )
        if request.status == 200 or request.status in NOT_RUN or timed_out:
            return ""
    if (request.status is not None or request.id in ran) and stood_still:
        return ""
    if request.whole:
        return f"was answered {request.status}"
    if request.status is not None:
        return f"had its answer cut off after {open_s:.2f} s"
    if request.id in ran:
        return f"ran at a target and had no answer after {open_s:.2f} s"
    if open_s > CROSSING_S:
        return f"had no answer on a connection that was open for {open_s:.2f} s"
    return ""


def _told(request: KeptRequest, life: Life, what: str) -> str:
    assert life.term is not None
    when = request.sent - life.term
    ended = "later" if life.ended is None else f"at {life.ended - life.term:.2f} s"
    return (
        f"request {request.id}, sent {when:.2f} s after SIGTERM to {life.instance} "
        f"(which ended {ended}), {what}"
    )
