"""The HTTP front end for callers: online requests, jobs, and reads of their results."""

import asyncio
import itertools
import math
import re
from collections.abc import Callable

from aiohttp import web
from multidict import CIMultiDict

from caperridge.decisions.admission import CallerWaits
from caperridge.gateway.answer_limits import AnswerLimits
from caperridge.gateway.configuration import ConfigurationInForce
from caperridge.gateway.dialect import DecodeError, Dialect
from caperridge.gateway.forwarding import Forwarder
from caperridge.gateway.inbound import Failure, InboundRequest
from caperridge.gateway.jobs.edge import JobAnswer, JobsEdge
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.reply import AiohttpReply
from caperridge.gateway.routes import BATCH, Route
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

# Sent while no configuration has been read yet.
STARTING_RETRY_AFTER_S = 0.5
# Job ids are part of paths, keys and object names, which have at most 200 bytes.
JOB_ID = re.compile(r"[A-Za-z0-9._~-]{1,100}")
# While draining, no request for this long means that callers use other instances.
QUIET_PERIOD_S = 0.7
QUIET_POLL_INTERVAL_S = 0.05
MAX_BODY_BYTES = 64 * 2**20


class RunningRequest(Record):
    """A request that is being answered.

    Attributes:
        id: as the caller sent it; empty if it sent none.
        path: with the query.
        arrived: when its head was received, on the event loop's clock.
    """

    __slots__ = ("arrived", "id", "path")

    def __init__(self, id: str, path: str, arrived: float) -> None:
        self.id = id
        self.path = path
        self.arrived = arrived


class Edge:
    """Dispatches callers' requests by path and route.

    Attributes:
        closing: the instance drains; connections are closed after their answer.
        read_peers: called before a request is placed, so that counts are up to date.

    Args:
        configuration: in force.
        forwarder: serves online requests.
        jobs: serves jobs and reads of results.
        dialect: names of headers and paths.
        metrics: counted into.
        limits: deadlines of answers.
    """

    def __init__(
        self,
        configuration: ConfigurationInForce,
        forwarder: Forwarder,
        jobs: JobsEdge,
        dialect: Dialect,
        metrics: GatewayMetrics,
        limits: AnswerLimits,
    ) -> None:
        self._configuration = configuration
        self._forwarder = forwarder
        self._jobs = jobs
        self._dialect = dialect
        self._metrics = metrics
        self.closing = False
        self._limits = limits
        self.read_peers: Callable[[], None] = lambda: None
        self._running_by_number: dict[int, RunningRequest] = {}
        self._numbers = itertools.count()
        self._last_arrival = 0.0
        self._waits_by_route: dict[str, CallerWaits] = {}

    @property
    def running(self) -> int:
        """How many requests are being answered."""
        return len(self._running_by_number)

    def log_cut(self) -> None:
        """Log each request that is still being answered when the instance stops."""
        now = asyncio.get_running_loop().time()
        for running in self._running_by_number.values():
            log.warning(
                "request cut by the stop",
                request=running.id,
                path=running.path,
                took_s=round(now - running.arrived, 4),
            )

    def start_draining(
        self, answers_until: float, reject_long_from: float = -math.inf
    ) -> None:
        """Close connections after their answer, and end all answers in time.

        Args:
            answers_until: when the last answer must be complete, on the event loop's
                clock.
            reject_long_from: when the balancer has moved callers to other instances,
                so that a refused caller is served there at once.
        """
        self.closing = True
        self._limits.cap(answers_until, reject_long_from)

    async def wait_until_quiet(self, earliest: float, until: float) -> None:
        """Wait until callers have stopped sending.

        Kept connections, and those opened before the balancer has moved the callers,
        may still carry requests for a while.

        Args:
            earliest: do not return before, on the event loop's clock.
            until: return then in any case.
        """
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            now = loop.time()
            quiet = now - self._last_arrival >= QUIET_PERIOD_S and not self.running
            if now >= earliest and quiet:
                return
            await asyncio.sleep(QUIET_POLL_INTERVAL_S)

    def application(self) -> web.Application:
        """Return the application that serves all paths."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_route("*", "/{path:.*}", self.handle)
        return application

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one request."""
        number = next(self._numbers)
        self._last_arrival = asyncio.get_running_loop().time()
        id = request.headers.get(self._dialect.headers.request, "")
        running = RunningRequest(id, request.raw_path, self._last_arrival)
        self._running_by_number[number] = running
        try:
            return await self._handle(request)
        finally:
            del self._running_by_number[number]

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        arrived = asyncio.get_running_loop().time()
        table = self._configuration.table
        if table is None:
            log.info(
                "request refused",
                request=request.headers.get(self._dialect.headers.request, ""),
                reason="no configuration is known yet",
            )
            return self._refuse(
                request, 503, "no configuration is known yet", STARTING_RETRY_AFTER_S
            )
        path = request.raw_path
        paths = self._dialect.paths
        if path.startswith(paths.jobs) or path.startswith(paths.bodies):
            return await self._job_call(request)
        route = table.find(request.host, path)
        if route is None:
            log.info(
                "no route",
                request=request.headers.get(self._dialect.headers.request, ""),
                host=request.host,
                path=path,
                version=table.version,
            )
            return self._refuse(request, 404, "no route takes it")
        try:
            async with self._limits.within():
                body = await request.read()
        except TimeoutError:
            # It was not forwarded, so the caller may send it to another instance.
            return self._refuse(request, 503, "its body has not come in time")
        if route.kind == BATCH:
            return await self._job(request, route, body, arrived)
        return await self._online(request, route, body, arrived)

    async def _online(
        self, request: web.Request, route: Route, body: bytes, arrived: float
    ) -> web.StreamResponse:
        names = self._dialect.headers
        id = request.headers.get(names.request, "")
        timeout_s = min(route.timeout_s, _deadline_s(request, names.deadline))
        resume = request.headers.get(names.resume, "")
        waited_s = self._waited_s(route, request.headers.get(names.deadline, ""))
        inbound = InboundRequest(
            id=id,
            method=request.method,
            path=request.raw_path,
            headers=CIMultiDict(request.headers),
            body=body,
            route=route,
            arrived=arrived,
            deadline=min(arrived + timeout_s, self._limits.deadline),
            objective=arrived + (route.objective_s or timeout_s) - waited_s,
            resume_after=int(resume) if resume.isdigit() else 0,
        )
        reply = AiohttpReply(request, lambda: self.closing)
        self.read_peers()
        try:
            failure = await self._forwarder.forward(inbound, reply)
        except asyncio.CancelledError:
            self._metrics.requests.labels(route.kind, "left").inc()
            log.info("caller disconnected", request=id, route=route.name)
            raise
        except (ConnectionError, OSError) as error:
            self._metrics.requests.labels(route.kind, "left").inc()
            log.info(
                "caller disconnected", request=id, route=route.name, reason=str(error)
            )
            reply.abort()
            return reply.response or web.Response(status=499)
        loop = asyncio.get_running_loop()
        took_s = round(loop.time() - arrived, 4)
        if failure is None:
            assert reply.response is not None
            self._metrics.requests.labels(route.kind, "answered").inc()
            log.info(
                "request answered",
                request=id,
                route=route.name,
                status=reply.response.status,
                begun_s=reply.started_after(arrived),
                took_s=took_s,
            )
            return reply.response
        self._metrics.requests.labels(route.kind, _outcome(failure)).inc()
        log.warning(
            "request failed",
            request=id,
            route=route.name,
            reason=failure.reason,
            not_run=failure.not_run,
            begun_s=reply.started_after(arrived),
            took_s=took_s,
        )
        if reply.started:
            reply.abort()
            return reply.response
        return self._fail(request, failure)

    def _waited_s(self, route: Route, deadline_ms: str) -> float:
        """Return how long the caller has waited since its first try, in seconds."""
        if not deadline_ms.isdigit():
            return 0.0
        waits = self._waits_by_route.setdefault(route.name, CallerWaits())
        return waits.waited_s(int(deadline_ms))

    def _fail(self, request: web.Request, failure: Failure) -> web.Response:
        if failure.not_run:
            return self._refuse(request, 503, failure.reason, failure.retry_after_s)
        status = 504 if failure.timed_out else 502
        return self._refuse(request, status, failure.reason)

    async def _job(
        self, request: web.Request, route: Route, body: bytes, arrived: float
    ) -> web.StreamResponse:
        id = request.headers.get(self._dialect.headers.request, "")
        if request.method != "POST" or not JOB_ID.fullmatch(id):
            return self._refuse(request, 400, "a job is sent by POST with a plain id")
        try:
            job = self._dialect.job(body)
        except DecodeError as error:
            return self._refuse(request, 400, str(error))
        answer = await self._jobs.accept(route, request.host, id, job, arrived)
        return self._answer(request, answer.status, answer.reason, answer.retry_after_s)

    async def _job_call(self, request: web.Request) -> web.StreamResponse:
        paths = self._dialect.paths
        bodies = request.path.startswith(paths.bodies)
        id = request.path.removeprefix(paths.bodies if bodies else paths.jobs)
        handler = self._read_body if bodies else self._read_results
        if request.method == "DELETE" and not bodies:
            handler = self._cancel
        elif request.method != "GET":
            return self._refuse(request, 405, "not to be done with this path")
        return await handler(request, id)

    async def _read_results(self, request: web.Request, id: str) -> web.StreamResponse:
        position = request.query.get(self._dialect.paths.position, "0")
        wait_ms = request.headers.get(self._dialect.headers.wait, "0")
        if not position.isdigit():
            return self._refuse(request, 400, "a position is a number")
        wait_s = float(wait_ms) / 1000 if wait_ms.isdigit() else 0.0
        answer = await self._jobs.results(id, int(position), wait_s)
        if answer.page is None:
            return self._without_result(request, answer)
        return self._finish(
            request,
            web.Response(
                body=self._dialect.results(answer.page),
                content_type="application/json",
            ),
        )

    async def _read_body(self, request: web.Request, id: str) -> web.StreamResponse:
        item = request.query.get(self._dialect.paths.item, "")
        answer = await self._jobs.body(id, item)
        if answer.body is None:
            return self._without_result(request, answer)
        return self._finish(request, web.Response(body=answer.body))

    async def _cancel(self, request: web.Request, id: str) -> web.StreamResponse:
        return self._without_result(request, await self._jobs.cancel(id))

    def _without_result(self, request: web.Request, answer: JobAnswer) -> web.Response:
        if answer.status >= 400:
            log.info(
                "job call refused",
                path=request.raw_path,
                status=answer.status,
                reason=answer.reason,
            )
        return self._answer(request, answer.status, answer.reason, answer.retry_after_s)

    def _refuse(
        self, request: web.Request, status: int, reason: str, retry_after_s: float = 0.0
    ) -> web.Response:
        if status >= 500:
            self._metrics.requests.labels("own", str(status)).inc()
        return self._answer(request, status, reason, retry_after_s)

    def _answer(
        self, request: web.Request, status: int, reason: str, retry_after_s: float
    ) -> web.Response:
        response = web.json_response({"reason": reason}, status=status)
        id = request.headers.get(self._dialect.headers.request)
        if id is not None:
            response.headers[self._dialect.headers.request] = id
        if retry_after_s > 0:
            response.headers["Retry-After"] = f"{retry_after_s:.2f}"
        return self._finish(request, response)

    def _finish(self, request: web.Request, response: web.Response) -> web.Response:
        if self.closing:
            response.force_close()
            response.headers["Connection"] = "close"
        return response


def _outcome(failure: Failure) -> str:
    if failure.timed_out:
        return "timed_out"
    return "refused" if failure.not_run else "failed"


def _deadline_s(request: web.Request, name: str) -> float:
    """Return how long the caller waits, in seconds; infinite if it does not say."""
    try:
        return float(request.headers[name]) / 1000
    except (KeyError, ValueError):
        return float("inf")
