"""An instance before plain services."""

import asyncio
import json
import time
from collections.abc import AsyncIterator

import aiohttp
import pytest
from result import Err

from caperridge.instance.process import Instance
from caperridge.keys import token_digest
from caperridge.records import Record
from caperridge.settings import Settings
from caperridge.standins import plain as plain_standin
from caperridge.standins.plain import PlainFaults, PlainService
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import ListedMember, NotDone, RowAbsent, Unknown
from caperridge.targets.plain import PlainClient
from conftest import CALLER, DECLARATION, OPERATOR, Fleet, until
from loop_clock import LoopClock

# A process that stands still for as long as the patience has not sent its call yet. So
# patience is long, and the clock is moved past it where a target hangs or is late.
PATIENT_S = 20.0
LATE_S = 30.0  # too late
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ClaimFaults(MemoryPlatform):
    """A platform whose answers to claims and records can be lost.

    ``claim`` and ``record`` are each empty, ``outage`` (nothing happens and it says
    so), ``lost`` (the effect takes place, no answer) or ``dropped`` (neither).
    """

    def __init__(self) -> None:
        super().__init__(time.monotonic)
        self.claim = ""
        self.record = ""

    async def transact(self, conditions, writes, token):
        key = writes[0].key
        first = isinstance(conditions[0], RowAbsent)
        fault = self.claim if first else self.record
        if not key.startswith("call/") or not fault:
            return await super().transact(conditions, writes, token)
        if fault == "outage":
            return Err(NotDone("out of service"))
        if fault == "lost":
            outcome = await super().transact(conditions, writes, token)
            if isinstance(outcome, Err):
                return outcome
        return Err(Unknown("no answer"))


class Rig(Fleet):
    """One instance before two targets of each plain service."""

    memory: ClaimFaults

    async def call(self, service: str, key: str = "", body: str = "9") -> "Seen":
        headers = {"Authorization": f"Bearer {CALLER}"}
        if key:
            headers["Idempotency-Key"] = key
        url = f"{self.callers_url}/services/{service}/check"
        async with self.http.post(
            url, data=body, headers=headers, allow_redirects=False
        ) as response:
            data = await response.read()
            answer = json.loads(data) if data.startswith(b"{") else {}
            error = answer.get("error", {})
            return Seen(
                response.status,
                error.get("run", ""),
                error.get("code", ""),
                answer,
                dict(response.headers),
            )

    async def call_past(self, service: str, key: str = "") -> "Seen":
        """Call; the clock is moved over the time that targets hang or are late."""
        clock = LoopClock()
        async with asyncio.TaskGroup() as group:
            calling = group.create_task(self.call(service, key))
            while not calling.done():
                await until(lambda: calling.done() or self.held, 60.0)
                await clock.ahead_until(lambda: not self.held)
        return calling.result()

    def set_faults(self, targets: str, **faults) -> None:
        """Switch faults on at ``all`` targets or the ``first`` of each service."""
        for name, service in self.plain_by_id.items():
            if targets == "all" or name.endswith("-1"):
                service.faults = PlainFaults(**faults)

    @property
    def runs(self) -> int:
        return sum(service.runs for service in self.plain_by_id.values())

    @property
    def held(self) -> int:
        """Calls that a target has run and not answered, as it hangs or is late."""
        return sum(service.held for service in self.plain_by_id.values())


class Seen(Record):
    """What a caller saw."""

    __slots__ = ("answer", "code", "headers", "run", "status")

    def __init__(self, status, run, code, answer, headers) -> None:
        self.status = status
        self.run = run
        self.code = code
        self.answer = answer
        self.headers = headers


@pytest.fixture
async def rig(listen) -> AsyncIterator[Rig]:
    """An instance, ready, with two targets for ``billing`` and two for ``lookup``."""
    rig = Rig(ClaimFaults())
    for name in ("billing-1", "billing-2", "lookup-1", "lookup-2"):
        rig.plain_by_id[name] = PlainService()
        address = await listen(plain_standin.make_app(rig.plain_by_id[name]))
        service = name.partition("-")[0]
        member = ListedMember(name, "target", address, "oviedo", service=service)
        rig.members.append(member)
    rig.memory.set_members(rig.members)
    operator = token_digest(OPERATOR)
    settings = Settings("entry-1", "oviedo", "http://unused", lease_s=5.0)
    settings.first_operator_sha256 = operator
    settings.balancer_s = 0.01
    rig.instance = Instance(settings, rig.memory)
    rig.instance.plain.client = PlainClient(PATIENT_S, connect_s=PATIENT_S)
    rig.instance.keyed_calls.record_s = 0.1
    await rig.instance.start()
    async with aiohttp.ClientSession() as rig.http:
        await until(lambda: not rig.instance.not_ready_because())
        await rig.confirm(DECLARATION)
        await until(lambda: rig.instance.configuration.current.version == 1)
        await until(lambda: rig.instance.session.left_s() > 0)
        yield rig
    await rig.instance.plain.client.close()
    await rig.instance.stop()
