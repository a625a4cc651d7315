"""Enforcement of the quotas of teams at this instance; see decisions/quota.py."""

import asyncio
import contextlib
import itertools
from typing import Any

from caperridge.decisions.quota import QuotaLimit
from caperridge.gateway.configuration import ConfigurationInForce
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.quota_messages import (
    ForwardedQuotaReport,
    QuotaReport,
    QuotaVerdict,
)
from caperridge.gateway.mesh.relay import ANY_PROCESS
from caperridge.gateway.quota_ledger import QuotaLedger, Verdict
from caperridge.gateway.quota_owners import WindowOwners
from caperridge.gateway.team_use import Report, TeamShare, TeamUse
from caperridge.log import logger

log = logger(__name__)

# What was given back is reported in batches.
REPORT_INTERVAL_S = 0.05
# An owner in another availability zone answers within 80 ms where there are many peers.
ANSWER_TIMEOUT_S = 0.2
# After a silent owner, it is not asked again for this long; others take its place
# within the time in which a lost peer is noticed.
SILENT_OWNER_PAUSE_S = 0.5
# How long the owner's word holds that requests may be served without asking.
FREE_HOLD_S = 10.0
# Share of the quota that an instance may serve while its reports are on their way; at
# least one request.
MAX_UNCONFIRMED_RATIO = 0.02
# Instances that start together connect to each other within this time.
FORMING_S = 0.7
FORMING_POLL_INTERVAL_S = 0.02
MAX_ALONE_BURST_RATIO = 0.5
# Part of the usual rate that is served while no owner answers.
ALONE_USE_RATIO = 0.8
# Far longer than an answer of an owner may take.
IDLE_EXPIRY_S = 60.0


class QuotaKeeper:
    """Admits requests of teams within their quotas.

    Attributes:
        owners: of the windows.

    Args:
        mesh: of peers.
        ledger: the windows owned here.
    """

    def __init__(self, mesh: Mesh, ledger: QuotaLedger) -> None:
        self.owners = WindowOwners(mesh)
        self._mesh = mesh
        self.ledger = ledger
        ledger.on_received = self.owners.window_received
        self._uses_by_team: dict[str, TeamUse] = {}
        self._dirty: set[str] = set()
        self._reports_by_number: dict[int, Report] = {}
        self._numbers = itertools.count(1)
        self._flush_timer: asyncio.TimerHandle | asyncio.Handle | None = None
        self._forming_until = 0.0
        self._handed_over_key = -1
        mesh.register(QuotaReport, self._receive_report)
        mesh.register(ForwardedQuotaReport, self._receive_forwarded)
        mesh.register(QuotaVerdict, self._receive_verdict)

    def start(self) -> None:
        """Note that this process started now."""
        self._forming_until = asyncio.get_running_loop().time() + FORMING_S

    def leave(self) -> None:
        """Leave the windows owned here to other instances, as this one stops."""
        self.owners.set_leaving(True)
        self.ledger.hand_over(self.owners.of)

    async def admit(self, team: str, limit: QuotaLimit) -> float | None:
        """Count one request; return None, or after how many seconds to return.

        Args:
            team: its name.
            limit: in force here.
        """
        now = asyncio.get_running_loop().time()
        use = self._use(team, now)
        if use.silent_until > now and self.owners.of(team) != self._mesh.instance:
            return self._admit_alone(use, limit, now)
        if now < self._forming_until and self.ledger.is_minority:
            await self._wait_for_peers()
            now = asyncio.get_running_loop().time()
        if now < use.free_until and use.unconfirmed < _max_unconfirmed(limit):
            self._spend(team, use, now)
            return None
        return await self._ask_owner(team, use, limit)

    async def _wait_for_peers(self) -> None:
        """Wait until most instances are heard of, or until they should have been.

        After a loss of all instances each would be the owner of every window for some
        hundred milliseconds, and could grant next to nothing.
        """
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() >= self._forming_until or not self.ledger.is_minority:
                return
            await asyncio.sleep(FORMING_POLL_INTERVAL_S)

    async def _ask_owner(
        self, team: str, use: TeamUse, limit: QuotaLimit
    ) -> float | None:
        granted: asyncio.Future[float | None] = (
            asyncio.get_running_loop().create_future()
        )
        use.waiting.append(granted)
        self._dirty.add(team)
        self._flush_soon()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                wait_s = await granted
                if wait_s is None:
                    use.usual.add(asyncio.get_running_loop().time())
                return wait_s
        return self._owner_silent(team, use, limit)

    def restore(self, team: str) -> None:
        """Give back one request that has not run."""
        use = self._uses_by_team.get(team)
        if use is None:
            return
        use.spent -= 1
        self._dirty.add(team)
        self._flush_later()

    def evidence(self, team: str) -> dict[str, Any]:
        """Return what a refusal of ``team`` was decided on, for the log."""
        use = self._uses_by_team.get(team)
        if use is None:
            return {}
        now = asyncio.get_running_loop().time()
        verdict = use.verdict
        return {
            "owner": self.owners.of(team),
            "owner_silent": use.silent_until > now,
            "left": round(verdict.left, 1) if verdict is not None else None,
            "usual_per_s": round(use.usual.at(now), 2),
        }

    def tick(self, now: float) -> None:
        """Forget teams that have sent nothing for long; hand over what others own."""
        self.ledger.expire(now)
        if self._handed_over_key != self._mesh.changes:
            self._handed_over_key = self._mesh.changes
            self.ledger.hand_over(self.owners.of)
        for team, use in list(self._uses_by_team.items()):
            idle = now - use.used_at > IDLE_EXPIRY_S
            if idle and not use.waiting and team not in self._dirty:
                del self._uses_by_team[team]

    def _use(self, team: str, now: float) -> TeamUse:
        use = self._uses_by_team.get(team)
        if use is None:
            use = self._uses_by_team[team] = TeamUse(now)
        use.used_at = now
        return use

    def _spend(self, team: str, use: TeamUse, now: float) -> None:
        use.spent += 1
        use.unreported += 1
        use.unconfirmed += 1
        use.usual.add(now)
        self._dirty.add(team)
        self._flush_soon()

    # Without an owner that answers.

    def _owner_silent(self, team: str, use: TeamUse, limit: QuotaLimit) -> float | None:
        now = asyncio.get_running_loop().time()
        if use.silent_until <= now:
            log.warning("quota owner silent", team=team, owner=self.owners.of(team))
        use.silent_until = now + SILENT_OWNER_PAUSE_S
        return self._admit_alone(use, limit, now)

    def _admit_alone(self, use: TeamUse, limit: QuotaLimit, now: float) -> float | None:
        """Admit what the team usually sends here."""
        if not use.usual.frozen:
            use.usual.freeze(now)
            if use.is_used_up(limit.window_s, now):
                # One token at each instance may be more than the quota has room for.
                use.alone.empty(now)
        rate = use.usual.at(now) * ALONE_USE_RATIO
        capacity = max(1.0, min(rate, limit.burst * MAX_ALONE_BURST_RATIO))
        if use.alone.take(rate, capacity, now):
            use.spent += 1
            return None
        return SILENT_OWNER_PAUSE_S

    # Reports to owners.

    def _flush_soon(self) -> None:
        """Report at the end of this iteration of the event loop."""
        if isinstance(self._flush_timer, asyncio.TimerHandle):
            self._flush_timer.cancel()
            self._flush_timer = None
        if self._flush_timer is None:
            self._flush_timer = asyncio.get_running_loop().call_soon(self._flush)

    def _flush_later(self) -> None:
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(REPORT_INTERVAL_S, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        self.ledger.hand_over(self.owners.of, self._dirty)
        now = asyncio.get_running_loop().time()
        teams_by_owner: dict[str, list[str]] = {}
        for team in self._dirty:
            teams_by_owner.setdefault(self.owners.of(team), []).append(team)
        self._dirty.clear()
        for instance, teams in teams_by_owner.items():
            if instance == self._mesh.instance:
                self._settle_here(teams, now)
            else:
                self._send_report(instance, teams, now)

    def _settle_here(self, teams: list[str], now: float) -> None:
        for team in teams:
            use = self._uses_by_team[team]
            share = TeamShare(use)
            verdict = self.ledger.settle(
                self._mesh.instance,
                team,
                share.spent,
                len(share.waiting),
                use.usual.at(now),
            )
            self._apply(team, verdict, share, now)

    def _send_report(self, instance: str, teams: list[str], now: float) -> None:
        report = Report(instance, {})
        fields: list[list[Any]] = []
        for team in teams:
            use = self._uses_by_team[team]
            share = report.shares_by_team[team] = TeamShare(use)
            usual_per_s = round(use.usual.at(now), 2)
            fields.append([team, share.spent, len(share.waiting), usual_per_s])
        number = next(self._numbers)
        self._reports_by_number[number] = report
        sent = self._mesh.send(instance, QuotaReport(number, fields))
        asyncio.get_running_loop().call_later(
            ANSWER_TIMEOUT_S * 2, self._report_lost, number
        )
        if sent:
            return
        for share in report.shares_by_team.values():
            for future in share.waiting:
                if not future.done():
                    future.set_exception(TimeoutError("no connection to the owner"))

    def _report_lost(self, number: int) -> None:
        """Report again, to whoever is the owner now, what was not confirmed."""
        report = self._reports_by_number.pop(number, None)
        if report is None:
            return
        for team, share in report.shares_by_team.items():
            use = self._uses_by_team.get(team)
            if use is None:
                continue
            use.spent += share.spent
            use.unreported += share.unreported
            if use.spent or use.unreported:
                self._dirty.add(team)
        self._flush_later()

    def _receive_report(self, peer: str, report: QuotaReport) -> None:
        """Settle a report; forward what it says of windows that others own.

        While a change of the members spreads, peers still report to the owner of
        before. Two owners of a window would grant its quota twice.
        """
        teams = self._forward(peer, report)
        if teams:
            verdicts = QuotaVerdict(report.number, self._settle(peer, teams))
            self._mesh.send(peer, verdicts)

    def _receive_forwarded(self, peer: str, report: ForwardedQuotaReport) -> None:
        """Settle a report in any case, so that none is forwarded in a circle."""
        fields = self._settle(report.reporter, report.teams)
        verdicts = QuotaVerdict(report.number, fields, forwarded_by=peer)
        if report.reporter != self._mesh.instance:
            self._mesh.send(report.reporter, verdicts, report.incarnation)
        elif report.incarnation in (ANY_PROCESS, self._mesh.incarnation):
            self._receive_verdict(peer, verdicts)

    def _settle(self, reporter: str, teams: list[list[Any]]) -> list[list[Any]]:
        """Settle a report on the windows here; return the fields of the verdicts."""
        fields: list[list[Any]] = []
        for team, spent, wanted, usual_per_s in teams:
            verdict = self.ledger.settle(reporter, team, spent, wanted, usual_per_s)
            fields.append(verdict.to_fields(team))
        return fields

    def _forward(self, reporter: str, report: QuotaReport) -> list[list[Any]]:
        """Forward to the owners of the windows; return what is settled here."""
        self.ledger.hand_over(self.owners.of, [one[0] for one in report.teams])
        own: list[list[Any]] = []
        teams_by_owner: dict[str, list[list[Any]]] = {}
        for fields in report.teams:
            instance = self.owners.of(fields[0])
            if instance == self._mesh.instance:
                own.append(fields)
                continue
            teams_by_owner.setdefault(instance, []).append(fields)
        for instance, teams in teams_by_owner.items():
            forwarded = ForwardedQuotaReport(
                reporter, report.number, teams, self._mesh.incarnation_of(reporter)
            )
            if not self._mesh.send(instance, forwarded):
                own += teams
        return own

    def _receive_verdict(self, peer: str, message: QuotaVerdict) -> None:
        report = self._reports_by_number.get(message.number)
        if report is None or report.owner != (message.forwarded_by or peer):
            return
        now = asyncio.get_running_loop().time()
        for team, granted, scarce, left, wait_s, step_s in message.teams:
            verdict = Verdict(granted, scarce, left, wait_s, step_s)
            # Other teams of the report may be answered by other owners.
            share = report.shares_by_team.pop(team, None)
            if share is not None:
                self._apply(team, verdict, share, now)
        if not report.shares_by_team:
            del self._reports_by_number[message.number]

    def _apply(self, team: str, verdict: Verdict, share: TeamShare, now: float) -> None:
        """Follow the owner's word; hand out what it granted."""
        use = self._uses_by_team.get(team)
        if use is None:
            return
        use.verdict = verdict
        use.verdict_at = now
        use.unconfirmed -= share.unreported
        use.silent_until = 0.0
        use.usual.thaw(now)
        use.free_until = 0.0 if verdict.scarce else now + FREE_HOLD_S
        granted = verdict.granted
        wait_s = verdict.wait_s
        for future in share.waiting:
            if future.done():
                continue  # its request has left or was decided without the owner
            if granted > 0:
                granted -= 1
                future.set_result(None)
                continue
            future.set_result(wait_s)
            wait_s += verdict.step_s
        if granted:
            use.spent -= granted
            self._dirty.add(team)
            self._flush_later()


def _max_unconfirmed(limit: QuotaLimit) -> int:
    """Return how many requests may be served before the owner knows of them."""
    return max(1, int(limit.quota * MAX_UNCONFIRMED_RATIO))


def make_quotas(
    mesh: Mesh, configuration: ConfigurationInForce, seeds: list[str]
) -> QuotaKeeper:
    """Return the quotas of an instance, with the windows that it owns."""
    ledger = QuotaLedger(mesh, configuration.limit_of, len(set(seeds)))
    return QuotaKeeper(mesh, ledger)
