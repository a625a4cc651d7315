"""The HTTP listener for operators: intents, state, explanations, metrics, health."""

from typing import TYPE_CHECKING

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from caperridge import __version__
from caperridge.instance.http_common import app_with_refusals, json_response
from caperridge.instance.intents_http import IntentsHttp
from caperridge.refusals import Refusal, RefusedError

if TYPE_CHECKING:
    from caperridge.instance.process import Instance

MOST_DECLARATION_BYTES = 32 * 2**20


class OperatorsHttp:
    """Handlers of the operators' listener of one instance."""

    def __init__(self, instance: "Instance") -> None:
        self._instance = instance

    def app(self) -> web.Application:
        """Return the application with its routes."""
        app = app_with_refusals(MOST_DECLARATION_BYTES)
        router = app.router
        router.add_get("/healthz", self.healthz)
        router.add_get("/readyz", self.readyz)
        router.add_get("/metrics", self.metrics)
        router.add_get("/state", self.state)
        router.add_get("/requests/{id}", self.request)
        IntentsHttp(self._instance).add_routes(router)
        return app

    async def healthz(self, _request: web.Request) -> web.Response:
        """Say that the process lives."""
        return web.json_response({"healthy": True, "version": __version__})

    async def readyz(self, _request: web.Request) -> web.Response:
        """Say whether the balancer should send callers here, and if not, why."""
        missing = self._instance.not_ready_because()
        status = 503 if missing else 200
        return web.json_response(
            {
                "ready": not missing,
                "because": missing,
                "stage": self._instance.drain.stage,
            },
            status=status,
        )

    async def metrics(self, _request: web.Request) -> web.Response:
        """Return the metrics in Prometheus' text form."""
        data = generate_latest(self._instance.metrics.registry)
        return web.Response(body=data, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def state(self, request: web.Request) -> web.Response:
        """Return a dump of the process's state."""
        self._instance.operator(request)
        return json_response(self._instance.state())

    async def request(self, request: web.Request) -> web.Response:
        """Explain one request."""
        self._instance.operator(request)
        explanations = self._instance.explanations
        trace = await explanations.explain(request.match_info["id"])
        if trace is None:
            text = "no instance that answered keeps a trace of it; it may be too old"
            raise RefusedError(Refusal("request_not_found", text, 404))
        return json_response(trace)
