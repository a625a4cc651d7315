"""Interface of the store: versioned rows with compare-and-set, changes, and objects.

A transaction checks versions of rows and then writes, all or nothing, in one partition.
Every call ends done, not done, or unknown: an unknown one may still take effect
seconds later if its conditions hold then, so each later decision needs a condition that
such an effect would break.
"""

from abc import ABC, abstractmethod

from result import Err, Ok, Result

from caperridge.records import Record
from caperridge.store.interface import NotDone, Unknown

ABSENT = 0


class RowKey(Record):
    """Name of a row; ``part`` is its partition, shared by all rows of a transaction."""

    __slots__ = ("key", "part", "table")

    def __init__(self, table: str, part: str, key: str) -> None:
        self.table = table
        self.part = part
        self.key = key


class StoredRow(Record):
    """One row as read; ``version`` is that of the transaction that wrote it.

    ``removed`` is set in a change that removed the row.
    """

    __slots__ = ("key", "removed", "value", "version")

    def __init__(
        self, key: RowKey, value: bytes, version: int, removed: bool = False
    ) -> None:
        self.key = key
        self.value = value
        self.version = version
        self.removed = removed


class RowsRead(Record):
    """Rows in order of their keys, as of one moment.

    Attributes:
        rows: those found, up to the limit.
        truncated: there are more.
        version: the newest of the store at that moment.
        now_s: the store's steady clock at that moment, in seconds.
    """

    __slots__ = ("now_s", "rows", "truncated", "version")

    def __init__(
        self, rows: list[StoredRow], truncated: bool, version: int, now_s: float
    ) -> None:
        self.rows = rows
        self.truncated = truncated
        self.version = version
        self.now_s = now_s


class Transaction(Record):
    """Conditions and writes of a transaction, all in one partition.

    Attributes:
        versions: version that each row must have, by key; ``ABSENT`` for none.
        writes: new values by key.
        removes: rows to remove.
    """

    __slots__ = ("removes", "versions", "writes")

    def __init__(
        self,
        versions: dict[RowKey, int],
        writes: dict[RowKey, bytes],
        removes: list[RowKey] | None = None,
    ) -> None:
        self.versions = versions
        self.writes = writes
        self.removes = removes or []

    @property
    def entry_count(self) -> int:
        """Number of its conditions, writes and removals."""
        return len(self.versions) + len(self.writes) + len(self.removes)


class Done(Record):
    """The transaction took effect; ``version`` is that of all rows it wrote."""

    __slots__ = ("now_s", "version")

    def __init__(self, version: int, now_s: float) -> None:
        self.version = version
        self.now_s = now_s


class Refused(Record):
    """Not done: a version differed. ``rows`` are the rows of the conditions."""

    __slots__ = ("rows",)

    def __init__(self, rows: list[StoredRow]) -> None:
        self.rows = rows

    def row(self, key: RowKey) -> StoredRow | None:
        """Return the row ``key``; None if it does not exist."""
        for row in self.rows:
            if row.key == key and not row.removed:
                return row
        return None


class Rejected(NotDone):
    """Not done, and never will be: each repeat of the call would be refused as well.

    The call exceeds a limit of the store, or is not allowed.
    """

    __slots__ = ()


class HistoryGone(Record):
    """The store no longer has the changes since that version."""

    __slots__ = ()


class StoreLimits(Record, ABC):
    """Limits of the calls of a store; sizes are those of calls as they are sent.

    Attributes:
        entries: maximum number of conditions, writes and removals of a transaction.
        transaction_bytes: maximum size of a transaction.
        value_bytes: maximum size of the value of a row.
        name_bytes: maximum length of each text in the key of a row.
        object_bytes: maximum size of an object.
        rows: maximum number of rows that one read returns.
    """

    __slots__ = (
        "entries",
        "name_bytes",
        "object_bytes",
        "rows",
        "transaction_bytes",
        "value_bytes",
    )

    def __init__(
        self,
        entries: int,
        transaction_bytes: int,
        value_bytes: int,
        name_bytes: int,
        object_bytes: int,
        rows: int,
    ) -> None:
        self.entries = entries
        self.transaction_bytes = transaction_bytes
        self.value_bytes = value_bytes
        self.name_bytes = name_bytes
        self.object_bytes = object_bytes
        self.rows = rows

    @abstractmethod
    def value_size(self, value: bytes) -> int:
        """Return the size of the value of a row, in bytes as sent."""

    @abstractmethod
    def entry_size(self, key: RowKey, value: bytes = b"") -> int:
        """Return the maximum size of an entry of a transaction, in bytes as sent."""

    def fits_in_row(self, value: bytes) -> bool:
        """Whether a row can have this value."""
        return self.value_size(value) <= self.value_bytes

    def is_valid_key(self, key: RowKey) -> bool:
        """Whether a row can have this key."""
        texts = (key.table, key.part, key.key)
        return all(len(text.encode()) <= self.name_bytes for text in texts)

    def check(self, transaction: Transaction) -> Rejected | None:
        """Return why the store would refuse a transaction; None if it fits."""
        for key in [*transaction.versions, *transaction.writes, *transaction.removes]:
            if not self.is_valid_key(key):
                return Rejected(f"the key {key.table}/{key.part}/{key.key} is too long")
        for key, value in transaction.writes.items():
            if not self.fits_in_row(value):
                return Rejected(
                    f"the value of {key.table}/{key.part}/{key.key} has"
                    f" {self.value_size(value)} bytes of {self.value_bytes}"
                )
        entries = transaction.entry_count
        if entries > self.entries:
            return Rejected(f"the transaction has {entries} entries of {self.entries}")
        size = self.transaction_size(transaction)
        if size > self.transaction_bytes:
            return Rejected(
                f"the transaction has {size} bytes of {self.transaction_bytes}"
            )
        return None

    def check_object(self, data: bytes) -> Rejected | None:
        """Return why the store would refuse an object; None if it fits."""
        if len(data) <= self.object_bytes:
            return None
        return Rejected(f"the object has {len(data)} bytes of {self.object_bytes}")

    def transaction_size(self, transaction: Transaction) -> int:
        """Return the maximum size of a transaction, in bytes as sent."""
        size = sum(
            self.entry_size(key)
            for key in [*transaction.versions, *transaction.removes]
        )
        return size + sum(
            self.entry_size(key, value) for key, value in transaction.writes.items()
        )


class TransactionBuilder:
    """Collects the entries of one transaction within the limits of the store.

    Attributes:
        transaction: as collected so far.

    Args:
        limits: of the store.
    """

    __slots__ = ("_bytes", "_entries", "_limits", "transaction")

    def __init__(self, limits: StoreLimits) -> None:
        self.transaction = Transaction({}, {})
        self._limits = limits
        self._entries = 0
        self._bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether no further entry fits."""
        return self._entries >= self._limits.entries

    def add(self, part: Transaction) -> bool:
        """Add all entries of ``part``; False, and none is added, if they do not fit."""
        if not all(map(self._limits.fits_in_row, part.writes.values())):
            return False
        entries = self._entries + part.entry_count
        size = self._bytes + self._limits.transaction_size(part)
        if entries > self._limits.entries or size > self._limits.transaction_bytes:
            return False
        self._entries = entries
        self._bytes = size
        self.transaction.versions.update(part.versions)
        self.transaction.writes.update(part.writes)
        self.transaction.removes.extend(part.removes)
        return True


StoreError = NotDone | Unknown
TransactionError = Refused | NotDone | Unknown
ChangesError = HistoryGone | NotDone | Unknown


class RowStore(ABC):
    """Durable rows, changes and objects."""

    @property
    @abstractmethod
    def limits(self) -> StoreLimits:
        """The limits of its calls."""

    @abstractmethod
    async def read(
        self,
        table: str,
        part: str = "",
        first: str = "",
        end: str = "",
        limit: int = 500,
    ) -> Result[RowsRead, StoreError]:
        """Return rows from key ``first`` up to ``end``, exclusive."""

    @abstractmethod
    async def transact(
        self, transaction: Transaction
    ) -> Result[Done, TransactionError]:
        """Apply all of ``transaction`` or nothing."""

    @abstractmethod
    async def changes(
        self, table: str, since: int, wait_s: float
    ) -> Result[RowsRead, ChangesError]:
        """Return the rows of all partitions of ``table`` that changed after ``since``.

        Waits for a change for up to ``wait_s``.
        """

    @abstractmethod
    async def put_object(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Store ``data`` under ``name``; storing the same again is no error."""

    @abstractmethod
    async def get_object(self, name: str) -> Result[bytes | None, StoreError]:
        """Return the object; None if it does not exist."""

    @abstractmethod
    async def drop_object(self, name: str) -> Result[None, StoreError]:
        """Remove the object if it exists."""


async def read_all_rows(
    store: RowStore, table: str, part: str = ""
) -> Result[RowsRead, StoreError]:
    """Read all rows of a table's partition, page by page.

    The version and time are those of the first page; rows that were written during the
    read may be included or not.
    """
    rows: list[StoredRow] = []
    first = ""
    first_page: RowsRead | None = None
    while True:
        answer = await store.read(table, part, first=first)
        if isinstance(answer, Err):
            return answer
        page: RowsRead = answer.ok_value
        first_page = first_page or page
        rows += page.rows
        if not page.truncated:
            return Ok(RowsRead(rows, False, first_page.version, first_page.now_s))
        first = page.rows[-1].key.key + "\x00"
