"""A client that keeps its connection, as the balancer's clients do."""

import asyncio
import time

from town import HOST, Instance


class Answer:
    """What came back for one request.

    Attributes:
        status: of the answer; 0 if no head came.
        whole: whether the body came to its end.
        events: number of events in the body.
        closing: whether the answer says that the connection closes.
        sent: when the last byte of the request was sent.
        ended: when the answer or the connection ended.
    """

    def __init__(self, sent: float) -> None:
        self.status = 0
        self.whole = False
        self.events = 0
        self.closing = False
        self.sent = sent
        self.ended = sent


class KeptConnection:
    """One open connection to an instance."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, instance: Instance) -> "KeptConnection":
        """Connect."""
        host, _, port = instance.callers.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def ask(self, id: str, path: str, deadline_ms: int) -> Answer:
        """Send one request and read its answer."""
        body = b'{"prompt": "alarm"}'
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n"
            f"X-Model: m\r\nX-Token-Usage: 250,400\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"X-Prompt-Prefix: 5c1e07a2:100,{id[:8]}:250\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        answer = Answer(time.monotonic())
        try:
            self._writer.write(head.encode() + body)
            await self._writer.drain()
            answer.sent = time.monotonic()
            async with asyncio.timeout(deadline_ms / 1000):
                await self._read(answer)
        except (OSError, EOFError, TimeoutError):
            pass
        answer.ended = time.monotonic()
        return answer

    async def _read(self, answer: Answer) -> None:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode()
        answer.status = int(head.split(" ", 2)[1])
        fields: dict[str, str] = {}
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        answer.closing = fields.get("connection", "").lower() == "close"
        if "chunked" not in fields.get("transfer-encoding", ""):
            data = await self._reader.readexactly(int(fields.get("content-length", 0)))
            answer.events = data.count(b"\n\n")
            answer.whole = True
            return
        while True:
            size = int((await self._reader.readuntil(b"\r\n")).strip(), 16)
            data = await self._reader.readexactly(size + 2)
            if not size:
                break
            answer.events += data.count(b"\n\n")
        answer.whole = True

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()
