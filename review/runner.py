"""A stand-in of a runner: a few slots, a queue, and answers of numbered events."""

import asyncio
import random
import time
import zlib
from typing import Any

from aiohttp import web

QUEUE = 24


class Run:
    """One request that a runner has begun to work on.

    Attributes:
        id: of the request.
        path: of the request.
        runner: id of the runner.
        began: when it began.
        ended: when it ended; None while it runs.
        whole: whether its last event was sent.
        after: the event that it continues after.
        sent: number of the last event that was sent.
    """

    def __init__(self, id: str, path: str, runner: str, after: int) -> None:
        self.id = id
        self.path = path
        self.runner = runner
        self.after = after
        self.began = time.monotonic()
        self.ended: float | None = None
        self.whole = False
        self.sent = after


class Runner:
    """Answers with events whose number depends on the request's path and id.

    Attributes:
        id: of this incarnation.
        slots: requests that it works on at a time.
        event_s: pause between two events.
        runs: all that it has run.
        crashed: whether it has ended; it answers nothing more.
        going: cleared while it is silent; its runs go on afterwards.
    """

    def __init__(self, id: str, zone: str, slots: int, event_s: float) -> None:
        self.id = id
        self.zone = zone
        self.slots = slots
        self.event_s = event_s
        self.runs: list[Run] = []
        self.lengths: dict[str, tuple[int, int]] = {}
        self.crashed = False
        self.going = asyncio.Event()
        self.going.set()
        self._transports: set[asyncio.Transport] = set()
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0

    @property
    def busy(self) -> int:
        """Number of requests that it works on now."""
        return sum(1 for run in self.runs if run.ended is None)

    def events_of(self, id: str, path: str) -> int:
        """Return the number of events of a request, the same at every runner."""
        return length_of(id, self.lengths[path.split("/")[1]])

    def application(self) -> web.Application:
        """Return the application of the runner."""
        application = web.Application()
        application.router.add_get("/healthz", self._health)
        application.router.add_get("/report", self._report)
        application.router.add_post("/{path:.*}", self._serve)
        return application

    def entry(self, address: str, state: str = "ready") -> dict[str, Any]:
        """Return what the runner writes about itself into the store."""
        return {
            "service": "model",
            "address": address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "seq": 1,
        }

    def crash(self) -> None:
        """Cut all connections; whoever calls this has closed the listening socket."""
        self.crashed = True
        for transport in list(self._transports):
            transport.abort()

    async def _health(self, _: web.Request) -> web.Response:
        return web.Response(headers={"X-Instance-Id": self.id})

    async def _report(self, request: web.Request) -> web.Response:
        if request.headers.get("X-Expect-Instance", self.id) != self.id:
            return web.Response(status=421)
        fields = {"activeRequests": self.busy, "queueDepth": self._waiting}
        return web.json_response(fields)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        await request.read()
        id = request.headers["X-Request-Id"]
        headers = {"X-Request-Id": id}
        if request.headers.get("X-Expect-Instance", self.id) != self.id:
            return web.Response(status=421, headers=headers)
        if self._waiting >= QUEUE:
            headers["X-Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        deadline = time.monotonic() + int(request.headers["X-Deadline-Ms"]) / 1000
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            if time.monotonic() >= deadline:
                headers["X-Not-Executed"] = "1"
                return web.Response(status=503, headers=headers)
            return await self._run(request, id, headers, deadline)
        finally:
            self._free.release()

    async def _run(
        self, request: web.Request, id: str, headers: dict[str, str], deadline: float
    ) -> web.StreamResponse:
        after = int(request.headers.get("Last-Event-Id", "0"))
        run = Run(id, request.path, self.id, after)
        self.runs.append(run)
        transport = request.transport
        assert transport is not None
        self._transports.add(transport)
        headers["X-Response-Stamp"] = f"{self.id}.{id}"
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        try:
            await response.prepare(request)
            for number in range(after + 1, self.events_of(id, request.path) + 1):
                await asyncio.sleep(self.event_s)
                await self.going.wait()
                if time.monotonic() >= deadline:
                    # It stops working at the time that it was given.
                    transport.abort()
                    return response
                data = f"{id}-{number}-{'x' * 20}"
                await response.write(f"id: {number}\ndata: {data}\n\n".encode())
                run.sent = number
            run.whole = True
            await response.write_eof()
            return response
        except ConnectionError:
            return response  # its caller has left, or it has crashed
        finally:
            run.ended = time.monotonic()
            self._transports.discard(transport)


def length_of(id: str, lengths: tuple[int, int]) -> int:
    """Return the number of events of a request, the same at every runner."""
    return random.Random(zlib.crc32(id.encode())).randint(*lengths)
