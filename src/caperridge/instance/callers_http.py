"""The HTTP listener for callers, in the shape of the OpenAI API."""

from typing import TYPE_CHECKING, Any

from aiohttp import web

from caperridge.instance.completions_http import CompletionsHttp
from caperridge.instance.http_common import app_with_refusals
from caperridge.instance.jobs_http import JobsHttp
from caperridge.instance.plain_http import PlainHttp

if TYPE_CHECKING:
    from caperridge.instance.process import Instance

MOST_BODY_BYTES = 8 * 2**20


class CallersHttp:
    """Assembles the callers' listener of one instance."""

    def __init__(self, instance: "Instance") -> None:
        self._instance = instance

    def app(self) -> web.Application:
        """Return the application with its routes."""
        app = app_with_refusals(MOST_BODY_BYTES)
        app.router.add_get("/v1/models", self.models)
        CompletionsHttp(self._instance).add_routes(app.router)
        JobsHttp(self._instance).add_routes(app.router)
        PlainHttp(self._instance).add_routes(app.router)
        return app

    async def models(self, request: web.Request) -> web.Response:
        """List the models that the caller may use."""
        caller = self._instance.caller(request)
        data: list[dict[str, Any]] = []
        services = self._instance.configuration.current.services_by_name.values()
        for service in services:
            if service.kind != "engine" or not caller.may_use(service.name):
                continue
            for name in (service.name, *service.adapters):
                data.append(
                    {
                        "id": name,
                        "object": "model",
                        "created": 0,
                        "owned_by": "caperridge",
                    }
                )
        return web.json_response({"object": "list", "data": data})
