"""HTTP server of the engine stand-in: an OpenAI-compatible API with fault injection.

It serves completions, cancellation, orders with a fencing token, and KV cache export
and import. Load reports lag behind; cache events are delayed and incomplete.
:class:`EngineFaults` switches its faults.
"""

import asyncio
from typing import Any

import orjson
from aiohttp import web

from caperridge.standins import engine_answers as answers
from caperridge.standins.engine_faults import EngineFaults
from caperridge.standins.engine_model import Sequence, token_text
from caperridge.standins.running_engine import Engine, KvCache
from caperridge.targets.prompt import prompt_of

__all__ = ["KILLER", "POISON", "Engine", "EngineFaults", "make_app"]

DEFAULT_MAX_TOKENS = 16
POISON = "[[never-done]]"
KILLER = "[[kills-the-engine]]"


def make_app(engine: Engine) -> web.Application:
    """Return the HTTP application that serves ``engine``."""
    handlers = _Handlers(engine)
    app = web.Application(
        client_max_size=16 * 2**20, middlewares=[_kill_middleware(engine)]
    )
    app.router.add_post("/v1/chat/completions", handlers.complete)
    app.router.add_post("/v1/completions", handlers.complete)
    app.router.add_post("/control/cancel", handlers.cancel)
    app.router.add_post("/control/order", handlers.order)
    app.router.add_get("/control/state", handlers.state)
    app.router.add_get("/control/load", handlers.load)
    app.router.add_get("/control/cache-events", handlers.cache_events)
    app.router.add_get("/kv/{attempt}", handlers.export_kv)
    app.router.add_put("/kv/{attempt}", handlers.import_kv)
    app.router.add_put("/standin/faults", handlers.set_faults)
    app.router.add_get("/standin/counters", handlers.counters)

    async def start(_app: web.Application) -> None:
        engine.start()

    async def stop(_app: web.Application) -> None:
        await engine.stop()

    app.on_startup.append(start)
    app.on_cleanup.append(stop)
    return app


def _kill_middleware(engine: Engine) -> Any:
    @web.middleware
    async def check_killed(request: web.Request, handler: Any) -> web.StreamResponse:
        if request.path.startswith("/standin/"):
            return await handler(request)
        if engine.faults.killed:
            _abort_connection(request)
            raise asyncio.CancelledError
        transport = request.transport
        engine.transports.add(transport)
        try:
            return await handler(request)
        except ConnectionResetError as error:
            # The client disconnected or the engine was killed: no response can be sent.
            raise asyncio.CancelledError from error
        finally:
            engine.transports.discard(transport)

    return check_killed


class _Handlers:
    """Request handlers that call the engine."""

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
                return await self._send_stream(request, body, sequence, queue)
            return await self._send_completion(request, body, sequence, queue)
        finally:
            self._engine.cancel(sequence.attempt)

    async def _send_completion(
        self,
        request: web.Request,
        body: dict[str, Any],
        sequence: Sequence,
        queue: asyncio.Queue[int | None],
    ) -> web.Response:
        offsets: list[int] = []
        while (offset := await queue.get()) is not None:
            offsets.append(offset)
        _drop_if_body_lost(self._engine.faults, request)
        digest = "crossed!" if self._engine.faults.cross else sequence.digest
        text = "".join(token_text(digest, offset) for offset in offsets)
        return web.Response(
            body=orjson.dumps(
                answers.completion_body(body, sequence, text, len(offsets))
            ),
            content_type="application/json",
        )

    async def _send_stream(
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
        _drop_if_body_lost(faults, request)
        if faults.late_s:
            await asyncio.sleep(faults.late_s)
        await response.prepare(request)
        while offset is not None:
            event = answers.sse_event(body, sequence, offset, faults.cross)
            await response.write(event)
            sent += 1
            if faults.cut_after and sent >= faults.cut_after:
                _abort_connection(request)
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

    async def export_kv(self, request: web.Request) -> web.Response:
        kv = self._engine.export_kv(request.match_info["attempt"])
        if kv is None:
            return _refusal(404, "there is no such KV cache", "not_run")
        return web.json_response(kv.to_map())

    async def import_kv(self, request: web.Request) -> web.Response:
        kv = KvCache.from_map(await request.json())
        self._engine.import_kv(request.match_info["attempt"], kv)
        return web.Response(status=204)

    async def set_faults(self, request: web.Request) -> web.Response:
        self._engine.faults = EngineFaults.from_map(await request.json())
        if self._engine.faults.killed:
            self._engine.kill()
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
        max_tokens=int(body.get("max_tokens") or DEFAULT_MAX_TOKENS),
        produced=int(body.get("resume_from", 0)),
    )


def _refusal(status: int, reason: str, run: str) -> web.Response:
    error = {"message": reason, "code": reason.split()[0]}
    if run:
        error["run"] = run
    return web.json_response({"error": error}, status=status)


def _drop_if_body_lost(faults: EngineFaults, request: web.Request) -> None:
    if faults.lose_body:
        _abort_connection(request)
        raise asyncio.CancelledError


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
