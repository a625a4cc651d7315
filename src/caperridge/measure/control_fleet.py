"""Several whole instances in one process, for measuring what control costs each."""

import asyncio
import random
import resource
from collections import deque
from typing import Any

from result import Ok, Result

from caperridge.instance.messages import OnlineLoad
from caperridge.instance.process import Instance
from caperridge.peers.interface import PeerListener
from caperridge.records import pack, unpack
from caperridge.settings import Settings
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import ListedMember, Platform, ReadError
from caperridge.targets.engine import EngineClient

ZONE = "zone-0"
SERVICE = "chat"
HTTP_CALL_BYTES = 340  # a small GET and its answer, by aiohttp on both sides
CONNECT_S = 15.0
SEEN = (0.2, 0.03)  # seconds to the first token and between tokens
MOST_IN_FLIGHT = 68  # 17 requests a second of 4 s each
PAGE_BYTES = resource.getpagesize()


class WirePlatform(MemoryPlatform):
    """The platform in memory, with each call's bytes counted and its list decoded.

    There is no HTTP in between: the time that the platform itself takes is not to be
    counted, and an instance's share of HTTP is small beside decoding the list.
    """

    def __init__(self, shared: MemoryPlatform) -> None:
        super().__init__(lambda: 0.0)
        self.bytes = 0
        self._shared = shared
        self._packed: tuple[int, bytes] = (0, b"")
        for name in ("transact", "read", "scan", "put_object", "get_object"):
            setattr(self, name, self._counted(name))

    def _counted(self, name: str) -> Any:
        call = getattr(self._shared, name)

        async def counted(*arguments: Any, **named: Any) -> Result[Any, Any]:
            outcome = await call(*arguments, **named)
            value = outcome.ok_value if isinstance(outcome, Ok) else outcome.err_value
            said = pack([list(arguments), named])
            self.bytes += HTTP_CALL_BYTES + len(said) + len(pack(value))
            return outcome

        return counted

    async def members(self) -> Result[list[ListedMember], ReadError]:
        """Return the list as it comes from the wire."""
        listed = self._shared.current_members()
        if self._packed[0] != id(listed[0]) + len(listed):
            self._packed = (id(listed[0]) + len(listed), pack(listed))
        data = self._packed[1]
        self.bytes += HTTP_CALL_BYTES + len(data)
        return Ok([ListedMember.from_map(fields) for fields in unpack(data)])


class QuietEngines(EngineClient):
    """Engines that report no load; each report's bytes are counted."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes = 0

    async def get(self, address: str, path: str) -> Any:
        """Return what an idle engine says."""
        self.bytes += HTTP_CALL_BYTES
        if path == "/control/load":
            return {"waiting": 0, "running": 0}
        return [] if path.startswith("/control/cache-events") else {}


class ControlFleet(PeerListener):
    """``count`` instances of one availability zone before ``runners`` targets."""

    def __init__(self, count: int, runners: int, seed: int) -> None:
        self.memory = MemoryPlatform(asyncio.get_running_loop().time)
        self.instances: list[Instance] = []
        self.platforms: list[WirePlatform] = []
        self.engines = QuietEngines()
        self._count = count
        self._active: list[deque[str]] = [deque() for _ in range(count)]
        self._connected = asyncio.Event()
        self._random = random.Random(seed)
        self._members_by_id = {
            f"runner-{n:03}": ListedMember(
                f"runner-{n:03}", "target", "127.0.0.1:9", ZONE, service=SERVICE
            )
            for n in range(runners)
        }

    async def start(self) -> None:
        """Start the instances and wait until each is connected to all others."""
        for number in range(self._count):
            name = f"entry-{number:03}"
            platform: Platform = WirePlatform(self.memory)
            self.platforms.append(platform)
            instance = Instance(
                Settings(name, ZONE, "http://none", peers_secret="measure"),
                platform,
                self.engines,
            )
            instance.target_reports.engine_services = {SERVICE}
            await instance.start()
            self.instances.append(instance)
            instance.peers.add_listener(self)
            address = str(instance.addresses_by_listener["peers"])
            member = ListedMember(name, "instance", address, ZONE)
            self._members_by_id[name] = member
        self.memory.set_members(list(self._members_by_id.values()))
        async with asyncio.timeout(CONNECT_S):
            await self._connected.wait()

    def opened(self, instance: str) -> None:
        """Note when each instance is connected to all others."""
        others = self._count - 1
        if all(len(i.peers.connected()) == others for i in self.instances):
            self._connected.set()

    async def stop(self) -> None:
        """End every instance."""
        for instance in self.instances:
            await instance.stop()

    def bytes_so_far(self) -> int:
        """Return the bytes of the peer streams, in and out, of platform and targets."""
        total = self.engines.bytes
        total += sum(platform.bytes for platform in self.platforms)
        for instance in self.instances:
            for stream in instance.state()["peers"]["streams_by_id"].values():
                total += stream["bytes_in"] + stream["bytes_out"]
        return total

    async def change(
        self, seconds: float, news_per_s: float, lists_per_s: float
    ) -> None:
        """Make online load and the list of members change for ``seconds``.

        Args:
            seconds: how long.
            news_per_s: changes of online load a second of each instance.
            lists_per_s: changes of the list a second.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        runners = [i for i, m in self._members_by_id.items() if m.kind == "target"]
        pause_s = 0.05
        news_due = lists_due = 0.0
        while loop.time() < end:
            news_due += news_per_s * pause_s
            lists_due += lists_per_s * pause_s
            while news_due >= 1 and runners:
                news_due -= 1
                for instance, active in zip(self.instances, self._active, strict=True):
                    self._start_or_end(instance, active, runners)
            if lists_due >= 1 and runners:
                lists_due -= 1
                self._replace_one(self._random.choice(runners))
            await asyncio.sleep(pause_s)

    def _start_or_end(
        self, instance: Instance, active: deque[str], runners: list[str]
    ) -> None:
        """Start an online request at an instance, or end its oldest one."""
        book = instance.online.book
        seen = (0.0, 0.0)
        if len(active) < MOST_IN_FLIGHT:
            target = self._random.choice(runners)
            active.append(target)
            book.record_start(target)
        else:
            target = active.popleft()
            book.record_finish(target)
            seen = SEEN
        state = book.states_by_id.get(target)
        if state is not None:
            instance.online_news.changed(OnlineLoad(target, state.in_flight, *seen))

    def _replace_one(self, runner: str) -> None:
        before = self._members_by_id[runner]
        after = before.replace(incarnation=before.incarnation + 1)
        self._members_by_id[runner] = after
        self.memory.set_members(list(self._members_by_id.values()))


def rss_mb() -> float:
    """Return the resident memory of this process now."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 2**20
