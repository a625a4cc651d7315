"""The tables of docs/CAPACITY.md, between their marks."""

from collections.abc import Mapping
from typing import Any

from caperridge.measure import capacity as c
from caperridge.measure.capacity import NOT_MEASURED, Figure, Load, Recorded, worked
from caperridge.measure.report import RUN, shown

BEGIN = "<!-- begin {} -->"
END = "<!-- end {} -->"


class MarkMissingError(Exception):
    """The page has no place for one of the tables."""


def text(value: Figure, unit: str = "") -> str:
    """Return a figure with its unit, or that it is not measured."""
    if value is None:
        return NOT_MEASURED
    return f"{shown(value)} {unit}".rstrip()


def tables(recorded: Recorded) -> dict[str, str]:
    """Return every table of the page by the name of its marks."""
    return {
        "slopes": _slopes(recorded),
        "roles": _roles(recorded),
        "relay": _relay(recorded),
        "control": _control(recorded),
        "platform-steady": _platform(c.steady(recorded)),
        "platform-worst": _platform([c.total(c.steady(recorded)), *c.worst(recorded)]),
        "platform-back": _back(recorded),
        "runs": _runs(recorded),
    }


def fill(page: str, recorded: Mapping[str, Any]) -> str:
    """Return the page with its tables worked out anew.

    Raises:
        MarkMissingError: a table has no place.
    """
    for name, table in tables(recorded).items():
        begin, end = BEGIN.format(name), END.format(name)
        before, found, rest = page.partition(begin)
        _, closed, after = rest.partition(end)
        if not found or not closed:
            raise MarkMissingError(name)
        page = f"{before}{begin}\n\n{table}\n\n{end}{after}"
    return page


def _table(columns: list[str], rows: list[list[str]]) -> str:
    lines = ["| " + " | ".join(columns) + " |", "|" + "---|" * len(columns)]
    for row in rows:
        lines.append("| " + " | ".join(row) + " |")
    return "\n".join(lines)


def _slopes(recorded: Recorded) -> str:
    rows: list[list[str]] = []
    for slope in c.SLOPES:
        value = c.figure(recorded, slope.experiment, slope.path)
        command = f"`caperridge measure {slope.experiment}`: `{slope.path}`"
        rows.append([slope.what, text(value, slope.unit), slope.span, command])
    return _table(["slope", "measured", "over the range", "command and field"], rows)


def _roles(recorded: Recorded) -> str:
    def of(experiment: str, path: str) -> Figure:
        return c.figure(recorded, experiment, path)

    requests = c.REQUESTS_PER_S / c.INSTANCES
    tokens = c.TOKENS_PER_S / c.INSTANCES
    items = c.items_per_s() / c.INSTANCES
    runners = c.RUNNERS / c.INSTANCES
    router_cpu = worked(
        lambda us: us * requests / 1e4,
        of("routing", "two_1900.decision_us_p50"),
    )
    book = worked(
        lambda k: k * c.RUNNERS / 1024, of("roles", "slopes.held_kib_a_target")
    )
    callers = worked(
        lambda k: k * c.CALLERS / 1024, of("roles", "slopes.held_kib_a_caller")
    )
    streams = worked(
        lambda k: k * c.streams_an_instance() / 1024,
        of("roles", "slopes.held_kib_a_stream"),
    )
    change_cpu = worked(
        lambda seconds: seconds * 100 * c.CHANGES_A_DAY / c.DAY_S,
        of("configuration", "with_14000_callers.apply_delta_s"),
    )
    relay = worked(lambda share: share * 100, c.core_share(recorded, c.INSTANCES))
    member_cpu = worked(lambda s: s * 100, of("control", "target.cpu_share"))
    member_kb = worked(lambda b: b / 1000, of("control", "target.bytes_per_s"))
    object_writes = worked(
        lambda w: w * items / 1000,
        of("batch", "arms.no_faults.object_writes_per_1000_items"),
    )
    chunk_writes = worked(
        lambda w: w * c.chunks_per_s() / c.INSTANCES,
        c.a_chunk(recorded, "table_writes_per_1000_items"),
    )
    rows = [
        [
            "front",
            f"{c.streams_an_instance():.0f} streams",
            f"{requests:.0f} requests and {tokens:,.0f} tokens/s",
            text(relay, "% of a core"),
            text(streams, "MiB"),
            "events passed on as bytes, each compared with the one due",
        ],
        [
            "router",
            f"{c.RUNNERS:,} targets",
            f"{2 * requests:.0f} starts and ends/s",
            text(router_cpu, "% of a core"),
            text(book, "MiB"),
            "own counts first, then peers' word, then reports; few candidates weighed",
        ],
        [
            "batch dispatcher",
            f"{runners:.1f} runners",
            f"{items:.0f} items/s",
            NOT_MEASURED,
            NOT_MEASURED,
            "rendezvous hashing in the zone; places kept free for online",
        ],
        [
            "chunk holder",
            f"{c.CLAIMED_AT_ONCE} chunks of {c.chunk_items():.0f} items",
            f"{text(chunk_writes)} table and {text(object_writes)} object writes/s",
            NOT_MEASURED,
            NOT_MEASURED,
            "ranges of lanes claimed and committed by one conditional write each",
        ],
        [
            "configuration reader",
            f"{c.CALLERS:,} callers",
            f"{c.CHANGES_A_DAY / c.DAY_S * 3600:.0f} changes an hour",
            text(change_cpu, "% of a core"),
            text(callers, "MiB"),
            "a log of versions; one reader in each zone, deltas to its peers",
        ],
        [
            "orderer",
            f"{runners:.1f} targets",
            f"{c.looks_per_s():.2f} looks/s at targets",
            NOT_MEASURED,
            NOT_MEASURED,
            "one orderer for each target, by rendezvous hashing and a fenced row",
        ],
        [
            "member",
            text(of("control", "target.streams"), "streams to peers"),
            text(member_kb, "KB/s"),
            text(member_cpu, "% of a core"),
            text(of("control", "target.state_mb"), "MB"),
            "streams to all of the zone, two to each other zone; heartbeats",
        ],
    ]
    columns = ["role", "state", "messages", "processor time", "memory", "carried by"]
    return _table(columns, rows)


def _relay(recorded: Recorded) -> str:
    rows: list[list[str]] = []
    lost = c.INSTANCES - round(c.INSTANCES / c.ZONES)
    for name, count in (("all instances", c.INSTANCES), ("a zone lost", lost)):
        share = c.core_share(recorded, count)
        requests, tokens = c.REQUESTS_PER_S / count, c.TOKENS_PER_S / count
        percent = worked(lambda s: s * 100, share)
        rows.append(
            [
                f"{name} ({count})",
                f"{requests:.1f}",
                f"{tokens:,.0f}",
                text(percent, "% of a core"),
            ]
        )
    return _table(["with", "requests/s", "tokens/s", "relaying takes"], rows)


def _control(recorded: Recorded) -> str:
    def of(path: str) -> Figure:
        return c.figure(recorded, "control", path)

    measured = (
        (
            "processor time",
            worked(lambda s: s * 100, of("target.cpu_share")),
            c.CONTROL_CORE_SHARE * 100,
            "% of a core",
        ),
        (
            "memory",
            of("target.rss_mb"),
            c.CONTROL_MB,
            "MB",
        ),
        (
            "traffic",
            worked(lambda b: b / 1000, of("target.bytes_per_s")),
            c.CONTROL_KB_PER_S,
            "KB/s",
        ),
    )
    rows: list[list[str]] = []
    for name, value, limit, unit in measured:
        fits = worked(lambda v, limit=limit: float(v <= limit), value)
        said = NOT_MEASURED if fits is None else "fits" if fits else "does not fit"
        rows.append([name, text(value, unit), f"{limit:g} {unit}", said])
    return _table(["control of an instance", "at the target size", "limit", ""], rows)


def _platform(loads: list[Load]) -> str:
    summed = c.total(loads)
    rows = [[load.mechanism, text(load.writes), text(load.reads)] for load in loads]
    rows.append([f"**{summed.mechanism}**", text(summed.writes), text(summed.reads)])
    rows.append(
        [
            "share of the limit",
            f"{(summed.writes or 0) / c.WRITES_PER_S:.0%} of {c.WRITES_PER_S}",
            f"{(summed.reads or 0) / c.READS_PER_S:.0%} of {c.READS_PER_S:,}",
        ]
    )
    return _table(["mechanism", "writes/s", "reads/s"], rows)


def _back(recorded: Recorded) -> str:
    back = c.worst(recorded)[-1]
    ordinary = c.total(c.steady(recorded))
    rows: list[list[str]] = []
    for name, amount, busy, limit in (
        ("writes", back.writes, ordinary.writes, c.WRITES_PER_S),
        ("reads", back.reads, ordinary.reads, c.READS_PER_S),
    ):
        whole = worked(lambda a: a * c.QUARTER_S, amount)
        free = limit - (busy or 0.0)
        takes = worked(lambda w, free=free: w / max(1.0, free), whole)
        rows.append([name, text(whole), f"{free:.0f}/s", text(takes, "s")])
    return _table(
        ["all at once", "to be done", "left beside the ordinary", "takes"], rows
    )


def _runs(recorded: Recorded) -> str:
    rows: list[list[str]] = []
    for name, figures in sorted(recorded.items()):
        run = figures[RUN]
        size = run["machine"]
        rows.append(
            [
                f"[{name}](measurements/{name}.json)",
                str(run["seed"]),
                f"{run['took_s']} s",
                f"{size['cores']} cores, {size['memory_gib']} GiB",
                f"Python {run['versions']['python']}",
            ]
        )
    return _table(["run", "seed", "took", "machine", "versions"], rows)
