"""The model loaded at each target as its orderer reports it, for use by routing."""

from caperridge.config.model import Service
from caperridge.decisions.reconcile import BATCH, Loaded
from caperridge.records import Record


class LoadedState(Record):
    """The last report about a target.

    Attributes:
        fence: the orderer's fencing token.
        sequence: number that rises with each report of that orderer.
        loaded: what the target has loaded.
        held: whether it is about to load and should get no new work.
    """

    __slots__ = ("fence", "held", "loaded", "sequence")

    def __init__(
        self, fence: int, sequence: int, loaded: Loaded, held: bool = False
    ) -> None:
        self.fence = fence
        self.sequence = sequence
        self.loaded = loaded
        self.held = held


class LoadedStates:
    """The last report by target; a target without a report is assumed to serve."""

    def __init__(self) -> None:
        self.by_target: dict[str, LoadedState] = {}

    def apply(self, target: str, state: LoadedState) -> bool:
        """Apply a report; return whether it was newer than the known one."""
        known = self.by_target.get(target)
        if known is not None:
            stale = (state.fence, state.sequence) <= (known.fence, known.sequence)
            if stale:
                return False
        self.by_target[target] = state
        return True

    def retain(self, targets: set[str]) -> None:
        """Remove all targets except ``targets``."""
        for target in list(self.by_target):
            if target not in targets:
                del self.by_target[target]

    def closed_to_online(self, target: str, service: Service) -> bool:
        """Return whether a target should get no online request of its service."""
        state = self.by_target.get(target)
        if state is None:
            return False
        if state.held or state.loaded.role == BATCH:
            return True
        return bool(state.loaded.model) and state.loaded.model != service.model

    def closed_to_batch(self, target: str) -> bool:
        """Return whether a target should get no new batch item."""
        state = self.by_target.get(target)
        return state is not None and state.held
