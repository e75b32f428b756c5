"""What a handover means for a node: its state as another process reads it, and the terms as it keeps them."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from coraldeal.handover.link import Link
from coraldeal.handover.state import learned, resume
from coraldeal.interface import Condition, Entry, ListKind
from coraldeal.net.wire import ListEntry, ServerList

if TYPE_CHECKING:
    from coraldeal.net.node import Node

log = logging.getLogger(__name__)


def _shape(size: Any = 1.0, kind: Any = "") -> tuple[float, str]:
    """A server's size and kind; an elder of an earlier version tells neither, until the list does."""
    return float(size), str(kind)


class Succession:
    """One node's side of a handover."""

    def __init__(self, node: Node, folder: str) -> None:
        self.node = node
        config = node.config
        self.link = Link(self, folder, f"{config.name} {config.host}:{config.port}")

    async def begin(self) -> None:
        """Take over from an elder, if one answers, and listen."""
        listening, state = await self.link.find_elder()
        if state:
            self._resume(state)
            # What has changed since is asked for at once: the elder's news end with it.
            self.node.discovery.follow()
        config = self.node.config
        await self.node.callers.listen(config.host, config.port, listening, shared=True)

    def _resume(self, state: dict[str, Any]) -> None:
        try:
            told = state["list"]
            servers = [
                ListEntry(
                    Entry(str(name), str(zone), int(cell), Condition(condition), int(born), *_shape(*shape)),
                    str(address),
                )
                for name, zone, cell, condition, born, address, *shape in told["servers"]
            ]
            known = ServerList(int(told["version"]), True, servers)
            self.node.discovery.version = known.version
            self.node.apply_list(known, ListKind.REMEMBERED)
            resume(self.node.balancer, state["learned"])
        except (LookupError, TypeError, ValueError, AttributeError) as error:
            log.warning("begun without the elder's state", extra={"pairs": {"why": repr(error)}})

    # What the link asks.

    def state(self) -> dict[str, Any]:
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
        listed = {"version": node.discovery.version, "servers": servers}
        return {"list": listed, "learned": learned(node.balancer)}

    def descriptor(self) -> int:
        return self.node.callers.descriptor()

    def told_left_out(self, server: str) -> None:
        self.node.balancer.start_maintenance(server, force=True)

    def told_put_back(self, server: str) -> None:
        self.node.balancer.end_maintenance(server)

    # What the terms ask.

    def accept(self, on: bool) -> None:
        self.node.callers.accept(on)

    def take_part(self, part: float) -> None:
        self.node.set_share(part)
