"""The settings of a gateway instance: one TOML file, validated with all findings."""

import tomllib
from pathlib import Path
from typing import Any

import voluptuous as vol

from caperridge.checking import invalid_findings
from caperridge.decisions.quota import DEFAULT_WINDOW_S
from caperridge.findings import WHOLE_SOURCE, Finding, FindingsError
from caperridge.listening.limits import CONNECTIONS_SCHEMA, ConnectionSettings
from caperridge.machine import MACHINE_SCHEMA, Machine, machine_from
from caperridge.records import Record

_ADDRESS = vol.All(str, vol.Match(r"^[0-9.]+:[0-9]+$", msg="must be IP:PORT"))
_POSITIVE = vol.All(vol.Any(int, float), vol.Range(min=0, min_included=False))

SCHEMA = vol.Schema(
    {
        vol.Required("instance"): {
            vol.Required("id"): vol.All(str, vol.Length(min=1)),
            vol.Required("availability_zone"): str,
            vol.Required("metrics_port"): vol.All(int, vol.Range(0, 65535)),
            "log_level": vol.Any("DEBUG", "INFO", "WARNING", "ERROR"),
        },
        vol.Required("listen"): {
            vol.Required("callers"): _ADDRESS,
            vol.Required("ready"): _ADDRESS,
            vol.Required("peers"): _ADDRESS,
        },
        vol.Required("peers"): {vol.Required("seeds"): [_ADDRESS]},
        vol.Required("store"): {
            vol.Required("address"): _ADDRESS,
            vol.Required("row_bytes"): _POSITIVE,
            vol.Required("object_bytes"): _POSITIVE,
        },
        vol.Required("jobs"): {vol.Required("kept_s"): _POSITIVE},
        "machine": MACHINE_SCHEMA,
        "connections": CONNECTIONS_SCHEMA,
        "quotas": {"window_s": _POSITIVE},
        vol.Required("stopping"): {vol.Required("grace_s"): _POSITIVE},
    },
    extra=vol.REMOVE_EXTRA,
)


class Settings(Record):
    """The settings of one instance.

    Attributes:
        instance: id, unique in the system; a restarted instance keeps it.
        availability_zone: where it runs.
        metrics_port: TCP port of the metrics, on all addresses; 0 for none.
        callers: ``IP:PORT`` that callers connect to.
        ready: ``IP:PORT`` of the readiness check.
        peers: ``IP:PORT`` that other instances connect to.
        seeds: ``IP:PORT`` of the peers to contact first; some may no longer run.
        store: ``IP:PORT`` of the platform's store.
        row_bytes: largest encoded value of a row in the store.
        object_bytes: largest object in the store.
        jobs_kept_s: seconds from the acceptance of a job for which its results can be
            read.
        grace_s: seconds between the signal to stop and the kill.
        log_level: lowest level that is logged.
        quota_window_s: length of the window in which the quotas of teams hold.
        machine: limits of the process on its machine.
        connections: limits on the clients of all listeners.
    """

    __slots__ = (
        "availability_zone",
        "callers",
        "connections",
        "grace_s",
        "instance",
        "jobs_kept_s",
        "log_level",
        "machine",
        "metrics_port",
        "object_bytes",
        "peers",
        "quota_window_s",
        "ready",
        "row_bytes",
        "seeds",
        "store",
    )

    def __init__(
        self,
        instance: str,
        availability_zone: str,
        metrics_port: int,
        callers: str,
        ready: str,
        peers: str,
        seeds: list[str],
        store: str,
        row_bytes: int,
        object_bytes: int,
        jobs_kept_s: float,
        grace_s: float,
        log_level: str = "INFO",
        quota_window_s: float = DEFAULT_WINDOW_S,
        machine: Machine | None = None,
        connections: ConnectionSettings | None = None,
    ) -> None:
        self.connections = connections or ConnectionSettings()
        self.quota_window_s = quota_window_s
        self.machine = machine or machine_from({})
        self.instance = instance
        self.availability_zone = availability_zone
        self.metrics_port = metrics_port
        self.callers = callers
        self.ready = ready
        self.peers = peers
        self.seeds = seeds
        self.store = store
        self.row_bytes = row_bytes
        self.object_bytes = object_bytes
        self.jobs_kept_s = jobs_kept_s
        self.grace_s = grace_s
        self.log_level = log_level


def load(path: Path) -> Settings:
    """Return the settings in the file ``path``.

    Raises:
        FindingsError: the file cannot be read or is invalid; holds all findings.
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise FindingsError([Finding(str(path), WHOLE_SOURCE, str(error))]) from error
    return parse(text, str(path))


def parse(text: str, source: str) -> Settings:
    """Return the settings in ``text``; ``source`` names it in findings.

    Unknown keys are ignored, because another release may have written them.

    Raises:
        FindingsError: the settings are invalid; holds all findings.
    """
    try:
        table: dict[str, Any] = SCHEMA(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise FindingsError([Finding(source, WHOLE_SOURCE, str(error))]) from error
    except vol.MultipleInvalid as error:
        findings = invalid_findings(lambda _: source, error, SCHEMA)
        raise FindingsError(findings) from error
    return Settings(
        instance=table["instance"]["id"],
        availability_zone=table["instance"]["availability_zone"],
        metrics_port=table["instance"]["metrics_port"],
        callers=table["listen"]["callers"],
        ready=table["listen"]["ready"],
        peers=table["listen"]["peers"],
        seeds=table["peers"]["seeds"],
        store=table["store"]["address"],
        row_bytes=int(table["store"]["row_bytes"]),
        object_bytes=int(table["store"]["object_bytes"]),
        jobs_kept_s=float(table["jobs"]["kept_s"]),
        grace_s=float(table["stopping"]["grace_s"]),
        log_level=table["instance"].get("log_level", "INFO"),
        quota_window_s=float(table.get("quotas", {}).get("window_s", DEFAULT_WINDOW_S)),
        machine=machine_from(table.get("machine", {})),
        connections=ConnectionSettings.from_map(table.get("connections", {})),
    )
