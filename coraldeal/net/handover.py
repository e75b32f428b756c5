"""A node's side of a handover: exports and restores its state, and applies changes of ownership to it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from coraldeal.handover.link import HandoverLink
from coraldeal.handover.state import learned, resume
from coraldeal.interface import Condition, Entry, ListKind
from coraldeal.net.host import clock
from coraldeal.net.wire import ListEntry, ServerList

if TYPE_CHECKING:
    from coraldeal.net.node import Node

log = logging.getLogger(__name__)


def _size_and_kind(size: Any = 1.0, kind: Any = "") -> tuple[float, str]:
    """Return a server's size and kind; a predecessor of an earlier version sends neither."""
    return float(size), str(kind)


class NodeHandover:
    """Connects one node with its predecessor and its successors."""

    def __init__(self, node: Node, folder: str) -> None:
        self.node = node
        config = node.config
        self.link = HandoverLink(self, folder, f"{config.name} {config.host}:{config.port}")
        node.inquiries.notify_started = self.link.notify_request_started

    async def start(self) -> None:
        """Take over the socket and the state of a predecessor, if one answers, and listen."""
        listening, state = await self.link.connect_to_predecessor()
        if state:
            self._restore(state)
            # The predecessor sends no later changes of the server list, so they are requested at once.
            self.node.discovery.follow()
        config = self.node.config
        await self.node.callers.listen(config.host, config.port, listening, shared=True)

    def _restore(self, state: dict[str, Any]) -> None:
        try:
            stored = state["list"]
            servers = [
                ListEntry(
                    Entry(
                        str(name),
                        str(zone),
                        int(cell),
                        Condition(condition),
                        int(started_at),
                        *_size_and_kind(*size_and_kind),
                    ),
                    str(address),
                )
                for name, zone, cell, condition, started_at, address, *size_and_kind in stored["servers"]
            ]
            server_list = ServerList(int(stored["version"]), True, servers)
            self._log_received_list(server_list)
            self.node.discovery.version = server_list.version
            self.node.apply_list(server_list, ListKind.REMEMBERED)
            resume(self.node.balancer, state["learned"])
            # A predecessor of an earlier version sends none.
            self.node.inquiries.recent.restore(state.get("recent", []))
        except (LookupError, TypeError, ValueError, AttributeError) as error:
            log.warning("begun without the elder's state", extra={"pairs": {"why": repr(error)}})

    def _log_received_list(self, server_list: ServerList) -> None:
        """Log the predecessor's list beside this process's own: which of them is newer, and who was told."""
        discovery = self.node.discovery
        pairs = {
            "version": server_list.version,
            "servers": len(server_list.servers),
            "own_version": discovery.version,
            "own_servers": len(self.node.balancer.listed),
            "own_watch": discovery.watch is not None,
            "calls": len(discovery.calls),
        }
        log.info("list of the predecessor", extra={"pairs": pairs})

    # Called by the handover link.

    def export_state(self) -> dict[str, Any]:
        """Return the server list and what the node has learned, as values that JSON can hold."""
        node = self.node
        addresses = {name: target.address for name, target in node.servers.endpoints.items()}
        servers = [
            (
                e.server,
                e.zone,
                e.cell,
                e.condition.value,
                e.started_at_us,
                addresses[e.server],
                e.size,
                e.kind,
            )
            for e in node.balancer.listed.values()
            if e.server in addresses
        ]
        stored_list = {"version": node.discovery.version, "servers": servers}
        recent = node.inquiries.recent.export()
        return {"list": stored_list, "learned": learned(node.balancer), "recent": recent}

    def descriptor(self) -> int:
        """Return the descriptor of the node's listening socket."""
        return self.node.callers.listening_descriptor()

    def request_started(self, digest: str) -> None:
        """Remember a request that the other process has sent to a server."""
        self.node.inquiries.recent.add(digest, clock())

    def maintenance_started(self, server: str) -> None:
        """Start the maintenance of a server that the other process has put into maintenance."""
        self.node.balancer.start_maintenance(server, force=True)

    def maintenance_ended(self, server: str) -> None:
        """End the maintenance of a server as the other process has."""
        self.node.balancer.end_maintenance(server)

    # Called by the link's `Ownership`.

    def accept(self, on: bool) -> None:
        """Accept new connections from now on, or leave them to the other process."""
        self.node.callers.set_accepting(on)

    def set_share(self, share: float) -> None:
        """Keep to this share of the node's limits."""
        self.node.set_share(share)
