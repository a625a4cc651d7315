"""The acts of the demo, in order, each narrated as it happens."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import aiohttp

from caperridge.demo import deployment
from caperridge.demo.batch import BatchJob
from caperridge.demo.deployment import BILLING, FRAMES, HEAT, OPERATOR
from caperridge.demo.fleet import Fleet, until
from caperridge.demo.online import OnlineCaller
from caperridge.demo.tally import Tally
from caperridge.measure.samples import quantile
from caperridge.records import Record
from caperridge.standins.plain import PlainFaults
from caperridge.standins.platform import Faults

ANSWER_TOKENS = 16
BATCH_TOKENS = 24
JOB_DEADLINE_S = 30.0
LOST_RUNNER = "runner-oviedo-1"
REPLACED = "instance-bilbao-1"
SUCCESSOR = "instance-bilbao-2"

Tell = Callable[[str], None]


class Pace(Record):
    """How much happens in the demo, and how fast.

    Attributes:
        logs: items of the heat network's job.
        stories: items of the photo albums' job.
        unwanted: items of the job that is cancelled.
        burst: captions asked for at once.
        outage_s: how long the platform is away.
        pause_s: between two acts.
    """

    __slots__ = ("burst", "logs", "outage_s", "pause_s", "stories", "unwanted")

    def __init__(
        self,
        logs: int = 800,
        stories: int = 800,
        unwanted: int = 400,
        burst: int = 48,
        outage_s: float = 3.0,
        pause_s: float = 1.5,
    ) -> None:
        self.logs = logs
        self.stories = stories
        self.unwanted = unwanted
        self.burst = burst
        self.outage_s = outage_s
        self.pause_s = pause_s


class Story:
    """One run of the demo.

    Args:
        tell: called with each line of the narration.
        pace: how much happens and how fast.
    """

    def __init__(self, tell: Tell, pace: Pace | None = None) -> None:
        self.tally = Tally()
        self._pace = pace or Pace()
        self._tell = tell
        self._started = time.monotonic()
        self._fleet = Fleet()
        self._http: aiohttp.ClientSession
        self._heat: OnlineCaller
        self._frames: OnlineCaller
        self._logs: BatchJob
        self._stories: BatchJob
        self._unwanted: BatchJob

    async def run(self) -> Tally:
        """Play every act and return what was counted."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as self._http:
            try:
                await self._play()
            finally:
                await self._fleet.stop()
        return self.tally

    async def _play(self) -> None:
        await self._open()
        await self._confirm("1")
        self._meet_callers()
        await self._accept_jobs()
        steady = [
            asyncio.get_running_loop().create_task(self._heat.ask_steadily(6.0)),
            asyncio.get_running_loop().create_task(self._frames.ask_steadily(9.0)),
        ]
        acts: list[Callable[[], Awaitable[None]]] = [
            self._burst,
            self._cancel,
            self._kill_runner,
            partial(self._confirm, "2"),
            self._replace_instance,
            self._platform_outage,
            self._bill,
        ]
        for act in acts:
            await asyncio.sleep(self._pace.pause_s)
            await act()
        await self._finish(steady)

    def _say(self, text: str) -> None:
        self._tell(f"{time.monotonic() - self._started:5.1f} s  {text}")

    async def _open(self) -> None:
        await self._fleet.start()
        engines = len(self._fleet.engines_by_id)
        instances = len(self._fleet.instances_by_id)
        self._say(
            f"Good evening. {engines} runners and {instances} instances are up in "
            f"{', '.join(zone.title() for zone in deployment.ZONES)}; no disk, no "
            "leader, one process for all of them."
        )

    async def _confirm(self, version: str) -> None:
        files = {"files": {"demo.toml": deployment.declaration(version)}}
        plan = (await self._operate("/intents", files))["plan"]
        started = time.monotonic()
        body = files | {"digest": plan["digest"]}
        answer = await self._operate("/intents/confirm", body)
        number = answer["version"]
        await until(lambda: self._fleet.versions() == {number})
        took_ms = (time.monotonic() - started) * 1000
        self._say(
            f"Ana reads a plan of {len(plan['changes'])} changes and confirms it: "
            f"version {number} is in force in every instance after {took_ms:.0f} ms."
        )

    async def _operate(self, path: str, body: Any) -> Any:
        headers = {"Authorization": f"Bearer {OPERATOR}"}
        url = self._fleet.operators_url() + path
        async with self._http.post(url, json=body, headers=headers) as response:
            response.raise_for_status()
            return await response.json()

    def _meet_callers(self) -> None:
        url = self._fleet.callers_url
        self._heat = OnlineCaller(
            self._http, HEAT, url, deployment.alarm, ANSWER_TOKENS, self.tally
        )
        self._frames = OnlineCaller(
            self._http, FRAMES, url, deployment.caption, ANSWER_TOKENS, self.tally
        )
        logs = [deployment.maintenance_log(n) for n in range(self._pace.logs)]
        stories = [deployment.album_story(n) for n in range(self._pace.stories)]
        unwanted = [
            f"{deployment.album_story(n)} Twice." for n in range(self._pace.unwanted)
        ]
        self._logs = self._job(HEAT, "maintenance-logs", logs)
        self._stories = self._job(FRAMES, "weekly-stories", stories)
        self._unwanted = self._job(FRAMES, "stories-by-mistake", unwanted)

    def _job(self, token: str, name: str, prompts: list[str]) -> BatchJob:
        url = self._fleet.callers_url
        return BatchJob(self._http, token, url, name, prompts, BATCH_TOKENS)

    async def _accept_jobs(self) -> None:
        for job in (self._unwanted, self._logs, self._stories):
            await job.submit()
        await self._logs.resend()
        pace = self._pace
        self._say(
            f"Night work arrives: {pace.logs} maintenance logs and {pace.stories} "
            f"album stories, and {pace.unwanted} more that somebody will regret."
        )
        same = self._logs.resent_ids == {self._logs.id}
        self._say(
            "The heat network's scheduler is nervous and sends its job twice; "
            + ("it is the same job, not a second one." if same else "it doubled!")
        )

    async def _burst(self) -> None:
        before = len(self.tally.first_tokens_s)
        preempted = self._fleet.preempted()
        self._frames.burst(self._pace.burst)
        await until(lambda: len(self.tally.first_tokens_s) >= before + self._pace.burst)
        answered = self.tally.first_tokens_s[before:]
        worst_ms = quantile(answered, 0.99) * 1000
        self._say(
            f"A wedding! {self._pace.burst} photos land at once and batch steps "
            f"aside ({self._fleet.preempted() - preempted:.0f} of its streams wait): "
            f"99 in 100 captions begin within {worst_ms:.0f} ms."
        )

    async def _cancel(self) -> None:
        await self._unwanted.cancel()
        await asyncio.sleep(1.0)
        before = self._begun(self._unwanted)
        await asyncio.sleep(0.5)
        counts = (await self._unwanted.status())["request_counts"]
        stopped = self._begun(self._unwanted) == before
        self._say(
            f"The mistaken job is cancelled with {before} of {self._pace.unwanted} "
            f"stories begun and {counts['completed']} done; "
            + ("no runner starts another." if stopped else "it is still running!")
        )

    def _begun(self, job: BatchJob) -> int:
        started = 0
        for engine in self._fleet.engines_by_id.values():
            for request, runs in engine.runs_by_request.items():
                if request.startswith(job.id):
                    started += runs
        return started

    async def _kill_runner(self) -> None:
        await self._fleet.kill_engine(LOST_RUNNER)
        before = len(self.tally.first_tokens_s)
        await until(lambda: len(self.tally.first_tokens_s) >= before + 15)
        self._fleet.unlist_engine(LOST_RUNNER)
        self._say(
            f"{LOST_RUNNER} dies in mid-sentence. Its streams go on elsewhere from "
            "the token they had reached."
        )

    async def _replace_instance(self) -> None:
        cut = await self._fleet.replace_instance(REPLACED, SUCCESSOR)
        self._say(
            f"{REPLACED} is replaced by {SUCCESSOR}: it finished what it had begun "
            f"and left; {cut or 'nobody'} was cut off."
        )

    async def _platform_outage(self) -> None:
        before = len(self.tally.first_tokens_s)
        self._fleet.memory.faults = Faults(outage=True)
        await asyncio.sleep(self._pace.outage_s)
        answered = len(self.tally.first_tokens_s) - before
        self._fleet.memory.faults = Faults()
        self._say(
            f"The platform is away for {self._pace.outage_s:g} s: {answered} online "
            "answers begin all the same, and batch waits to commit."
        )

    async def _bill(self) -> None:
        """Make one billing check whose answer is lost after it ran."""
        self._fleet.billing.faults = PlainFaults(lose_after=True)
        url = f"{self._fleet.callers_url()}/services/{BILLING}/check?house=9"
        headers = {"Authorization": f"Bearer {HEAT}"}
        async with self._http.post(url, json={"kwh": 310}, headers=headers) as response:
            refusal = (await response.json())["error"]
        self._fleet.billing.faults = PlainFaults()
        runs = sum(self._fleet.billing.runs_by_request.values())
        self.tally.doubled += max(0, runs - 1)
        self._say(
            f"A billing check loses its answer on the way back. It ran {runs} time, "
            f"the clerk reads {refusal['run']!r}, and no house is billed twice."
        )

    async def _finish(self, steady: list[asyncio.Task[None]]) -> None:
        jobs = (self._logs, self._stories)
        waits = [job.wait(JOB_DEADLINE_S) for job in jobs]
        ended = await asyncio.gather(*waits)
        for task in steady:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self._heat.finish()
        await self._frames.finish()
        for job in jobs:
            await job.check(self.tally)
        if all(ended):
            last = max(job.ended_at for job in jobs)
            self.tally.batch_s = last - min(job.accepted_at for job in jobs)
        tally = self.tally
        self._say(
            f"Morning. {tally.completed} results are right, {tally.failed_items} "
            "could never be done and say so; "
            f"{tally.lost} lost, {tally.doubled} doubled, "
            f"{tally.online_wrong} of {tally.online_requests} online answers wrong."
        )
