"""Experiment files: TOML parsed into typed, validated structures; error messages name the invalid key.

An experiment is a world (servers, nodes and zones), a load, a timeline of injected faults, variants to
compare, and assertions over the results. Attribute names are the keys of the file. Times are in seconds or
milliseconds, as each key's name says.
"""

from __future__ import annotations

import copy
import re
import tomllib
from itertools import product
from pathlib import Path
from typing import Any, Literal

import msgspec

# Upper limits of an experiment: its length in seconds, servers in a tier, nodes before the first tier.
MAX_SECONDS = 3600.0
MAX_SERVERS = 400
MAX_NODES = 64


class ExperimentError(Exception):
    """An experiment can't be run; the message names the key or the resource, and why."""


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of all structures of an experiment file; unknown keys are rejected."""


class ChokeSpec(StrictStruct):
    """Degradation of a server: lasting overload makes it slower until it has been unloaded for a while."""

    # The server is overloaded when it holds more requests than its cores and this number.
    over: int = 8
    # Duration of the overload after which the server degrades.
    seconds: float = 2.0
    # Factor by which a degraded server is slower.
    slower: float = 3.0
    # The server recovers when it has been unloaded for `rest_seconds`, or after `most_seconds` in any case.
    rest_seconds: float = 2.0
    most_seconds: float = 20.0


class TierSpec(StrictStruct):
    """The servers of one tier, all with the same settings but for their speeds."""

    name: str = "front"
    servers: int = 4
    cores: int = 2
    # Requests that a server works on at once; 0: as many as cores.
    slots: int = 0
    # Speeds of the servers are spread evenly from the first value to the second.
    speed: tuple[float, float] = (1.0, 1.0)
    # Requests that may wait for a slot; a server declines more.
    queue: int = 64
    # Added to each answer, without the use of a core.
    delay_ms: float = 0.0
    # This tier's fraction of an inquiry's work.
    work_part: float = 1.0
    connections: int = 1024
    # Time after which a server closes an idle connection.
    idle_seconds: float = 5.0
    # The idle time of each connection is drawn between these two, where the draw is shorter.
    idle_between_seconds: tuple[float, float] | None = None
    # Delay of the first request on a connection, and work that a new connection costs.
    handshake_ms: float = 0.0
    handshake_work_ms: float = 0.0
    # A cold server starts with this fraction of its capacity and grows to all of it in `warm_seconds`.
    cold_from: float = 0.3
    warm_seconds: float = 8.0
    # A cold server collapses when the work sent to it over `fall_seconds` exceeds its capacity by this
    # multiple.
    fall_multiple: float = 3.0
    fall_seconds: float = 1.0
    choke: ChokeSpec | None = None
    # Servers in a group (a cell of the list). Their joint work is limited to the fraction `group_limit` of
    # their capacity; 0: no limit.
    group: int = 4
    group_limit: float = 0.0
    # How long a group recognizes an idempotency key.
    window_seconds: float = 2.0
    # Each request whose number is a multiple of this fails with 500; 0: none.
    error_every: int = 0
    # Whether running work stops when its sender cancels it.
    stops_running: bool = True
    # Figures in the load reports of answers, and the time between updates; 0: each answer has fresh ones.
    reports: list[str] = msgspec.field(default_factory=lambda: ["inflight", "queue"])
    report_every_ms: float = 0.0
    # Whether servers answer health and load probes, and the work of each.
    probes: bool = False
    probe_work_ms: float = 1.0


class World(StrictStruct):
    """The system under test: zones, nodes, tiers of servers, and the list of servers."""

    zones: list[str] = msgspec.field(default_factory=lambda: ["a"])
    # Added each way between two zones.
    zone_delay_ms: float = 0.0
    # Nodes before the first tier, assigned to the zones in turn.
    nodes: int = 1
    tiers: list[TierSpec] = msgspec.field(default_factory=lambda: [TierSpec()])
    # push: an agent sends the list to the nodes; ask: nodes request it.
    list_mode: Literal["push", "ask"] = "push"
    # Delay between a change of a server and its publication in the list.
    list_delay_ms: float = 300.0
    # Port of the first node; the next nodes have the ports after it. 0: any free ports.
    first_port: int = 0
    # How long callers go on sending to a node that has died.
    front_notice_ms: float = 500.0
    # Limit of sockets of a node.
    sockets: int = 4096
    # Nodes of the first tier have an admin listener, and the rig asks it for figures all the time.
    doors: bool = False
    # Number of processes for the stand-in servers.
    server_processes: int = 1


class RequestClassSpec(StrictStruct):
    """One class of requests."""

    name: str
    # Weight of the class among all inquiries.
    share: float = 1.0
    # redoable: idempotent; labelled: idempotent by key; irreversible: not idempotent.
    effect: Literal["redoable", "labelled", "irreversible"] = "redoable"
    # Servers that share idempotency keys: all, those of a zone, or those of a cell.
    group: Literal["all", "zone", "cell"] = "cell"
    # Worth of an answer within `expected_ms`, the latency target, and of a later one.
    payoff: float = 1.0
    late_payoff: float = 0.0
    expected_ms: float = 500.0
    # The deadline of an inquiry, counted from its intended time.
    patience_ms: float = 1000.0
    # Mean work of a request on a core of speed 1, and its distribution.
    work_ms: float = 10.0
    work: Literal["fixed", "exponential", "lognormal"] = "exponential"
    # Standard deviation of lognormal work as a multiple of the mean.
    work_spread: float = 1.0
    # Mean number of calls to the next tier; the calls of a request are sequential.
    calls: float = 0.0


class TenantSpec(StrictStruct):
    """One tenant: its weight among all inquiries and its quota; 0: no quota."""

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0


class StepSpec(StrictStruct):
    """From second `at` on the load is `rate` times the base rate; a ramp changes it linearly up to then."""

    at: float
    rate: float
    ramp: bool = False


class BurstSpec(StrictStruct):
    """A burst of `count` inquiries from second `at` on, spread evenly over `over_ms`."""

    at: float
    count: int
    over_ms: float = 10.0


class BadSpec(StrictStruct):
    """Misbehaving callers of one kind, which open `per_second` connections."""

    kind: Literal["garbage", "slow_head", "half", "two_lengths", "huge", "no_id", "silent"]
    per_second: float = 1.0


class Load(StrictStruct):
    """The load: what callers ask for, when, and how they react to answers."""

    tracks: list[RequestClassSpec] = msgspec.field(default_factory=lambda: [RequestClassSpec(name="read")])
    tenants: list[TenantSpec] = []
    # Inquiries a second.
    rate: float = 100.0
    arrivals: Literal["poisson", "constant"] = "poisson"
    shape: list[StepSpec] = []
    bursts: list[BurstSpec] = []
    # Path of a CSV with the columns `seconds` and `track` (request class), instead of the rate.
    trace: str = ""
    # Number of callers in a closed loop, instead of the rate: each asks again as soon as it has an answer.
    closed: int = 0
    # `servers`: callers bypass the nodes and send to the servers of the first tier.
    target: Literal["nodes", "servers"] = "nodes"
    # Number of processes for the callers.
    processes: int = 1
    # Retries after a rejection or a failure, and the range of the wait before each.
    retries: int = 0
    retry_wait_ms: tuple[float, float] = (0.0, 0.0)
    # Fraction of the callers that obey Retry-After.
    obey: float = 1.0
    # Whether retries carry the header that marks them.
    marks_retries: bool = True
    # A try times out after this fraction of the class's deadline.
    try_part: float = 1.0
    # Fraction of the callers that leave without an answer, and the range of the time after which they do.
    leave: float = 0.0
    leave_after_ms: tuple[float, float] = (10.0, 100.0)
    # Number of connections that send one request and stay open.
    idle: int = 0
    bad: list[BadSpec] = []


class Event(StrictStruct):
    """One injected fault, or one change such as a deployment, on the timeline."""

    # Seconds from the start.
    at: float
    do: Literal[
        "kill", "freeze", "slow", "silent", "cut", "refuse", "reset", "spoil", "close_idle", "drain",
        "deploy", "list_late", "list_down", "list_wrong", "node_kill", "node_term", "node_hup",
        "node_upgrade",
    ]  # fmt: skip
    # Names of servers (`front-0`) or nodes (`node-0`), a number of them (`2`), a percentage of them (`50%`),
    # or `all`; a prefix limits the last two to a tier (`front:50%`).
    who: list[str] = msgspec.field(default_factory=lambda: ["all"])
    # Duration; 0: to the end of the experiment.
    seconds: float = 0.0
    # For slow: the factor; for spoil: the fraction of answers; for list_late: the extra delay in seconds.
    by: float = 3.0
    # For spoil: how answers are malformed.
    kind: str = "noise"
    # For reset: the byte of the answer after which the connection is reset.
    byte: int = 0
    # For close_idle: the range, in seconds, of the idle time after which a connection is closed.
    between: tuple[float, float] = (2.0, 8.0)
    # For deploy: servers at a time, and the seconds that each drains.
    batch: int = 1
    drain_seconds: float = 2.0
    # Whether the server restarts warm; otherwise cold.
    warm: bool = False


class RandomFaults(StrictStruct):
    """Injected faults drawn from the seed: their number, their kinds and the range of their durations."""

    count: int = 0
    kinds: list[str] = msgspec.field(
        default_factory=lambda: [
            "kill",
            "freeze",
            "slow",
            "silent",
            "cut",
            "refuse",
            "spoil",
            "drain",
            "node_kill",
        ]
    )
    seconds: tuple[float, float] = (1.0, 5.0)


class Variant(StrictStruct):
    """One of the variants that an experiment compares."""

    name: str
    # Keys of the experiment that differ, by their dotted path: `load.closed`, `world.tiers.0.delay_ms`.
    set: dict[str, Any] = {}
    # Keys of the node's own configuration that differ, by their dotted path.
    node: dict[str, Any] = {}
    # Keys of the operator's own file, by their dotted path.
    operator: dict[str, Any] = {}
    # The commit of the program that nodes run; empty: the working tree.
    commit: str = ""
    # A baseline instead of the balancer's decisions: random, round_robin, least_requests, or a planted fault.
    policy: str = ""


class Experiment(StrictStruct):
    """A whole experiment file."""

    name: str
    about: str = ""
    seed: int = 1
    seconds: float = 20.0
    # Warm-up that figures leave out: connections are opened and concurrency limits found meanwhile.
    settle_seconds: float = 1.0
    repetitions: int = 1
    # Whether all variants run at the same time.
    side_by_side: bool = False
    world: World = msgspec.field(default_factory=World)
    load: Load = msgspec.field(default_factory=Load)
    timeline: list[Event] = []
    troubles: RandomFaults = msgspec.field(default_factory=RandomFaults)
    # Keys of the nodes' configuration, by their dotted path.
    node: dict[str, Any] = {}
    # Keys of the operator's own file, by their dotted path.
    operator: dict[str, Any] = {}
    variants: list[Variant] = []
    # Lists of values by the dotted path of their key: each combination of values is a variant.
    matrix: dict[str, list[Any]] = {}
    # Assertions, such as `peak_offered < 1.5` or `lost == 0`; they determine the exit status.
    claims: list[str] = []
    # Whether the four rules are checked.
    rules: Literal["check", "skip"] = "check"
    # How long after a node is notified of a drain it may still send requests to the server.
    drain_grace_ms: float = 1500.0
    # Delay that sockets and a busy machine may add to the times in the rules.
    slack_ms: float = 100.0


# Splits a message of msgspec into its text and the path of the value.
_MESSAGE_PATH = re.compile(r"(.*?)(?: - at `(\$.*)`)?$", re.S)


def _convert(values: dict[str, Any], where: str) -> Experiment:
    """Convert parsed TOML to an experiment and check it; raises ExperimentError that begins with `where`."""
    try:
        experiment = msgspec.convert(values, Experiment, strict=False)
    except msgspec.ValidationError as error:
        match = _MESSAGE_PATH.match(str(error))
        assert match is not None
        path = (match[2] or "").removeprefix("$").removeprefix(".").replace("[...]", ".*")
        raise ExperimentError(f"{where}: {path + ': ' if path else ''}{match[1]}") from None
    _check(experiment, where)
    return experiment


def _check(experiment: Experiment, where: str) -> None:
    """Check what the types alone do not; raises ExperimentError for the first invalid key."""

    def require(holds: bool, key: str, text: str) -> None:
        if not holds:
            raise ExperimentError(f"{where}: {key}: {text}")

    world, load = experiment.world, experiment.load
    require(
        0 < experiment.seconds <= MAX_SECONDS,
        "seconds",
        f"{experiment.seconds} is not above 0 and up to {MAX_SECONDS}",
    )
    require(
        0 <= experiment.settle_seconds < experiment.seconds,
        "settle_seconds",
        f"{experiment.settle_seconds} is not from 0 to below seconds, {experiment.seconds}",
    )
    require(experiment.repetitions >= 1, "repetitions", "must be at least 1")
    require(bool(world.zones), "world.zones", "the list is empty")
    require(len(set(world.zones)) == len(world.zones), "world.zones", "a zone is listed twice")
    require(1 <= world.nodes <= MAX_NODES, "world.nodes", f"{world.nodes} is not from 1 to {MAX_NODES}")
    require(bool(world.tiers), "world.tiers", "the list is empty")
    require(len(world.tiers) <= 3, "world.tiers", "more than 3 tiers are not supported")
    require(world.server_processes >= 1, "world.server_processes", "must be at least 1")
    tier_names = [tier.name for tier in world.tiers]
    require(len(set(tier_names)) == len(tier_names), "world.tiers", "two tiers have the same name")
    for number, tier in enumerate(world.tiers):
        key = f"world.tiers[{number}]"
        require(
            1 <= tier.servers <= MAX_SERVERS,
            f"{key}.servers",
            f"{tier.servers} is not from 1 to {MAX_SERVERS}",
        )
        require(tier.cores >= 1, f"{key}.cores", "must be at least 1")
        require(min(tier.speed) > 0, f"{key}.speed", "must be above 0")
        require(0 < tier.cold_from <= 1, f"{key}.cold_from", f"{tier.cold_from} is not above 0 and up to 1")
        require(tier.group >= 1, f"{key}.group", "must be at least 1")
    require(bool(load.tracks), "load.tracks", "the list is empty")
    classes = [request_class.name for request_class in load.tracks]
    require(len(set(classes)) == len(classes), "load.tracks", "two classes have the same name")
    for number, request_class in enumerate(load.tracks):
        key = f"load.tracks[{number}]"
        require(
            re.fullmatch(r"[\w.-]+", request_class.name) is not None,
            f"{key}.name",
            "must consist of letters, digits, _, . and -",
        )
        require(request_class.share >= 0, f"{key}.share", "is below 0")
        require(
            request_class.expected_ms <= request_class.patience_ms,
            f"{key}.expected_ms",
            "is above patience_ms",
        )
    require(
        sum(request_class.share for request_class in load.tracks) > 0,
        "load.tracks",
        "the shares of all classes are 0",
    )
    require(load.rate >= 0, "load.rate", "is below 0")
    require(load.processes >= 1, "load.processes", "must be at least 1")
    require(0 < load.try_part <= 1, "load.try_part", f"{load.try_part} is not above 0 and up to 1")
    step_times = [step.at for step in load.shape]
    require(step_times == sorted(step_times), "load.shape", "the steps are not in order of their time")
    for number, event in enumerate(experiment.timeline):
        require(
            event.do != "node_upgrade" or world.doors,
            f"timeline[{number}].do",
            "node_upgrade requires world.doors = true",
        )
        require(
            0 <= event.at < experiment.seconds,
            f"timeline[{number}].at",
            f"{event.at} is not within the {experiment.seconds} seconds of the experiment",
        )
    variant_names = [variant.name for variant in experiment.variants]
    require(len(set(variant_names)) == len(variant_names), "variants", "two variants have the same name")


def read_experiment(path: Path) -> tuple[Experiment, dict[str, Any]]:
    """Read an experiment file; return the experiment and the parsed TOML. Raises ExperimentError."""
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ExperimentError(f"{path}: {error}") from None
    except tomllib.TOMLDecodeError as error:
        raise ExperimentError(f"{path}: not TOML: {error}") from None
    return _convert(values, str(path)), values


def set_by_path(values: Any, path: str, value: Any, where: str) -> None:
    """Set the value at a dotted path; numbers in it are indices of lists, and missing tables are created.

    Raises ExperimentError, with `where` at its head, for an index outside a list and a key inside a plain
    value.
    """
    keys = path.split(".")
    for depth, key in enumerate(keys):
        is_last = depth == len(keys) - 1
        if isinstance(values, list):
            if not key.isdigit() or int(key) >= len(values):
                raise ExperimentError(f"{where}: {path}: the list has no index {key}")
            if is_last:
                values[int(key)] = value
            else:
                values = values[int(key)]
        elif isinstance(values, dict):
            if is_last:
                values[key] = value
            else:
                values = values.setdefault(key, [{}] if keys[depth + 1].isdigit() else {})
        else:
            raise ExperimentError(
                f"{where}: {path}: {key} is a key of a plain value, not of a table or a list"
            )


def expand_variants(
    experiment: Experiment, values: dict[str, Any], where: str
) -> list[tuple[Variant, Experiment]]:
    """Return each variant, combined with the matrix, and its experiment; raises ExperimentError."""
    base_variants = list(experiment.variants) or [Variant(name="as it stands")]
    keys = list(experiment.matrix)
    for key, options in experiment.matrix.items():
        if not options:
            raise ExperimentError(f"{where}: matrix.{key}: the list is empty")
    combined = []
    for variant in base_variants:
        for combination in product(*experiment.matrix.values()):
            settings = dict(zip(keys, combination, strict=True))
            label = ", ".join(f"{key.rpartition('.')[2]} {value}" for key, value in settings.items())
            name = f"{variant.name}, {label}" if label else variant.name
            combined.append(
                Variant(
                    name=name,
                    set={**variant.set, **settings},
                    node=variant.node,
                    operator=variant.operator,
                    commit=variant.commit,
                    policy=variant.policy,
                )
            )
    expanded = []
    for variant in combined:
        variant_values = copy.deepcopy(values)
        for key, value in variant.set.items():
            set_by_path(variant_values, key, value, f"{where}: variant {variant.name}")
        expanded.append((variant, _convert(variant_values, f"{where}: variant {variant.name}")))
    return expanded
