"""Bounded shutdown of a process whose work is done.

The system closes everything that is open when the process exits, so closing it before
is optional and its time is limited. A process that has answered all requests must not
be delayed by a part that does not close, nor by what the interpreter waits for at exit:
tasks that suppress their cancellation, and threads of the event loop's executor.
"""

import asyncio
import contextlib
import os
import sys
import threading
import traceback
from collections.abc import Awaitable, Callable, Mapping
from typing import NoReturn

from caperridge.log import LineStream, logger

log = logger(__name__)

Close = Callable[[], Awaitable[None]]

# For all parts together; a planned stop leaves 0.5 s before the process is killed.
CLOSE_TIMEOUT_S = 0.3
# Further time after which the process exits even if its event loop is stalled.
STALL_TIMEOUT_S = 0.1
# Logging the stall may need a resource that the stalled loop holds, so it is limited.
REPORT_TIMEOUT_S = 0.05
# Logged innermost frames of the stalled loop; enough to see the chain of calls.
MAX_FRAMES = 8


async def end_process(parts: Mapping[str, Close], stream: LineStream) -> NoReturn:
    """Close ``parts`` in order as far as time permits, and exit the process.

    Args:
        parts: functions that close each part, by name.
        stream: stream of the log.
    """
    _start_watchdog(CLOSE_TIMEOUT_S + STALL_TIMEOUT_S)
    took_s_by_part = await close_parts(parts, CLOSE_TIMEOUT_S)
    log.info("instance closed", took_s=took_s_by_part)
    stream.flush()
    os._exit(0)


async def close_parts(parts: Mapping[str, Close], within_s: float) -> dict[str, float]:
    """Close the parts in order; return the seconds that each took.

    A part that does not close in time is logged, and the remaining ones are skipped.

    Args:
        parts: functions that close each part, by name.
        within_s: time for all parts together, in seconds.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + within_s
    took_s_by_part: dict[str, float] = {}
    for name, close in parts.items():
        started_at = loop.time()
        closing = asyncio.ensure_future(close())
        # asyncio.timeout would wait until the cancelled task has finished.
        await asyncio.wait({closing}, timeout=max(0.0, deadline - started_at))
        took_s_by_part[name] = round(loop.time() - started_at, 3)
        if not closing.done():
            log.warning("not closed", part=name, reason="its time is over")
            break
        with contextlib.suppress(asyncio.CancelledError):
            error = closing.exception()
            if error is not None:
                log.warning("not closed", part=name, reason=repr(error))
    return took_s_by_part


def _start_watchdog(limit_s: float) -> None:
    """Make the process exit after ``limit_s``, even if its event loop is stalled."""
    loop_thread = threading.get_ident()
    timer = threading.Timer(limit_s, _force_exit, (loop_thread,))
    timer.daemon = True
    timer.start()


def _force_exit(loop_thread: int) -> NoReturn:
    # In a thread of its own, as the stalled loop may hold the lock of the log.
    reporter = threading.Thread(target=_log_stack, args=(loop_thread,), daemon=True)
    reporter.start()
    reporter.join(REPORT_TIMEOUT_S)
    os._exit(0)


def _log_stack(loop_thread: int) -> None:
    frame = sys._current_frames().get(loop_thread)
    frames = traceback.extract_stack(frame)[-MAX_FRAMES:]
    where = [f"{one.filename}:{one.lineno} in {one.name}" for one in frames]
    log.error("event loop stalled during close", where=where)
