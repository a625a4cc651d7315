"""Intents over HTTP: plan, confirm, and the configuration in force."""

from typing import TYPE_CHECKING, Any

import orjson
from aiohttp import web
from result import Err

from caperridge.commands.confirm_intent import HeadMoved, confirm_intent
from caperridge.config import declarations
from caperridge.config.model import Configuration
from caperridge.decisions.plans import make_plan
from caperridge.findings import FindingsError
from caperridge.instance.http_common import json_response
from caperridge.instance.messages import ConfigurationApplied
from caperridge.platform.interface import NotDone
from caperridge.queries.configuration import read_head
from caperridge.refusals import NOT_RUN, UNKNOWN, Refusal, RefusedError

if TYPE_CHECKING:
    from caperridge.instance.process import Instance


class IntentsHttp:
    """Handlers of intents of one instance."""

    def __init__(self, instance: "Instance") -> None:
        self._instance = instance

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of intents."""
        router.add_get("/configuration", self.configuration)
        router.add_post("/intents", self.plan)
        router.add_post("/intents/confirm", self.confirm)

    async def configuration(self, request: web.Request) -> web.Response:
        """Return the configuration in force here."""
        self._instance.operator(request)
        return json_response(self._instance.configuration.current.to_map())

    async def plan(self, request: web.Request) -> web.Response:
        """Answer a declaration with its plan; nothing changes."""
        self._instance.operator(request)
        wanted = _declared(await _body(request))
        read = await read_head(
            self._instance.platform, self._instance.configuration.current
        )
        if isinstance(read, Err):
            raise _away(read.err_value)
        plan = make_plan(read.ok_value.configuration, wanted)
        return json_response({"plan": plan.to_map()})

    async def confirm(self, request: web.Request) -> web.Response:
        """Make a planned declaration the configuration."""
        operator = self._instance.operator(request)
        body = await _body(request)
        wanted = _declared(body)
        outcome = await confirm_intent(
            self._instance.platform, wanted, str(body.get("digest", "")), operator
        )
        if isinstance(outcome, Err):
            error = outcome.err_value
            if isinstance(error, HeadMoved):
                answer = {
                    "error": {
                        "code": "head_moved",
                        "message": "the configuration moved on; here is a new plan",
                        "run": NOT_RUN,
                    },
                    "plan": error.plan.to_map(),
                }
                return json_response(answer, status=409)
            raise _away(error)
        self._instance.configuration.tell(ConfigurationApplied(outcome.ok_value))
        return json_response({"version": outcome.ok_value.version})


async def _body(request: web.Request) -> dict[str, Any]:
    try:
        body = orjson.loads(await request.read())
        if isinstance(body, dict) and isinstance(body.get("files"), dict):
            return body
    except orjson.JSONDecodeError:
        pass
    text = 'the body must be {"files": {NAME: TOML, ...}}'
    raise RefusedError(Refusal("bad_request", text, 400))


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
        return RefusedError(Refusal("platform_away", error.reason, 503, NOT_RUN, 2.0))
    text = "it is not known whether it took effect; confirm the same plan again"
    return RefusedError(Refusal("platform_unknown", text, 503, UNKNOWN, 2.0))
