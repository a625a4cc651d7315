"""How fast a confirmed change is in force everywhere, through cuts and replacements.

Instances of three availability zones run in this process, with the platform over
HTTP. Changes are planned and confirmed at random instances over HTTP; meanwhile
instances are replaced, and one zone after the other is cut off: from the platform,
from the other zones, from both. A time counts from sending the confirm; instances of
a zone that is cut off from both count once they can be reached again, apart.
"""

import asyncio
import random
import time
import tracemalloc
from typing import Any

import aiohttp

from caperridge.config.model import Caller, Configuration
from caperridge.decisions.configuration_order import apply_delta, make_delta
from caperridge.decisions.plans import make_plan
from caperridge.instance.configuration import ConfigurationKeeper
from caperridge.instance.messages import ConfigurationApplied
from caperridge.instance.process import Instance
from caperridge.keys import token_digest
from caperridge.measure.fleet import OPERATOR, FleetShape, StandinFleet, until
from caperridge.measure.options import Options
from caperridge.measure.samples import quantile
from caperridge.queries.configuration import read_history, read_version
from caperridge.standins.platform import MemoryPlatform

ZONES = ("santander", "oviedo", "bilbao")
SIZES = (12, 24)
CHANGES = 200
LEAST_CHANGES = 60
OWN_SECONDS = 40.0  # of both fleets together
CALLERS = 40
TEAMS = 14_000
SETTLE_S = 20.0
PERIOD_S = 0.09
REPLACE_EVERY = 10  # changes
LOST_ANSWERS = 0.02


class Cut:
    """Between two numbers of changes, what a zone is cut off from."""

    __slots__ = ("end", "peers", "platform", "start", "zone")

    def __init__(
        self, start: int, end: int, zone: str, platform: bool, peers: bool
    ) -> None:
        self.start = start
        self.end = end
        self.zone = zone
        self.platform = platform
        self.peers = peers

    def scaled(self, share: float) -> "Cut":
        """Return the same cut in a run of ``share`` of the changes."""
        start, end = round(self.start * share), round(self.end * share)
        return Cut(start, end, self.zone, self.platform, self.peers)


CUTS = (
    Cut(40, 70, "santander", platform=True, peers=False),
    Cut(90, 120, "oviedo", platform=False, peers=True),
    Cut(140, 170, "bilbao", platform=True, peers=True),
)


class Applied:
    """When each version came into force where."""

    def __init__(self) -> None:
        self.at_by_instance: dict[str, dict[int, float]] = {}
        self.reverts = 0

    def watch(self, instance: Instance) -> None:
        """Note every version that comes into force in ``instance``."""
        keeper = instance.configuration
        applied = keeper._applied
        seen: dict[int, float] = {}
        self.at_by_instance[instance.settings.instance_id] = seen

        def note(message: ConfigurationApplied) -> None:
            version = message.configuration.version
            if seen and version < max(seen):
                self.reverts += 1
            seen.setdefault(version, time.monotonic())
            applied(message)

        keeper._applied = note


class Run:
    """One fleet of one size."""

    def __init__(self, size: int, seed: int, changes: int = CHANGES) -> None:
        self.fleet = StandinFleet(
            FleetShape(engines=0, instances=0, platform_by_http=True)
        )
        self.applied = Applied()
        self.cut_from_peers: set[str] = set()
        self.sent_at_by_version: dict[int, float] = {}
        self.digests_by_version: dict[int, str] = {}
        self.reachable_by_version: dict[int, list[str]] = {}
        self.retries = 0
        self.unknown = 0
        self.shares_by_caller = {f"team-{n}": 0.5 for n in range(CALLERS)}
        self._size = size
        self._changes = changes
        self._cuts = [cut.scaled(changes / CHANGES) for cut in CUTS]
        self._started = 0
        self._random = random.Random(seed)

    async def start(self) -> None:
        """Start the instances and confirm the first version."""
        await self.fleet.start()
        for number in range(self._size):
            await self._add(ZONES[number % len(ZONES)])
        instances = self.fleet.instances_by_id.values()
        await until(lambda: not any(i.not_ready_because() for i in instances), 30.0)
        await self._confirm(0)

    async def _add(self, zone: str) -> None:
        self._started += 1
        instance = await self.fleet.add_instance(f"entry-{self._started}", zone)
        self.applied.watch(instance)
        mesh = instance.mesh
        assert mesh is not None
        take = mesh.take

        def filtered(message: Any, stream: Any) -> None:
            other = stream.hello.availability_zone
            if other != zone and self.cut_from_peers & {zone, other}:
                return
            take(message, stream)

        mesh.take = filtered  # type: ignore[method-assign]

    async def _replace(self) -> None:
        name = self._random.choice(sorted(self.fleet.instances_by_id))
        zone = self.fleet.instances_by_id[name].settings.availability_zone
        await self.fleet.remove_instance(name)
        await self._add(zone)

    def _set_cuts(self, number: int) -> list[Cut]:
        cuts = [cut for cut in self._cuts if cut.start <= number < cut.end]
        self.cut_from_peers = {cut.zone for cut in cuts if cut.peers}
        faults = self.fleet.platform.faults
        faults.cut_zones = [cut.zone for cut in cuts if cut.platform]
        return cuts

    async def changes(self) -> None:
        """Make all changes, with the cuts and replacements between them."""
        replacing: asyncio.Task[None] | None = None
        for number in range(1, self._changes + 1):
            cuts = self._set_cuts(number)
            if number % REPLACE_EVERY == 0 and (replacing is None or replacing.done()):
                replacing = asyncio.create_task(self._replace())
            started = time.monotonic()
            caller = f"team-{number % CALLERS}"
            self.shares_by_caller[caller] = float(number)
            await self._confirm(number, {cut.zone for cut in cuts})
            await asyncio.sleep(max(0.0, started + PERIOD_S - time.monotonic()))
        if replacing is not None:
            await replacing
        self._set_cuts(self._changes + 1)
        newest = max(self.sent_at_by_version)
        instances = self.fleet.instances_by_id.values()
        await until(
            lambda: all(i.configuration.current.version >= newest for i in instances),
            SETTLE_S,
        )

    async def _confirm(self, number: int, cut: set[str] | None = None) -> None:
        """Plan and confirm as an operator would: again where the answer says so."""
        files = {"files": {"all.toml": self._declaration()}}
        while True:
            usable = [
                i
                for i in self.fleet.instances_by_id.values()
                if i.settings.availability_zone not in (cut or set())
                and not i.not_ready_because()
            ]
            at = self._random.choice(usable)
            sent_at = time.monotonic()
            try:
                digest = await self._ask(at, "/intents", files)
                body = files | {"digest": digest["plan"]["digest"]}
                sent_at = time.monotonic()
                answer = await self._ask(at, "/intents/confirm", body)
            except (aiohttp.ClientError, TimeoutError):
                self.unknown += 1
                continue
            if "version" not in answer:
                self.retries += 1
                continue
            version = answer["version"]
            self.sent_at_by_version[version] = sent_at
            self.digests_by_version[version] = body["digest"]
            self.reachable_by_version[version] = self._reachable(number)
            return

    async def _ask(self, at: Instance, path: str, body: Any) -> Any:
        url = f"http://{at.addresses_by_listener['operators']}{path}"
        headers = {"Authorization": f"Bearer {OPERATOR}"}
        async with self.fleet.http.post(url, json=body, headers=headers) as response:
            return await response.json()

    def _reachable(self, number: int) -> list[str]:
        """Return who is not cut off from both platform and other zones."""
        away = {
            cut.zone
            for cut in self._cuts
            if cut.start <= number < cut.end and cut.peers and cut.platform
        }
        return [
            name
            for name, instance in self.fleet.instances_by_id.items()
            if instance.settings.availability_zone not in away
            and not instance.not_ready_because()
        ]

    def _declaration(self) -> str:
        lines = [f'[operators.ana]\ntoken_sha256 = "{token_digest(OPERATOR)}"']
        for name, share in self.shares_by_caller.items():
            digest = token_digest(name)
            lines.append(
                f'[callers.{name}]\ntoken_sha256 = "{digest}"\nshare = {share}'
            )
        return "\n".join(lines)

    async def result(self) -> dict[str, Any]:
        """Return the figures of this fleet."""
        times: list[float] = []
        missing = 0
        for version, names in self.reachable_by_version.items():
            sent_at = self.sent_at_by_version[version]
            for name in names:
                seen = self.applied.at_by_instance[name]
                # A later version brings an earlier one into force as well.
                ats = [at for v, at in seen.items() if v >= version]
                if ats:
                    times.append(min(ats) - sent_at)
                elif name in self.fleet.instances_by_id:
                    missing += 1
        times.sort()
        return {
            "instances": self._size,
            "changes": len(self.sent_at_by_version) - 1,
            "in_force_p50_s": round(quantile(times, 0.5), 4),
            "in_force_p99_s": round(quantile(times, 0.99), 4),
            "in_force_max_s": round(times[-1], 4),
            "never_in_force": missing,
            "reverts": self.applied.reverts,
            "lost_changes": await self._lost(),
            "plans_refused": self.retries,
            "answers_lost": self.unknown,
        }

    async def _lost(self) -> int:
        """Return how many confirmed versions are not in the log, or not in force."""
        platform = self.fleet.platform
        newest = max(self.sent_at_by_version)
        entries = (await read_history(platform, newest, newest)).unwrap()
        plans_by_version = {entry.version: entry.plan for entry in entries}
        lost = sum(
            plans_by_version.get(version) != digest
            for version, digest in self.digests_by_version.items()
        )
        last = (await read_version(platform, newest)).unwrap()
        assert last is not None
        for instance in self.fleet.instances_by_id.values():
            lost += instance.configuration.current != last
        for name, share in self.shares_by_caller.items():
            lost += last.callers_by_name[name].share != share
        return lost


async def run(options: Options) -> dict[str, Any]:
    """Return the figures of both fleets, the worse of each above."""
    fleets: list[dict[str, Any]] = []
    share = min(1.0, options.scale(OWN_SECONDS))
    changes = max(LEAST_CHANGES, round(CHANGES * share))
    for size in SIZES:
        fleet = Run(size, options.seed, changes)
        try:
            await fleet.start()
            fleet.fleet.platform.faults.lose_answers = LOST_ANSWERS
            await fleet.changes()
            fleet.fleet.platform.faults.lose_answers = 0.0
            fleets.append(await fleet.result())
        finally:
            await fleet.fleet.stop()
    worst = ("in_force_p50_s", "in_force_p99_s", "reverts", "lost_changes")
    result: dict[str, Any] = {key: max(f[key] for f in fleets) for key in worst}
    result["fleets"] = fleets
    result["with_14000_callers"] = teams()
    return result


def teams() -> dict[str, float]:
    """Return what 14,000 callers cost one instance, in memory and per change."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    keeper = ConfigurationKeeper(MemoryPlatform(time.monotonic), lambda _: None)
    callers = {}
    for number in range(TEAMS):
        name = f"team-{number}"
        callers[name] = Caller(name, token_digest(name), ["chat"], 5.0, 1000.0)
    keeper.apply(Configuration(1, callers_by_name=callers))
    state_mb = (tracemalloc.get_traced_memory()[0] - before) / 1e6
    tracemalloc.stop()
    base = keeper.current
    changed = dict(callers)
    changed["team-7"] = changed["team-7"].replace(share=2.0)
    after = base.replace(version=2, callers_by_name=changed)
    started = time.perf_counter()
    delta = make_delta(base, after)
    delta_s = time.perf_counter() - started
    started = time.perf_counter()
    keeper.apply(apply_delta(base, delta))
    apply_s = time.perf_counter() - started
    started = time.perf_counter()
    make_plan(base, after)
    plan_s = time.perf_counter() - started
    return {
        "state_mb": round(state_mb, 2),
        "make_delta_s": round(delta_s, 4),
        "apply_delta_s": round(apply_s, 4),
        "make_plan_s": round(plan_s, 4),
    }
