"""Tests of the dispatcher's log messages about its lease."""

import time

import logbook

from caperridge.instance.process import Instance
from caperridge.settings import Settings
from caperridge.standins.platform import MemoryPlatform

LEASE_ENDED = "the lease has ended; batch work stops"


async def test_the_end_of_a_lease_is_logged_only_after_there_was_one() -> None:
    platform = MemoryPlatform(time.monotonic)
    instance = Instance(Settings("entry-1", "oviedo", "http://127.0.0.1:1"), platform)

    def warned() -> int:
        return sum(record.message.startswith(LEASE_ENDED) for record in logs.records)

    with logbook.TestHandler() as logs:
        await instance.dispatcher.idle()
        assert warned() == 0
        await instance.session.idle()
        await instance.dispatcher.idle()
        assert instance.session.left_s() > 0
        platform.faults.outage = True
        await instance.session.close()
        for _ in range(2):
            await instance.dispatcher.idle()
        assert warned() == 1
    await instance.stop()
