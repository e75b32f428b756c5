"""Hollow nodes: `python -m coraldeal.rig.scale.hollow JOB`, many in one process.

Each plays a node's control side with the product's own classes: the watch (`Discovery`), the addresses
(`ServerPool`), the list in the module (`Balancer`) with its sweep. It has no callers, so no attempts either.
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
from coraldeal.config import NodeConfig, node_config
from coraldeal.interface import Condition, Entry, InquiryId, ListKind, PeerMessage, ServerId
from coraldeal.net.discovery import Discovery
from coraldeal.net.figures import Figures
from coraldeal.net.host import clock
from coraldeal.net.node import MAX_REWATCH_DELAY, MIN_REWATCH_DELAY
from coraldeal.net.servers import ServerPool
from coraldeal.net.wire import ServerList, parse_server_list
from coraldeal.rig.scale import books
from coraldeal.rig.scale.books import HollowBook, HollowJob, ListedRow, NodeBook, Told
from coraldeal.rig.scale.journal import sequence_of
from coraldeal.rig.scale.process import Process, orders, start

WORDS = {Condition.READY: "Ready", Condition.DRAINING: "Terminating", Condition.GONE: "Gone"}
# A list is waited for so long, in seconds.
LIST_WAIT = 60.0


def settings(name: str, zone: str, number: int, instances: int, address: str) -> dict[str, object]:
    """A node's configuration, hollow or real."""
    track = {
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
            "tracks": [track],
        },
    }


class Hollow:
    """A node without callers, and the module's `Host`: no inquiry comes, so most of it is never called."""

    def __init__(
        self,
        job: books.HollowNode,
        config: NodeConfig,
        offset_us: int,
        kept: str,
        on_list: Callable[[], None],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.seed = config.seed
        self.book = NodeBook(job.number, job.region, job.services)
        # The server that this node does not let go: a planted fault.
        self.kept = kept
        self.on_first: Callable[[], None] | None = on_list
        self.rewatch_wait = MIN_REWATCH_DELAY
        self.rewatch: asyncio.TimerHandle | None = None
        self.draws = 0
        read = partial(parse_server_list, offset_us=offset_us)
        # One address alone is the configuration's; several are the operator's `[lists]`.
        several = job.addresses if len(job.addresses) > 1 else ()
        self.discovery = Discovery(
            job.addresses[0], read, self.take_list, self.list_failed, job.services, several, str(config.seed)
        )
        self.servers = ServerPool(
            clock, config.conn_idle_us, config.connect_timeout_us, _nothing, self.may_send, Figures(())
        )
        self.balancer = Balancer(self, config.settings, config.seed)

    # As `Node` does.

    def take_list(self, told: ServerList) -> None:
        if self.kept:
            told = told._replace(servers=[
                listed for listed in told.servers
                if listed.entry.server != self.kept or listed.entry.condition is not Condition.GONE
            ])  # fmt: skip
        before = self.balancer.listed
        lost = self.servers.update_endpoints(told.servers, told.is_snapshot)
        self.rewatch_wait = MIN_REWATCH_DELAY
        kind = ListKind.SNAPSHOT if told.is_snapshot else ListKind.CHANGES
        gone = [Entry(server, "", 0, Condition.GONE, 0) for server in lost]
        self.balancer.servers_listed(kind, gone + [listed.entry for listed in told.servers])
        self.write_down(told, before)

    def list_failed(self) -> None:
        self.book.failures += 1
        self.draws += 1
        chance = crc32(f"{self.seed} watch {self.draws}".encode()) / 2**32
        if self.rewatch is not None:
            # One wait at a time, however many failures there were.
            self.rewatch.cancel()
        wait = self.rewatch_wait * (0.5 + chance)
        self.rewatch = self.loop.call_later(wait, self.discovery.follow)
        self.rewatch_wait = min(2 * self.rewatch_wait, MAX_REWATCH_DELAY)

    def may_send(self, server: ServerId) -> bool:
        return self.balancer.may_send(server)

    # Its book.

    def write_down(self, told: ServerList, before: dict[ServerId, Entry]) -> None:
        """What the module holds now of what it was told; of a whole list only what is not as before."""
        at_us = clock()
        if told.is_snapshot:
            self.book.wholes.append((at_us, told.version))
        if self.on_first is not None:
            self.on_first()
            self.on_first = None
            return
        for entry, _ in told.servers:
            held = self.balancer.listed.get(entry.server)
            if told.is_snapshot and before.get(entry.server) == held:
                continue
            word = WORDS[Condition.GONE if held is None else held.condition]
            row = ListedRow(at_us, entry.server, word, sequence_of((held or entry).size))
            self.book.rows.append(row)

    def close_book(self) -> NodeBook:
        listed = self.balancer.listed
        self.book.held = {
            name: (WORDS[entry.condition], sequence_of(entry.size)) for name, entry in listed.items()
        }
        return self.book

    # The module's host.

    @property
    def now(self) -> int:
        return clock()

    def send(self, inquiry: InquiryId, server: ServerId, timeout_us: int) -> None: ...

    def reject(self, inquiry: InquiryId, retry_after_us: int) -> None: ...

    def fail(self, inquiry: InquiryId) -> None: ...

    def cancel(self, inquiry: InquiryId, attempt: int) -> None: ...

    def send_to_peer(self, peer: int, message: PeerMessage) -> None: ...

    def wake(self, token: str, after_us: int) -> None:
        self.loop.call_later(after_us / 1e6, self._alarm, token)

    def _alarm(self, token: str) -> None:
        self.balancer.alarm(token)

    def follow_list(self) -> None:
        self.discovery.follow()

    def log(self, text: str) -> None: ...


def _nothing() -> None:
    """No descriptor is short: there are no attempts."""


async def main(path: Path) -> None:
    # Thousands of nodes in one process would write the same line each.
    logging.basicConfig(level=logging.ERROR)
    process = Process(await orders())
    job = books.read(path, HollowJob)
    offset_us = time.time_ns() // 1000 - clock()
    awaited = len(job.nodes)
    all_there = asyncio.Event()

    def one_there() -> None:
        nonlocal awaited
        awaited -= 1
        if not awaited:
            all_there.set()

    plant = job.plant if job.plant is not None and job.plant.kind == "keep-gone" else None
    one = node_config(settings("hollow", "", 0, 1, "127.0.0.1:1"), {})
    nodes = []
    for node in job.nodes:
        seed = crc32(f"{job.seed} hollow {node.number}".encode())
        config = replace(one, seed=seed, settings=replace(one.settings, zone=node.zone))
        kept = plant.server if plant is not None and plant.follower == node.number else ""
        hollow = Hollow(node, config, offset_us, kept, one_there)
        nodes.append(hollow)
        hollow.discovery.follow()
        await asyncio.sleep(1 / job.opened_per_s)
    await asyncio.wait_for(all_there.wait(), LIST_WAIT)
    gc.collect()
    gc.freeze()
    process.tell(Told())
    order = await process.order()
    if not order.stop:
        await process.begun(order)
        while not (await process.order()).stop:
            pass
    cpu_s, late_us = process.cpu_s(), process.late_us
    books.write(Path(job.book), HollowBook([node.close_book() for node in nodes], cpu_s, late_us))


if __name__ == "__main__":
    start(main(Path(sys.argv[1])))
