"""What one client of a crowd sends: pieces, after which it stays connected."""

import zlib
from collections.abc import Callable, Iterator

from caperridge.records import Record

# Far more than any limit on what has no end; a client stops there.
ENDLESS_BYTES = 8 * 2**20
PIECE_BYTES = 64 * 2**10
SMALL_PIECE_BYTES = 4 * 2**10
# How many requests a client sends that never reads an answer.
UNREAD_REQUESTS = 2000
JOB_ITEMS = 200


class Form(Record):
    """One way not to behave.

    Attributes:
        name: in test ids.
        pieces: returns what is sent, given the first line and headers of a request
            (without the empty line) and the size of a body of legal size.
        completes: its clients send whole requests, which are served beside those of
            ordinary callers.
        answered: its clients stay until they have the first byte of an answer.
    """

    __slots__ = ("answered", "completes", "name", "pieces")

    def __init__(
        self,
        name: str,
        pieces: Callable[[bytes, int], Iterator[bytes]],
        completes: bool = False,
        answered: bool = False,
    ) -> None:
        self.name = name
        self.pieces = pieces
        self.completes = completes
        self.answered = answered


def whole(head: bytes, size: int) -> Iterator[bytes]:
    """A body of legal size, sent to its end."""
    yield head + b"Content-Length: %d\r\n\r\n" % size
    yield from _filling(size, PIECE_BYTES)


def short(head: bytes, size: int) -> Iterator[bytes]:
    """The same without its last byte."""
    yield head + b"Content-Length: %d\r\n\r\n" % size
    yield from _filling(size - 1, PIECE_BYTES)


def short_in_pieces(head: bytes, size: int) -> Iterator[bytes]:
    """The same, piece by piece."""
    yield head + b"Content-Length: %d\r\n\r\n" % size
    yield from _filling(size - 1, SMALL_PIECE_BYTES)


def large_chunks(head: bytes, size: int) -> Iterator[bytes]:
    """A body in large chunks, without the last one."""
    yield head + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%s\r\n" % (PIECE_BYTES, bytes(PIECE_BYTES))
    for _ in range(size // PIECE_BYTES):
        yield chunk


def tiny_chunks(head: bytes, size: int) -> Iterator[bytes]:
    """A body in chunks of one byte, without the last one."""
    yield head + b"Transfer-Encoding: chunked\r\n\r\n"
    chunks = b"1\r\nx\r\n" * SMALL_PIECE_BYTES
    for _ in range(size // SMALL_PIECE_BYTES):
        yield chunks


def half_head(head: bytes, size: int) -> Iterator[bytes]:
    """A head that stops within a header."""
    yield head + b"X-Half: "


def silent(head: bytes, size: int) -> Iterator[bytes]:
    """Nothing."""
    yield from ()


def line_without_end(head: bytes, size: int) -> Iterator[bytes]:
    """A header whose line never ends."""
    yield head + b"X-Long: "
    yield from _repeating(b"x")


def headers_without_end(head: bytes, size: int) -> Iterator[bytes]:
    """Headers that never end."""
    yield head
    yield from _repeating(b"X-More: more and more\r\n")


def empty_lines(head: bytes, size: int) -> Iterator[bytes]:
    """Empty lines before a request that never comes."""
    yield from _repeating(b"\r\n")


def chunk_extension(head: bytes, size: int) -> Iterator[bytes]:
    """An extension of a chunk that never ends."""
    yield head + b"Transfer-Encoding: chunked\r\n\r\n5;extension="
    yield from _repeating(b"x")


def trailers(head: bytes, size: int) -> Iterator[bytes]:
    """Trailers that never end."""
    yield head + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    yield from _repeating(b"X-More: more and more\r\n")


def unread_answers(head: bytes, size: int) -> Iterator[bytes]:
    """Whole requests in a row whose answers are never read."""
    requests = (head + b"Content-Length: 0\r\n\r\n") * 10
    for _ in range(UNREAD_REQUESTS // 10):
        yield requests


def unread_answer(head: bytes, size: int) -> Iterator[bytes]:
    """One request of whose answer only the first byte is read."""
    yield head + b"Content-Length: 0\r\n\r\n"


UNREAD_ANSWER = Form("unread_answer", unread_answer, completes=True, answered=True)


def many_values(head: bytes, size: int) -> Iterator[bytes]:
    """A JSON body of legal size that decodes into as many values as possible."""
    values = b"{}," * (size // 3 - 1)
    body = b"[" + values + b"{}]"
    yield head + b"Content-Length: %d\r\n\r\n" % len(body)
    for start in range(0, len(body), PIECE_BYTES):
        yield body[start : start + PIECE_BYTES]


MANY_VALUES = Form("many_values", many_values, completes=True)


def compressed(head: bytes, size: int) -> Iterator[bytes]:
    """A small body that is far larger than a legal one when it is decompressed."""
    body = zlib.compress(bytes(8 * size))
    yield head + b"Content-Encoding: deflate\r\n"
    yield b"Content-Length: %d\r\n\r\n" % len(body)
    yield body[:-1]


COMPRESSED = Form("compressed", compressed)


def job(head: bytes, size: int) -> Iterator[bytes]:
    """A job of legal size, of as many items as one may have."""
    text = b"QUJD" * (size // JOB_ITEMS // 4 - 40)
    item = b'{"id":"item%d","path":"/work/1","headers":{},"tokens":1,"body":"%s"}'
    items = b",".join(item % (number, text) for number in range(JOB_ITEMS))
    body = b'{"requests":[%s]}' % items
    yield head + b"Content-Length: %d\r\n\r\n" % len(body)
    yield body


JOB = Form("job", job, completes=True, answered=True)


FORMS = [
    Form("whole", whole, completes=True),
    Form("short", short),
    Form("short_in_pieces", short_in_pieces),
    Form("large_chunks", large_chunks),
    Form("tiny_chunks", tiny_chunks),
    Form("half_head", half_head),
    Form("silent", silent),
    Form("line_without_end", line_without_end),
    Form("headers_without_end", headers_without_end),
    Form("empty_lines", empty_lines),
    Form("chunk_extension", chunk_extension),
    Form("trailers", trailers),
    Form("unread_answers", unread_answers, completes=True),
]


def upload(head: bytes, size: int) -> Iterator[bytes]:
    """A file of batch items in a multipart body without its end."""
    yield head + b"Content-Length: %d\r\n\r\n" % (2 * size)
    yield b'--edge\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
    yield b'--edge\r\nContent-Disposition: form-data; name="file"; filename="f"\r\n\r\n'
    # One line, longer than the part of a file that is stored at once.
    yield from _filling(size, PIECE_BYTES)


UPLOAD = Form("upload", upload)


def upload_of_values(head: bytes, size: int) -> Iterator[bytes]:
    """A file whose lines decode into as many values as possible, without its end."""
    line = b"[" + b"{}," * (size // 3) + b"{}]\n"
    yield head + b"Content-Length: %d\r\n\r\n" % (5 * size)
    yield b'--edge\r\nContent-Disposition: form-data; name="file"; filename="f"\r\n\r\n'
    for _ in range(4):
        yield line


UPLOAD_OF_VALUES = Form("upload_of_values", upload_of_values)


def short_frame(head: bytes, size: int) -> Iterator[bytes]:
    """A frame between instances without its last byte."""
    yield size.to_bytes(4, "big")
    yield from _filling(size - 1, PIECE_BYTES)


def half_length(head: bytes, size: int) -> Iterator[bytes]:
    """A frame that stops within its length."""
    yield b"\x00\x00"


def http_head(head: bytes, size: int) -> Iterator[bytes]:
    """A request to a listener that speaks another protocol."""
    yield head
    yield from _repeating(b"X-More: more and more\r\n")


def half_greeting(head: bytes, size: int) -> Iterator[bytes]:
    """A TLS greeting that stops within its first record."""
    yield b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"


def greeting_without_end(head: bytes, size: int) -> Iterator[bytes]:
    """Records of a TLS greeting whose stated length is never reached."""
    yield b"\x16\x03\x01\x40\x00\x01\xff\xff\xff\x03\x03" + bytes(2**14 - 6)
    yield from _repeating(b"\x16\x03\x01\x40\x00" + bytes(2**14))


# Sent without a TLS handshake to listeners that ask for one.
GREETING_FORMS = [
    Form("silent", silent),
    Form("half_greeting", half_greeting),
    Form("greeting_without_end", greeting_without_end),
]


FRAME_FORMS = [
    Form("short_frame", short_frame),
    Form("half_length", half_length),
    Form("silent", silent),
    Form("http_head", http_head),
    Form("empty_lines", empty_lines),
]


def _filling(size: int, piece_bytes: int) -> Iterator[bytes]:
    piece = bytes(piece_bytes)
    for start in range(0, size, piece_bytes):
        yield piece[: size - start]


def _repeating(unit: bytes) -> Iterator[bytes]:
    piece = unit * (PIECE_BYTES // len(unit))
    for _ in range(ENDLESS_BYTES // len(piece)):
        yield piece
