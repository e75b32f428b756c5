"""The network's words to our types and back; configuration and its messages."""

from __future__ import annotations

import contextlib
import io
import json
import logging
import os
import tempfile
import unittest
from typing import Any

from coraldeal.__main__ import main
from coraldeal.config import SettingsError, parse_node_config, read_node_config
from coraldeal.interface import Condition, Effect, Outcome
from coraldeal.logs import KeyValueFormatter
from coraldeal.net import wire
from tests.standins import SETTINGS

TRACKS = {"checkout": 0, "browse": 0}


def call(target: str = "/checkout/7?a=%2F", body: bytes = b"", **fields: str) -> wire.Call:
    named = {name.replace("_", "-"): value for name, value in {"Req_Id": "ab", **fields}.items()}
    raw = [(name.encode(), value.encode()) for name, value in named.items()]
    return wire.read_call("POST", target, named, raw, body, TRACKS)


class Calls(unittest.TestCase):
    def test_fields_that_decisions_need(self) -> None:
        read = call(Req_Deadline="480m", Req_Retry="1", Req_Owner="t1")
        self.assertEqual(
            (read.track, read.left_us, read.repeat, read.tenant), ("checkout", 480_000, True, "t1")
        )
        self.assertEqual(call(Req_Deadline="1500u").left_us, 1500)
        self.assertEqual(call(Req_Deadline="0.5m").left_us, 500)
        plain = call()
        self.assertEqual((plain.left_us, plain.repeat, plain.tenant), (None, False, None))

    def test_the_rest_goes_on_as_it_came(self) -> None:
        read = call(
            body=b"\x00raw",
            Idempotency_Key="K",
            X_Odd="v  w",
            Connection="X-Mine, close",
            X_Mine="1",
            Req_Deadline="9m",
        )
        self.assertEqual(
            read.written(1_234_567),
            b"POST /checkout/7?a=%2F HTTP/1.1\r\nReq-Id: ab\r\nIdempotency-Key: K\r\nX-Odd: v  w\r\n"
            b"Req-Deadline: 1234567u\r\nContent-Length: 4\r\n\r\n\x00raw",
        )

    def test_what_is_no_inquiry_is_told_so(self) -> None:
        for status, target, fields in (
            (404, "/nothing", {}),
            (404, "checkout", {}),
            (400, "/checkout", {"Req_Id": ""}),
            (400, "/checkout", {"Req_Deadline": "480"}),
            (400, "/checkout", {"Req_Deadline": "-4m"}),
            (400, "/checkout", {"Req_Deadline": "4s"}),
        ):
            with self.subTest(target=target, fields=fields), self.assertRaises(wire.BadCall) as caught:
                call(target, b"", **fields)
            self.assertEqual(caught.exception.status, status)
        with self.assertRaises(wire.BadCall) as caught:
            wire.read_call("PUT", "/checkout", {"Req-Id": "a"}, [], b"", TRACKS)
        self.assertEqual(caught.exception.status, 405)


class Answers(unittest.TestCase):
    def test_outcomes(self) -> None:
        declined = {"Srv-Declined": "1"}
        for status, fields, outcome in (
            (200, {}, Outcome.SERVED),
            (500, {}, Outcome.ERROR),
            (503, declined, Outcome.FULL),
            (504, declined, Outcome.FULL),
            (503, {}, Outcome.ERROR),
            (500, declined, Outcome.ERROR),
            (429, {}, Outcome.ERROR),
        ):
            with self.subTest(status=status, fields=fields):
                self.assertIs(wire.read_answer(status, fields, [], b"")[0], outcome)

    def test_body_and_fields_are_kept_but_not_those_of_the_hop(self) -> None:
        raw = [
            (b"Content-Type", b"text/x"),
            (b"Connection", b"close"),
            (b"Srv-Load", b"queue=1"),
            (b"ETag", b"e"),
        ]
        told = wire.read_answer(200, {}, raw, b"\xff")[1]
        self.assertEqual(told, wire.Answer(200, b"\xff", (("Content-Type", "text/x"), ("ETag", "e"))))

    def test_reports(self) -> None:
        self.assertEqual(
            wire.read_report("inflight=7,queue=2, util=0.61"), {"inflight": 7, "queue": 2, "util": 0.61}
        )
        self.assertEqual(wire.read_report("inflight=?,queue=2,"), {"queue": 2})
        self.assertIsNone(wire.read_report(None))

    def test_deferral_tells_when_to_come_back(self) -> None:
        self.assertEqual(wire.deferral(250_000), wire.Answer(503, b"", (("Retry-After", "0.250"),)))
        self.assertEqual(wire.deferral(0), wire.Answer(503))


class Lists(unittest.TestCase):
    def test_list_with_its_clock(self) -> None:
        item = {
            "instanceId": "s",
            "hostPort": "h:1",
            "zone": "a",
            "cell": 3,
            "lifecycle": "Terminating",
            "weight": 1,
        }
        values = {"generation": 41, "reset": True, "instances": [{**item, "startedAtMs": 5_000}, item]}
        told = wire.read_list(json.dumps(values), offset_us=2_000_000)
        self.assertEqual((told.version, told.whole, told.servers[0].address), (41, True, "h:1"))
        first, second = (listed.entry for listed in told.servers)
        self.assertEqual((first.server, first.zone, first.cell), ("s", "a", 3))
        self.assertIs(first.condition, Condition.DRAINING)
        self.assertEqual((first.started_at_us, second.started_at_us), (3_000_000, 0))
        # A word that is not known is no leave to send.
        told = wire.read_list({**values, "instances": [{**item, "lifecycle": "Resting"}]}, offset_us=0)
        self.assertIs(told.servers[0].entry.condition, Condition.DRAINING)
        self.assertEqual(wire.read_list(values, offset_us=0).servers[0].entry.kind, "")
        shaped = {**values, "instances": [{**item, "machineType": "m2"}]}
        self.assertEqual(wire.read_list(shaped, offset_us=0).servers[0].entry.kind, "m2")
        # Younger than the clock's beginning is not long ago.
        self.assertEqual(wire.read_list(values, offset_us=9_000_000).servers[0].entry.started_at_us, 1)


class Configuration(unittest.TestCase):
    def read(self, env: dict[str, str] | None = None, **changes: Any) -> Any:
        values = {"listen": "127.0.0.1:80", "settings": SETTINGS, **changes}
        return parse_node_config(
            {key: value for key, value in values.items() if value != "left out"}, env or {}
        )

    def test_defaults(self) -> None:
        read = self.read()
        self.assertEqual((read.name, read.host, read.port, read.discovery), ("node", "127.0.0.1", 80, None))
        self.assertEqual((read.conn_idle_us, read.connect_timeout_us), (2_000_000, 200_000))
        self.assertGreater(read.sockets, 0)

    def test_environment_overrules(self) -> None:
        env = {"PROXY_NAME": "n3", "PROXY_LISTEN": "127.0.0.9:81", "PROXY_DISCOVERY": "127.0.0.1:85"}
        read = self.read(env, name="n1", seed="ff", limits={"sockets": 64})
        self.assertEqual(
            (read.name, read.host, read.port, read.discovery), ("n3", "127.0.0.9", 81, "127.0.0.1:85")
        )
        self.assertEqual((read.seed, read.sockets), (255, 64))

    def test_bound_tracks(self) -> None:
        plain = SETTINGS["tracks"][0]
        bound = {**plain, "name": "bound", "shapes_open": ["m2", "m1"], "allowed_in": ["a"]}
        tracks = self.read(settings={**SETTINGS, "tracks": [plain, bound]}).settings.request_classes
        self.assertEqual((tracks[0].zones, tracks[0].kinds), ((), ()))
        self.assertEqual((tracks[1].zones, tracks[1].kinds), (("a",), ("m1", "m2")))

    def test_messages_name_the_faulty_key(self) -> None:
        bounds = {**SETTINGS["bounds"], "cancel": "yes"}
        tracks = [{**SETTINGS["tracks"][0], "effect": "odd"}]
        kinds = [{**SETTINGS["tracks"][0], "shapes_open": ["m1", 2]}]
        zones = [{**SETTINGS["tracks"][0], "allowed_in": "a"}]
        for key, changes in (
            ("listen", {"listen": "left out"}),
            ("listen", {"listen": "here"}),
            ("listen", {"listen": "127.0.0.1:99999"}),
            ("discovery", {"discovery": "nowhere"}),
            ("seed", {"seed": "xyz"}),
            ("limits.sockets", {"limits": {"sockets": "many"}}),
            ("settings", {"settings": "left out"}),
            ("settings.bounds.cancel", {"settings": {**SETTINGS, "bounds": bounds}}),
            ("settings.tracks[0].effect", {"settings": {**SETTINGS, "tracks": tracks}}),
            ("settings.tracks[0].shapes_open[1]", {"settings": {**SETTINGS, "tracks": kinds}}),
            ("settings.tracks[0].allowed_in", {"settings": {**SETTINGS, "tracks": zones}}),
        ):
            with (
                self.subTest(key=key, changes=changes),
                self.assertRaisesRegex(SettingsError, rf"setting {key.replace('[', '.').replace(']', '.')} "),
            ):
                self.read(**changes)


class CommandLine(unittest.TestCase):
    def run_main(self, *args: str) -> tuple[int, str]:
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            status = main(list(args))
        return status, out.getvalue()

    def test_version(self) -> None:
        self.assertRegex(self.run_main("version")[1], r"^coraldeal \d+\.\d+")

    def test_a_known_list_that_is_none(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump({"listen": "127.0.0.1:80", "known": {"generation": 1}, "settings": SETTINGS}, file)
            file.flush()
            status, text = self.run_main("check", "--config", file.name)
        self.assertEqual(status, 2)
        self.assertIn("setting known ", text)

    def test_a_file_that_is_not_there(self) -> None:
        status, text = self.run_main("check", "--config", "/nowhere/config.json")
        self.assertEqual(status, 2)
        self.assertIn("/nowhere/config.json", text)


class Logs(unittest.TestCase):
    def test_pairs(self) -> None:
        record = logging.LogRecord("a.b", logging.INFO, "", 0, "watch over", None, None)
        record.pairs = {"why": 'it "ended"', "version": 4}
        line = KeyValueFormatter().format(record)
        self.assertRegex(
            line, r'^time=\S+Z level=info name=a.b event="watch over" why="it \'ended\'" version=4$'
        )


class Example(unittest.TestCase):
    def test_its_configuration_is_understood(self) -> None:
        read = read_node_config(os.path.join(os.path.dirname(__file__), "..", "example", "config.json"), {})
        self.assertEqual([track.name for track in read.settings.request_classes], ["checkout", "browse"])
        # What is not said to be repeatable is not repeated.
        effects = [track.effect for track in read.settings.request_classes]
        self.assertEqual(effects, [Effect.NOT_IDEMPOTENT, Effect.IDEMPOTENT])
        known = wire.read_list(read.known_list, offset_us=0).servers
        self.assertEqual([listed.address for listed in known], ["127.0.0.1:9001", "127.0.0.1:9002"])
