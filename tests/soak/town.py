"""Instances as processes, with proxies before their store and their targets."""

import asyncio
import contextlib
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from gateway.conftest import ROUTES, SETTINGS, configuration, free_address
from gateway.runner_standin import RunnerStandin
from gateway.store_standin import StoreStandin
from soak.diary import Diary, Life, now
from soak.proxy import FaultProxy

ROOT = Path(__file__).parents[2]
STARTED_WITHIN_S = 60.0


class SoakInstance:
    """One instance, started again whenever it has ended."""

    def __init__(
        self,
        id: str,
        zone: str,
        store: FaultProxy,
        folder: Path,
        diary: Diary,
        grace_s: float,
    ) -> None:
        self.id = id
        self.zone = zone
        self.store = store
        self.callers, self.ready, self.peers = (free_address() for _ in range(3))
        self.folder = folder
        self.grace_s = grace_s
        self.process: asyncio.subprocess.Process | None = None
        self.life: Life | None = None
        self._diary = diary

    async def start(self, seeds: list[str]) -> None:
        """Start the process; its log goes to a file that outlives it."""
        settings = self.folder / f"{self.id}.toml"
        settings.write_text(
            SETTINGS.format(
                id=self.id,
                zone=self.zone,
                callers=self.callers,
                ready=self.ready,
                peers=self.peers,
                seeds=str(seeds).replace("'", '"'),
                store=self.store.address,
                grace_s=self.grace_s,
            )
        )
        with (self.folder / f"{self.id}.log").open("a") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "deploy" / "instance.py"),
                env=os.environ | {"CAPERRIDGE_CONFIG": str(settings)},
                stdout=log,
                stderr=log,
            )
        self.life = Life(self.id, now())
        self._diary.lives.append(self.life)

    async def ended(self) -> None:
        """Wait until the process has ended."""
        assert self.process is not None and self.life is not None
        self.life.code = await self.process.wait()
        self.life.ended = now()

    def send(self, number: signal.Signals) -> None:
        """Signal the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)
                if self.life is not None:
                    self._diary.signalled(self.life, number)


class Town:
    """The store, the runners and the instances of one soak.

    Attributes:
        routes: of the configuration.
        tells_starts: whether runners tell from the beginning when they started, as
            those do that may restart in place.
    """

    def __init__(
        self, folder: Path, instances: int, runners: int, slots: int, grace_s: float
    ) -> None:
        self.folder = folder
        self.diary = Diary()
        self.grace_s = grace_s
        self.store = StoreStandin()
        self.runners = [RunnerStandin(f"i-{n}", slots) for n in range(runners)]
        self.replaced_runners: list[RunnerStandin] = []
        self.instances: list[SoakInstance] = []
        self.runner_proxies: list[FaultProxy] = []
        self.version = 1
        self.routes = ROUTES
        self.tells_starts = False
        self._upstreams: list[str] = []
        self._replaced_proxies: list[FaultProxy] = []
        self._born_ms: dict[int, int] = {}
        self._count = instances
        self._sites: list[web.AppRunner] = []
        self._keepers: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start everything."""
        store = await self._serve(self.store.application())
        self.store.put("op", "config", configuration(self.version, self.routes))
        for number, runner in enumerate(self.runners):
            self._note_start(number)
            self._upstreams.append(await self._serve(runner.application()))
            proxy = FaultProxy(self._upstreams[-1])
            await proxy.start()
            self.runner_proxies.append(proxy)
            self.list_runner(number, "ready")
        for number in range(self._count):
            proxy = FaultProxy(store)
            await proxy.start()
            zone = "ab"[number % 2]
            one = SoakInstance(
                f"e-{number}", zone, proxy, self.folder, self.diary, self.grace_s
            )
            self.instances.append(one)
        loop = asyncio.get_running_loop()
        self._keepers = [loop.create_task(self._keep(one)) for one in self.instances]
        self._keepers.append(loop.create_task(self.diary.watch_itself()))

    async def ready(self) -> None:
        """Wait until every instance says that it is ready."""
        async with aiohttp.ClientSession() as session:
            async with asyncio.timeout(STARTED_WITHIN_S):
                for one in self.instances:
                    while not await _is_ready(session, one.ready):
                        await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End what this soak started, by the ids of its processes."""
        for keeper in self._keepers:
            keeper.cancel()
        await asyncio.gather(*self._keepers, return_exceptions=True)
        for one in self.instances:
            one.send(signal.SIGCONT)
            one.send(signal.SIGKILL)
            if one.process is not None:
                await one.process.wait()
            one.store.stop()
        for proxy in self.runner_proxies + self._replaced_proxies:
            proxy.stop()
        for site in self._sites:
            await site.cleanup()

    async def end_runner(self, number: int, away_s: float) -> None:
        """Close a runner's door; another life of it comes after a while."""
        self.runner_proxies[number].stop()
        self._keepers.append(asyncio.ensure_future(self._come_back(number, away_s)))

    async def _come_back(self, number: int, away_s: float) -> None:
        await asyncio.sleep(away_s)
        runner = self.runners[number]
        proxy = FaultProxy(self._upstreams[number])
        await proxy.start()
        self.runner_proxies[number] = proxy
        runner.crashed = False
        self._born_ms[number] = int(time.time() * 1000)
        self.list_runner(number, "ready")

    @property
    def all_runners(self) -> list[RunnerStandin]:
        """All runners, those that were replaced included."""
        return self.runners + self.replaced_runners

    def texts(self, stream: str) -> list[list[str]]:
        """Return what each software version writes for a stream."""
        by_version = {one.software_version: one for one in self.all_runners}
        return [runner.text(stream) for runner in by_version.values()]

    async def replace_runner(
        self, number: int, software_version: str, drain_s: float
    ) -> None:
        """Replace a runner by one of another software version, which starts first.

        Args:
            number: of the runner.
            software_version: of the new one.
            drain_s: until the old one ends; with 0 it ends without notice.
        """
        old, old_proxy = self.runners[number], self.runner_proxies[number]
        new = RunnerStandin(f"i-{number}-{software_version}", old.slots)
        new.software_version = software_version
        new.pause_s = old.pause_s
        upstream = await self._serve(new.application())
        proxy = FaultProxy(upstream)
        await proxy.start()
        if drain_s:
            self.list_runner(number, "draining")
        self.replaced_runners.append(old)
        self._replaced_proxies.append(old_proxy)
        self.runners[number] = new
        self.runner_proxies[number] = proxy
        self._upstreams[number] = upstream
        self._born_ms.pop(number, None)
        self._note_start(number)
        self.list_runner(number, "ready")
        await asyncio.sleep(drain_s)
        old_proxy.stop()
        self.store.remove("servers", old.id)

    async def restart_in_place(
        self, number: int, software_version: str
    ) -> RunnerStandin:
        """Restart a runner under its id and address; its entry stays as it is."""
        old = self.runners[number]
        new = RunnerStandin(old.id, old.slots, software_version)
        new.pause_s = old.pause_s
        self._upstreams[number] = await self._serve(new.application())
        self.replaced_runners.append(old)
        self.runners[number] = new
        self._note_start(number)
        self.runner_proxies[number].restart(self._upstreams[number])
        return new

    def _note_start(self, number: int) -> None:
        """Have a runner tell when it started, if runners do."""
        if self.tells_starts:
            born_ms = max(int(time.time() * 1000), self._born_ms.get(number, 0) + 1)
            self.runners[number].born = self._born_ms[number] = born_ms

    def list_runner(self, number: int, state: str) -> None:
        """Write a runner's entry."""
        self.store.put(
            "servers", self.runners[number].id, self.entry(number) | {"state": state}
        )

    def entry(self, number: int) -> dict[str, Any]:
        """Return a runner's entry."""
        runner = self.runners[number]
        entry = {
            "service": "model",
            "address": self.runner_proxies[number].address,
            "zone": "ab"[number % 2],
            "version": runner.software_version,
            "slots": runner.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
        }
        if number in self._born_ms:
            entry["born"] = self._born_ms[number]
        return entry

    def change_configuration(self) -> None:
        """Write the next version of the same routes."""
        self.version += 1
        self.store.put("op", "config", configuration(self.version, self.routes))

    async def _serve(self, application: web.Application) -> str:
        runner = web.AppRunner(
            application, handler_cancellation=True, shutdown_timeout=0.1
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self._sites.append(runner)
        return f"127.0.0.1:{runner.addresses[0][1]}"

    async def _keep(self, one: SoakInstance) -> None:
        """Start an instance again a little after it has ended."""
        while True:
            seeds = [other.peers for other in self.instances if other is not one]
            await one.start(seeds[:2])
            await one.ended()
            await asyncio.sleep(0.3)


async def _is_ready(session: aiohttp.ClientSession, address: str) -> bool:
    try:
        async with session.get(f"http://{address}/readyz") as answer:
            return answer.status == 200
    except aiohttp.ClientError:
        return False
