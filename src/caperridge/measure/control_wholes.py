"""What control holds of the whole fleet at the target size, measured by itself."""

import time
import tracemalloc
from typing import Any

from caperridge.config.model import Caller, Configuration
from caperridge.decisions.configuration_order import Delta, apply_delta, make_delta
from caperridge.decisions.membership import Membership
from caperridge.instance.configuration import ConfigurationKeeper
from caperridge.instance.members import POLL_S
from caperridge.keys import token_digest
from caperridge.measure.control_fleet import HTTP_CALL_BYTES
from caperridge.records import pack, unpack
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import ListedMember

TARGET_COUNT = 23
TARGET_ZONES = 17
TARGET_INSTANCES = 390
TARGET_RUNNERS = 1900
TARGET_RUNNERS_ZONE = 112
TARGET_CALLERS = 14_000
CHANGES_PER_S = 2200 / 86_400
CHANGES_TIMED = 20
LOOKUPS = 100_000


def whole_list() -> dict[str, float]:
    """Return what one reading of the whole fleet's list costs."""
    members = [
        ListedMember(
            f"zone-{n % TARGET_ZONES}-{n:04}",
            "instance" if n < TARGET_INSTANCES else "target",
            f"10.{n % 200}.{n % 250}.7:7000",
            f"zone-{n % TARGET_ZONES}",
            "region-1",
            service="" if n < TARGET_INSTANCES else "album-captions",
        )
        for n in range(TARGET_INSTANCES + TARGET_RUNNERS)
    ]
    data = pack(members)
    cpu_s = time.process_time()
    read = [ListedMember.from_map(fields) for fields in unpack(data)]
    cpu_s = time.process_time() - cpu_s
    tracemalloc.start()
    held = [ListedMember.from_map(fields) for fields in unpack(data)]
    state_mb = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    del held
    return {
        "members": len(read),
        "bytes": len(data) + HTTP_CALL_BYTES,
        "cpu_s": cpu_s,
        "state_mb": state_mb,
        "readings_per_s": 1 / (POLL_S * TARGET_COUNT),
    }


def whole_configuration() -> dict[str, float]:
    """Return what the configuration costs an instance, and one change of it."""
    data = pack(_callers())
    keeper = ConfigurationKeeper(MemoryPlatform(time.monotonic), lambda message: None)
    tracemalloc.start()
    keeper.apply(Configuration.from_bytes(data))
    state_mb, peak_mb = (size / 2**20 for size in tracemalloc.get_traced_memory())
    tracemalloc.stop()
    cpu_s = 0.0
    change = b""
    for number in range(CHANGES_TIMED):
        change = pack(_change(keeper.current, number))
        started = time.process_time()
        delta = Delta.from_map(unpack(change))
        keeper.apply(apply_delta(keeper.current, delta))
        cpu_s += time.process_time() - started
    return {
        "callers": TARGET_CALLERS,
        "state_mb": state_mb,
        "peak_mb": peak_mb,
        "cpu_s": cpu_s / CHANGES_TIMED,
        "delta_bytes": len(change),
        "changes_per_s": CHANGES_PER_S,
    }


def _callers() -> Configuration:
    callers: dict[str, Caller] = {}
    for number in range(TARGET_CALLERS):
        name = f"team-{number}"
        callers[name] = Caller(name, token_digest(name), ["chat"], 5.0, 1000.0)
    return Configuration(1, callers_by_name=callers)


def _change(before: Configuration, number: int) -> Delta:
    name = f"team-{number}"
    changed: dict[str, Any] = dict(before.callers_by_name)
    changed[name] = changed[name].replace(share=2.0)
    after = before.replace(version=before.version + 1, callers_by_name=changed)
    return make_delta(before, after)


def owner_lookup_us() -> dict[str, float]:
    """Return how long it takes to find a target's owner, at first and again."""
    zone = "zone-0"
    membership = Membership("entry-000", zone)
    members = [
        ListedMember(f"entry-{n:03}", "instance", f"10.0.0.{n}:7300", zone)
        for n in range(TARGET_COUNT)
    ]
    membership.apply_list(members, 0.0)
    runners = [f"runner-{n:03}" for n in range(TARGET_RUNNERS_ZONE)]
    started = time.process_time()
    for runner in runners:
        membership.owner(runner, zone)
    first_s = time.process_time() - started
    started = time.process_time()
    for number in range(LOOKUPS):
        membership.owner(runners[number % TARGET_RUNNERS_ZONE], zone)
    again_s = time.process_time() - started
    return {
        "first": first_s / TARGET_RUNNERS_ZONE * 1e6,
        "kept": again_s / LOOKUPS * 1e6,
    }
