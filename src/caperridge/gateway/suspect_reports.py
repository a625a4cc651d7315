"""Suspects as fields of log lines and as entries of messages between instances."""

from typing import Any

from caperridge.decisions.suspects import Crash, Hold, Suspect
from caperridge.elapsed import elapsed_s

# Crashes under one request in a line of the log.
MAX_LOGGED_CRASHES = 4


def log_fields(suspect: Suspect) -> dict[str, Any]:
    """Return the log fields that describe a suspect."""
    now = elapsed_s()
    hold = suspect.hold
    return {
        "content": suspect.content,
        "ends": [
            {
                "target": crash.target,
                "caller": crash.caller,
                "age_s": round(now - crash.at, 3),
                "reported_by": crash.reported_by,
            }
            for crash in suspect.crashes[-MAX_LOGGED_CRASHES:]
        ],
        "ends_known": len(suspect.crashes),
        "callers": sorted(hold.callers) if hold is not None else None,
        "held_s": round(now - hold.since, 3) if hold is not None else None,
        "trials": hold.trials if hold is not None else 0,
        "trial_in_s": round(hold.next_due(now) - now, 3) if hold is not None else None,
    }


def encode(suspect: Suspect, now: float) -> list[Any]:
    """Return the entry of a suspect in a :class:`Suspects` message."""
    hold = suspect.hold
    ends = [
        [e.target, e.caller, e.age_s, e.events, round(now - e.at, 3), e.reported_by]
        for e in suspect.crashes
    ]
    if hold is None:
        return [suspect.content, ends, []]
    callers = sorted(hold.callers)
    return [
        suspect.content,
        ends,
        [callers, now - hold.since, hold.trials, hold.trial_at - now],
    ]


def decode(entry: list[Any], now: float) -> tuple[str, list[Crash], Hold | None]:
    """Return the key, the crashes and the hold in an entry."""
    content, ends, hold = entry
    crashes = [
        Crash(target, caller, age_s, events, now - ago_s, reported_by)
        for target, caller, age_s, events, ago_s, reported_by in ends
    ]
    if not hold:
        return content, crashes, None
    callers, since_s, trials, trial_in_s = hold
    since, trial_at = now - since_s, now + trial_in_s
    return content, crashes, Hold(frozenset(callers), since, trials, trial_at)
