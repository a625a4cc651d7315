"""Intents over HTTP: plan, confirm, history, diff, and the configuration in force."""

import asyncio
import time
from typing import TYPE_CHECKING, Any

import orjson
from aiohttp import web
from result import Err, Ok

from caperridge.commands.confirm_intent import Confirmed, HeadMoved, Intent
from caperridge.commands.confirm_intent import confirm_intent as confirm_command
from caperridge.config import declarations
from caperridge.config.model import FORMAT, Configuration
from caperridge.decisions.effects import describe_effects
from caperridge.decisions.plans import Plan, changes_between, make_plan
from caperridge.findings import FindingsError
from caperridge.instance.http_common import json_body, json_response
from caperridge.instance.messages import ConfigurationConfirmed
from caperridge.queries.configuration import read_head, read_history, read_version
from caperridge.queries.facts import read_plan_context
from caperridge.queries.in_force import merge_versions, read_versions
from caperridge.refusals import NOT_RUN, UNKNOWN, Refusal, RefusedError
from caperridge.store.interface import NotDone

if TYPE_CHECKING:
    from caperridge.instance.process import Instance

MOST_HISTORY = 200


class Asked:
    """What an operator asks for: declarations, or an earlier version again."""

    __slots__ = ("digest", "rollback_to", "wanted")

    def __init__(self, wanted: Configuration, digest: str, rollback_to: int) -> None:
        self.wanted = wanted
        self.digest = digest
        self.rollback_to = rollback_to


class IntentsHttp:
    """Handlers of intents of one instance."""

    def __init__(self, instance: "Instance") -> None:
        self._instance = instance

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of intents."""
        router.add_get("/configuration", self.configuration)
        router.add_get("/configuration/history", self.history)
        router.add_get("/configuration/diff", self.diff)
        router.add_get("/configuration/in-force", self.in_force)
        router.add_post("/intents", self.plan)
        router.add_post("/intents/confirm", self.confirm)

    async def configuration(self, request: web.Request) -> web.Response:
        """Return the configuration in force here."""
        self._instance.operator(request)
        return json_response(self._instance.configuration.current.to_map())

    async def plan(self, request: web.Request) -> web.Response:
        """Answer a declaration with its plan; nothing changes."""
        operator = self._instance.operator(request)
        asked = await self._asked(request)
        current = self._instance.configuration.current
        read = await read_head(self._instance.platform, current)
        away = isinstance(read, Err)
        head = current if isinstance(read, Err) else read.ok_value.configuration
        plan = await asyncio.to_thread(make_plan, head, asked.wanted)
        plan = await self._described(plan, head, asked.wanted, operator)
        if isinstance(read, Ok) and read.ok_value.format > FORMAT:
            text = f"version {head.version} was confirmed by a newer release: what"
            text += " this release does not know is dropped; confirm at a newer one"
            plan.warnings.append(text)
        if away:
            text = f"the platform is away: planned against version {head.version},"
            plan.warnings.append(f"{text} which may not be the newest")
        return json_response({"plan": plan.to_map()})

    async def confirm(self, request: web.Request) -> web.Response:
        """Make a planned declaration the configuration."""
        operator = self._instance.operator(request)
        asked = await self._asked(request)
        intent = Intent(
            asked.wanted, asked.digest, operator, time.time(), asked.rollback_to
        )
        current = self._instance.configuration.current
        outcome = await confirm_command(self._instance.platform, intent, current)
        if isinstance(outcome, Ok):
            return json_response(self._took(outcome.ok_value))
        error = outcome.err_value
        if not isinstance(error, HeadMoved):
            raise _away(error)
        text = "this plan does not hold, and nothing was changed; here is a new one"
        if error.plan.base_version:
            text = f"the configuration is at version {error.plan.base_version}; {text}"
        refusal = Refusal("head_moved", text, 409, NOT_RUN)
        body = {**refusal.body(), "plan": error.plan.to_map()}
        return json_response(body, status=409)

    def _took(self, confirmed: Confirmed) -> dict[str, Any]:
        if confirmed.configuration is not None:
            message = ConfigurationConfirmed(confirmed.configuration, confirmed.delta)
            self._instance.configuration.tell(message)
        return {
            "version": confirmed.version,
            "operator": confirmed.operator,
            "already": confirmed.already,
        }

    async def history(self, request: web.Request) -> web.Response:
        """Return the newest entries of the log, the newest first."""
        self._instance.operator(request)
        newest = self._instance.configuration.current.version
        newest = _number(request, "from", newest)
        limit = min(MOST_HISTORY, _number(request, "limit", 20))
        read = await read_history(self._instance.platform, newest, limit)
        if isinstance(read, Err):
            raise _away(read.err_value)
        return json_response({"versions": [entry.summary() for entry in read.ok_value]})

    async def diff(self, request: web.Request) -> web.Response:
        """Return what differs between two versions."""
        self._instance.operator(request)
        newest = self._instance.configuration.current.version
        after = _number(request, "to", newest)
        before = _number(request, "from", max(0, after - 1))
        changes = changes_between(
            await self._version(before), await self._version(after)
        )
        body = {"from": before, "to": after, "changes": [c.to_map() for c in changes]}
        return json_response(body)

    async def in_force(self, request: web.Request) -> web.Response:
        """Return which instances have a version in force, and which were not heard."""
        self._instance.operator(request)
        instance = self._instance
        current = instance.configuration.current.version
        version = _number(request, "version", current)
        versions_by_instance = dict(instance.versions_of_peers())
        read = await read_versions(instance.platform)
        if isinstance(read, Ok):
            for name, told in read.ok_value.items():
                known = versions_by_instance.get(name, 0)
                versions_by_instance[name] = max(told, known)
        versions_by_instance[instance.settings.instance_id] = current
        listed = set(instance.membership.members_by_id)
        listed.add(instance.settings.instance_id)
        return json_response(
            merge_versions(version, listed, versions_by_instance).to_map()
        )

    async def _asked(self, request: web.Request) -> Asked:
        body = await _body(request)
        digest = str(body.get("digest", ""))
        if isinstance(body.get("rollback_to"), int):
            version = body["rollback_to"]
            wanted = await self._version(version)
            return Asked(wanted, digest, version)
        # Thousands of callers take a second to check: not on the loop of requests.
        wanted = await asyncio.to_thread(_declared, body)
        return Asked(wanted, digest, 0)

    async def _version(self, version: int) -> Configuration:
        current = self._instance.configuration.current
        if version == current.version:
            return current
        read = await read_version(self._instance.platform, version)
        if isinstance(read, Err):
            raise _away(read.err_value)
        if read.ok_value is None:
            text = f"there is no version {version}; the newest here is"
            text = f"{text} {current.version}"
            raise RefusedError(Refusal("version_not_found", text, 404))
        return read.ok_value

    async def _described(
        self, plan: Plan, head: Configuration, wanted: Configuration, operator: str
    ) -> Plan:
        instance = self._instance
        targets = [s.member for s in instance.online.book.states_by_id.values()]
        facts = await read_plan_context(
            instance.platform, operator, targets, instance.orderer.book
        )
        return await asyncio.to_thread(describe_effects, plan, head, wanted, facts)


async def _body(request: web.Request) -> dict[str, Any]:
    try:
        body = orjson.loads(await json_body(request))
        if isinstance(body, dict) and (
            isinstance(body.get("files"), dict)
            or isinstance(body.get("rollback_to"), int)
        ):
            return body
    except orjson.JSONDecodeError:
        pass
    text = 'the body must be {"files": {NAME: TOML, ...}} or {"rollback_to": VERSION}'
    raise RefusedError(Refusal("bad_request", text, 400))


def _number(request: web.Request, name: str, default: int) -> int:
    text = request.query.get(name, str(default))
    if not text.isdecimal():
        raise RefusedError(Refusal("bad_request", f"{name} must be a number", 400))
    return int(text)


def _declared(body: dict[str, Any]) -> Configuration:
    texts_by_file = {str(name): str(text) for name, text in body["files"].items()}
    try:
        return declarations.parse(texts_by_file)
    except FindingsError as error:
        text = f"{len(error.findings)} findings"
        refusal = Refusal("findings", text, 400, findings=error.findings)
        raise RefusedError(refusal) from error


def _away(error: Any) -> RefusedError:
    if isinstance(error, NotDone):
        text = f"nothing was changed: {error.reason}"
        return RefusedError(Refusal("platform_away", text, 503, NOT_RUN, 2.0))
    text = "it is not known whether it took effect; confirm the same digest again,"
    text += " which says what became of it and changes nothing twice"
    return RefusedError(Refusal("platform_unknown", text, 503, UNKNOWN, 2.0))
