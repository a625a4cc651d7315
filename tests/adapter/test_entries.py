"""Invalid and incomplete entries in the table of targets define no target.

Guards against requests sent to targets that don't exist. Other programs can write to
that table. An entry with a missing field, or a field of another type, was treated as a
target that accepts work: every request sent there was lost, or no connection to the
address was possible.
"""

import json
import re
from typing import Any

import orjson
import pytest
import yarl
from hypothesis import given
from hypothesis import strategies as st

from caperridge.gateway.dialect import DecodeError
from caperridge.gateway.jobs.codec import UnreadableError, from_bytes
from caperridge.gateway.jobs.model import ItemProgress, ItemResult, JobEntry, JobHead
from caperridge.gateway.targets import Target, name_of
from caperridge.platform.dialect import MAX_SLOTS, PlatformDialect
from caperridge.records import pack

ENTRY: dict[str, Any] = {
    "service": "a",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 4,
}
BORN = 1_790_000_000_000
DIALECT = PlatformDialect()

WRONG_FIELDS = [
    *(("address", one) for one in (5, None, "nonsense", "10.0.0.1", "10.0.0.1:0")),
    *(("address", one) for one in ("10.0.0.1:70000", "a.example:80", ":80", [], "")),
    *(("address", f"127.0.0.1:{one}") for one in ("0655350", "080", "-1", "1e3")),
    *(("address", f"127.0.0.1:{one}") for one in ("65536", "9" * 5000, " 80", "٨٠")),
    *(("address", one) for one in ("0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80")),
    *((name, "x" * 201) for name in ("service", "zone", "version")),
    *((name, "a\r\nb") for name in ("service", "zone", "version")),
    *(("zone", one) for one in ({}, 5, None, "")),
    *(("service", one) for one in (["x"], 5, None, "")),
    *(("slots", one) for one in ("8", True, -3, 0, 2.5, 8.0, 1e18, 10**18, None)),
    *(("state", one) for one in ("unknown", "READY", 1, None, ["ready"], "")),
    *(("seq", one) for one in ("4", True, -1, None, 2.5)),
    *(("version", one) for one in (1, None)),
    *(("coldLeftMs", one) for one in ("0", None, True)),
    *(("born", one) for one in ("1790000000000", True, 2.5, None, -1, 0, [])),
]


@pytest.mark.parametrize(("name", "value"), WRONG_FIELDS)
def test_an_entry_with_a_wrong_field_names_no_target(name: str, value: Any) -> None:
    with pytest.raises(DecodeError, match=f"servers/i-1: {name}: "):
        DIALECT.target("i-1", orjson.dumps(ENTRY | {name: value}))


# Guards against an entry that is taken for one of another target or incarnation, and
# against a key that can't be sent in a header.
@pytest.mark.parametrize("key", ["", "i 1", "i-1@1790000000000", "i-1\r\nx: y", "ï-1"])
def test_an_entry_with_a_wrong_key_names_no_target(key: str) -> None:
    with pytest.raises(DecodeError, match="its key must be"):
        DIALECT.target(key, orjson.dumps(ENTRY))


@pytest.mark.parametrize("name", list(ENTRY))
def test_an_entry_without_a_field_names_no_target(name: str) -> None:
    fields = {key: value for key, value in ENTRY.items() if key != name}
    with pytest.raises(DecodeError, match=f"{name}: .* is missing"):
        DIALECT.target("i-1", orjson.dumps(fields))


@pytest.mark.parametrize(
    "value", [b"", b"\xff\xfe", b"[]", b"7", b'"x"', b"null", b"{"]
)
def test_an_entry_that_is_no_map_names_no_target(value: bytes) -> None:
    with pytest.raises(DecodeError):
        DIALECT.target("i-1", value)


def test_all_that_is_wrong_is_said_at_once() -> None:
    wrong = ENTRY | {"slots": 0, "state": "gone", "address": 5}
    with pytest.raises(DecodeError) as raised:
        DIALECT.target("i-1", orjson.dumps(wrong))
    for name in ("slots", "state", "address"):
        assert f"servers/i-1: {name}: " in str(raised.value)


def test_each_life_of_a_target_is_told_apart() -> None:
    first = DIALECT.target("i-1", orjson.dumps(ENTRY | {"born": BORN}))
    second = DIALECT.target("i-1", orjson.dumps(ENTRY | {"born": BORN + 1}))
    older = DIALECT.target("i-1", orjson.dumps(ENTRY))
    assert len({first.id, second.id, older.id}) == 3
    assert {first.name, second.name, older.name, older.id} == {"i-1"}


ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


def is_typed(target: Target) -> bool:
    """Return whether every field has its declared type and a valid value."""
    host, _, port = target.address.rpartition(":")
    return (
        type(target.slots) is int
        and 1 <= target.slots <= MAX_SLOTS
        and type(target.draining) is bool
        and all(isinstance(one, str) and one for one in (target.id, target.service))
        and isinstance(target.availability_zone, str)
        and len(host.split(".")) == 4
        and 0 < int(port) < 65536
    )


@given(name=st.sampled_from([*ENTRY, "born"]), value=ANYTHING)
def test_an_entry_is_decoded_typed_or_left_out(name: str, value: Any) -> None:
    try:
        target = DIALECT.target("i-1", orjson.dumps(ENTRY | {name: value}))
    except (DecodeError, TypeError) as error:
        assert isinstance(error, DecodeError) or "Integer" in str(error)
        return
    assert is_typed(target)


@given(value=st.binary(max_size=200))
def test_bytes_are_decoded_typed_or_left_out(value: bytes) -> None:
    for decode in (
        lambda: DIALECT.target("i-1", value),
        lambda: DIALECT.configuration(value),
        lambda: DIALECT.load(value),
        lambda: DIALECT.job(value),
    ):
        with pytest.raises(DecodeError):
            decode()


LOAD = {"activeRequests": 3, "queueDepth": 1}


@pytest.mark.parametrize(
    "change",
    [
        {"activeRequests": "3"},
        {"activeRequests": -1},
        {"activeRequests": True},
        {"queueDepth": 1.5},
        {"queueDepth": None},
        {"born": "x"},
    ],
)
def test_a_load_of_another_form_is_not_read(change: dict[str, Any]) -> None:
    with pytest.raises(DecodeError):
        DIALECT.load(orjson.dumps(LOAD | change))


def test_a_load_says_whose_life_it_is_of() -> None:
    target = DIALECT.target("i-1", orjson.dumps(ENTRY | {"born": BORN}))
    load = DIALECT.load(orjson.dumps(LOAD | {"born": BORN}))
    assert load.total == 4
    assert load.may_be_from(target)
    assert not DIALECT.load(orjson.dumps(LOAD | {"born": BORN + 1})).may_be_from(target)
    assert DIALECT.load(orjson.dumps(LOAD)).may_be_from(target)


ROWS = [
    (JobEntry, JobEntry("j", "r", "h", 3, 1.5, 20, "o")),
    (JobHead, JobHead("e-1.aa", 3)),
    (ItemProgress, ItemProgress(2, b"a\nb", 1)),
    (ItemResult, ItemResult("x", "completed", b"text")),
]


@pytest.mark.parametrize(("kind", "record"), ROWS)
def test_rows_of_another_release_are_left_out(kind: type[Any], record: Any) -> None:
    fields = record.to_map()
    assert from_bytes(kind, pack(fields)) == record
    assert from_bytes(kind, pack(fields | {"later": 1})) == record
    for name in fields:
        with pytest.raises(UnreadableError):
            from_bytes(kind, pack(fields | {name: {"of": "another form"}}))
        with pytest.raises(UnreadableError):
            from_bytes(kind, pack(fields | {name: None}))


CONFIGURATION = {
    "version": 1,
    "routes": [],
    "services": [],
    "limits": {
        "maxHeaderBytes": 1,
        "maxBodyBytes": 1,
        "headerTimeoutMs": 1,
        "idleTimeoutMs": 1,
    },
}


@pytest.mark.parametrize(
    "change",
    [
        {"routes": [{"host": 5}]},
        {"routes": 5},
        {"routes": [5]},
        {"services": [None]},
        {"version": "x"},
        {"limits": []},
    ],
)
def test_a_configuration_of_another_form_is_skipped(change: dict[str, Any]) -> None:
    with pytest.raises(DecodeError):
        DIALECT.configuration(orjson.dumps(CONFIGURATION | change))


# What another writer may put into a field, near to what belongs there.
_ODD_DIGITS = st.text("0123456789-+eE. ٣", min_size=1, max_size=8)
_ODD_ADDRESSES = st.builds("{}:{}".format, st.ip_addresses(), _ODD_DIGITS)
_ODD_NUMBERS = st.integers(-(2**70), 2**70) | st.floats()
_ODD_VALUES = st.recursive(
    st.none() | st.booleans() | _ODD_NUMBERS | st.text() | _ODD_ADDRESSES,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


# Guards against an entry that is taken although what it says cannot be used.
@given(
    key=st.just("i-1") | st.text(),
    odd=st.dictionaries(st.sampled_from([*ENTRY, "born"]), _ODD_VALUES, max_size=3),
    depth=st.sampled_from([0, 0, 0, 1, 2000]),
    end=st.sampled_from([b"", b"", b"", b"x", b"\xff"]),
)
def test_what_an_entry_says_can_be_used_or_it_names_no_target(
    key: str, odd: dict[str, Any], depth: int, end: bytes
) -> None:
    value = json.dumps(ENTRY | odd).encode("utf-8", "surrogatepass") + end
    if depth:
        value = value[:-1] + b', "x": ' + b"[" * depth + b"]" * depth + b"}"
    try:
        target = DIALECT.target(key, value)
    except DecodeError as error:
        assert str(error)
        return
    url = yarl.URL(f"http://{target.address}/x", encoded=True)
    assert 0 < url.port <= 65535
    assert target.name == key
    assert name_of(target.id) == key
    assert re.fullmatch("[!-~]+", target.name)  # the value of a header
    pack(target.to_map())
    assert len(target.software_version.encode()) <= 200
