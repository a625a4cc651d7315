"""Schema validation of the declarations: TOML files parsed into a configuration.

The files of a directory are read in order of their names and form one configuration.
A name that is declared twice is a finding.
"""

import tomllib
from collections.abc import Mapping
from typing import Any

import voluptuous as vol

from caperridge.checking import invalid_findings
from caperridge.config.checks import check_configuration
from caperridge.config.model import TYPES_BY_FIELD, Configuration
from caperridge.config.places import LineIndex
from caperridge.findings import Finding, FindingsError

_NAME = vol.All(str, vol.Match(r"^[A-Za-z0-9._-]{1,64}$", msg="must be a plain name"))
_POSITIVE = vol.All(vol.Any(int, float), vol.Range(min=0, min_included=False))
_NOT_NEGATIVE = vol.All(vol.Any(int, float), vol.Range(min=0))
_DIGEST = vol.All(
    str, vol.Match(r"^[0-9a-f]{64}$", msg="must be a SHA-256 digest in hex")
)
_SCHEMA = vol.Schema(
    {
        "services": {
            _NAME: {
                "kind": vol.In(["engine", "plain"]),
                "model": _NAME,
                "version": _NAME,
                "adapters": [_NAME],
                "repeatable": bool,
                "checks_fencing": bool,
                "believes_not_run": bool,
                "batch_weight": vol.All(vol.Any(int, float), vol.Range(min=0, max=1)),
                "most_running": vol.All(int, vol.Range(min=1)),
                "batch_runners": vol.All(int, vol.Range(min=0)),
            }
        },
        "weight_stores": {_NAME: {vol.Required("gb_per_s"): _POSITIVE}},
        "models": {_NAME: {vol.Required("gb_by_version"): {_NAME: _POSITIVE}}},
        "adapters": {_NAME: {vol.Required("model"): _NAME, "gb": _POSITIVE}},
        "callers": {
            _NAME: {
                vol.Required("token_sha256"): _DIGEST,
                "services": [vol.Any("*", _NAME)],
                "requests_per_s": _NOT_NEGATIVE,
                "tokens_per_s": _NOT_NEGATIVE,
                "most_running": vol.All(int, vol.Range(min=0)),
                "share": _POSITIVE,
            }
        },
        "operators": {_NAME: {vol.Required("token_sha256"): _DIGEST}},
    }
)


def parse(texts_by_file: Mapping[str, str]) -> Configuration:
    """Return the configuration declared by the files, with version 0.

    Args:
        texts_by_file: TOML text by file name.

    Raises:
        FindingsError: the declarations are invalid; has the findings of all files.
    """
    findings: list[Finding] = []
    maps_by_table: dict[str, dict[str, Any]] = {}
    indexes_by_key: dict[str, LineIndex] = {}
    for file, text in sorted(texts_by_file.items()):
        index = LineIndex(file, text)
        for table, items in _parse_file(index, text, findings).items():
            known = maps_by_table.setdefault(table, {})
            for name, item in items.items():
                key = f"{table}.{name}"
                if name in known:
                    first = indexes_by_key[key].locate([table, name])
                    message = f"is declared twice, first in {first}"
                    findings.append(Finding(index.locate([table, name]), key, message))
                    continue
                known[name] = item
                indexes_by_key[key] = index
    if findings:
        raise FindingsError(findings)

    def locate_key(key: str) -> str:
        path = _split_key(key, indexes_by_key)
        return indexes_by_key[f"{path[0]}.{path[1]}"].locate(path)

    configuration = _build_configuration(maps_by_table)
    findings = check_configuration(configuration, locate_key)
    if findings:
        raise FindingsError(findings)
    return configuration


def _split_key(key: str, indexes_by_key: Mapping[str, LineIndex]) -> list[str]:
    """Split a dotted key; its second part, a declared name, may itself have dots."""
    table, _, rest = key.partition(".")
    name, _, field = rest.rpartition(".")
    if f"{table}.{name}" in indexes_by_key:
        return [table, name, field]
    return [table, rest]


def _parse_file(index: LineIndex, text: str, findings: list[Finding]) -> dict[str, Any]:
    try:
        return _SCHEMA(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        findings.append(Finding(index.locate([]), "-", str(error)))
    except vol.MultipleInvalid as error:
        findings.extend(invalid_findings(index.locate, error, _SCHEMA))
    return {}


def _build_configuration(maps_by_table: dict[str, dict[str, Any]]) -> Configuration:
    tables: dict[str, Any] = {}
    for field, record_type in TYPES_BY_FIELD.items():
        items = maps_by_table.get(field.removesuffix("_by_name"), {})
        tables[field] = {
            name: record_type.from_map({"name": name, **item})
            for name, item in items.items()
        }
    return Configuration(**tables)
