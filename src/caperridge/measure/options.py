"""What every experiment is told."""

from caperridge.records import Record


class Options(Record):
    """Options of one run of an experiment.

    Attributes:
        seed: of every random choice.
        seconds: how long the load lasts, roughly; 0 for the experiment's own.
    """

    __slots__ = ("seconds", "seed")

    def __init__(self, seed: int = 1, seconds: float = 0.0) -> None:
        self.seed = seed
        self.seconds = seconds

    def scale(self, own_seconds: float) -> float:
        """Return how much of its own load an experiment runs.

        Args:
            own_seconds: how long the whole load takes.

        >>> Options().scale(50.0), Options(seconds=10.0).scale(50.0)
        (1.0, 0.2)
        """
        if self.seconds <= 0:
            return 1.0
        return self.seconds / own_seconds
