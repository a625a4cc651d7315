"""Silent runners beside a planned stop: does every stream come to its end?"""

import asyncio
import os
import random
import secrets
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from kept import Answer, KeptConnection
from runner import Run
from town import CaseError, Instance, Record, Town, route, run_case

EVENT_S = 0.05
LENGTHS = {"check": (16, 24)}  # 0.8 to 1.2 s
# The usual steps of the traffic: 3.8 s of little and 2.8 s of much.
LOW_S, LOW_PER_S = 3.8, 10.5
HIGH_S, HIGH_PER_S = 2.8, 51.0
TRAFFIC_S = 15.0
STOPS_AT_S = (4.6, 5.6, 11.6)  # three of six machines, one after the other
SILENT = 3  # of six runners
SILENT_AT_S, SILENT_S = (5.8, 12.2), 1.1
NEW_CALLERS_S = 2.0  # the platform opens no new connection after two questions
DEADLINE_MS = 5000
GRACE_S = 8.0


class Sent:
    """A request with its answer."""

    def __init__(self, id: str, instance: str, answer: Answer) -> None:
        self.id = id
        self.instance = instance
        self.answer = answer


async def main() -> int:
    """Play the case; return its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).with_name("record.txt"))
    routes = [route("check", resumable=True, maxAttempts=2)]
    town = Town(6, 6, 8, EVENT_S, LENGTHS, routes)
    try:
        await town.start()
        return await play(town, record, trouble)
    except (CaseError, OSError) as error:
        record.write(f"the case could not run: {error}")
        return 2
    finally:
        await town.stop()
        record.close()


async def play(town: Town, record: Record, trouble: bool) -> int:
    """Serve the usual traffic, stop instances in turn, and have runners pause."""
    sent: list[Sent] = []
    began = time.monotonic()
    asking = asyncio.create_task(usual_traffic(town, sent, began, trouble))
    stopped: dict[str, float] = {}
    pauses = asyncio.create_task(pause_runners(town, record, began))
    for one, at in zip(town.instances, STOPS_AT_S, strict=False):
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        if trouble:
            one.send(signal.SIGTERM)
            stopped[one.id] = time.monotonic()
            record.write(f"SIGTERM to {one.id}")
    await pauses
    await asking
    ends_at = began + STOPS_AT_S[-1] + GRACE_S + 1
    await asyncio.sleep(max(0.0, ends_at - time.monotonic()))
    return judge(town, record, sent, stopped, began)


async def pause_runners(town: Town, record: Record, began: float) -> None:
    """Have half of the runners send nothing for a while and go on."""
    for at in SILENT_AT_S:
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        for runner in town.runners[:SILENT]:
            runner.going.clear()
        record.write(f"{SILENT} runners fall silent")
        await asyncio.sleep(SILENT_S)
        for runner in town.runners[:SILENT]:
            runner.going.set()
        record.write("they go on")


async def usual_traffic(
    town: Town, sent: list[Sent], began: float, trouble: bool
) -> None:
    """Send requests in two steps, each on a new connection."""
    chance = random.Random(11)
    asked: list[asyncio.Task[None]] = []
    while time.monotonic() - began < TRAFFIC_S:
        since = time.monotonic() - began
        per_s = LOW_PER_S if since % (LOW_S + HIGH_S) < LOW_S else HIGH_PER_S
        await asyncio.sleep(chance.expovariate(per_s))
        out = sum(since > at + NEW_CALLERS_S for at in STOPS_AT_S) if trouble else 0
        ready = town.instances[out:]
        asked.append(asyncio.create_task(ask(sent, chance.choice(ready))))
    await asyncio.gather(*asked)


async def ask(sent: list[Sent], instance: Instance) -> None:
    """Send one request."""
    connection = await KeptConnection.open(instance)
    id = secrets.token_hex(8)
    answer = await connection.ask(id, "/check/", DEADLINE_MS)
    sent.append(Sent(id, instance.id, answer))
    connection.close()


def judge(
    town: Town,
    record: Record,
    sent: list[Sent],
    stopped: dict[str, float],
    began: float,
) -> int:
    """Check LOST for the requests that the stopped instances took.

    Args:
        town: with the runs.
        record: written to.
        sent: all requests.
        stopped: when each stopped instance got its SIGTERM.
        began: when the traffic began.
    """
    runs_by_id: dict[str, list[Run]] = {}
    for runner in town.runners:
        for run in runner.runs:
            runs_by_id.setdefault(run.id, []).append(run)
    lost = elsewhere = 0
    counts: dict[str, int] = {}
    for one in sent:
        answer = one.answer
        name = str(answer.status) + ("" if answer.whole else " not whole")
        counts[name] = counts.get(name, 0) + 1
        runs = runs_by_id.get(one.id, [])
        if answer.whole or not runs:
            continue
        ran = "; ".join(
            f"{run.after + 1} to {run.sent} at {run.runner}" for run in runs
        )
        record.write(
            f"cut at {one.instance}: {one.id}, sent at {answer.sent - began:.2f} s,"
            f" ended at {answer.ended - began:.2f} s of the traffic, {answer.events}"
            f" events came; runs: {ran}",
            answer.sent,
        )
        if answer.ended - answer.sent > DEADLINE_MS / 1000 - 0.2:
            continue
        stop = stopped.get(one.instance, float("inf"))
        if stop < answer.ended < stop + GRACE_S + 1:
            lost += 1
        else:
            elsewhere += 1
    record.write(f"answers by status: {counts}; {elsewhere} streams cut elsewhere")
    if lost:
        record.write(f"LOST is broken for {lost} streams beside a planned stop")
        return 1
    record.write("LOST holds")
    return 0


if __name__ == "__main__":
    sys.exit(run_case(main))
