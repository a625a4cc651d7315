"""What is saved of chunks before they are committed: results, and faults of items.

Results need not be redone then, and an item that breaks its targets is failed after a
bounded number of attempts, however often its holder changes.

Each checkpoint holds what ended since the last one. The objects of a session are
:data:`SLOTS` slots that are written in turn; the first of each turn holds everything
that is not committed, so that the others may be written over. A reader takes all
slots: a result that is older than it need be is still right.
"""

from collections.abc import Iterable
from typing import Any

from caperridge.decisions.jobs import ItemFaults
from caperridge.instance.batch_messages import CheckpointWanted
from caperridge.instance.chunk_work import ChunkWork
from caperridge.records import pack

SLOTS = 8
EVERY_S = 5.0
EVERY_ITEMS = 50
FAULTS_S = 0.5  # sooner: what a lost instance forgot of them is tried again
IRREPLACEABLE_S = 0.25  # sooner still: what is lost of them can never be had again


class Checkpoints:
    """Decides when to save what.

    At 13 items a second and instance, 390 instances write 78 objects a second.
    """

    def __init__(self) -> None:
        self._new: list[tuple[str, dict[str, Any]]] = []
        self._slot = 0
        self._due = 0.0

    def failed(self, job: str, faults: ItemFaults, now: float) -> None:
        """Note the faults of an item that is to be tried again."""
        self._note(job, faults.to_map(), now + FAULTS_S)

    def ended(
        self, job: str, result: dict[str, Any], now: float, irreplaceable: bool = False
    ) -> None:
        """Note the result of an item; one that cannot be had again is saved sooner."""
        due = now + (IRREPLACEABLE_S if irreplaceable else EVERY_S)
        self._note(job, result, due)

    def _note(self, job: str, fields: dict[str, Any], due: float) -> None:
        self._due = min(self._due, due) if self._new else due
        self._new.append((job, fields))

    def due(self, now: float) -> bool:
        """Return whether enough ended, or long enough ago."""
        if len(self._new) >= EVERY_ITEMS:
            return True
        return bool(self._new) and now >= self._due

    def reset(self) -> None:
        """Begin anew: the session is another one."""
        self._new = []
        self._slot = 0

    def take(self, session: str, works: Iterable[ChunkWork]) -> CheckpointWanted:
        """Return the next checkpoint.

        Args:
            session: the own session.
            works: the chunks in hand.
        """
        results, self._new = self._new, []
        slot = self._slot
        self._slot = (slot + 1) % SLOTS
        if slot == 0:
            results = _all(works)
        return CheckpointWanted(session, slot, pack(results))


def _all(works: Iterable[ChunkWork]) -> list[tuple[str, dict[str, Any]]]:
    results: list[tuple[str, dict[str, Any]]] = []
    for work in works:
        for result in work.results_by_index.values():
            results.append((work.job.id, result.to_map()))
        for faults in work.faults():
            results.append((work.job.id, faults.to_map()))
    return results
