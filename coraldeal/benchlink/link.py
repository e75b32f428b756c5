"""Wire text to calls on a balancer, and the balancer's acts to wire text. No decision is taken here.

Nanoseconds become whole microseconds on the way in, rounded down, so that an end is never seen late.
"""

from __future__ import annotations

import math
import traceback
from collections.abc import Callable
from typing import BinaryIO, TextIO

from coraldeal.balance import Balancer
from coraldeal.config import SettingsError, read_settings
from coraldeal.interface import Condition, Entry, ListKind, Outcome, PeerMessage
from coraldeal.peer_messages import decode_message, encode_message

OUTCOMES = {
    "10": Outcome.SERVED,
    "20": Outcome.ERROR,
    "30": Outcome.FULL,
    "40": Outcome.TIMEOUT,
    "50": Outcome.CONNECT_FAILED,
    "60": Outcome.RESET,
    "70": Outcome.CANCELLED,
    "80": Outcome.NOT_STARTED,
}
CONDITIONS = {"live": Condition.READY, "quiescing": Condition.DRAINING, "dead": Condition.GONE}
KINDS = {"delta": ListKind.CHANGES, "full": ListKind.SNAPSHOT, "cached": ListKind.REMEMBERED}
FLAGS = {"0": False, "1": True, "-": False}
REPEAT_BIT = 2


class WireError(Exception):
    """The input is not as the wire's page says."""


class Node:
    """One instance: the host that its balancer acts through, writing each act straight as a line."""

    __slots__ = ("balancer", "name", "now", "out")

    def __init__(self, name: str) -> None:
        self.name = name
        self.now = 0
        self.out: list[str] = []
        self.balancer: Balancer | None = None

    def send(self, inquiry: int, server: str, timeout_us: int) -> None:
        self.out.append(f"dispatch\t{inquiry}\t{server}\t{timeout_us * 1000}")

    def reject(self, inquiry: int, retry_after_us: int) -> None:
        self.out.append(f"decline\t{inquiry}\t{retry_after_us * 1000}")

    def fail(self, inquiry: int) -> None:
        self.out.append(f"error\t{inquiry}")

    def cancel(self, inquiry: int, attempt: int) -> None:
        self.out.append(f"withdraw\t{inquiry}\t{attempt}")

    def send_to_peer(self, peer: int, message: PeerMessage) -> None:
        self.out.append(f"share\t{peer}\t{encode_message(message).hex()}")

    def wake(self, token: str, after_us: int) -> None:
        self.out.append(f"schedule\t{token}\t{after_us * 1000}")

    def follow_list(self) -> None:
        self.out.append("stream_changes\t1")

    def log(self, text: str) -> None:
        self.out.append(f"journal_line\t{text}")


class Link:
    """Reads batches and hands each line to the method that is named for it in HANDLERS."""

    def __init__(self, source: BinaryIO, sink: BinaryIO) -> None:
        self.source = source
        self.sink = sink
        self.line_number = 0
        self.now = 0
        self.nodes: dict[str, Node] = {}
        self.sheets: dict[str, list[Entry]] = {}
        self.node: Node | None = None
        self.reply: list[str] = []
        # Whether a message that cannot be read was told of.
        self.noted = False

    def run(self) -> None:
        readline, handlers = self.source.readline, HANDLERS
        while self._next_batch(readline):
            while True:
                raw = readline()
                self.line_number += 1
                if not raw.endswith(b"\n"):
                    raise WireError("input ends inside a batch")
                line = raw.decode()[:-1]
                if line == "your_turn":
                    break
                name, _, rest = line.partition("\t")
                handler = handlers.get(name)
                if handler is None:
                    raise WireError(f"unknown message {name[:40]!r}")
                handler(self, rest)
            self._flush_node()
            self.node = None
            self.reply.append("end\n")
            self.sink.write("\n".join(self.reply).encode())
            self.sink.flush()
            self.reply.clear()

    def _next_batch(self, readline: Callable[[], bytes]) -> bool:
        raw = readline()
        self.line_number += 1
        if not raw:
            return False
        parts = raw.decode().rstrip("\n").split("\t")
        if len(parts) != 2 or parts[0] != "turn" or not raw.endswith(b"\n"):
            raise WireError("a batch must open with 'turn' and the clock")
        self.now = int(parts[1]) // 1000
        return True

    def _flush_node(self) -> None:
        node = self.node
        if node is not None and node.out:
            self.reply.append(f"by\t{node.name}")
            self.reply += node.out
            node.out.clear()

    def _fields(self, rest: str, count: int) -> list[str]:
        fields = rest.split("\t")
        if len(fields) != count:
            raise WireError(f"{count} values wanted, {len(fields) if rest else 0} found")
        return fields

    def _current(self) -> Balancer:
        if self.node is None or self.node.balancer is None:
            raise WireError("an event before 'context' and 'boot'")
        return self.node.balancer

    def context(self, rest: str) -> None:
        self._flush_node()
        (name,) = self._fields(rest, 1)
        int(name)
        node = self.nodes.get(name)
        if node is None:
            node = self.nodes[name] = Node(name)
        node.now = self.now
        self.node = node

    def boot(self, rest: str) -> None:
        node = self.node
        if node is None:
            raise WireError("'boot' before 'context'")
        seed, text = rest.partition("\t")[::2]
        node.balancer = Balancer(node, read_settings(text), int(seed))

    def destroy(self, rest: str) -> None:
        if self.node is None:
            raise WireError("'destroy' before 'context'")
        self.node.balancer = None
        self.node.out.clear()

    def define_list(self, rest: str) -> None:
        sheet, count = self._fields(rest, 2)
        entries = []
        for _ in range(int(count)):
            raw = self.source.readline()
            self.line_number += 1
            if not raw.startswith(b"row\t"):
                raise WireError("'row' wanted: the list is shorter than it says")
            row = self._fields(raw.decode().rstrip("\n")[4:], 7)
            if row[4] not in CONDITIONS:
                raise WireError(f"unknown condition {row[4][:40]!r}")
            born = 0 if row[6] == "-" else int(row[6]) // 1000
            size = float(row[5])
            if not 0 < size < math.inf:
                raise WireError(f"a size must be above 0: {row[5][:20]!r}")
            entries.append(Entry(row[0], row[1], int(row[3]), CONDITIONS[row[4]], born, size, row[2]))
        self.sheets[sheet] = entries

    def backends_changed(self, rest: str) -> None:
        sheet, _, kind = self._fields(rest, 3)
        balancer = self._current()
        if kind == "failed":
            balancer.list_failed()
        elif kind not in KINDS:
            raise WireError(f"unknown list kind {kind[:40]!r}")
        elif sheet not in self.sheets:
            raise WireError(f"list {sheet[:40]} was never defined")
        else:
            balancer.servers_listed(KINDS[kind], self.sheets[sheet])

    def ask(self, rest: str) -> None:
        inquiry, track, tenant, left, _, _, marks = self._fields(rest, 7)
        bits = 0 if marks == "-" else int(marks)
        self._current().inquiry_arrived(
            int(inquiry),
            track,
            None if tenant in ("-", "0") else tenant,
            int(left) // 1000,
            bool(bits & REPEAT_BIT),
        )

    def headers(self, rest: str) -> None:
        """A streamed answer has begun: nothing is decided by that, its end is told like any other's."""
        for figure in self._fields(rest, 4)[::3]:
            int(figure)

    def answer(self, rest: str) -> None:
        inquiry, attempt, _, code, latency, over, gauge = self._fields(rest, 7)
        if code not in OUTCOMES or over not in FLAGS:
            raise WireError(f"unknown code or flag {code[:20]!r}, {over[:20]!r}")
        self._current().attempt_ended(
            int(inquiry), int(attempt), OUTCOMES[code], int(latency) // 1000, FLAGS[over], _report(gauge)
        )

    def hangup(self, rest: str) -> None:
        (inquiry,) = self._fields(rest, 1)
        self._current().client_disconnected(int(inquiry))

    def bell(self, rest: str) -> None:
        (token,) = self._fields(rest, 1)
        self._current().alarm(token)

    def check_result(self, rest: str) -> None:
        server, code, latency, gauge = self._fields(rest, 4)
        if code not in OUTCOMES:
            raise WireError(f"unknown code {code[:20]!r}")
        int(latency)
        _report(gauge)

    def inbox(self, rest: str) -> None:
        peer, words = self._fields(rest, 2)
        note = decode_message(b"" if words == "-" else bytes.fromhex(words))
        if note is None:
            # Passed over: another version of the program may stand behind it.
            if not self.noted:
                self._current().host.log(f"a message from node {peer} cannot be read: {words[:40]}")
            self.noted = True
            return
        self._current().peer_message_received(int(peer), note)


def _report(gauge: str) -> dict[str, float] | None:
    if gauge == "-" or not gauge:
        return None
    return {name: float(value) for name, _, value in (pair.partition(":") for pair in gauge.split(","))}


HANDLERS: dict[str, Callable[[Link, str], None]] = {
    "context": Link.context,
    "boot": Link.boot,
    "destroy": Link.destroy,
    "define_list": Link.define_list,
    "backends_changed": Link.backends_changed,
    "ask": Link.ask,
    "headers": Link.headers,
    "reply": Link.answer,
    "hangup": Link.hangup,
    "bell": Link.bell,
    "check_result": Link.check_result,
    "inbox": Link.inbox,
}


def _blame(error: BaseException) -> str:
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].name}, line {frames[-1].lineno}" if frames else "unknown place"
    return f"{type(error).__name__} in {place}: {str(error)[:200]}".replace("\n", " ")


def _in_module(error: BaseException) -> bool:
    """True when the trouble arose in the decisions and not in reading the wire."""
    return any(frame.filename.endswith("balance.py") for frame in traceback.extract_tb(error.__traceback__))


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Play the bench's batches until the input ends; the exit status is 0 only if all went well."""
    link = Link(source, sink)

    def report_bug(text: str) -> None:
        name = link.node.name if link.node else "0"
        sink.write(f"by\t{name}\nbug\t{text}\nend\n".encode())
        sink.flush()

    try:
        link.run()
    except SettingsError as error:
        report_bug(str(error))
        print(f"line {link.line_number}: {error}", file=errors)
        return 1
    except Exception as error:
        if _in_module(error):
            report_bug(_blame(error))
            traceback.print_exc(file=errors)
        elif isinstance(error, WireError | ValueError):
            print(f"line {link.line_number}: {error}", file=errors)
        else:
            raise
        return 1
    return 0
