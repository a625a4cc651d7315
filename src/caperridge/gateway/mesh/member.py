"""What is known of one other instance."""


class Member:
    """One other instance.

    Attributes:
        id: of the instance.
        address: that its peers connect to.
        zone: its availability zone; empty if not known.
        incarnation: of its life as last heard; empty if never.
        heard_at: when its last message came; -inf if none did or its stream ended.
        lost_at: when it was first found to be silent; None while it is heard.
        leaving: it said that it takes no new work.
        store_reached: it said that the store answers it.
    """

    def __init__(self, id: str, address: str, zone: str, now: float) -> None:
        self.id = id
        self.address = address
        self.zone = zone
        self.incarnation = ""
        self.heard_at = float("-inf")
        self.lost_at: float | None = now
        self.leaving = False
        self.store_reached = False
        self.listed_at = now
