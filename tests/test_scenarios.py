"""Plays the files of tests/scenarios against the decisions, and those of tests/wire against the adapter.

The notation is described in tests/README.md.
"""

from __future__ import annotations

import subprocess
import sys
import unittest
from pathlib import Path
from typing import Any

from coraldeal.balance import Balancer
from coraldeal.interface import (
    Condition,
    Effect,
    Entry,
    Group,
    ListKind,
    Outcome,
    PeerMessage,
    PeerMessageKind,
    RequestClass,
    Settings,
    Tenant,
)

HERE = Path(__file__).parent
UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000}
DEFAULTS: dict[str, Any] = {
    "layer": 0,
    "instances": 1,
    "self_index": 0,
    "tick": "1ms",
    "zone": "z",
    "beyond_share_worth": 0.05,
    "list_is_pulled": False,
    "pull_interval": "10s",
    "max_attempts": 3,
    "may_cancel": True,
    "may_send_retry_after": True,
    "max_retry_after": "1s",
    "report_fields": [],
    "peers": 0,
    "peer_index": 0,
    "cold_capacity": 0.25,
    "warm_up": "8s",
    "collapse_multiple": 2.0,
    "collapse_window": "1s",
}


def micros(text: str) -> int:
    """`10ms` or `2s` in microseconds."""
    number = text.rstrip("mus")
    return round(float(number) * UNITS[text[len(number) :]])


def numbers(name: str) -> range:
    """The inquiries of `7` (one) or `1-20` (many)."""
    first, _, last = name.partition("-")
    return range(int(first), int(last or first) + 1)


class Scene:
    """The host of one balancer, with a clock and the acts that no `expect` line has used up yet."""

    def __init__(self) -> None:
        self.now = 1_000_000_000
        self.given = dict(DEFAULTS)
        self.request_classes: list[RequestClass] = []
        self.tenants: list[Tenant] = []
        self.entries: list[Entry] = []
        self.acts: list[tuple[str, ...]] = []
        self.wakes: list[tuple[int, int, str]] = []
        self.attempts: dict[int, tuple[int, str, int]] = {}
        self.traffic_count = 0
        self.balancer: Balancer | None = None

    # The acts of the balancer, see `Host`.

    def send(self, inquiry: int, server: str, timeout_us: int) -> None:
        self.attempts[inquiry] = (
            self.attempts[inquiry][0] + 1 if inquiry in self.attempts else 0,
            server,
            self.now,
        )
        self.acts.append(("send", str(inquiry), server))

    def reject(self, inquiry: int, retry_after_us: int) -> None:
        self.acts.append(("reject", str(inquiry)))

    def fail(self, inquiry: int) -> None:
        self.acts.append(("fail", str(inquiry)))

    def cancel(self, inquiry: int, attempt: int) -> None:
        self.acts.append(("cancel", str(inquiry)))

    def send_to_peer(self, peer: int, message: PeerMessage) -> None:
        names = {entry.tag: entry.server for entry in self.entries}
        self.acts.append((message.kind.name.lower(), names[message.tag], str(message.attempts)))

    def wake(self, token: str, after_us: int) -> None:
        assert after_us >= 0, "a wake in the past"
        self.wakes.append((self.now + max(1, after_us), len(self.acts), token))

    def follow_list(self) -> None:
        self.acts.append(("follow-list",))

    def log(self, text: str) -> None:
        pass

    # The words of a scenario, see tests/README.md.

    def settings(self) -> Settings:
        values = {k + "_us" if isinstance(v, str) and k != "zone" else k: v for k, v in self.given.items()}
        values = {k: micros(v) if k.endswith("_us") else v for k, v in values.items()}
        return Settings(request_classes=self.request_classes, tenants=self.tenants, **values)

    def started(self) -> Balancer:
        if self.balancer is None:
            self.balancer = Balancer(self, self.settings(), 7)
            self.balancer.servers_listed(ListKind.REMEMBERED, self.entries)
        return self.balancer

    def do_given(self, key: str, value: str) -> None:
        """A setting; its type is that of the default."""
        kind = type(self.given[key])
        if kind is list:
            self.given[key] = value.split(",")
        else:
            self.given[key] = value == "yes" if kind is bool else kind(value)

    def do_class(self, name: str, effect: str, **o: str) -> None:
        self.request_classes.append(
            RequestClass(
                name,
                Effect[effect.upper()],
                Group(o.get("group", "all")),
                micros(o.get("window", "0s")),
                micros(o["target"]),
                micros(o["deadline"]),
                float(o["worth"]),
                0.0,
                zones=tuple(filter(None, o.get("zones", "").split(","))),
                kinds=tuple(filter(None, o.get("kinds", "").split(","))),
            )
        )

    def do_tenant(self, name: str, **o: str) -> None:
        self.tenants.append(Tenant(name, float(o["quota"])))

    def entry(self, name: str, condition: str, o: dict[str, str]) -> Entry:
        started_at = self.now - micros(o["age"]) if "age" in o else 0
        size = float(o.get("size", "1"))
        zone, cell, kind = o.get("zone", "z"), int(o.get("cell", "1")), o.get("kind", "")
        return Entry(name, zone, cell, Condition(condition), started_at, size, kind)

    def do_servers(self, *names: str, **o: str) -> None:
        self.entries += [self.entry(name, "ready", o) for name in names]

    def do_update(self, name: str, condition: str, **o: str) -> None:
        self.started().servers_listed(ListKind.CHANGES, [self.entry(name, condition, o)])

    def do_body(self, name: str, what: str) -> None:
        balancer = self.started()
        handlers = {
            "started": balancer.body_stream_started,
            "ended": balancer.body_stream_ended,
            "not_replayable": balancer.body_not_replayable,
        }
        handlers[what](int(name))

    def do_maintenance(self, act: str, name: str, answer: str) -> None:
        balancer = self.started()
        known = balancer.start_maintenance(name) if act == "start" else balancer.end_maintenance(name)
        assert known == (answer == "yes"), f"answered {known}"

    def do_new_settings(self, **o: str) -> None:
        """All request classes are listed again after this line; they apply from `apply_settings` on."""
        self.request_classes = []
        self.given.update({key: int(value) for key, value in o.items()})

    def do_apply_settings(self) -> None:
        self.started().settings_changed(self.settings())

    def do_list(self, word: str) -> None:
        assert word == "fails"
        self.started().list_failed()

    def do_inquiry(self, name: str, class_name: str, *flags: str, **o: str) -> None:
        time_left = (
            micros(o["time_left"])
            if "time_left" in o
            else next(t.deadline_us for t in self.request_classes if t.name == class_name)
        )
        for number in numbers(name):
            self.started().inquiry_arrived(number, class_name, o.get("tenant"), time_left, "retry" in flags)

    def do_ends(self, name: str, outcome: str, *flags: str) -> None:
        for number in numbers(name):
            attempt, _, sent_at = self.attempts[number]
            is_final = outcome == "served" or "final" in flags
            self.started().attempt_ended(
                number, attempt, Outcome[outcome.upper()], self.now - sent_at, is_final, None
            )

    def do_message(self, peer: str, kind: str, server: str, **o: str) -> None:
        """A message from another node about a server; the global limit in a reply is 4 by default."""
        message = PeerMessage(
            PeerMessageKind[kind.upper()],
            self.entry(server, "ready", {}).tag,
            int(o.get("attempts", 0)),
            int(o.get("at_start", 0)),
            micros(o.get("latency", "0us")),
            float(o.get("limit", 4)),
        )
        self.started().peer_message_received(int(peer), message)

    def do_traffic(
        self, class_name: str, rounds: str, parallel: str = "1", tenant: str | None = None, **o: str
    ) -> None:
        """Rounds of inquiries, in parallel, each answered after the time given for the server that got it."""
        tenants = tenant.split(",") if tenant else []
        times = {name: micros(time) for names, time in o.items() for name in names.split(",")}
        for _ in range(int(rounds)):
            first = 10_000 + self.traffic_count
            self.traffic_count += int(parallel)
            sent = f"{first}-{first + int(parallel) - 1}"
            options = {"tenant": tenants[self.traffic_count % len(tenants)]} if tenants else {}
            self.do_inquiry(sent, class_name, **options)
            self.do_after(f"{max(times[self.attempts[number][1]] for number in numbers(sent))}us")
            self.do_ends(sent, "served")

    def do_disconnects(self, name: str) -> None:
        self.started().client_disconnected(int(name))

    def do_after(self, text: str) -> None:
        """Let time pass and deliver the wake-ups that it reaches, in their order."""
        self.started()
        end = self.now + micros(text)
        while self.wakes and min(self.wakes)[0] <= end:
            wake = min(self.wakes)
            self.wakes.remove(wake)
            self.now = wake[0]
            self.started().alarm(wake[2])
        self.now = end

    def do_expect(self, act: str, *rest: str, **o: str) -> None:
        """`expect ACT ID to=A|B` uses up one act; the other forms check all that are left."""
        if act == "nothing":
            assert not self.acts, f"unexpected: {self.acts}"
        elif act == "count":
            number = sum(a[0] == rest[0] for a in self.acts)
            assert int(o.get("min", 0)) <= number <= int(o.get("max", 1 << 30)), f"{rest[0]}: {number} times"
            self.acts = [a for a in self.acts if a[0] != rest[0]]
        elif act == "fewer":
            count = {
                name: sum(a[0] == "send" and a[-1] == name for a in self.acts)
                for name in (o["to"], o["than"])
            }
            assert count[o["to"]] < 0.7 * count[o["than"]], f"attempts by server: {count}"
        elif act == "no":
            bad = [a for a in self.acts if a[0] == rest[0] and self.matches(a, rest[1:], o)]
            assert not bad, f"unexpected: {bad}"
        else:
            first = next((a for a in self.acts if a[0] == act and self.matches(a, rest, o)), None)
            assert first is not None, f"no such act; the acts left are {self.acts}"
            self.acts.remove(first)

    @staticmethod
    def matches(act: tuple[str, ...], rest: tuple[str, ...], o: dict[str, str]) -> bool:
        return act[1 : 1 + len(rest)] == rest and ("to" not in o or act[-1] in o["to"].split("|"))


def play(path: Path) -> None:
    """Play one scenario; a failed line raises AssertionError with its place."""
    scene = Scene()
    expected = False
    for number, line in enumerate(path.read_text().splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        method = getattr(scene, "do_" + words[0], None)
        if method is None:
            raise AssertionError(f"{path.name}:{number}: unknown word {words[0]!r}")
        options = dict(w.split("=", 1) for w in words[1:] if "=" in w)
        try:
            method(*[w for w in words[1:] if "=" not in w], **options)
        except (AssertionError, KeyError, TypeError, ValueError) as error:
            raise AssertionError(f"{path.name}:{number}: {line.strip()}: {error!r}") from error
        expected = expected or words[0] == "expect"
    if not expected:
        raise AssertionError(f"{path.name} has no expect line")


def exchange(path: Path) -> None:
    """Send the `>` lines; output must equal the `<` lines; `!` is the exit status and a text of stderr."""
    settings = (HERE / "wire" / "settings.json").read_text().strip()
    lines = [line.replace("SETTINGS", settings) for line in path.read_text().splitlines()]
    sent = "".join(line[2:].replace(" | ", "\t") + "\n" for line in lines if line.startswith("> "))
    wanted = [line[2:].replace(" | ", "\t") for line in lines if line.startswith("< ")]
    (end,) = [line[2:] for line in lines if line.startswith("! ")]
    status, _, text = end.partition(" ")
    if path.name.startswith("cut"):
        sent = sent[:-1]
    done = subprocess.run(
        [sys.executable, "-m", "coraldeal.benchlink"],
        input=sent,
        capture_output=True,
        text=True,
        timeout=60,
        cwd=HERE.parent,
        check=False,
    )
    assert done.stdout.splitlines() == wanted, f"{path.name}: {done.stdout!r} {done.stderr!r}"
    assert done.returncode == int(status), f"{path.name}: exit status {done.returncode}"
    assert text in done.stderr and "Traceback" not in done.stderr, f"{path.name}: stderr {done.stderr!r}"
    assert text or not done.stderr, f"{path.name}: stderr {done.stderr!r}"


class Scenarios(unittest.TestCase):
    """One test per file."""

    def test_unknown_word_or_unmet_expectation_fails(self) -> None:
        for name in ("unknown-word", "unmet"):
            with self.assertRaises(AssertionError):
                play(HERE / "bad" / f"{name}.txt")


def _add(folder: str, act: Any) -> None:
    for path in sorted((HERE / folder).glob("*.txt")):
        setattr(Scenarios, f"test_{folder}_{path.stem.replace('-', '_')}", lambda self, path=path: act(path))


_add("scenarios", play)
_add("wire", exchange)

if __name__ == "__main__":
    unittest.main()
