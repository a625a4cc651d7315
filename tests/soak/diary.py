"""When processes lived and were stopped, and when something was wrong around them."""

import asyncio
import signal

# Trouble before a moment still acts at it: peers, the store and targets are heard of
# again within this time (seconds; the users' pages count from it as well).
CONTACT_S = 3.0
EVERYBODY = ""


class Life:
    """One process of an instance.

    Attributes:
        instance: its id.
        began: when the process was started, on the loop's clock as all times here.
        term: when it first got SIGTERM; None if it has not.
        ended: when its end was seen; None while it runs.
        code: it ended with.
    """

    def __init__(self, instance: str, began: float) -> None:
        self.instance = instance
        self.began = began
        self.term: float | None = None
        self.ended: float | None = None
        self.code: int | None = None


class Trouble:
    """A fault from outside that is not planned work, at one instance or everybody."""

    def __init__(self, instance: str, what: str, began: float) -> None:
        self.instance = instance
        self.what = what
        self.began = began
        self.ended = float("inf")

    def end(self) -> None:
        """Note that it is over."""
        self.ended = now()


class Diary:
    """What was done to the instances of one soak, and how late the soak itself was.

    Attributes:
        lives: of all processes, in order of their start.
        troubles: that came.
        late: (moment, seconds) of each time at which the soak's own loop ran late.
    """

    def __init__(self) -> None:
        self.lives: list[Life] = []
        self.troubles: list[Trouble] = []
        self.late: list[tuple[float, float]] = []

    def begin(self, instance: str, what: str) -> Trouble:
        """Note trouble that lasts until its ``end``."""
        trouble = Trouble(instance, what, now())
        self.troubles.append(trouble)
        return trouble

    def signalled(self, life: Life, number: signal.Signals) -> None:
        """Note a signal; SIGHUP is planned work that ends nothing."""
        if number == signal.SIGTERM and life.term is None:
            life.term = now()
        if number in (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT):
            self.begin(life.instance, number.name).end()

    def calm(
        self, instance: str, since: float, until: float, alone: bool = False
    ) -> bool:
        """Whether nothing but planned work acted on an instance in this time.

        Args:
            instance: its id.
            since: the time begins.
            until: the time ends.
            alone: leave out what acted on everybody.
        """
        acting = (instance,) if alone else (instance, EVERYBODY)
        for trouble in self.troubles:
            if trouble.instance not in acting:
                continue
            if trouble.began <= until and trouble.ended >= since - CONTACT_S:
                return False
        return True

    def late_s(self, since: float, until: float) -> float:
        """Return by how much the soak's own reading may have been late."""
        found = [late for at, late in self.late if at >= since and at - late <= until]
        return max(found, default=0.0)

    async def watch_itself(self) -> None:
        """Note how late this process is itself."""
        while True:
            before = now()
            await asyncio.sleep(0.01)
            late = now() - before - 0.01
            self.late.append((now(), late))


def now() -> float:
    """Return the loop's time."""
    return asyncio.get_running_loop().time()
