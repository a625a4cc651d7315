"""A small stand-in of the users' store, written from its published interface."""

import asyncio
import base64
import time
from typing import Any

import orjson
from aiohttp import web

ROW_FIELDS = ("table", "part", "key")
HISTORY = 10_000
MAX_ENTRIES = 100
MAX_NAME_BYTES = 200
MAX_TRANSACTION_BYTES = 1_000_000
MAX_ROWS = 500
MAX_PAGE_BYTES = 1_000_000


class StoreStandin:
    """Rows with versions from one counter, a feed of changes, and objects.

    Attributes:
        refuse: status that all calls get; None to serve them.
        lose_answers: how many of the next writes are done and not answered.
        lose_silently: a lost answer leaves its connection silent; else it is reset.
        lose_table: only writes into this table lose their answers; empty for all.
        delay_writes_s: delay of such a write.
        delay_s: delay before any call is handled.
        writes: transactions that took effect.
        row_bytes: largest value of a row, in base64.
        object_bytes: largest object.
        refused_value: transactions that write a value with these bytes are refused for
            good; empty for none.
        over_limit: what was over a limit, for each call that was refused for it.
        waits_ms: longest wait of each long poll.
        ahead_s: by how much its clock is ahead of the steady one.
    """

    def __init__(self) -> None:
        self.ahead_s = 0.0
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self.objects: dict[str, bytes] = {}
        self.version = 0
        self.refuse: int | None = None
        self.lose_answers = 0
        self.lose_table = ""
        self.lose_silently = False
        self.delay_writes_s = 0.0
        self.delay_s = 0.0
        self.writes = 0
        self.row_bytes = 65536
        self.object_bytes = 8 * 2**20
        self.refused_value = b""
        self.over_limit: list[str] = []
        self.calls: list[str] = []
        self.waits_ms: list[int] = []
        self.history_start_version = 0
        self._log: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: Any, part: str = "") -> None:
        """Write a row as an operator or a target does."""
        self.put_bytes(table, key, orjson.dumps(value), part)

    def put_bytes(self, table: str, key: str, value: bytes, part: str = "") -> None:
        """Write a row with any bytes."""
        self.version += 1
        self._write((table, part, key), value)
        self._wake()

    def remove(self, table: str, key: str, part: str = "") -> None:
        """Remove a row."""
        self.version += 1
        self._remove((table, part, key))
        self._wake()

    def expire_history(self) -> None:
        """Answer 410 to requests for changes before now."""
        self.history_start_version = self.version

    def application(self) -> web.Application:
        """Return the web application of the store."""
        application = web.Application(
            client_max_size=16 * 2**20, middlewares=[self._faults]
        )
        application.add_routes(
            [
                web.post("/rows-tx", self._tx),
                web.get("/rows-get", self._get),
                web.get("/rows-feed", self._feed),
                web.put("/blob-put/{name}", self._put_object),
                web.get("/blob-get/{name}", self._get_object),
                web.delete("/blob-drop/{name}", self._drop_object),
            ]
        )
        return application

    @web.middleware
    async def _faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        await asyncio.sleep(self.delay_s)
        self.calls.append(f"{request.method} {request.path}")
        if self.refuse is not None:
            return web.Response(status=self.refuse)
        return await handler(request)

    async def _tx(self, request: web.Request) -> web.StreamResponse:
        data = await request.read()
        body = orjson.loads(data)
        excess = self._excess(body, len(data))
        if excess:
            self.over_limit.append(excess)
            return web.Response(status=400, text=excess)
        if self._has_refused_value(body):
            return web.Response(status=400, text="the value is refused")
        tables = {row["table"] for row in body["writes"]}
        if self.lose_answers > 0 and self.lose_table in (tables | {""}):
            self.lose_answers -= 1
            if self.delay_writes_s:
                asyncio.get_running_loop().call_later(
                    self.delay_writes_s, self._apply, body
                )
            else:
                self._apply(body)
            assert request.transport is not None
            if self.lose_silently:
                await asyncio.Event().wait()
            request.transport.abort()
            return web.Response(status=500)
        return self._apply(body)

    def _excess(self, body: dict[str, Any], size: int) -> str:
        """Return which limit a transaction is over; empty if none."""
        entries = [*body["expectedRev"], *body["writes"], *body["remove"]]
        if len(entries) > MAX_ENTRIES:
            return f"{len(entries)} entries"
        if size > MAX_TRANSACTION_BYTES:
            return f"{size} bytes"
        if any(len(row["value"]) > self.row_bytes for row in body["writes"]):
            return "a value is too large"
        if any(
            len(row[name].encode()) > MAX_NAME_BYTES
            for row in entries
            for name in ROW_FIELDS
        ):
            return "a key is too long"
        return ""

    def _has_refused_value(self, body: dict[str, Any]) -> bool:
        values = [base64.b64decode(row["value"]) for row in body["writes"]]
        return bool(self.refused_value) and any(
            self.refused_value in value for value in values
        )

    def _apply(self, body: dict[str, Any]) -> web.Response:
        parts = {
            row.get("part", "")
            for row in [*body["expectedRev"], *body["writes"], *body["remove"]]
        }
        if len(parts) > 1:
            return web.Response(status=400, text="several parts")
        expected = [(_key(row), row["schemaVersion"]) for row in body["expectedRev"]]
        if any(self._version_of(key) != version for key, version in expected):
            rows = [self._row(key) for key, _ in expected if key in self.rows]
            return self._answer({"rows": rows}, 412)
        self.version += 1
        self.writes += 1
        for row in body["writes"]:
            self._write(_key(row), base64.b64decode(row["value"]))
        for row in body["remove"]:
            self._remove(_key(row))
        self._wake()
        return self._answer({})

    async def _get(self, request: web.Request) -> web.Response:
        query = request.query
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        found = sorted(
            key
            for key in self.rows
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= query.get("from", "")
            and ("targetVersion" not in query or key[2] < query["targetVersion"])
        )
        rows: list[dict[str, Any]] = []
        size = 0
        for key in found[:limit]:
            row = self._row(key)
            size += len(orjson.dumps(row))
            if rows and size > MAX_PAGE_BYTES:
                break
            rows.append(row)
        return self._answer({"rows": rows, "truncated": len(rows) < len(found)})

    async def _feed(self, request: web.Request) -> web.Response:
        since = int(request.query["sinceRev"])
        table = request.query["table"]
        wait_ms = int(request.query.get("waitMs", 0))
        self.waits_ms.append(wait_ms)
        until = time.monotonic() + wait_ms / 1000
        while True:
            if since < self.history_start_version:
                return web.Response(status=410)
            rows = [
                row for at, row in self._log if at > since and row["table"] == table
            ]
            left_s = until - time.monotonic()
            if rows or left_s <= 0 or self.refuse is not None:
                return self._answer({"rows": rows})
            self._changed.clear()
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _put_object(self, request: web.Request) -> web.Response:
        data = await request.read()
        if len(data) > self.object_bytes:
            self.over_limit.append(f"an object of {len(data)} bytes")
            return web.Response(status=413, text="the object is too large")
        self.objects[request.match_info["name"]] = data
        return web.Response()

    async def _get_object(self, request: web.Request) -> web.Response:
        data = self.objects.get(request.match_info["name"])
        return web.Response(status=404) if data is None else web.Response(body=data)

    async def _drop_object(self, request: web.Request) -> web.Response:
        self.objects.pop(request.match_info["name"], None)
        return web.Response()

    def _answer(self, fields: dict[str, Any], status: int = 200) -> web.Response:
        fields |= {
            "schemaVersion": self.version,
            "nowMs": (time.monotonic() + self.ahead_s) * 1000,
        }
        return web.Response(
            status=status,
            body=orjson.dumps(fields),
            content_type="application/json",
        )

    def _version_of(self, key: tuple[str, str, str]) -> int:
        return self.rows[key][1] if key in self.rows else 0

    def _row(self, key: tuple[str, str, str]) -> dict[str, Any]:
        value, version = self.rows[key]
        named = dict(zip(ROW_FIELDS, key, strict=True))
        encoded = base64.b64encode(value).decode()
        return {**named, "value": encoded, "schemaVersion": version}

    def _write(self, key: tuple[str, str, str], value: bytes) -> None:
        self.rows[key] = (value, self.version)
        self._log.append((self.version, self._row(key)))
        del self._log[:-HISTORY]

    def _remove(self, key: tuple[str, str, str]) -> None:
        self.rows.pop(key, None)
        named = dict(zip(ROW_FIELDS, key, strict=True))
        row = {**named, "removed": True, "schemaVersion": self.version}
        self._log.append((self.version, row))

    def _wake(self) -> None:
        self._changed.set()


def _key(row: dict[str, Any]) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]
