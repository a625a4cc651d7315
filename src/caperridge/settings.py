"""Schema validation of the settings of one process, read from a TOML file."""

import os
import tomllib
from pathlib import Path
from typing import Any

import voluptuous as vol

from caperridge.checking import invalid_findings
from caperridge.findings import Finding, FindingsError
from caperridge.listening.limits import CONNECTIONS_SCHEMA, ConnectionSettings
from caperridge.machine import MACHINE_SCHEMA, Machine, machine_from
from caperridge.records import Record
from caperridge.tls import TlsFiles, client_context, server_context


class Address(Record):
    """Host and port to listen on or connect to; port 0 lets the system choose."""

    __slots__ = ("host", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address in ``text``, which has the form ``host:port``.

        Raises:
            ValueError: the port is missing or is not a number from 0 to 65535.

        >>> Address.parse("127.0.0.1:80")
        Address(host='127.0.0.1', port=80)
        """
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isdigit() or int(port) > 65535:
            raise ValueError("must be host:port, the port from 0 to 65535")
        return cls(host.strip("[]"), int(port))


class Settings(Record):
    """Settings of one instance, fixed at its start.

    Attributes:
        instance_id: its name in the platform's list of members; each replacement
            gets a new one.
        availability_zone: availability zone that it runs in.
        region: region of that availability zone.
        callers: listener for callers.
        operators: listener for operators, metrics and health.
        peers: listener for other instances.
        platform_endpoint: base URL of the platform.
        platform_secret: bearer token for the platform.
        platform_deadline_s: timeout of one platform call.
        platform_authority: file of the certificate authorities trusted for the
            platform; empty for those of the system.
        peers_secret: secret shared by all instances; if empty, the instance connects
            to no peers.
        peer_seeds: listeners of peers to try in addition to the platform's list,
            so that an instance can start while the platform is unavailable.
        lease_s: lifetime of a session without renewal.
        drain_s: longest wait for open streams during a planned stop.
        balancer_s: time that the load balancer needs to stop routing to an
            instance that reports not-ready.
        retention_s: how long finished jobs stay readable.
        log_level: minimum level of the JSON log lines.
        first_operator_sha256: hex SHA-256 of the token that may confirm intents
            until the configuration declares an operator.
        tls_by_listener: TLS files by ``callers``, ``operators`` and ``peers``.
        machine: limits of the process on its machine.
        connections: limits on the clients of all listeners.
    """

    __slots__ = (
        "availability_zone",
        "balancer_s",
        "callers",
        "connections",
        "drain_s",
        "first_operator_sha256",
        "instance_id",
        "lease_s",
        "log_level",
        "machine",
        "operators",
        "peer_seeds",
        "peers",
        "peers_secret",
        "platform_authority",
        "platform_deadline_s",
        "platform_endpoint",
        "platform_secret",
        "region",
        "retention_s",
        "tls_by_listener",
    )

    def __init__(
        self,
        instance_id: str,
        availability_zone: str,
        platform_endpoint: str,
        region: str = "",
        callers: Address | None = None,
        operators: Address | None = None,
        peers: Address | None = None,
        platform_secret: str = "",
        platform_deadline_s: float = 3.0,
        peers_secret: str = "",
        lease_s: float = 10.0,
        drain_s: float = 60.0,
        balancer_s: float = 5.0,
        retention_s: float = 30 * 86400.0,
        log_level: str = "INFO",
        first_operator_sha256: str = "",
        tls_by_listener: dict[str, TlsFiles] | None = None,
        peer_seeds: list[Address] | None = None,
        platform_authority: str = "",
        machine: Machine | None = None,
        connections: ConnectionSettings | None = None,
    ) -> None:
        self.connections = connections or ConnectionSettings()
        self.machine = machine or machine_from({})
        self.instance_id = instance_id
        self.availability_zone = availability_zone
        self.platform_endpoint = platform_endpoint
        self.region = region
        self.callers = callers or Address("127.0.0.1", 0)
        self.operators = operators or Address("127.0.0.1", 0)
        self.peers = peers or Address("127.0.0.1", 0)
        self.platform_secret = platform_secret
        self.platform_deadline_s = platform_deadline_s
        self.peers_secret = peers_secret
        self.lease_s = lease_s
        self.drain_s = drain_s
        self.balancer_s = balancer_s
        self.retention_s = retention_s
        self.log_level = log_level
        self.first_operator_sha256 = first_operator_sha256
        self.tls_by_listener = tls_by_listener or {}
        self.peer_seeds = peer_seeds or []
        self.platform_authority = platform_authority


def _address(text: Any) -> Address:
    try:
        return Address.parse(str(text))
    except ValueError as error:
        raise vol.Invalid(str(error)) from error


_NAME = vol.All(str, vol.Match(r"^[A-Za-z0-9._-]{1,64}$", msg="must be a plain name"))
_SECONDS = vol.All(vol.Any(int, float), vol.Range(min=0, min_included=False))
_SECRET = {
    vol.Exclusive("secret_file", "s"): str,
    vol.Exclusive("secret_env", "s"): str,
}
_TLS = {"certificate": str, "key": str, vol.Optional("authority"): str}
_SCHEMA = vol.Schema(
    {
        vol.Required("instance"): {
            vol.Required("id"): _NAME,
            vol.Required("availability_zone"): _NAME,
            "region": _NAME,
        },
        "listen": {"callers": _address, "operators": _address, "peers": _address},
        vol.Required("platform"): {
            vol.Required("endpoint"): vol.All(
                str, vol.Match(r"^https?://", msg="must be an http or https URL")
            ),
            "deadline_s": _SECONDS,
            "authority": str,
            **_SECRET,
        },
        "peers": {"seeds": [_address], **_SECRET},
        "operators": {
            "first_token_sha256": vol.All(
                str, vol.Match(r"^[0-9a-f]{64}$", msg="must be a SHA-256 in hex")
            )
        },
        "lease": {"seconds": _SECONDS},
        "stop": {"drain_s": _SECONDS, "balancer_s": _SECONDS},
        "jobs": {"retention_s": _SECONDS},
        "machine": MACHINE_SCHEMA,
        "connections": CONNECTIONS_SCHEMA,
        "log": {"level": vol.In(["DEBUG", "INFO", "WARNING", "ERROR"])},
        "tls": {"callers": _TLS, "operators": _TLS, "peers": _TLS},
    }
)


def load(path: Path, environment: dict[str, str] | None = None) -> Settings:
    """Return the settings in the file at ``path``.

    Args:
        path: a TOML file.
        environment: variables that ``secret_env`` refers to; those of the process
            by default.

    Raises:
        FindingsError: the file is invalid; has all findings with file, table and key.
    """
    environment = dict(os.environ) if environment is None else environment
    try:
        table = tomllib.loads(path.read_text())
    except OSError as error:
        raise FindingsError([Finding(str(path), "-", str(error.strerror))]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise FindingsError([Finding(str(path), "-", str(error))]) from error
    findings: list[Finding] = []
    checked: dict[str, Any] = {}
    try:
        checked = _SCHEMA(table)
    except vol.MultipleInvalid as error:
        findings = invalid_findings(lambda _: str(path), error, _SCHEMA)
    # Files and variables are checked even if the schema is violated, so that one run
    # reports all findings.
    secrets_by_table = {
        name: _read_secret(path, name, _subtable(table, name), environment, findings)
        for name in ("platform", "peers")
    }
    authority = _read_authority(path, _subtable(table, "platform"), findings)
    tls_by_listener = _read_tls(path, _subtable(table, "tls"), findings)
    if findings:
        raise FindingsError(findings)
    settings = _build_settings(checked, secrets_by_table)
    settings.tls_by_listener = tls_by_listener
    settings.platform_authority = authority
    return settings


def _subtable(table: dict[str, Any], name: str) -> dict[str, Any]:
    subtable = table.get(name, {})
    return subtable if isinstance(subtable, dict) else {}


def _read_authority(path: Path, table: dict[str, Any], findings: list[Finding]) -> str:
    if not isinstance(table.get("authority"), str):
        return ""
    authority = str(path.parent / table["authority"])
    try:
        client_context(authority)
    except OSError as error:
        text = f"cannot be used: {error.strerror or error}"
        findings.append(Finding(str(path), "platform.authority", text))
    return authority


def _read_tls(
    path: Path, table: dict[str, Any], findings: list[Finding]
) -> dict[str, TlsFiles]:
    """Return the TLS files by listener; add findings for those that cannot be loaded.

    Paths are relative to the settings file.
    """
    files_by_listener: dict[str, TlsFiles] = {}
    for name, fields in table.items():
        if not isinstance(fields, dict) or not {"certificate", "key"} <= fields.keys():
            continue
        paths_by_key = {
            key: str(path.parent / str(file)) for key, file in fields.items()
        }
        missing = [
            key for key, file in paths_by_key.items() if not Path(file).is_file()
        ]
        for key in missing:
            text = f"there is no file {paths_by_key[key]}"
            findings.append(Finding(str(path), f"tls.{name}.{key}", text))
        files = TlsFiles.from_map(paths_by_key)
        files_by_listener[name] = files
        if missing:
            continue
        try:
            server_context(files)
        except OSError as error:
            text = f"cannot be used: {error.strerror or error}"
            findings.append(Finding(str(path), f"tls.{name}", text))
    return files_by_listener


def _read_secret(
    path: Path,
    name: str,
    table: dict[str, Any],
    environment: dict[str, str],
    findings: list[Finding],
) -> str:
    if isinstance(table.get("secret_env"), str):
        variable = table["secret_env"]
        if variable not in environment:
            text = f"variable {variable} is not set"
            findings.append(Finding(str(path), f"{name}.secret_env", text))
        return environment.get(variable, "")
    if not isinstance(table.get("secret_file"), str):
        return ""
    try:
        return (path.parent / table["secret_file"]).read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        text = f"cannot be read: {getattr(error, 'strerror', error)}"
        findings.append(Finding(str(path), f"{name}.secret_file", text))
        return ""


def _build_settings(
    table: dict[str, Any], secrets_by_table: dict[str, str]
) -> Settings:
    listen = table.get("listen", {})
    optional: dict[str, Any] = {
        "lease_s": table.get("lease", {}).get("seconds"),
        "drain_s": table.get("stop", {}).get("drain_s"),
        "balancer_s": table.get("stop", {}).get("balancer_s"),
        "retention_s": table.get("jobs", {}).get("retention_s"),
        "log_level": table.get("log", {}).get("level"),
        "platform_deadline_s": table["platform"].get("deadline_s"),
        "region": table["instance"].get("region"),
        "first_operator_sha256": table.get("operators", {}).get("first_token_sha256"),
        "peer_seeds": table.get("peers", {}).get("seeds"),
        "machine": machine_from(table.get("machine", {})),
        "connections": ConnectionSettings.from_map(table.get("connections", {})),
    }
    return Settings(
        instance_id=table["instance"]["id"],
        availability_zone=table["instance"]["availability_zone"],
        platform_endpoint=table["platform"]["endpoint"],
        callers=listen.get("callers"),
        operators=listen.get("operators"),
        peers=listen.get("peers"),
        platform_secret=secrets_by_table["platform"],
        peers_secret=secrets_by_table["peers"],
        **{name: value for name, value in optional.items() if value is not None},
    )
