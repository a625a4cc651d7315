"""The HTTP listener for operators: intents, state, explanations, metrics, health."""

from typing import TYPE_CHECKING, Any

import orjson
from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from result import Err

from caperridge import __version__, keys
from caperridge.commands.confirm_intent import HeadMoved, confirm_intent
from caperridge.config import declarations
from caperridge.config.model import Configuration
from caperridge.decisions.plans import make_plan
from caperridge.findings import FindingsError
from caperridge.instance.callers_http import answer_refusals
from caperridge.instance.messages import ConfigurationApplied
from caperridge.platform.interface import NotDone
from caperridge.queries.configuration import read_head
from caperridge.refusals import NOT_RUN, UNKNOWN, Refusal, RefusedError

if TYPE_CHECKING:
    from caperridge.instance.process import Instance

FIRST_OPERATOR = "first-operator"
MOST_DECLARATION_BYTES = 32 * 2**20


class OperatorsHttp:
    """Handlers of the operators' listener of one instance."""

    def __init__(self, instance: "Instance") -> None:
        self._instance = instance

    def app(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(
            client_max_size=MOST_DECLARATION_BYTES, middlewares=[answer_refusals]
        )
        router = app.router
        router.add_get("/healthz", self.healthz)
        router.add_get("/readyz", self.readyz)
        router.add_get("/metrics", self.metrics)
        router.add_get("/state", self.state)
        router.add_get("/requests/{id}", self.request)
        router.add_get("/configuration", self.configuration)
        router.add_post("/intents", self.plan)
        router.add_post("/intents/confirm", self.confirm)
        return app

    def _operator(self, request: web.Request) -> str:
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() == "bearer":
            digest = keys.token_digest(token.strip())
            operator = self._instance.configuration.operator(digest)
            if operator is not None:
                return operator.name
            first = self._instance.settings.first_operator_sha256
            declared = self._instance.configuration.current.operators_by_name
            if not declared and first and digest == first:
                return FIRST_OPERATOR
        raise RefusedError(Refusal("unauthorized", "no operator has this token", 401))

    async def healthz(self, _request: web.Request) -> web.Response:
        """Say that the process lives."""
        return web.json_response({"healthy": True, "version": __version__})

    async def readyz(self, _request: web.Request) -> web.Response:
        """Say whether the balancer should send callers here, and if not, why."""
        missing = self._instance.not_ready_because()
        status = 503 if missing else 200
        return web.json_response(
            {"ready": not missing, "because": missing}, status=status
        )

    async def metrics(self, _request: web.Request) -> web.Response:
        """Return the metrics in Prometheus' text form."""
        data = generate_latest(self._instance.metrics.registry)
        return web.Response(body=data, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def state(self, request: web.Request) -> web.Response:
        """Return a dump of the process's state."""
        self._operator(request)
        return _json(self._instance.state())

    async def request(self, request: web.Request) -> web.Response:
        """Explain one request."""
        self._operator(request)
        trace = self._instance.traces.find(request.match_info["id"])
        if trace is None:
            text = "this instance keeps no trace of it (another may, or it is too old)"
            raise RefusedError(Refusal("request_not_found", text, 404))
        return _json(trace.to_map())

    async def configuration(self, request: web.Request) -> web.Response:
        """Return the configuration in force here."""
        self._operator(request)
        return _json(self._instance.configuration.current.to_map())

    async def plan(self, request: web.Request) -> web.Response:
        """Answer a declaration with its plan; nothing changes."""
        self._operator(request)
        wanted = _declared(await _body(request))
        read = await read_head(
            self._instance.platform, self._instance.configuration.current
        )
        if isinstance(read, Err):
            raise _away(read.err_value)
        plan = make_plan(read.ok_value.configuration, wanted)
        return _json({"plan": plan.to_map()})

    async def confirm(self, request: web.Request) -> web.Response:
        """Make a planned declaration the configuration."""
        operator = self._operator(request)
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
                return _json(answer, status=409)
            raise _away(error)
        self._instance.configuration.tell(ConfigurationApplied(outcome.ok_value))
        return _json({"version": outcome.ok_value.version})


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


def _json(value: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS, default=str),
        status=status,
        content_type="application/json",
    )
