"""Declarations: TOML files under version control, read into a configuration.

Files in one directory are read in name order and together make one configuration;
the same name declared twice is a finding.
"""

import tomllib
from collections.abc import Mapping
from typing import Any

import voluptuous as vol

from caperridge.checking import invalid_findings
from caperridge.config.checks import check
from caperridge.config.model import KINDS_BY_FIELD, Configuration
from caperridge.config.places import Places
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
    """Return the configuration, without a version, that the files declare.

    Args:
        texts_by_file: TOML text by file name.

    Raises:
        FindingsError: with every finding of every file.
    """
    findings: list[Finding] = []
    maps_by_table: dict[str, dict[str, Any]] = {}
    places_by_key: dict[str, Places] = {}
    for file, text in sorted(texts_by_file.items()):
        places = Places(file, text)
        for table, items in _read(places, text, findings).items():
            known = maps_by_table.setdefault(table, {})
            for name, item in items.items():
                key = f"{table}.{name}"
                if name in known:
                    first = places_by_key[key].of([table, name])
                    told = f"is declared twice, first in {first}"
                    findings.append(Finding(places.of([table, name]), key, told))
                    continue
                known[name] = item
                places_by_key[key] = places
    if findings:
        raise FindingsError(findings)

    def place(key: str) -> str:
        path = _path(key, places_by_key)
        return places_by_key[f"{path[0]}.{path[1]}"].of(path)

    configuration = _build(maps_by_table)
    findings = check(configuration, place)
    if findings:
        raise FindingsError(findings)
    return configuration


def _path(key: str, places_by_key: Mapping[str, Places]) -> list[str]:
    """Split a dotted key whose second part, a name, may hold dots itself."""
    table, _, rest = key.partition(".")
    name, _, field = rest.rpartition(".")
    if f"{table}.{name}" in places_by_key:
        return [table, name, field]
    return [table, rest]


def _read(places: Places, text: str, findings: list[Finding]) -> dict[str, Any]:
    try:
        return _SCHEMA(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        findings.append(Finding(places.of([]), "-", str(error)))
    except vol.MultipleInvalid as error:
        findings.extend(invalid_findings(places.of, error, _SCHEMA))
    return {}


def _build(maps_by_table: dict[str, dict[str, Any]]) -> Configuration:
    tables: dict[str, Any] = {}
    for field, kind in KINDS_BY_FIELD.items():
        items = maps_by_table.get(field.removesuffix("_by_name"), {})
        tables[field] = {
            name: kind.from_map({"name": name, **item}) for name, item in items.items()
        }
    return Configuration(**tables)
