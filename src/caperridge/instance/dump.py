"""The dump of one instance's state, for operators."""

from typing import TYPE_CHECKING, Any

from caperridge import __version__
from caperridge.store.relay import RelayedPlatform

if TYPE_CHECKING:
    from caperridge.instance.process import Instance


def dump(instance: "Instance") -> dict[str, Any]:
    """Return a dump of everything this process holds, for operators."""
    return {
        "instance": instance.settings.instance_id,
        "availability_zone": instance.settings.availability_zone,
        "release": __version__,
        "not_ready_because": instance.not_ready_because(),
        "configuration_version": instance.configuration.current.version,
        "connections": instance.connections.state(),
        "session": instance.session.session_id,
        "lease_left_s": max(0.0, instance.session.left_s()),
        "online_in_flight": instance.online.in_flight,
        "targets_by_id": {
            target_id: state.to_map()
            for target_id, state in instance.online.book.states_by_id.items()
        },
        "configuration": instance.configuration.state(),
        "dispatcher": instance.dispatcher.state(),
        "peers": instance.mesh.state() if instance.mesh is not None else None,
        **_platform(instance),
        "orderer": instance.orderer.state(),
        "online": instance.online.state(),
        "held_requests": instance.held_requests.state(),
        "traces": len(instance.traces),
        "trace_bytes": instance.traces.bytes,
        "stop": instance.drain.state(),
    }


def _platform(instance: "Instance") -> dict[str, Any]:
    platform = instance.platform
    if not isinstance(platform, RelayedPlatform):
        return {}
    return {
        "platform_cut_off": platform.cut_off,
        "platform_relayed": platform.relayed,
    }
