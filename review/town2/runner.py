"""A stand-in of a model runner that streams events, after PROTOCOL.md."""

import asyncio
import time
from collections.abc import Callable

import orjson
from aiohttp import web

STEP_S = 0.033
QUEUE = 24


class Run:
    """A request that a runner has begun to work on.

    Attributes:
        id: its ``X-Request-Id``.
        runner: id of the runner.
        arrived: when it reached the runner, in seconds of the steady clock.
    """

    def __init__(self, id: str, runner: str, arrived: float) -> None:
        self.id = id
        self.runner = runner
        self.arrived = arrived


class Runner:
    """Runs a few requests at a time, queues some, and drops what nobody waits for.

    Attributes:
        id: of this incarnation.
        zone: where it is.
        slots: requests that run at the same time.
        events: returns the number of events of a request.
        step_s: seconds from one event to the next.
        runs: all runs that have begun.
    """

    def __init__(
        self, id: str, zone: str, slots: int, events: Callable[[str], int]
    ) -> None:
        self.id = id
        self.zone = zone
        self.slots = slots
        self.events = events
        self.step_s = STEP_S
        self.runs: list[Run] = []
        self.address = ""
        self._free = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._site: web.AppRunner | None = None

    async def start(self, host: str) -> None:
        """Listen."""
        application = web.Application(client_max_size=16 * 2**20)
        application.router.add_get("/healthz", self._health)
        application.router.add_get("/report", self._report)
        application.router.add_post("/{path:.*}", self._post)
        self._site = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await self._site.setup()
        await web.TCPSite(self._site, host, 0).start()
        self.address = f"{host}:{self._site.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._site is not None:
            await self._site.cleanup()

    def entry(self) -> dict[str, object]:
        """Return its entry in the store."""
        return {
            "service": "calor-llm",
            "address": self.address,
            "zone": self.zone,
            "version": "r1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
        }

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(headers={"X-Instance-Id": self.id})

    async def _report(self, request: web.Request) -> web.Response:
        fields = {
            "stage": "hybrid",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "utilization": False,
            "seq": 0,
            "queueDepth": self._waiting,
            "activeRequests": self._running,
            "kvUsed": 0,
            "kvTotal": 72000,
            "handles": 0,
        }
        return web.Response(body=orjson.dumps(fields), content_type="application/json")

    async def _post(self, request: web.Request) -> web.StreamResponse:
        arrived = time.monotonic()
        id = request.headers["X-Request-Id"]
        head = {"X-Request-Id": id}
        if request.headers.get("X-Expect-Instance", self.id) != self.id:
            return web.Response(status=421, headers=head)
        not_run = head | {"X-Not-Executed": "1"}
        if self._waiting >= QUEUE:
            return web.Response(status=503, headers=not_run)
        await request.read()
        until = arrived + int(request.headers.get("X-Deadline-Ms", "60000")) / 1000
        self._waiting += 1
        try:
            async with asyncio.timeout(until - time.monotonic()):
                await self._free.acquire()
        except TimeoutError:
            return web.Response(status=503, headers=not_run)
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            self.runs.append(Run(id, self.id, arrived))
            return await self._stream(request, head, until)
        except ConnectionError:
            return web.Response()  # its sender has gone
        finally:
            self._running -= 1
            self._free.release()

    async def _stream(
        self, request: web.Request, head: dict[str, str], until: float
    ) -> web.StreamResponse:
        id = head["X-Request-Id"]
        response = web.StreamResponse(
            headers=head
            | {
                "Content-Type": "text/event-stream",
                "X-Response-Stamp": f"{self.id}.{id}",
                "X-Weight-Versions": "1",
            }
        )
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.events(id) + 1):
            if time.monotonic() >= until:
                assert request.transport is not None
                request.transport.abort()
                return response
            await asyncio.sleep(self.step_s)
            await response.write(f"id: {number}\ndata: {id}-{number}\n\n".encode())
        await response.write_eof()
        return response
