"""Detection of services without targets, whose chunks go back to other instances."""

from collections.abc import Mapping

UNSERVED_GRACE_S = 3.0  # views of a target's dispatcher differ for less than this


class UnservedServices:
    """Tracks for how long services with chunks at this instance have had no target.

    >>> unserved = UnservedServices()
    >>> unserved.due({"chat": False, "tags": True}, now=0.0)
    []
    >>> unserved.due({"chat": False, "tags": True}, now=UNSERVED_GRACE_S)
    ['chat']
    """

    __slots__ = ("_since_by_service",)

    def __init__(self) -> None:
        self._since_by_service: dict[str, float] = {}

    def due(self, served_by_service: Mapping[str, bool], now: float) -> list[str]:
        """Return the services whose chunks are to be given back.

        Args:
            served_by_service: whether there is a target, for services with chunks.
            now: monotonic seconds.
        """
        due: list[str] = []
        since_by_service: dict[str, float] = {}
        for service, served in served_by_service.items():
            if served:
                continue
            since = self._since_by_service.get(service, now)
            since_by_service[service] = since
            if now - since >= UNSERVED_GRACE_S:
                due.append(service)
        self._since_by_service = since_by_service
        return due
