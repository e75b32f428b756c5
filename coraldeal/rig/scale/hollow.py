"""Hollow nodes: `python -m coraldeal.rig.scale.hollow JOB` runs many of them in one process.

A hollow node runs the control side of a node with the product's own classes: the watch (`Discovery`), the
addresses (`Servers`), and the list in the decision module (`Balancer`) with its sweep. It has no callers and
so makes no attempts.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from zlib import crc32

from coraldeal.balance import Balancer
from coraldeal.config import NodeConfig, parse_node_config
from coraldeal.interface import Condition, Entry, InquiryId, ListKind, PeerMessage, ServerId
from coraldeal.net.counters import Counters
from coraldeal.net.discovery import Discovery
from coraldeal.net.host import clock
from coraldeal.net.node import MAX_REWATCH_DELAY, MIN_REWATCH_DELAY
from coraldeal.net.servers import ServerPool
from coraldeal.net.wire import ServerList, parse_server_list
from coraldeal.rig.scale import records
from coraldeal.rig.scale.journal import decode_sequence
from coraldeal.rig.scale.process import Process, open_orders, start
from coraldeal.rig.scale.records import AppliedRecord, HollowJob, HollowRecords, NodeRecords, ReadyMessage

LIFECYCLES = {Condition.READY: "Ready", Condition.DRAINING: "Terminating", Condition.GONE: "Gone"}
# How long a process waits until all its nodes have their first list, in seconds.
FIRST_LIST_TIMEOUT = 60.0


def node_settings(name: str, zone: str, number: int, instances: int, address: str) -> dict[str, object]:
    """The configuration of a hollow or a real node that asks for its list at `address`."""
    request_class = {
        "name": "read",
        "effect": "retryable",
        "expected_time_ns": 500_000_000,
        "patience_ns": 1_000_000_000,
        "payoff": 1.0,
    }
    return {
        "name": name,
        "listen": "127.0.0.1:0",
        "discovery": address,
        "seed": f"{number + 1:x}",
        "settings": {
            "layer": 0,
            "instances": instances,
            "self_index": number % instances,
            "zone": zone,
            "discovery": "push",
            "tracks": [request_class],
        },
    }


class HollowNode:
    """A node without callers, and the `Host` of its decision module.

    No inquiry comes, so most methods of the host are never called.
    """

    def __init__(
        self,
        job: records.HollowNodeJob,
        config: NodeConfig,
        offset_us: int,
        retained_server: str,
        on_first_list: Callable[[], None],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.seed = config.seed
        self.records = NodeRecords(job.number, job.region, job.services)
        # A planted fault: the server that this node keeps when it is gone; empty: none.
        self.retained_server = retained_server
        self.on_first_list: Callable[[], None] | None = on_first_list
        self.rewatch_wait = MIN_REWATCH_DELAY
        self.rewatch_timer: asyncio.TimerHandle | None = None
        self.wait_draws = 0
        read = partial(parse_server_list, offset_us=offset_us)
        # A single address stands in the configuration; several are the `[lists]` of the operator's file.
        list_sources = job.addresses if len(job.addresses) > 1 else ()
        self.discovery = Discovery(
            job.addresses[0],
            read,
            self.apply_list,
            self.handle_list_failure,
            job.services,
            list_sources,
            str(config.seed),
        )
        self.servers = ServerPool(
            clock, config.conn_idle_us, config.connect_timeout_us, _nothing, self.may_send, Counters(())
        )
        self.balancer = Balancer(self, config.settings, config.seed)

    # The handling of lists, as in `Node`.

    def apply_list(self, received: ServerList) -> None:
        """Apply a full list or changes to the addresses and to the decision module."""
        if self.retained_server:
            received = received._replace(servers=[
                listed for listed in received.servers
                if listed.entry.server != self.retained_server or listed.entry.condition is not Condition.GONE
            ])  # fmt: skip
        before = self.balancer.listed
        lost = self.servers.update_endpoints(received.servers, received.is_snapshot)
        self.rewatch_wait = MIN_REWATCH_DELAY
        kind = ListKind.SNAPSHOT if received.is_snapshot else ListKind.CHANGES
        gone = [Entry(server, "", 0, Condition.GONE, 0) for server in lost]
        self.balancer.servers_listed(kind, gone + [listed.entry for listed in received.servers])
        self.record_list(received, before)

    def handle_list_failure(self) -> None:
        """Schedule a new watch after a wait that grows with each failure."""
        self.records.failures += 1
        self.wait_draws += 1
        chance = crc32(f"{self.seed} watch {self.wait_draws}".encode()) / 2**32
        if self.rewatch_timer is not None:
            # Only one timer runs at a time, however many failures there were.
            self.rewatch_timer.cancel()
        wait = self.rewatch_wait * (0.5 + chance)
        self.rewatch_timer = self.loop.call_later(wait, self.discovery.follow)
        self.rewatch_wait = min(2 * self.rewatch_wait, MAX_REWATCH_DELAY)

    def may_send(self, server: ServerId) -> bool:
        """Whether the decision module may send to this server."""
        return self.balancer.may_send(server)

    # Records.

    def record_list(self, received: ServerList, before: dict[ServerId, Entry]) -> None:
        """Record the state that the module now holds of each received server.

        Of a full list, only the servers whose state has changed are recorded; of the first list, none.
        """
        at_us = clock()
        if received.is_snapshot:
            self.records.full_lists.append((at_us, received.version))
        if self.on_first_list is not None:
            self.on_first_list()
            self.on_first_list = None
            return
        for entry, _ in received.servers:
            held = self.balancer.listed.get(entry.server)
            if received.is_snapshot and before.get(entry.server) == held:
                continue
            lifecycle = LIFECYCLES[Condition.GONE if held is None else held.condition]
            record = AppliedRecord(at_us, entry.server, lifecycle, decode_sequence((held or entry).size))
            self.records.applied.append(record)

    def finish_records(self) -> NodeRecords:
        """Add what the node holds at the end to its records, and return them."""
        listed = self.balancer.listed
        self.records.final_servers = {
            name: (LIFECYCLES[entry.condition], decode_sequence(entry.size)) for name, entry in listed.items()
        }
        return self.records

    # The host of the decision module (see `Host`). The methods for inquiries and peers do nothing.

    @property
    def now(self) -> int:
        """The monotonic clock in microseconds."""
        return clock()

    def send(self, inquiry: InquiryId, server: ServerId, timeout_us: int) -> None:
        """Do nothing: no inquiry comes, so no attempt is started."""

    def reject(self, inquiry: InquiryId, retry_after_us: int) -> None:
        """Do nothing: there is no inquiry to reject."""

    def fail(self, inquiry: InquiryId) -> None:
        """Do nothing: there is no inquiry to fail."""

    def cancel(self, inquiry: InquiryId, attempt: int) -> None:
        """Do nothing: there is no attempt to cancel."""

    def send_to_peer(self, peer: int, message: PeerMessage) -> None:
        """Drop the message: a hollow node has no peer transport."""

    def wake(self, token: str, after_us: int) -> None:
        """Call the module with this token after a time."""
        self.loop.call_later(after_us / 1e6, self._alarm, token)

    def _alarm(self, token: str) -> None:
        self.balancer.alarm(token)

    def follow_list(self) -> None:
        """Start a watch, or a call for the list."""
        self.discovery.follow()

    def log(self, text: str) -> None:
        """Drop the log line."""


def _nothing() -> None:
    """Do nothing at a shortage of descriptors: there are no attempts and so no shortage."""


async def main(path: Path) -> None:
    """Run hollow nodes by the job in this file, and write their records at the order to stop."""
    # A warning would be repeated by thousands of nodes.
    logging.basicConfig(level=logging.ERROR)
    process = Process(await open_orders())
    job = records.read(path, HollowJob)
    offset_us = time.time_ns() // 1000 - clock()
    nodes_without_list = len(job.nodes)
    all_have_lists = asyncio.Event()

    def count_first_list() -> None:
        nonlocal nodes_without_list
        nodes_without_list -= 1
        if not nodes_without_list:
            all_have_lists.set()

    plant = job.plant if job.plant is not None and job.plant.kind == "keep-gone" else None
    base_config = parse_node_config(node_settings("hollow", "", 0, 1, "127.0.0.1:1"), {})
    nodes = []
    for node_job in job.nodes:
        seed = crc32(f"{job.seed} hollow {node_job.number}".encode())
        config = replace(base_config, seed=seed, settings=replace(base_config.settings, zone=node_job.zone))
        retained_server = plant.server if plant is not None and plant.follower == node_job.number else ""
        hollow = HollowNode(node_job, config, offset_us, retained_server, count_first_list)
        nodes.append(hollow)
        hollow.discovery.follow()
        await asyncio.sleep(1 / job.opened_per_s)
    await asyncio.wait_for(all_have_lists.wait(), FIRST_LIST_TIMEOUT)
    gc.collect()
    gc.freeze()
    process.send_ready(ReadyMessage())
    order = await process.read_order()
    if not order.stop:
        await process.wait_for_start(order)
        while not (await process.read_order()).stop:
            pass
    cpu_s, late_us = process.cpu_s(), process.late_us
    records.write(Path(job.book), HollowRecords([node.finish_records() for node in nodes], cpu_s, late_us))


if __name__ == "__main__":
    start(main(Path(sys.argv[1])))
