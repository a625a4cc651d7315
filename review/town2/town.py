"""Instances as separate processes, started as the deploy file says, and their clients.

The instances run on loopback addresses and the real clock; the store and the runners
are stand-ins in this process.
"""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

import aiohttp

from town2.runner import Runner
from town2.store import Door, Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "nony24.example"
RESTART_DELAY_S = 0.3
STARTED_WITHIN_S = 25.0
BOUNDS = {
    "graceS": 8,
    "statusS": 120,
    "settleMs": 1000,
    "contactMs": 3000,
    "cancelMs": 3000,
}


def now() -> float:
    """Return the steady clock, in seconds."""
    return time.monotonic()


class Instance:
    """One machine of the system with its process."""

    def __init__(self, id: str, zone: str, host: str, door: Door) -> None:
        self.id = id
        self.zone = zone
        self.front, self.ready, self.control = _free_addresses(host)
        self.door = door
        self.process: subprocess.Popen[bytes] | None = None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Town:
    """The whole deployment.

    Attributes:
        record: lines for ``record.txt``.
        store: the platform's store.
        instances: machines by name.
        runners: model runners.
        started_at: on the steady clock, in seconds.

    Args:
        base: second part of the loopback addresses, 1 to 250; each case has its own.
    """

    def __init__(self, base: int) -> None:
        self.record: list[str] = []
        self.store = Store()
        self.instances: dict[str, Instance] = {}
        self.runners: list[Runner] = []
        self.started_at = now()
        self._base = base
        self._folder = tempfile.TemporaryDirectory()
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._role = tomllib.load(file)["roles"]["instance"]
        self._template = (ROOT / self._role["template"]).read_text()
        self._session: aiohttp.ClientSession | None = None
        self._close_when_ended()

    def _close_when_ended(self) -> None:
        """Have the case close everything that it started when it is ended early."""
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)

    def note(self, text: str) -> None:
        """Add a line to the record, with the time since the start."""
        self.record.append(f"{now() - self.started_at:8.3f} {text}")

    @property
    def session(self) -> aiohttp.ClientSession:
        """The clients' session: a new connection for each call."""
        if self._session is None:
            connector = aiohttp.TCPConnector(force_close=True, limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session

    # The deployment.

    async def add_runner(self, id: str, zone: str, slots: int, events: Any) -> Runner:
        """Start a runner and list it in the store."""
        runner = Runner(id, zone, slots, events)
        await runner.start(f"127.{self._base}.1.{len(self.runners) + 1}")
        self.runners.append(runner)
        self.store.put("servers", id, runner.entry())
        return runner

    async def add_instance(self, id: str, zone: str) -> Instance:
        """Add a machine; its process is started by :meth:`start`."""
        number = len(self.instances) + 1
        door = await self.store.open_door(id, f"127.{self._base}.2.{number}")
        one = Instance(id, zone, f"127.{self._base}.3.{number}", door)
        self.instances[id] = one
        return one

    def start(self, one: Instance) -> None:
        """Start the process of a machine as the deploy file says."""
        others = [
            other.control for other in self.instances.values() if other is not one
        ]
        fields = {
            "node": one.id,
            "zone": one.zone,
            "listen": {"front": one.front, "ready": one.ready, "control": one.control},
            "seeds": others[:3],
            "platform": {
                "address": one.door.address,
                "rowBytes": 65536,
                "blobBytes": 8388608,
            },
            "bounds": BOUNDS,
        }
        text = _fill(self._template, fields)
        # All machines share one host here, so the port of the metrics is left out.
        text = re.sub(r"(?m)^metrics_port = .*$", "metrics_port = 0", text)
        settings = Path(self._folder.name) / f"{one.id}.toml"
        settings.write_text(text)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= self._role.get("env", {})
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CAPERRIDGE_CONFIG": str(settings),
        }
        log = (Path(self._folder.name) / f"{one.id}.log").open("ab")
        one.process = subprocess.Popen(
            self._role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.note(f"{one.id} started, process {one.process.pid}")

    async def start_all(self) -> None:
        """Start all processes and wait until they are ready and know each other."""
        for one in self.instances.values():
            self.start(one)
        for one in self.instances.values():
            await self.wait_ready(one, STARTED_WITHIN_S)
        await asyncio.sleep(2.0)
        self.note("all are ready")

    async def wait_ready(self, one: Instance, within_s: float) -> None:
        """Wait until a machine answers 200 at its ready address."""
        async with asyncio.timeout(within_s):
            while True:
                try:
                    async with self.session.get(f"http://{one.ready}/readyz") as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.02)

    async def kill_and_restart(self, one: Instance) -> None:
        """Kill a process; the platform starts it again after a short delay."""
        self.note(f"{one.id} killed")
        one.signal(signal.SIGKILL)
        assert one.process is not None
        await asyncio.to_thread(one.process.wait)
        await asyncio.sleep(RESTART_DELAY_S)
        self.start(one)

    def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a configuration as the operator does."""
        self.store.put(
            "op",
            "config",
            {
                "version": version,
                "routes": routes,
                "services": [{"name": "calor-llm", "healthPath": "/healthz"}],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 4194304,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            },
        )

    async def close(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for one in self.instances.values():
            one.signal(signal.SIGCONT)
            one.signal(signal.SIGKILL)
            if one.process is not None:
                await asyncio.to_thread(one.process.wait)
        if self._session is not None:
            await self._session.close()
        for runner in self.runners:
            await runner.stop()
        await self.store.close()
        keep = os.environ.get("KEEP_LOGS", "")
        for path in Path(self._folder.name).glob("*.log"):
            if keep:
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()

    # Clients.

    async def call(
        self,
        one: Instance,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: Any = None,
        timeout_s: float = 5.0,
    ) -> tuple[int, bytes]:
        """Make one call about a batch job; status 0 if there was no answer."""
        data = json.dumps(body).encode() if body is not None else None
        try:
            async with self.session.request(
                method,
                f"http://{one.front}{path}",
                headers={"Host": HOST, "Content-Type": "application/json"}
                | (headers or {}),
                data=data,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as answer:
                return answer.status, await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""


def _fill(template: str, fields: dict[str, Any]) -> str:
    """Fill the gaps of a settings template as DEPLOY.md says."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def block(found: re.Match[str]) -> str:
        value = find(found[1])
        return found[2] if value not in (None, False, "", []) else ""

    text = re.sub(r"(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", block, template)
    return re.sub(
        r"\{\{([\w.]+)\|json\}\}", lambda found: json.dumps(find(found[1])), text
    )


def _free_addresses(host: str) -> list[str]:
    """Return three addresses of a loopback host with free ports."""
    probes = [socket.socket() for _ in range(3)]
    for probe in probes:
        probe.bind((host, 0))
    addresses = [f"{host}:{probe.getsockname()[1]}" for probe in probes]
    for probe in probes:
        probe.close()
    return addresses
