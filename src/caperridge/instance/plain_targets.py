"""The plain services and targets that one instance dispatches batch items for."""

from collections.abc import Callable

from caperridge.config.model import Service
from caperridge.instance.batch_streams import BatchStreams


class OwnPlainTargets:
    """Shares what the batch streams know: owners, online load, configuration.

    Args:
        streams: that know it.
        clock: monotonic seconds.
    """

    def __init__(self, streams: BatchStreams, clock: Callable[[], float]) -> None:
        self._streams = streams
        self._clock = clock

    def service(self, name: str) -> Service | None:
        """Return the declared plain service of that name."""
        found = self._streams.configuration.services_by_name.get(name)
        return found if found is not None and found.kind == "plain" else None

    def own(self, service: str) -> dict[str, str]:
        """Return the addresses of the targets that this instance dispatches for."""
        states = self._streams.book.states_by_id
        return {
            target: states[target].member.address
            for target in self._streams.own.by_service.get(service, ())
        }

    def online(self, target: str) -> int:
        """Return the online calls known to be at ``target``."""
        return self._streams.headroom.online(target, self._clock())
