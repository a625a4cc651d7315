"""A crowd of raw connections at one listener, and what its process holds meanwhile."""

import asyncio
import contextlib
import itertools
import socket
import ssl
from pathlib import Path

from crowds.forms import Form

# The machine that the settings of the tests name. What counts as memory is the resident
# memory of the process and what waits in the receive queues of its listener.
MEMORY_MB = 112
DESCRIPTORS = 120
CLIENTS = 128
# A crowd has sent what it can when nothing moved for so long, or after so long at all.
SETTLED_AFTER_S = 1.0
SENDS_FOR_S = 30.0
SAMPLE_INTERVAL_S = 0.02
PATIENCE_S = 30.0

# Stands for an id in the texts of requests; each client sends one of its own.
ID = b"{id}"
_ids = itertools.count(1)

MACHINE = f"[machine]\nmemory_mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n"
ROOMY_DESCRIPTORS = 8 * CLIENTS
ROOMY_MACHINE = MACHINE.replace(str(DESCRIPTORS), str(ROOMY_DESCRIPTORS))


class Crowd:
    """Clients of one form; each sends on a connection of its own and keeps it open.

    Args:
        form: what they send.
        address: ``IP:PORT`` of the listener.
        head: first line and headers of a request there, without the empty line; an
            ``ID`` in it is replaced by one of each client.
        size: of a body of legal size.
        tls: context of the clients; None for no TLS.
    """

    def __init__(
        self,
        form: Form,
        address: str,
        head: bytes,
        size: int,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._at = (host, int(port))
        self._form = form
        self._head = head
        self._size = size
        self._tls = tls
        self._writers: list[asyncio.StreamWriter] = []
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._last_sent_at = 0.0

    async def send(self) -> None:
        """Send until all have sent everything, were closed, or nothing moves."""
        loop = asyncio.get_running_loop()
        self._last_sent_at = began = loop.time()
        client = self._client if self._tls is None else self._tls_client
        self._tasks = [loop.create_task(client()) for _ in range(CLIENTS)]
        waiting = set(self._tasks)
        while waiting and loop.time() - began < SENDS_FOR_S:
            _, waiting = await asyncio.wait(waiting, timeout=0.1)
            quiet_s = loop.time() - self._last_sent_at
            if quiet_s > SETTLED_AFTER_S and not self._form.answered:
                return

    async def leave(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._sockets:
            client.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _client(self) -> None:
        loop = asyncio.get_running_loop()
        client = socket.socket()
        client.setblocking(False)
        self._sockets.append(client)
        with contextlib.suppress(OSError):
            await loop.sock_connect(client, self._at)
            for piece in self._form.pieces(_with_id(self._head), self._size):
                await loop.sock_sendall(client, piece)
                self._last_sent_at = loop.time()
            if self._form.answered:
                await loop.sock_recv(client, 1)

    async def _tls_client(self) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*self._at, ssl=self._tls)
            self._writers.append(writer)
            for piece in self._form.pieces(_with_id(self._head), self._size):
                writer.write(piece)
                await writer.drain()
                self._last_sent_at = loop.time()


class Watch:
    """Samples what a process holds; use as a context manager.

    Attributes:
        memory_mb: the most memory seen, what waits at its listener included.
        descriptors: the most descriptors seen.

    Args:
        pid: of the process.
        address: ``IP:PORT`` of the listener.
    """

    def __init__(self, pid: int, address: str) -> None:
        self.memory_mb = 0.0
        self.descriptors = 0
        self._process = Path(f"/proc/{pid}")
        self._local = _kernel_address(address)
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Watch":
        self._task = asyncio.create_task(self._sample())
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    @property
    def alive(self) -> bool:
        """Whether the process still runs."""
        stat = self._process / "stat"
        return stat.exists() and stat.read_text().rpartition(")")[2].split()[0] != "Z"

    async def _sample(self) -> None:
        while self.alive:
            memory_mb = (self._resident_bytes() + self._queued_bytes()) / 1e6
            self.memory_mb = max(self.memory_mb, memory_mb)
            count = len(list((self._process / "fd").iterdir()))
            self.descriptors = max(self.descriptors, count)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _resident_bytes(self) -> int:
        for line in (self._process / "status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0

    def _queued_bytes(self) -> int:
        """Return what waits in the receive queues of accepted connections."""
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if local == self._local and state != "0A":
                total += int(queues.partition(":")[2], 16)
        return total


async def ask(address: str, request: bytes, tls: ssl.SSLContext | None = None) -> int:
    """Send one request, once more if it is refused; return the status of the answer.

    As a client of the system does, it waits as long as a refusal asks for.

    Returns:
        The status; 0 if there is no complete answer.
    """
    status, retry_after_s = await _ask_once(address, request, tls)
    if status == 200:
        return status
    await asyncio.sleep(min(retry_after_s, PATIENCE_S))
    status, _ = await _ask_once(address, request, tls)
    return status


async def _ask_once(
    address: str, request: bytes, tls: ssl.SSLContext | None
) -> tuple[int, float]:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PATIENCE_S):
            reader, writer = await asyncio.open_connection(host, int(port), ssl=tls)
            try:
                writer.write(_with_id(request))
                answer = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0, 0.0
    head, end, _ = answer.partition(b"\r\n\r\n")
    if not end:
        return 0, 0.0
    first, *headers = head.decode("latin-1").split("\r\n")
    for header in headers:
        name, _, value = header.partition(":")
        if name.lower() == "retry-after":
            return int(first.split()[1]), float(value)
    return int(first.split()[1]), 0.0


async def meet(
    form: Form,
    pid: int,
    address: str,
    head: bytes,
    size: int,
    ordinary: bytes,
    answers_at: str = "",
    descriptors: int = DESCRIPTORS,
    tls: ssl.SSLContext | None = None,
    greets: bool = True,
) -> None:
    """Check what must hold beside a crowd and after it.

    Args:
        form: what the crowd sends.
        pid: process that listens at ``address``.
        address: ``IP:PORT`` of the listener.
        head: of the crowd's requests.
        size: of a body of legal size.
        ordinary: a whole request that is answered 200 in calm, with the connection
            closed after it.
        answers_at: ``IP:PORT`` that answers it; empty for ``address``.
        descriptors: that the process may have open.
        tls: context of clients of the listener; None for no TLS.
        greets: the crowd completes the TLS handshake before it sends.
    """
    asked = answers_at or address
    assert await ask(asked, ordinary, tls) == 200, "before the crowd"
    crowd = Crowd(form, address, head, size, tls if greets else None)
    async with Watch(pid, address) as watch:
        try:
            await crowd.send()
            if not form.completes:
                assert await ask(asked, ordinary, tls) == 200, "beside the crowd"
        finally:
            await crowd.leave()
        assert await ask(asked, ordinary, tls) == 200, "after the crowd"
        assert watch.alive
    held = (round(watch.memory_mb), watch.descriptors)
    print("MB, descriptors:", form.name, held)
    assert held[0] <= MEMORY_MB and held[1] <= descriptors, f"MB, descriptors: {held}"


def _with_id(request: bytes) -> bytes:
    return request.replace(ID, b"c%015d" % next(_ids))


def _kernel_address(address: str) -> str:
    """Return ``IP:PORT`` as the kernel's table of connections writes it."""
    host, _, port = address.rpartition(":")
    number = int.from_bytes(socket.inet_aton(host), "little")
    return f"{number:08X}:{int(port):04X}"
