"""Referential integrity checks of a configuration: undeclared names, shared tokens."""

from collections.abc import Callable

from caperridge.checking import did_you_mean
from caperridge.config.model import Configuration, Service
from caperridge.findings import Finding

KeyLocator = Callable[[str], str]
"""Returns ``file:line`` of a dotted key."""


def check_configuration(
    configuration: Configuration, locate: KeyLocator = lambda _key: "declarations"
) -> list[Finding]:
    """Return all findings about references between declarations.

    Args:
        configuration: the parsed declarations.
        locate: returns where a dotted key is declared.
    """
    findings: list[Finding] = []
    for service in configuration.services_by_name.values():
        if service.kind == "engine":
            _check_engine(configuration, service, locate, findings)
    for adapter in configuration.adapters_by_name.values():
        if adapter.model not in configuration.models_by_name:
            hint = did_you_mean(adapter.model, configuration.models_by_name)
            key = f"adapters.{adapter.name}.model"
            text = f"model {adapter.model!r} is not declared{hint}"
            findings.append(Finding(locate(key), key, text))
    for caller in configuration.callers_by_name.values():
        key = f"callers.{caller.name}.services"
        for service_name in caller.services:
            if service_name == "*" or service_name in configuration.services_by_name:
                continue
            hint = did_you_mean(service_name, configuration.services_by_name)
            text = f"service {service_name!r} is not declared{hint}"
            findings.append(Finding(locate(key), key, text))
    _check_tokens(configuration, locate, findings)
    return findings


def _check_engine(
    configuration: Configuration,
    service: Service,
    locate: KeyLocator,
    findings: list[Finding],
) -> None:
    key = f"services.{service.name}"
    model = configuration.models_by_name.get(service.model)
    if model is None:
        hint = did_you_mean(service.model, configuration.models_by_name)
        text = f"model {service.model!r} is not declared{hint}"
        findings.append(Finding(locate(f"{key}.model"), f"{key}.model", text))
        return
    if service.version not in model.gb_by_version:
        declared = ", ".join(sorted(model.gb_by_version))
        text = f"version {service.version!r} of {model.name!r} is not declared"
        text += f" (declared: {declared})"
        findings.append(Finding(locate(f"{key}.version"), f"{key}.version", text))
    for name in service.adapters:
        adapter = configuration.adapters_by_name.get(name)
        if adapter is not None and adapter.model == service.model:
            continue
        text = f"adapter {name!r} is for model {adapter.model!r}" if adapter else ""
        if adapter is None:
            hint = did_you_mean(name, configuration.adapters_by_name)
            text = f"adapter {name!r} is not declared{hint}"
        findings.append(Finding(locate(f"{key}.adapters"), f"{key}.adapters", text))


def _check_tokens(
    configuration: Configuration, locate: KeyLocator, findings: list[Finding]
) -> None:
    """Find tokens shared by callers, or by operators, as they identify none of them."""
    for table in ("callers", "operators"):
        names_by_digest: dict[str, str] = {}
        for name, item in getattr(configuration, f"{table}_by_name").items():
            other = names_by_digest.setdefault(item.token_sha256, name)
            if other == name:
                continue
            key = f"{table}.{name}.token_sha256"
            text = f"is the token of {other!r} too"
            findings.append(Finding(locate(key), key, text))
