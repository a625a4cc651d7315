"""HTTP client of the control API of engines: desired state, with fencing tokens."""

import math
from typing import Any

import aiohttp
from result import Err, Ok, Result

from caperridge.answer_heads import CheckedResponse, reason_of
from caperridge.decisions.reconcile import Loaded, Observed
from caperridge.records import Record
from caperridge.targets.reading import BoundedConnections

CALL_TIMEOUT_S = 2.0
MAX_LEASE_RATIO = 0.25  # a lease is renewed well before so little remains
_HTTP_OK = 200
_HTTP_CONFLICT = 409


class TargetAway(Record):
    """No valid answer; an order may nevertheless have been applied."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class OldFence(Record):
    """The target has seen a higher fencing token and rejected the order."""

    __slots__ = ("fence",)

    def __init__(self, fence: int) -> None:
        self.fence = fence


class OrderClient:
    """HTTP client of the control API of all engines; one per instance.

    Args:
        deadline_s: timeout of one call, in seconds.
        lease_s: length of the own session's lease, in seconds. An order is sent only
            while the remaining lease is longer than the order may take, so a short
            lease needs a shorter timeout.
    """

    def __init__(
        self, deadline_s: float = CALL_TIMEOUT_S, lease_s: float = math.inf
    ) -> None:
        self.deadline_s = min(deadline_s, lease_s * MAX_LEASE_RATIO)
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def observe(self, address: str) -> Result[Observed, TargetAway]:
        """Return what the engine has loaded, and its last order."""
        answer = await self._call("GET", address, "state")
        if isinstance(answer, Err):
            return answer
        status, fields = answer.ok_value
        if status != _HTTP_OK:
            return Err(TargetAway(f"status {status}"))
        return Ok(_observed(fields))

    async def running(self, address: str) -> Result[int, TargetAway]:
        """Return the running and waiting requests; the engine's report is delayed."""
        answer = await self._call("GET", address, "load")
        if isinstance(answer, Err):
            return answer
        status, fields = answer.ok_value
        if status != _HTTP_OK:
            return Err(TargetAway(f"status {status}"))
        return Ok(int(fields.get("running", 0)) + int(fields.get("waiting", 0)))

    async def order(
        self, address: str, fence: int, desired: Loaded, gb: float
    ) -> Result[None, TargetAway | OldFence]:
        """Send the desired state to the engine.

        Args:
            address: ``host:port`` of the engine.
            fence: fencing token of this orderer.
            desired: the complete desired state, not a change to it.
            gb: size of what is to be loaded, for the engine's own planning.
        """
        body = {"fence": fence, "desired": {**desired.to_map(), "gb": gb}}
        answer = await self._call("POST", address, "order", body)
        if isinstance(answer, Err):
            return answer
        status, fields = answer.ok_value
        if status == _HTTP_CONFLICT:
            return Err(OldFence(int(fields.get("fence", 0))))
        if status != _HTTP_OK:
            return Err(TargetAway(f"status {status}"))
        return Ok(None)

    async def _call(
        self, method: str, address: str, path: str, body: Any = None
    ) -> Result[tuple[int, dict[str, Any]], TargetAway]:
        if self._session is None:
            # No keep-alive: the library would repeat a call on a stale connection.
            connector = BoundedConnections().connector()
            self._session = aiohttp.ClientSession(
                connector=connector, response_class=CheckedResponse
            )
        try:
            async with self._session.request(
                method,
                f"http://{address}/control/{path}",
                json=body,
                timeout=aiohttp.ClientTimeout(total=self.deadline_s),
                allow_redirects=False,
            ) as response:
                fields = await response.json(content_type=None)
                if not isinstance(fields, dict):
                    return Err(TargetAway("an answer that is no object"))
                return Ok((response.status, fields))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Err(TargetAway(reason_of(error)))


def _observed(fields: dict[str, Any]) -> Observed:
    return Observed(
        _loaded(fields.get("loaded")),
        _loaded(fields.get("desired")),
        int(fields.get("fence", 0)),
        bool(fields.get("loading")),
        bool(fields.get("leaving")),
    )


def _loaded(fields: Any) -> Loaded | None:
    if not isinstance(fields, dict) or not fields:
        return None
    return Loaded.from_map(fields)
