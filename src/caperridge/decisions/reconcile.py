"""Reconciliation of targets: desired state, observed state and the next step.

Orders name a desired state rather than a step, so that a lost, late or duplicated
order does no harm: the next poll of the target shows what remains to be done.
"""

from collections.abc import Mapping
from enum import Enum

from caperridge.config.model import Configuration, Service
from caperridge.decisions.rendezvous import score
from caperridge.records import Record

MIXED = "mixed"  # online and batch
BATCH = "batch"  # batch only


class Loaded(Record):
    """What a runner has loaded, or should load."""

    __slots__ = ("adapters", "model", "role", "version")

    def __init__(
        self,
        model: str = "",
        version: str = "",
        adapters: list[str] | None = None,
        role: str = MIXED,
    ) -> None:
        self.model = model
        self.version = version
        self.adapters = sorted(adapters or [])
        self.role = role


class Observed(Record):
    """The state that a target reported.

    Attributes:
        loaded: what it serves now; None if it does not report it.
        desired: the state of the last order that it accepted; None if there was none.
        fence: the highest fencing number that it received.
        loading: it is loading.
        leaving: it is leaving and gets no orders.
    """

    __slots__ = ("desired", "fence", "leaving", "loaded", "loading")

    def __init__(
        self,
        loaded: Loaded | None = None,
        desired: Loaded | None = None,
        fence: int = 0,
        loading: bool = False,
        leaving: bool = False,
    ) -> None:
        self.loaded = loaded
        self.desired = desired
        self.fence = fence
        self.loading = loading
        self.leaving = leaving


class Step(Enum):
    """The next step for a target."""

    NOTHING = "nothing"  # it holds the desired state, or is leaving
    WAIT = "wait"  # it has accepted the order and is loading
    ORDER = "order"  # send an order; the target keeps serving meanwhile
    ORDER_OUT = "order_out"  # send an order; it stops serving online meanwhile or after


def desired_of(
    configuration: Configuration, service: Service, role: str = MIXED
) -> Loaded:
    """Return the desired state of a runner of ``service``."""
    adapters = [a for a in service.adapters if a in configuration.adapters_by_name]
    return Loaded(service.model, service.version, adapters, role)


def role_of(
    target_id: str, service: Service, loaded_by_target: Mapping[str, Loaded | None]
) -> str:
    """Return the role of one of a service's targets.

    The batch runners are those with the highest rendezvous hash, so that few roles
    change when a target is added or removed. One runner always remains for online
    requests. While none of the online runners holds the desired version, the batch
    runners serve online too, since otherwise the last one could never be switched.

    Args:
        target_id: id of the target.
        service: as declared.
        loaded_by_target: what each of its targets holds; None if not known.
    """
    ranked = sorted(
        loaded_by_target, key=lambda t: (score(service.name, t), t), reverse=True
    )
    batch_count = min(service.batch_runners, max(0, len(ranked) - 1))
    if target_id not in ranked[:batch_count]:
        return MIXED
    desired = Loaded(service.model, service.version)
    for other in ranked[batch_count:]:
        loaded = loaded_by_target[other]
        if loaded is not None and _same_weights(loaded, desired):
            return BATCH
    return MIXED


def gb_between(
    configuration: Configuration, loaded: Loaded | None, desired: Loaded
) -> float:
    """Return how many GB a runner loads to get from ``loaded`` to ``desired``."""
    held: list[str] = []
    gb = 0.0
    if loaded is not None and _same_weights(loaded, desired):
        held = loaded.adapters
    else:
        model = configuration.models_by_name.get(desired.model)
        gb += model.gb_by_version.get(desired.version, 0.0) if model else 0.0
    for name in desired.adapters:
        adapter = configuration.adapters_by_name.get(name)
        if name not in held and adapter is not None:
            gb += adapter.gb
    return gb


def serves_online(loaded: Loaded | None, service: Service) -> bool:
    """Return whether a runner that holds ``loaded`` serves online callers.

    Any version of the service's model counts: during a switch both are served.
    """
    if loaded is None:
        return False
    return loaded.model == service.model and loaded.role != BATCH


def next_step(observed: Observed, desired: Loaded) -> Step:
    """Return the next step for a target whose desired state is ``desired``."""
    if observed.leaving:
        return Step.NOTHING
    if observed.desired == desired and observed.loading:
        return Step.WAIT
    if observed.loaded == desired and observed.desired in (desired, None):
        return Step.NOTHING
    loaded = observed.loaded
    if loaded is None or not loaded.model:
        return Step.ORDER  # it serves no caller yet
    switches_to_batch = desired.role == BATCH and loaded.role != BATCH
    if _same_weights(loaded, desired) and not switches_to_batch:
        return Step.ORDER
    return Step.ORDER_OUT


def _same_weights(one: Loaded, other: Loaded) -> bool:
    return one.model == other.model and one.version == other.version
