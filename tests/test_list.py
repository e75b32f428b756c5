"""The list in the module: a change drawn by itself gives what drawing all anew would, for less."""

from __future__ import annotations

import sys
import unittest
from dataclasses import replace
from random import Random
from types import FrameType
from typing import Any
from zlib import crc32

from coraldeal.balance import COMPANY, WIDTH_ASKED, Balancer, Rotation, Server
from coraldeal.interface import Condition, Effect, Entry, Group, ListKind, RequestClass, Settings

SECOND = 1_000_000
ZONES = ("z0", "z1", "z2")
KINDS = ("", "m1", "m2")


class StillHost:
    """A clock, and acts that nothing comes of."""

    def __init__(self) -> None:
        self.now = 1_000 * SECOND

    def __getattr__(self, name: str) -> Any:
        return lambda *_, **__: None


def track(name: str, zones: tuple[str, ...] = (), kinds: tuple[str, ...] = ()) -> RequestClass:
    bound = {"zones": zones, "kinds": kinds}
    return RequestClass(name, Effect.IDEMPOTENT, Group.ALL, 0, SECOND, 2 * SECOND, 1.0, 0.0, **bound)


def settings(instances: int, peers: int = 0, zone: str = "z0", bound: bool = False) -> Settings:
    tracks = [track("read")]
    if bound:
        tracks += [track("near", zones=("z1", "z2")), track("big", zones=("z0",), kinds=("m1",))]
    return Settings(
        layer=0,
        instances=instances,
        self_index=instances // 3,
        tick_us=1_000,
        zone=zone,
        request_classes=tracks,
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
        crash_multiple=2.0,
        crash_window_us=SECOND,
        peers=peers,
    )


def names(servers: Any) -> list[str]:
    return [server.entry.server for server in servers]


def ordered(rotation: Rotation) -> list[str]:
    """The whole order in which attempts are dealt: who comes first, then the others."""
    return list(dict.fromkeys(names([*rotation.first, *rotation.ranked])))


class Changes(unittest.TestCase):
    """Draws from a seed, and beside them the rules of drawing said once more, plainly and for all servers."""

    def setUp(self) -> None:
        self.host = StillHost()

    def drawn_anew(self, balancer: Balancer, zones: tuple[str, ...], kinds: tuple[str, ...]) -> list[str]:
        rules = balancer.settings
        there = [
            entry
            for entry in balancer.listed.values()
            if entry.condition is Condition.READY
            and entry.server not in balancer.left_out
            and (not zones or entry.zone in zones)
            and (not kinds or entry.kind in kinds)
        ]
        own = sorted(
            there, key=lambda e: (e.zone != rules.zone, crc32(f"{balancer.seed} {e.server}".encode()))
        )
        width = max(WIDTH_ASKED if rules.peers > 1 else 2, -(-COMPANY * len(there) // rules.instances))
        first: list[Entry] = []
        if width < len(there):
            ring = [entry for entry in there if entry.zone == rules.zone] or there
            ring.sort(key=lambda e: crc32(e.server.encode()))
            at = int(balancer.place * len(ring))
            first = (ring[at:] + ring[:at])[:width]
        return [e.server for e in first] + [e.server for e in own if e not in first]

    def check(self, balancer: Balancer, known: dict[str, Server]) -> None:
        now = self.host.now
        for (zones, kinds), rotation in balancer.rotations.items():
            order = self.drawn_anew(balancer, zones, kinds)
            self.assertEqual(ordered(rotation), order)
            self.assertEqual(len(rotation.ranked), len(order))
            width = rotation.width
            awake = [name for name in order if balancer.servers[name].rest_until <= now]
            chosen = (awake if width < len(order) else order)[:width] or order[:width]
            self.assertEqual(names(rotation.servers), chosen)
            here = [name for name in chosen if balancer.servers[name].entry.zone == balancer.settings.zone]
            self.assertEqual(names(rotation.near), here)
        ready = {
            name: entry
            for name, entry in balancer.listed.items()
            if entry.condition is Condition.READY and name not in balancer.left_out
        }
        self.assertEqual({name: server.entry for name, server in balancer.servers.items()}, ready)
        for name, server in balancer.servers.items():
            if name in known and known[name].entry.started_at_us >= server.entry.started_at_us:
                self.assertIs(server, known[name], "what was learned of a server stays")
        if balancer.may_message:
            if ready:
                self.assertEqual(balancer.mean_size, sum(e.size for e in ready.values()) / len(ready))
            tags = {entry.tag: name for name, entry in ready.items()}
            self.assertEqual({tag: s.entry.server for tag, s in balancer.by_tag.items()}, tags)
        for kept in (balancer.books, balancer.asking):
            self.assertLessEqual(kept.keys(), balancer.by_tag.keys())

    def entry(self, draw: Random, most: int) -> Entry:
        conditions = (*[Condition.READY] * 5, Condition.DRAINING, Condition.GONE)
        return Entry(
            f"server-{draw.randrange(most)}",
            draw.choice(ZONES),
            0,
            draw.choice(conditions),
            draw.choice((0, 0, self.host.now, self.host.now - 9 * SECOND)),
            draw.choice((0.7, 1.0, 1.9)),
            draw.choice(KINDS),
        )

    def play(self, seed: int) -> None:
        draw = Random(seed)
        most = draw.choice((3, 12, 40))
        rules = settings(draw.choice((1, 4, 50)), draw.choice((0, 5)), bound=draw.random() < 0.5)
        balancer = Balancer(self.host, rules, seed)
        for _ in range(60):
            self.host.now += draw.randrange(2 * SECOND)
            known = dict(balancer.servers)
            act = draw.randrange(10)
            if act < 6:
                told = [self.entry(draw, most) for _ in range(draw.choice((0, 1, 1, 1, 3, most)))]
                balancer.servers_listed(ListKind.CHANGES, told)
            elif act == 6:
                told = [self.entry(draw, most) for _ in range(draw.randrange(2 * most))]
                balancer.servers_listed(draw.choice((ListKind.SNAPSHOT, ListKind.REMEMBERED)), told)
            elif act == 7:
                balancer.leave_out(f"server-{draw.randrange(most)}", sure=draw.random() < 0.3)
            elif act == 8:
                for name in list(balancer.left_out)[:2]:
                    before = balancer.listed.get(name)
                    balancer.put_back(name)
                    if before is not None and balancer.listed[name] != before:
                        known.pop(name, None)
            else:
                zone, peers = draw.choice((*ZONES, "elsewhere")), draw.choice((0, 5))
                balancer.settings_changed(settings(draw.choice((1, 4, 50)), peers, zone, draw.random() < 0.5))
            for server in balancer.servers.values():
                if draw.random() < 0.1:
                    server.rest_until = self.host.now + draw.randrange(3 * SECOND)
            balancer._draw_rotations(self.host.now)
            self.check(balancer, known)

    def test_one_change_gives_what_drawing_all_anew_gives(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                self.play(seed)

    def test_chance_is_drawn_in_the_lists_order(self) -> None:
        """Cold servers have part of an attempt by chance; the list's order decides, not the changes'."""
        entries = [Entry(f"server-{i}", "z0", 0, Condition.READY, 0) for i in range(5)]
        again = [replace(entries[i], started_at_us=self.host.now) for i in (4, 1)] + [
            Entry("new", "z0", 0, Condition.READY, self.host.now)
        ]
        balancer = Balancer(self.host, settings(1), 1)
        balancer.servers_listed(ListKind.SNAPSHOT, entries)
        draws = balancer.draws
        balancer.servers_listed(ListKind.CHANGES, again[::-1])
        drawn = [crc32(f"1 {draws + i}".encode()) / 2**32 for i in (1, 2, 3)]
        tokens = [balancer.servers[name].cold_tokens for name in ("server-1", "server-4", "new")]
        self.assertEqual(tokens, drawn)

    def steps_of_a_change(self, count: int) -> int:
        """Lines and calls that a drain among so many servers takes; comprehensions count for each turn."""
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
        self.assertNotIn(f"server-{count // 2}", names(balancer.whole.ranked))
        return steps

    def test_a_change_costs_no_pass_over_all_servers(self) -> None:
        few, many = self.steps_of_a_change(100), self.steps_of_a_change(3_000)
        # Finding a place among sorted ones takes five steps more for each side of it.
        self.assertLess(many, few + 100)


if __name__ == "__main__":
    unittest.main()
