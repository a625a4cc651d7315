"""HTTP client of plain services; each call sends exactly one request."""

import aiohttp
import yarl
from multidict import CIMultiDict
from result import Err, Ok, Result

from caperridge.answer_heads import CheckedResponse, fault_of, reason_of
from caperridge.no_repeat import prevent_retry
from caperridge.records import Record
from caperridge.targets.outcomes import AttemptError, InvalidAnswer, Lost, NotSent
from caperridge.targets.reading import BoundedConnections, UnsizedBodies
from caperridge.targets.unframed import is_unframed, protocol_of, was_reset

CALL_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 16 * 2**20
# Headers that the library would add; a service receives only what the caller sent.
AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class PlainCall(Record):
    """One HTTP request to a service.

    Attributes:
        method: the HTTP method.
        path: path and query, encoded as the caller sent them.
        headers: the headers to forward; see :mod:`caperridge.instance.plain_headers`.
        body: the complete body.
    """

    __slots__ = ("body", "headers", "method", "path")

    def __init__(
        self, method: str, path: str, headers: CIMultiDict[str], body: bytes = b""
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


class PlainAnswer(Record):
    """The answer of a plain service, with any status."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: CIMultiDict[str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class AnswerTooLarge(Record):
    """The body of the target's answer is larger than the limit."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


PlainError = AttemptError | AnswerTooLarge


class PlainClient:
    """Calls plain services; one call per connection, redirects are not followed.

    Args:
        deadline_s: timeout of the complete answer, in seconds.
        connect_s: connect timeout, in seconds.
        max_answer_bytes: largest body; a larger one is an error.
    """

    def __init__(
        self,
        deadline_s: float = CALL_TIMEOUT_S,
        connect_s: float = CONNECT_TIMEOUT_S,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self.deadline_s = deadline_s
        self._timeout = aiohttp.ClientTimeout(total=deadline_s, sock_connect=connect_s)
        self._max_answer_bytes = max_answer_bytes
        self._session: aiohttp.ClientSession | None = None
        self._connections = BoundedConnections()
        self._bodies = UnsizedBodies()

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=self._connections.connector(),
                # A cookie jar would send one caller's cookies with another's call.
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                response_class=CheckedResponse,
                middlewares=(prevent_retry,),
            )
        return self._session

    async def call(
        self, address: str, call: PlainCall
    ) -> Result[PlainAnswer, PlainError]:
        """Send one request and return its answer, with any status."""
        try:
            async with self._open().request(
                call.method,
                yarl.URL(f"http://{address}{call.path}", encoded=True),
                data=call.body or None,
                headers=call.headers,
                skip_auto_headers=AUTO_HEADERS,
                timeout=self._timeout,
                allow_redirects=False,
            ) as response:
                protocol = protocol_of(response)
                body = await self._read_body(response)
                if body is None:
                    return Err(AnswerTooLarge("the answer has too many bytes"))
                if is_unframed(response.headers) and was_reset(protocol):
                    return Err(Lost("an answer without a length was reset"))
                headers = CIMultiDict(response.headers)
                return Ok(PlainAnswer(response.status, headers, body))
        except aiohttp.ClientConnectorError as error:
            return Err(NotSent(f"no connection: {error.strerror}"))
        except aiohttp.ConnectionTimeoutError:
            return Err(NotSent("no connection in time"))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(_lost_or_invalid(error))

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes | None:
        """Return the complete body; None if it is too large."""
        socket = self._connections.track(response)
        unsized = response.content_length is None
        received = bytearray()
        with self._bodies.begin() as body:
            async for chunk in response.content.iter_any():
                if socket is not None:
                    socket.record_payload(len(chunk))
                received += chunk
                size = len(received)
                within = not unsized or self._bodies.may_hold(body, size)
                if size > self._max_answer_bytes or not within:
                    return None
        return bytes(received)


def _lost_or_invalid(error: Exception) -> Lost | InvalidAnswer:
    reason = reason_of(error)
    return InvalidAnswer(reason) if fault_of(error) else Lost(reason)
