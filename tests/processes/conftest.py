"""Real processes: stand-ins and instances, started, frozen and killed by id."""

import asyncio
import contextlib
import json
import signal
import ssl
import sys
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import aiohttp
import orjson
import pytest

from caperridge.keys import token_digest
from conftest import CALLER, DECLARATION, OPERATOR

PATIENCE_S = 30.0
BEARER = {"Authorization": f"Bearer {CALLER}"}


class Running:
    """One process, its log lines, and where it listens."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.lines: list[str] = []
        self.addresses_by_listener: dict[str, str] = {}
        self.reader = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        async for line in self.process.stderr:
            self.lines.append(line.decode())

    def logged(self, message: str) -> list[dict[str, Any]]:
        """Return the log lines with this message."""
        records = [json.loads(line) for line in self.lines if line.startswith("{")]
        return [record for record in records if record["message"] == message]

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    async def kill(self) -> None:
        self.process.kill()
        await self.process.wait()


class Town:
    """Two instances before two engines and a plain service, all processes."""

    def __init__(
        self,
        directory: Path,
        peers: bool,
        settings: str = "",
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.settings = settings
        self.tls = tls
        self.directory = directory
        self.peers = peers
        self.all: list[Running] = []
        self.standins_by_name: dict[str, str] = {}
        self.running_by_name: dict[str, Running] = {}
        self.http: aiohttp.ClientSession

    async def start(self, *arguments: str) -> Running:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "caperridge",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        running = Running(process)
        self.all.append(running)
        return running

    async def start_standin(self, kind: str, name: str) -> None:
        running = await self.start("standin", kind)
        line = await running.process.stdout.readline()
        self.standins_by_name[name] = line.decode().strip()
        self.running_by_name[name] = running

    async def start_instance(self, name: str) -> None:
        settings = self.directory / f"{name}.toml"
        platform = self.standins_by_name["platform"]
        (self.directory / "secret").write_text("between instances")
        peers = 'peers = { secret_file = "secret" }\n' if self.peers else ""
        settings.write_text(
            f'instance = {{ id = "{name}", availability_zone = "oviedo" }}\n'
            f'platform = {{ endpoint = "http://{platform}", deadline_s = 1.0 }}\n'
            f"{peers}"
            f'operators = {{ first_token_sha256 = "{token_digest(OPERATOR)}" }}\n'
            "lease = { seconds = 1.5 }\nstop = { drain_s = 20, balancer_s = 0.3 }\n"
            + self.settings
        )
        running = await self.start("serve", "--settings", str(settings))
        self.running_by_name[name] = running
        await self.until(lambda: running.logged("instance started"))
        started = running.logged("instance started")[0]
        for listener in ("callers", "operators"):
            running.addresses_by_listener[listener] = started[listener]
        running.addresses_by_listener["peers"] = started.get("peers", "127.0.0.1:9")

    def url(self, instance: str, listener: str = "callers") -> str:
        at = self.running_by_name[instance].addresses_by_listener[listener]
        scheme = "https" if self.tls and listener == "callers" else "http"
        return f"{scheme}://{at}"

    async def until(self, holds: Callable[[], Any]) -> Any:
        """Wait for ``holds()``, which may be a coroutine, and return what it gave."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                found = holds()
                if asyncio.iscoroutine(found):
                    found = await found
                if found:
                    return found
                await asyncio.sleep(0.03)

    async def ask(self, method: str, url: str, body: Any = None, **headers) -> Any:
        headers = BEARER | headers
        async with self.http.request(
            method, url, json=body, headers=headers, ssl=self.tls or True
        ) as response:
            data = await response.read()
            return response.status, orjson.loads(data) if data else None

    async def holder(self) -> tuple[str, str]:
        """Wait until an instance works on a chunk; return its name and the other's."""

        async def find() -> str:
            for name in ("one", "two"):
                _, state = await self.operate("/state", instance=name)
                if state["dispatcher"]["items_open_by_chunk"]:
                    return name
            return ""

        name = await self.until(find)
        return name, "two" if name == "one" else "one"

    async def operate(self, path: str, body: Any = None, instance: str = "one") -> Any:
        headers = {"Authorization": f"Bearer {OPERATOR}"}
        method = "GET" if body is None else "POST"
        return await self.ask(
            method, self.url(instance, "operators") + path, body, **headers
        )

    async def set_faults(self, standin: str, **faults: Any) -> None:
        address = self.standins_by_name[standin]
        await self.ask("PUT", f"http://{address}/standin/faults", faults)

    async def counters(self, standin: str) -> dict[str, Any]:
        address = self.standins_by_name[standin]
        return (await self.ask("GET", f"http://{address}/standin/counters"))[1]

    async def list_members(self, without: str = "") -> None:
        members = []
        for name, address in self.standins_by_name.items():
            if name == "platform":
                continue
            service = "billing" if name == "billing" else "chat"
            members.append(_member(name, "target", address, service))
        for name in ("one", "two"):
            if name not in self.running_by_name or name == without:
                continue
            at = self.running_by_name[name].addresses_by_listener["peers"]
            members.append(_member(name, "instance", at, ""))
        platform = self.standins_by_name["platform"]
        await self.ask("PUT", f"http://{platform}/standin/members", members)

    async def ready(self, instance: str) -> bool:
        url = self.url(instance, "operators") + "/readyz"
        return (await self.ask("GET", url))[0] == 200

    async def confirm(self) -> None:
        files = {"files": {"all.toml": DECLARATION}}
        _, answer = await self.operate("/intents", files)
        body = files | {"digest": answer["plan"]["digest"]}
        await self.operate("/intents/confirm", body)

    async def knows(self, instance: str) -> bool:
        status, answer = await self.ask("GET", self.url(instance) + "/v1/models")
        return status == 200 and bool(answer["data"])

    async def submit(self, instance: str, items: int, most_tokens: int) -> str:
        """Upload a file of items and return the id of its job."""
        lines = []
        for number in range(items):
            body = {"model": "chat", "prompt": f"log {number}"}
            body["max_tokens"] = most_tokens
            item = {"custom_id": f"i{number}", "url": "/v1/completions", "body": body}
            lines.append(orjson.dumps(item))
        form = aiohttp.FormData()
        form.add_field("purpose", "batch")
        form.add_field("file", b"\n".join(lines), filename="logs.jsonl")
        url = self.url(instance) + "/v1/files"
        async with self.http.post(url, data=form, headers=BEARER) as response:
            file = await response.json()
        body = {"input_file_id": file["id"], "endpoint": "/v1/completions"}
        _, job = await self.ask("POST", self.url(instance) + "/v1/batches", body)
        return job["id"]

    async def results(self, instance: str, job: str) -> list[dict[str, Any]]:
        """Wait for the job's end and return its result lines."""
        url = f"{self.url(instance)}/v1/batches/{job}"

        async def completed() -> bool:
            status, answer = await self.ask("GET", url)
            return status == 200 and answer["status"] == "completed"

        await self.until(completed)
        url = f"{self.url(instance)}/v1/files/{job}-output/content"
        async with self.http.get(url, headers=BEARER) as response:
            return [orjson.loads(line) for line in (await response.read()).splitlines()]

    async def stream(self, instance: str, prompt: str, most_tokens: int) -> "Stream":
        """Begin a streamed completion; returns once the first token is there."""
        body = {"model": "chat", "prompt": prompt, "max_tokens": most_tokens}
        response = await self.http.post(
            self.url(instance) + "/v1/completions",
            json=body | {"stream": True},
            headers=BEARER,
        )
        stream = Stream(response)
        await stream.next()
        return stream


class Stream:
    """A streamed answer as its caller reads it."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.response = response
        self.texts: list[str] = []

    async def next(self) -> bool:
        """Read one event; False at the closing mark."""
        line = b""
        while not line.startswith(b"data: "):
            line = await self.response.content.readline()
            assert line, "the stream ended without its closing mark"
        if line.startswith(b"data: [DONE]"):
            return False
        self.texts.append(orjson.loads(line[6:])["choices"][0]["text"])
        return True

    async def rest(self) -> str:
        """Read to the closing mark and return the whole text."""
        while await self.next():
            pass
        return "".join(self.texts)


def _member(name: str, kind: str, address: str, service: str) -> dict[str, Any]:
    return {
        "id": name,
        "kind": kind,
        "address": address,
        "availability_zone": "oviedo",
        "service": service,
    }


@pytest.fixture
async def town(tmp_path: Path) -> AsyncIterator[Town]:
    """A fleet of processes, configured and ready, its instances connected."""
    async with running_town(tmp_path, peers=True) as town:
        yield town


@pytest.fixture
async def listed_town(tmp_path: Path) -> AsyncIterator[Town]:
    """The same without heartbeats: an instance is gone when the list says so."""
    async with running_town(tmp_path, peers=False) as town:
        yield town


@contextlib.asynccontextmanager
async def running_town(
    directory: Path,
    peers: bool,
    settings: str = "",
    tls: ssl.SSLContext | None = None,
) -> AsyncIterator[Town]:
    """Start everything, and end what is left at the end.

    Args:
        directory: for settings.
        peers: whether instances connect to each other.
        settings: more settings of instances.
        tls: context of callers; None if they use no TLS.
    """
    town = Town(directory, peers, settings, tls)
    async with aiohttp.ClientSession() as town.http:
        try:
            await start_all(town)
            yield town
        finally:
            for running in town.all:
                if running.process.returncode is None:
                    await running.kill()
                await running.reader


async def start_all(town: Town) -> None:
    """Start stand-ins and instances, and wait until both know everything."""
    await asyncio.gather(
        town.start_standin("platform", "platform"),
        town.start_standin("engine", "runner-1"),
        town.start_standin("engine", "runner-2"),
        town.start_standin("plain", "billing"),
    )
    await town.list_members()
    await asyncio.gather(town.start_instance("one"), town.start_instance("two"))
    await town.list_members()
    for name in ("one", "two"):
        await town.until(lambda name=name: town.ready(name))
    await town.confirm()
    for name in ("one", "two"):
        await town.until(lambda name=name: town.knows(name))
