"""The four rules, checked from the records of callers, servers and lists alone; nodes contribute no records.

- lost: each inquiry has one final answer in time, and nothing is sent for it afterwards;
- twice: a request that is not idempotent is executed at most once;
- drain: a server receives no new request later than the grace after the node was notified of its drain;
- cold: a cold server does not collapse under the work of nodes that were notified of its start.

Each violation names its rule, the inquiry or server, and the trace: its records in order of time.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from math import inf

import msgspec

from coraldeal.rig import notification as notification_rules
from coraldeal.rig.experiment import Experiment
from coraldeal.rig.records import AttemptRecord, ListRecord, NotificationRecord, Records, TryRecord

RULES = ("lost", "twice", "drain", "cold")
# Microseconds after a client has left within which an attempt may still begin.
CLIENT_LEFT_SLACK_US = 100_000
# The notification rules that the rig's lists and nodes can break. The rule for the end of a watch is left to
# the experiments that distinguish watches.
CHECKED_RULES = (
    notification_rules.after_longest_delay,
    notification_rules.after_sighup,
    notification_rules.by_push,
)
# Violations of each rule that are reported with their traces; all are counted.
MAX_REPORTED = 20
# Lines of a trace that are reported.
MAX_TRACE_LINES = 40


class Violation(msgspec.Struct):
    """One violation of a rule."""

    rule: str
    what: str
    at_us: int
    trace: list[str]


@dataclass(frozen=True, slots=True)
class NodeEvent:
    """An event at a node: `node_kill`, `node_term`, `node_hup`, `crashed` or `ready`."""

    layer: int
    node: int
    at_us: int
    event: str


class RuleChecker:
    """Reads the records of a run once and finds the violations of the rules."""

    def __init__(
        self, experiment: Experiment, records: Records, node_events: list[NodeEvent], start_us: int
    ) -> None:
        self.experiment = experiment
        self.records = records
        self.node_events = node_events
        self.start_us = start_us
        self.slack_us = int(experiment.slack_ms * 1000)
        self.request_classes = {spec.name: spec for spec in experiment.load.tracks}
        # Attempts by request id, in order of time.
        self.attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in sorted(records.attempts, key=lambda attempt: attempt.first_us):
            self.attempts[attempt.id].append(attempt)
        # The tries of each inquiry.
        self.inquiries: dict[tuple[int, str, int], list[TryRecord]] = defaultdict(list)
        for try_record in records.tries:
            # Servers number their own calls, so the calls of two servers differ only by their node.
            sender = "" if try_record.layer == 0 else str(try_record.node)
            self.inquiries[try_record.layer, sender, try_record.inquiry].append(try_record)
        self.violations: list[Violation] = []
        self.counts = dict.fromkeys(RULES, 0)

    def check(self) -> list[Violation]:
        """Return the violations in order of time, up to `MAX_REPORTED` for each rule."""
        for tries in self.inquiries.values():
            for try_record in tries:
                self._check_lost(try_record, tries)
            self._check_twice(tries)
        self._check_drains()
        self._check_cold()
        self.violations.sort(key=lambda violation: violation.at_us)
        return self.violations

    def _add_violation(self, rule: str, what: str, at_us: int, trace: list[str]) -> None:
        self.counts[rule] += 1
        if self.counts[rule] <= MAX_REPORTED:
            self.violations.append(Violation(rule, what, at_us, trace[:MAX_TRACE_LINES]))

    # No inquiry is lost.

    def _check_lost(self, try_record: TryRecord, tries: list[TryRecord]) -> None:
        """Check that a try has one answer of its own in time, and that nothing is sent for it afterwards."""
        if try_record.failure == "left" and try_record.sent_us:
            self._check_sent_after_leaving(try_record, tries)
        if (
            try_record.node < 0
            or not try_record.sent_us
            or try_record.failure in ("left", "refused", "ended")
        ):
            return
        if not try_record.status:
            if not self._is_excused(try_record):
                self._add_violation(
                    "lost", f"no answer: {try_record.failure}", try_record.end_us, self.trace(tries)
                )
            return
        if try_record.status == 200 and not try_record.is_own:
            self._add_violation(
                "lost", "an answer that no server made for this request", try_record.end_us, self.trace(tries)
            )
        if try_record.has_surplus:
            self._add_violation("lost", "more than one answer", try_record.end_us, self.trace(tries))
        if try_record.end_us > try_record.sent_us + try_record.deadline_us + self.slack_us:
            self._add_violation("lost", "answered after the deadline", try_record.end_us, self.trace(tries))
        for attempt in self.attempts[try_record.id]:
            if attempt.first_us > try_record.end_us + self.slack_us:
                self._add_violation(
                    "lost", "sent after its final answer", attempt.first_us, self.trace(tries)
                )
                break

    def _check_sent_after_leaving(self, try_record: TryRecord, tries: list[TryRecord]) -> None:
        """Check that no attempt begins long after the client has left."""
        latest_us = try_record.end_us + CLIENT_LEFT_SLACK_US + self.slack_us
        for attempt in self.attempts[try_record.id]:
            if try_record.node >= 0 and attempt.first_us > latest_us:
                self._add_violation(
                    "lost", "sent after its client had left", attempt.first_us, self.trace(tries)
                )
                break

    def _is_excused(self, try_record: TryRecord) -> bool:
        """Return whether the node was killed before the end of the try and not ready again before its start.

        The caller has to repeat a request that a node held when it was killed, and one that was written to a
        node that was not up. A node that was told to terminate still owes an answer to each request that it
        accepted.
        """
        killed_at = None
        for event in self.node_events:
            if (event.layer, event.node) != (try_record.layer, try_record.node):
                continue
            if event.event == "node_kill" and event.at_us <= try_record.end_us:
                killed_at = event.at_us
            elif event.event == "ready" and killed_at is not None and event.at_us < try_record.sent_us:
                killed_at = None
        return killed_at is not None

    # Nothing is executed twice.

    def _check_twice(self, tries: list[TryRecord]) -> None:
        """Check an inquiry that is not idempotent.

        Its tries run at most once, are not rejected after they ran, and have no two attempts at a time.
        """
        request_class = self.request_classes[tries[0].request_class]
        if request_class.effect == "redoable":
            return
        for try_record in tries:
            ran = [attempt for attempt in self.attempts[try_record.id] if attempt.ran]
            if len(ran) > 1:
                servers = ", ".join(attempt.server for attempt in ran)
                self._add_violation(
                    "twice", f"ran {len(ran)} times: {servers}", ran[1].first_us, self.trace(tries)
                )
            elif (
                ran
                and try_record.status in (429, 503)
                and not (request_class.effect == "labelled" and request_class.group == "all")
            ):
                self._add_violation(
                    "twice",
                    "rejected although it ran: a retry would run it again",
                    try_record.end_us,
                    self.trace(tries),
                )
            open_until = 0
            for attempt in self.attempts[try_record.id]:
                if (
                    attempt.first_us < open_until
                    and attempt.end_us
                    and request_class.effect == "irreversible"
                ):
                    self._add_violation(
                        "twice",
                        "a second attempt began while one was open",
                        attempt.first_us,
                        self.trace(tries),
                    )
                    break
                if attempt.result not in ("declined",):
                    open_until = max(open_until, attempt.end_us)

    # Drains are respected.

    def _check_drains(self) -> None:
        """Check that no attempt reaches a server after the grace that follows the drain notification."""
        notifications: dict[tuple[int, int, str], list[NotificationRecord]] = defaultdict(list)
        for notification in sorted(
            self.records.told + self._implied_notifications(), key=lambda notification: notification.at_us
        ):
            notifications[notification.layer, notification.node, notification.server].append(notification)
        if not notifications:
            return
        grace = int(self.experiment.drain_grace_ms * 1000) + 50_000
        node_of = {try_record.id: try_record.node for try_record in self.records.tries}
        tries_of = {try_record.id: tries for tries in self.inquiries.values() for try_record in tries}
        for request_id, attempts in self.attempts.items():
            node = node_of.get(request_id, -1)
            if node < 0:
                continue
            for attempt in attempts:
                drain = None
                for notification in notifications.get((attempt.layer, node, attempt.server), ()):
                    if notification.at_us > attempt.first_us:
                        break
                    # The first notification of a drain counts, until the list says that the server is ready
                    # again.
                    if notification.condition == "Ready":
                        drain = None
                    elif drain is None:
                        drain = notification
                if drain is not None and attempt.first_us > drain.at_us + grace:
                    delay_ms = (attempt.first_us - drain.at_us) // 1000
                    text = (
                        f"{attempt.server} received a request {delay_ms} ms after node {node} was notified: "
                        f"{drain.condition}"
                    )
                    self._add_violation("drain", text, attempt.first_us, self.trace(tries_of[request_id]))

    def _implied_notifications(self) -> list[NotificationRecord]:
        """Return drains that count as notified by the rules before the list has sent them to the node."""
        notifications = []
        nodes = dict.fromkeys(
            (try_record.layer, try_record.node) for try_record in self.records.tries if try_record.node >= 0
        )
        for layer, node in nodes:
            history = self._node_history(layer, node)
            outages = self._outages(layer)
            changes = [row for row in self.records.lists if row.layer == layer and row.event == "has"]
            for place, change in enumerate(changes):
                if change.condition == "Ready":
                    continue
                at, _ = notification_rules.notified_at(
                    history, notification_rules.Change(0, change.at_us / 1e6), outages, CHECKED_RULES
                )
                later_changes = [
                    later.at_us for later in changes[place + 1 :] if later.server == change.server
                ]
                if at * 1e6 < min(later_changes, default=inf):
                    notifications.append(
                        NotificationRecord(node, layer, int(at * 1e6), change.server, change.condition, 0)
                    )
        return notifications

    def _node_history(self, layer: int, node: int) -> notification_rules.NodeHistory:
        sighups = [
            event.at_us / 1e6
            for event in self.node_events
            if (event.layer, event.node, event.event) == (layer, node, "node_hup")
        ]
        is_pushed = self.experiment.world.list_mode == "push"
        return notification_rules.NodeHistory(inf, is_pushed=is_pushed, sighups=sighups)

    def _outages(self, layer: int) -> list[notification_rules.Outage]:
        """Return the outages of a tier's list; the last one may have no end."""
        outages: list[notification_rules.Outage] = []
        changes: list[ListRecord] = [row for row in self.records.lists if row.layer == layer]
        for change in changes:
            if change.event == "down":
                outages.append(notification_rules.Outage(change.at_us / 1e6))
            elif change.event == "up" and outages:
                outages[-1] = notification_rules.Outage(outages[-1].began, change.at_us / 1e6)
        return outages

    # No cold server collapses.

    def _check_cold(self) -> None:
        """Find collapsed cold servers with two thirds of their work from nodes notified of their start."""
        node_of = {try_record.id: try_record.node for try_record in self.records.tries}
        starts = {
            (row.server, row.incarnation): row.at_us for row in self.records.servers if row.event == "up"
        }
        for row in self.records.servers:
            if row.event != "fell":
                continue
            started_at = starts.get((row.server, row.incarnation), 0)
            notified_at = {
                notification.node: notification.at_us
                for notification in reversed(self.records.told)
                if notification.server == row.server
                and notification.condition == "Ready"
                and notification.at_us >= started_at
            }
            work = notified_work = 0
            for attempt in self.records.attempts:
                if (attempt.server, attempt.incarnation) == (row.server, row.incarnation):
                    node = node_of.get(attempt.id, -1)
                    work += attempt.work_us
                    if node < 0 or notified_at.get(node, attempt.first_us + 1) <= attempt.first_us:
                        notified_work += attempt.work_us
            if notified_work * 3 < work * 2:
                continue
            requests = [
                f"{self._format_time(a.first_us)} {a.id} {a.request_class} {a.work_us} us "
                f"from zone {a.zone}: {a.result}"
                for a in self.records.attempts
                if a.server == row.server and a.incarnation == row.incarnation and a.first_us <= row.at_us
            ]
            text = f"{row.server} collapsed cold, process {row.incarnation}, after {len(requests)} requests"
            self._add_violation("cold", text, row.at_us, requests[-MAX_TRACE_LINES:])

    # Traces.

    def _format_time(self, at_us: int) -> str:
        """Return a time as seconds from the start of the run."""
        return f"{(at_us - self.start_us) / 1e6:9.4f}"

    def trace(self, tries: list[TryRecord]) -> list[str]:
        """Return the records of an inquiry and the events at its nodes, a line each, in order of time."""
        lines: list[tuple[int, str]] = []
        for try_record in tries:
            name = f"try {try_record.number} {try_record.id}"
            target = f"node {try_record.node}" if try_record.node >= 0 else "a server"
            lines.append(
                (
                    try_record.intended_us,
                    f"{name} {try_record.request_class} scheduled, {try_record.deadline_us // 1000} ms left",
                )
            )
            if try_record.sent_us:
                lines.append((try_record.sent_us, f"{name} sent to {target}"))
            if try_record.end_us:
                end = (
                    f"answered {try_record.status}"
                    if try_record.status
                    else f"no answer: {try_record.failure}"
                )
                lines.append((try_record.end_us, f"{name} {end}"))
            for attempt in self.attempts[try_record.id]:
                server = f"{attempt.server} process {attempt.incarnation}, from zone {attempt.zone}"
                lines.append((attempt.first_us, f"  attempt reaches {server}"))
                if attempt.end_us:
                    ran = "ran" if attempt.ran else "not run"
                    lines.append(
                        (attempt.end_us, f"  attempt ends at {attempt.server}: {attempt.result}, {ran}")
                    )
        for event in self.node_events:
            if any(event.node == try_record.node and event.layer == try_record.layer for try_record in tries):
                lines.append((event.at_us, f"node {event.node}: {event.event}"))
        lines.sort(key=lambda line: line[0])
        return [f"{self._format_time(at)} {text}" for at, text in lines]
