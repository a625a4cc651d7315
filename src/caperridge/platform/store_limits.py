"""Limits of the platform's store, with sizes in the encoding of its calls."""

import orjson

from caperridge.gateway.rows import RowKey, StoreLimits

MAX_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1_000_000
MAX_NAME_BYTES = 200
MAX_ROWS = 500
DEFAULT_VALUE_BYTES = 65_536
DEFAULT_OBJECT_BYTES = 8 * 2**20
# Upper bound of the field names, the version and the punctuation of an entry.
ENTRY_OVERHEAD_BYTES = 112


class PlatformStoreLimits(StoreLimits):
    """Limits of the platform's store, whose calls are JSON with values in base64.

    Args:
        value_bytes: maximum size of the value of a row, in base64.
        object_bytes: maximum size of an object.
    """

    __slots__ = ()

    def __init__(
        self,
        value_bytes: int = DEFAULT_VALUE_BYTES,
        object_bytes: int = DEFAULT_OBJECT_BYTES,
    ) -> None:
        super().__init__(
            MAX_ENTRIES,
            MAX_TRANSACTION_BYTES,
            value_bytes,
            MAX_NAME_BYTES,
            object_bytes,
            MAX_ROWS,
        )

    def value_size(self, value: bytes) -> int:
        """See :meth:`StoreLimits.value_size`."""
        return (len(value) + 2) // 3 * 4

    def entry_size(self, key: RowKey, value: bytes = b"") -> int:
        """See :meth:`StoreLimits.entry_size`."""
        key_size = len(orjson.dumps([key.table, key.part, key.key]))
        return ENTRY_OVERHEAD_BYTES + key_size + self.value_size(value)
