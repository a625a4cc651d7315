"""A machine that is turned away by the store is killed while a peer stands still.

The peer answers a call of the first process to the second one. See claim.txt.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Any

from town2.batch import batch_job, batch_route
from town2.town import Instance, Town, now

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EARLIER_JOBS = 30
TURNED_AWAY_S = 9.0
FROZEN_S = 4.0
# Clients read each batch job about twice a second.
READ_INTERVAL_S = 1 / (2 * EARLIER_JOBS)
JOBS = 24
BURST_BEFORE_S = 0.03
BURST_INTERVAL_S = 0.0005
SETTLE_S = 1.0
CONTACT_S = 3.0


class Case:
    """The deployment and what its clients saw."""

    def __init__(self) -> None:
        self.town = Town(base=204)
        self.accepted: dict[str, str] = {}
        self.accepted_at: dict[str, float] = {}

    async def submit(self, id: str, first: Instance, others: list[Instance]) -> None:
        """Send a batch job until it is accepted, again to another node each time."""
        for one in [first, *others, *others]:
            status, _ = await self.town.call(
                one,
                "POST",
                f"/pule252/{id}",
                {"X-Request-Id": id},
                batch_job(id, 2),
                timeout_s=4.0,
            )
            self.town.note(f"POST {id} at {one.id}: {status}")
            if status == 202:
                self.accepted[id] = one.id
                self.accepted_at[id] = now()
                return
            await asyncio.sleep(0.3)

    async def send_late_jobs(self, first: Instance, others: list[Instance]) -> None:
        """Send many batch jobs to one node within a moment."""
        sending: list[asyncio.Task[None]] = []
        for number in range(JOBS):
            sending.append(
                asyncio.ensure_future(self.submit(f"j{number:03d}", first, others))
            )
            await asyncio.sleep(BURST_INTERVAL_S)
        await asyncio.gather(*sending)

    async def read_on(self, one: Instance, ids: list[str], until: float) -> int:
        """Read batch jobs at one node, as their clients do; return how often."""
        tasks: list[asyncio.Task[Any]] = []
        while now() < until:
            id = ids[len(tasks) % len(ids)]
            call = self.town.call(one, "GET", f"/lots/{id}?sinceRev=0", timeout_s=2.5)
            tasks.append(asyncio.ensure_future(call))
            await asyncio.sleep(READ_INTERVAL_S)
        await asyncio.gather(*tasks)
        return len(tasks)

    async def play(self) -> int:
        """Play the case; return the exit status."""
        town = self.town
        town.configure(3, [batch_route()])
        for zone in ("santander-hall", "oviedo-hall", "bilbao-hall"):
            await town.add_runner(f"i-{zone}", zone, 8, lambda id: 200)
        a = await town.add_instance("front-santander-hall-1", "santander-hall")
        p = await town.add_instance("front-santander-hall-2", "santander-hall")
        q = await town.add_instance("front-oviedo-hall-1", "oviedo-hall")
        r = await town.add_instance("front-bilbao-hall-1", "bilbao-hall")
        await town.start_all()
        early = [f"e{number:03d}" for number in range(EARLIER_JOBS)]
        await asyncio.gather(*(self.submit(id, q, [r]) for id in early))
        await asyncio.sleep(1.0)

        began = now()
        if TROUBLE:
            town.note(f"the store turns {a.id} away")
            a.door.busy = True
        await self.read_on(a, early, began + 0.3)
        if TROUBLE:
            town.note(f"{p.id} freezes")
            p.signal(signal.SIGSTOP)
        frozen_at = now()
        reading = asyncio.ensure_future(self.read_on(a, early, frozen_at + 1.2))
        await asyncio.sleep(1.2)
        if TROUBLE:
            await town.kill_and_restart(a)
            await town.wait_ready(a, 6.0)
            town.note(f"{a.id} is ready again after {now() - frozen_at - 1.2:.2f} s")
        town.note(f"{await reading} reads at {a.id} before")
        await asyncio.sleep(max(0.0, frozen_at + FROZEN_S - BURST_BEFORE_S - now()))
        sending = asyncio.ensure_future(self.send_late_jobs(a, [q, r]))
        await asyncio.sleep(max(0.0, frozen_at + FROZEN_S - now()))
        if TROUBLE:
            p.signal(signal.SIGCONT)
            town.note(f"{p.id} wakes")
        await sending
        await asyncio.sleep(max(0.0, began + TURNED_AWAY_S - now()))
        a.door.busy = False
        town.note(f"the store serves {a.id} again")
        await asyncio.sleep(CONTACT_S + SETTLE_S + 1.0)
        return await self.check([a, p, q, r])

    async def check(self, nodes: list[Instance]) -> int:
        """Read each accepted batch job at each node; return the exit status."""
        lost = 0
        for id in sorted(self.accepted):
            seen = []
            for one in nodes:
                status, _ = await self.town.call(one, "GET", f"/lots/{id}?sinceRev=0")
                seen.append(status)
            if 404 in seen or 410 in seen:
                lost += 1
                names = ", ".join(one.id for one in nodes)
                self.town.note(f"LOST {id}, accepted by {self.accepted[id]}: {seen}")
                self.town.note(f"  read at {names}")
        for runner in self.town.runners:
            for run in runner.runs:
                at = run.arrived - self.town.started_at
                self.town.record.append(f"{at:8.3f} item {run.id} runs at {runner.id}")
        self.town.note(f"accepted {len(self.accepted)}, lost {lost}")
        return 1 if lost else 0


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
