"""A small deployment on loopback: real instances before stand-ins in this process."""

import asyncio
import itertools
import os
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from runner import Runner
from store import Store

ROOT = Path(__file__).resolve().parents[1]
ZONES = ("a", "b", "c")
HOST = "calls.example"
READY_WITHIN_S = 30.0
MAX_CASE_S = 110.0
LAPSE_S = 3 * 1.2  # three heartbeats
_hosts = itertools.count(1)

SETTINGS = """\
[instance]
id = "{id}"
availability_zone = "{zone}"
metrics_port = 0
[listen]
callers = "{callers}"
ready = "{ready}"
peers = "{peers}"
[peers]
seeds = [{seeds}]
[store]
address = "{store}"
row_bytes = 65536
object_bytes = 8388608
[stopping]
grace_s = 8
[jobs]
kept_s = 120
"""


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Lines of what was sent, answered and run, with times since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line."""
        moment = (time.monotonic() if at is None else at) - self._start
        self._file.write(f"{moment:8.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Instance:
    """One instance of the project, as a process of its own."""

    def __init__(self, id: str, zone: str, folder: Path) -> None:
        self.id = id
        self.zone = zone
        self.callers, self.ready, self.peers = (free_address() for _ in range(3))
        self.process: subprocess.Popen[bytes] | None = None
        self._folder = folder

    def start(self, seeds: list[str], store: str) -> None:
        """Start the process with the command of the deploy file."""
        settings = self._folder / f"{self.id}.toml"
        settings.write_text(
            SETTINGS.format(
                id=self.id,
                zone=self.zone,
                callers=self.callers,
                ready=self.ready,
                peers=self.peers,
                seeds=", ".join(f'"{seed}"' for seed in seeds),
                store=store,
            )
        )
        kept = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        with (self._folder / f"{self.id}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "deploy/instance.py"],
                cwd=ROOT,
                env=kept
                | {
                    "CAPERRIDGE_CONFIG": str(settings),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "SSL_CERT_FILE": "/dev/null",
                    "SSL_CERT_DIR": "/dev/null",
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Signal the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Town:
    """The store, the runners and the instances of one case.

    Args:
        instances: how many.
        runners: how many.
        slots: of each runner.
        event_s: pause between two events of an answer.
        lengths: least and most events of an answer, by the first part of its path.
        routes: of the configuration.
    """

    def __init__(
        self,
        instances: int,
        runners: int,
        slots: int,
        event_s: float,
        lengths: dict[str, tuple[int, int]],
        routes: list[dict[str, Any]],
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        folder = Path(self._folder.name)
        self.store = Store()
        self.runners = [
            Runner(f"r-{number}", ZONES[number % 3], slots, event_s)
            for number in range(runners)
        ]
        for runner in self.runners:
            runner.lengths = lengths
        self.instances = [
            Instance(f"front-{number}", ZONES[number % 3], folder)
            for number in range(instances)
        ]
        self.store_address = ""
        self._routes = routes
        self._sites: list[web.AppRunner] = []
        self._site_by_runner: dict[str, web.AppRunner] = {}

    async def start(self) -> None:
        """Start everything and wait until every instance is ready."""
        self.store_address = await self._serve(self.store.application())
        self.store.put("op", "config", configuration(1, self._routes))
        for runner in self.runners:
            await self._start_runner(runner)
        for one in self.instances:
            self.start_instance(one)
        async with aiohttp.ClientSession() as session:
            until = time.monotonic() + READY_WITHIN_S
            for one in self.instances:
                while not await _is_ready(session, one.ready):
                    if time.monotonic() > until:
                        raise CaseError(f"{one.id} is not ready")
                    await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)  # all peers are connected

    async def _start_runner(self, runner: Runner) -> None:
        address = await self._serve(runner.application())
        self._site_by_runner[runner.id] = self._sites[-1]
        self.store.put("servers", runner.id, runner.entry(address))

    async def crash_runner(self, runner: Runner, for_s: float) -> Runner:
        """Crash a runner without notice; return the one that starts in its place.

        Its entry goes after three heartbeats of silence, as nobody writes it any more.
        """
        site = self._site_by_runner.pop(runner.id)
        for one in list(site.sites):
            await one.stop()
        runner.crash()
        loop = asyncio.get_running_loop()
        loop.call_later(LAPSE_S, self.store.remove, "servers", runner.id)
        await asyncio.sleep(for_s)
        again = Runner(f"{runner.id}x", runner.zone, runner.slots, runner.event_s)
        again.lengths = runner.lengths
        self.runners.append(again)
        await self._start_runner(again)
        return again

    def start_instance(self, one: Instance) -> None:
        """Start an instance, for the first time or again."""
        seeds = [other.peers for other in self.instances[:3]]
        one.start(seeds, self.store_address)

    async def stop(self) -> None:
        """End all processes and servers."""
        for one in self.instances:
            one.kill()
        for site in self._sites:
            await site.cleanup()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in Path(self._folder.name).glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()

    async def _serve(self, application: web.Application) -> str:
        site = web.AppRunner(application, handler_cancellation=True, shutdown_timeout=0)
        await site.setup()
        await web.TCPSite(site, "127.0.0.1", 0, backlog=1024).start()
        self._sites.append(site)
        return f"127.0.0.1:{site.addresses[0][1]}"


def run_case(case: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Run a case and return its exit code; 2 if it is ended early or takes too long.

    A case that is told to end still stops all that it has started.
    """
    return asyncio.run(_until_told(case))


async def _until_told(case: Callable[[], Coroutine[Any, Any, int]]) -> int:
    loop = asyncio.get_running_loop()
    task = loop.create_task(case())
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(MAX_CASE_S):
            return await task
    except (asyncio.CancelledError, TimeoutError):
        return 2


def route(name: str, **changes: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    fields: dict[str, Any] = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": "streaming",
        "timeoutMs": 5000,
        "targetLatencyMs": 300,
        "priority": 0,
        "service": "model",
        "maxAttempts": 1,
        "resumable": False,
        "gapTargetMs": 200,
    }
    return fields | changes


def batch_route(name: str) -> dict[str, Any]:
    """Return a batch route like that of the small deployment."""
    return route(
        name,
        kind="batch",
        priority=2,
        maxAttempts=3,
        resumable=True,
        timeoutMs=15000,
        targetLatencyMs=400,
        runTargetMs=18000,
        retentionS=60,
        maxQueuedTokens=1_400_000,
    )


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "model", "healthPath": "/healthz", "engine": {"slots": 8}}
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def free_address() -> str:
    """Return an address of the loopback range with a port that is free now.

    The host is used by nothing else, so that no connection takes the port meanwhile.
    """
    own = os.getpid()
    host = f"127.{64 + own % 128}.{own // 128 % 256}.{next(_hosts)}"
    with socket.socket() as one:
        one.bind((host, 0))
        return f"{host}:{one.getsockname()[1]}"


async def _is_ready(session: aiohttp.ClientSession, address: str) -> bool:
    try:
        async with session.get(f"http://{address}/readyz") as answer:
            return answer.status == 200
    except aiohttp.ClientError:
        return False
