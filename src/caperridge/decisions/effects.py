"""Impact analysis of a plan: effects on targets, callers and jobs, and warnings."""

from collections.abc import Iterable

from caperridge.config.model import Configuration, Service
from caperridge.decisions.jobs import Job
from caperridge.decisions.plans import Plan
from caperridge.decisions.reconcile import Loaded, desired_of, gb_between
from caperridge.records import Record

MAX_SHOWN_NAMES = 10


class Runner(Record):
    """A target that a plan may affect.

    Attributes:
        id: of the target.
        service: name of the service that it serves.
        region: the region whose weight store it loads from.
        loaded: what it last reported to hold; None if it was not polled yet.
    """

    __slots__ = ("id", "loaded", "region", "service")

    def __init__(
        self, id: str, service: str, region: str = "", loaded: Loaded | None = None
    ) -> None:
        self.id = id
        self.service = service
        self.region = region
        self.loaded = loaded


class PlanContext(Record):
    """The state of the fleet when a plan is made.

    Attributes:
        operator: who requests the plan.
        runners: the targets that this instance knows.
        open_jobs: None if the platform could not be read.
    """

    __slots__ = ("open_jobs", "operator", "runners")

    def __init__(
        self,
        operator: str = "",
        runners: list[Runner] | None = None,
        open_jobs: list[Job] | None = None,
    ) -> None:
        self.operator = operator
        self.runners = runners or []
        self.open_jobs = open_jobs


def describe_effects(
    plan: Plan, current: Configuration, wanted: Configuration, context: PlanContext
) -> Plan:
    """Return ``plan`` with its effects and warnings."""
    impact = _ImpactReport(current, wanted, context)
    for service in wanted.services_by_name.values():
        impact.add_target_loads(service)
    impact.add_callers()
    for name in sorted(current.services_by_name.keys() | wanted.services_by_name):
        impact.add_jobs(name)
        impact.add_service_warnings(name)
    impact.add_operators()
    if context.open_jobs is None:
        text = "the platform could not be asked for open jobs; some may be affected"
        impact.warnings.append(text)
    return plan.replace(effects=impact.effects, warnings=impact.warnings)


class _ImpactReport:
    """Collects the sentences of a plan's effects and warnings."""

    def __init__(
        self, current: Configuration, wanted: Configuration, context: PlanContext
    ) -> None:
        self.effects: list[str] = []
        self.warnings: list[str] = []
        self._current = current
        self._wanted = wanted
        self._context = context

    def add_target_loads(self, service: Service) -> None:
        """Add what the targets of ``service`` will load, with size and duration."""
        if service.kind != "engine":
            return
        before = self._current.services_by_name.get(service.name)
        runners = [r for r in self._context.runners if r.service == service.name]
        if before is None and not runners:
            text = f"service {service.name} has no target yet; calls are refused"
            self.warnings.append(text)
        gb_by_region: dict[str, float] = {}
        loading: list[str] = []
        for runner in runners:
            gb = self._gb_to_load(service, before, runner)
            if gb <= 0:
                continue
            loading.append(runner.id)
            gb_by_region[runner.region] = gb_by_region.get(runner.region, 0.0) + gb
        if loading:
            self._add_load_effect(service, loading, gb_by_region)
        if loading and len(runners) == 1 and before is not None:
            text = f"{loading[0]} is the last runner of {service.name}: it is not"
            text += " switched before another one serves"
            self.warnings.append(text)
        roles = service.batch_runners
        if roles and roles >= len(runners) > 0:
            text = f"service {service.name} keeps {roles} of {len(runners)} runners"
            self.warnings.append(
                f"{text} for batch: one is left to online all the same"
            )
        if before is not None and before.batch_runners != roles:
            text = f"{roles} runners of {service.name} take batch only"
            self.effects.append(text)

    def _gb_to_load(
        self, service: Service, before: Service | None, runner: Runner
    ) -> float:
        desired = desired_of(self._wanted, service)
        loaded = runner.loaded
        if loaded is None and before is not None:
            loaded = desired_of(self._current, before)
        return gb_between(self._wanted, loaded, desired)

    def _add_load_effect(
        self, service: Service, loading: list[str], gb_by_region: dict[str, float]
    ) -> None:
        total = sum(gb_by_region.values())
        seconds = 0.0
        for region, gb in gb_by_region.items():
            rate = self._wanted.weight_store(region).gb_per_s
            seconds = max(seconds, gb / rate)
        what = " ".join([service.model, service.version, *service.adapters])
        self.effects.append(
            f"{_names(loading)} of {service.name} load {what}: {total:.1f} GB from the"
            f" weight store, about {seconds:.0f} s"
        )

    def add_callers(self) -> None:
        """Add the callers that lose access to all or to some services."""
        removed: list[str] = []
        replaced: list[str] = []
        for name, caller in sorted(self._current.callers_by_name.items()):
            after = self._wanted.callers_by_name.get(name)
            if after is None:
                removed.append(name)
                continue
            if after.token_sha256 != caller.token_sha256:
                replaced.append(name)
            lost = [
                s
                for s in self._usable_services(self._current, name)
                if not after.may_use(s)
            ]
            if lost:
                self.effects.append(f"caller {name} loses {_names(lost)}")
        if removed:
            text = f"{len(removed)} callers lose access: {_names(removed)}"
            self.effects.append(text)
        if replaced:
            self.effects.append(f"the old tokens of {_names(replaced)} are refused")

    @staticmethod
    def _usable_services(configuration: Configuration, name: str) -> list[str]:
        caller = configuration.callers_by_name[name]
        return [s for s in configuration.services_by_name if caller.may_use(s)]

    def add_jobs(self, name: str) -> None:
        """Add the open jobs that the change of a service affects."""
        jobs = [job for job in self._context.open_jobs or [] if job.service == name]
        if not jobs:
            return
        before = self._current.services_by_name.get(name)
        after = self._wanted.services_by_name.get(name)
        ids = _names(job.id for job in jobs)
        items = sum(job.items for job in jobs)
        if after is None:
            text = f"service {name} goes with {len(jobs)} open jobs ({items} items):"
            self.warnings.append(f"{text} {ids}; their items cannot be done")
            return
        if before is not None and before.version != after.version:
            text = (
                f"open jobs {ids} go on with version {after.version} of {after.model}"
            )
            self.effects.append(text)
        orphans = sorted({j.caller for j in jobs} - self._wanted.callers_by_name.keys())
        if orphans:
            text = f"open jobs of {_names(orphans)} run on, but nobody can read them"
            self.warnings.append(text)

    def add_service_warnings(self, name: str) -> None:
        """Add warnings of changes that weaken a guarantee of a service."""
        before = self._current.services_by_name.get(name)
        after = self._wanted.services_by_name.get(name)
        if before is None:
            return
        if after is None:
            users = [
                caller.name
                for caller in self._wanted.callers_by_name.values()
                if name in caller.services or "*" in caller.services
            ]
            text = f"service {name} is removed; {len(users)} callers could use it"
            self.warnings.append(text)
            return
        if after.repeatable and not before.repeatable:
            text = f"calls to {name} may be sent twice from now on"
            self.warnings.append(text)
        if after.checks_fencing and not before.checks_fencing:
            text = f"targets of {name} are trusted to refuse old orders from now on"
            self.warnings.append(text)
        if after.believes_not_run and not before.believes_not_run:
            text = f'targets of {name} are believed when they say "not run"'
            self.warnings.append(text)

    def add_operators(self) -> None:
        """Add the operators that lose access.

        Warns if the requesting operator loses access or gets another token, and if no
        operator remains.
        """
        before, after = self._current.operators_by_name, self._wanted.operators_by_name
        own = self._context.operator
        if own in before and own not in after:
            self.warnings.append(f"you ({own}) lose your own access")
        elif own in before and before[own] != after[own]:
            self.warnings.append(f"your own token ({own}) is replaced")
        if not after:
            text = "no operator is declared: only the first operator's token is left"
            self.warnings.append(text)
        gone = sorted(before.keys() - after.keys() - {own})
        if gone:
            self.effects.append(f"operators lose access: {_names(gone)}")


def _names(names: Iterable[str]) -> str:
    all_names = list(names)
    shown = ", ".join(all_names[:MAX_SHOWN_NAMES])
    more = len(all_names) - MAX_SHOWN_NAMES
    return f"{shown} and {more} more" if more > 0 else shown
