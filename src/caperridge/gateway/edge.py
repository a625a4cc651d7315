"""The HTTP front end for callers: online requests, jobs, and reads of their results."""

import asyncio
import itertools
import math
from collections.abc import Callable

from aiohttp import web
from multidict import CIMultiDict

from caperridge.decisions.admission import CallerWaits
from caperridge.gateway.answer_limits import AnswerLimits
from caperridge.gateway.caller_checks import CallerChecks, Rejection
from caperridge.gateway.configuration import ConfigurationInForce
from caperridge.gateway.credentials import CredentialFilter
from caperridge.gateway.dialect import Dialect
from caperridge.gateway.forwarding import Forwarder
from caperridge.gateway.inbound import Failure, InboundRequest
from caperridge.gateway.job_calls import JobCalls
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.reply import AiohttpReply
from caperridge.gateway.responses import Responses
from caperridge.gateway.routes import BATCH, Route
from caperridge.gateway.teams import Team
from caperridge.listening.bodies import (
    BodyRefusedError,
    read_body,
    reserve_values,
)
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

# Sent while no configuration has been read yet.
STARTING_RETRY_AFTER_S = 0.5
# While draining, no request for this long means that callers use other instances.
QUIET_PERIOD_S = 0.7
QUIET_POLL_INTERVAL_S = 0.05


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
        read_peers: called before a request is placed, so that counts are up to date.

    Args:
        configuration: in force.
        forwarder: serves online requests.
        jobs: answers calls about jobs.
        checks: of callers.
        credentials: removes them from what is forwarded.
        dialect: names of headers.
        responses: to callers.
        metrics: counted into.
        limits: deadlines of answers.
    """

    def __init__(
        self,
        configuration: ConfigurationInForce,
        forwarder: Forwarder,
        jobs: JobCalls,
        checks: CallerChecks,
        credentials: CredentialFilter,
        dialect: Dialect,
        responses: Responses,
        metrics: GatewayMetrics,
        limits: AnswerLimits,
    ) -> None:
        self._configuration = configuration
        self._forwarder = forwarder
        self._jobs = jobs
        self._checks = checks
        self._credentials = credentials
        self._dialect = dialect
        self._responses = responses
        self._metrics = metrics
        self._limits = limits
        self.read_peers: Callable[[], None] = lambda: None
        self._running_by_number: dict[int, RunningRequest] = {}
        self._numbers = itertools.count()
        self._last_arrival = 0.0
        self._waits_by_route: dict[str, CallerWaits] = {}

    @property
    def closing(self) -> bool:
        """Whether the instance drains and closes connections after their answer."""
        return self._responses.closing

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
        self._responses.closing = True
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
        application = web.Application()
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
        if _head_bytes(request) > self._configuration.caller_limits().header_bytes:
            response = self._responses.refuse(request, 431, "its head is too large")
            response.force_close()
            return response
        table = self._configuration.table
        if table is None:
            log.info(
                "request refused",
                request=request.headers.get(self._dialect.headers.request, ""),
                reason="no configuration is known yet",
            )
            return self._responses.refuse(
                request, 503, "no configuration is known yet", STARTING_RETRY_AFTER_S
            )
        path = request.raw_path
        if self._jobs.takes(path):
            return await self._jobs.handle(request)
        route = table.find(request.host, path)
        if route is None:
            log.info(
                "no route",
                request=request.headers.get(self._dialect.headers.request, ""),
                host=request.host,
                path=path,
                version=table.version,
            )
            return self._responses.refuse(request, 404, "no route takes it")
        team = await self._checks.identify(request.headers, route)
        if isinstance(team, Rejection):
            log.info(
                "unknown key",
                request=request.headers.get(self._dialect.headers.request, ""),
                route=route.name,
                version=table.version,
            )
            return self._responses.reject(request, team)
        if route.kind == BATCH:
            return await self._job(request, route, arrived, team)
        return await self._within_quota(request, route, arrived, team)

    async def _read_body(
        self, request: web.Request, route: Route, arrived: float
    ) -> bytes:
        """Return the body.

        Raises:
            BodyRefusedError: it was not read to its end.
        """
        max_bytes = self._configuration.caller_limits().body_bytes
        timeout_s = min(
            route.timeout_s, _deadline_s(request, self._dialect.headers.deadline)
        )
        try:
            async with self._limits.within():
                return await read_body(request, max_bytes, arrived + timeout_s)
        except TimeoutError as error:
            reason = "its body has not come in time"
            raise BodyRefusedError(503, reason) from error

    def _refuse_body(
        self, request: web.Request, route: Route, refused: BodyRefusedError
    ) -> web.Response:
        # It was not forwarded, so the caller may send it to another instance.
        self._metrics.requests.labels(route.kind, "refused").inc()
        log.info(
            "body refused",
            request=request.headers.get(self._dialect.headers.request, ""),
            route=route.name,
            status=refused.status,
            reason=refused.reason,
        )
        response = self._responses.refuse(
            request, refused.status, refused.reason, refused.retry_after_s
        )
        response.force_close()
        return response

    async def _job(
        self, request: web.Request, route: Route, arrived: float, team: Team | None
    ) -> web.StreamResponse:
        try:
            body = await self._read_body(request, route, arrived)
            await reserve_values(request, body)
        except BodyRefusedError as refused:
            return self._refuse_body(request, route, refused)
        return await self._jobs.submit(request, route, body, arrived, team)

    async def _within_quota(
        self, request: web.Request, route: Route, arrived: float, team: Team | None
    ) -> web.StreamResponse:
        """Serve a request if its team's quota admits it."""
        id = request.headers.get(self._dialect.headers.request, "")
        over_quota = await self._checks.admit(team, route, id)
        if over_quota is not None:
            return self._responses.reject(request, over_quota)
        try:
            body = await self._read_body(request, route, arrived)
        except BodyRefusedError as refused:
            self._checks.restore(team, route)
            return self._refuse_body(request, route, refused)
        return await self._online(request, route, body, arrived, team)

    async def _online(
        self,
        request: web.Request,
        route: Route,
        body: bytes,
        arrived: float,
        team: Team | None,
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
            headers=self._headers_for_targets(request, team),
            body=body,
            route=route,
            arrived=arrived,
            deadline=min(arrived + timeout_s, self._limits.deadline),
            objective=arrived + (route.objective_s or timeout_s) - waited_s,
            resume_after=int(resume) if resume.isdigit() else 0,
            stream=request.headers.get(names.stream, ""),
            max_tokens=self._dialect.max_answer_tokens(request.headers),
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
        if failure.not_run:
            self._checks.restore(team, route)
        if reply.started:
            reply.abort()
            return reply.response
        return self._fail(request, failure)

    def _headers_for_targets(
        self, request: web.Request, team: Team | None
    ) -> CIMultiDict[str]:
        """Return the headers to forward; unchanged where no team is known."""
        table = self._configuration.table
        headers = CIMultiDict(request.headers)
        if team is None and (table is None or table.teams is None):
            return headers
        return self._credentials.headers_for(headers, team.name if team else None)

    def _waited_s(self, route: Route, deadline_ms: str) -> float:
        """Return how long the caller has waited since its first try, in seconds."""
        if not deadline_ms.isdigit():
            return 0.0
        waits = self._waits_by_route.setdefault(route.name, CallerWaits())
        return waits.waited_s(int(deadline_ms))

    def _fail(self, request: web.Request, failure: Failure) -> web.Response:
        if failure.not_run:
            return self._responses.refuse(
                request, 503, failure.reason, failure.retry_after_s
            )
        status = 504 if failure.timed_out else 502
        return self._responses.refuse(request, status, failure.reason)


def _head_bytes(request: web.Request) -> int:
    """Return the size of the head of a request; separators count as they are usual."""
    first = len(request.method) + len(request.raw_path) + len("  HTTP/1.1\r\n")
    size = first + len("\r\n")
    for name, value in request.raw_headers:
        size += len(name) + len(value) + len(": \r\n")
    return size


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
