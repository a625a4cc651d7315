"""Parser and validator of the server-sent events of an engine's stream.

Each event must have the expected request id, attempt id and next offset. Engines put
these fields first, so the check is a comparison of bytes; an event in any other form is
parsed as JSON.
"""

import orjson

_SEPARATOR = b"\n\n"
_PREFIX = b"data: "
DONE_EVENT = b"data: [DONE]\n\n"


class WrongEventError(Exception):
    """The event is of another attempt, or not the next one of this attempt."""


class EventChecker:
    r"""Splits a stream into events and validates each.

    Args:
        request: id of the request.
        attempt: id of the attempt.
        next_offset: offset of the first expected token.

    >>> checker = EventChecker("r", "a", 0)
    >>> checker.feed(b'data: {"id":"r","attempt":"a","offset":0,"x":1}')
    []
    >>> checker.feed(b'\n\ndata: [DONE]\n\n')
    [b'data: {"id":"r","attempt":"a","offset":0,"x":1}\n\n']
    >>> checker.received_done, checker.next_offset
    (True, 1)
    """

    __slots__ = (
        "_attempt",
        "_expected",
        "_head",
        "_remainder",
        "_request",
        "next_offset",
        "received_done",
        "wrong_event",
    )

    def __init__(self, request: str, attempt: str, next_offset: int) -> None:
        self._request = request
        self._attempt = attempt
        self._head = b'data: {"id":"%s","attempt":"%s","offset":' % (
            request.encode(),
            attempt.encode(),
        )
        self._remainder = b""
        self.next_offset = next_offset
        self._expected = b"%b%d," % (self._head, next_offset)
        self.received_done = False
        self.wrong_event: WrongEventError | None = None

    def feed(self, data: bytes) -> list[bytes]:
        """Return the token events completed by ``data``, each with its separator.

        At an event of another attempt or with another offset than the next,
        ``wrong_event`` is set; the valid events before it are still returned. Data
        after the ``[DONE]`` event is ignored.
        """
        if self._remainder:
            data = self._remainder + data
        checked: list[bytes] = []
        start = 0
        while (end := data.find(_SEPARATOR, start)) >= 0 and not self.received_done:
            after = end + len(_SEPARATOR)
            if data.startswith(self._expected, start):
                self._advance()
                checked.append(data[start:after])
            elif data[start:after] == DONE_EVENT:
                self.received_done = True
            else:
                try:
                    self._check(data[start:end])
                except WrongEventError as error:
                    self.wrong_event = error
                    break
                checked.append(data[start:after])
            start = after
        self._remainder = data[start:]
        return checked

    def _advance(self) -> None:
        self.next_offset += 1
        self._expected = b"%b%d," % (self._head, self.next_offset)

    def _check(self, event: bytes) -> None:
        """Parse and check an event that does not start with the expected bytes."""
        offset = self._parse(event)
        if offset != self.next_offset:
            text = f"offset {offset} came where {self.next_offset} was due"
            raise WrongEventError(text)
        self._advance()

    def _parse(self, event: bytes) -> int:
        try:
            fields = orjson.loads(event.removeprefix(_PREFIX))
            request, attempt = fields["id"], fields.get("attempt")
            offset = fields["offset"]
        except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError) as error:
            raise WrongEventError("an event that cannot be read") from error
        if request != self._request or attempt != self._attempt:
            raise WrongEventError("an event of another request")
        if type(offset) is not int:
            raise WrongEventError("an event whose offset is no whole number")
        return offset


def text_of(event: bytes) -> str:
    """Return the text of a checked token event."""
    choice = orjson.loads(event[len(_PREFIX) :])["choices"][0]
    if "delta" in choice:
        return choice["delta"].get("content") or ""
    return choice.get("text") or ""


def finish_reason(event: bytes) -> str | None:
    """Return the finish reason of a checked token event; None if more follow."""
    return orjson.loads(event[len(_PREFIX) :])["choices"][0].get("finish_reason")
