"""Calls to plain services over HTTP, under ``/services/NAME/``."""

from typing import TYPE_CHECKING

from aiohttp import web

from caperridge.refusals import Refusal, RefusedError

if TYPE_CHECKING:
    from caperridge.instance.process import Instance


class PlainHttp:
    """Handlers of calls to plain services of one instance."""

    def __init__(self, instance: "Instance") -> None:
        self._instance = instance

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the route of plain services."""
        router.add_route("*", "/services/{name}/{path:.*}", self.call)

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Pass a call to a plain service."""
        caller = self._instance.caller(request)
        name = request.match_info["name"]
        service = self._instance.configuration.current.services_by_name.get(name)
        if service is None or service.kind != "plain" or not caller.may_use(name):
            text = f"there is no service {name!r} for this caller"
            raise RefusedError(Refusal("service_not_found", text, 404))
        path = "/" + request.rel_url.raw_path.split("/", 3)[3]
        if request.rel_url.raw_query_string:
            path += "?" + request.rel_url.raw_query_string
        request_id, answer = await self._instance.plain.call(
            caller,
            service,
            request.method,
            path,
            await request.read(),
            request.headers.get("Content-Type", "application/octet-stream"),
        )
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers={"Content-Type": answer.content_type, "X-Request-Id": request_id},
        )
