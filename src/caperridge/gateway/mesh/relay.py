"""Messages to and from other availability zones, by way of contacts.

An instance sends to its contacts only; each passes on to the peers of its own zone what
is for them. Signs of life are gathered and passed on with the contact's own beat, all
else at once. A message is passed on once, so it cannot go in circles.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from caperridge.decisions.rendezvous import score
from caperridge.gateway.mesh.dialers import Dialers
from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.messages import (
    Heartbeat,
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

# A process that stands still goes on accepting bytes, so only its silence shows.
CONTACT_FRESH_S = 1.5
# One of the peers that report a loss elsewhere may be lost itself.
LOSS_REPORTERS = 2
# Contacts may still relay heartbeats of a life whose end was reported.
STALE_HEARTBEAT_S = 1.0


class RelayedMesh(Protocol):
    """What of the mesh is used here."""

    instance: str
    roster: Roster

    def register(self, kind: type[Record], handler: Callable[[str, Any], None]) -> None:
        """See :meth:`Mesh.register`."""

    def on_messages_received(self, call: Callable[[], None]) -> None:
        """See :meth:`Mesh.on_messages_received`."""

    def on_lost(self, call: Callable[[Member], None]) -> None:
        """See :meth:`Mesh.on_lost`."""

    def send(self, instance: str, message: Record) -> bool:
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
    """One instance's part in what goes between availability zones.

    Args:
        mesh: hears and sends.
        dialers: keep streams to contacts.
    """

    def __init__(self, mesh: RelayedMesh, dialers: Dialers) -> None:
        self._mesh = mesh
        self._roster = mesh.roster
        self._dialers = dialers
        self._turn = 0
        self._heartbeats_by_instance: dict[str, list] = {}
        self._pending: list[list] = []
        self._last_heartbeat_by_instance: dict[str, list] = {}

    def register(self) -> None:
        """Have the mesh hand over what is to be passed on."""
        self._mesh.register(Relay, self._relay_requested)
        self._mesh.register(Relayed, self._relayed)
        self._mesh.register(RelayedHeartbeats, self._relayed_heartbeats)
        self._mesh.register(MemberLost, self._member_lost)
        self._mesh.on_messages_received(self._flush)
        self._mesh.on_lost(self._forget_heartbeat)

    # What this instance says elsewhere.

    def contacts(self, all_contacts: bool) -> list[Member]:
        """Return one connected contact of each zone, another in turn, or all."""
        self._turn += 1
        chosen: list[Member] = []
        for zone in self._dialers.contacts_by_zone:
            connected = self._connected_contacts(zone)
            if all_contacts or not connected:
                chosen += connected
                continue
            chosen.append(connected[self._turn % len(connected)])
        return chosen

    def send(self, member: Member, message: Record) -> bool:
        """Have ``message`` passed on to one instance; False if there is no way."""
        return self._send(member.zone, member.id, message)

    def send_zone(self, zone: str, message: Record) -> None:
        """Have ``message`` passed on to all instances of another zone."""
        self._send(zone, "", message)

    def send_everywhere(self, message: Record) -> None:
        """Have ``message`` passed on in all other zones, by each contact."""
        contacts = self.contacts(all_contacts=True)
        if not contacts:
            return
        relay = Relay("", encode_body(message))
        for contact in contacts:
            self._mesh.send(contact.id, relay)

    def report_lost(self, member: Member) -> None:
        """Say elsewhere that a near peer is lost, if that falls to this instance."""
        if not self._roster.large:
            return  # nobody is far
        near = [one for one in self._roster.near() if one.lost_at is None]
        own = score(member.id, self._mesh.instance)
        ahead = sum(1 for one in near if score(member.id, one.id) > own)
        if ahead < LOSS_REPORTERS:
            self.send_everywhere(MemberLost(member.id, member.incarnation))

    def _send(self, zone: str, to: str, message: Record) -> bool:
        contact = self._best_contact(zone)
        if contact is None:
            return False
        return self._mesh.send(contact.id, Relay(to, encode_body(message)))

    def _best_contact(self, zone: str) -> Member | None:
        """Return the contact of a zone that is asked; None if none is connected."""
        connected = self._connected_contacts(zone)
        since = asyncio.get_running_loop().time() - CONTACT_FRESH_S
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

    # What this instance passes on in its zone.

    def heard(self, member: Member, message: Record) -> None:
        """Gather what a far instance said of itself, to be passed on."""
        if self._roster.is_near(member):
            return
        self._forget_heartbeat(member)
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
        """Tell near peers what was gathered."""
        if not self._heartbeats_by_instance:
            return
        heartbeats = list(self._heartbeats_by_instance.values())
        self._heartbeats_by_instance.clear()
        self._mesh.send_near(RelayedHeartbeats(heartbeats))

    def _relay_requested(self, speaker: str, relay: Relay) -> None:
        """Pass on what a far instance sent by way of this one."""
        member = self._roster.members_by_id[speaker]
        entry = [speaker, member.incarnation, relay.body]
        if relay.to and relay.to != self._mesh.instance:
            self._mesh.send(relay.to, Relayed([entry]))
            return
        self._deliver(entry)
        if not relay.to:
            self._pending.append(entry)

    def _flush(self) -> None:
        """Pass on what was heard in one turn, in one message."""
        if not self._pending:
            return
        gathered, self._pending = self._pending, []
        self._mesh.send_near(Relayed(gathered))

    # What others pass on.

    def _relayed(self, contact: str, relayed: Relayed) -> None:
        for entry in relayed.messages:
            self._deliver(entry)

    def _deliver(self, entry: list) -> None:
        """Have a message of a far instance handled as if it had come from it."""
        instance, incarnation, body = entry
        member = self._roster.members_by_id.get(instance)
        if member is None or member.incarnation != incarnation:
            return  # of a life that is over, or of which nothing was heard yet
        try:
            message = decode(body)
        except MessageError as error:
            log.error("relayed message skipped", peer=instance, reason=str(error))
            return
        if message is not None:
            self._forget_heartbeat(member)
            self._mesh.dispatch(member, message)

    def _relayed_heartbeats(self, contact: str, relayed: RelayedHeartbeats) -> None:
        now = asyncio.get_running_loop().time()
        for heartbeat in relayed.heartbeats:
            instance = heartbeat[0]
            member = self._roster.members_by_id.get(instance)
            if member is not None and self._is_unchanged(member, heartbeat):
                # Most do, and there are some hundred a second.
                member.last_received_at = member.listed_at = now
                continue
            incarnation, address, zone, leaving, reached, counts, *_ = heartbeat[1:]
            member = self._note_alive(instance, incarnation, address, zone)
            if member is None:
                continue
            self._last_heartbeat_by_instance[instance] = heartbeat
            self._mesh.dispatch(member, Heartbeat(counts, {}, leaving, reached))

    def _is_unchanged(self, member: Member, heartbeat: list) -> bool:
        """Whether a far member that is heard says what it said before."""
        return (
            member.lost_at is None
            and member.incarnation == heartbeat[1]
            and self._last_heartbeat_by_instance.get(member.id) == heartbeat
        )

    def _forget_heartbeat(self, member: Member) -> None:
        """Have the next sign of life of a member handled whole."""
        self._last_heartbeat_by_instance.pop(member.id, None)

    def _note_alive(
        self, instance: str, incarnation: str, address: str, zone: str
    ) -> Member | None:
        """Note a sign of life; return whose it is, or None if it says nothing."""
        if instance == self._mesh.instance:
            return None
        self._mesh.learn(instance, address, zone)
        member = self._roster.members_by_id[instance]
        if self._roster.is_near(member) or incarnation == member.previous_incarnation:
            return None
        now = asyncio.get_running_loop().time()
        belated = now - member.reported_lost_at < STALE_HEARTBEAT_S
        if belated and incarnation == member.incarnation:
            return None
        self._mesh.set_incarnation(member, incarnation, address, zone)
        self._mesh.mark_alive(member)
        return member

    def _member_lost(self, speaker: str, news: MemberLost) -> None:
        member = self._roster.members_by_id.get(news.instance)
        if member is None or self._roster.is_near(member):
            return
        if member.incarnation != news.incarnation or member.lost_at is not None:
            return
        member.reported_lost_at = asyncio.get_running_loop().time()
        self._mesh.mark_lost(member, "its zone lost it")
