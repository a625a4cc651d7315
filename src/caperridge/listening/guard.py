"""All connections of a process: their number, their memory and the parser's time."""

import asyncio
import collections
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Protocol

from prometheus_client import CollectorRegistry, Counter, Gauge

from caperridge.listening.limits import CallerLimits, ConnectionSettings
from caperridge.listening.memory import (
    CONNECTION_BYTES,
    STALL_S,
    Holder,
    MemoryBudget,
)
from caperridge.log import logger
from caperridge.machine import Machine

log = logger(__name__)

READ_BYTES = 16 * 2**10
SWEEP_INTERVAL_S = 0.5
# Descriptors for peers, the store and files, also on a small machine.
MIN_OTHER_DESCRIPTORS = 48
# At the limit, so many connections are closed at once to make room.
ROOM_RATIO = 1 / 32
# Lines of the log about closed connections, for each reason in each interval.
LOG_INTERVAL_S = 10.0
MAX_LINES_PER_INTERVAL = 3


class Listening:
    """One listener and the limits of its clients.

    Attributes:
        name: in logs and metrics.
        limits: returns the limits in force.
    """

    __slots__ = ("limits", "name")

    def __init__(self, name: str, limits: Callable[[], CallerLimits]) -> None:
        self.name = name
        self.limits = limits


class Client(Holder, ABC):
    """A client that the guard may close.

    Attributes:
        listening: listener that accepted it, and its limits.
        idle_bytes: what the connection costs when nothing is being received on it.
        peer: host of the client, for the log.

    Args:
        listening: listener that accepted it, and its limits.
        idle_bytes: what the connection costs when nothing is being received on it.
    """

    __slots__ = ("idle_bytes", "listening", "peer")

    def __init__(
        self, listening: Listening, idle_bytes: int = CONNECTION_BYTES
    ) -> None:
        super().__init__()
        self.listening = listening
        self.idle_bytes = idle_bytes
        self.peer = ""

    @property
    @abstractmethod
    def busy(self) -> bool:
        """Whether something would be lost if it were closed."""

    @property
    def refused(self) -> bool:
        """Whether what it has sent runs nowhere, and the rest is not read."""
        return False

    @abstractmethod
    def check(self, now: float) -> None:
        """Close the connection if its client has taken too long.

        Args:
            now: on the event loop's clock.
        """

    @abstractmethod
    def make_room(self) -> None:
        """Close the connection, as another one needs its place."""


class Newcomer(Client):
    """A connection of which nothing is known yet but that it was accepted.

    Whoever accepted it bounds the time until it has proved what it is.
    """

    __slots__ = ("_since",)

    def __init__(
        self, listening: Listening, idle_bytes: int = CONNECTION_BYTES
    ) -> None:
        super().__init__(listening, idle_bytes)
        self._since = asyncio.get_running_loop().time()

    @property
    def busy(self) -> bool:
        """See :attr:`Client.busy`."""
        return False

    def stalled_s(self, now: float) -> float:
        """See :meth:`Holder.stalled_s`."""
        return now - self._since

    def check(self, now: float) -> None:
        """See :meth:`Client.check`."""


class Turn(Protocol):
    """Something that is read again when its turn comes."""

    def await_turn(self) -> None:
        """Stop reading."""

    def take_turn(self) -> None:
        """Read again."""


class ConnectionGuard:
    """Knows all connections of a process and closes those that cost too much.

    Attributes:
        memory: that all of them may hold.
        max_connections: that may be open.
        read_buffer: into which the connections are read, one after the other.
        settings: of all listeners.

    Args:
        machine: of the process.
        settings: of all listeners.
        registry: of the metrics.
    """

    def __init__(
        self,
        machine: Machine,
        settings: ConnectionSettings,
        registry: CollectorRegistry,
    ) -> None:
        self.settings = settings
        self.memory = MemoryBudget(int(machine.memory_bytes * settings.memory_ratio))
        descriptors = machine.descriptors - MIN_OTHER_DESCRIPTORS
        self.max_connections = max(1, int(descriptors * settings.descriptor_ratio))
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self._connections: set[Client] = set()
        self._turns: collections.deque[Turn] = collections.deque()
        self._sweep: asyncio.TimerHandle | None = None
        self._closed_log = ClosedLog()
        self._closed = Counter(
            "caperridge_connections_closed",
            "Connections that were closed for what their clients did, by reason.",
            ["listener", "reason"],
            registry=registry,
        )
        held = Gauge(
            "caperridge_connections_held_bytes",
            "Memory that the clients of all listeners hold.",
            registry=registry,
        )
        held.set_function(lambda: self.memory.held_bytes)
        open_connections = Gauge(
            "caperridge_connections_open",
            "Open connections of all listeners.",
            registry=registry,
        )
        open_connections.set_function(lambda: len(self._connections))

    def state(self) -> dict[str, int]:
        """Return what all clients hold, for the state dump."""
        return {
            "open": len(self._connections),
            "max_open": self.max_connections,
            "held_bytes": self.memory.held_bytes,
            "max_held_bytes": self.memory.capacity_bytes,
            "revoked": self.memory.revoked,
        }

    def add(self, connection: Client) -> bool:
        """Count a new connection; return False if there is no room for it."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        if len(self._connections) >= self.max_connections:
            self._make_room(now, max(1, int(self.max_connections * ROOM_RATIO)))
        room = len(self._connections) < self.max_connections
        size = connection.idle_bytes
        if room and not self.memory.take(connection, size, False, now):
            self._make_room(now, 1)
            room = self.memory.take(connection, size, False, now)
        if not room:
            self.count_closed(connection, "too many connections")
            return False
        self._connections.add(connection)
        if self._sweep is None:
            self._sweep = loop.call_later(SWEEP_INTERVAL_S, self._check_all)
        return True

    def remove(self, connection: Client) -> None:
        """Forget a connection that was closed."""
        self._connections.discard(connection)
        self.memory.release(connection)

    def close(self) -> None:
        """Stop checking."""
        if self._sweep is not None:
            self._sweep.cancel()
            self._sweep = None

    def count_closed(self, connection: Client, reason: str) -> None:
        """Count and log a connection that is closed."""
        name = connection.listening.name
        self._closed.labels(name, reason).inc()
        now = asyncio.get_running_loop().time()
        if self._closed_log.admits(name, reason, now):
            log.warning(
                "connection closed",
                listener=name,
                reason=reason,
                client=connection.peer,
                held_bytes=self.memory.held_bytes,
                connections=len(self._connections),
                not_logged=self._closed_log.take_skipped(name, reason),
            )

    def queue_turn(self, turn: Turn) -> None:
        """Let one connection after the other be read, one in each iteration."""
        if not self._turns:
            asyncio.get_running_loop().call_soon(self._next_turn)
        turn.await_turn()
        self._turns.append(turn)

    def _next_turn(self) -> None:
        if self._turns:
            self._turns.popleft().take_turn()
        if self._turns:
            asyncio.get_running_loop().call_soon(self._next_turn)

    def _make_room(self, now: float, count: int) -> None:
        """Close connections without a whole request.

        Refused ones go first, then those without any request: of the listener that has
        most of them the longest idle one. Then come stalled ones, and only then those
        that hold most of a body or an answer.
        """
        idle_by_listener = collections.Counter(
            one.listening.name for one in self._connections if not one.busy
        )
        candidates = [one for one in self._connections if not one.busy or one.revocable]
        candidates.sort(
            key=lambda one: (
                not one.refused,
                one.busy,
                one.busy and one.stalled_s(now) < STALL_S,
                -one.held_bytes if one.busy else 0,
                0 if one.busy else -idle_by_listener[one.listening.name],
                -one.stalled_s(now),
            )
        )
        for one in candidates[:count]:
            one.make_room()
            self.remove(one)

    def _check_all(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        for connection in list(self._connections):
            connection.check(now)
        self._sweep = None
        if self._connections:
            self._sweep = loop.call_later(SWEEP_INTERVAL_S, self._check_all)


class ClosedLog:
    """Bounds the lines about closed connections."""

    __slots__ = ("_lines_by_key", "_skipped_by_key")

    def __init__(self) -> None:
        self._lines_by_key: dict[tuple[str, str], tuple[float, int]] = {}
        self._skipped_by_key: dict[tuple[str, str], int] = {}

    def admits(self, listener: str, reason: str, now: float) -> bool:
        """Return whether a line is written now; count it if not."""
        key = (listener, reason)
        since, lines = self._lines_by_key.get(key, (now, 0))
        if now - since >= LOG_INTERVAL_S:
            since, lines = now, 0
        if lines < MAX_LINES_PER_INTERVAL:
            self._lines_by_key[key] = (since, lines + 1)
            return True
        self._skipped_by_key[key] = self._skipped_by_key.get(key, 0) + 1
        return False

    def take_skipped(self, listener: str, reason: str) -> int:
        """Return how many lines were not written since the last one."""
        return self._skipped_by_key.pop((listener, reason), 0)
