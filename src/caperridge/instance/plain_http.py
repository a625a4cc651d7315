"""Calls to plain services over HTTP, under ``/services/NAME/``."""

from typing import TYPE_CHECKING

from aiohttp import web

from caperridge.instance.http_common import bad_request, whole_body
from caperridge.instance.plain_headers import towards_caller
from caperridge.listening.answers import PiecewiseResponse
from caperridge.refusals import Refusal, RefusedError

if TYPE_CHECKING:
    from caperridge.instance.process import Instance

MOST_KEY = 256


class PlainHttp:
    """Handlers of calls to plain services of one instance."""

    def __init__(self, instance: "Instance") -> None:
        self._instance = instance

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the route of plain services."""
        router.add_route("*", "/services/{name}/{path:.*}", self.call)

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Pass a call to a plain service."""
        instance = self._instance
        caller = instance.caller(request)
        name = request.match_info["name"]
        service = instance.configuration.current.services_by_name.get(name)
        if service is None or service.kind != "plain" or not caller.may_use(name):
            text = f"there is no service {name!r} for this caller"
            raise RefusedError(Refusal("service_not_found", text, 404))
        if len(request.headers.get("Idempotency-Key", "")) > MOST_KEY:
            raise bad_request(f"an idempotency key has {MOST_KEY} characters at most")
        plain = instance.plain.open(
            caller,
            service,
            request.method,
            _path(request),
            request.headers,
            await whole_body(request),
        )
        if plain.key and not service.repeatable:
            answer = await instance.keyed_calls.call(plain)
        else:
            answer = await instance.plain.send(plain)
        return PiecewiseResponse(
            status=answer.status,
            body=answer.body,
            headers=towards_caller(answer.headers, plain.id),
        )


def _path(request: web.Request) -> str:
    """Return path and query below the service, encoded as the caller sent them."""
    path = "/" + request.rel_url.raw_path.split("/", 3)[3]
    if request.rel_url.raw_query_string:
        path += "?" + request.rel_url.raw_query_string
    return path
