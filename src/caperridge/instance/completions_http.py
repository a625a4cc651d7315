"""Completions over HTTP: streamed or whole."""

from contextlib import aclosing
from typing import TYPE_CHECKING

import orjson
from aiohttp import web

from caperridge.instance.http_common import json_body, json_of
from caperridge.instance.in_flight import count_tokens
from caperridge.instance.online_request import OnlineRequest, whole_answer
from caperridge.listening.answers import PiecewiseResponse
from caperridge.refusals import RefusedError
from caperridge.targets.events import DONE_EVENT

if TYPE_CHECKING:
    from caperridge.instance.process import Instance

# What a caller names as ``resume_version`` when it comes back for the rest.
VERSION_HEADER = "X-Software-Version"


class CompletionsHttp:
    """Handlers of completions of one instance."""

    def __init__(self, instance: "Instance") -> None:
        self._instance = instance

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of completions."""
        router.add_post("/v1/chat/completions", self.complete)
        router.add_post("/v1/completions", self.complete)

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer a completion, streamed or whole."""
        caller = self._instance.caller(request)
        body = json_of(await json_body(request))
        online = self._instance.online.admit(
            self._instance.configuration.current,
            caller,
            request.path,
            body,
            request.headers,
        )
        if body.get("stream"):
            return await self._stream(request, online)
        events: list[bytes] = []
        async with aclosing(self._instance.online.events(online)) as batches:
            async for batch in batches:
                events.extend(batch)
        return PiecewiseResponse(
            body=orjson.dumps(whole_answer(online, events)),
            content_type="application/json",
            headers={"X-Request-Id": online.id},
        )

    async def _stream(
        self, request: web.Request, online: OnlineRequest
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-cache",
                "X-Request-Id": online.id,
            }
        )
        try:
            async with aclosing(self._instance.online.events(online)) as batches:
                async for batch in batches:
                    if not response.prepared:
                        if online.software_version:
                            version = online.software_version
                            response.headers[VERSION_HEADER] = version
                        await response.prepare(request)
                    await response.write(b"".join(batch))
                    count_tokens(request, len(batch))
            await response.write(DONE_EVENT)
        except ConnectionResetError:
            # The caller hung up between two events: nobody is left to answer.
            return response
        except RefusedError as refused:
            if not response.prepared:
                raise
            # The status is out already: say it in the stream, and end the stream
            # without its closing mark, so that it cannot pass for whole.
            body = orjson.dumps(refused.refusal.body())
            await response.write(b"data: " + body + b"\n\n")
            if request.transport is not None:
                request.transport.close()
        return response
