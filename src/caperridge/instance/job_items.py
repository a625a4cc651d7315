"""Reads the items of chunks and what earlier holders saved, with a small cache."""

from collections import OrderedDict

from result import Err, Ok, Result

from caperridge import keys
from caperridge.commands.accept_file import StoredFile
from caperridge.decisions.chunks import Chunk
from caperridge.decisions.jobs import CheckpointedItems, Job
from caperridge.queries.jobs import read_file
from caperridge.records import pack, unpack
from caperridge.store.interface import NotDone, Platform, ReadError

MOST_FILES = 16
MOST_PARTS = 4


class JobItems:
    """Keeps the last few parts of files: chunks of one lane mostly share a part.

    Args:
        platform: where the objects are.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._files_by_id: OrderedDict[str, StoredFile] = OrderedDict()
        self._parts_by_name: OrderedDict[str, list[bytes]] = OrderedDict()

    async def lines(self, job: Job, chunk: Chunk) -> Result[list[bytes], ReadError]:
        """Return the lines of the chunk's items, in order."""
        file = await self._file(job.file)
        if isinstance(file, Err):
            return file
        firsts = [*file.ok_value.parts, file.ok_value.items]
        lines: list[bytes] = []
        for part in range(len(firsts) - 1):
            first, last = firsts[part], firsts[part + 1]
            if last <= chunk.start or first >= chunk.end:
                continue
            found = await self._part(keys.file_part(job.file, part))
            if isinstance(found, Err):
                return found
            start = max(0, chunk.start - first)
            lines.extend(found.ok_value[start : chunk.end - first])
        if len(lines) != chunk.items:
            return Err(NotDone(f"{job.file} has other items than its row says"))
        return Ok(lines)

    async def saved(
        self, session: str, chunk: Chunk
    ) -> Result[CheckpointedItems, ReadError]:
        """Return what ``session`` saved of the items of the chunk."""
        names = await self._platform.list_objects(keys.checkpoints(session))
        if isinstance(names, Err):
            return names
        saved = CheckpointedItems()
        for name in names.ok_value:
            data = await self._platform.get_object(name)
            if isinstance(data, Err):
                return data
            for job, entry in unpack(data.ok_value or pack([])):
                if job == chunk.job and chunk.start <= entry["index"] < chunk.end:
                    saved.add(entry)
        return Ok(saved)

    async def _file(self, file_id: str) -> Result[StoredFile, ReadError]:
        if file_id in self._files_by_id:
            return Ok(self._files_by_id[file_id])
        file = await read_file(self._platform, file_id)
        if isinstance(file, Err):
            return file
        if file.ok_value is None:
            return Err(NotDone(f"{file_id} is missing"))
        self._files_by_id[file_id] = file.ok_value
        if len(self._files_by_id) > MOST_FILES:
            self._files_by_id.popitem(last=False)
        return Ok(file.ok_value)

    async def _part(self, name: str) -> Result[list[bytes], ReadError]:
        if name in self._parts_by_name:
            self._parts_by_name.move_to_end(name)
            return Ok(self._parts_by_name[name])
        data = await self._platform.get_object(name)
        if isinstance(data, Err):
            return data
        if data.ok_value is None:
            return Err(NotDone(f"{name} is missing"))
        self._parts_by_name[name] = data.ok_value.split(b"\n")[:-1]
        if len(self._parts_by_name) > MOST_PARTS:
            self._parts_by_name.popitem(last=False)
        return Ok(self._parts_by_name[name])
