"""Decoder and encoder of the platform's requests, configuration, targets and jobs.

Some of its names are shared by several calls and are misleading in one of them; a
comment at such a field states its meaning.
"""

import base64
import binascii
from collections.abc import Mapping
from typing import Any

import orjson

from caperridge.decisions.quota import DEFAULT_WINDOW_S
from caperridge.gateway.dialect import DecodeError, Dialect, HeaderNames, JobsPaths
from caperridge.gateway.fields import Fields
from caperridge.gateway.jobs.model import COMPLETED, JobItem, JobRequest, ResultsPage
from caperridge.gateway.routes import (
    BATCH,
    SAFE,
    STREAMING,
    UNSAFE,
    BatchTerms,
    Route,
    RoutingTable,
    Service,
    Share,
)
from caperridge.gateway.targets import Target, TargetLoad, incarnation_id
from caperridge.gateway.teams import TeamDirectory
from caperridge.listening.limits import CallerLimits
from caperridge.platform.teams import decode_teams

_KINDS_BY_NAME = {
    "safe": SAFE,
    "unsafe": UNSAFE,
    "streaming": STREAMING,
    "batch": BATCH,
}
_COMPLETED = "completed"
_DEAD = "dead_letter"
_MISDIRECTED = 421
_READY = "ready"
_DRAINING = "draining"
# Of the answer to a read of results, as sent.
MAX_PAGE_BYTES = 1_000_000
# Upper bound of all of an answer but its results.
PAGE_OVERHEAD_BYTES = 200
# Far more than any engine runs at once; a target with a larger number in its entry
# would attract all requests.
MAX_SLOTS = 10_000
MAX_INTEGER = 2**63 - 1
# Raised when a field is missing or has another type or shape than expected.
_DECODE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
)


class PlatformDialect(Dialect):
    """See :class:`caperridge.gateway.dialect.Dialect`.

    Args:
        quota_window_s: length of the window in which the quotas of teams hold.
    """

    headers = HeaderNames(
        request="X-Request-Id",
        deadline="X-Deadline-Ms",
        incarnation="X-Expect-Instance",  # id of a target, not of an instance
        not_run="X-Not-Executed",
        signature="X-Response-Stamp",
        resume="Last-Event-Id",
        stream="Resumes",
        wait="X-Wait-Ms",
        team="X-Tenant",
        prompt="X-Prompt-Prefix",
        tokens="X-Token-Usage",
    )
    per_attempt_headers = frozenset(
        {
            "x-request-id",
            "x-deadline-ms",
            "last-event-id",
            "resumes",
            "x-length-hint",
        }
    )
    paths = JobsPaths(
        jobs="/lots/",
        bodies="/items/",  # followed by the job's id, not the item's
        position="sinceRev",  # a position among results, not a version
        item="id",
    )
    configuration_table = "op"
    configuration_key = "config"
    targets_table = "servers"
    load_path = "/report"

    def __init__(self, quota_window_s: float = DEFAULT_WINDOW_S) -> None:
        self._quota_window_s = quota_window_s

    def configuration(self, value: bytes) -> RoutingTable:
        """See :meth:`Dialect.configuration`."""
        try:
            fields = orjson.loads(value)
            limits = fields["limits"]
            return RoutingTable(
                int(fields["version"]),
                [_route(route) for route in fields["routes"]],
                [_service(service) for service in fields["services"]],
                CallerLimits(
                    header_bytes=int(limits["maxHeaderBytes"]),
                    body_bytes=int(limits["maxBodyBytes"]),
                    header_s=limits["headerTimeoutMs"] / 1000,
                    idle_s=limits["idleTimeoutMs"] / 1000,
                ),
                self._teams(fields),
            )
        except _DECODE_ERRORS as error:
            raise DecodeError(f"no configuration: {error!r}") from error

    def _teams(self, fields: dict[str, Any]) -> TeamDirectory | None:
        if "tenants" not in fields:
            return None
        return decode_teams(fields["tenants"], self._quota_window_s)

    def target(self, name: str, value: bytes) -> Target:
        """See :meth:`Dialect.target`."""
        fields = Fields(f"{self.targets_table}/{name}", value)
        fields.check_key(name)
        target = Target(
            id=name,
            name=name,
            service=fields.text("service"),
            address=fields.address("address"),
            availability_zone=fields.text("zone"),
            slots=fields.integer("slots", 1, MAX_SLOTS),
            draining=fields.choice("state", (_READY, _DRAINING)) == _DRAINING,
            software_version=fields.text("version"),
        )
        # Unused, but an entry without these fields was not written by a target.
        fields.number("coldLeftMs")
        fields.integer("seq", 0, MAX_INTEGER)
        start_time_ms = self._start_time_ms(fields)
        fields.check()
        return (
            target.replace(id=incarnation_id(name, start_time_ms))
            if start_time_ms
            else target
        )

    def _start_time_ms(self, fields: Fields) -> int:
        """Return the start time of a target, in ms; 0 if it is not given."""
        return fields.integer("born", 1, MAX_INTEGER) if "born" in fields else 0

    def load(self, body: bytes) -> TargetLoad:
        """See :meth:`Dialect.load`."""
        fields = Fields(self.load_path, body)
        running = fields.integer("activeRequests", 0, MAX_INTEGER)
        waiting = fields.integer("queueDepth", 0, MAX_INTEGER)
        start_time_ms = self._start_time_ms(fields)
        fields.check()
        return TargetLoad(running, waiting, start_time_ms)

    def job(self, body: bytes) -> JobRequest:
        """See :meth:`Dialect.job`."""
        try:
            return JobRequest([_item(item) for item in orjson.loads(body)["requests"]])
        except _DECODE_ERRORS as error:
            raise DecodeError(f"no job: {error!r}") from error

    def results(self, page: ResultsPage) -> bytes:
        """See :meth:`Dialect.results`."""
        results: list[orjson.Fragment] = []
        size = PAGE_OVERHEAD_BYTES
        for result in page.results:
            fields = {
                "id": result.item,
                "state": _COMPLETED if result.state == COMPLETED else _DEAD,
                "message": result.text.decode("utf-8", "replace"),
            }
            encoded = orjson.dumps(fields)
            size += len(encoded) + 1
            if results and size > MAX_PAGE_BYTES:
                break
            results.append(orjson.Fragment(encoded))
        answer = {
            "total": page.total,
            "results": results,
            # The position after the last result of this page.
            "nextToken": page.first + len(results),
        }
        return orjson.dumps(answer)

    def client_error_not_run(self, status: int, headers: Mapping[str, str]) -> bool:
        """See :meth:`Dialect.client_error_not_run`."""
        return status == _MISDIRECTED or self.headers.not_run in headers

    def from_another_target(self, status: int) -> bool:
        """See :meth:`Dialect.from_another_target`."""
        return status == _MISDIRECTED


def _route(fields: dict[str, Any]) -> Route:
    kind = _KINDS_BY_NAME[fields["kind"]]
    batch = None
    if kind == BATCH:
        batch = BatchTerms(
            due_s=fields["runTargetMs"] / 1000,
            max_waiting_tokens=int(fields.get("maxQueuedTokens", 0)),
            retention_s=float(fields["retentionS"]),
        )
    return Route(
        name=fields["name"],
        host=fields["host"].lower(),
        path_prefix=fields["pathPrefix"],
        kind=kind,
        shares=_shares(fields),
        timeout_s=fields["timeoutMs"] / 1000,
        objective_s=fields.get("targetLatencyMs", 0) / 1000,
        rank=int(fields.get("priority", 0)),
        max_attempts=int(fields.get("maxAttempts", 1)),
        resumable=bool(fields.get("resumable")),
        event_gap_s=fields.get("gapTargetMs", 0) / 1000,
        batch=batch,
        anonymous=bool(fields.get("anonymous")),
    )


def _shares(fields: dict[str, Any]) -> list[Share]:
    split = fields.get("trafficSplit")
    if split:
        return [Share(share["service"], float(share["weight"])) for share in split]
    return [Share(fields["service"], 1.0)]


def _service(fields: dict[str, Any]) -> Service:
    engine = fields.get("engine") or {}
    return Service(
        fields["name"], fields.get("healthPath", "/"), int(engine.get("slots", 1))
    )


def _item(fields: dict[str, Any]) -> JobItem:
    try:
        body = base64.b64decode(fields["body"], validate=True)
    except binascii.Error as error:
        raise ValueError(f"a body is no base64: {error}") from error
    headers = [[name, str(value)] for name, value in fields["headers"].items()]
    return JobItem(fields["id"], fields["path"], headers, body, int(fields["tokens"]))
