"""A handover between two processes of one node.

Ownership alone, and then real nodes in one process, where the successor takes the listening socket and the
learned state over a Unix socket. Guards against refused connections, lost state and processes that both or
neither accept.
"""

from __future__ import annotations

import asyncio
import json
import socket
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

from coraldeal.handover import link as link_module
from coraldeal.handover.ownership import Ownership
from coraldeal.handover.state import learned, resume, resume_maintenance
from tests.standins import Caller, until
from tests.two_processes import TwoProcessesCase


class RecordingHost:
    """Records what a change of ownership asks of the process."""

    def __init__(self) -> None:
        self.actions: list[str] = []

    def accept(self, on: bool) -> None:
        self.actions.append(f"accept {on}")

    def set_share(self, share: float) -> None:
        self.actions.append(f"share {share:.2f}")


class OwnershipCase(unittest.TestCase):
    def test_each_change_of_ownership_sets_share_and_accepting(self) -> None:
        host = RecordingHost()
        ownership = Ownership(host)
        for change, expected in (
            (ownership.successor_connected, ["share 0.50"]),
            # A successor that dies before it serves had changed only the share.
            (lambda: ownership.successor_gone(served=False), ["share 1.00"]),
            (ownership.successor_connected, ["share 0.50"]),
            (ownership.successor_serves, ["accept False"]),
            # After a serving successor dies, this process accepts again.
            (lambda: ownership.successor_gone(served=True), ["accept True", "share 1.00"]),
            (ownership.predecessor_answered, ["share 0.50"]),
            # Three processes in a row, the first of which has not ended yet.
            (ownership.successor_connected, ["share 0.33"]),
            (ownership.successor_serves, ["accept False"]),
            (ownership.predecessor_gone, ["share 0.50"]),
            (ownership.shutdown_started, []),
            (lambda: ownership.successor_gone(served=True), ["share 1.00"]),
        ):
            change()
            self.assertEqual(host.actions, expected)
            host.actions.clear()


class HandoverCase(TwoProcessesCase):
    async def test_successor_takes_over_state_and_both_apply_maintenance(self) -> None:
        predecessor = (await self.start()).node
        predecessor.balancer.start_maintenance("s1")
        predecessor.balancer.servers["s0"].concurrency_limit = 7
        predecessor.balancer.token_rate = 0.125
        successor = (await self.start(with_list=False)).node
        await until(lambda: predecessor.callers.listener is None)
        self.assertEqual(
            (successor.balancer.in_maintenance, successor.balancer.token_rate),
            (predecessor.balancer.in_maintenance, 0.125),
        )
        self.assertEqual(
            (successor.balancer.servers["s0"].concurrency_limit, successor.discovery.version), (7, 4)
        )
        self.assertEqual((predecessor.share, successor.share), (0.5, 0.5))
        self.assertLessEqual(
            predecessor.limit + successor.limit + 2 * predecessor.reserve, predecessor.config.sockets
        )
        caller = await Caller(self.port).open()
        self.addCleanup(caller.leave)
        self.assertEqual((await caller.ask("read"))[0], 200)
        self.assertEqual((successor.counters.attempts, predecessor.counters.attempts), (1, 0))
        # Maintenance that is started or ended at either process applies to both.
        assert successor.admin_listener is not None and predecessor.admin_listener is not None
        self.assertTrue(predecessor.admin_listener.interface.end_maintenance("s1"))
        self.assertTrue(successor.admin_listener.interface.start_maintenance("s0"))
        await until(
            lambda: "s0" in predecessor.balancer.in_maintenance
            and "s1" not in successor.balancer.in_maintenance
        )

    async def test_connected_callers_move_to_the_successor_and_none_is_refused(self) -> None:
        running = await self.start()
        connected = await running.caller()
        self.assertEqual((await connected.ask("read"))[0], 200)
        successor = (await self.start(with_list=False)).node
        await until(lambda: running.node.callers.listener is None)
        running.node.stop_requested.set()
        status, answer = await connected.ask("read")
        self.assertEqual((status, answer.fields["connection"]), (200, "close"))
        await running.task
        await until(lambda: successor.share == 1.0)
        caller = await Caller(self.port).open()
        self.addCleanup(caller.leave)
        self.assertEqual((await caller.ask("read"))[0], 200)

    async def test_predecessor_accepts_again_when_the_successor_dies(self) -> None:
        predecessor = (await self.start()).node
        successor = (await self.start()).node
        await until(lambda: predecessor.callers.listener is None)
        successor.callers.set_accepting(False)
        assert successor.handover is not None
        await successor.handover.link.close()
        await until(lambda: predecessor.callers.listener is not None)
        caller = await Caller(self.port).open()
        self.addCleanup(caller.leave)
        self.assertEqual((await caller.ask("read"))[0], 200)
        self.assertEqual((predecessor.counters.attempts, predecessor.share), (1, 1.0))
        # The next successor connects to it again.
        third = (await self.start(with_list=False)).node
        self.assertIn("s0", third.balancer.servers)

    async def test_without_a_usable_predecessor_the_node_starts_from_its_own_list(self) -> None:
        first = await self.start()
        assert first.node.handover is not None
        path = first.node.handover.link.path
        cases = (
            "nothing",
            "a file",
            "a stale socket",
            "one that sends nothing",
            "half a state",
            "another format",
        )
        for case in cases:
            with self.subTest(case), mock.patch.object(link_module, "PREDECESSOR_TIMEOUT", 0.05):
                path.unlink(missing_ok=True)
                stand_in = socket.socket(socket.AF_UNIX)
                if case == "a file":
                    path.write_text("{")
                elif case != "nothing":
                    stand_in.bind(str(path))
                if case in cases[3:]:
                    stand_in.listen()
                    stand_in.setblocking(False)
                if case in cases[4:]:
                    line = (
                        b'{"format":1,"state":{"li'
                        if case == "half a state"
                        else b'{"format":99,"state":{}}\n'
                    )
                    asyncio.get_running_loop().add_reader(stand_in, self.hand_over, stand_in, line)
                running = await self.start()
                asyncio.get_running_loop().remove_reader(stand_in)
                stand_in.close()
                self.assertIn("s0", running.node.balancer.servers)
                await running.node.callers.stop_listening()

    def hand_over(self, stand_in: socket.socket, line: bytes) -> None:
        connection = stand_in.accept()[0]
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            socket.send_fds(connection, [b"+"], [listening.fileno()])
        connection.sendall(line)
        connection.close()

    async def test_without_unix_sockets_the_node_serves_and_logs_one_warning(self) -> None:
        real_socket = socket.socket

        def refuse_unix(family: int = -1, *rest: Any, **more: Any) -> socket.socket:
            if family == socket.AF_UNIX:
                raise OSError(97, "Address family not supported by protocol")
            return real_socket(family, *rest, **more)

        with (
            mock.patch("socket.socket", refuse_unix),
            self.assertLogs("coraldeal", "WARNING") as logs,
        ):
            running = await self.start()
            status, _ = await (await running.caller()).ask()
        self.assertEqual(status, 200)
        self.assertEqual(len(logs.output), 1)

    async def test_an_invalid_state_changes_nothing(self) -> None:
        balancer = (await self.start()).node.balancer
        before = json.dumps(learned(balancer))
        for invalid in (
            {"node": {"rate": None}},
            {"servers": {"s0": {"cap": "many"}}},
            {"tracks": 7},
        ):
            with (
                self.subTest(invalid),
                self.assertRaises((LookupError, TypeError, ValueError, AttributeError)),
            ):
                resume(balancer, {**json.loads(before), **invalid}, balancer.servers)
            self.assertEqual(json.dumps(learned(balancer)), before)
        for invalid_maintenance in ({"left_out": ["s0"]}, {"left_out": {"s0": "long"}}, {}):
            with (
                self.subTest(invalid_maintenance),
                self.assertRaises((LookupError, TypeError, ValueError, AttributeError)),
            ):
                resume_maintenance(balancer, invalid_maintenance)
            self.assertEqual(json.dumps(learned(balancer)), before)
        resume(balancer, {**json.loads(before), "node": {"unknown": 1}, "new": 2}, balancer.servers)
        self.assertEqual(json.dumps(learned(balancer)), before)

    async def test_sizes_and_kinds_of_servers_are_handed_over(self) -> None:
        node = (await self.start()).node
        handover, balancer = node.handover, node.balancer
        assert handover is not None
        name, entry = next(iter(balancer.listed.items()))
        balancer.listed[name] = replace(entry, size=2.5, kind="m2")
        state = json.loads(json.dumps(handover.export_state()))
        balancer.listed[name] = entry
        handover._restore(state)
        self.assertEqual((balancer.listed[name].size, balancer.listed[name].kind), (2.5, "m2"))
        # A predecessor of an earlier version sends neither.
        state["list"]["servers"] = [server[:6] for server in state["list"]["servers"]]
        handover._restore(state)
        self.assertEqual((balancer.listed[name].size, balancer.listed[name].kind), (1.0, ""))

    async def test_a_part_that_cannot_be_read_does_not_drop_the_other_parts(self) -> None:
        # Guards against ids and maintenance that are lost with figures of another program version.
        node = (await self.start()).node
        assert node.handover is not None
        whole = json.loads(json.dumps(node.handover.export_state()))
        invalid_parts: dict[str, Any] = {
            "list": {},
            "learned": {**whole["learned"], "node": {"rate": None}, "left_out": {"s0": 5}},
            "recent": [7],
        }
        for part, invalid in invalid_parts.items():
            with self.subTest(part=part):
                node.balancer.in_maintenance = {}
                state = {**whole, "learned": {**whole["learned"], "left_out": {"s0": 5}}}
                state |= {"recent": [[part, 6]], part: invalid}
                with self.assertLogs("coraldeal.net.handover", "WARNING"):
                    node.handover._restore(state)
                self.assertEqual(node.balancer.in_maintenance, {"s0": 5})
                self.assertEqual(part in node.inquiries.recent, part != "recent")

    def test_a_path_too_long_for_a_socket_address_is_bound(self) -> None:
        deep = Path(self.folder) / ("d" * 90) / ("e" * 90)
        deep.mkdir(parents=True)
        with link_module._short_path(deep / "x.sock") as path, socket.socket(socket.AF_UNIX) as listening:
            listening.bind(path)
        self.assertTrue((deep / "x.sock").is_socket())
