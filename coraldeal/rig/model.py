"""A model of a server without I/O: cores, slots, a queue, cold start, degradation, groups, idempotency keys.

`ServerModel` receives events with their time (whole microseconds) and acts by calling its `ModelHost`. Work
is stated in microseconds on a core of speed 1. The model draws nothing at random: the work comes with each
request.

Sources: the rule for cold servers is the one that users state (a cold server has a fraction of its capacity;
when more than a multiple of that is sent to it for some time, it collapses and stays down). Degradation
models a server whose overload has lasted, such as one whose caches or garbage collector no longer keep up; it
recovers only after it has been unloaded for a while.
"""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

SECOND = 1_000_000
# Microseconds between two updates of the processing rate while a server warms up.
WARM_STEP = 50_000
# Decay of the averages in a load report: the weight that an old average keeps after one second.
REPORT_DECAY = 0.3


class RequestOutcome(enum.Enum):
    """The outcome of a request that reached the server."""

    SERVED = "served"
    # The group has seen the idempotency key within its window: answered, but not executed again.
    REPEATED = "repeated"
    ERROR = "error"
    # Rejected unread: full queue, too many connections, a draining server, or a deadline that has passed.
    DECLINED = "declined"
    # Cancelled by its sender before it ended.
    CANCELLED = "called_off"


class Phase(enum.Enum):
    """The phase of a server's process."""

    UP = "up"
    DRAINING = "draining"
    # Collapsed under load while cold: the server declines all requests until it is restarted.
    COLLAPSED = "fallen"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """The properties of a server. Times are whole microseconds; speeds and fractions are plain factors."""

    cores: int = 2
    # Requests that the server works on at once; slots beyond the cores share the cores. 0: as many as cores.
    slots: int = 0
    speed: float = 1.0
    # Requests that may wait for a slot; the server declines more.
    queue: int = 64
    # Time that every answer takes in addition to its work, without the use of a core.
    delay_us: int = 0
    # Delay of the first request on a connection, and work that a new connection costs.
    handshake_us: int = 0
    handshake_work_us: int = 0
    connections: int = 1024
    # Cold start: the fraction of its capacity at the start, and the time until the server is warm.
    cold_capacity: float = 1.0
    warm_us: int = 0
    # A cold server collapses when the work sent to it within the window exceeds this multiple of its present
    # capacity; 0: never.
    collapse_multiple: float = 0.0
    collapse_window_us: int = SECOND
    # Degradation: with `overload_jobs` more requests in flight than cores for `overload_us` the server is
    # slower by the factor, until it has been nearly idle for `recovery_us`, or for `max_degraded_us` in any
    # case; 0: never.
    overload_jobs: int = 0
    overload_us: int = 2 * SECOND
    degraded_factor: float = 3.0
    recovery_us: int = 2 * SECOND
    max_degraded_us: int = 20 * SECOND
    # Each request whose number is a multiple of this fails with 500 after its work; 0: none.
    error_every: int = 0
    # Whether running work stops when its sender cancels it.
    stops_running: bool = True
    # Time between two updates of the figures in load reports; 0: each answer has fresh figures.
    report_every_us: int = 0
    probe_work_us: int = 0


class ModelHost(Protocol):
    """The actions of a server model on its environment."""

    def ended(self, request: int, outcome: RequestOutcome, ran: bool) -> None:
        """Answer or decline a request; `ran`: the server began its work."""

    def call_next_tier(self, request: int, calls: int) -> None:
        """Make this number of calls to the next tier for a request, then call `next_tier_ended`."""

    def set_timer(self, at_us: int) -> None:
        """Call `timer_expired` at this time; a later call replaces the time."""

    def collapsed(self) -> None:
        """The server has collapsed under load while cold."""


@dataclass(slots=True)
class Job:
    """One request that the server holds."""

    request: int
    remaining_us: float
    calls: int = 0
    idempotency_key: str | None = None
    # The outcome when the work is done.
    outcome: RequestOutcome = RequestOutcome.SERVED
    # When the deadline ends; 0: none was sent.
    deadline_us: int = 0
    arrived_us: int = 0
    started_us: int = -1
    # When the answer leaves, once the work is done and the fixed delay runs; -1: still working.
    answer_at_us: int = -1
    awaits_next_tier: bool = False

    @property
    def ran(self) -> bool:
        """Whether the work was begun; a repeated request has none."""
        return self.started_us >= 0 and self.outcome is not RequestOutcome.REPEATED


@dataclass(slots=True)
class Group:
    """Servers that share a limit of their joint work, and the idempotency keys that they have seen."""

    # In cores of speed 1; 0: no limit.
    limit: float = 0.0
    window_us: int = 0
    members: list[ServerModel] = field(default_factory=list)
    # The time at which each key was first accepted, oldest first.
    key_times: dict[str, int] = field(default_factory=dict)

    def is_repeat(self, key: str, now: int) -> bool:
        """Return whether the group has seen this key within the window; a new key is recorded."""
        while self.key_times:
            oldest = next(iter(self.key_times))
            if self.key_times[oldest] + self.window_us > now:
                break
            del self.key_times[oldest]
        if key in self.key_times:
            return True
        if self.window_us:
            self.key_times[key] = now
        return False

    def forget(self, key: str) -> None:
        """Remove a key whose request was not executed after all."""
        self.key_times.pop(key, None)

    def speed_fraction(self) -> float:
        """Return the fraction of its speed that each member has now under the joint limit."""
        if not self.limit:
            return 1.0
        demand = sum(member.demanded_cores() for member in self.members)
        return min(1.0, self.limit / demand) if demand else 1.0


class ServerModel:
    """The successive processes of one server; `start` begins a new one."""

    def __init__(self, name: str, spec: ServerSpec, host: ModelHost, group: Group | None = None) -> None:
        self.name = name
        self.spec = spec
        self.host = host
        self.slots = spec.slots or spec.cores
        self.group = group or Group()
        self.group.members.append(self)
        # Injected faults: a factor by which the server is slower, and whether it is frozen.
        self.slowdown = 1.0
        self.frozen = False
        self.phase = Phase.DOWN
        self._reset(0, warm=True)

    def _reset(self, now: int, warm: bool) -> None:
        """Discard all state of the previous process."""
        self.process_started_us = now
        self.warm = warm or self.spec.cold_capacity >= 1.0
        self.jobs: dict[int, Job] = {}
        self.running: list[Job] = []
        self.queue: deque[Job] = deque()
        self.delayed: list[Job] = []
        # The time up to which work is accounted for, and the rate of each running job since then.
        self.advanced_us = now
        self.rate = 0.0
        # Work sent to the cold server within the collapse window: time and amount, the sum, and the sum of
        # squares.
        self.cold_work: deque[tuple[int, float]] = deque()
        self.cold_work_us = 0.0
        self.cold_work_squares = 0.0
        # Start of degradation, overload and light load; -1: not so at present.
        self.degraded_since = -1
        self.overloaded_since = -1
        self.unloaded_since = now
        self.connections = 0
        self.request_count = 0
        self.busy_us = 0.0
        self.report: dict[str, float] = {}
        self.report_at = -1
        self.averages = {"qps": 0.0, "eps": 0.0, "latency_ms": 0.0, "util": 0.0}
        # Answers, errors, unused, and the sum of latencies in microseconds since `tally_at`.
        self.tally = [0, 0, 0, 0.0]
        self.tally_at = now

    # The process.

    def start(self, now: int, warm: bool = False) -> None:
        """Start a new process, cold by default."""
        self._reset(now, warm)
        self.phase = Phase.UP
        self._reschedule(now)

    def drain(self, now: int) -> None:
        """Finish the requests in hand and decline new ones."""
        if self.phase is Phase.UP:
            self.phase = Phase.DRAINING

    def kill(self, now: int) -> None:
        """End the process; all requests that it holds are lost without an answer."""
        self._reset(now, warm=False)
        self.phase = Phase.DOWN
        self._update_group_rates(now)

    def set_slowdown(self, factor: float, now: int) -> None:
        """Make the server slower by this factor from now on; 1: normal speed."""
        self._advance(now)
        self.slowdown = factor
        self._reschedule(now)

    def freeze(self, now: int) -> None:
        """Stop all work until `thaw`, as a paused process does."""
        self._advance(now)
        self.frozen = True
        self._reschedule(now)

    def thaw(self, now: int) -> None:
        """Continue after `freeze`; the frozen time counts as no work."""
        self.advanced_us = now
        self.frozen = False
        self._reschedule(now)

    # Requests.

    def connected(self, now: int) -> bool:
        """Count a new connection; return False if it exceeds the limit, so that its requests are declined."""
        self.connections += 1
        if self.spec.handshake_work_us and self.phase is Phase.UP:
            self.busy_us += self.spec.handshake_work_us
            for job in self.running[:1]:
                job.remaining_us += self.spec.handshake_work_us
        return self.connections <= self.spec.connections

    def disconnected(self, now: int) -> None:
        """Count a closed connection."""
        self.connections = max(0, self.connections - 1)

    def request_arrived(
        self, request: int, work_us: float, calls: int, key: str | None, deadline_us: int, now: int
    ) -> None:
        """Accept or decline a complete request. `deadline_us` is a time; 0: the request stated none."""
        self._count_cold_work(work_us, now)
        if self.phase is not Phase.UP or (
            len(self.running) >= self.slots and len(self.queue) >= self.spec.queue
        ):
            self.host.ended(request, RequestOutcome.DECLINED, False)
            return
        job = Job(request, work_us, calls, key, deadline_us=deadline_us, arrived_us=now)
        if key is not None and self.group.is_repeat(key, now):
            # The key identifies the repeat at once; none of the work is done again.
            job.outcome, job.idempotency_key, job.remaining_us, job.calls = (
                RequestOutcome.REPEATED,
                None,
                0.0,
                0,
            )
        self.request_count += 1
        if self.spec.error_every and self.request_count % self.spec.error_every == 0:
            job.outcome = RequestOutcome.ERROR
        self.jobs[request] = job
        self.queue.append(job)
        self._advance(now)
        self._reschedule(now)

    def cancel(self, request: int, now: int) -> None:
        """Cancel a request whose sender has gone; running work stops only if the server can stop it."""
        job = self.jobs.get(request)
        if job is None:
            return
        if job.started_us < 0:
            self.queue.remove(job)
            self._forget_key(job)
        elif not self.spec.stops_running:
            return
        elif job in self.running:
            self._advance(now)
            if job in self.running:
                self.running.remove(job)
        elif job in self.delayed:
            self.delayed.remove(job)
        if self.jobs.pop(request, None) is not None:
            self.host.ended(request, RequestOutcome.CANCELLED, job.ran)
        self._reschedule(now)

    def _forget_key(self, job: Job) -> None:
        """Forget the key of a job that was not started, so that a later request with the key is executed."""
        if job.idempotency_key is not None and job.outcome is not RequestOutcome.REPEATED:
            self.group.forget(job.idempotency_key)

    def next_tier_ended(self, request: int, succeeded: bool, now: int) -> None:
        """Continue a request whose calls to the next tier have ended; it fails if one of the calls did."""
        job = self.jobs.get(request)
        if job is None or not job.awaits_next_tier:
            return
        self._advance(now)
        job.awaits_next_tier = False
        job.calls = 0
        if not succeeded:
            job.outcome = RequestOutcome.ERROR
        self._work_done(job, now)
        self._reschedule(now)

    def timer_expired(self, now: int) -> None:
        """Update the model at a time that was set with `set_timer`."""
        self._advance(now)
        self._reschedule(now)

    # Present capacity.

    def warm_fraction(self, now: int) -> float:
        """Return the fraction of its capacity that the server has by its warm-up."""
        if self.warm or not self.spec.warm_us:
            return 1.0
        progress = (now - self.process_started_us) / self.spec.warm_us
        if progress >= 1.0:
            self.warm = True
            return 1.0
        return self.spec.cold_capacity + (1.0 - self.spec.cold_capacity) * progress

    def speed(self, now: int) -> float:
        """Return the speed of one core, with warm-up, degradation and injected faults counted in."""
        if self.frozen:
            return 0.0
        degradation = self.spec.degraded_factor if self.degraded_since >= 0 else 1.0
        return self.spec.speed * self.warm_fraction(now) / (self.slowdown * degradation)

    def demanded_cores(self) -> float:
        """Return how many cores of speed 1 the running work could use."""
        busy = sum(not job.awaits_next_tier for job in self.running)
        return min(busy, self.spec.cores) * self.spec.speed

    def load_report(self, now: int) -> dict[str, float]:
        """Return the figures of the last load report, updated if they are older than `report_every_us`."""
        if not self.report or now - self.report_at >= self.spec.report_every_us:
            self._update_averages(now)
            in_flight = len(self.jobs)
            self.report = {"inflight": in_flight, "queue": len(self.queue), **self.averages}
            self.report_at = now
        return self.report

    def _update_averages(self, now: int) -> None:
        """Fold the answers since the last update into the averages, at most once in 50 ms."""
        elapsed = now - self.tally_at
        if elapsed < SECOND // 20:
            return
        answers, errors, _, latency = self.tally
        decay = REPORT_DECAY ** (elapsed / SECOND)
        seconds = elapsed / SECOND
        latest = {
            "qps": answers / seconds,
            "eps": errors / seconds,
            "latency_ms": latency / answers / 1000 if answers else self.averages["latency_ms"],
            "util": min(1.0, self.busy_us / elapsed / self.spec.cores),
        }
        for name, value in latest.items():
            self.averages[name] += (1 - decay) * (value - self.averages[name])
        self.busy_us = 0.0
        self.tally = [0, 0, 0, 0.0]
        self.tally_at = now

    # Collapse and degradation.

    def _count_cold_work(self, work_us: float, now: int) -> None:
        """Count work sent to a cold server within the window, declined work too; the server may collapse.

        Three standard deviations of random variation are allowed, since arrivals are not evenly spaced.
        """
        if not self.spec.collapse_multiple or self.phase not in (Phase.UP, Phase.DRAINING):
            return
        warm_fraction = self.warm_fraction(now)
        if warm_fraction >= 1.0:
            return
        cold_work = self.cold_work
        cold_work.append((now, work_us))
        self.cold_work_us += work_us
        self.cold_work_squares += work_us * work_us
        while cold_work[0][0] <= now - self.spec.collapse_window_us:
            _, expired = cold_work.popleft()
            self.cold_work_us -= expired
            self.cold_work_squares -= expired * expired
        limit = self.spec.collapse_multiple * warm_fraction * self.spec.cores * self.spec.speed
        allowance = 3 * max(0.0, self.cold_work_squares) ** 0.5
        if self.cold_work_us > limit * self.spec.collapse_window_us + allowance:
            self._collapse(now)

    def _collapse(self, now: int) -> None:
        """Fail all requests in hand, and decline new ones until the server is restarted."""
        self.phase = Phase.COLLAPSED
        failed = list(self.jobs.values())
        self.jobs.clear()
        self.running.clear()
        self.queue.clear()
        self.delayed.clear()
        self.host.collapsed()
        for job in failed:
            self.host.ended(job.request, RequestOutcome.ERROR, job.ran)

    def _update_degradation(self, now: int) -> None:
        """Begin degradation after lasting overload, and end it after `recovery_us` or `max_degraded_us`."""
        spec = self.spec
        if not spec.overload_jobs:
            return
        in_flight = len(self.running) + len(self.queue)
        if in_flight <= spec.cores + spec.overload_jobs:
            self.overloaded_since = -1
        elif self.overloaded_since < 0:
            self.overloaded_since = now
        if in_flight > max(1, spec.cores // 2):
            self.unloaded_since = -1
        elif self.unloaded_since < 0:
            self.unloaded_since = now
        if self.degraded_since < 0:
            if 0 <= self.overloaded_since <= now - spec.overload_us:
                self.degraded_since = now
        elif (
            0 <= self.unloaded_since <= now - spec.recovery_us
            or now - self.degraded_since >= spec.max_degraded_us
        ):
            self.degraded_since = self.overloaded_since = -1

    # Work.

    def _advance(self, now: int) -> None:
        """Account for the work since the last call, and answer the requests that are done."""
        elapsed = now - self.advanced_us
        self.advanced_us = now
        done = []
        if elapsed > 0 and self.rate > 0:
            busy = sum(not job.awaits_next_tier for job in self.running)
            self.busy_us += elapsed * min(busy, self.spec.cores)
            for job in self.running:
                if not job.awaits_next_tier:
                    job.remaining_us -= elapsed * self.rate
        for job in self.running:
            # Half a microsecond of remaining work is a rounding error.
            if not job.awaits_next_tier and job.remaining_us <= 0.5:
                done.append(job)
        for job in done:
            self._work_done(job, now)
        if self.delayed and not self.frozen:
            ready = [job for job in self.delayed if job.answer_at_us <= now]
            for job in ready:
                self.delayed.remove(job)
                self._finish(job, now)

    def _work_done(self, job: Job, now: int) -> None:
        """Continue a job whose own work is done: call the next tier, wait for the fixed delay, or answer."""
        if job.calls:
            job.awaits_next_tier = True
            self.host.call_next_tier(job.request, job.calls)
            return
        self.running.remove(job)
        if self.spec.delay_us:
            job.answer_at_us = now + self.spec.delay_us
            self.delayed.append(job)
        else:
            self._finish(job, now)

    def _finish(self, job: Job, now: int) -> None:
        """Answer a request and count its latency."""
        if self.jobs.pop(job.request, None) is None:
            return
        self.tally[0] += 1
        self.tally[1] += job.outcome is RequestOutcome.ERROR
        self.tally[3] += now - max(job.started_us, job.arrived_us)
        self.host.ended(job.request, job.outcome, job.ran)

    def _reschedule(self, now: int) -> None:
        """Start queued requests that have a slot, update the rates, and set the next timer."""
        if self.phase in (Phase.DOWN, Phase.COLLAPSED):
            return
        while self.queue and len(self.running) < self.slots and not self.frozen:
            job = self.queue.popleft()
            if job.deadline_us and job.deadline_us <= now:
                # The deadline has passed: the request is declined, in case its sender still listens.
                self._forget_key(job)
                del self.jobs[job.request]
                self.host.ended(job.request, RequestOutcome.DECLINED, False)
                continue
            job.started_us = now
            self.running.append(job)
            if job.remaining_us <= 0.5:
                self._work_done(job, now)
        self._update_degradation(now)
        self._update_group_rates(now)

    def _update_group_rates(self, now: int) -> None:
        """Update the rate of this server, and of all members of its group if they share a limit."""
        if not self.group.limit:
            self._update_rate(now, 1.0)
            return
        fraction = self.group.speed_fraction()
        for member in self.group.members:
            if member is not self:
                member._advance(now)
            member._update_rate(now, fraction)

    def _update_rate(self, now: int, fraction: float) -> None:
        """Set the rate of running jobs to this fraction of the speed, and the timer for the next change."""
        busy = sum(not job.awaits_next_tier for job in self.running)
        core_share = min(1.0, self.spec.cores / busy) if busy else 0.0
        self.rate = self.speed(now) * core_share * fraction
        times = [job.answer_at_us for job in self.delayed]
        if self.rate > 0:
            remaining = [job.remaining_us for job in self.running if not job.awaits_next_tier]
            if remaining:
                times.append(now + max(1, int(min(remaining) / self.rate + 0.999)))
            if not self.warm:
                times.append(now + WARM_STEP)
        if self.spec.overload_jobs and (self.jobs or self.degraded_since >= 0):
            times.append(now + SECOND // 10)
        if times:
            self.host.set_timer(min(times))
