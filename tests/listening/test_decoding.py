"""The estimate of what a JSON text decodes into is never too low."""

import tracemalloc

import orjson
import pytest

from caperridge.listening.decoding import decoded_bytes

TEXT_BYTES = 2**18


@pytest.mark.parametrize(
    "unit",
    [
        "{}",
        "[]",
        "[[]]",
        '{"":{}}',
        '{"a":1}',
        '{"a":"b","c":"d"}',
        "1",
        "1234567890123456789",
        "1.5",
        "null",
        '""',
        '"ab"',
        '"%s"' % ("x" * 200),
        '"é"',
        '"%s"' % ("x" * 200 + "\N{SLIGHTLY SMILING FACE}"),
        '"%s\\ud83d\\ude42"' % ("x" * 200),
        '"\\"",{}',
        '"\\\\",{}',
        '"\\\\\\"",{}',
    ],
)
def test_values_take_no_more_than_estimated(unit: str) -> None:
    count = TEXT_BYTES // (len(unit.encode()) + 1)
    values_per_unit = len(orjson.loads(f"[{unit}]"))
    text = f"[{','.join([unit] * count)}]".encode()
    tracemalloc.start()
    try:
        values = orjson.loads(text)
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(values) == count * values_per_unit
    assert size <= decoded_bytes(text)


def test_members_of_one_object_take_no_more_than_estimated() -> None:
    names = ",".join(f'"{number:x}":1' for number in range(20_000))
    text = f"{{{names}}}".encode()
    tracemalloc.start()
    try:
        values = orjson.loads(text)
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(values) == 20_000
    assert size <= decoded_bytes(text)


def test_a_long_text_is_estimated_at_about_its_size() -> None:
    """Guards against refusing what callers may send."""
    text = orjson.dumps({"model": "chat", "prompt": "words, and more. " * 10_000})
    assert decoded_bytes(text) < len(text) + 1000
