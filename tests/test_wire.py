"""Encoding and parsing of requests, answers, load reports and lists; the configuration and its errors."""

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

REQUEST_CLASSES = {"checkout": 0, "browse": 0}


def request(target: str = "/checkout/7?a=%2F", body: bytes = b"", **fields: str) -> wire.CallerRequest:
    all_fields = {name.replace("_", "-"): value for name, value in {"Req_Id": "ab", **fields}.items()}
    raw = [(name.encode(), value.encode()) for name, value in all_fields.items()]
    return wire.parse_request("POST", target, all_fields, raw, body, REQUEST_CLASSES)


class Requests(unittest.TestCase):
    def test_header_fields_are_parsed(self) -> None:
        parsed = request(Req_Deadline="480m", Req_Retry="1", Req_Owner="t1")
        self.assertEqual(
            (parsed.request_class, parsed.time_left_us, parsed.is_retry, parsed.tenant),
            ("checkout", 480_000, True, "t1"),
        )
        self.assertEqual(request(Req_Deadline="1500u").time_left_us, 1500)
        self.assertEqual(request(Req_Deadline="0.5m").time_left_us, 500)
        plain = request()
        self.assertEqual((plain.time_left_us, plain.is_retry, plain.tenant), (None, False, None))

    def test_other_fields_and_the_body_are_forwarded_unchanged(self) -> None:
        parsed = request(
            body=b"\x00raw",
            Idempotency_Key="K",
            X_Odd="v  w",
            Connection="X-Mine, close",
            X_Mine="1",
            Req_Deadline="9m",
        )
        self.assertEqual(
            parsed.encode_attempt(1_234_567),
            b"POST /checkout/7?a=%2F HTTP/1.1\r\nReq-Id: ab\r\nIdempotency-Key: K\r\nX-Odd: v  w\r\n"
            b"Req-Deadline: 1234567u\r\nContent-Length: 4\r\n\r\n\x00raw",
        )

    def test_invalid_request_is_refused_with_its_status(self) -> None:
        for status, target, fields in (
            (404, "/nothing", {}),
            (404, "checkout", {}),
            (400, "/checkout", {"Req_Id": ""}),
            (400, "/checkout", {"Req_Deadline": "480"}),
            (400, "/checkout", {"Req_Deadline": "-4m"}),
            (400, "/checkout", {"Req_Deadline": "4s"}),
        ):
            with (
                self.subTest(target=target, fields=fields),
                self.assertRaises(wire.InvalidRequestError) as caught,
            ):
                request(target, b"", **fields)
            self.assertEqual(caught.exception.status, status)
        with self.assertRaises(wire.InvalidRequestError) as caught:
            wire.parse_request("PUT", "/checkout", {"Req-Id": "a"}, [], b"", REQUEST_CLASSES)
        self.assertEqual(caught.exception.status, 405)


class Answers(unittest.TestCase):
    def test_status_and_fields_determine_the_outcome(self) -> None:
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
                self.assertIs(wire.parse_answer(status, fields, [], b"")[0], outcome)

    def test_body_and_fields_are_forwarded_without_hop_by_hop_fields(self) -> None:
        raw = [
            (b"Content-Type", b"text/x"),
            (b"Connection", b"close"),
            (b"Srv-Load", b"queue=1"),
            (b"ETag", b"e"),
        ]
        forwarded = wire.parse_answer(200, {}, raw, b"\xff")[1]
        self.assertEqual(forwarded, wire.Answer(200, b"\xff", (("Content-Type", "text/x"), ("ETag", "e"))))

    def test_load_report_is_parsed_and_invalid_values_are_skipped(self) -> None:
        self.assertEqual(
            wire.parse_load_report("inflight=7,queue=2, util=0.61"), {"inflight": 7, "queue": 2, "util": 0.61}
        )
        self.assertEqual(wire.parse_load_report("inflight=?,queue=2,"), {"queue": 2})
        self.assertIsNone(wire.parse_load_report(None))

    def test_rejection_has_retry_after_unless_it_is_zero(self) -> None:
        self.assertEqual(wire.rejection(250_000), wire.Answer(503, b"", (("Retry-After", "0.250"),)))
        self.assertEqual(wire.rejection(0), wire.Answer(503))


class Lists(unittest.TestCase):
    def test_server_list_is_parsed_with_start_times_by_the_node_clock(self) -> None:
        item = {
            "instanceId": "s",
            "hostPort": "h:1",
            "zone": "a",
            "cell": 3,
            "lifecycle": "Terminating",
            "weight": 1,
        }
        values = {"generation": 41, "reset": True, "instances": [{**item, "startedAtMs": 5_000}, item]}
        update = wire.parse_server_list(json.dumps(values), offset_us=2_000_000)
        self.assertEqual((update.version, update.is_snapshot, update.servers[0].address), (41, True, "h:1"))
        first, second = (listed.entry for listed in update.servers)
        self.assertEqual((first.server, first.zone, first.cell), ("s", "a", 3))
        self.assertIs(first.condition, Condition.DRAINING)
        self.assertEqual((first.started_at_us, second.started_at_us), (3_000_000, 0))
        # A server in an unknown lifecycle state gets nothing new.
        update = wire.parse_server_list(
            {**values, "instances": [{**item, "lifecycle": "Resting"}]}, offset_us=0
        )
        self.assertIs(update.servers[0].entry.condition, Condition.DRAINING)
        self.assertEqual(wire.parse_server_list(values, offset_us=0).servers[0].entry.kind, "")
        with_kind = {**values, "instances": [{**item, "machineType": "m2"}]}
        self.assertEqual(wire.parse_server_list(with_kind, offset_us=0).servers[0].entry.kind, "m2")
        # A start before the clock's zero becomes 1: 0 would mean long ago.
        self.assertEqual(
            wire.parse_server_list(values, offset_us=9_000_000).servers[0].entry.started_at_us, 1
        )


class Configuration(unittest.TestCase):
    def read(self, env: dict[str, str] | None = None, **changes: Any) -> Any:
        values = {"listen": "127.0.0.1:80", "settings": SETTINGS, **changes}
        return parse_node_config(
            {key: value for key, value in values.items() if value != "left out"}, env or {}
        )

    def test_missing_keys_have_their_defaults(self) -> None:
        node_config = self.read()
        self.assertEqual(
            (node_config.name, node_config.host, node_config.port, node_config.discovery),
            ("node", "127.0.0.1", 80, None),
        )
        self.assertEqual((node_config.conn_idle_us, node_config.connect_timeout_us), (2_000_000, 200_000))
        self.assertGreater(node_config.sockets, 0)

    def test_environment_variables_override_keys(self) -> None:
        env = {"PROXY_NAME": "n3", "PROXY_LISTEN": "127.0.0.9:81", "PROXY_DISCOVERY": "127.0.0.1:85"}
        node_config = self.read(env, name="n1", seed="ff", limits={"sockets": 64})
        self.assertEqual(
            (node_config.name, node_config.host, node_config.port, node_config.discovery),
            ("n3", "127.0.0.9", 81, "127.0.0.1:85"),
        )
        self.assertEqual((node_config.seed, node_config.sockets), (255, 64))

    def test_request_classes_have_their_permitted_zones_and_kinds(self) -> None:
        unrestricted = SETTINGS["tracks"][0]
        restricted = {**unrestricted, "name": "bound", "shapes_open": ["m2", "m1"], "allowed_in": ["a"]}
        request_classes = self.read(
            settings={**SETTINGS, "tracks": [unrestricted, restricted]}
        ).settings.request_classes
        self.assertEqual((request_classes[0].zones, request_classes[0].kinds), ((), ()))
        self.assertEqual((request_classes[1].zones, request_classes[1].kinds), (("a",), ("m1", "m2")))

    def test_error_message_names_the_invalid_key(self) -> None:
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
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            status = main(list(args))
        return status, output.getvalue()

    def test_version_is_printed(self) -> None:
        self.assertRegex(self.run_main("version")[1], r"^coraldeal \d+\.\d+")

    def test_invalid_known_list_is_reported_with_its_key(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump({"listen": "127.0.0.1:80", "known": {"generation": 1}, "settings": SETTINGS}, file)
            file.flush()
            status, text = self.run_main("check", "--config", file.name)
        self.assertEqual(status, 2)
        self.assertIn("setting known ", text)

    def test_missing_file_is_reported_with_its_path(self) -> None:
        status, text = self.run_main("check", "--config", "/nowhere/config.json")
        self.assertEqual(status, 2)
        self.assertIn("/nowhere/config.json", text)


class Logs(unittest.TestCase):
    def test_pairs_are_formatted_as_key_and_value(self) -> None:
        record = logging.LogRecord("a.b", logging.INFO, "", 0, "watch over", None, None)
        record.pairs = {"why": 'it "ended"', "version": 4}
        line = KeyValueFormatter().format(record)
        self.assertRegex(
            line, r'^time=\S+Z level=info name=a.b event="watch over" why="it \'ended\'" version=4$'
        )


class Example(unittest.TestCase):
    def test_configuration_is_parsed(self) -> None:
        node_config = read_node_config(
            os.path.join(os.path.dirname(__file__), "..", "example", "config.json"), {}
        )
        self.assertEqual(
            [request_class.name for request_class in node_config.settings.request_classes],
            ["checkout", "browse"],
        )
        # A class that states no effect is not idempotent.
        effects = [request_class.effect for request_class in node_config.settings.request_classes]
        self.assertEqual(effects, [Effect.NOT_IDEMPOTENT, Effect.IDEMPOTENT])
        known_servers = wire.parse_server_list(node_config.known_list, offset_us=0).servers
        self.assertEqual([listed.address for listed in known_servers], ["127.0.0.1:9001", "127.0.0.1:9002"])
