"""In-memory platform with fault injection, and its HTTP server."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from aiohttp import web
from result import Err, Ok, Result
from sortedcontainers import SortedDict

from caperridge.records import pack, unpack
from caperridge.standins.platform_faults import Counters, Faults, TokenBucket
from caperridge.store.interface import (
    Committed,
    Condition,
    Conflict,
    DeleteRow,
    FieldEquals,
    ListedMember,
    NotDone,
    Platform,
    PutRow,
    ReadError,
    Row,
    RowAbsent,
    RowVersion,
    SetFields,
    Unknown,
    Write,
    WriteError,
)
from caperridge.store.wire import decode_condition, decode_write

ROWS_PER_SCAN_READ = 100  # rows that a scan returns for the cost of one read


class MemoryPlatform(Platform):
    """A platform held in memory; its clients share one object.

    Args:
        clock: returns monotonic time in seconds; tests pass a simulated clock.
        seed: seed of the random choice of lost answers.
    """

    def __init__(self, clock: Callable[[], float], seed: int = 0) -> None:
        self.faults = Faults()
        self.counters = Counters()
        self.rows_by_key: SortedDict[str, Row] = SortedDict()
        self.objects_by_name: SortedDict[str, bytes] = SortedDict()
        self._clock = clock
        self._random = random.Random(seed)
        self._writes = TokenBucket()
        self._reads = TokenBucket()
        self._lists: list[tuple[float, list[ListedMember]]] = [(float("-inf"), [])]

    def set_members(self, members: list[ListedMember]) -> None:
        """Replace the list of members; callers see it after ``faults.list_lag_s``."""
        self._lists.append((self._clock(), list(members)))

    def current_members(self) -> list[ListedMember]:
        """Return the current list of members, without the lag."""
        return list(self._lists[-1][1])

    async def transact(
        self, conditions: list[Condition], writes: list[Write], token: str
    ) -> Result[Committed, WriteError]:
        """See :meth:`Platform.transact`."""
        refusal = await self._admit(self._writes, len(writes), "writes_per_s")
        if refusal is not None:
            return Err(refusal)
        self.counters.row_writes += len(writes)
        needed = list(conditions)
        for write in writes:
            if isinstance(write, SetFields) and write.key not in self.rows_by_key:
                return Err(Conflict([write.key], {write.key: None}))
        failed = [c.key for c in needed if not self._holds(c)]
        if failed:
            rows_by_key = {key: self.rows_by_key.get(key) for key in failed}
            return Err(Conflict(failed, rows_by_key))
        for write in writes:
            self._apply(write, token)
        if self._random.random() < self.faults.lose_answers:
            return Err(Unknown("the answer was lost"))
        versions_by_key = {
            w.key: self.rows_by_key[w.key].version
            for w in writes
            if w.key in self.rows_by_key
        }
        return Ok(Committed(versions_by_key))

    async def read(self, keys: list[str]) -> Result[dict[str, Row], ReadError]:
        """See :meth:`Platform.read`."""
        refusal = await self._admit(self._reads, len(keys), "reads_per_s")
        if refusal is not None:
            return Err(refusal)
        self.counters.row_reads += len(keys)
        return Ok({k: self.rows_by_key[k] for k in keys if k in self.rows_by_key})

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], ReadError]:
        """See :meth:`Platform.scan`."""
        keys = _page(self.rows_by_key, prefix, after, limit)
        cost = 1 + len(keys) // ROWS_PER_SCAN_READ
        refusal = await self._admit(self._reads, cost, "reads_per_s")
        if refusal is not None:
            return Err(refusal)
        self.counters.row_reads += cost
        return Ok([self.rows_by_key[k] for k in keys if k in self.rows_by_key])

    async def put_object(self, name: str, data: bytes) -> Result[None, ReadError]:
        """See :meth:`Platform.put_object`."""
        refusal = await self._admit(self._writes, 1, "writes_per_s")
        if refusal is not None:
            return Err(refusal)
        self.counters.object_writes += 1
        self.objects_by_name[name] = bytes(data)
        if self._random.random() < self.faults.lose_answers:
            return Err(Unknown("the answer was lost"))
        return Ok(None)

    async def get_object(
        self, name: str, start: int = 0, length: int | None = None
    ) -> Result[bytes | None, ReadError]:
        """See :meth:`Platform.get_object`."""
        refusal = await self._admit(self._reads, 1, "reads_per_s")
        if refusal is not None:
            return Err(refusal)
        self.counters.object_reads += 1
        data = self.objects_by_name.get(name)
        if data is None:
            return Ok(None)
        return Ok(data[start:] if length is None else data[start : start + length])

    async def list_objects(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[str], ReadError]:
        """See :meth:`Platform.list_objects`."""
        refusal = await self._admit(self._reads, 1, "reads_per_s")
        if refusal is not None:
            return Err(refusal)
        self.counters.object_reads += 1
        return Ok(_page(self.objects_by_name, prefix, after, limit))

    async def delete_object(self, name: str) -> Result[None, ReadError]:
        """See :meth:`Platform.delete_object`."""
        refusal = await self._admit(self._writes, 1, "writes_per_s")
        if refusal is not None:
            return Err(refusal)
        self.counters.object_writes += 1
        self.objects_by_name.pop(name, None)
        return Ok(None)

    async def members(self) -> Result[list[ListedMember], ReadError]:
        """See :meth:`Platform.members`."""
        refusal = await self._admit(self._reads, 1, "reads_per_s")
        if refusal is not None:
            return Err(refusal)
        visible_until = self._clock() - self.faults.list_lag_s
        visible: list[ListedMember] = []
        for since, members in self._lists:
            if since <= visible_until:
                visible = members
        return Ok(list(visible))

    async def _admit(
        self, bucket: TokenBucket, cost: float, limit: str
    ) -> NotDone | None:
        """Apply the faults to one call; a returned refusal means it has no effect."""
        self.counters.calls += 1
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if self.faults.outage:
            return NotDone("the platform is out of service")
        if not bucket.take(cost, getattr(self.faults, limit), self._clock()):
            return NotDone("the platform throttles", retry_after_s=0.2)
        return None

    def _holds(self, condition: Condition) -> bool:
        row = self.rows_by_key.get(condition.key)
        if isinstance(condition, RowAbsent):
            return row is None
        if row is None:
            return False
        if isinstance(condition, RowVersion):
            return row.version == condition.version
        assert isinstance(condition, FieldEquals)
        return row.value.get(condition.field) == condition.value

    def _apply(self, write: Write, token: str) -> None:
        if isinstance(write, DeleteRow):
            self.rows_by_key.pop(write.key, None)
            return
        before = self.rows_by_key.get(write.key)
        version = before.version + 1 if before else 1
        value = dict(write.value) if isinstance(write, PutRow) else dict(write.fields)
        if isinstance(write, SetFields) and before is not None:
            value = before.value | value
        self.rows_by_key[write.key] = Row(write.key, value, version, token)


def _page(names: SortedDict, prefix: str, after: str, limit: int) -> list[str]:
    page: list[str] = []
    for name in names.irange(minimum=max(prefix, after)):
        if name == after:
            continue
        if not name.startswith(prefix) or len(page) == limit:
            break
        page.append(name)
    return page


def make_app(platform: MemoryPlatform) -> web.Application:
    """Return the HTTP application of ``platform`` that :class:`HttpPlatform` calls."""
    app = web.Application(
        client_max_size=256 * 2**20, middlewares=[_partition_middleware(platform)]
    )
    handlers = _Handlers(platform)
    app.router.add_post("/table/transact", handlers.transact)
    app.router.add_post("/table/read", handlers.read)
    app.router.add_post("/table/scan", handlers.scan)
    app.router.add_get("/objects", handlers.list_objects)
    app.router.add_put("/objects/{name:.+}", handlers.put_object)
    app.router.add_get("/objects/{name:.+}", handlers.get_object)
    app.router.add_delete("/objects/{name:.+}", handlers.delete_object)
    app.router.add_get("/members", handlers.members)
    app.router.add_put("/standin/members", handlers.set_members)
    app.router.add_put("/standin/faults", handlers.set_faults)
    app.router.add_get("/standin/counters", handlers.counters)
    return app


def _partition_middleware(platform: MemoryPlatform) -> Any:
    @web.middleware
    async def drop_cut_zones(request: web.Request, handler: Any) -> web.StreamResponse:
        faults = platform.faults
        zone = request.headers.get("X-Availability-Zone", "")
        silent = faults.outage and faults.silent
        if request.path.startswith("/standin/"):
            return await handler(request)
        if zone in faults.cut_zones or silent:
            await asyncio.sleep(3600)
        return await handler(request)

    return drop_cut_zones


class _Handlers:
    """Request handlers that call the platform."""

    def __init__(self, platform: MemoryPlatform) -> None:
        self._platform = platform

    async def transact(self, request: web.Request) -> web.Response:
        body = unpack(await request.read())
        outcome = await self._platform.transact(
            [decode_condition(c) for c in body["conditions"]],
            [decode_write(w) for w in body["writes"]],
            body["token"],
        )
        if isinstance(outcome, Err) and isinstance(outcome.err_value, Conflict):
            return _packed_response(outcome.err_value, status=409)
        return _response(outcome)

    async def read(self, request: web.Request) -> web.Response:
        body = unpack(await request.read())
        outcome = await self._platform.read(body["keys"])
        return _response(outcome.map(lambda rows: list(rows.values())))

    async def scan(self, request: web.Request) -> web.Response:
        body = unpack(await request.read())
        return _response(await self._platform.scan(**body))

    async def put_object(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        return _response(await self._platform.put_object(name, await request.read()))

    async def get_object(self, request: web.Request) -> web.Response:
        byte_range = request.http_range
        start = byte_range.start or 0
        length = None if byte_range.stop is None else byte_range.stop - start
        name = request.match_info["name"]
        outcome = await self._platform.get_object(name, start, length)
        if isinstance(outcome, Err):
            return _response(outcome)
        if outcome.ok_value is None:
            return web.Response(status=404)
        return web.Response(body=outcome.ok_value)

    async def list_objects(self, request: web.Request) -> web.Response:
        query = request.query
        outcome = await self._platform.list_objects(
            query["prefix"], query.get("after", ""), int(query.get("limit", "1000"))
        )
        return _response(outcome)

    async def delete_object(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        return _response(await self._platform.delete_object(name))

    async def members(self, _request: web.Request) -> web.Response:
        return _response(await self._platform.members())

    async def set_members(self, request: web.Request) -> web.Response:
        fields = await request.json()
        self._platform.set_members([ListedMember.from_map(m) for m in fields])
        return web.Response(status=204)

    async def set_faults(self, request: web.Request) -> web.Response:
        self._platform.faults = Faults.from_map(await request.json())
        return web.Response(status=204)

    async def counters(self, _request: web.Request) -> web.Response:
        return web.json_response(self._platform.counters.to_map())


def _packed_response(value: Any, status: int = 200) -> web.Response:
    return web.Response(body=pack(value), status=status)


def _response(outcome: Result[Any, Any]) -> web.Response:
    if isinstance(outcome, Ok):
        return _packed_response(outcome.ok_value)
    error = outcome.err_value
    if isinstance(error, Unknown):
        # The write took effect but its answer is lost: reply with status 500.
        raise web.HTTPInternalServerError(reason="answer lost")
    headers = {"Retry-After": str(error.retry_after_s)} if error.retry_after_s else {}
    return web.Response(status=503, headers=headers)
