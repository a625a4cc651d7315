"""Tasks that own their state and talk by messages."""

import asyncio
import contextlib
from typing import Any

from caperridge.log import logger

log = logger(__name__)


class _Due:
    """Tells a task that the time to be idle has come, unless it has passed since."""

    __slots__ = ("at",)

    def __init__(self, at: float) -> None:
        self.at = at


class Actor:
    """One task with a mailbox; messages are handled one at a time, in order.

    A subclass overrides :meth:`handle`, usually with ``singledispatchmethod``, and
    :meth:`idle`, which runs when no message came for ``idle_s`` seconds.
    """

    idle_s = 1.0
    most_messages = 10_000

    def __init__(self) -> None:
        self._mailbox: asyncio.Queue[Any] = asyncio.Queue(self.most_messages)
        self._task: asyncio.Task[None] | None = None
        self.dropped = 0

    def start(self) -> None:
        """Start the task; needs a running loop."""
        name = type(self).__name__
        self._task = asyncio.get_running_loop().create_task(self._run(), name=name)

    async def stop(self) -> None:
        """Cancel the task and wait for its end."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    def tell(self, message: Any) -> bool:
        """Put ``message`` into the mailbox; False, and counted, if it is full."""
        try:
            self._mailbox.put_nowait(message)
        except asyncio.QueueFull:
            self.dropped += 1
            return False
        return True

    async def handle(self, message: Any) -> None:
        """Act on one message."""
        raise NotImplementedError(type(message).__name__)

    async def idle(self) -> None:
        """Act when no message came for a while, and once at the start."""

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        timer = loop.call_at(due, self._wake, due)
        # Binding a singledispatchmethod costs more than most messages do.
        handle = self.handle
        try:
            while True:
                message = await self._mailbox.get()
                woken = isinstance(message, _Due)
                try:
                    if not woken:
                        await handle(message)
                    if loop.time() >= due or (woken and message.at == due):
                        timer.cancel()
                        due = loop.time() + self.idle_s
                        timer = loop.call_at(due, self._wake, due)
                        await self.idle()
                except Exception:
                    # One bad message must not end the task that all others rely on.
                    log.exception("a message could not be handled", actor=str(self))
        finally:
            timer.cancel()

    def _wake(self, due: float) -> None:
        """Put the time to be idle into the mailbox; one timer costs less than many.

        A full mailbox needs no such message: the time is looked at after each one.
        """
        with contextlib.suppress(asyncio.QueueFull):
            self._mailbox.put_nowait(_Due(due))

    def __str__(self) -> str:
        return type(self).__name__
