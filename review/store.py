"""A stand-in of the platform's store: rows, changes and objects, with its limits."""

import asyncio
import base64
import time
from typing import Any

import orjson
from aiohttp import web

MAX_ENTRIES = 100
MAX_TRANSACTION_BYTES = 2**20
ROW_BYTES = 65536
TRANSACTION_S = 0.008
CALL_S = 0.004
OBJECT_S = 0.025

Key = tuple[str, str, str]


class Store:
    """Keeps rows in memory and serves them as the pages of the platform say.

    Attributes:
        down: whether it answers every call with 503.
        events: what happened, for the record of the case.
    """

    def __init__(self) -> None:
        self.down = False
        self.events: list[dict[str, Any]] = []
        self._rows: dict[Key, tuple[bytes, int]] = {}
        self._objects: dict[str, bytes] = {}
        self._version = 0
        self._log: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._locks: dict[str, asyncio.Lock] = {}

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator or a runner does."""
        self._version += 1
        self._write((table, "", key), orjson.dumps(value))
        self._wake()

    def remove(self, table: str, key: str) -> None:
        """Remove a row as the platform does when a runner has left."""
        self._version += 1
        self._remove((table, "", key))
        self._wake()

    def application(self) -> web.Application:
        """Return the application that serves the calls of the store."""
        application = web.Application(
            client_max_size=16 * 2**20, middlewares=[self._outage]
        )
        application.add_routes(
            [
                web.post("/rows-tx", self._transact),
                web.get("/rows-get", self._read),
                web.get("/rows-feed", self._feed),
                web.put("/blob-put/{name}", self._put_object),
                web.get("/blob-get/{name}", self._get_object),
                web.delete("/blob-drop/{name}", self._drop_object),
            ]
        )
        return application

    @web.middleware
    async def _outage(self, request: web.Request, handler: Any) -> web.StreamResponse:
        if self.down:
            return web.Response(status=503)
        return await handler(request)

    async def _transact(self, request: web.Request) -> web.Response:
        data = await request.read()
        body = orjson.loads(data)
        expected, writes, removes = body["expectedRev"], body["writes"], body["remove"]
        entries = len(expected) + len(writes) + len(removes)
        refusal = ""
        if entries > MAX_ENTRIES:
            refusal = f"{entries} entries"
        elif len(data) > MAX_TRANSACTION_BYTES:
            refusal = f"{len(data)} bytes"
        elif any(len(row["value"]) > ROW_BYTES for row in writes):
            refusal = "a row is too large"
        if refusal:
            self.events.append(
                {
                    "at": time.monotonic(),
                    "what": "transaction over the limit refused",
                    "part": expected[0]["part"] if expected else "",
                    "entries": entries,
                    "conditions": len(expected),
                    "writes": len(writes),
                    "removes": len(removes),
                    "bytes": len(data),
                }
            )
            return web.Response(status=400, text=refusal)
        part = next((row.get("part", "") for row in [*expected, *writes, *removes]), "")
        async with self._locks.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TRANSACTION_S)
            if self.down:
                return web.Response(status=503)
            return self._apply(expected, writes, removes)

    def _apply(self, expected: Any, writes: Any, removes: Any) -> web.Response:
        versions = {_key(row): row["schemaVersion"] for row in expected}
        if any(self._version_of(key) != at for key, at in versions.items()):
            rows = [self._row(key) for key in versions if key in self._rows]
            return self._answer({"rows": rows}, 412)
        self._version += 1
        for row in writes:
            self._write(_key(row), base64.b64decode(row["value"]))
        for row in removes:
            self._remove(_key(row))
        self._wake()
        return self._answer({})

    async def _read(self, request: web.Request) -> web.Response:
        await asyncio.sleep(CALL_S)
        query = request.query
        limit = min(500, int(query.get("limit", 500)))
        found = sorted(
            key
            for key in self._rows
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= query.get("from", "")
            and ("targetVersion" not in query or key[2] < query["targetVersion"])
        )
        rows: list[dict[str, Any]] = []
        size = 0
        for key in found[:limit]:
            row = self._row(key)
            size += len(row["value"])
            if rows and size > 2**20:
                break
            rows.append(row)
        return self._answer({"rows": rows, "truncated": len(rows) < len(found)})

    async def _feed(self, request: web.Request) -> web.Response:
        since = int(request.query["sinceRev"])
        table = request.query["table"]
        until = time.monotonic() + int(request.query.get("waitMs", 0)) / 1000
        while True:
            rows = [row for at, row in self._log if at > since]
            rows = [row for row in rows if row["table"] == table]
            remaining_s = until - time.monotonic()
            if self.down:
                return web.Response(status=503)
            if rows or remaining_s <= 0:
                return self._answer({"rows": rows})
            changed = self._changed
            try:
                async with asyncio.timeout(min(remaining_s, 0.1)):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _put_object(self, request: web.Request) -> web.Response:
        data = await request.read()
        await asyncio.sleep(OBJECT_S)
        if self.down:
            return web.Response(status=503)
        self._objects[request.match_info["name"]] = data
        return web.Response()

    async def _get_object(self, request: web.Request) -> web.Response:
        await asyncio.sleep(OBJECT_S)
        data = self._objects.get(request.match_info["name"])
        return web.Response(status=404) if data is None else web.Response(body=data)

    async def _drop_object(self, request: web.Request) -> web.Response:
        self._objects.pop(request.match_info["name"], None)
        return web.Response()

    def _answer(self, fields: dict[str, Any], status: int = 200) -> web.Response:
        times = {"schemaVersion": self._version, "nowMs": time.monotonic() * 1000}
        return web.Response(
            status=status,
            body=orjson.dumps(fields | times),
            content_type="application/json",
        )

    def _version_of(self, key: Key) -> int:
        return self._rows[key][1] if key in self._rows else 0

    def _row(self, key: Key) -> dict[str, Any]:
        value, version = self._rows[key]
        table, part, name = key
        encoded = base64.b64encode(value).decode()
        return {
            "table": table,
            "part": part,
            "key": name,
            "value": encoded,
            "schemaVersion": version,
        }

    def _write(self, key: Key, value: bytes) -> None:
        self._rows[key] = (value, self._version)
        self._log.append((self._version, self._row(key)))

    def _remove(self, key: Key) -> None:
        if self._rows.pop(key, None) is None:
            return
        table, part, name = key
        row = {"table": table, "part": part, "key": name, "removed": True}
        self._log.append((self._version, row | {"schemaVersion": self._version}))

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def _key(row: dict[str, Any]) -> Key:
    return row["table"], row.get("part", ""), row["key"]
