"""Two processes of one node: the terms, and two nodes that meet at a Unix socket and share one queue."""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

from coraldeal.handover import link as link_module
from coraldeal.handover.state import learned, resume
from coraldeal.handover.terms import Terms
from tests.standins import Caller, RunningNode, StandIn, config, entry, server_list, until


class Side:
    def __init__(self) -> None:
        self.acts: list[str] = []

    def accept(self, on: bool) -> None:
        self.acts.append(f"accept {on}")

    def take_part(self, part: float) -> None:
        self.acts.append(f"part {part:.2f}")


class TermsCase(unittest.TestCase):
    def test_who_accepts_and_what_each_may_do(self) -> None:
        side = Side()
        terms = Terms(side)
        for step, wanted in (
            (terms.newcomer_came, ["part 0.50"]),
            # It died before its yes: nothing but the part had changed.
            (lambda: terms.newcomer_gone(served=False), ["part 1.00"]),
            (terms.newcomer_came, ["part 0.50"]),
            (terms.newcomer_serves, ["accept False"]),
            # After its yes: this process accepts again.
            (lambda: terms.newcomer_gone(served=True), ["accept True", "part 1.00"]),
            (terms.elder_answered, ["part 0.50"]),
            # Three in a row, the first not yet gone.
            (terms.newcomer_came, ["part 0.33"]),
            (terms.newcomer_serves, ["accept False"]),
            (terms.elder_gone, ["part 0.50"]),
            (terms.told_to_end, []),
            (lambda: terms.newcomer_gone(served=True), ["part 1.00"]),
        ):
            step()
            self.assertEqual(side.acts, wanted)
            side.acts.clear()


class Meeting(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.enterContext(mock.patch.dict("os.environ", TMPDIR=self.folder))
        self.server = await StandIn().start()
        self.addCleanup(self.server.stop)
        entries = [entry("s0", self.server.address), entry("s1", "127.0.0.1:1", "Terminating")]
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        told = replace(config(server_list(4, True, *entries)), operator=("127.0.0.1", 0), port=self.port)
        self.told = told

    async def start(self, known: bool = True) -> RunningNode:
        running = RunningNode(self.told if known else replace(self.told, known=None))
        await self.enterAsyncContext(running)
        await until(lambda: running.node.can_serve())
        return running

    async def test_the_newcomer_goes_on_from_what_the_elder_knows(self) -> None:
        elder = (await self.start()).node
        elder.balancer.start_maintenance("s1")
        elder.balancer.servers["s0"].concurrency_limit = 7
        elder.balancer.token_rate = 0.125
        newcomer = (await self.start(known=False)).node
        await until(lambda: elder.callers.listener is None)
        self.assertEqual(
            (newcomer.balancer.in_maintenance, newcomer.balancer.token_rate),
            (elder.balancer.in_maintenance, 0.125),
        )
        self.assertEqual(
            (newcomer.balancer.servers["s0"].concurrency_limit, newcomer.discovery.version), (7, 4)
        )
        self.assertEqual((elder.share, newcomer.share), (0.5, 0.5))
        self.assertLessEqual(elder.limit + newcomer.limit + 2 * elder.reserve, elder.config.sockets)
        caller = await Caller(self.port).open()
        self.addCleanup(caller.leave)
        self.assertEqual((await caller.ask("read"))[0], 200)
        self.assertEqual((newcomer.figures.attempts, elder.figures.attempts), (1, 0))
        # What either door is told holds for both.
        assert newcomer.admin_listener is not None and elder.admin_listener is not None
        self.assertTrue(elder.admin_listener.desk.put_back("s1"))
        self.assertTrue(newcomer.admin_listener.desk.leave_out("s0"))
        await until(
            lambda: "s0" in elder.balancer.in_maintenance and "s1" not in newcomer.balancer.in_maintenance
        )

    async def test_callers_move_by_their_next_answer_and_none_is_refused(self) -> None:
        running = await self.start()
        kept = await running.caller()
        self.assertEqual((await kept.ask("read"))[0], 200)
        newcomer = (await self.start(known=False)).node
        await until(lambda: running.node.callers.listener is None)
        running.node.stop_requested.set()
        status, seen = await kept.ask("read")
        self.assertEqual((status, seen.fields["connection"]), (200, "close"))
        await running.task
        await until(lambda: newcomer.share == 1.0)
        caller = await Caller(self.port).open()
        self.addCleanup(caller.leave)
        self.assertEqual((await caller.ask("read"))[0], 200)

    async def test_the_elder_accepts_again_when_the_newcomer_dies(self) -> None:
        elder = (await self.start()).node
        newcomer = (await self.start()).node
        await until(lambda: elder.callers.listener is None)
        newcomer.callers.accept(False)
        assert newcomer.succession is not None
        await newcomer.succession.link.close()
        await until(lambda: elder.callers.listener is not None)
        caller = await Caller(self.port).open()
        self.addCleanup(caller.leave)
        self.assertEqual((await caller.ask("read"))[0], 200)
        self.assertEqual((elder.figures.attempts, elder.share), (1, 1.0))
        # And the next one finds it.
        third = (await self.start(known=False)).node
        self.assertIn("s0", third.balancer.servers)

    async def test_where_no_elder_answers_or_none_can_be_understood(self) -> None:
        first = await self.start()
        assert first.node.succession is not None
        path = first.node.succession.link.path
        kinds = (
            "nothing",
            "a file",
            "a stale socket",
            "one that says nothing",
            "half a state",
            "another format",
        )
        for what in kinds:
            with self.subTest(what), mock.patch.object(link_module, "ELDER_WAIT", 0.05):
                path.unlink(missing_ok=True)
                stand_in = socket.socket(socket.AF_UNIX)
                if what == "a file":
                    path.write_text("{")
                elif what != "nothing":
                    stand_in.bind(str(path))
                if what in kinds[3:]:
                    stand_in.listen()
                    stand_in.setblocking(False)
                if what in kinds[4:]:
                    told = (
                        b'{"format":1,"state":{"li'
                        if what == "half a state"
                        else b'{"format":99,"state":{}}\n'
                    )
                    asyncio.get_running_loop().add_reader(stand_in, self.tell, stand_in, told)
                running = await self.start()
                asyncio.get_running_loop().remove_reader(stand_in)
                stand_in.close()
                self.assertIn("s0", running.node.balancer.servers)
                await running.node.callers.stop_listening()

    def tell(self, stand_in: socket.socket, told: bytes) -> None:
        near = stand_in.accept()[0]
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            socket.send_fds(near, [b"+"], [listening.fileno()])
        near.sendall(told)
        near.close()

    async def test_a_system_that_refuses_unix_sockets_is_told_of_once_and_the_node_serves(self) -> None:
        real = socket.socket

        def refused(family: int = -1, *rest: Any, **more: Any) -> socket.socket:
            if family == socket.AF_UNIX:
                raise OSError(97, "Address family not supported by protocol")
            return real(family, *rest, **more)

        with (
            mock.patch("socket.socket", refused),
            self.assertLogs("coraldeal", "WARNING") as logs,
        ):
            running = await self.start()
            status, _ = await (await running.caller()).ask()
        self.assertEqual(status, 200)
        self.assertEqual(len(logs.output), 1)

    async def test_a_state_of_another_kind_changes_nothing(self) -> None:
        balancer = (await self.start()).node.balancer
        before = json.dumps(learned(balancer))
        for spoil in (
            {"node": {"rate": None}},
            {"servers": {"s0": {"cap": "many"}}},
            {"left_out": ["s0"]},
            {"tracks": 7},
        ):
            with self.subTest(spoil), self.assertRaises((LookupError, TypeError, ValueError, AttributeError)):
                resume(balancer, {**json.loads(before), **spoil})
            self.assertEqual(json.dumps(learned(balancer)), before)
        resume(balancer, {**json.loads(before), "node": {"not_known": 1}, "new": 2})
        self.assertEqual(json.dumps(learned(balancer)), before)

    async def test_sizes_and_kinds_of_servers_go_along(self) -> None:
        node = (await self.start()).node
        succession, balancer = node.succession, node.balancer
        assert succession is not None
        name, entry = next(iter(balancer.listed.items()))
        balancer.listed[name] = replace(entry, size=2.5, kind="m2")
        state = json.loads(json.dumps(succession.state()))
        balancer.listed[name] = entry
        succession._resume(state)
        self.assertEqual((balancer.listed[name].size, balancer.listed[name].kind), (2.5, "m2"))
        # An elder of an earlier version tells neither.
        state["list"]["servers"] = [server[:6] for server in state["list"]["servers"]]
        succession._resume(state)
        self.assertEqual((balancer.listed[name].size, balancer.listed[name].kind), (1.0, ""))

    def test_a_deep_folder(self) -> None:
        deep = Path(self.folder) / ("d" * 90) / ("e" * 90)
        deep.mkdir(parents=True)
        with link_module._reachable(deep / "x.sock") as path, socket.socket(socket.AF_UNIX) as meeting:
            meeting.bind(path)
        self.assertTrue((deep / "x.sock").is_socket())
