"""Child process of the rig with stand-in servers or callers: `python -m coraldeal.rig.child servers`.

The parent process writes a job and then messages to the child's standard input (see jobs.py).
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import msgspec

from coraldeal.rig import clock
from coraldeal.rig.callers import LATE_THRESHOLD_US, CallerInquiry, CallerPool, Target
from coraldeal.rig.clock import now_us, own_cpu_s, sleep_until
from coraldeal.rig.experiment import Experiment, Load, TierSpec
from coraldeal.rig.jobs import (
    Begin,
    CallersJob,
    ChildMessage,
    Failed,
    Nodes,
    ParentMessage,
    Progress,
    Ready,
    ServersJob,
    Stop,
)
from coraldeal.rig.load import PlannedInquiry, make_plan
from coraldeal.rig.model import Group, ServerSpec
from coraldeal.rig.records import LatenessRecord, Records
from coraldeal.rig.standins import StandIn
from coraldeal.rig.timeline import Step

# Seconds between progress messages, and between checks for a late event loop.
PROGRESS_INTERVAL_S = 0.5
LATENESS_CHECK_INTERVAL_S = 0.05


def send_message(message: ChildMessage) -> None:
    """Write a message to the parent process as one line of JSON."""
    sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
    sys.stdout.buffer.flush()


def server_spec(tier: TierSpec, index: int) -> ServerSpec:
    """Return the model parameters of a server of the tier; speeds are spread evenly over its servers."""
    slow, fast = tier.speed
    fraction = index / max(1, tier.servers - 1)
    choke = tier.choke
    return ServerSpec(
        cores=tier.cores,
        slots=tier.slots,
        speed=slow + (fast - slow) * fraction,
        queue=tier.queue,
        delay_us=int(tier.delay_ms * 1000),
        handshake_us=int(tier.handshake_ms * 1000),
        handshake_work_us=int(tier.handshake_work_ms * 1000),
        connections=tier.connections,
        cold_capacity=tier.cold_from,
        warm_us=int(tier.warm_seconds * 1e6),
        collapse_multiple=tier.fall_multiple,
        collapse_window_us=int(tier.fall_seconds * 1e6),
        overload_jobs=choke.over if choke else 0,
        overload_us=int(choke.seconds * 1e6) if choke else 0,
        degraded_factor=choke.slower if choke else 1.0,
        recovery_us=int(choke.rest_seconds * 1e6) if choke else 0,
        max_degraded_us=int(choke.most_seconds * 1e6) if choke else 0,
        error_every=tier.error_every,
        stops_running=tier.stops_running,
        report_every_us=int(tier.report_every_ms * 1000),
        probe_work_us=int(tier.probe_work_ms * 1000),
    )


def zone_and_group(experiment: Experiment, layer: int, index: int) -> tuple[str, int]:
    """Return the zone of a server and the index of its group; groups are assigned to the zones in turn."""
    tier, zones = experiment.world.tiers[layer], experiment.world.zones
    group = index // tier.group
    return zones[group % len(zones)], group


def zone_delays_s(experiment: Experiment, zone: str) -> dict[str, float]:
    """Return the one-way delay in seconds from each zone to this one."""
    world = experiment.world
    return {other: 0.0 if other == zone else world.zone_delay_ms / 1000 for other in world.zones}


class Child:
    """Base of both kinds of child process: reads parent messages, reports progress, and writes records."""

    def __init__(self, process: str, records_path: str, input_stream: asyncio.StreamReader) -> None:
        self.records = Records(process=process)
        self.path = Path(records_path)
        self.input_stream = input_stream
        self.cpu_at_start_s = 0.0

    async def next_message(self) -> ParentMessage:
        """Wait for the next message of the parent; the end of the input is Stop."""
        line = await self.input_stream.readline()
        return msgspec.json.decode(line, type=ParentMessage) if line.strip() else Stop()

    def load_started(self) -> None:
        """Note the CPU time used before the load."""
        self.cpu_at_start_s = own_cpu_s()

    def load_ended(self) -> None:
        """Record the CPU time used during the load."""
        self.records.cpu_s = own_cpu_s() - self.cpu_at_start_s

    async def report_progress(self, progress: Callable[[], Progress]) -> None:
        """Send progress messages periodically, and record when this event loop itself runs late."""
        expected_us = reported_us = now_us()
        while True:
            expected_us += int(LATENESS_CHECK_INTERVAL_S * 1e6)
            await asyncio.sleep(max(0, expected_us - now_us()) / 1e6)
            now = now_us()
            if now - expected_us > LATE_THRESHOLD_US:
                self.records.late.append(LatenessRecord(self.records.process, now, now - expected_us))
                expected_us = now
            if now - reported_us >= PROGRESS_INTERVAL_S * 1e6:
                reported_us = now
                send_message(progress())


async def _open_input() -> asyncio.StreamReader:
    reader = asyncio.StreamReader(limit=1 << 28)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


class ServersChild(Child):
    """Runs the stand-in servers of one child process."""

    def __init__(self, job: ServersJob, input_stream: asyncio.StreamReader) -> None:
        super().__init__(job.process, job.book, input_stream)
        self.job = job
        self.standins: dict[str, StandIn] = {}
        # Attempts of each server, and how many attempt records have been counted for it.
        self.served: Counter[str] = Counter()
        self.counted_records = 0
        # For each server the pool through which it calls the next tier.
        self.caller_pools: dict[str, CallerPool] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Start the servers, run their timeline until Stop, and write the records."""
        experiment = self.job.experiment
        groups: dict[tuple[int, int], Group] = {}
        for layer, indices in enumerate(self.job.places):
            tier = experiment.world.tiers[layer]
            has_next_tier = layer + 1 < len(experiment.world.tiers)
            for index in indices:
                zone, number = zone_and_group(experiment, layer, index)
                if (layer, number) not in groups:
                    limit = tier.group_limit * tier.group * tier.cores * sum(tier.speed) / 2
                    groups[layer, number] = Group(limit, int(tier.window_seconds * 1e6))
                name = f"{tier.name}-{index}"
                standin = self.standins[name] = StandIn(
                    name,
                    layer,
                    zone,
                    server_spec(tier, index),
                    groups[layer, number],
                    self.records,
                    self.job.seed,
                    fields=tier.reports,
                    probes=tier.probes,
                    idle_us=int(tier.idle_seconds * 1e6),
                    work_fraction=tier.work_part,
                    call=self._next_tier_caller(name) if has_next_tier else None,
                )
                await standin.start(zone_delays_s(experiment, zone))
                if tier.idle_between_seconds:
                    self._set_idle_range(standin, tier.idle_between_seconds)
        send_message(Ready({name: standin.ports for name, standin in self.standins.items()}))
        progress: asyncio.Task[None] | None = None
        while not isinstance(message := await self.next_message(), Stop):
            if isinstance(message, Nodes):
                self._set_nodes(message)
            elif isinstance(message, Begin):
                self.load_started()
                progress = asyncio.create_task(self.report_progress(self._progress))
                self.tasks.append(asyncio.create_task(self._run_timeline(message.start_us)))
        self.load_ended()
        for task in [*self.tasks, *([progress] if progress else [])]:
            task.cancel()
        self.records.write(self.path)

    def _set_idle_range(self, standin: StandIn, between: tuple[float, float]) -> None:
        """Set the range of idle times, in seconds, after which the server closes a connection."""
        standin.faults.min_idle_us, standin.faults.max_idle_us = (int(s * 1e6) for s in between)

    def _set_nodes(self, message: Nodes) -> None:
        """Create for each server the pool that calls the next tier through the server's own node."""
        experiment = self.job.experiment
        load = msgspec.structs.replace(experiment.load, retries=0, try_part=1.0, leave=0.0, tenants=[])
        for name, (number, port) in message.ports.items():
            if name in self.standins:
                layer = self.standins[name].layer + 1
                self.caller_pools[name] = CallerPool(
                    experiment.load.tracks,
                    load,
                    [Target(number, "", port)],
                    self.records,
                    id_prefix=f"{layer:x}{number:03x}",
                    layer=layer,
                    slack_us=int(experiment.slack_ms * 1000),
                )

    def _next_tier_caller(self, name: str) -> Callable[[str, int, int], asyncio.Future[bool]]:
        """Return the function by which a server calls the next tier.

        The function makes calls one after another, each with the time that is left, and returns a future that
        is true if all of them succeeded.
        """
        numbers = iter(range(1 << 60))
        names = [spec.name for spec in self.job.experiment.load.tracks]

        def call(class_name: str, calls: int, until_us: int) -> asyncio.Future[bool]:
            done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
            class_index = names.index(class_name) if class_name in names else 0
            spec = self.job.experiment.load.tracks[class_index]

            def start_next_call(previous: CallerInquiry | None, has_succeeded: bool) -> None:
                nonlocal calls
                time_left_us = until_us - now_us() if until_us else int(spec.patience_ms * 1000)
                if done.done():
                    return
                if not has_succeeded or calls == 0 or time_left_us <= 0 or name not in self.caller_pools:
                    done.set_result(has_succeeded and calls == 0)
                    return
                calls -= 1
                number = next(numbers)
                work_us = int(spec.work_ms * 1000)
                idempotency_key = f"{name}-{number}"
                planned = PlannedInquiry(0, class_index, -1, work_us, 0, 0, idempotency_key, 0, True)
                # The deadline of the class counts from the original inquiry: the intended time is set back,
                # so that the call has just the time that is left.
                intended_us = now_us() - int(spec.patience_ms * 1000) + time_left_us
                CallerInquiry(
                    self.caller_pools[name], number, planned, intended_us, start_next_call
                ).start_try(now_us())

            start_next_call(None, True)
            return done

        return call

    async def _run_timeline(self, start_us: int) -> None:
        """Apply the steps of the timeline whose targets are servers of this process."""
        for step in self.job.steps:
            standin = self.standins.get(step.target)
            if standin is None:
                continue
            await sleep_until(start_us + step.at_us)
            await self._apply_step(standin, step)

    async def _apply_step(self, standin: StandIn, step: Step) -> None:
        faults, now = standin.faults, now_us()
        if step.action == "kill":
            standin.kill()
        elif step.action == "start":
            if standin.model.phase.value == "down":
                await standin.start(zone_delays_s(self.job.experiment, standin.zone), step.warm)
        elif step.action == "freeze":
            standin.model.freeze(now)
        elif step.action == "thaw":
            standin.thaw()
        elif step.action == "slower":
            standin.model.set_slowdown(step.by, now)
        elif step.action in ("silent", "loud"):
            faults.silent = step.action == "silent"
        elif step.action == "cut":
            standin.cut_network()
        elif step.action == "mend":
            await standin.restore_network()
        elif step.action == "refuse":
            standin.close_listeners()
        elif step.action == "reopen":
            if standin.model.phase.value != "down":
                await standin.open_listeners()
        elif step.action == "reset":
            faults.reset_at = step.byte
        elif step.action == "spoil":
            faults.malformed_kind, faults.malformed_fraction = step.kind, step.by
        elif step.action == "idle":
            self._set_idle_range(standin, step.between)
        elif step.action == "drain":
            standin.drain()

    def _progress(self) -> Progress:
        attempts = self.records.attempts
        for record in attempts[self.counted_records :]:
            self.served[record.server] += 1
        self.counted_records = len(attempts)
        servers = {}
        now = now_us()
        for name, standin in self.standins.items():
            model, faults = standin.model, standin.faults
            phase = model.phase.value
            if phase == "up":
                if faults.cut:
                    phase = "cut off"
                elif faults.silent:
                    phase = "silent"
                elif model.frozen:
                    phase = "frozen"
                elif model.slowdown > 1:
                    phase = "slow"
                elif model.warm_fraction(now) < 1:
                    phase = "cold"
            speed = model.speed(now) / model.spec.speed
            servers[name] = (phase, len(model.jobs), self.served[name], round(speed, 2))
        return Progress(servers=servers)


class CallersChild(Child):
    """Runs the callers of one child process."""

    def __init__(self, job: CallersJob, input_stream: asyncio.StreamReader) -> None:
        super().__init__(job.process, job.book, input_stream)
        self.job = job
        # How many try records have been counted, and the ended tries by outcome.
        self.counted_records = 0
        self.counts: Counter[str] = Counter()

    async def run(self) -> None:
        """Send this process's share of the load, wait for the last answers, and write the records."""
        experiment = self.job.experiment
        load: Load = experiment.load
        plan = make_plan(experiment, self.job.seed).share(self.job.number, load.processes)
        pool = CallerPool(
            load.tracks,
            load,
            [Target(number, zone, port) for number, zone, port in self.job.targets],
            self.records,
            id_prefix=f"c{self.job.number:x}",
            to_nodes=self.job.to_nodes,
            zones=experiment.world.zones,
            notice_us=int(experiment.world.front_notice_ms * 1000),
            slack_us=int(experiment.slack_ms * 1000),
        )
        send_message(Ready())
        message = await self.next_message()
        if not isinstance(message, Begin):
            return
        self.load_started()
        background_tasks = [asyncio.create_task(self.report_progress(lambda: self._progress(pool)))]
        if self.job.to_nodes:
            background_tasks.append(asyncio.create_task(pool.poll_readiness()))
        if self.job.number == 0:
            background_tasks.append(asyncio.create_task(pool.hold_idle_connections(load.idle)))
            for bad in load.bad:
                bad_requests = pool.send_bad_requests(bad.kind, bad.per_second, message.end_us)
                background_tasks.append(asyncio.create_task(bad_requests))
        if load.closed:
            callers = load.closed // load.processes + (self.job.number < load.closed % load.processes)
            sending = pool.closed_loop(plan, callers, message.start_us, message.end_us)
        else:
            sending = pool.open_loop(plan, message.start_us, message.end_us)
        sender = asyncio.create_task(sending)
        stopped = asyncio.create_task(self.next_message())
        await asyncio.wait([sender, stopped], return_when=asyncio.FIRST_COMPLETED)
        pool.stopping = True
        is_interrupted = stopped.done()
        if not is_interrupted:
            # Wait for the last answers, no longer than the longest deadline and the slack.
            max_wait_s = max(spec.patience_ms for spec in load.tracks) / 1000 + experiment.slack_ms / 1000
            until_us = now_us() + int((max_wait_s + 0.1) * 1e6)
            while pool.tries_ended < pool.tries_started and now_us() < until_us and not stopped.done():
                await asyncio.sleep(0.02)
        self.load_ended()
        for task in [*background_tasks, sender]:
            task.cancel()
        for record in self.records.tries:
            if not record.end_us:
                record.failure = "ended"
        self.records.write(self.path)
        send_message(Progress(counts={**self._progress(pool).counts, "written": 1}))
        if not stopped.done():
            await stopped

    def _progress(self, pool: CallerPool) -> Progress:
        tries = self.records.tries
        while self.counted_records < len(tries) and tries[self.counted_records].end_us:
            record = tries[self.counted_records]
            self.counted_records += 1
            self.counts[outcome_name(record.status)] += 1
        return Progress(counts={**pool.counts(), **self.counts})


def outcome_name(status: int) -> str:
    """Return the name of a try's outcome in results, by its HTTP status; status 0: there was no answer."""
    return {200: "satisfied", 429: "deferred", 503: "deferred", 0: "unanswered"}.get(status, "given up")


async def _main(kind: str) -> None:
    input_stream = await _open_input()
    line = await input_stream.readline()
    if not line.strip():
        return
    if kind == "servers":
        await ServersChild(msgspec.json.decode(line, type=ServersJob), input_stream).run()
    else:
        await CallersChild(msgspec.json.decode(line, type=CallersJob), input_stream).run()


def main() -> int:
    """Run the child process and return its exit status; a failed start is reported to the parent."""
    kind = sys.argv[1] if len(sys.argv) > 1 else ""
    if kind not in ("servers", "callers"):
        print(
            "coraldeal.rig.child is started by `coraldeal rig run`",
            file=sys.stderr,
        )
        return 2
    try:
        clock.run(_main(kind))
    except KeyboardInterrupt:
        return 130
    except OSError as error:
        send_message(Failed(f"{kind}: {error}"))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
