"""What the admin listener may ask of a node, under the names of its calls and figures.

Imported only where the configuration names an admin listener.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from coraldeal.admin.listener import AdminListener
from coraldeal.interface import ServerId

if TYPE_CHECKING:
    from coraldeal.net.node import Node


class NodeAdminInterface:
    """The `AdminInterface` of one node."""

    def __init__(self, node: Node) -> None:
        self.node = node

    def can_serve(self) -> bool:
        """Return whether this process can serve inquiries now."""
        return self.node.can_serve()

    def figures(self) -> dict[str, Any]:
        """Return the node's figures by their outer names; some are left out while they are 0."""
        node = self.node
        balancer, counts = node.balancer, node.counters
        # Listed servers that aren't counted here are in maintenance, draining or ejected.
        now = node.host.now
        usable_servers = sum(server.ejected_until <= now for server in balancer.servers.values())
        peer_transport = node.host.peer_transport
        message_counts = {}
        if peer_transport is not None:
            ignored = peer_transport.invalid + peer_transport.unknown
            message_counts = {"notes_passed_over": ignored, "notes_unsent": peer_transport.unsent}
        listener = node.callers.listener
        shortages = 0 if listener is None else listener.shortages
        discovery = node.discovery
        list_calls = {}
        if discovery.call_log.total_failures:
            list_calls = {
                "list_calls": discovery.total_calls,
                "list_calls_failed": discovery.call_log.total_failures,
            }
        return {
            **message_counts,
            **list_calls,
            **({"accept_shortages": shortages} if shortages else {}),
            **({"memory_refusals": counts.memory_refusals} if counts.memory_refusals else {}),
            **({"surplus_closes": counts.surplus_closes} if counts.surplus_closes else {}),
            "passed": counts.served,
            "dropped": counts.rejected,
            "bad_gateway": counts.failed,
            "upstream_tries": counts.attempts,
            "in_progress": len(node.inquiries.in_progress) + node.callers.streaming_answers,
            "known_servers": len(balancer.listed),
            "skipped_servers": len(balancer.listed) - usable_servers,
            "loads": counts.reloads,
            "load_errors": counts.reload_errors,
        }

    def start_maintenance(self, server: ServerId) -> bool:
        """Send no more attempts to a server, here and in the node's other process; False: unknown server."""
        is_known = self.node.balancer.start_maintenance(server)
        if is_known and self.node.handover is not None:
            self.node.handover.link.notify_maintenance_started(server)
        return is_known

    def end_maintenance(self, server: ServerId) -> bool:
        """End the maintenance of a server, here and in the node's other process; False: unknown server."""
        is_known = self.node.balancer.end_maintenance(server)
        if is_known and self.node.handover is not None:
            self.node.handover.link.notify_maintenance_ended(server)
        return is_known


async def open_admin_listener(node: Node, address: tuple[str, int]) -> AdminListener:
    """Open the node's admin listener; raises OSError when the address can't be listened on."""
    listener = AdminListener(NodeAdminInterface(node))
    await listener.open(*address)
    return listener
