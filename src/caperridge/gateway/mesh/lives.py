"""Incarnations: which processes of instances have ended, by the mesh's membership."""

import math
import secrets
from typing import Protocol

from caperridge.gateway.mesh.member import Member


class Peers(Protocol):
    """The part of the mesh that is used here."""

    instance: str
    incarnation: str
    members_by_id: dict[str, Member]


def new_incarnation(instance: str) -> str:
    """Return an id for a new process of ``instance``."""
    return f"{instance}.{secrets.token_hex(4)}"


def is_superseded(peers: Peers, incarnation: str) -> bool:
    """Whether a later incarnation of the same instance is alive, or is the own one."""
    instance = incarnation.rpartition(".")[0]
    if instance == peers.instance:
        return incarnation != peers.incarnation
    member = peers.members_by_id.get(instance)
    if member is None or member.lost_at is not None:
        return False
    return member.incarnation != incarnation


def lost_at(peers: Peers, incarnation: str) -> float:
    """Return when an incarnation was lost; -inf if it is alive or not known."""
    member = peers.members_by_id.get(incarnation.rpartition(".")[0])
    if member is None or member.incarnation != incarnation or member.lost_at is None:
        return -math.inf
    return member.lost_at
