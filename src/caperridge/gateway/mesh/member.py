"""State of one other instance, as known to the mesh."""


class Member:
    """One other instance.

    Attributes:
        id: of the instance.
        address: that its peers connect to.
        zone: its availability zone; empty if not known.
        incarnation: last one received; empty if none.
        previous_incarnation: that was received before the present one.
        last_received_at: when its last message came; -inf if there was none.
        lost_at: when it was lost, or first listed if it never was alive; None while it
            is alive.
        reported_lost_at: when its zone last reported it as lost.
        leaving: it reported that it takes no new work.
        store_reached: it reported that it reaches the store.
        affinity: rank among the contacts of this instance, lowest first.
        avoid_until: when it may be a contact again after a failed connection.
    """

    __slots__ = (
        "address",
        "affinity",
        "avoid_until",
        "id",
        "incarnation",
        "last_received_at",
        "leaving",
        "listed_at",
        "lost_at",
        "previous_incarnation",
        "reported_lost_at",
        "store_reached",
        "zone",
    )

    def __init__(
        self, id: str, address: str, zone: str, now: float, affinity: int = 0
    ) -> None:
        self.id = id
        self.address = address
        self.zone = zone
        self.incarnation = ""
        self.previous_incarnation = ""
        self.last_received_at = float("-inf")
        self.lost_at: float | None = now
        self.reported_lost_at = float("-inf")
        self.leaving = False
        self.store_reached = False
        self.listed_at = now
        self.affinity = affinity
        self.avoid_until = float("-inf")
