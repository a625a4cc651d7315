"""A machine freezes as the answer to its claim of a batch job is on its way.

Meanwhile the client ends the batch job at another node. See claim.txt.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

from town2.batch import batch_job, batch_route
from town2.store import Door, Key
from town2.town import BOUNDS, Instance, Town, now

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FROZEN_S = 1.5
CONTACT_S = BOUNDS["contactMs"] / 1000
CANCEL_S = BOUNDS["cancelMs"] / 1000
EVENTS = 200
SLOTS = 8
EARLIER_JOBS = 6
ITEMS = 10
ENDED = "x0e1"


class Case:
    """The deployment and what its clients and runners saw."""

    def __init__(self) -> None:
        self.town = Town(base=205)
        self.frozen = asyncio.Event()
        self.woke_at = 0.0

    async def submit(self, id: str, items: int, one: Instance) -> None:
        """Send a batch job until it is accepted."""
        for _ in range(5):
            status, _ = await self.town.call(
                one,
                "POST",
                f"/pule252/{id}",
                {"X-Request-Id": id},
                batch_job(id, items),
            )
            self.town.note(f"POST {id} at {one.id}: {status}")
            if status == 202:
                return
            await asyncio.sleep(0.3)
        raise RuntimeError(f"{id} was not accepted")

    async def thaw(self, one: Instance) -> None:
        """Wake a machine that was just frozen, after a while."""
        self.town.note(f"{one.id} freezes, the answer to its claim is on its way")
        self.frozen.set()
        await asyncio.sleep(FROZEN_S)
        one.signal(signal.SIGCONT)
        self.woke_at = now()
        self.town.note(f"{one.id} wakes")

    async def play(self) -> int:
        """Play the case; return the exit status."""
        town = self.town
        town.configure(3, [batch_route()])
        for zone in ("santander-hall", "oviedo-hall", "bilbao-hall"):
            await town.add_runner(f"i-{zone}", zone, SLOTS, lambda id: EVENTS)
        h = await town.add_instance("front-santander-hall-1", "santander-hall")
        c = await town.add_instance("front-oviedo-hall-1", "oviedo-hall")
        r = await town.add_instance("front-bilbao-hall-1", "bilbao-hall")
        await town.start_all()
        await asyncio.gather(
            *(
                self.submit(f"e{number:03d}", ITEMS, (c, r)[number % 2])
                for number in range(EARLIER_JOBS)
            )
        )
        freezing: list[asyncio.Task[None]] = []

        def on_done(door: Door, keys: list[Key]) -> None:
            claimed = ("jobs", ENDED, "head") in keys
            if TROUBLE and claimed and door is h.door and not freezing:
                h.signal(signal.SIGSTOP)
                freezing.append(asyncio.ensure_future(self.thaw(h)))

        town.store.on_done = on_done
        await self.submit(ENDED, ITEMS, h)
        if TROUBLE:
            async with asyncio.timeout(3.0):
                await self.frozen.wait()
        await asyncio.sleep(0.3)
        ended_at = 0.0
        for one in (c, r, c, r):
            status, _ = await town.call(one, "DELETE", f"/lots/{ENDED}")
            town.note(f"DELETE {ENDED} at {one.id}: {status}")
            if status == 200:
                ended_at = now()
                break
        if not ended_at:
            raise RuntimeError("the end was not acknowledged")
        for one in freezing:
            await one
        await asyncio.sleep(max(0.0, ended_at + 25.0 - now()))
        return self.check(ended_at)

    def check(self, ended_at: float) -> int:
        """Look for runs of the ended batch job; return the exit status."""
        late = 0
        from_s = max(ended_at + CANCEL_S, self.woke_at + CONTACT_S)
        runs = [run for runner in self.town.runners for run in runner.runs]
        for run in sorted(runs, key=lambda run: run.arrived):
            at = run.arrived - self.town.started_at
            text = f"{at:8.3f} item {run.id} reaches {run.runner} and runs"
            if run.id.startswith(ENDED) and run.arrived > from_s:
                late += 1
                text += f": UNASKED, {run.arrived - ended_at:.2f} s after the end"
            self.town.record.append(text)
        self.town.note(f"{len(runs)} runs, {late} of the ended batch job")
        return 1 if late else 0


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
