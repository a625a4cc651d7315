"""The HTTP client for targets, with one connection for each attempt.

On a reused connection a late or surplus answer of a target, or bytes after a complete
one, could be taken for the answer to another request. So none is reused.
"""

import asyncio
import functools
import math
from collections.abc import Awaitable, Callable

import aiohttp
import yarl
from multidict import CIMultiDict
from result import Err, Ok, Result

from caperridge.answer_heads import CheckedResponse, fault_of, reason_of
from caperridge.gateway.answer import TARGET_RESTARTED, Answer
from caperridge.gateway.dialect import Dialect
from caperridge.gateway.open_runs import OpenRuns
from caperridge.gateway.targets import Target
from caperridge.no_repeat import prevent_retry
from caperridge.records import Record
from caperridge.refusals import NOT_RUN
from caperridge.targets.listening import connect
from caperridge.targets.outcomes import (
    AttemptError,
    InvalidAnswer,
    Lost,
    NotSent,
    TargetRefused,
    WrongAnswer,
)
from caperridge.targets.plain import AUTO_HEADERS
from caperridge.targets.reading import (
    TOO_MUCH_READ,
    BoundedConnections,
    has_read_too_much,
)
from caperridge.targets.silence import IdleTimeouts, always
from caperridge.targets.unframed import is_unframed, protocol_of, was_reset

# Availability zones are some milliseconds apart, and connecting takes one more. A
# target that has gone does not respond at all, and its caller expects the first event
# within 300 ms.
CONNECT_TIMEOUT_S = 0.2
READ_BUFFER_BYTES = 64 * 2**10
MIN_ERROR_STATUS = 400


class Outbound(Record):
    """One request as it is sent to a target.

    Attributes:
        request: its id, which the answer must carry.
        method: HTTP method.
        path: with the query, encoded as the caller sent it.
        headers: all headers.
        body: the complete body.
    """

    __slots__ = ("body", "headers", "method", "path", "request")

    def __init__(
        self,
        request: str,
        method: str,
        path: str,
        headers: CIMultiDict[str],
        body: bytes,
    ) -> None:
        self.request = request
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


async def _never_crashes(target: Target) -> bool:
    return False


class TargetClient:
    """Sends requests to targets and returns the outcome of each attempt.

    Attributes:
        has_crashed: returns whether a target has crashed by now.

    Args:
        dialect: names of headers, and the meaning of error answers.
    """

    def __init__(self, dialect: Dialect) -> None:
        self._dialect = dialect
        self.has_crashed: Callable[[Target], Awaitable[bool]] = _never_crashes
        self._session: aiohttp.ClientSession | None = None
        self._connections = BoundedConnections()
        self._watch = IdleTimeouts()
        self._open_runs = OpenRuns()

    def abort_runs(self, target: str, begun: bool = True) -> int:
        """Abort the attempts at a target that restarted; return how many there were.

        See :meth:`OpenRuns.abort_all`.
        """
        return self._open_runs.abort_all(target, begun)

    async def close(self) -> None:
        """Close all connections."""
        self._watch.close()
        if self._session is not None:
            await self._session.close()

    async def open(
        self,
        target: Target,
        outbound: Outbound,
        head_timeout_s: float = math.inf,
        may_end: Callable[[], bool] = always,
    ) -> Result[Answer, AttemptError]:
        """Send ``outbound`` and return the answer once its head was received.

        Cancelling this call closes the connection.

        Args:
            target: to send to.
            outbound: the request.
            head_timeout_s: longest time until the head of the answer, in seconds.
            may_end: returns whether a longer time may end the attempt.
        """
        restarted = False
        limit = asyncio.timeout(None)

        def expire() -> None:
            if not limit.expired():
                limit.reschedule(asyncio.get_running_loop().time())

        def abort() -> None:
            nonlocal restarted
            restarted = True
            expire()

        watched = self._watch.add(head_timeout_s, expire, may_end)
        self._open_runs.add(target.id, abort)
        try:
            async with limit:
                return await self._send(target, outbound)
        except TimeoutError:
            if restarted:
                return Err(Lost(TARGET_RESTARTED))
            return Err(Lost("no answer began", broken_off=True))
        finally:
            self._watch.remove(watched)
            self._open_runs.remove(target.id, abort)

    async def _send(
        self, target: Target, outbound: Outbound
    ) -> Result[Answer, AttemptError]:
        try:
            response = await self._opened_session().request(
                outbound.method,
                yarl.URL(f"http://{target.address}{outbound.path}", encoded=True),
                data=outbound.body or None,
                headers=outbound.headers,
                skip_auto_headers=AUTO_HEADERS,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT_S
                ),
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Err(NotSent(type(error).__name__))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(_lost_before_head(error))
        has_crashed = functools.partial(self.has_crashed, target)
        socket = self._connections.track(response)
        answer = Answer(
            response, self._watch, socket, target.id, self._open_runs, has_crashed
        )
        return self._verify(outbound, answer)

    async def get(
        self, target: Target, path: str, timeout_s: float
    ) -> Result[bytes, AttemptError]:
        """Return the body of a small answer with status 200 from this target only."""
        try:
            async with self._opened_session().get(
                yarl.URL(f"http://{target.address}{path}", encoded=True),
                headers={self._dialect.headers.incarnation: target.name},
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as response:
                if response.status != 200:
                    return Err(self._refusal(response.status))
                protocol = protocol_of(response)
                body = await response.read()
                if is_unframed(response.headers) and was_reset(protocol):
                    return Err(Lost("an answer without a length was reset"))
                return Ok(body)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = reason_of(error)
            return Err(InvalidAnswer(reason) if fault_of(error) else Lost(reason))

    def _refusal(self, status: int) -> TargetRefused:
        replaced = self._dialect.from_another_target(status)
        return TargetRefused(status, "it gives no answer", replaced=replaced)

    async def is_reachable(
        self, address: str, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> bool:
        """Return whether ``address`` accepts connections."""
        try:
            async with asyncio.timeout(timeout_s):
                await connect(address)
        except (OSError, TimeoutError):
            return False
        return True

    def _verify(
        self, outbound: Outbound, answer: Answer
    ) -> Result[Answer, AttemptError]:
        fault = self._fault(outbound, answer)
        if fault:
            answer.close()
            return Err(WrongAnswer(fault))
        if self._dialect.client_error_not_run(answer.status, answer.headers):
            answer.close()
            replaced = self._dialect.from_another_target(answer.status)
            reason = "another target answered" if replaced else "it has not run it"
            refused = TargetRefused(answer.status, reason, NOT_RUN, replaced=replaced)
            return Err(refused)
        return Ok(answer)

    def _fault(self, outbound: Outbound, answer: Answer) -> str:
        """Return why this is not the answer to a request; empty if it is."""
        names = self._dialect.headers
        # A request without an id is refused in an answer without one.
        expected = {outbound.request} if outbound.request else set()
        if set(answer.headers.getall(names.request, [])) != expected:
            return "an answer with the id of another request"
        if answer.status < MIN_ERROR_STATUS and names.not_run in answer.headers:
            return "it says that it was not run, and has not failed"
        if not 200 <= answer.status < 300:
            return ""
        if not answer.headers.get(names.signature):
            return "a success without a signature"
        if not _may_be_coded(outbound, answer):
            return "a content coding that was not asked for"
        return ""

    def _opened_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=self._connections.connector(),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                read_bufsize=READ_BUFFER_BYTES,
                max_line_size=READ_BUFFER_BYTES,
                max_field_size=READ_BUFFER_BYTES,
                response_class=CheckedResponse,
                middlewares=(prevent_retry,),
            )
        return self._session


def _may_be_coded(outbound: Outbound, answer: Answer) -> bool:
    """Whether an answer has no content coding but those that its caller accepts."""
    accepted = {"identity"}
    for value in outbound.headers.getall("Accept-Encoding", []):
        for coding in value.split(","):
            accepted.add(coding.partition(";")[0].strip().lower())
    if "*" in accepted:
        return True
    for value in answer.headers.getall("Content-Encoding", []):
        for coding in value.split(","):
            if coding.strip().lower() not in accepted:
                return False
    return True


def _lost_before_head(error: Exception) -> Lost | WrongAnswer | InvalidAnswer:
    if fault_of(error):
        return InvalidAnswer(reason_of(error))
    if has_read_too_much(error):
        return WrongAnswer(TOO_MUCH_READ)
    return Lost(reason_of(error))
