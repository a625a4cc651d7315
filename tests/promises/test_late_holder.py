"""A holder that was paused comes too late: its commit is refused."""

import asyncio
from typing import Any

from result import Err, Result

from caperridge import keys
from caperridge.decisions.jobs import DONE
from caperridge.store.interface import Conflict, PutRow
from promises.conftest import PATIENCE_S, Fleet, until

ITEMS = 24


class Pause:
    """Holds up the writes of one session from its first commit on.

    What the holder sends while paused arrives when it wakes, as from a process that
    was frozen between its last look at the clock and the call.
    """

    def __init__(self, platform: Any, session: str) -> None:
        self.begun = asyncio.Event()
        self.over = asyncio.Event()
        self.commits: list[Result[Any, Any]] = []
        self._session = session
        self._transact = platform.transact
        platform.transact = self.transact

    def _commits(self, conditions: list[Any], writes: list[Any]) -> bool:
        own = keys.session(self._session)
        if not any(
            c.key == own or getattr(c, "value", "") == self._session for c in conditions
        ):
            return False
        return any(
            isinstance(write, PutRow) and write.value.get("state") == DONE
            for write in writes
        )

    def _renews(self, writes: list[Any]) -> bool:
        (write, *more) = writes
        own = write.key == keys.session(self._session) and not more
        return own and "renewals" in write.fields

    async def transact(self, conditions: Any, writes: Any, token: str) -> Any:
        commits = self._commits(conditions, writes)
        if commits:
            self.begun.set()
        if self.begun.is_set() and (commits or self._renews(writes)):
            await self.over.wait()
        outcome = await self._transact(conditions, writes, token)
        if commits:
            self.commits.append(outcome)
        return outcome


async def test_the_late_commit_is_refused_and_the_results_stay(fleet: Fleet) -> None:
    fleet.slow(10.0)
    job = await fleet.submit("entry-1", ITEMS)
    holder = await fleet.holder()
    session = holder.session.session_id
    pause = Pause(fleet.platform, session)
    fleet.slow(1.0)
    await asyncio.wait_for(pause.begun.wait(), PATIENCE_S)
    other = next(n for n, i in fleet.instances_by_id.items() if i is not holder)
    await fleet.completed(other, job)
    before = await fleet.results(other, job)
    pause.over.set()
    await until(lambda: pause.commits)
    late = pause.commits[0]
    assert isinstance(late, Err)
    assert isinstance(late.err_value, Conflict)
    assert keys.session(session) in late.err_value.failed_keys
    await until(lambda: holder.session.session_id not in ("", session))
    assert await fleet.results(holder.settings.instance_id, job) == before
    await fleet.check_each_once(other, job, ITEMS)
