"""Estimates what a JSON text becomes when it is decoded."""

# What the decoder and the values take at most, by the character that announces them.
ITEM_BYTES = 72
CONTAINER_BYTES = 96
MEMBER_BYTES = 192
QUOTE_BYTES = 26
# A character outside ASCII makes each one of its text take as much.
WIDE_CHARACTER_BYTES = 4
# The text is taken apart in slices, as its parts need more memory than itself.
SLICE_BYTES = 64 * 2**10


def decoded_bytes(text: bytes) -> int:
    """Return at most how much memory the values of a JSON text take.

    An object without members takes thirty times the memory of its text.

    Args:
        text: not decoded yet, valid or not.

    >>> decoded_bytes(b'"a:b,c"')
    59
    >>> decoded_bytes(b"[{},{}]")
    367
    """
    size = len(text)
    if not text.isascii() or b"\\u" in text:
        size *= WIDE_CHARACTER_BYTES
    if b"\\" in text:
        text = text.replace(b"\\\\", b"").replace(b'\\"', b"")
    in_string = 0
    for start in range(0, len(text), SLICE_BYTES):
        parts = text[start : start + SLICE_BYTES].split(b'"')
        quotes = len(parts) - 1
        outside = b"".join(parts[in_string::2])
        size += QUOTE_BYTES * quotes + _separated_bytes(outside)
        in_string ^= quotes & 1
    return size


def _separated_bytes(text: bytes) -> int:
    """Return what the values between separators outside of strings take."""
    containers = text.count(b"[") + text.count(b"{")
    size = ITEM_BYTES * text.count(b",") + CONTAINER_BYTES * containers
    return size + MEMBER_BYTES * text.count(b":")
