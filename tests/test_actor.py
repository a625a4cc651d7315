"""The base of the tasks: messages in order, idle in time, errors survived."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from caperridge.instance.actor import Actor
from conftest import until


class Counting(Actor):
    """Notes what it was told and how often it was idle."""

    idle_s = 0.02
    most_messages = 50

    def __init__(self) -> None:
        super().__init__()
        self.heard: list[object] = []
        self.idles = 0

    async def handle(self, message: object) -> None:
        if message == "bad":
            raise ValueError(message)
        self.heard.append(message)

    async def idle(self) -> None:
        self.idles += 1
        if self.idles == 2:
            raise ValueError("idle")


@pytest.fixture
async def actor() -> AsyncIterator[Counting]:
    actor = Counting()
    yield actor
    await actor.stop()


async def test_it_is_idle_at_the_start_and_again_without_messages(
    actor: Counting,
) -> None:
    actor.start()
    await until(lambda: actor.idles >= 5)
    assert actor.heard == []


async def test_messages_come_in_order_and_a_bad_one_is_survived(
    actor: Counting,
) -> None:
    for message in (1, "bad", 2, 3):
        assert actor.tell(message)
    actor.start()
    await until(lambda: actor.heard == [1, 2, 3])


async def test_it_is_idle_although_messages_never_stop(actor: Counting) -> None:
    actor.start()
    async with asyncio.timeout(10):
        while actor.idles < 5:
            actor.tell(actor.idles)
            await asyncio.sleep(0)


async def test_a_full_mailbox_is_told_and_does_not_stop_it(actor: Counting) -> None:
    told = [actor.tell(number) for number in range(actor.most_messages + 1)]
    assert told.count(False) == actor.dropped == 1
    actor.start()
    await until(lambda: actor.idles >= 3)
    assert len(actor.heard) == actor.most_messages
