"""Record types of the versioned configuration, with its msgpack decoding."""

from typing import Any

import msgpack

from caperridge.records import Record

FORMAT = 1  # incremented by releases that add a table or a field to declarations
DEFAULT_STORE = "default"
DEFAULT_GB_PER_S = 1.0


class Service(Record):
    """A service that callers may use.

    Attributes:
        name: name in the declaration and, for plain services, in the URL path.
        kind: ``engine`` or ``plain``.
        model: model of an engine service; empty for plain services.
        version: desired version of that model.
        adapters: adapters that its runners should load.
        repeatable: whether a call may be sent more than once (idempotent).
        checks_fencing: whether its targets reject an outdated fencing token.
        believes_not_run: whether to trust its targets' "not run" answers.
        batch_weight: 0 favours online tail latency, 1 batch throughput.
        most_running: concurrent requests per target, beyond which it queues.
        batch_runners: number of runners that take only batch work; the others
            take both.
    """

    __slots__ = (
        "adapters",
        "batch_runners",
        "batch_weight",
        "believes_not_run",
        "checks_fencing",
        "kind",
        "model",
        "most_running",
        "name",
        "repeatable",
        "version",
    )

    def __init__(
        self,
        name: str,
        kind: str = "engine",
        model: str = "",
        version: str = "1",
        adapters: list[str] | None = None,
        repeatable: bool = True,
        checks_fencing: bool = True,
        believes_not_run: bool = True,
        batch_weight: float = 0.5,
        most_running: int = 16,
        batch_runners: int = 0,
    ) -> None:
        self.name = name
        self.kind = kind
        self.model = model
        self.version = version
        self.adapters = list(adapters or [])
        self.repeatable = repeatable
        self.checks_fencing = checks_fencing
        self.believes_not_run = believes_not_run
        self.batch_weight = batch_weight
        self.most_running = most_running
        self.batch_runners = batch_runners


class WeightStore(Record):
    """A store of weights, named by its region; ``default`` serves all other regions.

    All runners that load at the same time share ``gb_per_s`` (GB per second).
    """

    __slots__ = ("gb_per_s", "name")

    def __init__(self, name: str, gb_per_s: float) -> None:
        self.name = name
        self.gb_per_s = gb_per_s


class Model(Record):
    """A model; ``gb_by_version`` is the size of each version in GB."""

    __slots__ = ("gb_by_version", "name")

    def __init__(self, name: str, gb_by_version: dict[str, float]) -> None:
        self.name = name
        self.gb_by_version = dict(gb_by_version)


class Adapter(Record):
    """An adapter of a model; ``gb`` is its size in GB."""

    __slots__ = ("gb", "model", "name")

    def __init__(self, name: str, model: str, gb: float = 0.1) -> None:
        self.name = name
        self.model = model
        self.gb = gb


class Caller(Record):
    """A team that sends requests and jobs.

    Attributes:
        name: unique name.
        token_sha256: hex digest of its token; the token itself is not stored.
        services: names of the services it may use; ``*`` for all.
        requests_per_s: rate limit; 0 for none.
        tokens_per_s: rate limit of requested tokens; 0 for none.
        most_running: maximum of concurrent requests; 0 for no limit.
        share: weight relative to other callers under overload.
    """

    __slots__ = (
        "most_running",
        "name",
        "requests_per_s",
        "services",
        "share",
        "token_sha256",
        "tokens_per_s",
    )

    def __init__(
        self,
        name: str,
        token_sha256: str,
        services: list[str] | None = None,
        requests_per_s: float = 0.0,
        tokens_per_s: float = 0.0,
        most_running: int = 0,
        share: float = 1.0,
    ) -> None:
        self.name = name
        self.token_sha256 = token_sha256
        # Not copied: thousands of callers may share one list, and it is never modified.
        self.services = services or ["*"]
        self.requests_per_s = requests_per_s
        self.tokens_per_s = tokens_per_s
        self.most_running = most_running
        self.share = share

    def may_use(self, service: str) -> bool:
        """Return whether this caller may use ``service``."""
        return service in self.services or "*" in self.services


class Operator(Record):
    """A person who may confirm intents, identified by the digest of a token."""

    __slots__ = ("name", "token_sha256")

    def __init__(self, name: str, token_sha256: str) -> None:
        self.name = name
        self.token_sha256 = token_sha256


class _ValueInterner:
    """Interns equal numbers and lists of many callers to save memory."""

    __slots__ = ("_lists_by_elements", "_numbers_by_value")

    def __init__(self) -> None:
        self._numbers_by_value: dict[float, float] = {}
        self._lists_by_elements: dict[tuple[str, ...], list[str]] = {}

    def intern_fields(self, name: str, item: dict[str, Any]) -> dict[str, Any]:
        """Return ``item`` with its values replaced by interned ones."""
        fields = {field: self._intern(value) for field, value in item.items()}
        if fields.get("name") == name:
            fields["name"] = name
        return fields

    def _intern(self, value: Any) -> Any:
        if isinstance(value, float):
            return self._numbers_by_value.setdefault(value, value)
        if isinstance(value, list) and all(
            isinstance(element, str) for element in value
        ):
            return self._lists_by_elements.setdefault(tuple(value), value)
        return value


class Configuration(Record):
    """One version of all declarations, by name.

    Version 0 is the empty configuration of a new installation.
    """

    __slots__ = (
        "adapters_by_name",
        "callers_by_name",
        "models_by_name",
        "operators_by_name",
        "services_by_name",
        "version",
        "weight_stores_by_name",
    )

    def __init__(
        self,
        version: int = 0,
        services_by_name: dict[str, Service] | None = None,
        models_by_name: dict[str, Model] | None = None,
        adapters_by_name: dict[str, Adapter] | None = None,
        callers_by_name: dict[str, Caller] | None = None,
        operators_by_name: dict[str, Operator] | None = None,
        weight_stores_by_name: dict[str, WeightStore] | None = None,
    ) -> None:
        self.version = version
        self.services_by_name = dict(services_by_name or {})
        self.models_by_name = dict(models_by_name or {})
        self.adapters_by_name = dict(adapters_by_name or {})
        self.callers_by_name = dict(callers_by_name or {})
        self.operators_by_name = dict(operators_by_name or {})
        self.weight_stores_by_name = dict(weight_stores_by_name or {})

    @classmethod
    def from_map(cls, fields: dict[str, Any]) -> "Configuration":
        """Return the configuration from ``fields`` as made by :meth:`to_map`."""
        interner = _ValueInterner()
        tables = {
            field: {
                name: record_type.from_map(interner.intern_fields(name, item))
                for name, item in fields.get(field, {}).items()
            }
            for field, record_type in TYPES_BY_FIELD.items()
        }
        return cls(version=fields["version"], **tables)

    @classmethod
    def from_bytes(cls, data: bytes) -> "Configuration":
        """Return the configuration that is packed in ``data``.

        Records are unpacked one by one: the maps of thousands of callers together take
        more memory than the records, and the process does not return freed heap.

        Raises:
            ValueError: ``data`` is not a packed configuration.
            TypeError: a record in it lacks a field.
        """
        unpacker = msgpack.Unpacker(raw=False, strict_map_key=False)
        unpacker.feed(data)
        interner = _ValueInterner()
        fields: dict[str, Any] = {}
        try:
            for _ in range(unpacker.read_map_header()):
                field = unpacker.unpack()
                record_type = TYPES_BY_FIELD.get(field)
                if record_type is None:
                    fields[field] = unpacker.unpack()
                    continue
                table = fields[field] = {}
                for _ in range(unpacker.read_map_header()):
                    name = unpacker.unpack()
                    item = interner.intern_fields(name, unpacker.unpack())
                    table[name] = record_type.from_map(item)
            version = fields["version"]
        except (msgpack.UnpackException, AttributeError, KeyError) as error:
            raise ValueError("data is not a packed configuration") from error
        if unpacker.tell() != len(data):
            raise ValueError("data has trailing bytes after the packed configuration")
        tables = {field: fields.get(field, {}) for field in TYPES_BY_FIELD}
        return cls(version=version, **tables)

    def weight_store(self, region: str) -> WeightStore:
        """Return the weight store of ``region``, or the default one."""
        stores = self.weight_stores_by_name
        fallback = WeightStore(DEFAULT_STORE, DEFAULT_GB_PER_S)
        return stores.get(region) or stores.get(DEFAULT_STORE) or fallback

    def service_for_model(self, model: str) -> Service | None:
        """Return the engine service for the ``model`` field of a request.

        The field may name the service, its model, or one of its adapters.
        """
        found = self.services_by_name.get(model)
        if found is not None and found.kind == "engine":
            return found
        for service in self.services_by_name.values():
            if service.kind != "engine":
                continue
            if service.model == model or model in service.adapters:
                return service
        return None


TYPES_BY_FIELD: dict[str, type[Record]] = {
    "services_by_name": Service,
    "models_by_name": Model,
    "adapters_by_name": Adapter,
    "callers_by_name": Caller,
    "operators_by_name": Operator,
    "weight_stores_by_name": WeightStore,
}
