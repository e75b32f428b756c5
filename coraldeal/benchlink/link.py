"""Translates the simulator's lines into calls of a `Balancer` and the balancer's actions into lines.

Nothing is decided here. Nanoseconds of the input are rounded down to whole microseconds, so that no deadline
is taken to be later than it is.
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
# The bit of the marks of an `ask` event that says that the inquiry is a retry.
RETRY_BIT = 2


class WireError(Exception):
    """The input does not follow the simulator's protocol."""


class Node:
    """One node: the `Host` of its balancer, which appends a line to `actions` for each action."""

    __slots__ = ("actions", "balancer", "name", "now")

    def __init__(self, name: str) -> None:
        self.name = name
        self.now = 0
        self.actions: list[str] = []
        self.balancer: Balancer | None = None

    def send(self, inquiry: int, server: str, timeout_us: int) -> None:
        """Append the action `dispatch`."""
        self.actions.append(f"dispatch\t{inquiry}\t{server}\t{timeout_us * 1000}")

    def reject(self, inquiry: int, retry_after_us: int) -> None:
        """Append the action `decline`."""
        self.actions.append(f"decline\t{inquiry}\t{retry_after_us * 1000}")

    def fail(self, inquiry: int) -> None:
        """Append the action `error`."""
        self.actions.append(f"error\t{inquiry}")

    def cancel(self, inquiry: int, attempt: int) -> None:
        """Append the action `withdraw`."""
        self.actions.append(f"withdraw\t{inquiry}\t{attempt}")

    def send_to_peer(self, peer: int, message: PeerMessage) -> None:
        """Append the action `share`."""
        self.actions.append(f"share\t{peer}\t{encode_message(message).hex()}")

    def wake(self, token: str, after_us: int) -> None:
        """Append the action `schedule`."""
        self.actions.append(f"schedule\t{token}\t{after_us * 1000}")

    def follow_list(self) -> None:
        """Append the action `stream_changes`."""
        self.actions.append("stream_changes\t1")

    def log(self, text: str) -> None:
        """Append the action `journal_line`."""
        self.actions.append(f"journal_line\t{text}")


class Adapter:
    """Reads batches of events, passes each to its method in HANDLERS, and writes the actions as the reply."""

    def __init__(self, source: BinaryIO, sink: BinaryIO) -> None:
        self.source = source
        self.sink = sink
        self.line_number = 0
        self.now = 0
        self.nodes: dict[str, Node] = {}
        # The server lists that were defined, by name.
        self.lists: dict[str, list[Entry]] = {}
        self.node: Node | None = None
        self.reply: list[str] = []
        # Whether an unreadable peer message was logged; only the first one is.
        self.unreadable_logged = False

    def run(self) -> None:
        """Process batches until the input ends; raises WireError or ValueError for invalid input."""
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
                name, _, text = line.partition("\t")
                handler = handlers.get(name)
                if handler is None:
                    raise WireError(f"unknown message {name[:40]!r}")
                handler(self, text)
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
        fields = raw.decode().rstrip("\n").split("\t")
        if len(fields) != 2 or fields[0] != "turn" or not raw.endswith(b"\n"):
            raise WireError("a batch must begin with 'turn' and the time")
        self.now = int(fields[1]) // 1000
        return True

    def _flush_node(self) -> None:
        node = self.node
        if node is not None and node.actions:
            self.reply.append(f"by\t{node.name}")
            self.reply += node.actions
            node.actions.clear()

    def _split_fields(self, text: str, count: int) -> list[str]:
        fields = text.split("\t")
        if len(fields) != count:
            raise WireError(f"{count} values expected, got {len(fields) if text else 0}")
        return fields

    def _current_balancer(self) -> Balancer:
        if self.node is None or self.node.balancer is None:
            raise WireError("an event came before 'context' and 'boot'")
        return self.node.balancer

    def context(self, text: str) -> None:
        """Switch to a node, and create it if it is new. The events that follow are for it."""
        self._flush_node()
        (name,) = self._split_fields(text, 1)
        int(name)
        node = self.nodes.get(name)
        if node is None:
            node = self.nodes[name] = Node(name)
        node.now = self.now
        self.node = node

    def boot(self, text: str) -> None:
        """Create the balancer of the current node from a seed and its settings."""
        node = self.node
        if node is None:
            raise WireError("'boot' before 'context'")
        seed, settings = text.partition("\t")[::2]
        node.balancer = Balancer(node, read_settings(settings), int(seed))

    def destroy(self, text: str) -> None:
        """Drop the balancer of the current node, and its actions of this batch that are not written yet."""
        if self.node is None:
            raise WireError("'destroy' before 'context'")
        self.node.balancer = None
        self.node.actions.clear()

    def define_list(self, text: str) -> None:
        """Read a server list, one `row` line for each server, to be named by later events."""
        list_name, count = self._split_fields(text, 2)
        entries = []
        for _ in range(int(count)):
            raw = self.source.readline()
            self.line_number += 1
            if not raw.startswith(b"row\t"):
                raise WireError("'row' wanted: the list has fewer rows than announced")
            row = self._split_fields(raw.decode().rstrip("\n")[4:], 7)
            if row[4] not in CONDITIONS:
                raise WireError(f"unknown condition {row[4][:40]!r}")
            started_at = 0 if row[6] == "-" else int(row[6]) // 1000
            size = float(row[5])
            if not 0 < size < math.inf:
                raise WireError(f"a size must be finite and above 0: {row[5][:20]!r}")
            entries.append(Entry(row[0], row[1], int(row[3]), CONDITIONS[row[4]], started_at, size, row[2]))
        self.lists[list_name] = entries

    def backends_changed(self, text: str) -> None:
        """Pass a defined server list, or the failure of a list call, to the balancer."""
        list_name, _, kind = self._split_fields(text, 3)
        balancer = self._current_balancer()
        if kind == "failed":
            balancer.list_failed()
        elif kind not in KINDS:
            raise WireError(f"unknown list kind {kind[:40]!r}")
        elif list_name not in self.lists:
            raise WireError(f"list {list_name[:40]} was never defined")
        else:
            balancer.servers_listed(KINDS[kind], self.lists[list_name])

    def ask(self, text: str) -> None:
        """Report an inquiry that arrives."""
        inquiry, class_name, tenant, time_left, _, _, marks = self._split_fields(text, 7)
        bits = 0 if marks == "-" else int(marks)
        self._current_balancer().inquiry_arrived(
            int(inquiry),
            class_name,
            None if tenant in ("-", "0") else tenant,
            int(time_left) // 1000,
            bool(bits & RETRY_BIT),
        )

    def headers(self, text: str) -> None:
        """Check the form of the start of a streamed answer. Its end is reported as for any other answer."""
        for number in self._split_fields(text, 4)[::3]:
            int(number)

    def answer(self, text: str) -> None:
        """Report the end of an attempt."""
        inquiry, attempt, _, code, latency, is_final, report = self._split_fields(text, 7)
        if code not in OUTCOMES or is_final not in FLAGS:
            raise WireError(f"unknown code or flag {code[:20]!r}, {is_final[:20]!r}")
        self._current_balancer().attempt_ended(
            int(inquiry),
            int(attempt),
            OUTCOMES[code],
            int(latency) // 1000,
            FLAGS[is_final],
            _parse_report(report),
        )

    def hangup(self, text: str) -> None:
        """Report a caller that has disconnected."""
        (inquiry,) = self._split_fields(text, 1)
        self._current_balancer().client_disconnected(int(inquiry))

    def bell(self, text: str) -> None:
        """Report that the delay of a scheduled wake-up is over."""
        (token,) = self._split_fields(text, 1)
        self._current_balancer().alarm(token)

    def check_result(self, text: str) -> None:
        """Check the form of a probe's result. The balancer does not use probes."""
        server, code, latency, report = self._split_fields(text, 4)
        if code not in OUTCOMES:
            raise WireError(f"unknown code {code[:20]!r}")
        int(latency)
        _parse_report(report)

    def inbox(self, text: str) -> None:
        """Pass a peer message to the balancer; an unreadable one is ignored."""
        peer, payload = self._split_fields(text, 2)
        message = decode_message(b"" if payload == "-" else bytes.fromhex(payload))
        if message is None:
            # Ignored: its sender may run another version of the program.
            if not self.unreadable_logged:
                self._current_balancer().host.log(
                    f"a message from node {peer} cannot be read: {payload[:40]}"
                )
            self.unreadable_logged = True
            return
        self._current_balancer().peer_message_received(int(peer), message)


def _parse_report(text: str) -> dict[str, float] | None:
    if text == "-" or not text:
        return None
    return {name: float(value) for name, _, value in (pair.partition(":") for pair in text.split(","))}


HANDLERS: dict[str, Callable[[Adapter, str], None]] = {
    "context": Adapter.context,
    "boot": Adapter.boot,
    "destroy": Adapter.destroy,
    "define_list": Adapter.define_list,
    "backends_changed": Adapter.backends_changed,
    "ask": Adapter.ask,
    "headers": Adapter.headers,
    "reply": Adapter.answer,
    "hangup": Adapter.hangup,
    "bell": Adapter.bell,
    "check_result": Adapter.check_result,
    "inbox": Adapter.inbox,
}


def _describe(error: BaseException) -> str:
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].name}, line {frames[-1].lineno}" if frames else "unknown place"
    return f"{type(error).__name__} in {place}: {str(error)[:200]}".replace("\n", " ")


def _is_from_balancer(error: BaseException) -> bool:
    """Return whether the error arose in the decisions rather than in reading the input."""
    return any(frame.filename.endswith("balance.py") for frame in traceback.extract_tb(error.__traceback__))


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Process the simulator's batches until the input ends; return 0, or 1 after an error.

    An error of the settings or of the decisions is reported to the simulator as a `bug`. Every error is
    written to `errors`.
    """
    adapter = Adapter(source, sink)

    def report_bug(text: str) -> None:
        name = adapter.node.name if adapter.node else "0"
        sink.write(f"by\t{name}\nbug\t{text}\nend\n".encode())
        sink.flush()

    try:
        adapter.run()
    except SettingsError as error:
        report_bug(str(error))
        print(f"line {adapter.line_number}: {error}", file=errors)
        return 1
    except Exception as error:
        if _is_from_balancer(error):
            report_bug(_describe(error))
            traceback.print_exc(file=errors)
        elif isinstance(error, WireError | ValueError):
            print(f"line {adapter.line_number}: {error}", file=errors)
        else:
            raise
        return 1
    return 0
