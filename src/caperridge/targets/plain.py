"""The client of plain services: one attempt, never repeated by the library."""

import aiohttp
from result import Err, Ok, Result

from caperridge.records import Record
from caperridge.targets.outcomes import AttemptError, Lost, NotSent

DEADLINE_S = 30.0


class PlainAnswer(Record):
    """What a plain service answered."""

    __slots__ = ("body", "content_type", "status")

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body


class PlainClient:
    """Calls plain services; a connection serves one call, redirects are answers."""

    def __init__(self, deadline_s: float = DEADLINE_S) -> None:
        self._timeout = aiohttp.ClientTimeout(total=deadline_s, sock_connect=2.0)
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> Result[PlainAnswer, AttemptError]:
        """Send one request and return its answer, whatever its status."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            self._session = aiohttp.ClientSession(connector=connector)
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                data=body or None,
                headers=headers,
                timeout=self._timeout,
                allow_redirects=False,
            ) as response:
                content = await response.read()
                kind = response.headers.get("Content-Type", "application/octet-stream")
                return Ok(PlainAnswer(response.status, kind, content))
        except aiohttp.ClientConnectorError as error:
            return Err(NotSent(f"no connection: {error.strerror}"))
        except aiohttp.ConnectionTimeoutError:
            return Err(NotSent("no connection in time"))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(Lost(type(error).__name__))
