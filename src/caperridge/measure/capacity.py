"""What the target size takes, worked out from recorded slopes.

Pure functions: recorded runs in, the tables of docs/CAPACITY.md out. A figure that
no run has given is ``None`` and shown as "not measured", and so is whatever would be
worked out from it.
"""

import math
from collections.abc import Callable, Mapping
from typing import Any

from caperridge.decisions.chunks import CHUNK_DURATION_S, LANE_ITEMS
from caperridge.decisions.job_reads import (
    FALLBACK_POLL_INTERVAL_S,
    FALLBACK_SCAN_INTERVAL_S,
    POLL_INTERVAL_S,
    SCAN_INTERVAL_S,
)
from caperridge.decisions.leases import RENEWALS_PER_LEASE
from caperridge.instance.configuration import POLL_S as HEAD_POLL_S
from caperridge.instance.configuration import READER_POLL_S
from caperridge.instance.orderer import LOOK_S
from caperridge.records import Record
from caperridge.settings import Settings

NOT_MEASURED = "not measured"
Recorded = Mapping[str, Any]
Figure = float | None

INSTANCES = 390
RUNNERS = 1900
REQUESTS_PER_S = 6700
TOKENS_PER_S = 2_700_000
ITEMS_A_DAY = 430_000_000
JOBS_A_DAY = 1900
CALLERS = 14_000
ZONES = 17
CHANGES_A_DAY = 2200
REPLACEMENTS_A_DAY = 710
FAILURES_A_DAY = 17
DAY_S = 86_400
QUARTER_S = 900
BETWEEN_TOKENS_S = 0.054
CONTROL_CORE_SHARE = 0.024
CONTROL_MB = 64
CONTROL_KB_PER_S = 17

WRITES_PER_S = 300
READS_PER_S = 2000
ROWS_A_READ = 100
WATCHES_A_LEASE = 4
CLAIMED_AT_ONCE = 2
ROWS_A_CHANGE = 2  # the head and the version
ROWS_A_SWITCH = 2  # an orderer takes a target and releases it
JITTER = 1 / 8  # polls are earlier by up to a quarter
MODELS = 13

_defaults = Settings("-", "-", "http://-")
LEASE_S = _defaults.lease_s


class Slope(Record):
    """One measured slope, and where it comes from."""

    __slots__ = ("experiment", "path", "span", "unit", "what")

    def __init__(
        self, what: str, experiment: str, path: str, unit: str, span: str
    ) -> None:
        self.what = what
        self.experiment = experiment
        self.path = path
        self.unit = unit
        self.span = span


SLOPES = (
    Slope(
        "relay: a request",
        "relay",
        "cpu_us_a_request",
        "µs of processor time",
        "300 at once",
    ),
    Slope(
        "relay: a token that comes in a read of its own",
        "relay",
        "arms.1.a_read_us",
        "µs of processor time",
        "100 streams, 5,000 tokens/s",
    ),
    Slope(
        "relay: a further token in the same read",
        "relay",
        "cpu_us_an_event",
        "µs of processor time",
        "1 to 64 tokens a read",
    ),
    Slope(
        "relay: first token, added at p99",
        "relay",
        "added_ttft_p99_ms",
        "ms",
        "800 tokens/s beside it",
    ),
    Slope(
        "front: an open stream",
        "roles",
        "slopes.held_kib_a_stream",
        "KiB",
        "50 to 200 streams",
    ),
    Slope(
        "router: a choice",
        "routing",
        "two_1900.decision_us_p50",
        "µs of processor time",
        "112 and 1,900 targets",
    ),
    Slope(
        "router: a target listed",
        "roles",
        "slopes.held_kib_a_target",
        "KiB",
        "600 to 1,900 targets",
    ),
    Slope(
        "configuration reader: a caller",
        "roles",
        "slopes.held_kib_a_caller",
        "KiB",
        "100 to 14,000 callers",
    ),
    Slope(
        "configuration reader: a caller in a whole snapshot",
        "roles",
        "slopes.packed_kib_a_caller",
        "KiB",
        "100 to 14,000 callers",
    ),
    Slope(
        "configuration reader: a change applied, of 14,000 callers",
        "configuration",
        "with_14000_callers.apply_delta_s",
        "s of processor time",
        "14,000 callers",
    ),
    Slope(
        "configuration reader: a change in force everywhere, at p99",
        "configuration",
        "in_force_p99_s",
        "s",
        "the instances of the run",
    ),
    Slope(
        "chunk holder: a thousand items",
        "batch",
        "arms.no_faults.table_writes_per_1000_items",
        "table writes",
        "20,000 items, 5 jobs",
    ),
    Slope(
        "chunk holder: a thousand items",
        "batch",
        "arms.no_faults.table_reads_per_1000_items",
        "table reads",
        "20,000 items, 5 jobs",
    ),
    Slope(
        "chunk holder: a thousand items",
        "batch",
        "arms.no_faults.object_writes_per_1000_items",
        "object writes",
        "20,000 items, 5 jobs",
    ),
    Slope(
        "member: an idle instance",
        "roles",
        "by_instances.2.cpu_ms",
        "ms of processor time a second",
        "1 to 12 instances, 10 targets",
    ),
    Slope(
        "member: a target listed",
        "roles",
        "slopes.cpu_ms_a_target",
        "ms of processor time a second",
        "0 to 1,900 targets",
    ),
    Slope(
        "reads: one more idle instance that reads for itself",
        "reads",
        "slopes.alone_1900.an_instance",
        "table reads a second",
        "3 to 12 instances of a zone, 1,900 open jobs",
    ),
    Slope(
        "reads: one more idle instance whose zone has a reader",
        "reads",
        "slopes.shared_1900.an_instance",
        "table reads a second",
        "3 to 12 instances of a zone, 1,900 open jobs",
    ),
    Slope(
        "reads: a zone, beside its instances",
        "reads",
        "slopes.shared_1900.a_zone",
        "table reads a second",
        "3 to 12 instances of a zone, 1,900 open jobs",
    ),
    Slope(
        "all: one idle process, stand-ins and platform with it",
        "roles",
        "resident_mib_of_one",
        "MiB resident",
        "1 instance",
    ),
)


def figure(recorded: Recorded, experiment: str, path: str) -> Figure:
    """Return a recorded figure, or None.

    >>> figure({"relay": {"arms": [{"us": 7}]}}, "relay", "arms.0.us")
    7.0
    >>> figure({}, "relay", "arms.0.us") is None
    True
    """
    value: Any = recorded.get(experiment)
    for part in path.split("."):
        if isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
        elif isinstance(value, Mapping):
            value = value.get(part)
        else:
            return None
    return float(value) if isinstance(value, int | float) else None


def worked(formula: Callable[..., float], *inputs: Figure) -> Figure:
    """Return ``formula`` of the inputs, or None where one is not measured."""
    if any(value is None for value in inputs):
        return None
    return formula(*inputs)


class Load(Record):
    """What one mechanism asks of the platform in a second."""

    __slots__ = ("mechanism", "reads", "writes")

    def __init__(self, mechanism: str, writes: Figure, reads: Figure) -> None:
        self.mechanism = mechanism
        self.writes = writes
        self.reads = reads


def items_per_s() -> float:
    """Return the batch items a second, spread evenly over the day."""
    return ITEMS_A_DAY / DAY_S


def chunk_items() -> float:
    """Return the items of a chunk as an instance sizes it at its share."""
    share = items_per_s() / INSTANCES
    return min(LANE_ITEMS, share * CHUNK_DURATION_S)


def chunks_per_s() -> float:
    """Return the chunks claimed, and committed, in a second."""
    return items_per_s() / chunk_items()


def a_chunk(recorded: Recorded, path: str) -> Figure:
    """Return what a chunk takes, of a figure recorded for a thousand items."""
    arm = "arms.no_faults."
    per_thousand = figure(recorded, "batch", arm + path)
    chunks = figure(recorded, "batch", arm + "chunks")
    items = figure(recorded, "batch", arm + "accepted")
    return worked(lambda p, c, i: p * i / 1000 / c, per_thousand, chunks, items)


def steady(recorded: Recorded) -> list[Load]:
    """Return the platform's load by mechanism on an ordinary second."""
    renewal_s = LEASE_S / RENEWALS_PER_LEASE
    watch_s = LEASE_S / WATCHES_A_LEASE
    scan_reads = math.ceil(JOBS_A_DAY / ROWS_A_READ)
    watch_reads = math.ceil(INSTANCES / ROWS_A_READ)
    others = INSTANCES - ZONES
    chunk = chunks_per_s()
    writes = a_chunk(recorded, "table_writes_per_1000_items")
    reads = a_chunk(recorded, "table_reads_per_1000_items")
    return [
        Load(f"session renewed every {renewal_s:g} s", INSTANCES / renewal_s, 0.0),
        Load(
            f"sessions scanned every {watch_s:g} s by one of each zone",
            0.0,
            ZONES * watch_reads / watch_s,
        ),
        Load(
            f"row of job changes polled every {POLL_INTERVAL_S:g} s "
            f"by a zone's reader, {FALLBACK_POLL_INTERVAL_S:g} s by others",
            0.0,
            ZONES / POLL_INTERVAL_S + others / FALLBACK_POLL_INTERVAL_S,
        ),
        Load(
            f"open jobs scanned every {SCAN_INTERVAL_S:g} s by a zone's reader, "
            f"{FALLBACK_SCAN_INTERVAL_S:g} s by others",
            0.0,
            ZONES * (scan_reads + 1) / SCAN_INTERVAL_S
            + others * scan_reads / FALLBACK_SCAN_INTERVAL_S,
        ),
        Load(
            f"chunks of {chunk_items():.0f} items claimed, saved and committed",
            worked(lambda w: w * chunk, writes),
            worked(lambda r: r * chunk, reads),
        ),
        Load(
            "configuration: changes, and polls of the head",
            ROWS_A_CHANGE * CHANGES_A_DAY / DAY_S,
            ZONES / READER_POLL_S + others / (HEAD_POLL_S * (1 - JITTER)),
        ),
    ]


def worst(recorded: Recorded) -> list[Load]:
    """Return what comes on top in the worst quarter of an hour, a second of it."""
    writes = a_chunk(recorded, "table_writes_per_1000_items")
    in_zone = math.ceil(INSTANCES / ZONES)
    scan_reads = math.ceil(JOBS_A_DAY / ROWS_A_READ)
    watch_reads = math.ceil(INSTANCES / ROWS_A_READ)

    def back(held: int) -> Figure:
        # Declared lapsed, opened again, and what was held is claimed once more.
        return worked(lambda w: held * (2 + CLAIMED_AT_ONCE * w) / QUARTER_S, writes)

    return [
        Load(
            f"an availability zone lost: {in_zone} sessions lapse, claims move",
            back(in_zone),
            in_zone * (1 + CLAIMED_AT_ONCE) / QUARTER_S,
        ),
        Load(
            f"{INSTANCES} instances replaced: close, open, first scans",
            2 * INSTANCES / QUARTER_S,
            INSTANCES * (scan_reads + 2) / QUARTER_S,
        ),
        Load(
            f"a new version of a model: {math.ceil(RUNNERS / MODELS)} targets ordered",
            ROWS_A_SWITCH * RUNNERS / MODELS / QUARTER_S,
            RUNNERS / MODELS / QUARTER_S,
        ),
        Load(
            "platform back after an hour: all sessions and claims anew",
            back(INSTANCES),
            INSTANCES * (scan_reads + watch_reads + CLAIMED_AT_ONCE) / QUARTER_S,
        ),
    ]


def total(loads: list[Load]) -> Load:
    """Return the sum of what is measured; the text says if something is missing."""
    missing = [load for load in loads if load.writes is None or load.reads is None]
    text = "sum" if not missing else f"sum without {len(missing)} not measured"
    writes = sum(load.writes or 0.0 for load in loads)
    reads = sum(load.reads or 0.0 for load in loads)
    return Load(text, writes, reads)


def core_share(recorded: Recorded, instances: int) -> Figure:
    """Return the share of a core that relaying takes in each of ``instances``."""
    a_request = figure(recorded, "relay", "cpu_us_a_request")
    a_token = figure(recorded, "relay", "arms.1.a_read_us")
    return worked(
        lambda r, t: (REQUESTS_PER_S * r + TOKENS_PER_S * t) / instances / 1e6,
        a_request,
        a_token,
    )


def looks_per_s() -> float:
    """Return the looks at targets that an instance takes in a second."""
    return RUNNERS / INSTANCES / LOOK_S


def streams_an_instance() -> float:
    """Return the streams open at once in an instance at the peak."""
    return TOKENS_PER_S * BETWEEN_TOKENS_S / INSTANCES
