"""HTTP client of the platform's store: transactional rows, changes and objects."""

import asyncio
import base64
from typing import Any

import aiohttp
import orjson
from result import Err, Ok, Result

from caperridge.answer_heads import reason_of
from caperridge.gateway.rows import (
    ChangesError,
    Done,
    HistoryGone,
    Refused,
    Rejected,
    RowKey,
    RowsRead,
    RowStore,
    StoredRow,
    StoreError,
    Transaction,
    TransactionError,
)
from caperridge.gateway.store_connections import SessionPool
from caperridge.platform.store_limits import PlatformStoreLimits
from caperridge.store.interface import NotDone, Unknown

# The store answers in 4 to 25 ms, but up to 60 times slower on bad days.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
# A long poll whose answer is overdue by this time has a dead connection.
LONG_POLL_SLACK_S = 0.7
MAX_LOGGED_BYTES = 200
# The store returns 1 MB of rows at most, and their values in base64.
MAX_ROWS_BYTES = 2 * 2**20
_NOT_DONE_STATUSES = frozenset({429, 503, 507})
# Client errors after which a repeat of the call may be done, and so may this one.
_UNKNOWN_STATUSES = frozenset({408, 425})
_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class HttpRowStore(RowStore):
    """Calls the store over this instance's own connections.

    Args:
        address: ``IP:PORT`` of the store.
        limits: of its calls.
    """

    def __init__(self, address: str, limits: PlatformStoreLimits | None = None) -> None:
        self._base = f"http://{address}"
        self._limits = limits or PlatformStoreLimits()
        self._connections = SessionPool()
        self._long_polls: set[asyncio.Task[Result[RowsRead, ChangesError]]] = set()

    async def close(self) -> None:
        """Close all connections."""
        await self._connections.close()

    @property
    def limits(self) -> PlatformStoreLimits:
        """See :attr:`RowStore.limits`."""
        return self._limits

    async def read(
        self,
        table: str,
        part: str = "",
        first: str = "",
        end: str = "",
        limit: int = 500,
    ) -> Result[RowsRead, StoreError]:
        """See :meth:`RowStore.read`."""
        query = {
            "table": table,
            "part": part,
            "limit": str(min(limit, self.limits.rows)),
        }
        if first:
            query["from"] = first
        if end:
            query["targetVersion"] = end  # the store's name for the exclusive end key
        answer = await self._call("GET", "/rows-get", query=query)
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status != 200:
            return Err(_refusal(status, body))
        return _rows(body)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Done, TransactionError]:
        """See :meth:`RowStore.transact`."""
        rejected = self.limits.check(transaction)
        if rejected is not None:
            return Err(rejected)
        request = {
            # Despite its name, this holds rows with the version that each must have.
            "expectedRev": [
                {**_key_fields(key), "schemaVersion": version}
                for key, version in transaction.versions.items()
            ],
            "writes": [
                {**_key_fields(key), "value": base64.b64encode(value).decode()}
                for key, value in transaction.writes.items()
            ],
            "remove": [_key_fields(key) for key in transaction.removes],
        }
        answer = await self._call("POST", "/rows-tx", body=orjson.dumps(request))
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == 412:
            try:
                rows = [_row(fields) for fields in orjson.loads(body).get("rows", [])]
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                return Err(NotDone(f"a refusal of the store is unreadable: {error}"))
            return Err(Refused(rows))
        if status != 200:
            return Err(_refusal(status, body))
        try:
            fields = orjson.loads(body)
            return Ok(Done(int(fields["schemaVersion"]), fields["nowMs"] / 1000))
        except (ValueError, KeyError, TypeError) as error:
            return Err(Unknown(f"an answer of the store is unreadable: {error}"))

    async def changes(
        self, table: str, since: int, wait_s: float
    ) -> Result[RowsRead, ChangesError]:
        """See :meth:`RowStore.changes`.

        The long poll is cancelled and repeated as a short call when another call
        finds that the connections no longer respond; otherwise each long poll would
        wait for its own timeout.
        """
        timeout_s = wait_s + LONG_POLL_SLACK_S
        poll = asyncio.ensure_future(self._feed(table, since, wait_s, timeout_s))
        self._long_polls.add(poll)
        try:
            await asyncio.wait({poll})
        finally:
            self._long_polls.discard(poll)
            poll.cancel()
        if poll.cancelled():
            # The store may be slow: the repeated call gets the timeout of any other.
            return await self._feed(table, since, 0.0, CALL_TIMEOUT_S)
        return poll.result()

    async def _feed(
        self, table: str, since: int, wait_s: float, timeout_s: float
    ) -> Result[RowsRead, ChangesError]:
        wait_ms = str(int(wait_s * 1000))
        query = {"table": table, "sinceRev": str(since), "waitMs": wait_ms}
        answer = await self._call("GET", "/rows-feed", query=query, timeout_s=timeout_s)
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == 410:
            return Err(HistoryGone())
        if status != 200:
            return Err(_refusal(status, body))
        return _rows(body)

    async def put_object(self, name: str, data: bytes) -> Result[None, StoreError]:
        """See :meth:`RowStore.put_object`."""
        rejected = self.limits.check_object(data)
        if rejected is not None:
            return Err(rejected)
        answer = await self._call("PUT", f"/blob-put/{name}", body=data)
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        return Ok(None) if status < 300 else Err(_refusal(status, body))

    async def get_object(self, name: str) -> Result[bytes | None, StoreError]:
        """See :meth:`RowStore.get_object`."""
        most = self.limits.object_bytes
        answer = await self._call("GET", f"/blob-get/{name}", max_bytes=most)
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == 404:
            return Ok(None)
        return Ok(body) if status == 200 else Err(_refusal(status, body))

    async def drop_object(self, name: str) -> Result[None, StoreError]:
        """See :meth:`RowStore.drop_object`."""
        answer = await self._call("DELETE", f"/blob-drop/{name}")
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status < 300 or status == 404:
            return Ok(None)
        return Err(_refusal(status, body))

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        max_bytes: int = MAX_ROWS_BYTES,
    ) -> Result[tuple[int, bytes], StoreError]:
        headers = {"Content-Type": "application/json"} if path == "/rows-tx" else None
        async with self._connections.acquire() as session:
            try:
                async with session.request(
                    method,
                    self._base + path,
                    params=query,
                    data=body,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(
                        total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
                    ),
                    allow_redirects=False,
                ) as response:
                    received = await self._connections.read(response, max_bytes)
                    return Ok((response.status, received))
            except _CONNECT_ERRORS as error:
                return Err(NotDone(f"no connection: {error}", reached=False))
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                self._retire(session)
                return Err(Unknown(reason_of(error), reached=False))

    def _retire(self, session: aiohttp.ClientSession) -> None:
        """Retire the connections of ``session`` and cancel the other long polls."""
        if not self._connections.retire(session):
            return
        for poll in self._long_polls:
            if poll is not asyncio.current_task():
                poll.cancel()


def _refusal(status: int, body: bytes) -> StoreError:
    reason = f"the store answered {status}"
    detail = body[:MAX_LOGGED_BYTES].decode("utf-8", "replace").strip()
    if detail:
        reason = f"{reason}: {detail}"
    if status in _NOT_DONE_STATUSES:
        return NotDone(reason)
    if 400 <= status < 500 and status not in _UNKNOWN_STATUSES:
        return Rejected(reason)
    return Unknown(reason)


def _key_fields(key: RowKey) -> dict[str, Any]:
    return {"table": key.table, "part": key.part, "key": key.key}


def _row(fields: dict[str, Any]) -> StoredRow:
    removed = bool(fields.get("removed"))
    key = RowKey(fields["table"], fields.get("part", ""), fields["key"])
    value = base64.b64decode(fields.get("value") or "")
    return StoredRow(key, value, int(fields.get("schemaVersion", 0)), removed)


def _rows(body: bytes) -> Result[RowsRead, StoreError]:
    try:
        fields = orjson.loads(body)
        rows = [_row(row) for row in fields["rows"]]
        version = int(fields["schemaVersion"])
        now_s = float(fields.get("nowMs", 0.0)) / 1000
        return Ok(RowsRead(rows, bool(fields.get("truncated")), version, now_s))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(Unknown(f"rows of the store are unreadable: {error}"))
