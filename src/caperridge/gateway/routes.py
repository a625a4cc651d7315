"""Routes: which service serves a request, and what may be done with it."""

from collections.abc import Iterable

import xxhash

from caperridge.records import Record

# Kinds of a route.
SAFE = "safe"  # may run more than once
UNSAFE = "unsafe"  # at most once
STREAMING = "streaming"  # answered by events; at most once unless resumable
BATCH = "batch"  # takes jobs of items that run later


class Share(Record):
    """Part of a route's requests that a service gets, by weight."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class BatchTerms(Record):
    """What a route that takes jobs says of them.

    Attributes:
        due_s: from a job's first send until all results are due.
        max_waiting_tokens: of unfinished items on the route; 0 for no limit.
        retention_s: from the first send until an item may be given up.
    """

    __slots__ = ("due_s", "max_waiting_tokens", "retention_s")

    def __init__(
        self, due_s: float, max_waiting_tokens: int, retention_s: float
    ) -> None:
        self.due_s = due_s
        self.max_waiting_tokens = max_waiting_tokens
        self.retention_s = retention_s


class Route(Record):
    """Which requests it takes, who serves them, and how.

    Attributes:
        name: unique in a configuration.
        host: value of the ``Host`` header, without a port.
        path_prefix: begins and ends with a slash.
        kind: ``SAFE``, ``UNSAFE``, ``STREAMING`` or ``BATCH``.
        shares: the services, by weight.
        timeout_s: longest that a request may be held.
        objective_s: time to the answer, or its first event, that callers expect.
        rank: 0 is the most urgent.
        max_attempts: greatest number of targets that one request may be sent to.
        resumable: a stream may be continued at another target.
        event_gap_s: longest pause between events that callers expect; 0 if unknown.
        batch: terms of jobs; None unless ``kind`` is ``BATCH``.
    """

    __slots__ = (
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
    ) -> None:
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

    def service_for(self, request: str) -> str:
        """Return the service that serves the request of this id.

        >>> route = Route("r", "h", "/", SAFE, [Share("a", 0), Share("b", 1)], 1.0)
        >>> route.service_for("any")
        'b'
        """
        whole = sum(share.weight for share in self.shares)
        point = xxhash.xxh3_64_intdigest(request.encode()) / 2**64 * whole
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


class Service(Record):
    """A group of targets that serve the same.

    Attributes:
        name: as routes and targets have it.
        health_path: answers 200 while a target is healthy.
        slots: requests that a target works on at a time, unless it says otherwise.
    """

    __slots__ = ("health_path", "name", "slots")

    def __init__(self, name: str, health_path: str = "/", slots: int = 1) -> None:
        self.name = name
        self.health_path = health_path
        self.slots = slots


class CallerLimits(Record):
    """What callers may send, and how long they may take.

    Attributes:
        header_bytes: of a request's head.
        body_bytes: of a request's body.
        header_s: for the head to arrive.
        idle_s: that a kept connection may rest.
    """

    __slots__ = ("body_bytes", "header_bytes", "header_s", "idle_s")

    def __init__(
        self, header_bytes: int, body_bytes: int, header_s: float, idle_s: float
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_s = header_s
        self.idle_s = idle_s


class RoutingTable:
    """One version of the configuration; never changed after it was made."""

    __slots__ = (
        "_batch_routes_by_name",
        "_routes_by_host",
        "limits",
        "routes",
        "services_by_name",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes = list(routes)
        self.services_by_name = {service.name: service for service in services}
        self.limits = limits
        self._batch_routes_by_name = {
            route.name: route for route in self.routes if route.kind == BATCH
        }
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
        bare = path.partition("?")[0]
        for route in self._routes_by_host.get(name, ()):
            if bare.startswith(route.path_prefix):
                return route
        return None

    def batch_route(self, name: str) -> Route | None:
        """Return the route ``name`` if it takes jobs.

        Asked for every job at each change of a count, whatever the number of routes.
        """
        return self._batch_routes_by_name.get(name)
