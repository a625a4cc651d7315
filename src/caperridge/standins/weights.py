"""A stand-in for the weight store: bytes at a limited rate, shared by all readers."""

import asyncio

from aiohttp import web

BLOCK_BYTES = 65536


class WeightStore:
    """Serves any name; the rate is shared among all that read at once.

    Args:
        bytes_per_s: of the whole store.
    """

    def __init__(self, bytes_per_s: float = 50e6) -> None:
        self.bytes_per_s = bytes_per_s
        self.outage = False
        self.served_by_name: dict[str, int] = {}
        self._due = 0.0

    async def take(self, size: int) -> None:
        """Wait until ``size`` more bytes may leave the store."""
        now = asyncio.get_running_loop().time()
        self._due = max(self._due, now) + size / self.bytes_per_s
        await asyncio.sleep(self._due - now)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Send ``?bytes=N`` bytes of the named weights."""
        if self.outage:
            return web.Response(status=503)
        name = request.match_info["name"]
        left = int(request.query.get("bytes", "0"))
        response = web.StreamResponse()
        await response.prepare(request)
        while left > 0:
            size = min(left, BLOCK_BYTES)
            await self.take(size)
            await response.write(bytes(size))
            self.served_by_name[name] = self.served_by_name.get(name, 0) + size
            left -= size
        return response


def make_app(store: WeightStore) -> web.Application:
    """Return the HTTP face of ``store``."""
    app = web.Application()
    app.router.add_get("/weights/{name:.+}", store.handle)
    return app
