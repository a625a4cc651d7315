"""Reconciling targets: what one should hold, what it holds, and the step between.

Orders name a desired state rather than a step, so that a lost, late or doubled order
does no harm: the next look at the target says what is still to do.
"""

from collections.abc import Mapping
from enum import Enum

from caperridge.config.model import Configuration, Service
from caperridge.decisions.rendezvous import score
from caperridge.records import Record

MIXED = "mixed"  # online and batch
BATCH = "batch"  # batch only


class Loaded(Record):
    """What a runner holds, or should hold."""

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
    """What a target said of itself.

    Attributes:
        loaded: what it serves now; None if it does not say.
        desired: what the last order it obeyed asked for; None if there was none.
        fence: the highest fencing number it has seen.
        loading: it is busy loading.
        leaving: it is leaving, and gets no orders.
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
    """What is to be done next with a target."""

    NOTHING = "nothing"  # it holds what it should
    WAIT = "wait"  # it was told, and is on the way
    ORDER = "order"  # tell it; it goes on serving meanwhile
    ORDER_OUT = "order_out"  # tell it; it is away from online meanwhile or after


def desired_of(
    configuration: Configuration, service: Service, role: str = MIXED
) -> Loaded:
    """Return what a runner of ``service`` should hold."""
    adapters = [a for a in service.adapters if a in configuration.adapters_by_name]
    return Loaded(service.model, service.version, adapters, role)


def role_of(
    target_id: str, service: Service, loaded_by_target: Mapping[str, Loaded | None]
) -> str:
    """Return the role of one of a service's targets.

    The batch runners are those with the highest hash, so that few change their role
    when a target comes or goes. One runner is always left to online; and while none
    of those for online holds the wanted version, the batch runners stand in, since
    otherwise the last one could never be switched.

    Args:
        target_id: which of them.
        service: as declared.
        loaded_by_target: all its targets, with what they are known to hold.
    """
    ranked = sorted(
        loaded_by_target, key=lambda t: (score(service.name, t), t), reverse=True
    )
    most = min(service.batch_runners, max(0, len(ranked) - 1))
    if target_id not in ranked[:most]:
        return MIXED
    wanted = Loaded(service.model, service.version)
    for other in ranked[most:]:
        loaded = loaded_by_target[other]
        if loaded is not None and _same_weights(loaded, wanted):
            return BATCH
    return MIXED


def gb_between(
    configuration: Configuration, loaded: Loaded | None, desired: Loaded
) -> float:
    """Return how many GB a runner reads to get from ``loaded`` to ``desired``."""
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
    """Return whether a runner that holds ``loaded`` answers online callers.

    Any version of the service's model does: during a switch both are served.
    """
    if loaded is None:
        return False
    return loaded.model == service.model and loaded.role != BATCH


def next_step(observed: Observed, desired: Loaded) -> Step:
    """Return what is to be done with a target that should hold ``desired``."""
    if observed.leaving:
        return Step.NOTHING
    if observed.desired == desired and observed.loading:
        return Step.WAIT
    if observed.loaded == desired and observed.desired in (desired, None):
        return Step.NOTHING
    loaded = observed.loaded
    if loaded is None or not loaded.model:
        return Step.ORDER  # nobody is served by it yet
    goes_to_batch = desired.role == BATCH and loaded.role != BATCH
    if _same_weights(loaded, desired) and not goes_to_batch:
        return Step.ORDER
    return Step.ORDER_OUT


def _same_weights(one: Loaded, other: Loaded) -> bool:
    return one.model == other.model and one.version == other.version
