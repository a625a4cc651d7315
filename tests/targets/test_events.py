"""Each event of a stream is validated; invalid ones are not forwarded."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from caperridge.targets.events import DONE_EVENT, EventChecker, WrongEventError


def event(offset: object, request: str = "r", attempt: str = "a") -> bytes:
    text = f'data: {{"id":"{request}","attempt":"{attempt}","offset":{offset},"x":1}}'
    return text.encode() + b"\n\n"


WRONG_BY_NAME = {
    "another request": event(0, request="s"),
    "another attempt": event(0, attempt="b"),
    "an offset left out": event(1),
    "an offset with the due one as its start": event("01"),
    "a fraction": event("0.5"),
    "a truth value": event("false"),
    "text for an offset": event('"0"'),
    "no offset": b'data: {"id":"r","attempt":"a"}\n\n',
    "not JSON": b"data: {\n\n",
    "not an object": b"data: [1]\n\n",
    "no attempt": b'data: {"id":"r","offset":0}\n\n',
    "a second event of the same offset": event(0) + event(0),
    "ids in another order, of another request": (
        b'data: {"offset":0,"attempt":"a","id":"s"}\n\n'
    ),
}


@pytest.mark.parametrize("data", WRONG_BY_NAME.values(), ids=WRONG_BY_NAME)
def test_a_wrong_event_is_refused(data: bytes) -> None:
    checker = EventChecker("r", "a", 0)
    forwarded = checker.feed(data)
    assert isinstance(checker.wrong_event, WrongEventError)
    assert forwarded in ([], [event(0)])
    assert not checker.received_done


def test_an_event_after_the_closing_mark_is_not_passed_on() -> None:
    checker = EventChecker("r", "a", 0)
    assert checker.feed(event(0) + DONE_EVENT + event(1)) == [event(0)]
    assert checker.feed(event(2)) == []
    assert (checker.received_done, checker.wrong_event) == (True, None)


def test_fields_in_another_order_are_parsed() -> None:
    data = b'data: {"offset":7,"attempt":"a","id":"r"}\n\n'
    assert EventChecker("r", "a", 7).feed(data) == [data]


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.integers(0, 30), st.integers(0, 120), st.lists(st.integers(1, 90)))
def test_any_cut_of_the_stream_gives_the_same_events(
    count: int, start: int, cuts: list[int]
) -> None:
    events = [event(start + index) for index in range(count)]
    stream = b"".join(events) + DONE_EVENT
    checker = EventChecker("r", "a", start)
    checked: list[bytes] = []
    position = 0
    for size in [*cuts, len(stream)]:
        checked += checker.feed(stream[position : position + size])
        position += size
    assert checked == events
    assert checker.received_done
    assert checker.next_offset == start + count
