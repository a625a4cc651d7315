"""Tests of returned chunks when the lease expires before the return is written."""

from caperridge import keys
from caperridge.decisions.chunks import Chunk
from caperridge.decisions.jobs import CLAIMED, FREE, ChunkState
from caperridge.instance.batch_messages import ChunkSettled, ReturnWanted
from caperridge.instance.committer import ChunkCommitter
from caperridge.instance.session import SessionKeeper
from caperridge.records import Record
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import PutRow

LEASE_S = 10.0
CHUNK = Chunk("job", 0, 10)
KEY = keys.chunk(CHUNK.job, CHUNK.start)


class World:
    """An instance that holds one chunk and was asked to return it."""

    def __init__(self) -> None:
        self.now = 0.0
        self.told: list[Record] = []
        self.memory = MemoryPlatform(self.clock)
        self.session = SessionKeeper(self.memory, "entry-1", LEASE_S, self.clock)
        self.committer = ChunkCommitter(
            self.memory, self.session, "entry-1", self.clock, self.tell
        )

    def clock(self) -> float:
        return self.now

    def tell(self, message: Record) -> bool:
        self.told.append(message)
        return True

    async def hold(self) -> None:
        await self.session.idle()
        claimed = ChunkState(CHUNK.end, CLAIMED, self.session.session_id)
        await self.memory.transact([], [PutRow(KEY, claimed.to_map())], "claim")
        wanted = ReturnWanted(CHUNK, claimed, self.session.session_id)
        await self.committer.handle(wanted)

    @property
    def state(self) -> str:
        return self.memory.rows_by_key[KEY].value["state"]


async def test_a_chunk_stays_in_hand_until_it_is_given_back() -> None:
    world = World()
    await world.hold()
    world.now += LEASE_S
    await world.committer.idle()
    assert world.session.left_s() <= 0
    assert (world.state, world.told) == (CLAIMED, [])
    await world.session.idle()
    await world.committer.idle()
    assert world.state == FREE
    [settled] = world.told
    assert isinstance(settled, ChunkSettled)


async def test_what_a_session_that_is_over_held_need_not_be_given_back() -> None:
    world = World()
    await world.hold()
    await world.session.close()
    await world.committer.idle()
    assert len(world.told) == 1
