"""Ending a process whose work is done.

Whatever is open then is closed by the system when the process ends, so closing it
first is a courtesy that must cost nobody time. Neither a part that does not close nor
what the interpreter waits for at its own end (tasks that swallow their cancellation,
threads of the loop's executor) may keep a process that has answered everybody.
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

# For all parts together; a planned stop leaves 0.5 s before its kill.
CLOSE_S = 0.3
# From then on a loop that stands still is left, too.
STILL_S = 0.1
# The word about it may need what stands still; nothing waits for it any longer.
TELL_S = 0.05
# Of where the loop stands; enough to see who called whom.
MOST_FRAMES = 8


async def end_process(parts: Mapping[str, Close], stream: LineStream) -> NoReturn:
    """Close ``parts`` in turn as far as there is time, and end the process.

    Args:
        parts: what to close, by name.
        stream: of the log.
    """
    _end_when_still(CLOSE_S + STILL_S)
    took_s_by_part = await close_parts(parts, CLOSE_S)
    log.info("instance closed", took_s=took_s_by_part)
    stream.flush()
    os._exit(0)


async def close_parts(parts: Mapping[str, Close], within_s: float) -> dict[str, float]:
    """Close each part; return the seconds it took.

    One that does not end is named in the log, and so ends the closing.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + within_s
    took_s_by_part: dict[str, float] = {}
    for name, close in parts.items():
        began = loop.time()
        closing = asyncio.ensure_future(close())
        # Not a time-out around it: that would wait for the end of what it cancels.
        await asyncio.wait({closing}, timeout=max(0.0, end - began))
        took_s_by_part[name] = round(loop.time() - began, 3)
        if not closing.done():
            log.warning("not closed", part=name, reason="its time is over")
            break
        with contextlib.suppress(asyncio.CancelledError):
            error = closing.exception()
            if error is not None:
                log.warning("not closed", part=name, reason=repr(error))
    return took_s_by_part


def _end_when_still(limit_s: float) -> None:
    """Have the process end after ``limit_s``, whatever its loop does."""
    watched = threading.get_ident()
    timer = threading.Timer(limit_s, _end_anyway, (watched,))
    timer.daemon = True
    timer.start()


def _end_anyway(watched: int) -> NoReturn:
    # The log has a lock, which what stands still may hold.
    teller = threading.Thread(target=_tell_where, args=(watched,), daemon=True)
    teller.start()
    teller.join(TELL_S)
    os._exit(0)


def _tell_where(watched: int) -> None:
    frame = sys._current_frames().get(watched)
    frames = traceback.extract_stack(frame)[-MOST_FRAMES:]
    where = [f"{one.filename}:{one.lineno} in {one.name}" for one in frames]
    log.error("closing stands still", where=where)
