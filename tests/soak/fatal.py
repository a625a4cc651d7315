"""Requests that end each target that runs them, sent again and again."""

import asyncio
import random

import aiohttp

from gateway.conftest import HOST
from gateway.runner_standin import Run
from soak.callers import NOT_RUN, Tally, prompt
from soak.diary import EVERYBODY, now
from soak.town import Town

BODY = b"ends whoever runs it"
ENOUGH = 3
ENOUGH_FOR_PART = 5
FATAL_PART = "bad0"
# What is sent later than this after the third end counts, and so many are allowed.
CONTACT_S = 3.0
MOST_LATER = 3
ASK_S = 6.0


class FatalCaller:
    """Sends one request, each time with another id, to any instance.

    Attributes:
        enough: ends after which it has to be known.

    Args:
        town: whose targets it ends.
        tally: of what callers saw.
        chance: draws when and where.
    """

    def __init__(self, town: Town, tally: Tally, chance: random.Random) -> None:
        self.enough = ENOUGH
        self._town = town
        self._tally = tally
        self._chance = chance
        self._began: list[float] = []
        self._ended: list[float] = []
        for number, runner in enumerate(town.runners):
            runner.fatal = self._is_fatal
            runner.stop_listening = lambda one=number: self._end(one)

    async def use(self, seconds: float) -> None:
        """Send for a while, then check how often it ran."""
        end = now() + seconds
        tasks: list[asyncio.Task[None]] = []
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=ASK_S),
        ) as session:
            while now() < end:
                id = f"f{len(tasks)}"
                self._tally.sent.add(id)
                tasks.append(asyncio.ensure_future(self._ask(session, id)))
                await asyncio.sleep(self._chance.uniform(0.05, 0.6))
            await asyncio.gather(*tasks)
        self._check()

    async def _ask(self, session: aiohttp.ClientSession, id: str) -> None:
        one = self._chance.choice(self._town.instances)
        headers = {"Host": HOST, "X-Request-Id": id, "X-Deadline-Ms": "5000"}
        headers |= self._prompt(id)
        url = f"http://{one.callers}/once/1"
        body = self._body(id)
        try:
            async with session.post(url, data=body, headers=headers) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        if response.status in NOT_RUN:
            self._tally.refused.add(id)

    def _body(self, id: str) -> bytes:
        return BODY

    def _prompt(self, id: str) -> dict[str, str]:
        return {}

    def _is_fatal(self, run: Run) -> bool:
        if not run.body.startswith(BODY):
            return False
        self._began.append(now())
        return True

    async def _end(self, number: int) -> None:
        """Have a target end, and come back as another life after a while."""
        self._ended.append(now())
        trouble = self._town.diary.begin(EVERYBODY, "a target ended")
        await self._town.end_runner(number, self._chance.uniform(1.0, 3.0))
        trouble.end()

    def _check(self) -> None:
        self._tally.targets_ended = len(self._ended)
        if len(self._ended) < self.enough:
            return
        known_by = sorted(self._ended)[self.enough - 1] + CONTACT_S
        later = sum(1 for at in self._began if at > known_by)
        if later > MOST_LATER:
            self._tally.broken.append(
                f"what had ended {self.enough} targets ran {later} times later"
            )


class FatalPartCaller(FatalCaller):
    """Sends requests that are all different but for one part of their prompts.

    Sound requests share the first part with them.

    Args:
        town: whose targets it ends.
        tally: of what callers saw.
        chance: draws when and where.
    """

    def __init__(self, town: Town, tally: Tally, chance: random.Random) -> None:
        super().__init__(town, tally, chance)
        self.enough = ENOUGH_FOR_PART

    def _body(self, id: str) -> bytes:
        return BODY + id.encode()

    def _prompt(self, id: str) -> dict[str, str]:
        return prompt(id, FATAL_PART)
