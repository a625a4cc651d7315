"""What runs the dispatcher's items: batch streams, or calls of plain services."""

from typing import Any

from caperridge.instance.batch_streams import BatchStreams
from caperridge.instance.item_work import ItemWork, PlainItemWork
from caperridge.instance.plain_items import PlainItems


class ItemRunners:
    """Hands each item to the runner of its kind, and speaks to both at once.

    Args:
        streams: for items of engine services.
        plain: for items of plain services.
    """

    def __init__(self, streams: BatchStreams, plain: PlainItems) -> None:
        self._streams = streams
        self._plain = plain

    @property
    def running(self) -> bool:
        """Whether an item runs at a target."""
        return self._streams.running or self._plain.running

    def room(self, service: str) -> int | None:
        """Return how many more items of ``service`` are wanted; None: none can run."""
        found = self._streams.configuration.services_by_name.get(service)
        if found is not None and found.kind == "plain":
            return self._plain.room(service)
        if not self._streams.serves(service):
            return None
        return self._streams.room(service)

    def serves(self, service: str) -> bool:
        """Return whether items of ``service`` can run here at all."""
        found = self._streams.configuration.services_by_name.get(service)
        if found is None:
            return False
        return found.kind == "plain" or self._streams.serves(service)

    def submit(self, work: ItemWork) -> None:
        """Take an item; it comes back when it ends."""
        if isinstance(work, PlainItemWork):
            self._plain.submit(work)
            return
        self._streams.submit(work)

    def cancel_job(self, job: str) -> None:
        """Stop and forget every item of ``job``."""
        self._streams.cancel_job(job)
        self._plain.cancel_job(job)

    def drop_all(self) -> None:
        """Stop and forget everything, e.g. when the lease is lost."""
        self._streams.drop_all()
        self._plain.drop_all()

    def fill(self) -> None:
        """Start what fits."""
        self._streams.fill()
        self._plain.fill()

    async def release(self) -> None:
        """Give back what was started durably but not sent, before a planned stop."""
        await self._plain.release()

    def state(self) -> dict[str, Any]:
        """Return what runs and waits, for the dump."""
        state = self._streams.state()
        plain = self._plain.state()
        state["running"] = [*state["running"], *plain["running"]]
        state["plain"] = plain
        return state
