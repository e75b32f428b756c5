"""A node's side of a handover: exports and restores its state, and applies changes of ownership to it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from coraldeal.handover.link import HandoverLink
from coraldeal.handover.state import learned, resume, resume_maintenance
from coraldeal.interface import ListKind, ServerId
from coraldeal.net.handed_over_list import HandedOverList, encode_list, parse_list
from coraldeal.net.host import clock
from coraldeal.precedence import UNKNOWN_ORIGIN, replaces_own_list

if TYPE_CHECKING:
    from coraldeal.net.node import Node

log = logging.getLogger(__name__)


class NodeHandover:
    """Connects one node with its predecessor and its successors."""

    def __init__(self, node: Node, folder: str) -> None:
        self.node = node
        config = node.config
        # The servers that still are the processes that the predecessor knew.
        self.unchanged_servers: list[ServerId] = []
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
        """Take over each part of the state that can be read; the others don't suffer from one that can't."""
        for part, take_over in (
            ("list", self._take_over_list),
            ("learned", self._take_over_learned),
            ("maintenance", self._take_over_maintenance),
            ("recent", self._take_over_recent),
        ):
            try:
                take_over(state)
            except (LookupError, TypeError, ValueError, AttributeError) as error:
                pairs = {"part": part, "why": repr(error)}
                log.warning("begun without the elder's state", extra={"pairs": pairs})

    def _take_over_list(self, state: dict[str, Any]) -> None:
        """Apply the predecessor's list if it takes precedence over the one that this process has by now."""
        handed_over = parse_list(state["list"])
        discovery = self.node.discovery
        stamp = handed_over.stamp
        is_applied = replaces_own_list(stamp, discovery.stamp, discovery.origin, discovery.is_watching)
        self._log_lists(handed_over, is_applied)
        own_list = self.node.current_list()
        changed = self.node.starts.hand_over(handed_over.starts(), is_applied)
        if is_applied:
            discovery.list_handed_over(stamp, own_list)
            self.node.apply_list(handed_over.server_list, ListKind.REMEMBERED)
        else:
            self.node.apply_start_times(changed)
        if stamp.origin not in (UNKNOWN_ORIGIN, discovery.origin):
            # The configured list is one that the node had before, so its version is of that origin, too.
            discovery.require_snapshot()
        self.unchanged_servers = self._servers_unchanged_since(handed_over)

    def _take_over_learned(self, state: dict[str, Any]) -> None:
        resume(self.node.balancer, state["learned"], self.unchanged_servers)

    def _take_over_maintenance(self, state: dict[str, Any]) -> None:
        resume_maintenance(self.node.balancer, state["learned"])

    def _take_over_recent(self, state: dict[str, Any]) -> None:
        # A predecessor of an earlier version sends none.
        self.node.inquiries.recent.restore(state.get("recent", []))

    def _servers_unchanged_since(self, handed_over: HandedOverList) -> list[ServerId]:
        """Return the servers that still are the processes that the predecessor knew."""
        listed = self.node.balancer.listed
        return [
            entry.server
            for entry, _ in handed_over.server_list.servers
            if entry.server in listed and listed[entry.server].started_at_us == entry.started_at_us
        ]

    def _log_lists(self, handed_over: HandedOverList, is_applied: bool) -> None:
        """Log the predecessor's list beside this process's own: which of them is newer, and who was told."""
        discovery = self.node.discovery
        own = discovery.stamp
        pairs = {
            "version": handed_over.stamp.version,
            "origin": handed_over.stamp.origin,
            "told": handed_over.stamp.is_told,
            "own_version": own.version,
            "own_origin": own.origin,
            "own_told": own.is_told,
            "watch": discovery.is_watching,
            "calls": len(discovery.calls),
            "applied": is_applied,
        }
        log.info("list of the predecessor", extra={"pairs": pairs})

    # Called by the handover link.

    def export_state(self) -> dict[str, Any]:
        """Return the server list and what the node has learned, as values that JSON can hold."""
        node = self.node
        # The version is the one to continue from, which the list may have no more.
        stamp = node.discovery.stamp._replace(version=node.discovery.version)
        stored_list = encode_list(node.current_list(), stamp)
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
