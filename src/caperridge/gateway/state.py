"""The state dump of an instance, for operators."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from caperridge.gateway.process import GatewayInstance


def state_of(instance: "GatewayInstance") -> dict[str, Any]:
    """Return the state of ``instance`` and its view of peers, targets and jobs."""
    table = instance.configuration.table
    return {
        "instance": instance.settings.instance,
        "incarnation": instance.mesh.incarnation,
        "ready": instance.ready,
        "configuration": table.version if table is not None else None,
        "store_reached": instance.reachability.reached,
        "running": instance.edge.running,
        "connections": instance.connections.state(),
        "quarantine": instance.guard.state(),
        "streams_known": instance.origins.known,
        "quotas": instance.quotas.ledger.state(),
        "peer_traffic": instance.mesh.traffic.state(),
        "peers": {
            member.id: {
                "address": member.address,
                "incarnation": member.incarnation,
                "alive": member.lost_at is None,
            }
            for member in instance.mesh.members_by_id.values()
        },
        "targets": {
            id: {
                "address": target.address,
                "draining": target.draining,
                "software_version": target.software_version,
                "online": instance.fleet.occupancy.total_at(id).online,
                "items": instance.fleet.occupancy.total_at(id).items,
                "unreachable": id in instance.fleet.unreachable,
            }
            for id, target in instance.fleet.targets.by_id.items()
        },
        "jobs_held": {
            id: {
                "total": job.head.total,
                "listed": job.head.listed,
                "running": len(job.running()),
            }
            for id, job in instance.keeper.held_by_id.items()
        },
    }
