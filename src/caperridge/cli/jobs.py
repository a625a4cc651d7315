"""Commands for callers: upload files; submit, follow, read and cancel jobs."""

import asyncio
import json
import secrets
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any, TypeVar

import aiohttp
import typer

from caperridge.cli.client import Client, RefusedCommand
from caperridge.cli.errors import (
    BAD_RESULT,
    FINDINGS,
    INTERRUPTED,
    NOT_REACHED,
    CommandError,
)

T = TypeVar("T")

POLL_S = 0.5
SUBMIT_TRIES = 5
SUBMIT_RETRY_S = 1.0
AWAY_STATUS = 503
BLOCK_BYTES = 65536
DONE = "completed"
ENDED = ("completed", "cancelled", "failed", "expired")

At = Annotated[
    str,
    typer.Option(
        "--at", envvar="CAPERRIDGE_CALLERS", help="URL of a callers' listener."
    ),
]
Token = Annotated[
    str, typer.Option("--token", envvar="CAPERRIDGE_TOKEN", help="Caller's token.")
]
Json = Annotated[bool, typer.Option("--json", help="One JSON object on stdout.")]
JobId = Annotated[str, typer.Argument(help="Id that `submit` showed.")]
Wait = Annotated[bool, typer.Option("--wait", help="Show progress until it ends.")]


def register(app: typer.Typer) -> None:
    """Add the commands of this module."""
    jobs = typer.Typer(help="Submit, follow, read and cancel batch jobs.")
    jobs.command("submit")(submit)
    jobs.command("status")(status)
    jobs.command("results")(results)
    jobs.command("cancel")(cancel)
    app.add_typer(jobs, name="jobs")
    files = typer.Typer(help="Files of batch items.")
    files.command("upload")(upload)
    app.add_typer(files, name="files")


def upload(
    file: Annotated[Path, typer.Argument(help="JSON lines, one item each.")],
    at: At,
    token: Token,
    as_json: Json = False,
) -> None:
    """Upload a file of items, as it is read."""

    async def run(client: Client) -> None:
        stored = await _upload(client, file)
        text = f"{stored['id']}: {stored['items']} items, {stored['bytes']} bytes"
        typer.echo(json.dumps(stored) if as_json else text)

    _run(at, token, run)


def submit(
    at: At,
    token: Token,
    file: Annotated[
        Path | None, typer.Argument(help="JSON lines, one item each.")
    ] = None,
    file_id: Annotated[
        str, typer.Option("--file-id", help="A file uploaded before, instead.")
    ] = "",
    endpoint: Annotated[
        str, typer.Option(help="Path that the items are for.")
    ] = "/v1/chat/completions",
    window: Annotated[str, typer.Option(help="When it is due: 1h, 12h, 24h.")] = "24h",
    key: Annotated[
        str, typer.Option(help="Idempotency key; one is made up without it.")
    ] = "",
    wait: Wait = False,
    as_json: Json = False,
) -> None:
    """Submit a job; sent again with the same file id and key it is the same job."""
    if bool(file) == bool(file_id):
        raise CommandError("give either a FILE or --file-id", FINDINGS)
    key = key or secrets.token_hex(8)

    async def run(client: Client) -> None:
        stored = file_id or (await _upload(client, file))["id"]
        again = f"jobs submit --file-id {stored} --key {key}"
        try:
            job = await _create(client, stored, endpoint, window, key)
        except asyncio.CancelledError:
            _note(f"it may have been accepted; find out with: {again}")
            raise
        except CommandError as error:
            if error.code != NOT_REACHED:
                raise
            text = f"{error}\nit may have been accepted; find out with: {again}"
            raise CommandError(text, error.code) from error
        if wait:
            _note(f"{job['id']} is accepted")
            job = await _follow(client, job["id"])
        _show(job, as_json)

    _run(at, token, run)


def status(
    job_id: JobId, at: At, token: Token, wait: Wait = False, as_json: Json = False
) -> None:
    """Show a job and how far it is."""

    async def run(client: Client) -> None:
        if wait:
            job = await _follow(client, job_id)
        else:
            job = await client.call("GET", f"/v1/batches/{_checked(job_id)}")
        _show(job, as_json)

    _run(at, token, run)


def results(
    job_id: JobId,
    at: At,
    token: Token,
    errors: Annotated[
        bool, typer.Option("--errors", help="The failed items rather than the answers.")
    ] = False,
    out: Annotated[
        Path | None, typer.Option("--out", help="A file instead of stdout.")
    ] = None,
) -> None:
    """Write a job's results so far, as JSON lines in order of its items."""

    async def run(client: Client) -> None:
        path = f"/v1/batches/{_checked(job_id)}"
        job = await client.call("GET", path)
        file = job["error_file_id" if errors else "output_file_id"]
        pieces = client.download(f"/v1/files/{file}/content")
        if out is None:
            async for piece in pieces:
                sys.stdout.buffer.write(piece)
            sys.stdout.buffer.flush()
            return
        await _save(pieces, out)

    _run(at, token, run)


def cancel(job_id: JobId, at: At, token: Token, as_json: Json = False) -> None:
    """Cancel a job; what is done stays readable."""

    async def run(client: Client) -> None:
        path = f"/v1/batches/{_checked(job_id)}/cancel"
        job = await client.call("POST", path)
        typer.echo(json.dumps(job) if as_json else _line(job))

    _run(at, token, run)


def _run(at: str, token: str, work: Callable[[Client], Awaitable[None]]) -> None:
    async def main() -> None:
        async with Client(at, token) as client:
            await work(client)

    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None


async def _upload(client: Client, file: Path) -> Any:
    try:
        source = file.open("rb")
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}", FINDINGS) from error
    with source:
        if file.is_dir() or not source.peek(1):
            raise CommandError(f"{file}: holds no item", FINDINGS)
        form = aiohttp.FormData()
        form.add_field("purpose", "batch")
        form.add_field("file", source, filename=file.name)
        return await client.call("POST", "/v1/files", data=form)


async def _create(
    client: Client, file_id: str, endpoint: str, window: str, key: str
) -> Any:
    """Have the job accepted; repeated with the same key while nobody answers."""
    body = {
        "input_file_id": file_id,
        "endpoint": endpoint,
        "completion_window": window,
    }
    headers = {"Idempotency-Key": key}
    for left in reversed(range(SUBMIT_TRIES)):
        try:
            return await client.call("POST", "/v1/batches", json=body, headers=headers)
        except RefusedCommand as refused:
            if refused.status != AWAY_STATUS or not left:
                raise
        except CommandError:
            if not left:
                raise
        await asyncio.sleep(SUBMIT_RETRY_S)
    raise AssertionError("the last try returns or raises")


async def _follow(client: Client, job_id: str) -> Any:
    """Show progress until the job ends; return it."""
    shown = ""
    path = f"/v1/batches/{_checked(job_id)}"
    try:
        while True:
            job = await client.call("GET", path)
            if job["status"] in ENDED:
                break
            if _line(job) != shown:
                shown = _line(job)
                _note(shown)
            await asyncio.sleep(POLL_S)
    except asyncio.CancelledError:
        _note(f"the job goes on; see it with: jobs status {job_id}")
        raise
    return job


async def _save(pieces: AsyncIterator[bytes], out: Path) -> None:
    try:
        with out.open("wb") as target:
            async for piece in pieces:
                target.write(piece)
    except OSError as error:
        raise CommandError(f"{out}: {error.strerror}", FINDINGS) from error


def _show(job: dict[str, Any], as_json: bool) -> None:
    typer.echo(json.dumps(job) if as_json else _line(job))
    bad = job["status"] in ENDED and job["status"] != DONE
    if bad or (job["status"] == DONE and job["request_counts"]["failed"]):
        raise typer.Exit(BAD_RESULT)


def _line(job: dict[str, Any]) -> str:
    counts = job["request_counts"]
    done = counts["completed"] + counts["failed"]
    share = 100 * done // max(1, counts["total"])
    text = f"{job['id']}: {job['status']}, {done} of {counts['total']} ({share}%)"
    return text + (f", {counts['failed']} failed" if counts["failed"] else "")


def _checked(job_id: str) -> str:
    """Return ``job_id`` if it can stand in a path."""
    if not job_id.replace("_", "").replace("-", "").isalnum():
        raise CommandError(f"{job_id!r} is no id of a job", FINDINGS)
    return job_id


def _note(text: str) -> None:
    typer.echo(text, err=True)
