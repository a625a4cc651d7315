"""Stand-in for the weight store: serves bytes at a rate shared by all readers."""

import asyncio

from aiohttp import web

BLOCK_BYTES = 65536


class WeightStore:
    """Serves weights of any name; concurrent readers share the rate.

    Args:
        bytes_per_s: rate of the entire store.
    """

    def __init__(self, bytes_per_s: float = 50e6) -> None:
        self.bytes_per_s = bytes_per_s
        self.outage = False
        self.served_by_name: dict[str, int] = {}
        self._due = 0.0

    async def take(self, size: int) -> None:
        """Wait until ``size`` more bytes may be sent."""
        now = asyncio.get_running_loop().time()
        self._due = max(self._due, now) + size / self.bytes_per_s
        await asyncio.sleep(self._due - now)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Send ``?bytes=N`` bytes of the named weights."""
        if self.outage:
            return web.Response(status=503)
        name = request.match_info["name"]
        remaining = int(request.query.get("bytes", "0"))
        response = web.StreamResponse()
        await response.prepare(request)
        while remaining > 0:
            size = min(remaining, BLOCK_BYTES)
            await self.take(size)
            await response.write(bytes(size))
            self.served_by_name[name] = self.served_by_name.get(name, 0) + size
            remaining -= size
        return response


def make_app(store: WeightStore) -> web.Application:
    """Return the HTTP application that serves ``store``."""
    app = web.Application()
    app.router.add_get("/weights/{name:.+}", store.handle)
    return app
