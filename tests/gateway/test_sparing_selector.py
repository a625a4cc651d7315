"""Leaving out looks for events: none is lost, and none waits for long."""

import asyncio
import selectors
import socket
from collections.abc import Iterator

import pytest

from caperridge.gateway.sparing_selector import MOST_LEFT_OUT, SparingSelector

Ends = tuple[socket.socket, socket.socket]


@pytest.fixture
def ends() -> Iterator[Ends]:
    pair = socket.socketpair()
    yield pair
    for end in pair:
        end.close()


@pytest.fixture
def selector(ends: Ends) -> Iterator[SparingSelector]:
    made = SparingSelector()
    made.register(ends[0], selectors.EVENT_READ)
    yield made
    made.close()


def test_an_event_is_found_after_a_few_looks_that_do_not_wait(
    selector: SparingSelector, ends: Ends
) -> None:
    ends[1].send(b"x")
    for _ in range(3):
        found = [bool(selector.select(0)) for _ in range(MOST_LEFT_OUT + 1)]
        assert found == [False] * MOST_LEFT_OUT + [True]


@pytest.mark.parametrize("timeout", [None, 0.5])
def test_a_look_that_may_wait_is_never_left_out(
    selector: SparingSelector, ends: Ends, timeout: float | None
) -> None:
    ends[1].send(b"x")
    for _ in range(MOST_LEFT_OUT + 2):
        assert selector.select(timeout)


def test_a_loop_that_never_rests_hears_of_events() -> None:
    async def hears_while_busy() -> bytes:
        loop = asyncio.get_running_loop()
        busy = True

        def turn() -> None:
            if busy:
                loop.call_soon(turn)

        turn()
        one, other = socket.socketpair()
        with one, other:
            one.setblocking(False)
            loop.call_later(0.01, other.send, b"x")
            async with asyncio.timeout(10):
                heard = await loop.sock_recv(one, 1)
        busy = False
        return heard

    loop = asyncio.SelectorEventLoop(SparingSelector())
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        assert runner.run(hears_while_busy()) == b"x"


def test_a_chain_of_callbacks_takes_fewer_looks_than_turns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    looks: list[float | None] = []
    base = selectors.DefaultSelector
    look = base.select

    def counted(self: SparingSelector, timeout: float | None = None) -> list:
        looks.append(timeout)
        return look(self, timeout)

    monkeypatch.setattr(base, "select", counted)

    async def chain() -> None:
        for _ in range(30):
            await asyncio.sleep(0)

    loop = asyncio.SelectorEventLoop(SparingSelector())
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(chain())
    assert len(looks) < 20
