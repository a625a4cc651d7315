"""Line index of a TOML text: maps tables and keys to line numbers for findings."""

import re
from collections.abc import Sequence

_BARE_OR_QUOTED = r"(?:\"[^\"]*\"|'[^']*'|[A-Za-z0-9_-]+)"
_DOTTED = rf"{_BARE_OR_QUOTED}(?:\s*\.\s*{_BARE_OR_QUOTED})*"
_KEY_PART = re.compile(r"\"([^\"]*)\"|'([^']*)'|([A-Za-z0-9_-]+)")
_HEADER = re.compile(rf"\s*\[{{1,2}}\s*({_DOTTED})\s*\]")
_KEY = re.compile(rf"\s*({_DOTTED})\s*=")


class LineIndex:
    r"""Line numbers of the tables and keys in one TOML text.

    The text is scanned by regular expressions, not parsed: lines of a multi-line
    string that look like keys are indexed too.

    >>> LineIndex("all.toml", "[services.chat]\nkind = 'engine'\n").locate(
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
                table = _split_dotted(header.group(1))
                self._add(table, number)
                continue
            key = _KEY.match(line)
            if key is not None:
                self._add(table + _split_dotted(key.group(1)), number)

    def _add(self, path: tuple[str, ...], number: int) -> None:
        for depth in range(1, len(path) + 1):
            self._lines_by_path.setdefault(path[:depth], number)
        # A line with the full path takes precedence over one that only implies it.
        self._lines_by_path[path] = number

    def locate(self, path: Sequence[str]) -> str:
        """Return ``file:line`` of ``path``, or of its innermost indexed parent."""
        for depth in range(len(path), 0, -1):
            line = self._lines_by_path.get(tuple(path[:depth]))
            if line is not None:
                return f"{self._file}:{line}"
        return self._file


def _split_dotted(dotted: str) -> tuple[str, ...]:
    return tuple("".join(groups) for groups in _KEY_PART.findall(dotted))
