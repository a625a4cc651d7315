"""The request that has a target run an item, or continue its output."""

from multidict import CIMultiDict

from caperridge.gateway.dialect import HeaderNames
from caperridge.gateway.jobs.held_job import HeldJob, ItemState
from caperridge.gateway.targets import Target
from caperridge.gateway.upstream import Outbound


def item_request(
    names: HeaderNames,
    job: HeldJob,
    state: ItemState,
    target: Target,
    lease_s: float,
) -> Outbound:
    """Return the request for one run of an item.

    Args:
        names: of headers.
        job: that the item belongs to.
        state: of the item; its output so far is continued.
        target: that runs it.
        lease_s: after which the target ends the run, in seconds.
    """
    item = state.item
    headers: CIMultiDict[str] = CIMultiDict(
        [(name, value) for name, value in item.headers]
    )
    headers["Host"] = job.entry.host
    headers[names.request] = item.id
    headers[names.incarnation] = target.name
    headers[names.deadline] = str(int(lease_s * 1000))
    headers.pop(names.resume, None)
    if job.entry.team:
        headers[names.team] = job.entry.team
    if state.progress.event:
        headers[names.resume] = str(state.progress.event)
    return Outbound(item.id, "POST", item.path, headers, item.body)
