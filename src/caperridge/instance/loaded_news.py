"""What targets hold, as their orderers tell all instances."""

from collections.abc import Callable

from caperridge.decisions.loaded_book import LoadedState, LoadedStates
from caperridge.decisions.reconcile import Loaded
from caperridge.peers.messages import LoadedNews

TELL_S = 60.0  # peers are told again, since news may be lost


class LoadedTeller:
    """Keeps the book of what targets hold, and tells peers of what changes in it.

    Args:
        book: what is known of each target.
        send: tells all peers.
        changed: called after each change of the book.
        clock: monotonic seconds.
    """

    def __init__(
        self,
        book: LoadedStates,
        send: Callable[[LoadedNews], None],
        changed: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._book = book
        self._send = send
        self._changed = changed
        self._clock = clock
        self._sequence = 0
        self._told_at_by_target: dict[str, float] = {}

    def heard(self, news: LoadedNews) -> None:
        """Take over news of a peer, and pass it on if it is new here."""
        loaded = Loaded.from_map(news.loaded)
        state = LoadedState(news.fence, news.sequence, loaded, news.held)
        known = self._book.by_target.get(news.target)
        if not self._book.apply(news.target, state):
            return
        if known is None or known.loaded != loaded or known.held != news.held:
            # Zones have few links between them: whoever hears it first passes it on.
            self._send(news)
            self._changed()

    def tell(self, target_id: str, fence: int, loaded: Loaded, held: bool) -> None:
        """Tell what a target holds that is ordered here under ``fence``.

        Args:
            target_id: which target.
            fence: the number that it is ordered under.
            loaded: what it says that it holds.
            held: whether new requests are held off it.
        """
        known = self._book.by_target.get(target_id)
        now = self._clock()
        told = known is not None and known.fence == fence
        told_at = self._told_at_by_target.get(target_id, float("-inf"))
        told = told and now < told_at + TELL_S
        if told and known.loaded == loaded and known.held == held:
            return
        self._told_at_by_target[target_id] = now
        self._sequence += 1
        self._book.apply(target_id, LoadedState(fence, self._sequence, loaded, held))
        self._changed()
        self._send(LoadedNews(target_id, fence, self._sequence, loaded.to_map(), held))

    def forget(self, target_id: str) -> None:
        """Tell anew of a target when it is ordered here again."""
        self._told_at_by_target.pop(target_id, None)
