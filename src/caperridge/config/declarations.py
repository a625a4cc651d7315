"""Declarations: TOML files under version control, read into a configuration.

Files in one directory are read in name order and together make one configuration;
the same name declared twice is a finding.
"""

import tomllib
from collections.abc import Mapping
from typing import Any

import voluptuous as vol

from caperridge.config.model import (
    KINDS_BY_FIELD,
    Configuration,
)
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
            }
        },
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
    for file, text in sorted(texts_by_file.items()):
        table = _read(file, text, findings)
        for name, items in table.items():
            _merge(file, name, items, maps_by_table, findings)
    if findings:
        raise FindingsError(findings)
    configuration = _build(maps_by_table)
    findings = check(configuration)
    if findings:
        raise FindingsError(findings)
    return configuration


def _read(file: str, text: str, findings: list[Finding]) -> dict[str, Any]:
    try:
        return _SCHEMA(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        findings.append(Finding(file, "-", str(error)))
    except vol.MultipleInvalid as error:
        for invalid in error.errors:
            key = ".".join(str(part) for part in invalid.path)
            findings.append(Finding(file, key, _sentence(invalid)))
    return {}


def _sentence(invalid: vol.Invalid) -> str:
    if invalid.error_message == "extra keys not allowed":
        return "is not a known key"
    if invalid.error_message == "required key not provided":
        return "is missing"
    return invalid.error_message


def _merge(
    file: str,
    table: str,
    items: dict[str, Any],
    maps_by_table: dict[str, dict[str, Any]],
    findings: list[Finding],
) -> None:
    known = maps_by_table.setdefault(table, {})
    for name, item in items.items():
        if name in known:
            findings.append(Finding(file, f"{table}.{name}", "is declared twice"))
            continue
        known[name] = item


def _build(maps_by_table: dict[str, dict[str, Any]]) -> Configuration:
    tables: dict[str, Any] = {}
    for field, kind in KINDS_BY_FIELD.items():
        items = maps_by_table.get(field.removesuffix("_by_name"), {})
        tables[field] = {
            name: kind.from_map({"name": name, **item}) for name, item in items.items()
        }
    return Configuration(**tables)


def check(configuration: Configuration) -> list[Finding]:
    """Return what is wrong between the parts: names that lead nowhere."""
    findings: list[Finding] = []
    for name, service in configuration.services_by_name.items():
        if service.kind != "engine":
            continue
        model = configuration.models_by_name.get(service.model)
        place = f"services.{name}"
        if model is None:
            text = f"model {service.model!r} is not declared"
            findings.append(Finding("declarations", f"{place}.model", text))
            continue
        if service.version not in model.gb_by_version:
            text = f"version {service.version!r} of {model.name!r} is not declared"
            findings.append(Finding("declarations", f"{place}.version", text))
        for adapter in service.adapters:
            if adapter not in configuration.adapters_by_name:
                text = f"adapter {adapter!r} is not declared"
                findings.append(Finding("declarations", f"{place}.adapters", text))
    for name, caller in configuration.callers_by_name.items():
        for service_name in caller.services:
            if service_name == "*" or service_name in configuration.services_by_name:
                continue
            text = f"service {service_name!r} is not declared"
            findings.append(Finding("declarations", f"callers.{name}.services", text))
    return findings
