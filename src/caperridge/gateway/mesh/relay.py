"""Relaying of messages between availability zones through contacts.

An instance sends only to its contacts; each relays to the peers of its own zone what is
meant for them. Heartbeats are collected and relayed with the contact's own, all other
messages at once. A message is relayed once, so it cannot loop.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from caperridge.decisions.rendezvous import score
from caperridge.gateway.mesh.dialers import Dialers
from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.messages import Heartbeat
from caperridge.gateway.mesh.relay_messages import (
    MemberLost,
    Relay,
    Relayed,
    RelayedHeartbeats,
)
from caperridge.gateway.mesh.roster import Roster
from caperridge.gateway.mesh.streams import decode, encode_body
from caperridge.log import logger
from caperridge.peers.framing import MessageError
from caperridge.records import Record

log = logger(__name__)

# A stalled process still accepts bytes, so only its silence shows the stall.
CONTACT_FRESHNESS_S = 1.5
# One of the peers that report a loss to other zones may be lost itself.
LOSS_REPORTERS = 2
# Contacts may still relay heartbeats of an incarnation whose loss was reported.
STALE_HEARTBEAT_S = 1.0
# In place of an incarnation: whichever process receives a message may handle it.
ANY_PROCESS = ""


class RelayedMesh(Protocol):
    """The part of the mesh that the relay uses."""

    instance: str
    incarnation: str
    roster: Roster

    def register(self, kind: type[Record], handler: Callable[[str, Any], None]) -> None:
        """See :meth:`Mesh.register`."""

    def on_messages_received(self, call: Callable[[], None]) -> None:
        """See :meth:`Mesh.on_messages_received`."""

    def on_lost(self, call: Callable[[Member], None]) -> None:
        """See :meth:`Mesh.on_lost`."""

    def send(
        self, instance: str, message: Record, incarnation: str | None = None
    ) -> bool:
        """See :meth:`Mesh.send`."""

    def send_near(self, message: Record) -> None:
        """See :meth:`Mesh.send_near`."""

    def learn(self, id: str, address: str, zone: str) -> None:
        """See :meth:`Mesh.learn`."""

    def set_incarnation(
        self, member: Member, incarnation: str, address: str, zone: str
    ) -> None:
        """See :meth:`Mesh.set_incarnation`."""

    def mark_alive(self, member: Member) -> None:
        """See :meth:`Mesh.mark_alive`."""

    def dispatch(self, member: Member, message: Record) -> None:
        """See :meth:`Mesh.dispatch`."""

    def mark_lost(self, member: Member, reason: str) -> None:
        """See :meth:`Mesh.mark_lost`."""


class ZoneRelay:
    """Relays between this instance's availability zone and the others.

    Args:
        mesh: sends and receives.
        dialers: maintain the streams to contacts.
    """

    def __init__(self, mesh: RelayedMesh, dialers: Dialers) -> None:
        self._mesh = mesh
        self._roster = mesh.roster
        self._dialers = dialers
        self._rotation = 0
        self._heartbeats_by_instance: dict[str, list] = {}
        self._pending: list[list] = []
        self._last_heartbeat_by_instance: dict[str, list] = {}

    def register(self) -> None:
        """Register the handlers of relayed messages with the mesh."""
        self._mesh.register(Relay, self._relay_requested)
        self._mesh.register(Relayed, self._receive_relayed)
        self._mesh.register(RelayedHeartbeats, self._receive_heartbeats)
        self._mesh.register(MemberLost, self._member_lost)
        self._mesh.on_messages_received(self._flush)
        self._mesh.on_lost(self._discard_last_heartbeat)

    # From this instance to other zones.

    def contacts(self, all_contacts: bool) -> list[Member]:
        """Return one connected contact per zone in rotation, or all of them."""
        self._rotation += 1
        chosen: list[Member] = []
        for zone in self._dialers.contacts_by_zone:
            connected = self._connected_contacts(zone)
            if all_contacts or not connected:
                chosen += connected
                continue
            chosen.append(connected[self._rotation % len(connected)])
        return chosen

    def send(self, member: Member, message: Record, incarnation: str) -> bool:
        """Relay ``message`` to a process; False if no contact is connected."""
        relay = Relay(member.id, encode_body(message), incarnation)
        return self._send(member.zone, relay)

    def send_zone(self, zone: str, message: Record) -> None:
        """Relay ``message`` to all instances of another zone."""
        self._send(zone, Relay("", encode_body(message)))

    def send_everywhere(self, message: Record) -> None:
        """Relay ``message`` to all other zones, through every contact."""
        contacts = self.contacts(all_contacts=True)
        if not contacts:
            return
        relay = Relay("", encode_body(message))
        for contact in contacts:
            self._mesh.send(contact.id, relay, ANY_PROCESS)

    def report_lost(self, member: Member) -> None:
        """Report a lost near peer to other zones if hashing chooses this instance."""
        if not self._roster.large:
            return  # no peer is far
        near = [one for one in self._roster.near() if one.lost_at is None]
        own = score(member.id, self._mesh.instance)
        ahead = sum(1 for one in near if score(member.id, one.id) > own)
        if ahead < LOSS_REPORTERS:
            self.send_everywhere(MemberLost(member.id, member.incarnation))

    def _send(self, zone: str, relay: Relay) -> bool:
        contact = self._best_contact(zone)
        if contact is None:
            return False
        return self._mesh.send(contact.id, relay, ANY_PROCESS)

    def _best_contact(self, zone: str) -> Member | None:
        """Return the contact of a zone to send to; None if none is connected."""
        connected = self._connected_contacts(zone)
        since = asyncio.get_running_loop().time() - CONTACT_FRESHNESS_S
        for contact in connected:
            if contact.last_received_at >= since:
                return contact
        return connected[0] if connected else None

    def _connected_contacts(self, zone: str) -> list[Member]:
        return [
            contact
            for contact in self._dialers.contacts_by_zone.get(zone, [])
            if self._dialers.stream_to(contact) is not None
        ]

    # From other zones to the peers of this one.

    def message_received(self, member: Member, message: Record) -> None:
        """Collect the heartbeat of a far instance, to be relayed."""
        if self._roster.is_near(member):
            return
        self._discard_last_heartbeat(member)
        if not isinstance(message, Heartbeat):
            return
        before = self._heartbeats_by_instance.get(member.id)
        self._heartbeats_by_instance[member.id] = [
            member.id,
            member.incarnation,
            member.address,
            member.zone,
            message.leaving,
            message.store_reached,
            message.counts,
        ]
        if message.leaving and before is None:
            self.relay_heartbeats()

    def relay_heartbeats(self) -> None:
        """Send near peers the heartbeats that were collected."""
        if not self._heartbeats_by_instance:
            return
        heartbeats = list(self._heartbeats_by_instance.values())
        self._heartbeats_by_instance.clear()
        self._mesh.send_near(RelayedHeartbeats(heartbeats))

    def _relay_requested(self, sender: str, relay: Relay) -> None:
        """Relay what a far instance sent through this one."""
        member = self._roster.members_by_id[sender]
        entry = [sender, member.incarnation, relay.body]
        if relay.to and relay.to != self._mesh.instance:
            self._mesh.send(relay.to, Relayed([entry]), relay.recipient)
            return
        if relay.recipient not in (ANY_PROCESS, self._mesh.incarnation):
            log.info("message for another process dropped", peer=sender)
            return
        self._deliver(entry)
        if not relay.to:
            self._pending.append(entry)

    def _flush(self) -> None:
        """Relay what was received together in one message."""
        if not self._pending:
            return
        gathered, self._pending = self._pending, []
        self._mesh.send_near(Relayed(gathered))

    # What contacts relay to this instance.

    def _receive_relayed(self, contact: str, relayed: Relayed) -> None:
        for entry in relayed.messages:
            self._deliver(entry)

    def _deliver(self, entry: list) -> None:
        """Handle a far instance's message as if it had been received directly."""
        instance, incarnation, body = entry
        member = self._roster.members_by_id.get(instance)
        if member is None or member.incarnation != incarnation:
            return  # of an earlier incarnation, or of one that is not known yet
        try:
            message = decode(body)
        except MessageError as error:
            log.error("relayed message skipped", peer=instance, reason=str(error))
            return
        if message is not None:
            self._discard_last_heartbeat(member)
            self._mesh.dispatch(member, message)

    def _receive_heartbeats(self, contact: str, relayed: RelayedHeartbeats) -> None:
        now = asyncio.get_running_loop().time()
        for heartbeat in relayed.heartbeats:
            instance = heartbeat[0]
            member = self._roster.members_by_id.get(instance)
            if member is not None and self._is_unchanged(member, heartbeat):
                # True of most, and some hundred arrive each second.
                member.last_received_at = member.listed_at = now
                continue
            incarnation, address, zone, leaving, reached, counts, *_ = heartbeat[1:]
            member = self._record_alive(instance, incarnation, address, zone)
            if member is None:
                continue
            self._last_heartbeat_by_instance[instance] = heartbeat
            self._mesh.dispatch(member, Heartbeat(counts, {}, leaving, reached))

    def _is_unchanged(self, member: Member, heartbeat: list) -> bool:
        """Whether a far member is alive and its heartbeat repeats the last one."""
        return (
            member.lost_at is None
            and member.incarnation == heartbeat[1]
            and self._last_heartbeat_by_instance.get(member.id) == heartbeat
        )

    def _discard_last_heartbeat(self, member: Member) -> None:
        """Have the next heartbeat of a member handled in full."""
        self._last_heartbeat_by_instance.pop(member.id, None)

    def _record_alive(
        self, instance: str, incarnation: str, address: str, zone: str
    ) -> Member | None:
        """Record a heartbeat; return its member, or None if it is to be ignored."""
        if instance == self._mesh.instance:
            return None
        self._mesh.learn(instance, address, zone)
        member = self._roster.members_by_id[instance]
        if self._roster.is_near(member) or incarnation == member.previous_incarnation:
            return None
        now = asyncio.get_running_loop().time()
        stale = now - member.reported_lost_at < STALE_HEARTBEAT_S
        if stale and incarnation == member.incarnation:
            return None
        self._mesh.set_incarnation(member, incarnation, address, zone)
        self._mesh.mark_alive(member)
        return member

    def _member_lost(self, sender: str, report: MemberLost) -> None:
        member = self._roster.members_by_id.get(report.instance)
        if member is None or self._roster.is_near(member):
            return
        if member.incarnation != report.incarnation or member.lost_at is not None:
            return
        member.reported_lost_at = asyncio.get_running_loop().time()
        self._mesh.mark_lost(member, "its zone lost it")
