"""Stand-in for a plain service with fault injection; counts executions by request."""

import asyncio
from typing import Any

from aiohttp import web

from caperridge.records import Record

HANG_S = 3600.0


class PlainFaults(Record):
    """Faults of a plain service.

    Attributes:
        hung: executions do not finish.
        refuse_status: HTTP status to refuse with before executing; 0 for none.
        refuse_run: ``run`` field of that refusal; empty to omit it.
        lose_before: drop the connection before executing.
        lose_during: execute, then drop the connection in the middle of the body.
        lose_after: execute, then drop the connection without an answer.
        late_s: delay between execution and answer, in seconds.
        redirect: answer with status 307 and its own path after executing.
        leaving: refuse with status 503 and code ``leaving``.
    """

    __slots__ = (
        "hung",
        "late_s",
        "leaving",
        "lose_after",
        "lose_before",
        "lose_during",
        "redirect",
        "refuse_run",
        "refuse_status",
    )

    def __init__(
        self,
        hung: bool = False,
        refuse_status: int = 0,
        refuse_run: str = "",
        lose_before: bool = False,
        lose_after: bool = False,
        redirect: bool = False,
        leaving: bool = False,
        lose_during: bool = False,
        late_s: float = 0.0,
    ) -> None:
        self.hung = hung
        self.refuse_status = refuse_status
        self.refuse_run = refuse_run
        self.lose_before = lose_before
        self.lose_after = lose_after
        self.redirect = redirect
        self.leaving = leaving
        self.lose_during = lose_during
        self.late_s = late_s


class PlainService:
    """Answers each request by echoing it, and counts executions.

    Attributes:
        faults: the faults switched on.
        runs_by_request: executions by id of the request.
        runs_by_key: executions by idempotency key.
        runs: executions.
        held: executions that are currently hung or delayed.
    """

    def __init__(self) -> None:
        self.faults = PlainFaults()
        self.runs_by_request: dict[str, int] = {}
        self.runs_by_key: dict[str, int] = {}
        self.runs = 0
        self.held = 0

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Execute one request."""
        faults = self.faults
        if faults.leaving:
            return _refusal(503, "leaving", "not_run")
        if faults.refuse_status:
            return _refusal(faults.refuse_status, "refused", faults.refuse_run)
        if faults.lose_before:
            _abort_connection(request)
            return web.Response()
        name = request.headers.get("X-Request-Id", "")
        body = await request.read()
        self._count(name, request.headers.get("Idempotency-Key", ""))
        await self._delay(faults)
        if faults.redirect:
            raise web.HTTPTemporaryRedirect(request.path_qs)
        if faults.lose_after:
            _abort_connection(request)
            return web.Response()
        if faults.lose_during:
            return await _send_half(request)
        answer = {
            "request": name,
            "method": request.method,
            "path": request.path_qs,
            "body": body.decode(errors="replace"),
            "headers": dict(request.headers),
        }
        return web.json_response(answer)

    async def _delay(self, faults: PlainFaults) -> None:
        delay_s = HANG_S if faults.hung else faults.late_s
        if not delay_s:
            return
        self.held += 1
        try:
            await asyncio.sleep(delay_s)
        finally:
            self.held -= 1

    def _count(self, request: str, key: str) -> None:
        self.runs += 1
        self.runs_by_request[request] = self.runs_by_request.get(request, 0) + 1
        if key:
            self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1


def make_app(service: PlainService) -> web.Application:
    """Return the HTTP application that serves ``service``."""

    async def set_faults(request: web.Request) -> web.Response:
        service.faults = PlainFaults.from_map(await request.json())
        return web.Response(status=204)

    async def counters(_request: web.Request) -> web.Response:
        return web.json_response(
            {
                "runs": service.runs,
                "runs_by_key": service.runs_by_key,
                "runs_by_request": service.runs_by_request,
            }
        )

    app = web.Application(client_max_size=16 * 2**20)
    app.router.add_put("/standin/faults", set_faults)
    app.router.add_get("/standin/counters", counters)
    app.router.add_route("*", "/{path:.*}", service.handle)
    return app


def _refusal(status: int, reason: str, run: str) -> web.Response:
    error: dict[str, Any] = {"message": reason, "code": reason}
    if run:
        error["run"] = run
    return web.json_response({"error": error}, status=status)


async def _send_half(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Length": "100"})
    await response.prepare(request)
    await response.write(b"x" * 50)
    _abort_connection(request)
    return response


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
