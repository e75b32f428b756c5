"""Which server list is in force when a successor has one from discovery and one from its predecessor.

They guard against an older list in place of a newer one, which shows as requests to servers that drain. Both
orders of arrival are forced.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, replace
from itertools import product
from typing import Any
from unittest import mock
from urllib.parse import parse_qs, urlsplit

from coraldeal.handover import link as link_module
from coraldeal.handover.state import learned
from coraldeal.net.handed_over_list import encode_list
from coraldeal.net.host import clock
from coraldeal.net.node import Node
from coraldeal.net.wire import parse_server_list
from coraldeal.precedence import ListStamp, replaces_own_list
from tests.standins import CHUNKED_HEAD, Message, Point, RunningNode, StandIn, chunked, config, entry, until
from tests.two_processes import TwoProcessesCase

# What discovery answers to a watch that is to continue from this version (None: from the start).
ListAnswer = Callable[[int | None], dict[str, Any]]
# The version of the list that the processes are started with.
KNOWN_VERSION = 4


def entries_of(**lifecycles: str) -> list[dict[str, Any]]:
    """Return the entries of these servers."""
    return [entry(name, f"127.0.0.1:{9 + int(name[1:])}", state) for name, state in lifecycles.items()]


def whole_list(version: int, **lifecycles: str) -> dict[str, Any]:
    """Return a whole list of s0 to s2, all ready but for those named."""
    entries = entries_of(**{"s0": "Ready", "s1": "Ready", "s2": "Ready", **lifecycles})
    return {"generation": version, "reset": True, "instances": entries}


def changes(version: int, **lifecycles: str) -> dict[str, Any]:
    """Return changes of these servers alone."""
    return {"generation": version, "reset": False, "instances": entries_of(**lifecycles)}


def at_version(version: int, **lifecycles: str) -> ListAnswer:
    """Return the answers of a discovery that has reached this version, by these changes of the known one.

    A watch that is to continue a version that it has not reached gets a whole list.
    """

    def answer(after: int | None) -> dict[str, Any]:
        can_continue = after is not None and after <= version
        return changes(version, **lifecycles) if can_continue else whole_list(version, **lifecycles)

    return answer


class DiscoveryStandIn(StandIn):
    """A discovery that answers each watch with one list, and says nothing more on it."""

    def __init__(self, answer: ListAnswer) -> None:
        super().__init__(self._watch)
        self.answer = answer
        # The version that each watch was to continue from.
        self.asked_after: list[int | None] = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.watches: list[asyncio.StreamWriter] = []

    def end_watches(self) -> None:
        """Close the connections of all watches that were answered."""
        for writer in self.watches:
            writer.close()

    def tell(self, update: dict[str, Any]) -> None:
        """Send an update on all watches that were answered."""
        for writer in self.watches:
            writer.write(chunked(json.dumps(update).encode()))

    async def _watch(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        query = parse_qs(urlsplit(request.line.split()[1]).query)
        after = int(query["after"][0]) if "after" in query else None
        self.asked_after.append(after)
        await self.may_answer.wait()
        writer.write(CHUNKED_HEAD + chunked(json.dumps(self.answer(after)).encode()))
        self.watches.append(writer)
        await reader.read()


@dataclass(frozen=True)
class Upgrade:
    """Two processes of one node, both answered by discovery, and the successor by its predecessor, too."""

    # The successor's discovery.
    discovery: DiscoveryStandIn
    predecessor: Node
    successor: Node


def may_be_succeeded(node: Node) -> bool:
    """Return whether a process is told, and listens for a successor."""
    return (
        node.discovery.is_watching and node.handover is not None and node.handover.link.listening is not None
    )


class HandedOverListCase(TwoProcessesCase):
    """A predecessor whose list may be old, and a successor beside it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.enterContext(mock.patch.object(link_module, "PREDECESSOR_TIMEOUT", 5.0))
        self.state_point = Point()
        send_state = link_module.HandoverLink._serve_successor

        async def send_state_later(link: link_module.HandoverLink, connection: Any) -> None:
            await self.state_point.stop()
            await send_state(link, connection)

        self.enterContext(mock.patch.object(link_module.HandoverLink, "_serve_successor", send_state_later))

    async def discovery(self, answer: ListAnswer) -> DiscoveryStandIn:
        """Start a discovery that answers so."""
        discovery = DiscoveryStandIn(answer)
        await discovery.start()
        self.addCleanup(discovery.stop)
        return discovery

    def process(self, discovery: StandIn, known: dict[str, Any], **options: Any) -> RunningNode:
        """Return a process of the node that is not started yet."""
        options = {"pushed": True, **options}
        node_config = config(known, discovery.address, **options)
        return RunningNode(replace(node_config, operator=("127.0.0.1", 0), port=self.port))

    @asynccontextmanager
    async def upgrade(
        self,
        told_first: bool,
        predecessor_answer: ListAnswer,
        answer: ListAnswer,
        known: dict[str, Any] | None = None,
        moves: bool = False,
        change: Callable[[Node], None] = lambda node: None,
        **options: Any,
    ) -> AsyncIterator[Upgrade]:
        """Start a predecessor and a successor, which discovery answers so; yield when both have answered.

        `told_first` says whether discovery or the predecessor answers the successor first; `moves` gives the
        successor another discovery than the predecessor's; `change` is called with the predecessor before the
        successor starts. The options are those of `config`, for both.
        """
        self.state_point.go.clear()
        self.state_point.reached.clear()
        discovery = await self.discovery(predecessor_answer)
        async with AsyncExitStack() as stack:
            predecessor = await stack.enter_async_context(
                self.process(discovery, whole_list(KNOWN_VERSION), **options)
            )
            await until(lambda: may_be_succeeded(predecessor.node))
            change(predecessor.node)
            if moves:
                discovery = await self.discovery(answer)
            discovery.answer = answer
            discovery.asked_after.clear()
            discovery.may_answer.clear()
            successor = self.process(discovery, known or whole_list(KNOWN_VERSION), **options)
            starting = asyncio.create_task(stack.enter_async_context(successor))
            await until(self.state_point.reached.is_set)
            if told_first:
                discovery.may_answer.set()
                await until(lambda: successor.node.discovery.is_watching)
            self.state_point.go.set()
            await starting
            discovery.may_answer.set()
            await until(lambda: successor.node.discovery.is_watching)
            yield Upgrade(discovery, predecessor.node, successor.node)


class HandedOverLists(HandedOverListCase):
    async def check_both_orders(
        self, predecessor_answer: ListAnswer, answer: ListAnswer, version: int, usable: list[str]
    ) -> None:
        """Check what the successor uses, and that it made one call, whoever answered it first.

        Lists are pushed, and asked for.
        """
        for told_first, pushed in product((True, False), (True, False)):
            with self.subTest(told_first=told_first, pushed=pushed):
                async with self.upgrade(told_first, predecessor_answer, answer, pushed=pushed) as upgrade:
                    self.assertEqual([*upgrade.successor.balancer.servers], usable)
                    self.assertEqual(upgrade.successor.discovery.version, version)
                    self.assertEqual(len(upgrade.discovery.asked_after), 1)

    async def test_drain_told_to_the_successor_stays_behind_the_predecessors_older_list(self) -> None:
        # The predecessor's watch is silent, so that its list is one version behind.
        await self.check_both_orders(
            lambda after: changes(KNOWN_VERSION),
            lambda after: changes(KNOWN_VERSION + 1, s0="Terminating"),
            KNOWN_VERSION + 1,
            ["s1", "s2"],
        )

    async def test_whole_list_told_to_the_successor_stays_behind_the_predecessors_older_list(self) -> None:
        # The predecessor uses s2, which is gone.
        await self.check_both_orders(
            lambda after: changes(KNOWN_VERSION),
            lambda after: {**whole_list(7), "instances": entries_of(s0="Ready", s1="Terminating")},
            7,
            ["s0"],
        )

    async def test_answer_without_changes_confirms_the_list_that_it_continues(self) -> None:
        # The predecessor's watch told of a version that discovery, restarted since, has not reached again.
        await self.check_both_orders(
            lambda after: changes(9, s1="Terminating"),
            at_version(KNOWN_VERSION),
            KNOWN_VERSION,
            ["s0", "s1", "s2"],
        )

    async def test_changes_are_applied_to_the_list_that_they_continue(self) -> None:
        # As above, and discovery has told of another drain since.
        await self.check_both_orders(
            lambda after: changes(9, s1="Terminating"),
            at_version(KNOWN_VERSION + 1, s0="Terminating"),
            KNOWN_VERSION + 1,
            ["s1", "s2"],
        )

    async def test_list_of_higher_version_is_used_until_discovery_answers(self) -> None:
        discovery = await self.discovery(lambda after: changes(6, s0="Terminating"))
        predecessor = await self.enterAsyncContext(self.process(discovery, whole_list(KNOWN_VERSION)))
        await until(lambda: may_be_succeeded(predecessor.node))
        discovery.may_answer.clear()
        self.state_point.go.set()
        for known_version, usable in ((KNOWN_VERSION, ["s1", "s2"]), (7, ["s0", "s1", "s2"])):
            with self.subTest(known_version=known_version):
                async with self.process(discovery, whole_list(known_version)) as successor:
                    self.assertEqual([*successor.node.balancer.servers], usable)


class Precedence(unittest.TestCase):
    """Whether a predecessor's list replaces the own one of a process that follows origin `a`."""

    def test_list_that_was_told_goes_before_one_of_a_configuration(self) -> None:
        for handed_over, own, expected in (
            # Neither was told: the version decides, or the process's own configuration.
            (ListStamp("a", 4), ListStamp("a", 4), True),
            (ListStamp("a", 3), ListStamp("a", 4), False),
            (ListStamp("a", -1), ListStamp("a", 4), True),
            (ListStamp("b", 9), ListStamp("a", 4), False),
            (ListStamp("b", 9), ListStamp("a", -1), True),
            # One was told.
            (ListStamp("b", 3, 1), ListStamp("a", 4), True),
            (ListStamp("a", 9), ListStamp("a", 4, 1), False),
            (ListStamp("", 9), ListStamp("a", 4, 1), False),
            (ListStamp("", 4), ListStamp("a", 4), True),
            # Both were told.
            (ListStamp("a", 5, 2), ListStamp("a", 4, 1), True),
            (ListStamp("a", 4, 2), ListStamp("a", 4, 1), False),
            (ListStamp("a", 5, 1), ListStamp("a", 4, 2), False),
            (ListStamp("a", 5, 2), ListStamp("a", -1, 1), False),
            (ListStamp("b", 5, 2), ListStamp("a", 4, 1), False),
            # The own list is of the origin before the last reload.
            (ListStamp("a", 5, 1), ListStamp("b", 4, 2), True),
            (ListStamp("c", 5, 2), ListStamp("b", 4, 1), False),
        ):
            with self.subTest(handed_over=handed_over, own=own):
                self.assertEqual(replaces_own_list(handed_over, own, "a", is_watching=False), expected)
                if own.is_told and own.origin == "a":
                    self.assertFalse(replaces_own_list(handed_over, own, "a", is_watching=True))


def stored(version: int, told_at_us: int, origin: str | None, **lifecycles: str) -> dict[str, Any]:
    """Return the list of a predecessor; without an origin it is of an earlier program version."""
    stored_list = parse_server_list(whole_list(version, **lifecycles), 0)
    values = encode_list(stored_list, ListStamp(origin or "", version, told_at_us))
    if origin is None:
        del values["origin"], values["told_at_us"]
    return values


def receive(node: Node, values: dict[str, Any]) -> list[str]:
    """Handle a predecessor's state with this list, and return the servers in use."""
    assert node.handover is not None
    state = {"list": values, "learned": learned(node.balancer), "recent": []}
    node.handover._restore(json.loads(json.dumps(state)))
    return [*node.balancer.servers]


class StateOfAPredecessor(HandedOverListCase):
    """A process that discovery has told of version 5, in which s0 drains, and then a predecessor's state."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.listing = await self.discovery(lambda after: whole_list(5, s0="Terminating"))
        running = await self.enterAsyncContext(self.process(self.listing, whole_list(KNOWN_VERSION)))
        self.node = running.node
        await until(lambda: self.node.discovery.is_watching)

    async def end_watch(self) -> None:
        """End the watch, and let the next call wait for its answer."""
        self.listing.may_answer.clear()
        self.listing.asked_after.clear()
        self.listing.end_watches()
        await until(lambda: bool(self.listing.asked_after))

    async def test_no_predecessors_list_replaces_that_of_an_open_watch(self) -> None:
        origin = self.node.discovery.origin
        later = clock() + 1_000_000
        for values in (
            stored(4, 1, origin),
            stored(6, later, origin),
            stored(6, later, "another"),
            stored(6, 0, origin),
            stored(6, 0, None),
            stored(-1, later, origin),
        ):
            with self.subTest(values):
                self.assertEqual(receive(self.node, values), ["s1", "s2"])
                self.assertEqual(self.node.discovery.version, 5)

    async def test_older_list_changes_neither_list_nor_version_when_the_watch_has_ended(self) -> None:
        await self.end_watch()
        origin = self.node.discovery.origin
        later = clock() + 1_000_000
        for values in (
            stored(4, later, origin),
            # Newer by number, but told before the own one: discovery has begun to count anew.
            stored(6, 1, origin),
            stored(6, later, "another"),
            stored(6, 0, None),
        ):
            with self.subTest(values):
                self.assertEqual(receive(self.node, values), ["s1", "s2"])
                self.assertEqual(self.node.discovery.version, 5)

    async def test_newer_list_that_was_told_later_is_used_when_the_watch_has_ended(self) -> None:
        await self.end_watch()
        values = stored(6, clock() + 1_000_000, self.node.discovery.origin, s1="Terminating")
        self.assertEqual(receive(self.node, values), ["s0", "s2"])
        self.assertEqual(self.node.discovery.version, 6)
        # The call that is open continues version 5, in which s0 drains.
        self.listing.answer = lambda after: changes(7, s2="Terminating")
        self.listing.may_answer.set()
        await until(lambda: self.node.discovery.is_watching)
        self.assertEqual([*self.node.balancer.servers], ["s1"])


class AnotherDiscovery(HandedOverListCase):
    """An upgrade whose new version is configured for another discovery, which counts versions on its own."""

    async def check_both_orders(self, answer: ListAnswer, asked_after: list[int | None]) -> None:
        """Check that s2 alone is used, and which calls the other discovery got, whoever answers first."""
        for told_first in (True, False):
            with self.subTest(told_first=told_first):
                async with self.upgrade(
                    told_first, lambda after: changes(9, s1="Terminating"), answer, moves=True
                ) as upgrade:
                    await until(lambda: [*upgrade.successor.balancer.servers] == ["s2"])
                    self.assertEqual(upgrade.successor.discovery.version, 50)
                    self.assertEqual(upgrade.discovery.asked_after, asked_after)
                    # Changes that follow apply to the snapshot.
                    upgrade.discovery.tell(changes(51, s0="Ready"))
                    await until(lambda: "s0" in upgrade.successor.balancer.servers)

    async def test_whole_list_of_the_other_discovery_is_used(self) -> None:
        await self.check_both_orders(
            lambda after: whole_list(50, s0="Terminating", s1="Terminating"), [KNOWN_VERSION]
        )

    async def test_changes_of_the_other_discovery_are_not_applied_and_a_whole_list_is_requested(self) -> None:
        await self.check_both_orders(
            lambda after: changes(50, s0="Terminating")
            if after is not None
            else whole_list(50, s0="Terminating", s1="Terminating"),
            [KNOWN_VERSION, None],
        )

    async def test_version_of_the_predecessors_discovery_is_not_used_after_a_reload(
        self,
    ) -> None:
        first = await self.discovery(lambda after: changes(9, s1="Terminating"))
        predecessor = await self.enterAsyncContext(self.process(first, whole_list(KNOWN_VERSION)))
        await until(lambda: may_be_succeeded(predecessor.node))
        second = await self.discovery(
            lambda after: changes(50) if after is not None else whole_list(50, s0="Terminating")
        )
        first.may_answer.clear()
        second.may_answer.clear()
        successor = self.process(first, whole_list(KNOWN_VERSION))
        starting = asyncio.create_task(self.enterAsyncContext(successor))
        await until(self.state_point.reached.is_set)
        # As SIGHUP does, while the state is on its way.
        successor.node.discovery.change_address(second.address)
        self.state_point.go.set()
        await starting
        self.assertEqual([*successor.node.balancer.servers], ["s0", "s2"])
        second.may_answer.set()
        await until(lambda: successor.node.discovery.is_watching)
        self.assertEqual([*successor.node.balancer.servers], ["s1", "s2"])
        self.assertEqual(dict.fromkeys(second.asked_after), {None: None})

    async def test_list_that_the_new_discovery_told_the_predecessor_is_used(
        self,
    ) -> None:
        first = await self.discovery(lambda after: changes(5, s0="Terminating"))
        running = await self.enterAsyncContext(self.process(first, whole_list(KNOWN_VERSION)))
        node = running.node
        await until(lambda: node.discovery.is_watching)
        second = await self.discovery(lambda after: changes(51, s2="Terminating"))
        second.may_answer.clear()
        node.discovery.change_address(second.address)
        values = stored(50, clock(), node.discovery.origin, s1="Terminating")
        self.assertEqual(receive(node, values), ["s0", "s2"])
        self.assertEqual((node.discovery.version, node.discovery.superseded), (50, {}))
        # What the former discovery tells from now on is not applied.
        first.tell(changes(6, s1="Ready", s2="Terminating"))
        await asyncio.sleep(0.05)
        self.assertEqual([*node.balancer.servers], ["s0", "s2"])
