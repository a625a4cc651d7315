"""Decoding of the platform's tenants, which are the product's teams."""

from typing import Any

from caperridge.decisions.quota import DEFAULT_WINDOW_S, QuotaLimit
from caperridge.gateway.teams import Team, TeamDirectory
from caperridge.keys import token_digest
from caperridge.log import logger

log = logger(__name__)


def decode_teams(
    entries: list[dict[str, Any]], quota_window_s: float = DEFAULT_WINDOW_S
) -> TeamDirectory:
    """Return the teams of a configuration.

    An invalid one is skipped and logged: its callers are refused, others are served.

    Raises:
        TypeError: ``entries`` is no list.
    """
    if not isinstance(entries, list):
        raise TypeError("the list of teams is no list")
    decoded: list[tuple[Team, list[str]]] = []
    for number, fields in enumerate(entries):
        try:
            decoded.append(_team(fields, quota_window_s))
        except (ValueError, LookupError, TypeError, AttributeError) as error:
            # No text of these errors holds a key.
            name = fields.get("name", "") if isinstance(fields, dict) else ""
            log.error("team skipped", team=name, number=number, reason=repr(error))
    return TeamDirectory(decoded)


def _team(fields: dict[str, Any], window_s: float) -> tuple[Team, list[str]]:
    name, keys = fields["name"], fields.get("apiKeys", [])
    if not isinstance(name, str) or not name:
        raise ValueError("its name is no text or empty")
    if not isinstance(keys, list) or not all(map(_is_key, keys)):
        raise ValueError("its keys are no list, or one is no text or empty")
    rank = fields.get("priority")
    team = Team(name, None if rank is None else int(rank), _limit(fields, window_s))
    return team, [token_digest(key) for key in keys]


def _is_key(key: Any) -> bool:
    return isinstance(key, str) and bool(key.strip())


def _limit(fields: dict[str, Any], window_s: float) -> QuotaLimit | None:
    rate = float(fields.get("ratePerS") or 0)
    burst = float(fields.get("burst") or 0)
    if not (0 <= rate < float("inf") and 0 <= burst < float("inf")):
        raise ValueError("its rate or burst is negative or infinite")
    return QuotaLimit(rate, burst, window_s) if rate else None
