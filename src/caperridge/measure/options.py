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
