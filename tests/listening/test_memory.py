"""The memory of all clients: who gets it, who waits, and who gives way."""

import asyncio

import pytest

from caperridge.listening.memory import (
    CONNECTION_BYTES,
    SMALL_BYTES,
    STALL_S,
    Holder,
    MemoryBudget,
)

CAPACITY = 2**20
LARGE = CAPACITY // 2


class Client(Holder):
    """A client that last moved at ``moved_at``."""

    def __init__(self, moved_at: float = 0.0) -> None:
        super().__init__()
        self.moved_at = moved_at
        self.cut = False

    def stalled_s(self, now: float) -> float:
        return now - self.moved_at

    def revoke(self) -> None:
        self.cut = True


@pytest.fixture
async def memory() -> MemoryBudget:
    return MemoryBudget(CAPACITY)


async def test_what_was_given_back_can_be_taken_again(memory: MemoryBudget) -> None:
    one, two = Client(), Client()
    assert memory.take(one, CAPACITY, False, 0.0)
    assert not memory.take(two, 1, False, 0.0)
    memory.release(one)
    assert memory.take(two, CAPACITY, False, 0.0)
    assert (one.held_bytes, two.held_bytes, memory.held_bytes) == (
        0,
        CAPACITY,
        CAPACITY,
    )


async def test_small_requests_have_a_part_that_large_ones_cannot_take(
    memory: MemoryBudget,
) -> None:
    """Guards against ordinary callers without memory beside a crowd of large ones."""
    large = Client()
    assert memory.take(large, LARGE, True, 0.0)
    assert not memory.take(Client(), LARGE, True, 0.0)
    assert memory.take(Client(), SMALL_BYTES, False, 0.0)


async def test_a_large_request_that_is_the_only_one_is_always_served(
    memory: MemoryBudget,
) -> None:
    """Guards against refusing a body that no free memory could ever hold."""
    assert memory.take(Client(), CONNECTION_BYTES, False, 0.0)
    assert memory.take(Client(), 4 * CAPACITY, True, 0.0)
    assert not memory.take(Client(), LARGE, True, 0.0)


async def test_the_client_that_stalled_longest_gives_way(memory: MemoryBudget) -> None:
    clients = [Client(moved_at) for moved_at in (5.0, 1.0, 9.0)]
    for client in clients:
        assert memory.take(client, CAPACITY // 3, False, 9.0)
        memory.set_revocable(client, True)
    assert memory.take(Client(9.0), CAPACITY // 3, False, 9.0)
    assert [client.cut for client in clients] == [False, True, False]


@pytest.mark.parametrize("revocable", [True, False])
async def test_who_moves_or_has_a_promise_is_not_cut_off(
    revocable: bool, memory: MemoryBudget
) -> None:
    """Guards against cutting off a request that may run already."""
    client = Client()
    assert memory.take(client, CAPACITY, False, 0.0)
    memory.set_revocable(client, revocable)
    now = STALL_S / 2 if revocable else 10 * STALL_S
    assert not memory.take(Client(now), 1, False, now)
    assert not client.cut


async def test_of_bodies_that_grow_the_largest_gives_way(memory: MemoryBudget) -> None:
    """Guards against bodies in chunks that all wait for each other's memory."""
    small, large = Client(), Client()
    for client, size in ((small, LARGE // 2), (large, LARGE)):
        assert memory.grow(client, size, True, 0.0)
        memory.set_revocable(client, True)
    assert not memory.grow(large, LARGE, True, 0.0)
    assert memory.grow(small, LARGE // 2, True, 0.0)
    assert large.cut and not small.cut


async def test_a_wait_ends_when_memory_is_given_back(memory: MemoryBudget) -> None:
    loop = asyncio.get_running_loop()
    holder, waiter = Client(loop.time()), Client()
    assert memory.take(holder, LARGE, True, loop.time())
    deadline = loop.time() + 60.0
    waiting = loop.create_task(memory.take_until(waiter, LARGE, True, deadline))
    await asyncio.sleep(0)
    assert not waiting.done()
    memory.release(holder)
    assert await waiting
    assert waiter.held_bytes == LARGE


async def test_a_wait_ends_at_its_deadline(memory: MemoryBudget) -> None:
    loop = asyncio.get_running_loop()
    assert memory.take(Client(loop.time()), LARGE, True, loop.time())
    assert not await memory.take_until(Client(), LARGE, True, loop.time())
    assert memory.held_bytes == LARGE


async def test_an_answer_in_use_is_counted_beyond_the_capacity(
    memory: MemoryBudget,
) -> None:
    """Guards against a ready answer that is not delivered for want of memory."""
    client = Client()
    memory.force(client, 2 * CAPACITY, 0.0)
    assert memory.held_bytes == 2 * CAPACITY
    memory.release(client, CONNECTION_BYTES)
    assert memory.held_bytes == CONNECTION_BYTES


async def test_an_answer_that_is_the_only_one_never_waits(
    memory: MemoryBudget,
) -> None:
    """Guards against requests that hold the memory and wait for their answers."""
    body, one, two = Client(), Client(), Client()
    assert memory.take(body, CAPACITY, False, 0.0)
    assert memory.take_answer(one, LARGE, 0.0)
    assert not memory.take_answer(two, LARGE, 0.0)
    memory.release(one)
    assert memory.take_answer(two, LARGE, 0.0)


async def test_an_answer_that_is_not_read_gives_way_to_another(
    memory: MemoryBudget,
) -> None:
    unread, next_one = Client(), Client()
    assert memory.take_answer(unread, CAPACITY, 0.0)
    memory.set_revocable(unread, True)
    assert not memory.take_answer(next_one, LARGE, STALL_S / 2)
    assert memory.take_answer(next_one, LARGE, STALL_S)
    assert unread.cut and memory.held_bytes == LARGE


async def test_a_client_that_has_left_keeps_nothing(memory: MemoryBudget) -> None:
    """Guards against memory that nobody holds and nobody gives back."""
    client = Client()
    assert memory.take(client, LARGE, False, 0.0)
    memory.release(client)
    memory.release(client, CONNECTION_BYTES)
    assert (client.held_bytes, memory.held_bytes) == (0, 0)
