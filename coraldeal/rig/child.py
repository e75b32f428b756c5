"""A process of stand-in servers or of callers: `python -m coraldeal.rig.child servers`, its job on stdin."""

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

PROGRESS_EVERY = 0.5
LOOK_EVERY = 0.05


def tell(told: ChildMessage) -> None:
    """One line to the experiment's process."""
    sys.stdout.buffer.write(msgspec.json.encode(told) + b"\n")
    sys.stdout.buffer.flush()


def shape_of(tier: TierSpec, place: int) -> ServerSpec:
    """A server of this tier; speeds are dealt evenly."""
    slow, fast = tier.speed
    part = place / max(1, tier.servers - 1)
    choke = tier.choke
    return ServerSpec(
        cores=tier.cores,
        slots=tier.slots,
        speed=slow + (fast - slow) * part,
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


def place_of(experiment: Experiment, layer: int, place: int) -> tuple[str, int]:
    """The zone and group of a server: groups are dealt to the zones in turn."""
    tier, zones = experiment.world.tiers[layer], experiment.world.zones
    group = place // tier.group
    return zones[group % len(zones)], group


def delays_to(experiment: Experiment, zone: str) -> dict[str, float]:
    """Seconds of one way from each zone to this one."""
    world = experiment.world
    return {other: 0.0 if other == zone else world.zone_delay_ms / 1000 for other in world.zones}


class Child:
    """What both kinds of process have in common: orders in, lines out, a book at the end."""

    def __init__(self, process: str, book: str, orders: asyncio.StreamReader) -> None:
        self.book = Records(process=process)
        self.path = Path(book)
        self.orders = orders
        self.used = 0.0

    async def order(self) -> ParentMessage:
        """The next order; the end of the input is Stop."""
        line = await self.orders.readline()
        return msgspec.json.decode(line, type=ParentMessage) if line.strip() else Stop()

    def begun(self) -> None:
        self.used = own_cpu_s()

    def ended(self) -> None:
        self.book.cpu_s = own_cpu_s() - self.used

    async def tell_progress(self, progress: Callable[[], Progress]) -> None:
        """Now and then how it stands, and whether this loop itself ran late."""
        due = told = now_us()
        while True:
            due += int(LOOK_EVERY * 1e6)
            await asyncio.sleep(max(0, due - now_us()) / 1e6)
            now = now_us()
            if now - due > LATE_THRESHOLD_US:
                self.book.late.append(LatenessRecord(self.book.process, now, now - due))
                due = now
            if now - told >= PROGRESS_EVERY * 1e6:
                told = now
                tell(progress())


async def _orders() -> asyncio.StreamReader:
    reader = asyncio.StreamReader(limit=1 << 28)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


class Servers(Child):
    """The servers of one process."""

    def __init__(self, job: ServersJob, orders: asyncio.StreamReader) -> None:
        super().__init__(job.process, job.book, orders)
        self.job = job
        self.standins: dict[str, StandIn] = {}
        self.served: Counter[str] = Counter()
        self.counted = 0
        self.fronts: dict[str, CallerPool] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        experiment = self.job.experiment
        groups: dict[tuple[int, int], Group] = {}
        for layer, places in enumerate(self.job.places):
            tier = experiment.world.tiers[layer]
            deeper = layer + 1 < len(experiment.world.tiers)
            for place in places:
                zone, number = place_of(experiment, layer, place)
                if (layer, number) not in groups:
                    limit = tier.group_limit * tier.group * tier.cores * sum(tier.speed) / 2
                    groups[layer, number] = Group(limit, int(tier.window_seconds * 1e6))
                name = f"{tier.name}-{place}"
                standin = self.standins[name] = StandIn(
                    name,
                    layer,
                    zone,
                    shape_of(tier, place),
                    groups[layer, number],
                    self.book,
                    self.job.seed,
                    fields=tier.reports,
                    probes=tier.probes,
                    idle_us=int(tier.idle_seconds * 1e6),
                    work_fraction=tier.work_part,
                    call=self._caller(name) if deeper else None,
                )
                await standin.start(delays_to(experiment, zone))
                if tier.idle_between_seconds:
                    self._idle(standin, tier.idle_between_seconds)
        tell(Ready({name: standin.ports for name, standin in self.standins.items()}))
        progress: asyncio.Task[None] | None = None
        while not isinstance(order := await self.order(), Stop):
            if isinstance(order, Nodes):
                self._know(order)
            elif isinstance(order, Begin):
                self.begun()
                progress = asyncio.create_task(self.tell_progress(self._progress))
                self.tasks.append(asyncio.create_task(self._play(order.start_us)))
        self.ended()
        for task in [*self.tasks, *([progress] if progress else [])]:
            task.cancel()
        self.book.write(self.path)

    def _idle(self, standin: StandIn, between: tuple[float, float]) -> None:
        standin.faults.min_idle_us, standin.faults.max_idle_us = (int(s * 1e6) for s in between)

    def _know(self, order: Nodes) -> None:
        """Each server's way to the next tier."""
        experiment = self.job.experiment
        load = msgspec.structs.replace(experiment.load, retries=0, try_part=1.0, leave=0.0, tenants=[])
        for name, (number, port) in order.ports.items():
            if name in self.standins:
                layer = self.standins[name].layer + 1
                self.fronts[name] = CallerPool(
                    experiment.load.tracks,
                    load,
                    [Target(number, "", port)],
                    self.book,
                    id_prefix=f"{layer:x}{number:03x}",
                    layer=layer,
                    slack_us=int(experiment.slack_ms * 1000),
                )

    def _caller(self, name: str) -> Callable[[str, int, int], asyncio.Future[bool]]:
        """How this server calls the next tier: one call after another, each with what is left of the time."""
        numbers = iter(range(1 << 60))
        names = [track.name for track in self.job.experiment.load.tracks]

        def call(track: str, calls: int, until_us: int) -> asyncio.Future[bool]:
            done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
            kind = names.index(track) if track in names else 0
            spec = self.job.experiment.load.tracks[kind]

            def next_one(asking: CallerInquiry | None, well: bool) -> None:
                nonlocal calls
                left = until_us - now_us() if until_us else int(spec.patience_ms * 1000)
                if done.done():
                    return
                if not well or calls == 0 or left <= 0 or name not in self.fronts:
                    done.set_result(well and calls == 0)
                    return
                calls -= 1
                number = next(numbers)
                work = int(spec.work_ms * 1000)
                mark = f"{name}-{number}"
                planned = PlannedInquiry(0, kind, -1, work, 0, 0, mark, 0, True)
                # The patience of a track counts for the first call of all; here it is what is left.
                begun = now_us() - int(spec.patience_ms * 1000) + left
                CallerInquiry(self.fronts[name], number, planned, begun, next_one).start_try(now_us())

            next_one(None, True)
            return done

        return call

    async def _play(self, start_us: int) -> None:
        """The steps of the timeline that are this process's."""
        for step in self.job.steps:
            standin = self.standins.get(step.who)
            if standin is None:
                continue
            await sleep_until(start_us + step.at_us)
            await self._do(standin, step)

    async def _do(self, standin: StandIn, step: Step) -> None:
        fault, now = standin.faults, now_us()
        if step.what == "kill":
            standin.kill()
        elif step.what == "start":
            if standin.model.phase.value == "down":
                await standin.start(delays_to(self.job.experiment, standin.zone), step.warm)
        elif step.what == "freeze":
            standin.model.freeze(now)
        elif step.what == "thaw":
            standin.thaw()
        elif step.what == "slower":
            standin.model.set_slowdown(step.by, now)
        elif step.what in ("silent", "loud"):
            fault.silent = step.what == "silent"
        elif step.what == "cut":
            standin.cut_network()
        elif step.what == "mend":
            await standin.restore_network()
        elif step.what == "refuse":
            standin.close_listeners()
        elif step.what == "reopen":
            if standin.model.phase.value != "down":
                await standin.open_listeners()
        elif step.what == "reset":
            fault.reset_at = step.byte
        elif step.what == "spoil":
            fault.malformed_kind, fault.malformed_fraction = step.kind, step.by
        elif step.what == "idle":
            self._idle(standin, step.between)
        elif step.what == "drain":
            standin.drain()

    def _progress(self) -> Progress:
        rows = self.book.attempts
        for row in rows[self.counted :]:
            self.served[row.server] += 1
        self.counted = len(rows)
        told = {}
        now = now_us()
        for name, standin in self.standins.items():
            model, fault = standin.model, standin.faults
            phase = model.phase.value
            if phase == "up":
                if fault.cut:
                    phase = "cut off"
                elif fault.silent:
                    phase = "silent"
                elif model.frozen:
                    phase = "frozen"
                elif model.slowdown > 1:
                    phase = "slow"
                elif model.warm_fraction(now) < 1:
                    phase = "cold"
            speed = model.speed(now) / model.spec.speed
            told[name] = (phase, len(model.jobs), self.served[name], round(speed, 2))
        return Progress(servers=told)


class Callers(Child):
    """The callers of one process."""

    def __init__(self, job: CallersJob, orders: asyncio.StreamReader) -> None:
        super().__init__(job.process, job.book, orders)
        self.job = job
        self.seen = 0
        self.counts: Counter[str] = Counter()

    async def run(self) -> None:
        experiment = self.job.experiment
        load: Load = experiment.load
        part = make_plan(experiment, self.job.seed).share(self.job.number, load.processes)
        front = CallerPool(
            load.tracks,
            load,
            [Target(number, zone, port) for number, zone, port in self.job.targets],
            self.book,
            id_prefix=f"c{self.job.number:x}",
            to_nodes=self.job.to_nodes,
            zones=experiment.world.zones,
            notice_us=int(experiment.world.front_notice_ms * 1000),
            slack_us=int(experiment.slack_ms * 1000),
        )
        tell(Ready())
        order = await self.order()
        if not isinstance(order, Begin):
            return
        self.begun()
        beside = [asyncio.create_task(self.tell_progress(lambda: self._progress(front)))]
        if self.job.to_nodes:
            beside.append(asyncio.create_task(front.poll_readiness()))
        if self.job.number == 0:
            beside.append(asyncio.create_task(front.hold_idle_connections(load.idle)))
            for bad in load.bad:
                work = front.send_bad_requests(bad.kind, bad.per_second, order.end_us)
                beside.append(asyncio.create_task(work))
        if load.closed:
            share = load.closed // load.processes + (self.job.number < load.closed % load.processes)
            sending = front.closed_loop(part, share, order.start_us, order.end_us)
        else:
            sending = front.open_loop(part, order.start_us, order.end_us)
        sender = asyncio.create_task(sending)
        stopped = asyncio.create_task(self.order())
        await asyncio.wait([sender, stopped], return_when=asyncio.FIRST_COMPLETED)
        front.stopping = True
        cut_short = stopped.done()
        if not cut_short:
            # The last answers: no longer than the longest patience.
            longest = max(track.patience_ms for track in load.tracks) / 1000 + experiment.slack_ms / 1000
            until = now_us() + int((longest + 0.1) * 1e6)
            while front.tries_ended < front.tries_started and now_us() < until and not stopped.done():
                await asyncio.sleep(0.02)
        self.ended()
        for task in [*beside, sender]:
            task.cancel()
        for row in self.book.tries:
            if not row.end_us:
                row.failure = "ended"
        self.book.write(self.path)
        tell(Progress(counts={**self._progress(front).counts, "written": 1}))
        if not stopped.done():
            await stopped

    def _progress(self, front: CallerPool) -> Progress:
        rows = self.book.tries
        while self.seen < len(rows) and rows[self.seen].end_us:
            row = rows[self.seen]
            self.seen += 1
            self.counts[fate(row.status)] += 1
        return Progress(counts={**front.counts(), **self.counts})


def fate(status: int) -> str:
    """What became of a try."""
    return {200: "satisfied", 429: "deferred", 503: "deferred", 0: "unanswered"}.get(status, "given up")


async def _main(kind: str) -> None:
    orders = await _orders()
    line = await orders.readline()
    if not line.strip():
        return
    if kind == "servers":
        await Servers(msgspec.json.decode(line, type=ServersJob), orders).run()
    else:
        await Callers(msgspec.json.decode(line, type=CallersJob), orders).run()


def main() -> int:
    kind = sys.argv[1] if len(sys.argv) > 1 else ""
    if kind not in ("servers", "callers"):
        print("coraldeal.rig.child is started by `coraldeal rig run`", file=sys.stderr)
        return 2
    try:
        clock.run(_main(kind))
    except KeyboardInterrupt:
        return 130
    except OSError as error:
        tell(Failed(f"{kind}: {error}"))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
