"""HTTP client of the platform; replaceable where its protocol differs.

A connection error before the request was sent is *not done*. Once bytes may have been
sent, only an answer shows the outcome; without one a write is *unknown*.
"""

import math
from collections.abc import Callable
from ssl import SSLContext
from typing import Any, TypeVar
from urllib.parse import quote

import aiohttp
from result import Err, Ok, Result

from caperridge.answer_heads import CheckedResponse, reason_of
from caperridge.no_repeat import prevent_retry
from caperridge.records import pack, unpack
from caperridge.store.interface import (
    Committed,
    Condition,
    Conflict,
    ListedMember,
    NotDone,
    Platform,
    ReadError,
    Row,
    Unknown,
    Write,
    WriteError,
)
from caperridge.store.wire import decode_row, encode
from caperridge.tls import client_context

DEFAULT_DEADLINE_S = 3.0
_HTTP_CONFLICT = 409
_HTTP_NOT_FOUND = 404
# Raised when a field is missing or has another type than expected.
_DECODE_ERRORS = (ValueError, LookupError, TypeError, AttributeError)

T = TypeVar("T")


class HttpPlatform(Platform):
    """Calls the platform at ``endpoint`` on behalf of one instance.

    Args:
        endpoint: e.g. ``http://10.0.0.5:7000``.
        availability_zone: of the instance; sent as a header of each call.
        secret: bearer token for the platform; empty for none.
        deadline_s: timeout of one call, in seconds.
        authority: file with the trusted CA certificates; empty for the system's.
    """

    def __init__(
        self,
        endpoint: str,
        availability_zone: str = "",
        secret: str = "",
        deadline_s: float = DEFAULT_DEADLINE_S,
        authority: str = "",
    ) -> None:
        self._endpoint = endpoint.rstrip("/")
        self._headers = {"X-Availability-Zone": availability_zone}
        if secret:
            self._headers["Authorization"] = f"Bearer {secret}"
        self._timeout = aiohttp.ClientTimeout(total=deadline_s)
        # Created here and not in a call: reading files would block the event loop.
        secure = endpoint.startswith("https:")
        self._ssl: SSLContext | bool = client_context(authority) if secure else True
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def transact(
        self, conditions: list[Condition], writes: list[Write], token: str
    ) -> Result[Committed, WriteError]:
        """See :meth:`Platform.transact`."""
        body = {
            "conditions": [encode(condition) for condition in conditions],
            "writes": [encode(write) for write in writes],
            "token": token,
        }
        answer = await self._call("POST", "/table/transact", pack(body))
        if isinstance(answer, Err):
            return answer
        if answer.ok_value[0] != _HTTP_CONFLICT:
            return _decode(answer, lambda fields: Committed(fields["versions_by_key"]))
        conflict = _decode(answer, _conflict)
        return conflict if isinstance(conflict, Err) else Err(conflict.ok_value)

    async def read(self, keys: list[str]) -> Result[dict[str, Row], ReadError]:
        """See :meth:`Platform.read`."""
        answer = await self._call("POST", "/table/read", pack({"keys": keys}))
        rows = _decode(answer, _rows)
        return rows.map(lambda read: {row.key: row for row in read})

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], ReadError]:
        """See :meth:`Platform.scan`."""
        body = pack({"prefix": prefix, "after": after, "limit": limit})
        answer = await self._call("POST", "/table/scan", body)
        return _decode(answer, _rows)

    async def put_object(self, name: str, data: bytes) -> Result[None, ReadError]:
        """See :meth:`Platform.put_object`."""
        answer = await self._call("PUT", _object_path(name), data)
        return answer.map(lambda _: None)

    async def get_object(
        self, name: str, start: int = 0, length: int | None = None
    ) -> Result[bytes | None, ReadError]:
        """See :meth:`Platform.get_object`."""
        headers = {}
        if start or length is not None:
            end = "" if length is None else str(start + length - 1)
            headers["Range"] = f"bytes={start}-{end}"
        answer = await self._call("GET", _object_path(name), headers=headers)
        if isinstance(answer, Err):
            return answer
        status, data = answer.ok_value
        return Ok(None if status == _HTTP_NOT_FOUND else data)

    async def list_objects(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[str], ReadError]:
        """See :meth:`Platform.list_objects`."""
        path = f"/objects?prefix={quote(prefix)}&after={quote(after)}&limit={limit}"
        answer = await self._call("GET", path)
        return _decode(answer, _names)

    async def delete_object(self, name: str) -> Result[None, ReadError]:
        """See :meth:`Platform.delete_object`."""
        answer = await self._call("DELETE", _object_path(name))
        return answer.map(lambda _: None)

    async def members(self) -> Result[list[ListedMember], ReadError]:
        """See :meth:`Platform.members`."""
        answer = await self._call("GET", "/members")
        return _decode(
            answer, lambda listed: [ListedMember.from_map(m) for m in listed]
        )

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Result[tuple[int, bytes], Any]:
        if self._session is None:
            # The middleware makes a lost connection final: the library must not repeat
            # a write by itself.
            connector = aiohttp.TCPConnector(limit=64, ssl=self._ssl)
            self._session = aiohttp.ClientSession(
                timeout=self._timeout,
                connector=connector,
                response_class=CheckedResponse,
                middlewares=(prevent_retry,),
            )
        try:
            async with self._session.request(
                method,
                self._endpoint + path,
                data=body,
                headers=self._headers | (headers or {}),
                allow_redirects=False,
            ) as response:
                data = await response.read()
                return _classify(response, data)
        except aiohttp.ClientConnectorError as error:
            reason = f"the platform was not reached: {error.strerror}"
            return Err(NotDone(reason, reached=False))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = f"no answer from the platform: {reason_of(error)}"
            return Err(Unknown(reason, reached=False))


def _decode(
    answer: Result[tuple[int, bytes], Any], decoder: Callable[[Any], T]
) -> Result[T, Any]:
    """Return what ``decoder`` makes of a body; the error if that is not possible."""
    if isinstance(answer, Err):
        return answer
    try:
        return Ok(decoder(unpack(answer.ok_value[1])))
    except _DECODE_ERRORS as error:
        return Err(Unknown(f"an answer of the platform is unreadable: {error!r}"))


def _rows(received: list[dict[str, Any]]) -> list[Row]:
    return [decode_row(fields) for fields in received]


def _names(received: Any) -> list[str]:
    if not isinstance(received, list) or not all(type(n) is str for n in received):
        raise TypeError("not a list of names")
    return received


def _conflict(fields: dict[str, Any]) -> Conflict:
    rows_by_key = {
        key: decode_row(row) if row else None
        for key, row in fields["rows_by_key"].items()
    }
    return Conflict(fields["failed_keys"], rows_by_key)


def _delay_s(text: str) -> float:
    """Return a delay in seconds; 0 if ``text`` is none.

    >>> _delay_s("0.5"), _delay_s("soon"), _delay_s("nan")
    (0.5, 0.0, 0.0)
    """
    try:
        delay_s = float(text)
    except ValueError:
        return 0.0
    return delay_s if math.isfinite(delay_s) and delay_s > 0 else 0.0


def _object_path(name: str) -> str:
    return "/objects/" + quote(name)


def _classify(
    response: aiohttp.ClientResponse, data: bytes
) -> Result[tuple[int, bytes], Any]:
    if response.status in (200, 204, 206, _HTTP_NOT_FOUND, _HTTP_CONFLICT):
        return Ok((response.status, data))
    if response.status in (429, 503):
        retry_after_s = _delay_s(response.headers.get("Retry-After", "0"))
        return Err(NotDone(f"the platform refused: {response.status}", retry_after_s))
    if 400 <= response.status < 500:
        return Err(NotDone(f"the platform refused: {response.status}"))
    return Err(Unknown(f"the platform failed: {response.status}"))
