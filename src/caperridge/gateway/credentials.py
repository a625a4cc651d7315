"""Removal of credentials and forged team names from what is sent to targets."""

from collections.abc import Iterable

from multidict import CIMultiDict

from caperridge.bearer import AUTHORIZATION
from caperridge.gateway.dialect import end_to_end_headers

_NO_HEADERS: frozenset[str] = frozenset()


class CredentialFilter:
    """Removes the headers that only this system may set or read.

    Servers that map header names to variables do not tell ``-`` from ``_``, so both
    spellings are removed.

    Args:
        team_header: name of the header that tells targets the team.
    """

    __slots__ = ("_removed", "_team_header")

    def __init__(self, team_header: str) -> None:
        self._team_header = team_header
        self._removed = {_normalized(team_header), _normalized(AUTHORIZATION)}

    def headers_for(
        self, headers: CIMultiDict[str], team: str | None
    ) -> CIMultiDict[str]:
        """Return the end-to-end ``headers`` with the team's name in place of its key.

        Hop-by-hop headers are removed first: a caller could name the team's header in
        ``Connection``, and it would be dropped later.
        """
        kept: CIMultiDict[str] = CIMultiDict()
        for name, value in end_to_end_headers(headers, _NO_HEADERS).items():
            if not self.is_reserved(name):
                kept.add(name, value)
        if team:
            kept[self._team_header] = team
        return kept

    def strip(self, headers: Iterable[list[str]]) -> list[list[str]]:
        """Return the header pairs of an item without reserved headers."""
        return [pair for pair in headers if not self.is_reserved(pair[0])]

    def is_reserved(self, name: str) -> bool:
        """Whether only this system may set or read the header ``name``.

        >>> CredentialFilter("X-Team").is_reserved("x_TEAM ")
        True
        """
        return _normalized(name) in self._removed


def _normalized(name: str) -> str:
    return name.strip().lower().replace("_", "-")
