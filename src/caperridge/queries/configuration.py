"""Reading the configuration: the head of the log and the snapshot it names."""

from result import Err, Ok, Result

from caperridge import keys
from caperridge.config.model import Configuration
from caperridge.platform.interface import NotDone, Platform, ReadError
from caperridge.records import Record, unpack


class Head(Record):
    """The newest version; ``row_version`` is 0 if nothing was ever confirmed."""

    __slots__ = ("configuration", "row_version")

    def __init__(self, configuration: Configuration, row_version: int) -> None:
        self.configuration = configuration
        self.row_version = row_version


async def read_head(
    platform: Platform, known: Configuration | None = None
) -> Result[Head, ReadError]:
    """Return the head; ``known`` is used instead of its snapshot if still newest."""
    found = await platform.read([keys.CONFIGURATION_HEAD])
    if isinstance(found, Err):
        return found
    row = found.ok_value.get(keys.CONFIGURATION_HEAD)
    if row is None:
        return Ok(Head(Configuration(), 0))
    if known is not None and known.version == row.value["version"]:
        return Ok(Head(known, row.version))
    snapshot = await platform.get_object(row.value["snapshot"])
    if isinstance(snapshot, Err):
        return snapshot
    if snapshot.ok_value is None:
        return Err(NotDone("the snapshot of the configuration is missing"))
    configuration = Configuration.from_map(unpack(snapshot.ok_value))
    return Ok(Head(configuration, row.version))
