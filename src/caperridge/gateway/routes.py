"""The routing table: which service serves a request, and on what terms."""

from collections.abc import Iterable

import xxhash

from caperridge.decisions.quota import QuotaLimit
from caperridge.gateway.teams import TeamDirectory
from caperridge.listening.limits import CallerLimits
from caperridge.records import Record

# Kinds of routes.
SAFE = "safe"  # idempotent: requests may run more than once
UNSAFE = "unsafe"  # requests run at most once
STREAMING = "streaming"  # answered by events; at most once unless resumable
BATCH = "batch"  # accepts jobs whose items run later


class Share(Record):
    """The weight of a service in a route's traffic split."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class BatchTerms(Record):
    """The terms of jobs on a batch route.

    Attributes:
        due_s: seconds from the first submission of a job until all results are due.
        max_waiting_tokens: tokens of unfinished items on the route; 0 for no limit.
        retention_s: seconds from the first submission until an item may be abandoned.
    """

    __slots__ = ("due_s", "max_waiting_tokens", "retention_s")

    def __init__(
        self, due_s: float, max_waiting_tokens: int, retention_s: float
    ) -> None:
        self.due_s = due_s
        self.max_waiting_tokens = max_waiting_tokens
        self.retention_s = retention_s


class Route(Record):
    """Matches requests and defines which services run them, and how.

    Attributes:
        name: unique in a configuration.
        host: value of the ``Host`` header, without a port.
        path_prefix: starts and ends with a slash.
        kind: ``SAFE``, ``UNSAFE``, ``STREAMING`` or ``BATCH``.
        shares: the services and their weights.
        timeout_s: longest time that a request may take.
        objective_s: time to the answer or its first event that callers expect.
        rank: priority; 0 is the most urgent.
        max_attempts: failed runs after which one request is not retried.
        resumable: another target may continue a stream.
        event_gap_s: longest pause between events that callers expect; 0 if unknown.
        batch: terms of jobs; None unless ``kind`` is ``BATCH``.
        anonymous: requests need no key.
    """

    __slots__ = (
        "anonymous",
        "batch",
        "event_gap_s",
        "host",
        "kind",
        "max_attempts",
        "name",
        "objective_s",
        "path_prefix",
        "rank",
        "resumable",
        "shares",
        "timeout_s",
    )

    def __init__(
        self,
        name: str,
        host: str,
        path_prefix: str,
        kind: str,
        shares: list[Share],
        timeout_s: float,
        objective_s: float = 0.0,
        rank: int = 0,
        max_attempts: int = 1,
        resumable: bool = False,
        event_gap_s: float = 0.0,
        batch: BatchTerms | None = None,
        anonymous: bool = False,
    ) -> None:
        self.anonymous = anonymous
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.kind = kind
        self.shares = shares
        self.timeout_s = timeout_s
        self.objective_s = objective_s
        self.rank = rank
        self.max_attempts = max_attempts
        self.resumable = resumable
        self.event_gap_s = event_gap_s
        self.batch = batch

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == SAFE or (self.kind == STREAMING and self.resumable)

    @property
    def services(self) -> frozenset[str]:
        """The services that requests are sent to."""
        return frozenset(one.service for one in self.shares if one.weight > 0)

    def service_for(self, request: str) -> str:
        """Return the service that serves the request with this id.

        >>> route = Route("r", "h", "/", SAFE, [Share("a", 0), Share("b", 1)], 1.0)
        >>> route.service_for("any")
        'b'
        """
        total = sum(share.weight for share in self.shares)
        point = xxhash.xxh3_64_intdigest(request.encode()) / 2**64 * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


class Service(Record):
    """A group of interchangeable targets.

    Attributes:
        name: by which routes and targets refer to it.
        health_path: answers 200 while a target is healthy.
        slots: requests that a target runs at the same time, unless its entry says
            otherwise.
    """

    __slots__ = ("health_path", "name", "slots")

    def __init__(self, name: str, health_path: str = "/", slots: int = 1) -> None:
        self.name = name
        self.health_path = health_path
        self.slots = slots


class RoutingTable:
    """One version of the configuration; immutable.

    Attributes:
        version: of the configuration.
        routes: all routes.
        services_by_name: all services.
        limits: for callers.
        teams: that may send requests; None if requests need no key.
        has_anonymous_jobs: some jobs need no key.
    """

    __slots__ = (
        "_batch_routes_by_name",
        "_routes_by_host",
        "has_anonymous_jobs",
        "limits",
        "routes",
        "services_by_name",
        "teams",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        limits: CallerLimits,
        teams: TeamDirectory | None = None,
    ) -> None:
        self.teams = teams
        self.version = version
        self.routes = list(routes)
        self.services_by_name = {service.name: service for service in services}
        self.limits = limits
        self._batch_routes_by_name = {
            route.name: route for route in self.routes if route.kind == BATCH
        }
        self.has_anonymous_jobs = any(
            route.anonymous for route in self._batch_routes_by_name.values()
        )
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes_of_host in self._routes_by_host.values():
            routes_of_host.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``.

        >>> limits = CallerLimits(1, 1, 1.0, 1.0)
        >>> inner = Route("inner", "h", "/a/b/", SAFE, [Share("s", 1)], 1.0)
        >>> outer = Route("outer", "h", "/a/", SAFE, [Share("s", 1)], 1.0)
        >>> table = RoutingTable(1, [outer, inner], [], limits)
        >>> table.find("h:80", "/a/b/c").name, table.find("h", "/a/x?q=/a/b/").name
        ('inner', 'outer')
        >>> table.find("h", "/b/") is None
        True
        """
        name = host.partition(":")[0].lower()
        path_only = path.partition("?")[0]
        for route in self._routes_by_host.get(name, ()):
            if path_only.startswith(route.path_prefix):
                return route
        return None

    def limit_of(self, team: str) -> QuotaLimit | None:
        """Return the limit of the team ``team``; None if it has none."""
        found = self.teams.by_name(team) if self.teams is not None else None
        return found.limit if found is not None else None

    def batch_route(self, name: str) -> Route | None:
        """Return the route ``name`` if it accepts jobs.

        Called for every job at each change of a count, so its cost does not depend on
        the number of routes.
        """
        return self._batch_routes_by_name.get(name)
