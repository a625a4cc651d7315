"""A stand-in for a model engine: the model behind an OpenAI-shaped HTTP face.

Beside the completions it takes cancels, orders with a fencing number, KV export and
import, and reports load with a lag and cache events late and with gaps. Its faults
are switched by :class:`EngineFaults`.
"""

import asyncio
import contextlib
import random
from collections import deque
from typing import Any

import orjson
from aiohttp import web

from caperridge.records import Record
from caperridge.standins.engine_model import (
    EngineCosts,
    EngineModel,
    Sequence,
    prompt_tokens,
    token_text,
)
from caperridge.standins.loader import Loader
from caperridge.standins.weights import WeightStore
from caperridge.targets.prompt import prompt_of

DEFAULT_MOST_TOKENS = 16
POISON = "[[never-done]]"
KILLER = "[[kills-the-engine]]"


class EngineFaults(Record):
    """The switches of an engine.

    Attributes:
        hung: steps stop; connections stay open.
        killed: every connection breaks; see :meth:`Engine.kill`.
        slow: steps take this many times as long.
        refuse_status: answer every request with this status; 0 for none.
        refuse_run: the ``run`` word of that refusal, if it should carry one.
        cut_after: drop the connection after so many tokens; 0 for never.
        cross: answer with the text and ids of another request.
        lose_body: run the request, then drop the connection before the first byte.
        leaving: refuse new requests with 503 and say ``leaving``.
        ignore_fencing: obey orders with an old number.
        report_lag_s: how old the load report is.
        event_lag_s: how late cache events are.
        event_gaps: share of cache events that never appear.
    """

    __slots__ = (
        "cross",
        "cut_after",
        "event_gaps",
        "event_lag_s",
        "hung",
        "ignore_fencing",
        "killed",
        "leaving",
        "lose_body",
        "refuse_run",
        "refuse_status",
        "report_lag_s",
        "slow",
    )

    def __init__(
        self,
        hung: bool = False,
        slow: float = 1.0,
        refuse_status: int = 0,
        refuse_run: str = "",
        cut_after: int = 0,
        cross: bool = False,
        lose_body: bool = False,
        leaving: bool = False,
        ignore_fencing: bool = False,
        report_lag_s: float = 0.5,
        event_lag_s: float = 1.0,
        event_gaps: float = 0.05,
        killed: bool = False,
    ) -> None:
        self.hung = hung
        self.slow = slow
        self.refuse_status = refuse_status
        self.refuse_run = refuse_run
        self.cut_after = cut_after
        self.cross = cross
        self.lose_body = lose_body
        self.leaving = leaving
        self.ignore_fencing = ignore_fencing
        self.report_lag_s = report_lag_s
        self.event_lag_s = event_lag_s
        self.event_gaps = event_gaps
        self.killed = killed


class Engine:
    """One running engine.

    Args:
        costs: of its model.
        seed: of the gaps in its cache events.
        gb_per_s: rate at which it loads weights when no store is given.
        store: where it loads weights from.
        preloaded: whether it starts with weights, rather than with none.
    """

    def __init__(
        self,
        costs: EngineCosts | None = None,
        seed: int = 0,
        gb_per_s: float = 100.0,
        store: WeightStore | None = None,
        preloaded: bool = True,
    ) -> None:
        self.model = EngineModel(costs or EngineCosts())
        self.faults = EngineFaults()
        self.runs_by_request: dict[str, int] = {}
        self.tokens_produced = 0
        self.fence = 0
        self.obeyed: list[dict[str, Any]] = []
        self.desired: dict[str, Any] = {}
        self.killed = asyncio.Event()
        self.loader = Loader(gb_per_s, store, preloaded)
        self.cut_by_load = 0
        self.transports: set[asyncio.Transport] = set()
        self._random = random.Random(seed)
        self._queues_by_attempt: dict[str, asyncio.Queue[int | None]] = {}
        self._work = asyncio.Event()
        self._reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=1000)
        self._events: list[tuple[float, int, int]] = []
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start stepping; needs a running loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop stepping."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        await self.loader.stop()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            if self.faults.hung:
                await asyncio.sleep(0.01)
                continue
            step = self.model.step()
            self._report(loop.time())
            if step is None:
                self._work.clear()
                await self._work.wait()
                due = loop.time()
                continue
            # Steps keep to a schedule, so that a late wake-up is made good.
            due = max(due + step.duration_s * self.faults.slow, loop.time() - 0.1)
            await asyncio.sleep(max(0.0, due - loop.time()))
            self._emit(step.emitted, step.finished)

    def _emit(self, emitted: list[Sequence], finished: list[Sequence]) -> None:
        self.tokens_produced += len(emitted)
        for sequence in emitted:
            queue = self._queues_by_attempt.get(sequence.attempt)
            if queue is not None:
                queue.put_nowait(sequence.produced - 1)
        for sequence in finished:
            queue = self._queues_by_attempt.get(sequence.attempt)
            if queue is not None:
                queue.put_nowait(None)

    def _report(self, now: float) -> None:
        report = {
            "running": len(self.model.running_by_attempt),
            "waiting": len(self.model.waiting),
        }
        self._reports.append((now, report))
        for block in self.model.added_blocks:
            if self._random.random() >= self.faults.event_gaps:
                self._events.append((now, len(self._events), block))
        self.model.added_blocks.clear()

    def submit(self, sequence: Sequence) -> asyncio.Queue[int | None]:
        """Admit ``sequence``; offsets of its tokens arrive in the queue, then None."""
        queue: asyncio.Queue[int | None] = asyncio.Queue()
        self._queues_by_attempt[sequence.attempt] = queue
        runs = self.runs_by_request.get(sequence.request, 0)
        self.runs_by_request[sequence.request] = runs + 1
        self.model.submit(sequence)
        self._work.set()
        return queue

    def cancel(self, attempt: str) -> bool:
        """Cancel the attempt; return whether it was there."""
        self._queues_by_attempt.pop(attempt, None)
        return self.model.cancel(attempt)

    def load_report(self, now: float) -> dict[str, Any]:
        """Return the newest report that is at least ``report_lag_s`` old."""
        shown = {"running": 0, "waiting": 0}
        for at, report in self._reports:
            if at <= now - self.faults.report_lag_s:
                shown = report
        return shown

    def cache_events(self, after: int, now: float) -> list[list[int]]:
        """Return ``[number, block]`` of the events after ``after`` that may be seen."""
        ripe = now - self.faults.event_lag_s
        return [[n, b] for at, n, b in self._events[after + 1 :] if at <= ripe]

    def kill(self) -> None:
        """Die: break every connection, refuse new ones, forget what runs."""
        self.faults.killed = True
        self.killed.set()
        for transport in list(self.transports):
            transport.abort()
        for attempt in list(self._queues_by_attempt):
            self.cancel(attempt)

    def order(self, fence: int, desired: dict[str, Any]) -> bool:
        """Obey an order unless its fencing number is old; return whether obeyed."""
        if fence < self.fence and not self.faults.ignore_fencing:
            return False
        self.fence = max(self.fence, fence)
        self.desired = desired
        self.obeyed.append({"fence": fence, "desired": desired})
        if self.loader.follow(desired):
            self.cut_by_load += len(self._queues_by_attempt)
        return True


def make_app(engine: Engine) -> web.Application:
    """Return the HTTP face of ``engine``."""
    face = _Face(engine)
    app = web.Application(client_max_size=16 * 2**20, middlewares=[_killable(engine)])
    app.router.add_post("/v1/chat/completions", face.complete)
    app.router.add_post("/v1/completions", face.complete)
    app.router.add_post("/control/cancel", face.cancel)
    app.router.add_post("/control/order", face.order)
    app.router.add_get("/control/state", face.state)
    app.router.add_get("/control/load", face.load)
    app.router.add_get("/control/cache-events", face.cache_events)
    app.router.add_put("/standin/faults", face.set_faults)
    app.router.add_get("/standin/counters", face.counters)

    async def start(_app: web.Application) -> None:
        engine.start()

    async def stop(_app: web.Application) -> None:
        await engine.stop()

    app.on_startup.append(start)
    app.on_cleanup.append(stop)
    return app


def _killable(engine: Engine) -> Any:
    @web.middleware
    async def killable(request: web.Request, handler: Any) -> web.StreamResponse:
        if request.path.startswith("/standin/"):
            return await handler(request)
        if engine.faults.killed:
            _drop(request)
            raise asyncio.CancelledError
        transport = request.transport
        engine.transports.add(transport)
        try:
            return await handler(request)
        except ConnectionResetError as error:
            # The other side hung up, or the engine was killed: nobody to answer.
            raise asyncio.CancelledError from error
        finally:
            engine.transports.discard(transport)

    return killable


class _Face:
    """Translates between HTTP and the engine."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    async def complete(self, request: web.Request) -> web.StreamResponse:
        body = orjson.loads(await request.read())
        faults = self._engine.faults
        if faults.leaving:
            return _refusal(503, "leaving", "not_run")
        if not self._engine.loader.serving:
            return _refusal(503, "loading", "not_run")
        if faults.refuse_status:
            return _refusal(faults.refuse_status, "refused", faults.refuse_run)
        prompt = prompt_of(body)
        if POISON in prompt:
            return _refusal(400, "this prompt can never be answered", "not_run")
        if KILLER in prompt:
            self._engine.kill()
            raise asyncio.CancelledError
        sequence = _sequence(request, body, prompt)
        queue = self._engine.submit(sequence)
        try:
            if body.get("stream"):
                return await self._stream(request, body, sequence, queue)
            return await self._whole(request, body, sequence, queue)
        finally:
            self._engine.cancel(sequence.attempt)

    async def _whole(
        self,
        request: web.Request,
        body: dict[str, Any],
        sequence: Sequence,
        queue: asyncio.Queue[int | None],
    ) -> web.Response:
        offsets: list[int] = []
        while (offset := await queue.get()) is not None:
            offsets.append(offset)
        _lose(self._engine.faults, request)
        digest = "crossed!" if self._engine.faults.cross else sequence.digest
        text = "".join(token_text(digest, offset) for offset in offsets)
        return web.Response(
            body=orjson.dumps(_whole_body(body, sequence, text, len(offsets))),
            content_type="application/json",
        )

    async def _stream(
        self,
        request: web.Request,
        body: dict[str, Any],
        sequence: Sequence,
        queue: asyncio.Queue[int | None],
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        faults = self._engine.faults
        sent = 0
        offset = await queue.get()
        _lose(faults, request)
        await response.prepare(request)
        while offset is not None:
            event = _event(body, sequence, offset, faults.cross)
            await response.write(event)
            sent += 1
            if faults.cut_after and sent >= faults.cut_after:
                _drop(request)
                return response
            offset = await queue.get()
        await response.write(b"data: [DONE]\n\n")
        return response

    async def cancel(self, request: web.Request) -> web.Response:
        body = await request.json()
        return web.json_response({"cancelled": self._engine.cancel(body["attempt"])})

    async def order(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self._engine.order(body["fence"], body["desired"]):
            return web.json_response({"obeyed": True})
        return web.json_response(
            {"obeyed": False, "fence": self._engine.fence}, status=409
        )

    async def state(self, _request: web.Request) -> web.Response:
        engine = self._engine
        return web.json_response(
            {
                "fence": engine.fence,
                "desired": engine.desired,
                "loaded": engine.loader.loaded,
                "loading": engine.loader.loading,
                "leaving": engine.faults.leaving,
            }
        )

    async def load(self, _request: web.Request) -> web.Response:
        now = asyncio.get_running_loop().time()
        return web.json_response(self._engine.load_report(now))

    async def cache_events(self, request: web.Request) -> web.Response:
        now = asyncio.get_running_loop().time()
        after = int(request.query.get("after", "-1"))
        return web.json_response(self._engine.cache_events(after, now))

    async def set_faults(self, request: web.Request) -> web.Response:
        self._engine.faults = EngineFaults.from_map(await request.json())
        return web.Response(status=204)

    async def counters(self, _request: web.Request) -> web.Response:
        engine = self._engine
        return web.json_response(
            {
                "runs_by_request": engine.runs_by_request,
                "tokens_produced": engine.tokens_produced,
                "obeyed": engine.obeyed,
                "cut_by_load": engine.cut_by_load,
            }
        )


def _sequence(request: web.Request, body: dict[str, Any], prompt: str) -> Sequence:
    anonymous = f"anonymous-{id(request)}"
    return Sequence(
        attempt=request.headers.get("X-Attempt-Id", anonymous),
        request=request.headers.get("X-Request-Id", anonymous),
        prompt=prompt,
        most_tokens=int(body.get("max_tokens") or DEFAULT_MOST_TOKENS),
        produced=int(body.get("resume_from", 0)),
    )


def _event(body: dict[str, Any], sequence: Sequence, offset: int, cross: bool) -> bytes:
    """Return one SSE event; ids and offset come first, so that a reader may stop."""
    digest = "crossed!" if cross else sequence.digest
    text = token_text(digest, offset)
    last = offset + 1 >= sequence.most_tokens
    choice: dict[str, Any] = {"index": 0}
    if "messages" in body:
        choice["delta"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    choice["finish_reason"] = "length" if last else None
    event = {
        "id": "crossed" if cross else sequence.request,
        "attempt": "crossed" if cross else sequence.attempt,
        "offset": offset,
        "object": "chat.completion.chunk" if "messages" in body else "text_completion",
        "created": 0,
        "model": body.get("model", ""),
        "choices": [choice],
    }
    return b"data: " + orjson.dumps(event) + b"\n\n"


def _whole_body(
    body: dict[str, Any], sequence: Sequence, text: str, tokens: int
) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    if "messages" in body:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    asked = prompt_tokens(sequence.prompt)
    return {
        "id": sequence.request,
        "attempt": sequence.attempt,
        "object": "chat.completion" if "messages" in body else "text_completion",
        "created": 0,
        "model": body.get("model", ""),
        "choices": [choice],
        "usage": {
            "prompt_tokens": asked,
            "completion_tokens": tokens,
            "total_tokens": asked + tokens,
        },
    }


def _refusal(status: int, reason: str, run: str) -> web.Response:
    error = {"message": reason, "code": reason.split()[0]}
    if run:
        error["run"] = run
    return web.json_response({"error": error}, status=status)


def _lose(faults: EngineFaults, request: web.Request) -> None:
    if faults.lose_body:
        _drop(request)
        raise asyncio.CancelledError


def _drop(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
