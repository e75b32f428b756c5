"""What the operators' door asks of a node, in the operators' names. Imported only where there is a door."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from coraldeal.admin.listener import Door
from coraldeal.interface import ServerId

if TYPE_CHECKING:
    from coraldeal.net.node import Node


class NodeDesk:
    """One node, as its operators see it."""

    def __init__(self, node: Node) -> None:
        self.node = node

    def can_serve(self) -> bool:
        return self.node.can_serve()

    def figures(self) -> dict[str, Any]:
        node = self.node
        balancer, counts = node.balancer, node.figures
        # The others are left out, draining or at rest.
        now = node.host.now
        in_rotation = sum(server.ejected_until <= now for server in balancer.servers.values())
        carrier = node.host.carrier
        notes = {}
        if carrier is not None:
            passed_over = carrier.invalid + carrier.unknown
            notes = {"notes_passed_over": passed_over, "notes_unsent": carrier.unsent}
        listener = node.callers.listener
        shortages = 0 if listener is None else listener.shortages
        discovery = node.discovery
        list_calls = {}
        if discovery.total_failed_calls:
            list_calls = {
                "list_calls": discovery.total_calls,
                "list_calls_failed": discovery.total_failed_calls,
            }
        return {
            **notes,
            **list_calls,
            **({"accept_shortages": shortages} if shortages else {}),
            "passed": counts.satisfied,
            "dropped": counts.deferred,
            "bad_gateway": counts.given_up,
            "upstream_tries": counts.attempts,
            "in_progress": len(node.inquiries.in_hand) + node.callers.passing,
            "known_servers": len(balancer.listed),
            "skipped_servers": len(balancer.listed) - in_rotation,
            "loads": counts.loads,
            "load_errors": counts.kept,
        }

    def leave_out(self, server: ServerId) -> bool:
        known = self.node.balancer.start_maintenance(server)
        if known and self.node.succession is not None:
            self.node.succession.link.left_out(server)
        return known

    def put_back(self, server: ServerId) -> bool:
        known = self.node.balancer.end_maintenance(server)
        if known and self.node.succession is not None:
            self.node.succession.link.put_back(server)
        return known


async def open_door(node: Node, address: tuple[str, int]) -> Door:
    """The door of a node, open."""
    door = Door(NodeDesk(node))
    await door.open(*address)
    return door
