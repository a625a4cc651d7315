"""The demo's online callers: each answer is checked against what was asked."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import orjson

from caperridge.demo.deployment import SERVICE
from caperridge.demo.tally import Tally
from caperridge.standins.engine_model import answer_text
from caperridge.targets.prompt import prompt_of

MOST_TRIES = 20
RETRY_S = 0.2
DONE = b"data: [DONE]"


class OnlineCaller:
    """Asks at a steady pace, and in bursts, whatever becomes of earlier requests.

    Args:
        http: client session.
        token: of the caller.
        url: where the balancer sends the next request.
        prompt: text of request ``n``.
        answer_tokens: length of each answer.
        tally: where the outcome counts.
    """

    def __init__(
        self,
        http: aiohttp.ClientSession,
        token: str,
        url: Callable[[], str],
        prompt: Callable[[int], str],
        answer_tokens: int,
        tally: Tally,
    ) -> None:
        self.refusals = 0
        self._http = http
        self._headers = {"Authorization": f"Bearer {token}"}
        self._url = url
        self._prompt = prompt
        self._answer_tokens = answer_tokens
        self._tally = tally
        self._sent = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def ask_steadily(self, per_s: float) -> None:
        """Ask ``per_s`` requests a second until cancelled."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            self.burst(1)
            due += 1.0 / per_s
            await asyncio.sleep(max(0.0, due - loop.time()))

    def burst(self, count: int) -> None:
        """Ask ``count`` requests at once."""
        for _ in range(count):
            self._sent += 1
            self._tally.online_requests += 1
            task = asyncio.get_running_loop().create_task(self._ask(self._sent))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for every answer."""
        await asyncio.gather(*self._tasks)

    async def _ask(self, number: int) -> None:
        message = {"role": "user", "content": self._prompt(number)}
        body = {
            "model": SERVICE,
            "messages": [message],
            "max_tokens": self._answer_tokens,
            "stream": True,
        }
        wanted = answer_text(prompt_of(body), self._answer_tokens)
        started = time.monotonic()
        for _ in range(MOST_TRIES):
            try:
                text = await self._try(body, started)
            except (aiohttp.ClientError, TimeoutError, OSError):
                text = ""
            if text is not None:
                self._tally.online_wrong += text != wanted
                return
            self.refusals += 1
            await asyncio.sleep(RETRY_S)
        self._tally.online_wrong += 1

    async def _try(self, body: dict[str, Any], started: float) -> str | None:
        """Return the answer's text; None if it was refused and not run."""
        url = self._url() + "/v1/chat/completions"
        async with self._http.post(url, json=body, headers=self._headers) as response:
            if response.status != 200:
                refusal = await response.json()
                return None if refusal["error"]["run"] == "not_run" else ""
            first_s = 0.0
            data = b""
            async for piece in response.content.iter_any():
                first_s = first_s or time.monotonic() - started
                data += piece
        self._tally.first_tokens_s.append(first_s)
        events = data.split(b"\n\n")
        if events[-2:] != [DONE, b""]:
            return ""
        return "".join(_text(event) for event in events[:-2])


def _text(event: bytes) -> str:
    fields = orjson.loads(event.removeprefix(b"data: "))
    choices = fields["choices"]
    return choices[0]["delta"].get("content") or "" if choices else ""
