"""Decoding of the platform's tenants, which are the product's teams."""

from typing import Any

from caperridge.decisions.quota import QuotaLimit
from caperridge.gateway.teams import Team, TeamDirectory
from caperridge.keys import token_digest
from caperridge.log import logger

log = logger(__name__)


def decode_teams(entries: list[dict[str, Any]]) -> TeamDirectory:
    """Return the teams of a configuration.

    An invalid one is skipped and logged: its callers are refused, others are served.
    Fields of later releases are ignored.

    Raises:
        TypeError: ``entries`` is no list.
    """
    if not isinstance(entries, list):
        raise TypeError("the list of teams is no list")
    decoded: list[tuple[Team, list[str]]] = []
    for number, fields in enumerate(entries):
        try:
            decoded.append(_team(fields))
        except (ValueError, LookupError, TypeError, AttributeError) as error:
            # The fields hold keys, so only the place and the kind of error are logged.
            log.error(
                "team skipped",
                team=_name_of(fields),
                number=number,
                reason=_reason(error),
            )
    return TeamDirectory(decoded)


class _InvalidTeamError(ValueError):
    """A team is invalid; the text holds no key."""


def _team(fields: dict[str, Any]) -> tuple[Team, list[str]]:
    name = fields["name"]
    if not isinstance(name, str) or not name:
        raise _InvalidTeamError("its name is no text or empty")
    keys = fields.get("apiKeys", [])
    if not all(isinstance(key, str) and key.strip() for key in keys):
        raise _InvalidTeamError("a key is no text or empty")
    rank = fields.get("priority")
    team = Team(name, None if rank is None else int(rank), _limit(fields))
    return team, [token_digest(key) for key in keys]


def _limit(fields: dict[str, Any]) -> QuotaLimit | None:
    rate = float(fields.get("ratePerS") or 0)
    burst = float(fields.get("burst") or 0)
    if not (0 <= rate < float("inf") and 0 <= burst < float("inf")):
        raise _InvalidTeamError("its rate or burst is negative or infinite")
    return QuotaLimit(rate, burst) if rate else None


def _name_of(fields: Any) -> str:
    name = fields.get("name") if isinstance(fields, dict) else None
    return name if isinstance(name, str) else ""


def _reason(error: Exception) -> str:
    is_known = isinstance(error, _InvalidTeamError)
    return (
        str(error)
        if is_known
        else f"a field is missing or wrong: {type(error).__name__}"
    )
