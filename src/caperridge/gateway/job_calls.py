"""HTTP calls about jobs: submit, read results and bodies, cancel.

A job belongs to the team whose key it was sent with. Other teams are told that there is
no such job, whatever id they name.
"""

import functools
import re

from aiohttp import web

from caperridge.gateway.caller_checks import CallerChecks, Rejection
from caperridge.gateway.credentials import CredentialFilter
from caperridge.gateway.dialect import DecodeError, Dialect
from caperridge.gateway.jobs.edge import JobAnswer, JobsEdge
from caperridge.gateway.jobs.keys import job_of_team
from caperridge.gateway.jobs.model import JobRequest
from caperridge.gateway.responses import Responses
from caperridge.gateway.routes import Route
from caperridge.gateway.teams import Team
from caperridge.listening.answers import AnswerReads, PiecewiseResponse
from caperridge.listening.bodies import RETRY_AFTER_S, connection_of
from caperridge.log import logger

log = logger(__name__)

# A page of results, and what is received of the next result.
PAGE_BYTES = 2 * 2**20
# Job ids are part of paths, keys and object names, which have at most 200 bytes.
JOB_ID = re.compile(r"[A-Za-z0-9._~-]{1,100}")


class JobCalls:
    """Decodes calls about jobs and answers them.

    Args:
        jobs: stores and reads jobs.
        checks: of callers.
        credentials: removes them from what is stored.
        dialect: names of headers and paths.
        responses: to callers.
    """

    def __init__(
        self,
        jobs: JobsEdge,
        checks: CallerChecks,
        credentials: CredentialFilter,
        dialect: Dialect,
        responses: Responses,
    ) -> None:
        self._jobs = jobs
        self._checks = checks
        self._credentials = credentials
        self._dialect = dialect
        self._responses = responses
        self._reads = AnswerReads(PAGE_BYTES)

    def takes(self, path: str) -> bool:
        """Whether a call to ``path`` is about a job."""
        paths = self._dialect.paths
        return path.startswith(paths.jobs) or path.startswith(paths.bodies)

    async def submit(
        self,
        request: web.Request,
        route: Route,
        body: bytes,
        arrived: float,
        team: Team | None,
    ) -> web.StreamResponse:
        """Accept a job on a batch route."""
        id = request.headers.get(self._dialect.headers.request, "")
        if request.method != "POST" or not JOB_ID.fullmatch(id):
            return self._responses.refuse(
                request, 400, "a job is sent by POST with a plain id"
            )
        try:
            job = self._dialect.job(body)
        except DecodeError as error:
            return self._responses.refuse(request, 400, str(error))
        name = ""
        if team is not None:
            name = team.name
            job = self._without_credentials(job)
        answer = await self._jobs.accept(
            route, request.host, job_of_team(id, name), job, arrived, name
        )
        return self._responses.answer(
            request, answer.status, answer.reason, answer.retry_after_s
        )

    def _without_credentials(self, job: JobRequest) -> JobRequest:
        return JobRequest(
            [
                item.replace(headers=self._credentials.strip(item.headers))
                for item in job.items
            ]
        )

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a call about a job that was submitted before."""
        team = await self._checks.identify(request.headers, None)
        if isinstance(team, Rejection):
            return self._responses.reject(request, team)
        paths = self._dialect.paths
        bodies = request.path.startswith(paths.bodies)
        id = request.path.removeprefix(paths.bodies if bodies else paths.jobs)
        handler = self._read_body if bodies else self._read_results
        if request.method == "DELETE" and not bodies:
            handler = self._cancel
        elif request.method != "GET":
            return self._responses.refuse(request, 405, "not to be done with this path")
        if not JOB_ID.fullmatch(id):
            return self._responses.refuse(request, 404, "no such job")
        return await handler(request, job_of_team(id, team.name if team else ""))

    async def _read_results(self, request: web.Request, id: str) -> web.StreamResponse:
        position = request.query.get(self._dialect.paths.position, "0")
        wait_ms = request.headers.get(self._dialect.headers.wait, "0")
        if not position.isdigit():
            return self._responses.refuse(request, 400, "a position is a number")
        wait_s = float(wait_ms) / 1000 if wait_ms.isdigit() else 0.0
        reading = functools.partial(self._reads.reading, request)
        answer = await self._jobs.results(id, int(position), wait_s, reading)
        if answer.page is None:
            return self._without_result(request, answer)
        return self._whole(
            request, self._dialect.results(answer.page), "application/json"
        )

    async def _read_body(self, request: web.Request, id: str) -> web.StreamResponse:
        item = request.query.get(self._dialect.paths.item, "")
        answer = await self._jobs.body(id, item)
        if answer.body is None:
            return self._without_result(request, answer)
        return self._whole(request, answer.body, "application/octet-stream")

    def _whole(
        self, request: web.Request, body: bytes, content_type: str
    ) -> web.Response:
        """Return an answer with ``body``, unless too many others are not read yet."""
        connection = connection_of(request)
        if connection is not None and not connection.take_answer(len(body)):
            return self._responses.refuse(
                request, 503, "no memory is left for the answer", RETRY_AFTER_S
            )
        response = PiecewiseResponse(body=body, content_type=content_type)
        return self._responses.finish(request, response)

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
        return self._responses.answer(
            request, answer.status, answer.reason, answer.retry_after_s
        )
