"""What the machine of a process has: its memory and its descriptors."""

import os
import resource
from collections.abc import Mapping
from typing import Any

import voluptuous as vol

from caperridge.records import Record

MEGABYTE = 10**6

MACHINE_SCHEMA = {
    "memory_mb": vol.All(vol.Any(int, float), vol.Range(min=32)),
    "descriptors": vol.All(int, vol.Range(min=64)),
}


class Machine(Record):
    """The limits of one process on its machine.

    Attributes:
        memory_bytes: memory that the process may use.
        descriptors: descriptors that it may have open.
    """

    __slots__ = ("descriptors", "memory_bytes")

    def __init__(self, memory_bytes: int, descriptors: int) -> None:
        self.memory_bytes = memory_bytes
        self.descriptors = descriptors


def machine_from(table: Mapping[str, Any]) -> Machine:
    """Return the machine that settings describe.

    Args:
        table: checked settings; what they leave out is asked of the system.
    """
    memory_mb = table.get("memory_mb")
    return Machine(
        int(memory_mb * MEGABYTE) if memory_mb else _memory_bytes(),
        int(table.get("descriptors") or _descriptors()),
    )


def _memory_bytes() -> int:
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def _descriptors() -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return 2**20
    return soft
