"""Messages that address or relay others, and reports of lost members."""

from typing import Any

from caperridge.records import Record


class Recipient(Record):
    """The next message on the stream is for this incarnation of the receiver only.

    A message of its own, so that earlier releases skip it and handle the next one.
    """

    __slots__ = ("incarnation",)

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation


class Relay(Record):
    """Asks a contact to relay a message in its availability zone.

    Attributes:
        to: receiver; empty for all of the zone, the contact included.
        body: of the frame of the message.
        recipient: incarnation of the receiver that the message is for; empty if it is
            for any.
    """

    __slots__ = ("body", "recipient", "to")

    def __init__(self, to: str, body: bytes, recipient: str = "") -> None:
        self.to = to
        self.body = body
        self.recipient = recipient


class Relayed(Record):
    """Messages of far instances: instance, incarnation and body of each."""

    __slots__ = ("messages",)

    def __init__(self, messages: list[list[Any]]) -> None:
        self.messages = messages


class RelayedHeartbeats(Record):
    """The last heartbeats of far instances.

    Attributes:
        heartbeats: instance, incarnation, address, availability zone, whether it is
            leaving, whether it reaches the store, and counts as in :class:`Heartbeat`.
    """

    __slots__ = ("heartbeats",)

    def __init__(self, heartbeats: list[list[Any]]) -> None:
        self.heartbeats = heartbeats


class MemberLost(Record):
    """The last connection from a peer of the sender's zone to the sender ended."""

    __slots__ = ("incarnation", "instance")

    def __init__(self, instance: str, incarnation: str) -> None:
        self.instance = instance
        self.incarnation = incarnation
