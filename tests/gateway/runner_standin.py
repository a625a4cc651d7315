"""A small stand-in for the users' runners, after their published documentation."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable

from aiohttp import web

from gateway.unframed import UnframedResponse, reset

DEFAULT_VERSION = "v1"
MAX_BODY_BYTES = 64 * 2**20


async def _nothing() -> None:
    """Do nothing."""


class Run:
    """One request that started to run."""

    def __init__(self, request: web.Request, body: bytes) -> None:
        self.id = request.headers["X-Request-Id"]
        # A stream that is taken up is the same stream, whatever the id of the try.
        self.stream = request.headers.get("Resumes", self.id)
        self.path = request.raw_path
        self.method = request.method
        self.headers = request.headers.copy()
        self.body = body
        self.resumed_after = int(request.headers.get("Last-Event-Id", "0"))
        self.arrived = time.monotonic()
        self.sent = 0
        self.cut = False
        self.silent = False
        self.finished = False


class RunnerStandin:
    """Answers with a fixed number of events, the same for the same request.

    Attributes:
        id: of this incarnation.
        slots: requests that it runs at the same time.
        software_version: that it lists; what two versions write differs.
        born: when this incarnation started, in ms; None if it does not tell.
        events: number of events in an answer.
        pause_s: between events.
        slow_pause_s: between events of answers to paths that end in ``/slow``.
        break_after: events after which an answer breaks off; None for never.
        break_bytes: of the next event that are sent before that.
        break_resets: an answer breaks off with a reset, not with the end of its
            connection.
        silent_after: events after which an answer falls silent; None for never.
        refuse: refuse requests as not run.
        status: of answers; other than 200 without events.
        lose: reset the connection instead of answering.
        wrong_id: answer with the id of another request.
        unframed: answer with neither a length nor chunks.
        runs: that were started.
        busy: requests that run now.
        max_busy: the largest value of ``busy`` so far.
        refused: number of refused requests.
        reports: how often it told its load.
        orphaned: runs of callers that lost power, which no instance knows of.
        misdirected: requests that were addressed to another incarnation.
        going: cleared while the runner sends nothing; its runs go on afterwards.
        hold_head: run requests, but send no head of the answer.
        reports_to_all: report the load also when another incarnation is addressed.
        filling: text at the end of the data of each event.
        whole_bytes: size of the body that answers a request to a path that ends with
            ``/whole``, in one piece.
        fatal: whether a request crashes the runner soon after it has started to run.
        fatal_after: events of a fatal request that are sent before the crash.
        fatal_after_disconnect: a fatal request crashes the runner even if its caller
            has disconnected.
        stop_listening: closes the listening socket; set by the server of the runner.
        crashed: by ``crash`` or by a fatal request.
    """

    def __init__(
        self, id: str, slots: int = 4, software_version: str = DEFAULT_VERSION
    ) -> None:
        self.id = id
        self.slots = slots
        self.software_version = software_version
        self.born: int | None = None
        self.events = 5
        self.pause_s = 0.01
        self.slow_pause_s = 0.15
        self.break_after: int | None = None
        self.break_bytes = b"id: "
        self.break_resets = True
        self.silent_after: int | None = None
        self.refuse = False
        self.status = 200
        self.lose = False
        self.wrong_id = False
        self.unframed = False
        self.runs: list[Run] = []
        self.busy = 0
        self.max_busy = 0
        self.refused = 0
        self.reports = 0
        self.orphaned = 0
        self.misdirected = 0
        self.reports_to_all = False
        self.whole_bytes = 0
        self.filling = ""
        self.going = asyncio.Event()
        self.going.set()
        self.hold_head = False
        self.fatal: Callable[[Run], bool] = lambda run: False
        self.fatal_after = 0
        self.fatal_after_disconnect = False
        self.stop_listening: Callable[[], Awaitable[None]] = _nothing
        self.crashed = False
        self._transports: set[asyncio.Transport] = set()
        self._crashing: asyncio.Task[None] | None = None

    async def crash(self) -> None:
        """Crash: cut all connections and accept no more."""
        # A second request may crash it before the first crash has ended.
        stop, self.stop_listening = self.stop_listening, _nothing
        self.crashed = True
        await stop()
        for transport in list(self._transports):
            transport.abort()

    def restart(self, software_version: str, born: int) -> None:
        """Start again under the same id and address; all connections are cut."""
        self.software_version = software_version
        self.born = born
        for transport in list(self._transports):
            transport.abort()

    async def _crash_soon(self) -> None:
        await asyncio.sleep(self.pause_s)
        await self.crash()

    def application(self) -> web.Application:
        """Return the application of the runner."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_get("/healthz", self._health)
        application.router.add_get("/report", self._report)
        application.router.add_route("*", "/{path:.*}", self._serve)
        return application

    def text(self, request: str) -> list[str]:
        """Return the data of the events of a request."""
        suffix = (
            "" if self.software_version == DEFAULT_VERSION else self.software_version
        )
        return [
            f"{request}-{number}{suffix}{self.filling}"
            for number in range(1, self.events + 1)
        ]

    async def _report(self, request: web.Request) -> web.Response:
        meant = request.headers.get("X-Expect-Instance", self.id)
        if meant != self.id and not self.reports_to_all:
            return web.Response(status=421)
        active = self.busy + self.orphaned
        report = {"activeRequests": active, "queueDepth": 0}
        if self.born is not None:
            report["born"] = self.born
        self.reports += 1
        return web.json_response(report)

    async def _health(self, _: web.Request) -> web.Response:
        return web.Response(headers={"X-Instance-Id": self.id})

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        id = request.headers["X-Request-Id"]
        headers = {"X-Request-Id": id, "X-Instance-Id": self.id}
        if request.headers.get("X-Expect-Instance", self.id) != self.id:
            self.misdirected += 1
            return web.Response(status=421, headers=headers)
        if self.refuse:
            self.refused += 1
            headers["X-Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        run = Run(request, body)
        self.runs.append(run)
        self.busy += 1
        self.max_busy = max(self.max_busy, self.busy)
        assert request.transport is not None
        self._transports.add(request.transport)
        transport = request.transport
        try:
            return await self._run(request, run, headers)
        except asyncio.CancelledError:
            run.cut = True
            raise
        finally:
            self.busy -= 1
            self._transports.discard(transport)

    async def _run(
        self, request: web.Request, run: Run, headers: dict[str, str]
    ) -> web.StreamResponse:
        assert request.transport is not None
        if self.lose:
            request.transport.abort()
            return web.Response()
        while self.hold_head:
            await asyncio.sleep(0.01)
        await self.going.wait()
        if self.wrong_id:
            headers["X-Request-Id"] = "another"
        headers["X-Response-Stamp"] = f"stamp-{self.id}-{run.id}"
        if self.status != 200:
            return await self._fail(request, run, headers)
        if run.path.endswith("/whole"):
            return await self._whole(request, run, headers)
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        if self.unframed:
            response = UnframedResponse(200, headers)
        await response.prepare(request)
        sent = 0
        fatal = self.fatal(run)
        if fatal and self.fatal_after_disconnect:
            self._crashing = asyncio.ensure_future(self._crash_soon())
        for number, data in enumerate(self.text(run.stream), 1):
            if number <= run.resumed_after:
                continue
            if fatal and sent >= self.fatal_after:
                await asyncio.sleep(self.pause_s)
                await self.crash()
                return response
            if self.break_after is not None and sent >= self.break_after:
                await response.write(self.break_bytes)
                await self._break_off(request.transport)
                return web.Response()
            if self.silent_after is not None and sent >= self.silent_after:
                run.silent = True
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(10):
                        await asyncio.Event().wait()
            await self.going.wait()
            await response.write(f"id: {number}\ndata: {data}\n\n".encode())
            sent += 1
            run.sent = sent
            slow = run.path.endswith("/slow")
            await asyncio.sleep(self.slow_pause_s if slow else self.pause_s)
        await response.write_eof()
        run.finished = True
        return response if isinstance(response, web.StreamResponse) else web.Response()

    async def _whole(
        self, request: web.Request, run: Run, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Answer in one piece, with a length or without a frame."""
        run.finished = True
        body = bytes(self.whole_bytes)
        if not self.unframed:
            return web.Response(headers=headers, body=body)
        response = UnframedResponse(200, headers)
        await response.prepare(request)
        await response.write(body)
        await response.write_eof()
        return web.Response()

    async def _fail(
        self, request: web.Request, run: Run, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Answer with another status than 200, in one piece."""
        run.finished = True
        if not self.unframed:
            return web.Response(status=self.status, headers=headers, text="failed")
        response = UnframedResponse(self.status, headers)
        await response.prepare(request)
        await response.write(b"failed")
        if self.break_after is not None:
            await self._break_off(request.transport)
        await response.write_eof()
        return web.Response()

    async def _break_off(self, transport: asyncio.Transport) -> None:
        """End or reset a connection on which an answer is incomplete."""
        await asyncio.sleep(0.01)  # what was written arrives first
        if self.break_resets:
            reset(transport)
        else:
            transport.close()
