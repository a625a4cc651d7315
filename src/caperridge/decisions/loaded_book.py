"""What each target holds, as its orderer says; routing leaves out what cannot serve."""

from caperridge.config.model import Service
from caperridge.decisions.reconcile import BATCH, Loaded
from caperridge.records import Record


class LoadedState(Record):
    """What was last told of a target.

    Attributes:
        fence: the orderer's fencing number.
        sequence: raised with each news of that orderer.
        loaded: what the target holds.
        held: it is about to load, and should get nothing new.
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
    """By target; one that nobody told of is taken to serve."""

    def __init__(self) -> None:
        self.by_target: dict[str, LoadedState] = {}

    def apply(self, target: str, state: LoadedState) -> bool:
        """Take over news; return whether it was newer than what was known."""
        known = self.by_target.get(target)
        if known is not None:
            older = (state.fence, state.sequence) <= (known.fence, known.sequence)
            if older:
                return False
        self.by_target[target] = state
        return True

    def retain(self, targets: set[str]) -> None:
        """Forget targets that are no longer listed."""
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
