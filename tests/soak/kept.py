"""Callers that keep connections, and use each until it ends."""

import asyncio
import contextlib
import random

from gateway.conftest import HOST
from soak.diary import Life, now
from soak.town import SoakInstance, Town

ASK_S = 6.0
DEADLINE_MS = 5000
PER_INSTANCE = 12
# Callers, sockets and stand-ins share one process with one core.
MOST = 360
# Pauses between two requests on a connection, in seconds. The rare ones are longer than
# the time for which a leaving instance takes requests.
BUSY_S = (0.0, 0.3)
RARE_S = (1.0, 6.0)
SLOW_SHARE = 0.4
# Bodies that come so many seconds after their head.
LATE_SHARE = 0.2
LATE_S = (0.05, 1.5)
POLL_INTERVAL_S = 0.02
BODY = b"question"


class KeptRequest:
    """One request on a kept connection.

    Attributes:
        id: of the request.
        life: the process that has the other end of the connection.
        begun: when its head was written.
        sent: when all of it was written.
        ended: when its answer was whole, or its connection was seen to end.
        status: of the answer; None if none began.
        whole: whether the answer was complete.
        words: data of the answer's events.
    """

    def __init__(self, id: str, life: Life, sent: float) -> None:
        self.id = id
        self.life = life
        self.begun = sent
        self.sent = sent
        self.ended = sent
        self.status: int | None = None
        self.whole = False
        self.words: list[str] = []


class KeptCallers:
    """Keeps many connections and goes on using each until it ends."""

    def __init__(self, town: Town, chance: random.Random) -> None:
        self._town = town
        self._chance = chance
        self.requests: list[KeptRequest] = []

    async def use(self, seconds: float) -> None:
        """Use the system for a while."""
        end = now() + seconds
        count = min(MOST, PER_INSTANCE * len(self._town.instances))
        await asyncio.gather(*(self._caller(end) for _ in range(count)))

    async def _caller(self, end: float) -> None:
        """Open one connection after another, each when the last has ended."""
        pauses = self._chance.choice([BUSY_S, RARE_S, RARE_S])
        while now() < end:
            instance = self._chance.choice(self._town.instances)
            host, _, port = instance.callers.rpartition(":")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(self._chance.uniform(0.1, 0.4))
                continue
            try:
                await self._use(instance, reader, writer, pauses, end)
            finally:
                writer.transport.abort()

    async def _use(
        self,
        instance: SoakInstance,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pauses: tuple[float, float],
        end: float,
    ) -> None:
        life = instance.life
        assert life is not None
        while now() < end:
            await asyncio.sleep(self._chance.uniform(*pauses))
            if reader.at_eof() or writer.transport.is_closing():
                return
            request = KeptRequest(f"k{len(self.requests)}", life, now())
            self.requests.append(request)
            kind = self._chance.choice(["ask", "once"])
            slow = self._chance.random() < SLOW_SHARE
            path = f"/{kind}/slow" if slow else f"/{kind}/1"
            kept = False
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                async with asyncio.timeout(ASK_S):
                    writer.write(_head(request.id, path))
                    if self._chance.random() < LATE_SHARE:
                        await _wait(reader, self._chance.uniform(*LATE_S))
                    if not _has_ended(reader):
                        request.sent = now()
                        writer.write(BODY)
                    kept = await _read(reader, request)
            request.ended = now()
            if not kept:
                return


def _head(id: str, path: str) -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {id}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
        f"Content-Length: {len(BODY)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode()


def _has_ended(reader: asyncio.StreamReader) -> bool:
    return reader.at_eof() or reader.exception() is not None


async def _wait(reader: asyncio.StreamReader, seconds: float) -> None:
    """Wait for ``seconds``, or until the connection ends."""
    end = now() + seconds
    while now() < end and not _has_ended(reader):
        await asyncio.sleep(POLL_INTERVAL_S)


async def _read(reader: asyncio.StreamReader, request: KeptRequest) -> bool:
    """Read one answer; return whether its connection is to be used again."""
    first = await reader.readuntil(b"\r\n")
    request.status = int(first.split()[1])
    headers: dict[str, str] = {}
    while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip().lower()
    if headers.get("transfer-encoding") == "chunked":
        body = await _chunks(reader)
    else:
        body = await reader.readexactly(int(headers["content-length"]))
    request.whole = True
    lines = body.decode().splitlines()
    request.words = [line[6:] for line in lines if line.startswith("data: ")]
    return headers.get("connection") != "close"


async def _chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readuntil(b"\r\n")
    await reader.readuntil(b"\r\n")
    return body
