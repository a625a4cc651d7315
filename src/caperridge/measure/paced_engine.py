"""A cheap engine for load: events built ahead, sent at a set pace.

It answers at once and computes nothing, so that whoever relays its streams is what
an experiment measures. As a real engine, it works in steps: each step sends the next
events of every running stream, one write for each stream.
"""

import asyncio
import contextlib

import orjson
from aiohttp import web

_TAIL = (
    b',"object":"chat.completion.chunk","created":0,"model":"north","choices":'
    b'[{"index":0,"delta":{"role":"assistant","content":"a token "},'
    b'"finish_reason":%s}]}\n\n'
)
_GOING_ON = _TAIL % b"null"
_LAST = _TAIL % b'"length"'
_DONE = b"data: [DONE]\n\n"


class _Stream:
    """One answer on its way."""

    __slots__ = ("ended", "head", "left", "offset", "request")

    def __init__(self, request: web.Request, tokens: int) -> None:
        ids = (
            request.headers.get("X-Request-Id", "direct").encode(),
            request.headers.get("X-Attempt-Id", "direct").encode(),
        )
        self.head = b'data: {"id":"%s","attempt":"%s","offset":' % ids
        self.request = request
        self.offset = 0
        self.left = tokens
        self.ended = asyncio.Event()

    def next_events(self, most: int) -> bytes:
        """Return the next ``most`` events, and the closing mark after the last."""
        events: list[bytes] = []
        for _ in range(min(most, self.left)):
            self.left -= 1
            tail = _GOING_ON if self.left else _LAST
            events.append(b"%b%d%b" % (self.head, self.offset, tail))
            self.offset += 1
        if not self.left:
            events.append(_DONE)
        return b"".join(events)


class PacedEngine:
    """The engine.

    Attributes:
        step_s: pause between two steps.
        events_a_write: events of one stream in one step.
    """

    def __init__(self, step_s: float = 0.02, events_a_write: int = 1) -> None:
        self.step_s = step_s
        self.events_a_write = events_a_write
        self._streams: set[_Stream] = set()
        self._task: asyncio.Task[None] | None = None

    def make_app(self) -> web.Application:
        """Return its HTTP face."""
        app = web.Application(client_max_size=2**20)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_post("/control/cancel", self._cancel)
        app.on_startup.append(self._start)
        app.on_cleanup.append(self._stop)
        return app

    async def _start(self, _app: web.Application) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _stop(self, _app: web.Application) -> None:
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due = max(due + self.step_s, loop.time())
            await asyncio.sleep(due - loop.time())
            for stream in list(self._streams):
                self._send(stream, self.events_a_write)

    def _send(self, stream: _Stream, events: int) -> None:
        transport = stream.request.transport
        if transport is None:
            self._end(stream)
            return
        data = stream.next_events(events)
        # The chunk's frame is written here: the library's own call costs as much as
        # the relay that is to be measured.
        transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        if not stream.left:
            self._end(stream)

    def _end(self, stream: _Stream) -> None:
        self._streams.discard(stream)
        stream.ended.set()

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = orjson.loads(await request.read())
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        stream = _Stream(request, int(body["max_tokens"]))
        self._send(stream, 1)
        if stream.left:
            self._streams.add(stream)
            await stream.ended.wait()
        return response

    async def _cancel(self, _request: web.Request) -> web.Response:
        return web.json_response({})
