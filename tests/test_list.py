"""The server list in the decisions: applying a change gives what a complete update would, at less cost."""

from __future__ import annotations

import sys
import unittest
from dataclasses import replace
from random import Random
from types import FrameType
from typing import Any
from zlib import crc32

from coraldeal.balance import MIN_QUERIED_SUBSET, NODES_PER_SERVER, Balancer, Server, Subset
from coraldeal.interface import Condition, Effect, Entry, Group, ListKind, RequestClass, Settings

SECOND = 1_000_000
ZONES = ("z0", "z1", "z2")
KINDS = ("", "m1", "m2")


class StillHost:
    """A clock that the test moves, and acts without effect."""

    def __init__(self) -> None:
        self.now = 1_000 * SECOND

    def __getattr__(self, name: str) -> Any:
        return lambda *_, **__: None


def request_class(name: str, zones: tuple[str, ...] = (), kinds: tuple[str, ...] = ()) -> RequestClass:
    placement = {"zones": zones, "kinds": kinds}
    return RequestClass(name, Effect.IDEMPOTENT, Group.ALL, 0, SECOND, 2 * SECOND, 1.0, 0.0, **placement)


def settings(instances: int, peers: int = 0, zone: str = "z0", has_placements: bool = False) -> Settings:
    request_classes = [request_class("read")]
    if has_placements:
        request_classes += [
            request_class("near", zones=("z1", "z2")),
            request_class("big", zones=("z0",), kinds=("m1",)),
        ]
    return Settings(
        layer=0,
        instances=instances,
        self_index=instances // 3,
        tick_us=1_000,
        zone=zone,
        request_classes=request_classes,
        tenants=[],
        beyond_share_worth=0.05,
        list_is_pulled=False,
        pull_interval_us=10 * SECOND,
        max_attempts=3,
        may_cancel=True,
        may_send_retry_after=True,
        max_retry_after_us=SECOND,
        cold_capacity=0.25,
        warm_up_us=8 * SECOND,
        collapse_multiple=2.0,
        collapse_window_us=SECOND,
        peers=peers,
    )


def names(servers: Any) -> list[str]:
    return [server.entry.server for server in servers]


def ordered(subset: Subset) -> list[str]:
    """The node's order of servers: the preferred ones, then the others."""
    return list(dict.fromkeys(names([*subset.preferred, *subset.ranked])))


class Changes(unittest.TestCase):
    """Random changes, compared with the rules of the subsets written plainly, for all servers at once."""

    def setUp(self) -> None:
        self.host = StillHost()

    def expected_order(self, balancer: Balancer, zones: tuple[str, ...], kinds: tuple[str, ...]) -> list[str]:
        rules = balancer.settings
        permitted = [
            entry
            for entry in balancer.listed.values()
            if entry.condition is Condition.READY
            and entry.server not in balancer.in_maintenance
            and (not zones or entry.zone in zones)
            and (not kinds or entry.kind in kinds)
        ]
        ranked = sorted(
            permitted, key=lambda e: (e.zone != rules.zone, crc32(f"{balancer.seed} {e.server}".encode()))
        )
        width = max(
            MIN_QUERIED_SUBSET if rules.peers > 1 else 2,
            -(-NODES_PER_SERVER * len(permitted) // rules.instances),
        )
        preferred: list[Entry] = []
        if width < len(permitted):
            ring = [entry for entry in permitted if entry.zone == rules.zone] or permitted
            ring.sort(key=lambda e: crc32(e.server.encode()))
            at = int(balancer.ring_position * len(ring))
            preferred = (ring[at:] + ring[:at])[:width]
        return [e.server for e in preferred] + [e.server for e in ranked if e not in preferred]

    def check(self, balancer: Balancer, before: dict[str, Server]) -> None:
        now = self.host.now
        for (zones, kinds), subset in balancer.subsets.items():
            order = self.expected_order(balancer, zones, kinds)
            self.assertEqual(ordered(subset), order)
            self.assertEqual(len(subset.ranked), len(order))
            width = subset.size
            usable = [name for name in order if balancer.servers[name].ejected_until <= now]
            chosen = (usable if width < len(order) else order)[:width] or order[:width]
            self.assertEqual(names(subset.servers), chosen)
            local = [name for name in chosen if balancer.servers[name].entry.zone == balancer.settings.zone]
            self.assertEqual(names(subset.local_servers), local)
        ready = {
            name: entry
            for name, entry in balancer.listed.items()
            if entry.condition is Condition.READY and name not in balancer.in_maintenance
        }
        self.assertEqual({name: server.entry for name, server in balancer.servers.items()}, ready)
        for name, server in balancer.servers.items():
            if name in before and before[name].entry.started_at_us >= server.entry.started_at_us:
                self.assertIs(server, before[name], "what was learned about a server stays")
        if balancer.has_peers:
            if ready:
                self.assertEqual(balancer.mean_size, sum(e.size for e in ready.values()) / len(ready))
            tags = {entry.tag: name for name, entry in ready.items()}
            self.assertEqual({tag: s.entry.server for tag, s in balancer.servers_by_tag.items()}, tags)
        for by_tag in (balancer.in_flight_counts, balancer.pending_queries):
            self.assertLessEqual(by_tag.keys(), balancer.servers_by_tag.keys())

    def entry(self, draw: Random, count: int) -> Entry:
        conditions = (*[Condition.READY] * 5, Condition.DRAINING, Condition.GONE)
        return Entry(
            f"server-{draw.randrange(count)}",
            draw.choice(ZONES),
            0,
            draw.choice(conditions),
            draw.choice((0, 0, self.host.now, self.host.now - 9 * SECOND)),
            draw.choice((0.7, 1.0, 1.9)),
            draw.choice(KINDS),
        )

    def play(self, seed: int) -> None:
        draw = Random(seed)
        count = draw.choice((3, 12, 40))
        rules = settings(draw.choice((1, 4, 50)), draw.choice((0, 5)), has_placements=draw.random() < 0.5)
        balancer = Balancer(self.host, rules, seed)
        for _ in range(60):
            self.host.now += draw.randrange(2 * SECOND)
            before = dict(balancer.servers)
            act = draw.randrange(10)
            if act < 6:
                entries = [self.entry(draw, count) for _ in range(draw.choice((0, 1, 1, 1, 3, count)))]
                balancer.servers_listed(ListKind.CHANGES, entries)
            elif act == 6:
                entries = [self.entry(draw, count) for _ in range(draw.randrange(2 * count))]
                balancer.servers_listed(draw.choice((ListKind.SNAPSHOT, ListKind.REMEMBERED)), entries)
            elif act == 7:
                balancer.start_maintenance(f"server-{draw.randrange(count)}", force=draw.random() < 0.3)
            elif act == 8:
                for name in list(balancer.in_maintenance)[:2]:
                    old_entry = balancer.listed.get(name)
                    balancer.end_maintenance(name)
                    if old_entry is not None and balancer.listed[name] != old_entry:
                        before.pop(name, None)
            else:
                zone, peers = draw.choice((*ZONES, "elsewhere")), draw.choice((0, 5))
                balancer.settings_changed(settings(draw.choice((1, 4, 50)), peers, zone, draw.random() < 0.5))
            for server in balancer.servers.values():
                if draw.random() < 0.1:
                    server.ejected_until = self.host.now + draw.randrange(3 * SECOND)
            balancer._update_subsets(self.host.now)
            self.check(balancer, before)

    def test_changes_give_the_same_servers_as_a_complete_update(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                self.play(seed)

    def test_random_tokens_follow_the_order_of_the_list(self) -> None:
        """A cold server starts with a random part of a token, drawn in the list's order, not the changes'."""
        entries = [Entry(f"server-{i}", "z0", 0, Condition.READY, 0) for i in range(5)]
        changed = [replace(entries[i], started_at_us=self.host.now) for i in (4, 1)] + [
            Entry("new", "z0", 0, Condition.READY, self.host.now)
        ]
        balancer = Balancer(self.host, settings(1), 1)
        balancer.servers_listed(ListKind.SNAPSHOT, entries)
        draws = balancer.draws
        balancer.servers_listed(ListKind.CHANGES, changed[::-1])
        expected = [crc32(f"1 {draws + i}".encode()) / 2**32 for i in (1, 2, 3)]
        tokens = [balancer.servers[name].slow_start_tokens for name in ("server-1", "server-4", "new")]
        self.assertEqual(tokens, expected)

    def steps_of_a_change(self, count: int) -> int:
        """The lines and calls executed for a drain among this many servers, comprehensions included."""
        balancer = Balancer(self.host, settings(instances=count, zone="z0"), 1)
        entries = [Entry(f"server-{i}", f"z{i // 20}", 0, Condition.READY, 0) for i in range(count)]
        balancer.servers_listed(ListKind.SNAPSHOT, entries)
        steps = 0

        def step(frame: FrameType, event: str, arg: Any) -> Any:
            nonlocal steps
            steps += 1
            return step

        before = sys.gettrace()
        sys.settrace(step)
        try:
            balancer.servers_listed(
                ListKind.CHANGES, [replace(entries[count // 2], condition=Condition.DRAINING)]
            )
        finally:
            sys.settrace(before)
        self.assertNotIn(f"server-{count // 2}", names(balancer.default_subset.ranked))
        return steps

    def test_change_takes_no_pass_over_all_servers(self) -> None:
        few, many = self.steps_of_a_change(100), self.steps_of_a_change(3_000)
        # A binary search among thirty times as many servers takes five steps more; there are several.
        self.assertLess(many, few + 100)


if __name__ == "__main__":
    unittest.main()
