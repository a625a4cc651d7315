"""Read of the context of a plan: the targets, the open jobs and the operator."""

from collections.abc import Iterable

from result import Ok

from caperridge.decisions.effects import PlanContext, Runner
from caperridge.decisions.loaded_book import LoadedStates
from caperridge.queries.jobs import read_open_jobs
from caperridge.store.interface import ListedMember, Platform


async def read_plan_context(
    platform: Platform,
    operator: str,
    targets: Iterable[ListedMember],
    loaded_states: LoadedStates,
) -> PlanContext:
    """Return the context of a plan as known to this instance.

    Args:
        platform: where the open jobs are read.
        operator: who requests the plan.
        targets: the platform's list of targets.
        loaded_states: what they last reported to hold.
    """
    runners: list[Runner] = []
    for member in targets:
        if member.state == "leaving":
            continue
        state = loaded_states.by_target.get(member.id)
        loaded = state.loaded if state is not None else None
        runners.append(Runner(member.id, member.service, member.region, loaded))
    runners.sort(key=lambda runner: runner.id)
    jobs = await read_open_jobs(platform)
    return PlanContext(
        operator, runners, jobs.ok_value if isinstance(jobs, Ok) else None
    )
