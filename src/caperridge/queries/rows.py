"""Reads of rows of the table: one as a record, or all with a prefix."""

from typing import TypeVar

from result import Err, Ok, Result

from caperridge.records import Record
from caperridge.store.interface import Platform, ReadError, Row

PAGE_ROWS = 1000

Kind = TypeVar("Kind", bound=Record)


async def read_record(
    platform: Platform, key: str, kind: type[Kind]
) -> Result[Kind | None, ReadError]:
    """Return the row at ``key`` as a record of ``kind``, or None if there is none."""
    found = await platform.read([key])
    if isinstance(found, Err):
        return found
    row = found.ok_value.get(key)
    return Ok(kind.from_map(row.value) if row else None)


async def scan_all(platform: Platform, prefix: str) -> Result[list[Row], ReadError]:
    """Return every row with ``prefix``, page by page."""
    rows: list[Row] = []
    after = ""
    while True:
        page = await platform.scan(prefix, after, PAGE_ROWS)
        if isinstance(page, Err):
            return page
        rows.extend(page.ok_value)
        if len(page.ok_value) < PAGE_ROWS:
            return Ok(rows)
        after = page.ok_value[-1].key
