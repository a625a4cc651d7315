"""A planned stop cuts answers that it had time to refuse. See claim.txt."""

import asyncio
import itertools
import os
import signal
import sys
from pathlib import Path

import aiohttp

from town2.batch import batch_route, stream_route
from town2.town import BOUNDS, HOST, Instance, Town, now

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = BOUNDS["graceS"]
# Sent later than 3 s after the SIGTERM: the rule excuses earlier ones.
SENT_AFTER_S = 3.15
# Events of the sheet's alarm-query: 39 in the mean, 62 at most, pauses of 200 ms.
USUAL_EVENTS = 39
LONG_EVENTS = 62
# The runners of one service run at different speeds.
STEP_S_BY_ZONE = {"santander-hall": 0.033, "oviedo-hall": 0.033, "bilbao-hall": 0.072}
LONG_REQUESTS = 8
# They keep connections and send one more request during the stop.
RESTING_CLIENTS = 8
DEADLINE_S = 5.0


class Answer:
    """What a client saw of one request.

    Attributes:
        id: of the request.
        status: 0 if there was no answer.
        events: how many came.
        sent: when it was sent, on the steady clock.
        ended: when its connection or its answer ended, on the steady clock.
        whole: whether the answer ended as complete.
    """

    def __init__(self, id: str) -> None:
        self.id = id
        self.status = 0
        self.events = 0
        self.sent = now()
        self.ended = 0.0
        self.whole = False


class Client:
    """A client that keeps one connection."""

    def __init__(self, town: Town, one: Instance) -> None:
        self._town = town
        self._one = one
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=15)
        self._session = aiohttp.ClientSession(connector=connector)

    async def ask(self, id: str, tokens_out: int) -> Answer:
        """Send one request and read its answer to the end."""
        answer = Answer(id)
        try:
            async with self._session.post(
                f"http://{self._one.front}/raxa460/{id}",
                data=b"p" * 1500,
                headers={
                    "Host": HOST,
                    "X-Request-Id": id,
                    "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
                    "X-Model": "m",
                    "X-Token-Usage": f"450,{tokens_out}",
                },
                timeout=aiohttp.ClientTimeout(total=DEADLINE_S),
            ) as response:
                answer.status = response.status
                async for line in response.content:
                    answer.events += line.startswith(b"id: ")
                answer.whole = True
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._town.note(f"{id}: {type(error).__name__}")
        answer.ended = now()
        self._town.note(
            f"{id} at {self._one.id}: status {answer.status}, {answer.events} events, "
            f"{'whole' if answer.whole else 'broken off'} after "
            f"{answer.ended - answer.sent:.2f} s"
        )
        return answer

    async def close(self) -> None:
        """Close the connection."""
        await self._session.close()


class Case:
    """The deployment and what its clients saw."""

    def __init__(self) -> None:
        self.town = Town(base=206)

    async def usual_traffic(self, one: Instance, until: float) -> None:
        """Send a short request now and then, each on a new connection."""
        while now() < until:
            client = Client(self.town, one)
            await client.ask(_next(), USUAL_EVENTS * 5)
            await client.close()

    async def play(self) -> int:
        """Play the case; return the exit status."""
        town = self.town
        town.configure(3, [batch_route(), stream_route()])
        for zone, step_s in STEP_S_BY_ZONE.items():
            runner = await town.add_runner(f"i-{zone}", zone, 8, _events)
            runner.step_s = step_s
        a = await town.add_instance("front-santander-hall-1", "santander-hall")
        b = await town.add_instance("front-oviedo-hall-1", "oviedo-hall")
        c = await town.add_instance("front-bilbao-hall-1", "bilbao-hall")
        await town.start_all()
        traffic = [
            asyncio.ensure_future(self.usual_traffic(one, now() + seconds))
            for one, seconds in ((a, 4.0), (b, 12.0), (c, 12.0))
        ]
        clients = [Client(town, a) for _ in range(LONG_REQUESTS)]
        resting = [Client(town, a) for _ in range(RESTING_CLIENTS)]
        await asyncio.sleep(2.0)
        await asyncio.gather(
            *(one.ask(_next(), USUAL_EVENTS * 5) for one in clients + resting)
        )
        await asyncio.sleep(0.5)
        stopped_at = now()
        if TROUBLE:
            town.note(f"SIGTERM to {a.id}")
            a.signal(signal.SIGTERM)
        for one in resting:
            await asyncio.sleep(SENT_AFTER_S / len(resting))
            traffic.append(asyncio.ensure_future(one.ask(_next(), USUAL_EVENTS * 5)))
        answers = await asyncio.gather(
            *(one.ask(f"long{n}", LONG_EVENTS * 5) for n, one in enumerate(clients))
        )
        if TROUBLE:
            assert a.process is not None
            await asyncio.to_thread(a.process.wait)
            town.note(f"{a.id} ended {now() - stopped_at:.2f} s after its SIGTERM")
        await asyncio.gather(*traffic)
        for one in clients + resting:
            await one.close()
        return self.check(answers, stopped_at)

    def check(self, answers: list[Answer], stopped_at: float) -> int:
        """Look for answers that were broken off; return the exit status."""
        started = {run.id for runner in self.town.runners for run in runner.runs}
        lost = 0
        for one in answers:
            in_time = one.ended - one.sent < DEADLINE_S - 0.1
            planned = one.ended - stopped_at < GRACE_S + 1
            if one.id in started and not one.whole and in_time and planned:
                lost += 1
                self.town.note(f"LOST {one.id}: passed on and broken off")
        for runner in self.town.runners:
            for run in runner.runs:
                at = run.arrived - self.town.started_at
                self.town.record.append(f"{at:8.3f} {run.id} runs at {runner.id}")
        self.town.note(f"{len(answers)} long requests, {lost} lost")
        return 1 if lost else 0


_numbers = itertools.count(1)


def _next() -> str:
    """Return the id of the next short request."""
    return f"short{next(_numbers):03d}"


def _events(id: str) -> int:
    """Return how many events a request has."""
    return LONG_EVENTS if id.startswith("long") else USUAL_EVENTS


async def main() -> int:
    """Play the case and write its record."""
    case = Case()
    status = 2
    try:
        async with asyncio.timeout(100):
            status = await case.play()
    except (Exception, asyncio.CancelledError) as error:
        case.town.note(f"could not run: {error!r}")
    finally:
        await case.town.close()
        case.town.note(f"exit {status}")
        record = Path(__file__).with_name("record.txt")
        record.write_text("\n".join(case.town.record) + "\n")
    return status


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
