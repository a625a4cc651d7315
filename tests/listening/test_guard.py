"""Which connection is closed when another one needs its place."""

import pytest
from prometheus_client import CollectorRegistry

from caperridge.listening.guard import Client, ConnectionGuard, Listening
from caperridge.listening.limits import ConnectionSettings
from caperridge.machine import Machine

SETTINGS = ConnectionSettings()
CALLERS = Listening("callers", SETTINGS.limits)
PEERS = Listening("peers", SETTINGS.limits)


class Connected(Client):
    """A client that has been idle for ``idle_s``."""

    def __init__(self, listening: Listening, idle_s: float, busy: bool = False) -> None:
        super().__init__(listening)
        self.idle_s = idle_s
        self.is_busy = busy
        self.closed = False

    @property
    def busy(self) -> bool:
        return self.is_busy

    def stalled_s(self, now: float) -> float:
        return self.idle_s

    def check(self, now: float) -> None:
        raise AssertionError

    def revoke(self) -> None:
        raise AssertionError

    def make_room(self) -> None:
        self.closed = True


@pytest.fixture
async def guard() -> ConnectionGuard:
    return ConnectionGuard(Machine(2**30, 120), SETTINGS, CollectorRegistry())


def fill(guard: ConnectionGuard, clients: list[Connected]) -> None:
    assert len(clients) == guard.max_connections
    for client in clients:
        assert guard.add(client)


async def test_the_listener_with_most_idle_connections_gives_way(
    guard: ConnectionGuard,
) -> None:
    """Guards against a crowd at one listener that pushes out callers of another."""
    caller = Connected(CALLERS, idle_s=0.5)
    crowd = [Connected(PEERS, idle_s=0.1) for _ in range(guard.max_connections - 1)]
    fill(guard, [caller, *crowd])
    assert guard.add(Connected(PEERS, idle_s=0.0))
    assert not caller.closed
    assert sum(one.closed for one in crowd) == 1
    guard.close()


async def test_of_one_listener_the_longest_idle_connection_gives_way(
    guard: ConnectionGuard,
) -> None:
    clients = [Connected(CALLERS, float(n)) for n in range(guard.max_connections)]
    fill(guard, clients)
    assert guard.add(Connected(CALLERS, 0.0))
    assert [one.closed for one in clients] == [False] * (len(clients) - 1) + [True]
    guard.close()


async def test_nobody_whose_request_runs_gives_way(guard: ConnectionGuard) -> None:
    """Guards against cutting off requests that may run already."""
    count = guard.max_connections
    clients = [Connected(CALLERS, 9.0, busy=True) for _ in range(count)]
    fill(guard, clients)
    assert not guard.add(Connected(PEERS, 0.0))
    assert not any(one.closed for one in clients)
    guard.close()
