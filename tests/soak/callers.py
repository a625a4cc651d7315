"""Callers that use the system and check what was promised to them."""

import asyncio
import random

import aiohttp
import orjson
import yarl

from gateway.conftest import HOST, Answer, job_body
from soak.diary import now
from soak.town import SoakInstance, Town

NOT_RUN = (408, 421, 429, 503)
ASK_S = 6.0
TAKE_UPS = 3
# Share of the requests that go to an instance where most do.
CROWD_RATIO = 0.8
EVENT_END = b"\n\n"
FIRST_PART = "a0"
MIDDLE_PARTS = 3


class Tally:
    """What callers saw.

    Attributes:
        broken: promises that were broken, in words.
        sent: ids of online requests and items.
        refused: ids whose answer promised that they never run.
        accepted: items of accepted jobs, by job.
        open: jobs that were not cancelled.
        stops: planned stops at which nothing else was wrong.
        met_stops: requests on kept connections that met such a stop.
        targets_ended: by a request that ends each that runs it.
        late_s: by which the soak itself was late at most.
        taken_up: streams that callers took up at an instance that answered.
        went_on: those of them that went on.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.sent: set[str] = set()
        self.refused: set[str] = set()
        self.accepted: dict[str, list[str]] = {}
        self.open: set[str] = set()
        self.results: dict[str, list[dict]] = {}
        self.answered = 0
        self.asked = 0
        self.stops = 0
        self.met_stops = 0
        self.targets_ended = 0
        self.late_s = 0.0
        self.taken_up = 0
        self.went_on = 0


class Callers:
    """Sends online requests and jobs, and reads results, until told to stop.

    Attributes:
        crowded: the instance that most requests go to; None for any.
        back_at: the instance at which streams are taken up; None for any.
        items_by_job: of all jobs that were sent.
        ended_at_by_job: when the end of a job was acknowledged.
    """

    def __init__(
        self,
        town: Town,
        tally: Tally,
        chance: random.Random,
        take_up_chance: random.Random,
        drop_ratio: float = 0.0,
    ) -> None:
        self._town = town
        self._tally = tally
        self._chance = chance
        self._take_up_chance = take_up_chance
        self._drop_ratio = drop_ratio
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=ASK_S),
        )
        self._number = 0
        self.crowded: SoakInstance | None = None
        self.back_at: SoakInstance | None = None
        self.items_by_job: dict[str, list[str]] = {}
        self.ended_at_by_job: dict[str, float] = {}

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def use(self, seconds: float) -> None:
        """Use the system for a while."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        tasks: set[asyncio.Task[None]] = set()
        while loop.time() < end:
            self._number += 1
            kind = self._chance.random()
            if kind < 0.85:
                work = self._ask(f"r{self._number}", kind < 0.45)
            else:
                work = self._job(f"j{self._number}")
            tasks.add(asyncio.ensure_future(work))
            pause_s = self._chance.uniform(0.0, 0.1)
            await asyncio.sleep(pause_s / 2 if self.crowded is not None else pause_s)
        await asyncio.gather(*tasks)

    async def finish(self, within_s: float) -> None:
        """Read every open job until all its items are listed."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within_s
        for job in sorted(self._tally.open):
            items = sorted(self._tally.accepted[job])
            while True:
                results = await self.read(job, self._any())
                if results is not None and len(results) == len(items):
                    break
                if loop.time() > end:
                    found = "nothing" if results is None else f"{len(results)} results"
                    self.report(f"job {job}: {found} of {len(items)} in the end")
                    break
                await asyncio.sleep(0.1)
            if results is not None and len(results) == len(items):
                listed = sorted(result["id"] for result in results)
                if listed != items:
                    self.report(f"job {job}: lists {listed}")

    async def submit(self, instance: SoakInstance) -> None:
        """Send a job once."""
        self._number += 1
        await self._submit(f"s{self._number}", 2, instance)

    async def _submit(self, id: str, count: int, instance: SoakInstance) -> bool:
        """Send a job to one instance; return whether it was accepted."""
        items = [f"{id}-{number}" for number in range(count)]
        self.items_by_job[id] = items
        self._tally.sent.update(items)
        body = orjson.dumps(job_body(items, tokens=1))
        headers = {"X-Request-Id": id}
        answer = await self._call(instance, "POST", f"/work/{id}", headers, body)
        if answer is None or answer.status != 202:
            return False
        self._tally.accepted[id] = items
        self._tally.open.add(id)
        return True

    async def end_some(self, instance: SoakInstance, count: int) -> None:
        """End the newest jobs at one instance."""
        for job in list(self._tally.accepted)[-count:]:
            if job in self._tally.open:
                await self._end(job, instance)

    async def read_some(self, instance: SoakInstance, count: int) -> None:
        """Read the newest jobs at one instance."""
        newest = list(self._tally.accepted)[-count:]
        await asyncio.gather(*(self.read(job, instance) for job in newest))

    async def _end(self, job: str, instance: SoakInstance) -> None:
        self._tally.open.discard(job)
        answer = await self._call(instance, "DELETE", f"/lots/{job}")
        if answer is not None and answer.status == 200:
            self.ended_at_by_job[job] = now()

    async def read_everywhere(self) -> None:
        """Read every accepted job at every instance; none may be unknown there."""
        for job in sorted(self._tally.accepted):
            reads = [self.read(job, one) for one in self._town.instances]
            await asyncio.gather(*reads)

    async def read(self, job: str, instance: SoakInstance) -> list[dict] | None:
        """Read a job whole and check it against what was read before."""
        answer = await self._call(instance, "GET", f"/lots/{job}?sinceRev=0")
        if answer is None or answer.status != 200 or not answer.whole:
            if answer is not None and answer.status in (404, 410):
                self.report(f"job {job}: {answer.status} from {instance.id}")
            return None
        results = orjson.loads(answer.body)["results"]
        before = self._tally.results.get(job, [])
        both = min(len(before), len(results))
        if results[:both] != before[:both]:
            self.report(f"job {job}: a position changed at {instance.id}")
        if len(results) < len(before):
            self.report(f"job {job}: results vanished at {instance.id}")
        if len(results) > len(before):
            self._tally.results[job] = results
        for result in results:
            texts = ["\n".join(text) for text in self._town.texts(result["id"])]
            if result["state"] != "completed" or result["message"] not in texts:
                self.report(f"job {job}: item {result['id']} is {result}")
        return results

    async def _ask(self, id: str, once: bool) -> None:
        self._tally.asked += 1
        self._tally.sent.add(id)
        path = "/once/1" if once else "/ask/1"
        headers = {"X-Request-Id": id, "X-Deadline-Ms": "5000"}
        headers |= prompt(id)
        drops = not once and self._take_up_chance.random() < self._drop_ratio
        answer = await self._call(
            self._any(), "POST", path, headers, b"question", drops
        )
        if answer is None:
            return
        if answer.status in NOT_RUN:
            self._tally.refused.add(id)
        if answer.status in (404, 500):
            self.report(f"request {id}: {answer.status}")
        if answer.status != 200:
            return
        data, whole = _complete_events(answer), answer.whole
        if not whole and data and not once:
            data, whole = await self._take_up(id, path, data)
        self._check_stream(id, data, whole)

    async def _take_up(
        self, stream: str, path: str, data: list[str]
    ) -> tuple[list[str], bool]:
        """Come back for the rest of a stream; return all its data, and if it is whole.

        The caller comes back to any instance, a few times.
        """
        for number in range(TAKE_UPS):
            id = f"{stream}.{number}"
            self._tally.sent.add(id)
            headers = {
                "X-Request-Id": id,
                "X-Deadline-Ms": "5000",
                "Last-Event-Id": str(len(data)),
                "Resumes": stream,
            } | prompt(stream)
            instance = self._take_up_chance.choice(self._town.instances)
            instance = self.back_at or instance
            answer = await self._call(instance, "POST", path, headers, b"question")
            if answer is None:
                continue
            self._tally.taken_up += 1
            if answer.status in NOT_RUN:
                self._tally.refused.add(id)
            if answer.status != 200:
                continue
            self._tally.went_on += 1
            data = data + _complete_events(answer)
            if answer.whole:
                return data, True
        return data, False

    def _check_stream(self, id: str, data: list[str], whole: bool) -> None:
        """Check that a stream is what one software version writes, or its beginning."""
        texts = self._town.texts(id)
        if whole:
            self._tally.answered += 1
        else:
            texts = [text[: len(data)] for text in texts]
        if data not in texts:
            self.report(f"request {id}: a wrong answer {data}")

    async def _job(self, id: str) -> None:
        count = self._chance.randint(1, 4)
        for _ in range(3):
            if await self._submit(id, count, self._any()):
                break
            await asyncio.sleep(0.2)
        else:
            return
        if self._chance.random() < 0.15:
            await self._end(id, self._any())
            return
        await asyncio.sleep(1.0 + self._chance.random())
        await self.read(id, self._any())

    async def _call(
        self,
        instance: SoakInstance,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        drops: bool = False,
    ) -> Answer | None:
        """Call an instance; None if no answer began.

        Args:
            instance: that is called.
            method: of HTTP.
            path: with the query.
            headers: besides the host.
            body: of the request.
            drops: the caller closes its connection after two events.
        """
        url = yarl.URL(f"http://{instance.callers}{path}", encoded=True)
        head = {"Host": HOST} | (headers or {})
        pieces: list[bytes] = []
        try:
            async with self._session.request(
                method, url, headers=head, data=body
            ) as response:
                whole = True
                try:
                    async for piece in response.content.iter_any():
                        pieces.append(piece)
                        if drops and b"".join(pieces).count(EVENT_END) >= 2:
                            whole = False
                            break
                except (aiohttp.ClientError, TimeoutError):
                    whole = False
                body = b"".join(pieces)
                return Answer(response.status, response.headers, body, whole)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    def _any(self) -> SoakInstance:
        one = self._chance.choice(self._town.instances)
        if self.crowded is not None and self._take_up_chance.random() < CROWD_RATIO:
            return self.crowded
        return one

    def report(self, what: str) -> None:
        """Report a promise that was broken."""
        self._tally.broken.append(what)


def prompt(id: str, middle: str = "") -> dict[str, str]:
    """Return the header with the parts of a prompt; the last is of ``id`` only."""
    middle = middle or f"b{sum(id.encode()) % MIDDLE_PARTS}"
    own = id.encode().hex()
    return {"X-Prompt-Prefix": f"{FIRST_PART}:100,{middle}:50,{own}:20"}


def _complete_events(answer: Answer) -> list[str]:
    """Return the data of the events that came whole."""
    end = answer.body.rfind(EVENT_END)
    lines = answer.body[: max(0, end)].decode().splitlines()
    return [line[6:] for line in lines if line.startswith("data: ")]
