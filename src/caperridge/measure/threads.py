"""Event loops in threads of their own, within one process.

An experiment that wants the processor time of one instance gives it a thread: the
time of that thread is the instance's, whatever load and stand-ins cost beside it.
"""

import asyncio
import threading
import time
from collections.abc import Callable, Coroutine
from typing import Any

from aiohttp import web

STOP_S = 10.0


class LoopThread:
    """A thread that runs one event loop until :meth:`stop`."""

    def __init__(self, name: str) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        self._loop.close()

    def call(self, work: Coroutine[Any, Any, Any], deadline_s: float = 30.0) -> Any:
        """Run ``work`` in the loop and return its value."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(deadline_s)

    def cpu_s(self) -> float:
        """Return the processor time that the thread has used."""
        return self.call(_thread_time())

    def stop(self) -> None:
        """Cancel what runs, end the loop and wait for the thread."""
        self.call(_cancel_all(), STOP_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STOP_S)


async def _thread_time() -> float:
    return time.thread_time()


async def _cancel_all() -> None:
    own = asyncio.current_task()
    others = [task for task in asyncio.all_tasks() if task is not own]
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


async def serve(app: web.Application, runners: list[web.AppRunner]) -> str:
    """Serve ``app`` on a port from the system; return ``host:port``.

    Args:
        app: what to serve.
        runners: gets the runner, for its cleanup.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    runners.append(runner)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


def wait_for(
    holds: Callable[[], bool], deadline_s: float, pause_s: float = 0.01
) -> bool:
    """Wait in this thread until ``holds()``; return whether it did in time."""
    until = time.monotonic() + deadline_s
    while not holds():
        if time.monotonic() > until:
            return False
        time.sleep(pause_s)
    return True
