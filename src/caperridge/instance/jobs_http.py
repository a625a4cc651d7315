"""Files and batch jobs over HTTP, in the shape of the OpenAI API."""

import time
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

import orjson
import xxhash
from aiohttp import web
from result import Err

from caperridge import keys
from caperridge.commands.accept_file import StoredFile, accept_file
from caperridge.commands.accept_job import OtherBody, accept_job, new_job_id
from caperridge.commands.announce_job import announce_job
from caperridge.commands.cancel_job import cancel_job
from caperridge.config.model import Caller
from caperridge.decisions.chunks import LANE_ITEMS
from caperridge.decisions.job_order import expected_finish
from caperridge.decisions.jobs import CANCELLED, COMPLETED, OPEN, Job
from caperridge.instance.http_common import (
    abort,
    bad_request,
    json_body,
    json_of,
    plain_id,
    platform_refusal,
    reserve_memory,
)
from caperridge.instance.messages import JobsChanged
from caperridge.instance.plain_item_calls import PREFIX, service_path
from caperridge.listening.answers import write_pieces
from caperridge.peers.messages import JobNews
from caperridge.queries.jobs import (
    Progress,
    read_file,
    read_job,
    read_progress,
    stream_results,
)
from caperridge.refusals import Refusal, RefusedError
from caperridge.store.interface import Conflict

if TYPE_CHECKING:
    from caperridge.instance.process import Instance

COMPLETION_WINDOWS_S = {"24h": 86400.0, "12h": 43200.0, "1h": 3600.0}
ENDPOINTS = ("/v1/chat/completions", "/v1/completions")
MOST_METADATA = 16
MOST_METADATA_TEXT = 512
# A part and a line of a file, and what is on its way to the platform.
UPLOAD_BYTES = 4 * 2**20
# A part of a file or the results of a chunk, as received and as sent.
CONTENT_BYTES = 3 * 2**20
OUTPUT = "-output"
ERRORS = "-errors"
_STATES = {OPEN: "in_progress", COMPLETED: "completed", CANCELLED: "cancelled"}


class JobsHttp:
    """Handlers of files and jobs of one instance."""

    def __init__(self, instance: "Instance") -> None:
        self._instance = instance

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of files and jobs."""
        router.add_post("/v1/files", self.upload)
        router.add_get("/v1/files/{id}", self.file)
        router.add_get("/v1/files/{id}/content", self.content)
        router.add_post("/v1/batches", self.create_batch)
        router.add_get("/v1/batches/{id}", self.batch)
        router.add_post("/v1/batches/{id}/cancel", self.cancel_batch)

    async def upload(self, request: web.Request) -> web.Response:
        """Store a file of items, read as it arrives."""
        caller = self._instance.caller(request)
        if not request.content_type.startswith("multipart/"):
            raise bad_request("the file must come as multipart/form-data")
        await reserve_memory(request, UPLOAD_BYTES)
        reader = await request.multipart()
        while (part := await reader.next()) is not None:
            if part.name != "file":
                continue
            name = part.filename or "file"
            stored = await accept_file(
                self._instance.platform, caller.name, _blocks(part), name
            )
            if isinstance(stored, Err):
                raise platform_refusal(stored.err_value, "the file")
            return web.json_response(_file_body(stored.ok_value))
        raise bad_request("there is no part named file")

    async def file(self, request: web.Request) -> web.Response:
        """Describe an uploaded file."""
        caller = self._instance.caller(request)
        file = await self._file(caller, request.match_info["id"])
        return web.json_response(_file_body(file))

    async def content(self, request: web.Request) -> web.StreamResponse:
        """Stream a job's results or errors, or an uploaded file."""
        caller = self._instance.caller(request)
        file_id = request.match_info["id"]
        response = web.StreamResponse(headers={"Content-Type": "application/jsonl"})
        if not file_id.startswith("batch_"):
            return await self._uploaded(request, response, caller, file_id)
        await reserve_memory(request, CONTENT_BYTES)
        failed = file_id.endswith(ERRORS)
        job_id = file_id.removesuffix(ERRORS).removesuffix(OUTPUT)
        job = await self._job(caller, job_id)
        platform = self._instance.platform
        async with aclosing(stream_results(platform, job, failed)) as pieces:
            async for piece in pieces:
                if isinstance(piece, Err):
                    if not response.prepared:
                        raise platform_refusal(piece.err_value, "the results")
                    abort(request)
                    return response
                if not response.prepared:
                    await response.prepare(request)
                await write_pieces(response, piece.ok_value)
        if not response.prepared:
            await response.prepare(request)
        return response

    async def _uploaded(
        self,
        request: web.Request,
        response: web.StreamResponse,
        caller: Caller,
        file_id: str,
    ) -> web.StreamResponse:
        file = await self._file(caller, file_id)
        await reserve_memory(request, CONTENT_BYTES)
        for part in range(len(file.parts)):
            name = keys.file_part(file.id, part)
            data = await self._instance.platform.get_object(name)
            if isinstance(data, Err):
                if not response.prepared:
                    raise platform_refusal(data.err_value, "the file")
                abort(request)
                return response
            if not response.prepared:
                await response.prepare(request)
            await write_pieces(response, data.ok_value or b"")
        return response

    async def create_batch(self, request: web.Request) -> web.Response:
        """Accept a job; acknowledged only once it is durable."""
        caller = self._instance.caller(request)
        raw = await json_body(request)
        body = json_of(raw)
        if not isinstance(body, dict):
            raise bad_request("the body must be an object")
        _check_batch(body)
        file = await self._file(caller, str(body.get("input_file_id", "")))
        window = COMPLETION_WINDOWS_S.get(str(body.get("completion_window", "24h")))
        if window is None:
            raise bad_request(
                f"completion_window must be one of {[*COMPLETION_WINDOWS_S]}"
            )
        endpoint = str(body.get("endpoint", ENDPOINTS[0]))
        if endpoint.startswith(PREFIX):
            service = self._plain_service(caller, endpoint)
        else:
            service = await self._service_of(caller, file)
        now = time.time()
        job = Job(
            new_job_id(),
            caller.name,
            service,
            endpoint,
            file.id,
            file.items,
            LANE_ITEMS,
            due=now + window,
            created=now,
            body_digest=xxhash.xxh3_128_hexdigest(
                orjson.dumps(body, option=orjson.OPT_SORT_KEYS)
            ),
            metadata=body.get("metadata"),
        )
        key = request.headers.get("Idempotency-Key", "")
        accepted = await accept_job(self._instance.platform, job, key)
        if isinstance(accepted, Err):
            error = accepted.err_value
            if isinstance(error, OtherBody):
                text = f"this idempotency key names {error.job} with another body"
                raise RefusedError(Refusal("key_reused", text, 409))
            raise platform_refusal(error, "the job")
        await self._announce(accepted.ok_value.id, OPEN)
        self._instance.dispatcher.tell(JobsChanged())
        return await self._changed_response(accepted.ok_value)

    def _plain_service(self, caller: Caller, endpoint: str) -> str:
        found = service_path(endpoint)
        if found is None:
            raise bad_request(f"endpoint must be {PREFIX}NAME/ of a plain service")
        name = found.service
        service = self._instance.configuration.current.services_by_name.get(name)
        if service is None or service.kind != "plain" or not caller.may_use(name):
            text = f"there is no service {name!r} for this caller"
            raise RefusedError(Refusal("service_not_found", text, 404))
        return name

    async def _service_of(self, caller: Caller, file: StoredFile) -> str:
        platform = self._instance.platform
        data = await platform.get_object(keys.file_part(file.id, 0))
        if isinstance(data, Err):
            raise platform_refusal(data.err_value, "the job")
        item = orjson.loads((data.ok_value or b"").split(b"\n", 1)[0])
        model = str(item["body"].get("model", ""))
        service = self._instance.configuration.current.service_for_model(model)
        if service is None or not caller.may_use(service.name):
            text = f"there is no model {model!r} for this caller"
            raise RefusedError(Refusal("model_not_found", text, 404))
        return service.name

    async def batch(self, request: web.Request) -> web.Response:
        """Describe a job and its progress."""
        job = await self._job(self._instance.caller(request), request.match_info["id"])
        return await self._batch_response(job)

    async def cancel_batch(self, request: web.Request) -> web.Response:
        """Cancel a job."""
        caller = self._instance.caller(request)
        job = await self._job(caller, request.match_info["id"])
        now = time.time()
        outcome = await cancel_job(self._instance.platform, job.id, now)
        if isinstance(outcome, Err) and not isinstance(outcome.err_value, Conflict):
            raise platform_refusal(outcome.err_value, "the cancel")
        self._instance.dispatcher.tell(JobsChanged(cancelled=job.id))
        await self._announce(job.id, CANCELLED)
        if isinstance(outcome, Err):
            return await self._batch_response(await self._job(caller, job.id))
        if job.state == OPEN:
            job = job.replace(state=CANCELLED, ended=now)
        return await self._changed_response(job)

    async def _announce(self, job_id: str, state: str) -> None:
        """Spread the news; the next scan finds what does not arrive."""
        self._instance.peers.send_all(JobNews(job_id, state))
        await announce_job(self._instance.platform, job_id, state)

    async def _file(self, caller: Caller, file_id: str) -> StoredFile:
        file = await read_file(self._instance.platform, plain_id(file_id))
        if isinstance(file, Err):
            raise platform_refusal(file.err_value, "the file")
        if file.ok_value is None or file.ok_value.caller != caller.name:
            raise RefusedError(Refusal("file_not_found", "there is no such file", 404))
        return file.ok_value

    async def _job(self, caller: Caller, job_id: str) -> Job:
        job = await read_job(self._instance.platform, plain_id(job_id))
        if isinstance(job, Err):
            raise platform_refusal(job.err_value, "the job")
        if job.ok_value is None or job.ok_value.caller != caller.name:
            raise RefusedError(Refusal("job_not_found", "there is no such job", 404))
        return job.ok_value

    async def _batch_response(self, job: Job) -> web.Response:
        progress = await read_progress(self._instance.platform, job)
        if isinstance(progress, Err):
            raise platform_refusal(progress.err_value, "the progress")
        return self._described(job, progress.ok_value)

    async def _changed_response(self, job: Job) -> web.Response:
        """Describe a job that was just accepted or cancelled.

        A platform that goes away now must not turn what took effect into a refusal;
        the counts are left out then.
        """
        progress = await read_progress(self._instance.platform, job)
        return self._described(job, progress.ok())

    def _described(self, job: Job, done: Progress | None) -> web.Response:
        ended = done.completed + done.failed if done is not None else 0
        counts = None
        if done is not None:
            counts = {
                "total": job.items,
                "completed": done.completed,
                "failed": done.failed,
            }
        body = {
            "id": job.id,
            "object": "batch",
            "endpoint": job.endpoint,
            "input_file_id": job.file,
            "completion_window": f"{round((job.due - job.created) / 3600)}h",
            "status": _STATES[job.state],
            "output_file_id": job.id + OUTPUT,
            "error_file_id": job.id + ERRORS,
            "created_at": int(job.created),
            "expires_at": int(job.due),
            "completed_at": int(job.ended) if job.state == COMPLETED else None,
            "cancelled_at": int(job.ended) if job.state == CANCELLED else None,
            "request_counts": counts,
            "metadata": job.metadata,
            "waiting_because": self._instance.dispatcher.why(job.id)
            if job.state == OPEN
            else None,
            "expected_finish_at": expected_finish(job, ended, time.time())
            if job.state == OPEN
            else None,
        }
        return web.json_response(body)


def _check_batch(body: dict[str, Any]) -> None:
    """Refuse an endpoint that is none of ours, and metadata without measure."""
    endpoint = str(body.get("endpoint", ENDPOINTS[0]))
    if endpoint not in ENDPOINTS and not endpoint.startswith(PREFIX):
        # It becomes part of a URL, so nothing else may pass.
        text = f"endpoint must be one of {[*ENDPOINTS]}, or {PREFIX}NAME/"
        raise bad_request(text)
    metadata = body.get("metadata") or {}
    if not isinstance(metadata, dict) or len(metadata) > MOST_METADATA:
        raise bad_request(f"metadata must be an object of up to {MOST_METADATA} fields")
    for value in (*metadata.keys(), *metadata.values()):
        if not isinstance(value, str) or len(value) > MOST_METADATA_TEXT:
            text = f"must be texts of up to {MOST_METADATA_TEXT} characters"
            raise bad_request(f"metadata's fields {text}")


def _file_body(file: StoredFile) -> dict[str, Any]:
    return {
        "id": file.id,
        "object": "file",
        "bytes": file.bytes,
        "created_at": int(file.created),
        "filename": f"{file.id}.jsonl",
        "purpose": "batch",
        "status": "processed",
        "items": file.items,
    }


async def _blocks(part: Any) -> AsyncIterator[bytes]:
    while block := await part.read_chunk(65536):
        yield bytes(block)
