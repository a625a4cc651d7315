"""Upload of a JSONL file of items: validated by line and stored in parts on arrival.

The state of the file's row is uploading, then stored, and at the end deleting. The row
is written before the first part and deleted after the last, so no part is ever without
a row. If a sweep abandons an upload, the transaction that completes it conflicts.
"""

import secrets
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import orjson
import xxhash
from result import Err, Ok, Result

from caperridge import keys
from caperridge.findings import Finding
from caperridge.records import Record
from caperridge.store.interface import (
    Committed,
    FieldEquals,
    NotDone,
    Platform,
    PutRow,
    RowAbsent,
    WriteError,
)
from caperridge.store.settle import put_settled, transact_settled

MAX_ITEMS = 110_000
MAX_LINE_BYTES = 1_000_000
PART_BYTES = 1_000_000
MAX_FINDINGS = 1000
MAX_CUSTOM_ID_CHARS = 512
MAX_UPLOAD_S = 12 * 3600.0
UPLOADING = "uploading"
STORED = "stored"
DELETING = "deleting"


class StoredFile(Record):
    """A file as stored.

    Attributes:
        id: the id that the caller uses.
        caller: name of the caller that owns it.
        items: number of lines with an item.
        bytes: its size.
        digest: digest of its content.
        parts: first item of each part; part ``n`` is the object of that number.
        created: when its upload started, in seconds since the epoch.
        used: when the newest job that refers to it was accepted, in seconds since the
            epoch; 0 for none. It changes the row, so that a concurrent sweep conflicts.
        state: ``uploading``, ``stored`` or ``deleting``.
    """

    __slots__ = (
        "bytes",
        "caller",
        "created",
        "digest",
        "id",
        "items",
        "parts",
        "state",
        "used",
    )

    def __init__(
        self,
        id: str,
        caller: str,
        items: int,
        bytes: int,
        digest: str,
        parts: list[int],
        created: float = 0.0,
        used: float = 0.0,
        state: str = STORED,
    ) -> None:
        self.id = id
        self.caller = caller
        self.items = items
        self.bytes = bytes
        self.digest = digest
        self.parts = parts
        self.created = created
        self.used = used
        self.state = state


class BadFile(Record):
    """The file was rejected; ``findings`` has an entry for each invalid line."""

    __slots__ = ("findings",)

    def __init__(self, findings: list[Finding]) -> None:
        self.findings = findings


async def accept_file(
    platform: Platform,
    caller: str,
    blocks: AsyncIterator[bytes],
    name: str = "file",
    wall: Callable[[], float] = time.time,
) -> Result[StoredFile, WriteError | BadFile]:
    """Store a JSONL file; return only once its row is durable.

    Args:
        platform: where it is stored.
        caller: name of the caller that owns it.
        blocks: the content as it arrives.
        name: the caller's name of the file, for findings.
        wall: clock in seconds since the epoch, for its retention.
    """
    file_id = "file-" + secrets.token_hex(12)
    uploading = StoredFile(file_id, caller, 0, 0, "", [], wall(), state=UPLOADING)
    writer = _PartWriter(platform, uploading, wall)
    reader = _LineReader(name)
    async for block in blocks:
        for line in reader.feed(block):
            stored = await writer.add(line)
            if isinstance(stored, Err):
                return stored
    for line in reader.finish():
        stored = await writer.add(line)
        if isinstance(stored, Err):
            return stored
    if not reader.findings and not writer.items:
        reader.findings.append(Finding(name, "-", "holds no item"))
    if reader.findings:
        return Err(BadFile(reader.findings))
    stored = await writer.flush()
    if isinstance(stored, Err):
        return stored
    file = uploading.replace(
        items=writer.items,
        bytes=writer.bytes,
        digest=writer.digest(),
        parts=writer.parts,
        state=STORED,
    )
    outcome = await transact_settled(
        platform,
        [FieldEquals(keys.file(file_id), "state", UPLOADING)],
        [PutRow(keys.file(file_id), file.to_map())],
        token=secrets.token_hex(8),
    )
    return outcome.map(lambda _: file)


class _LineReader:
    """Splits blocks into validated lines; buffers at most one incomplete line."""

    def __init__(self, name: str) -> None:
        self.findings: list[Finding] = []
        self._name = name
        self._incomplete = b""
        self._line_number = 0
        self._lines_by_custom_id: dict[str, int] = {}

    def feed(self, block: bytes) -> list[bytes]:
        lines = (self._incomplete + block).split(b"\n")
        self._incomplete = lines.pop()
        if len(self._incomplete) > MAX_LINE_BYTES:
            self._add_finding(self._line_number + 1, "the line is too long")
            self._incomplete = b""
        return [line for line in lines if self._is_item(line)]

    def finish(self) -> list[bytes]:
        last, self._incomplete = self._incomplete, b""
        return [last] if self._is_item(last) else []

    def _is_item(self, line: bytes) -> bool:
        self._line_number += 1
        if not line.strip():
            return False
        if len(self._lines_by_custom_id) >= MAX_ITEMS:
            self._add_finding(self._line_number, f"more than {MAX_ITEMS} items")
            return False
        try:
            item = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            self._add_finding(self._line_number, f"is not JSON: {error}")
            return False
        return self._check(item)

    def _check(self, item: Any) -> bool:
        if not isinstance(item, dict):
            self._add_finding(self._line_number, "must be an object")
            return False
        custom_id = item.get("custom_id")
        if not isinstance(custom_id, str) or not custom_id:
            self._add_finding(self._line_number, "custom_id must be a text")
            return False
        if len(custom_id) > MAX_CUSTOM_ID_CHARS:
            text = f"custom_id is longer than {MAX_CUSTOM_ID_CHARS} characters"
            self._add_finding(self._line_number, text)
            return False
        first = self._lines_by_custom_id.setdefault(custom_id, self._line_number)
        if first != self._line_number:
            self._add_finding(
                self._line_number, f"custom_id stands already in line {first}"
            )
            return False
        if not isinstance(item.get("body"), dict):
            self._add_finding(self._line_number, "body must be an object")
            return False
        if not isinstance(item.get("url"), str):
            self._add_finding(self._line_number, "url must be a text")
            return False
        return True

    def _add_finding(self, number: int, text: str) -> None:
        if len(self.findings) < MAX_FINDINGS:
            self.findings.append(Finding(self._name, f"line {number}", text))


class _PartWriter:
    """Stores lines in parts of about :data:`PART_BYTES`, after the file's row."""

    def __init__(
        self, platform: Platform, uploading: StoredFile, wall: Callable[[], float]
    ) -> None:
        self.items = 0
        self.bytes = 0
        self.parts: list[int] = []
        self._platform = platform
        self._uploading = uploading
        self._wall = wall
        self._hash = xxhash.xxh3_128()
        self._lines: list[bytes] = []
        self._size = 0

    async def add(self, line: bytes) -> Result[None, WriteError]:
        self.items += 1
        self._lines.append(line)
        self._size += len(line) + 1
        if self._size < PART_BYTES:
            return Ok(None)
        return await self.flush()

    async def flush(self) -> Result[None, WriteError]:
        if not self._lines:
            return Ok(None)
        if self._wall() - self._uploading.created > MAX_UPLOAD_S:
            # Long before the sweep abandons the upload, so that no part follows it.
            return Err(NotDone("the upload took too long"))
        if not self.parts:
            opened = await self._open()
            if isinstance(opened, Err):
                return opened
        data = b"\n".join(self._lines) + b"\n"
        name = keys.file_part(self._uploading.id, len(self.parts))
        stored = await put_settled(self._platform, name, data)
        if isinstance(stored, Err):
            return stored
        self.parts.append(self.items - len(self._lines))
        self._hash.update(data)
        self.bytes += len(data)
        self._lines, self._size = [], 0
        return Ok(None)

    async def _open(self) -> Result[Committed, WriteError]:
        key = keys.file(self._uploading.id)
        return await transact_settled(
            self._platform,
            [RowAbsent(key)],
            [PutRow(key, self._uploading.to_map())],
            token=secrets.token_hex(8),
        )

    def digest(self) -> str:
        return self._hash.hexdigest()
