"""Where in a TOML text its tables and keys stand, for findings."""

import re
from collections.abc import Sequence

_NAME = r"(?:\"[^\"]*\"|'[^']*'|[A-Za-z0-9_-]+)"
_DOTTED = rf"{_NAME}(?:\s*\.\s*{_NAME})*"
_PART = re.compile(r"\"([^\"]*)\"|'([^']*)'|([A-Za-z0-9_-]+)")
_HEADER = re.compile(rf"\s*\[{{1,2}}\s*({_DOTTED})\s*\]")
_KEY = re.compile(rf"\s*({_DOTTED})\s*=")


class Places:
    r"""The lines of one text.

    The text is only scanned, not parsed: inside a string of several lines it may see
    keys that are none.

    >>> Places("all.toml", "[services.chat]\nkind = 'engine'\n").of(
    ...     ["services", "chat", "kind"]
    ... )
    'all.toml:2'
    """

    def __init__(self, file: str, text: str) -> None:
        self._file = file
        self._lines_by_path: dict[tuple[str, ...], int] = {}
        table: tuple[str, ...] = ()
        for number, line in enumerate(text.splitlines(), 1):
            header = _HEADER.match(line)
            if header is not None:
                table = _parts(header.group(1))
                self._add(table, number)
                continue
            key = _KEY.match(line)
            if key is not None:
                self._add(table + _parts(key.group(1)), number)

    def _add(self, path: tuple[str, ...], number: int) -> None:
        for depth in range(1, len(path) + 1):
            self._lines_by_path.setdefault(path[:depth], number)
        # Of several mentions the one that names the whole path counts.
        self._lines_by_path[path] = number

    def of(self, path: Sequence[str]) -> str:
        """Return ``file:line`` of ``path``, or of the nearest thing around it."""
        for depth in range(len(path), 0, -1):
            line = self._lines_by_path.get(tuple(path[:depth]))
            if line is not None:
                return f"{self._file}:{line}"
        return self._file


def _parts(dotted: str) -> tuple[str, ...]:
    return tuple("".join(groups) for groups in _PART.findall(dotted))
