"""A planned stop and a long answer: is every request answered that was taken?"""

import asyncio
import os
import random
import secrets
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lab.kept import Answer, KeptConnection
from lab.town import CaseError, Instance, Record, Town, route

EVENT_S = 0.03
LENGTHS = {"short": (18, 28), "long": (146, 152)}  # 0.55 to 0.85 s, and 4.4 to 4.6 s
LONG_SHARE = 0.005
ASKS_PER_S = 5.0  # at each instance
DEADLINE_MS = 5000
USUAL_S = 20.0
GRACE_S = 8.0
EXCUSED_S = 3.0  # requests sent by then are excused if they run for long
AFTER_S = (3.1, 3.2, 3.3)
POOL = 30  # connections that the clients of one instance keep


class Sent:
    """A request that a client sent, with its answer."""

    def __init__(self, id: str, instance: str, path: str, answer: Answer) -> None:
        self.id = id
        self.instance = instance
        self.path = path
        self.answer = answer


async def main() -> int:
    """Play the case; return its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).with_name("record.txt"))
    town = Town(6, 6, 8, EVENT_S, LENGTHS, [route("short"), route("long")])
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
    """Serve the usual traffic, stop one instance, and use kept connections to it."""
    sent: list[Sent] = []
    stopped = town.instances[0]
    kept = [await KeptConnection.open(stopped) for _ in AFTER_S]
    for connection in kept:  # each has served a request before it rests
        await ask(record, sent, connection, stopped, "/short/")
    usual = [asyncio.create_task(usual_traffic(sent, one)) for one in town.instances]
    await asyncio.sleep(USUAL_S)
    began = time.monotonic()
    if trouble:
        stopped.send(signal.SIGTERM)
        record.write(f"SIGTERM to {stopped.id}")
    late = [
        asyncio.create_task(ask_at(record, sent, one, stopped, began + after))
        for one, after in zip(kept, AFTER_S, strict=True)
    ]
    await asyncio.gather(*late)
    await asyncio.sleep(max(0.0, began + GRACE_S + 1 - time.monotonic()))
    code = stopped.process.poll() if stopped.process is not None else None
    record.write(f"{stopped.id} has ended with {code}")
    for task in usual:
        task.cancel()
    await asyncio.gather(*usual, return_exceptions=True)
    return judge(town, record, sent, stopped, began)


async def usual_traffic(sent: list[Sent], instance: Instance) -> None:
    """Send requests at random moments, each on a connection that rests.

    A connection is used until an answer says that it closes; the client goes to
    another instance then.
    """
    chance = random.Random(instance.id)
    resting = [await KeptConnection.open(instance) for _ in range(POOL)]
    asked: set[asyncio.Task[None]] = set()
    try:
        while resting:
            await asyncio.sleep(chance.expovariate(ASKS_PER_S))
            path = "/long/" if chance.random() < LONG_SHARE else "/short/"
            connection = resting.pop(0) if resting else None
            if connection is None:
                continue
            task = asyncio.create_task(
                ask_resting(sent, instance, path, connection, resting)
            )
            asked.add(task)
            task.add_done_callback(asked.discard)
    finally:
        await asyncio.gather(*asked, return_exceptions=True)


async def ask_resting(
    sent: list[Sent],
    instance: Instance,
    path: str,
    connection: KeptConnection,
    resting: list[KeptConnection],
) -> None:
    """Send one request and keep the connection if it stays open."""
    id = secrets.token_hex(8)
    answer = await connection.ask(id, path, DEADLINE_MS)
    sent.append(Sent(id, instance.id, path, answer))
    if answer.whole and not answer.closing:
        resting.append(connection)
    else:
        connection.close()


async def ask(
    record: Record,
    sent: list[Sent],
    connection: KeptConnection,
    instance: Instance,
    path: str,
) -> None:
    """Send one request on a kept connection and write down its answer."""
    id = secrets.token_hex(8)
    record.write(f"request {id} to {path} sent to {instance.id} on a kept connection")
    answer = await connection.ask(id, path, DEADLINE_MS)
    sent.append(Sent(id, instance.id, path, answer))
    record.write(
        f"request {id}: {answer.status}, {answer.events} events,"
        f" {'whole' if answer.whole else 'not whole'}"
    )


async def ask_at(
    record: Record,
    sent: list[Sent],
    connection: KeptConnection,
    instance: Instance,
    at: float,
) -> None:
    """Send a long request on a connection that has rested until then."""
    await asyncio.sleep(max(0.0, at - time.monotonic()))
    await ask(record, sent, connection, instance, "/long/")


def judge(
    town: Town, record: Record, sent: list[Sent], stopped: Instance, began: float
) -> int:
    """Check LOST for the requests that the stopped instance took."""
    run_by_id = {run.id: run for runner in town.runners for run in runner.runs}
    lost = 0
    for one in sent:
        answer = one.answer
        if answer.whole and answer.status in (200, 503):
            continue
        run = run_by_id.get(one.id)
        after = answer.sent - began
        ran = f"ran {run.sent} events at {run.runner}" if run else "never ran"
        record.write(
            f"not answered whole: {one.id} to {one.path} at {one.instance}, sent"
            f" {after:.2f} s after the SIGTERM, ended {answer.ended - began:.2f} s"
            f" after it with {answer.events} events; it {ran}",
            answer.sent,
        )
        in_time = answer.ended - answer.sent < DEADLINE_MS / 1000 - 0.2
        late = EXCUSED_S < after < GRACE_S + 1
        if one.instance == stopped.id and run and late and in_time:
            lost += 1
    shorts = [one for one in sent if one.path == "/short/"]
    longs = [one for one in sent if one.path == "/long/"]
    whole = sum(one.answer.whole and one.answer.status == 200 for one in sent)
    record.write(
        f"{len(shorts)} short and {len(longs)} long requests sent, {whole} answered"
        " whole with 200"
    )
    if lost:
        record.write(f"LOST is broken for {lost} requests")
        return 1
    record.write("LOST holds")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
