"""Fixtures for online requests: targets that misbehave, and one to move to."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Mapping
from contextlib import aclosing
from typing import Any

import aiohttp
import orjson
import pytest
from aiohttp import web

from caperridge.config.model import Caller, Configuration, Model, Service
from caperridge.decisions.membership import Membership
from caperridge.decisions.patience import AdaptiveTimeout
from caperridge.decisions.routing import TargetPool
from caperridge.instance.completions_http import CompletionsHttp
from caperridge.instance.held_requests import HeldRequests
from caperridge.instance.http_common import app_with_refusals
from caperridge.instance.metrics import Metrics
from caperridge.instance.online import OnlineFront
from caperridge.instance.traces import Traces
from caperridge.peers.interface import NoPeers
from caperridge.standins.engine import Engine, make_app
from caperridge.standins.engine_model import EngineCosts
from caperridge.store.interface import ListedMember
from caperridge.targets.engine import Attempt, EngineClient
from conftest import Listen, until
from loop_clock import LoopClock, turns

TOKENS = 8
BODY = {"model": "chat", "prompt": "alarm 17?", "max_tokens": TOKENS}
# So many turns of the loop after which a connection is dropped, what was written to it
# has been read.
READ_TURNS = 40


class Clock:
    """A clock that the test moves by hand."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class FaultyTarget:
    """Answers every request in one wrong way and counts how often it ran one.

    Attributes:
        fault: the way.
        runs: how often it ran a request.
        sent: events that it has written.
        cancels: how often it was asked to drop an attempt.
        hanging: set once it says nothing more.
        left: set once whoever waited for it then has gone.
    """

    def __init__(self, fault: str) -> None:
        self.fault = fault
        self.runs = 0
        self.sent = 0
        self.cancels = 0
        self.hanging = asyncio.Event()
        self.left = asyncio.Event()

    def app(self) -> web.Application:
        app = web.Application()
        app.router.add_post("/v1/completions", self.complete)
        app.router.add_post("/control/cancel", self.cancel)
        return app

    async def cancel(self, _request: web.Request) -> web.Response:
        self.cancels += 1
        return web.json_response({"cancelled": True})

    async def complete(self, request: web.Request) -> web.StreamResponse:
        if self.fault.startswith("status"):
            return self._refuse()
        if self.fault == "lost before the body is read":
            request.transport.abort()
            raise asyncio.CancelledError
        body = orjson.loads(await request.read())
        self.runs += 1
        if self.fault == "lost after the body":
            request.transport.abort()
            raise asyncio.CancelledError
        if self.fault == "hung":
            await self._hang()
        return await self._stream(request, body.get("resume_from", 0))

    async def _hang(self) -> None:
        self.hanging.set()
        try:
            await asyncio.sleep(3600)
        finally:
            self.left.set()

    def _refuse(self) -> web.Response:
        _, status, run = self.fault.split()
        code = "leaving" if run == "leaving" else "busy"
        error = {"message": "refused", "code": code}
        if run in ("not_run", "leaving"):
            error["run"] = "not_run"
        return web.json_response({"error": error}, status=int(status))

    async def _stream(self, request: web.Request, start: int) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        ours = (request.headers["X-Request-Id"], request.headers["X-Attempt-Id"])
        for offset in range(start, TOKENS):
            sent = offset - start
            if sent == 2 and self.fault == "cut stream":
                await turns(READ_TURNS)
                request.transport.abort()
                return response
            if sent == 2 and self.fault == "hung in the stream":
                await self._hang()
            if sent == 2 and self.fault == "ended without the mark":
                await response.write_eof()
                return response
            ids, shown = ours, offset
            if sent == 2 and self.fault == "wrong id":
                ids = ("req-other", ours[1])
            if sent == 2 and self.fault == "late event of another attempt":
                ids = (ours[0], "other.0")
            if sent == 2 and self.fault == "crossed":
                ids = ("req-other", "req-other.0")
            if sent == 2 and self.fault == "repeated offset":
                shown = offset - 1
            if sent == 2 and self.fault == "skipped offset":
                shown = offset + 1
            await response.write(self._event(ids, shown))
            self.sent += 1
        if self.fault == "mark lost after the last token":
            await turns(READ_TURNS)
            request.transport.abort()
            return response
        await response.write(b"data: [DONE]\n\n")
        if self.fault == "event after the mark":
            await response.write(self._event(ours, TOKENS))
        return response

    def _event(self, ids: tuple[str, str], offset: int) -> bytes:
        ends = "length" if offset + 1 >= TOKENS else None
        event = {
            "id": ids[0],
            "attempt": ids[1],
            "offset": offset,
            "choices": [{"index": 0, "text": f"{offset} ", "finish_reason": ends}],
        }
        return b"data: " + orjson.dumps(event) + b"\n\n"


class CountingClient(EngineClient):
    """Counts the events that it has read.

    Attributes:
        events_by_address: how many it read, by the engine's address.
    """

    def __init__(self) -> None:
        super().__init__()
        self.events_by_address: Counter[str] = Counter()

    async def stream(self, attempt: Attempt) -> AsyncIterator[list[bytes]]:
        async with aclosing(super().stream(attempt)) as batches:
            async for events in batches:
                self.events_by_address[attempt.address] += len(events)
                yield events


class Front:
    """An online front before targets on loopback, without an instance around it."""

    def __init__(self, engines: CountingClient, http: aiohttp.ClientSession) -> None:
        self.address = ""
        self.engines = engines
        self.http = http
        self.headers: dict[str, str] = {}
        self.members: list[ListedMember] = []
        self.leaving: list[str] = []
        self.service = Service("chat", model="north", most_running=4)
        self.team = Caller("heat", "0" * 64)
        self.traces = Traces()
        self.metrics = Metrics()
        self.book = TargetPool("oviedo")
        self.online = OnlineFront(
            self.book,
            engines,
            self.traces,
            self.metrics,
            lambda: asyncio.get_running_loop().time(),
            lambda load: None,
            self.leaving.append,
            HeldRequests(
                Membership("entry-1", "oviedo"),
                NoPeers(),
                self.metrics,
                lambda: asyncio.get_running_loop().time(),
            ),
        )

    def add(self, name: str, address: str, software_version: str = "") -> None:
        self.members.append(
            ListedMember(
                name,
                "target",
                address,
                "oviedo",
                service="chat",
                software_version=software_version,
            )
        )
        self.book.apply_list(self.members)

    @property
    def configuration(self) -> "Front":
        return self

    @property
    def current(self) -> Configuration:
        return Configuration(
            1,
            services_by_name={"chat": self.service},
            models_by_name={"north": Model("north", {"1": 1.0})},
        )

    def caller(self, _request: web.Request) -> Caller:
        return self.team

    def app(self) -> web.Application:
        app = app_with_refusals(2**20)
        CompletionsHttp(self).add_routes(app.router)
        return app

    async def ask_past(self, target: FaultyTarget, stream: bool) -> "Answer":
        """Return the answer; the clock is moved over the time that a target hangs."""
        clock = LoopClock()
        async with asyncio.TaskGroup() as group:
            asking = group.create_task(self.ask(stream))
            hanging = group.create_task(target.hanging.wait())
            either = (asking, hanging)
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
            if target.hanging.is_set():
                await until(lambda: self._has_read(target) or asking.done(), 60.0)
                await clock.ahead_until(target.left.is_set)
            hanging.cancel()
        return asking.result()

    def _has_read(self, target: FaultyTarget) -> bool:
        return self.engines.events_by_address.total() >= target.sent

    async def ask(self, stream: bool, **fields: Any) -> "Answer":
        body = BODY | {"stream": stream} | fields
        url = f"http://{self.address}/v1/completions"
        async with self.http.post(url, json=body, headers=self.headers) as response:
            data, cut = b"", False
            try:
                async for piece in response.content.iter_any():
                    data += piece
            except aiohttp.ClientPayloadError:
                cut = True
            return Answer(response.status, response.headers, data, cut)


class Answer:
    """What a caller got.

    Attributes:
        cut: the connection ended before the answer did.
    """

    def __init__(
        self, status: int, headers: Mapping[str, str], data: bytes, cut: bool
    ) -> None:
        self.status = status
        self.headers = headers
        self.data = data
        self.cut = cut

    @property
    def events(self) -> list[dict[str, Any]]:
        lines = self.data.decode().split("\n\n")
        return [
            orjson.loads(line.removeprefix("data: "))
            for line in lines
            if line and not line.endswith("[DONE]")
        ]

    @property
    def marked(self) -> bool:
        return self.data.endswith(b"data: [DONE]\n\n")

    @property
    def offsets(self) -> list[int]:
        return [event["offset"] for event in self.events if "offset" in event]

    @property
    def error(self) -> dict[str, Any]:
        found = [event["error"] for event in self.events if "error" in event]
        return found[-1] if found else {}


@pytest.fixture
async def front(listen: Listen) -> AsyncIterator[Front]:
    """A front without targets, behind a listener for callers."""
    engines = CountingClient()
    async with aiohttp.ClientSession() as http:
        front = Front(engines, http)
        front.address = await listen(front.app())
        policy = front.online.attempts.policy("chat")
        policy.first_event = AdaptiveTimeout(0.95, 3.0, 0.3, 30.0, initial_s=0.3)
        policy.inter_event = AdaptiveTimeout(0.95, 3.0, 0.3, 30.0, initial_s=0.3)
        yield front
    await engines.close()


@pytest.fixture
async def good(listen: Listen) -> tuple[Engine, str]:
    """An engine that answers as it should, and its address."""
    engine = Engine(EngineCosts(step_s=0.001, sequence_s=0.0001))
    return engine, await listen(make_app(engine))
