"""What happens to instances whose requests share prompt parts, some of them fatal."""

from caperridge.records import Record


class Scenario(Record):
    """What happens; times are in seconds from the start.

    Attributes:
        instances: number of instances.
        targets: number of targets.
        seconds: how long it lasts.
        fatal_from: when the first fatal request is sent.
        fatal_per_s: rate of the fatal requests of each fatal part.
        fatal_parts: number of fatal second parts.
        fatal_first: the fatal part is a first part.
        fatal_targets: share of the targets that fatal parts crash.
        fatal_idempotent: they are streams that are moved.
        sound_before: the part has been a popular one that ran well.
        crash_interval_s: mean time between crashes that no part causes; 0 for none.
        lost_ratio: share of the targets that crash at once, two seconds after the
            first fatal request.
        coincidences: crashes that come by chance as a run of one rare part begins.
        fresh_at: when one more instance starts; 0 for none. Half of the fatal requests
            then come to it.
        cut: from and until when the last zone is cut off; None for never.
    """

    __slots__ = (
        "coincidences",
        "crash_interval_s",
        "cut",
        "fatal_first",
        "fatal_from",
        "fatal_idempotent",
        "fatal_parts",
        "fatal_per_s",
        "fatal_targets",
        "fresh_at",
        "instances",
        "lost_ratio",
        "seconds",
        "sound_before",
        "targets",
    )

    def __init__(
        self,
        instances: int,
        targets: int,
        seconds: float = 30.0,
        fatal_from: float = 5.0,
        fatal_per_s: float = 3.0,
        fatal_parts: int = 1,
        fatal_first: bool = False,
        fatal_targets: float = 1.0,
        fatal_idempotent: bool = False,
        sound_before: bool = False,
        crash_interval_s: float = 0.0,
        lost_ratio: float = 0.0,
        coincidences: int = 0,
        fresh_at: float = 0.0,
        cut: tuple[float, float] | None = None,
    ) -> None:
        self.instances = instances
        self.targets = targets
        self.seconds = seconds
        self.fatal_from = fatal_from
        self.fatal_per_s = fatal_per_s
        self.fatal_parts = fatal_parts
        self.fatal_first = fatal_first
        self.fatal_targets = fatal_targets
        self.fatal_idempotent = fatal_idempotent
        self.sound_before = sound_before
        self.crash_interval_s = crash_interval_s
        self.lost_ratio = lost_ratio
        self.coincidences = coincidences
        self.fresh_at = fresh_at
        self.cut = cut
