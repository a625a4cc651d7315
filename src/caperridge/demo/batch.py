"""The demo's batch jobs: sent, resent, followed, and their results checked."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import aiohttp
import orjson

from caperridge.demo.deployment import POISON, SERVICE
from caperridge.demo.tally import Tally
from caperridge.standins.engine_model import answer_text

ENDPOINT = "/v1/completions"
POLL_S = 0.25
RETRY_S = 0.3
MOST_TRIES = 60
ENDED = ("completed", "cancelled")


class BatchJob:
    """One job of a caller.

    Args:
        http: client session.
        token: of the caller.
        url: where the balancer sends the next request.
        name: of the job; also its idempotency key.
        prompts: one for each item.
        answer_tokens: length of each answer.
    """

    def __init__(
        self,
        http: aiohttp.ClientSession,
        token: str,
        url: Callable[[], str],
        name: str,
        prompts: list[str],
        answer_tokens: int,
    ) -> None:
        self.id = ""
        self.resent_ids: set[str] = set()
        self.accepted_at = 0.0
        self.ended_at = 0.0
        self.name = name
        self.prompts = prompts
        self._http = http
        self._token = token
        self._url = url
        self._answer_tokens = answer_tokens
        self._body: dict[str, Any] = {}

    async def submit(self) -> None:
        """Upload the items and have the job accepted."""
        lines: list[bytes] = []
        for number, prompt in enumerate(self.prompts):
            body = {
                "model": SERVICE,
                "prompt": prompt,
                "max_tokens": self._answer_tokens,
            }
            item = {"custom_id": str(number), "url": ENDPOINT, "body": body}
            lines.append(orjson.dumps(item))
        file = await self._call("POST", "/v1/files", upload=b"\n".join(lines))
        self._body = {
            "input_file_id": file["id"],
            "endpoint": ENDPOINT,
            "completion_window": "24h",
        }
        job = await self._create()
        self.id = job["id"]
        self.accepted_at = time.monotonic()

    async def resend(self) -> None:
        """Send the job again with the same key, as a caller does when in doubt."""
        self.resent_ids.add((await self._create())["id"])

    async def _create(self) -> Any:
        headers = {"Idempotency-Key": self.name}
        return await self._call("POST", "/v1/batches", json=self._body, headers=headers)

    async def cancel(self) -> None:
        """Cancel the job."""
        await self._call("POST", f"/v1/batches/{self.id}/cancel")

    async def status(self) -> Any:
        """Return the job as the system describes it."""
        return await self._call("GET", f"/v1/batches/{self.id}")

    async def wait(self, seconds: float) -> bool:
        """Wait until the job ended; return whether it did in time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if (await self.status())["status"] in ENDED:
                self.ended_at = time.monotonic()
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def check(self, tally: Tally) -> None:
        """Read every result and count it against what was sent."""
        results = await self._lines("-output")
        errors = await self._lines("-errors")
        tally.accepted += len(self.prompts)
        tally.doubled += len(self.resent_ids - {self.id})
        times_by_id = Counter(line["custom_id"] for line in results + errors)
        tally.doubled += sum(times - 1 for times in times_by_id.values())
        results_by_id = {line["custom_id"]: line for line in results}
        errors_by_id = {line["custom_id"]: line for line in errors}
        for number, prompt in enumerate(self.prompts):
            if POISON in prompt and str(number) in errors_by_id:
                tally.failed_items += 1
                continue
            line = results_by_id.get(str(number))
            if line is None or _text(line) != answer_text(prompt, self._answer_tokens):
                tally.lost += 1
                continue
            tally.completed += 1

    async def _lines(self, suffix: str) -> list[dict[str, Any]]:
        data = await self._call("GET", f"/v1/files/{self.id}{suffix}/content")
        return [orjson.loads(line) for line in data.splitlines()]

    async def _call(
        self, method: str, path: str, upload: bytes = b"", **arguments: Any
    ) -> Any:
        """Call until it is answered; a refusal with a reason is tried again."""
        headers = {"Authorization": f"Bearer {self._token}"}
        headers |= arguments.pop("headers", {})
        error = ""
        for _ in range(MOST_TRIES):
            if upload:
                arguments["data"] = _form(self.name, upload)
            try:
                async with self._http.request(
                    method, self._url() + path, headers=headers, **arguments
                ) as response:
                    if response.status == 200:
                        if response.content_type == "application/json":
                            return await response.json()
                        return await response.read()
                    error = await response.text()
            except (aiohttp.ClientError, TimeoutError, OSError) as failed:
                error = str(failed) or type(failed).__name__
            await asyncio.sleep(RETRY_S)
        raise RuntimeError(f"{method} {path}: {error}")


def _form(name: str, data: bytes) -> aiohttp.FormData:
    form = aiohttp.FormData()
    form.add_field("purpose", "batch")
    form.add_field("file", data, filename=f"{name}.jsonl")
    return form


def _text(line: dict[str, Any]) -> str:
    return line["response"]["body"]["choices"][0]["text"]
