"""A stand-in of the platform's store: rows, feeds and objects, after PROTOCOL.md.

Every door is an address of the same store, so that one machine can be turned away
while the others are served.
"""

import asyncio
import base64
import time
from collections.abc import Callable
from typing import Any

import orjson
from aiohttp import web

READ_S = 0.004
TX_S = 0.008
BLOB_S = 0.025
MAX_ROWS = 500
MAX_PAGE_BYTES = 1_000_000
MAX_ENTRIES = 100
ROW_FIELDS = ("table", "part", "key")
Key = tuple[str, str, str]


class Door:
    """One address of the store.

    Attributes:
        name: of the machine that uses it.
        busy: whether it answers 503, which says that nothing was done.
        address: ``IP:PORT``.
        served: number of calls that were not turned away.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.busy = False
        self.address = ""
        self.served = 0


class Store:
    """The store; all of its doors share the rows.

    Attributes:
        rows: value and version by table, part and key.
        blobs: objects by name.
        on_done: called after a transaction was done and before it is answered, with
            the door and the keys that it wrote.
    """

    def __init__(self) -> None:
        self.rows: dict[Key, tuple[bytes, int]] = {}
        self.blobs: dict[str, bytes] = {}
        self.version = 0
        self.on_done: Callable[[Door, list[Key]], None] = lambda door, keys: None
        self._log: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._runners: list[web.AppRunner] = []

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator or a runner does."""
        self.version += 1
        self._write((table, "", key), orjson.dumps(value))
        self._wake()

    async def open_door(self, name: str, host: str) -> Door:
        """Listen for one machine."""
        door = Door(name)

        @web.middleware
        async def turn_away(request: web.Request, handler: Any) -> web.StreamResponse:
            if door.busy:
                return web.Response(status=503)
            door.served += 1
            request["door"] = door
            return await handler(request)

        application = web.Application(
            client_max_size=16 * 2**20, middlewares=[turn_away]
        )
        application.add_routes(
            [
                web.post("/rows-tx", self._tx),
                web.get("/rows-get", self._get),
                web.get("/rows-feed", self._feed),
                web.put("/blob-put/{name}", self._put_blob),
                web.get("/blob-get/{name}", self._get_blob),
                web.delete("/blob-drop/{name}", self._drop_blob),
            ]
        )
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, host, 0).start()
        self._runners.append(runner)
        door.address = f"{host}:{runner.addresses[0][1]}"
        return door

    async def close(self) -> None:
        """Close all doors."""
        for runner in self._runners:
            await runner.cleanup()

    async def _tx(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        await asyncio.sleep(TX_S)
        door = request["door"]
        if door.busy:
            return web.Response(status=503)
        entries = [*body["expectedRev"], *body["writes"], *body["remove"]]
        if len(entries) > MAX_ENTRIES or len({_key(one)[1] for one in entries}) > 1:
            return web.Response(status=400)
        expected = [(_key(one), one["schemaVersion"]) for one in body["expectedRev"]]
        if any(self.rows.get(key, (b"", 0))[1] != at for key, at in expected):
            rows = [self._row(key) for key, _ in expected if key in self.rows]
            return self._answer({"rows": rows}, 412)
        self.version += 1
        for one in body["writes"]:
            self._write(_key(one), base64.b64decode(one["value"]))
        for one in body["remove"]:
            self._remove(_key(one))
        self._wake()
        answer = self._answer({})
        self.on_done(door, [_key(one) for one in body["writes"]])
        return answer

    async def _get(self, request: web.Request) -> web.Response:
        await asyncio.sleep(READ_S)
        query = request.query
        place = (query["table"], query.get("part", ""))
        first, end = query.get("from", ""), query.get("targetVersion")
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        found = sorted(
            key
            for key in self.rows
            if key[:2] == place and key[2] >= first and (end is None or key[2] < end)
        )
        rows: list[dict[str, Any]] = []
        size = 0
        for key in found[:limit]:
            row = self._row(key)
            size += len(row["value"])
            if rows and size > MAX_PAGE_BYTES:
                break
            rows.append(row)
        return self._answer({"rows": rows, "truncated": len(rows) < len(found)})

    async def _feed(self, request: web.Request) -> web.Response:
        query = request.query
        since, table = int(query["sinceRev"]), query["table"]
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        await asyncio.sleep(READ_S)
        while True:
            rows = [
                row for at, row in self._log if at > since and row["table"] == table
            ]
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return self._answer({"rows": rows})
            if request["door"].busy:
                return web.Response(status=503)
            try:
                async with asyncio.timeout(min(left_s, 0.5)):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _put_blob(self, request: web.Request) -> web.Response:
        data = await request.read()
        await asyncio.sleep(BLOB_S)
        self.blobs[request.match_info["name"]] = data
        return web.Response()

    async def _get_blob(self, request: web.Request) -> web.Response:
        await asyncio.sleep(BLOB_S)
        data = self.blobs.get(request.match_info["name"])
        return web.Response(status=404) if data is None else web.Response(body=data)

    async def _drop_blob(self, request: web.Request) -> web.Response:
        await asyncio.sleep(BLOB_S)
        self.blobs.pop(request.match_info["name"], None)
        return web.Response()

    def _answer(self, fields: dict[str, Any], status: int = 200) -> web.Response:
        fields |= {"schemaVersion": self.version, "nowMs": time.monotonic() * 1000}
        return web.Response(
            status=status, body=orjson.dumps(fields), content_type="application/json"
        )

    def _row(self, key: Key) -> dict[str, Any]:
        value, version = self.rows[key]
        return {
            **dict(zip(ROW_FIELDS, key, strict=True)),
            "value": base64.b64encode(value).decode(),
            "schemaVersion": version,
        }

    def _write(self, key: Key, value: bytes) -> None:
        self.rows[key] = (value, self.version)
        self._log.append((self.version, self._row(key)))

    def _remove(self, key: Key) -> None:
        if self.rows.pop(key, None) is None:
            return
        row = dict(zip(ROW_FIELDS, key, strict=True))
        self._log.append(
            (self.version, {**row, "removed": True, "schemaVersion": self.version})
        )

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _key(row: dict[str, Any]) -> Key:
    return row["table"], row.get("part", ""), row["key"]
