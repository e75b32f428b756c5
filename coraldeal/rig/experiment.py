"""Experiment files: TOML read into typed structures, checked; messages name the key at fault.

An experiment is a world, a load, a timeline of troubles, variants to compare, and claims. Times in files are
in seconds or milliseconds, as each key's name says.
"""

from __future__ import annotations

import copy
import re
import tomllib
from itertools import product
from pathlib import Path
from typing import Any, Literal

import msgspec

SECONDS_MOST = 3600.0
SERVERS_MOST = 400
NODES_MOST = 64


class ExperimentError(Exception):
    """An experiment that can't be played: says which key and why."""


class Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """No key passes unread."""


class ChokeSpec(Strict):
    """Overload that lasts makes a server slower until it has been left alone."""

    over: int = 8
    seconds: float = 2.0
    slower: float = 3.0
    rest_seconds: float = 2.0
    most_seconds: float = 20.0


class TierSpec(Strict):
    """The servers of one tier."""

    name: str = "front"
    servers: int = 4
    cores: int = 2
    slots: int = 0
    # Speeds are dealt evenly from the first to the second.
    speed: tuple[float, float] = (1.0, 1.0)
    queue: int = 64
    delay_ms: float = 0.0
    # This tier's part of an inquiry's work.
    work_part: float = 1.0
    connections: int = 1024
    idle_seconds: float = 5.0
    # Idle connections are closed at random between these ages instead.
    idle_between_seconds: tuple[float, float] | None = None
    handshake_ms: float = 0.0
    handshake_work_ms: float = 0.0
    cold_from: float = 0.3
    warm_seconds: float = 8.0
    fall_multiple: float = 3.0
    fall_seconds: float = 1.0
    choke: ChokeSpec | None = None
    # Servers a group (a cell of the list); their work together is limited to a part of their capacity.
    group: int = 4
    group_limit: float = 0.0
    # How long a group knows a mark again.
    window_seconds: float = 2.0
    error_every: int = 0
    stops_running: bool = True
    reports: list[str] = msgspec.field(default_factory=lambda: ["inflight", "queue"])
    report_every_ms: float = 0.0
    probes: bool = False
    probe_work_ms: float = 1.0


class World(Strict):
    """Zones, nodes, tiers and the list."""

    zones: list[str] = msgspec.field(default_factory=lambda: ["a"])
    # Added each way between two zones.
    zone_delay_ms: float = 0.0
    # Nodes before the first tier, placed in the zones in turn.
    nodes: int = 1
    tiers: list[TierSpec] = msgspec.field(default_factory=lambda: [TierSpec()])
    list_mode: Literal["push", "ask"] = "push"
    # How late the list tells what happened to a server.
    list_delay_ms: float = 300.0
    # Which port each node listens on begins here; 0: any free one.
    first_port: int = 0
    # How long the front goes on sending to a node that has died.
    front_notice_ms: float = 500.0
    sockets: int = 4096
    # Nodes of the first tier have an operators' door; their figures are asked for all the time.
    doors: bool = False
    # Processes for the stand-in servers.
    server_processes: int = 1


class TrackSpec(Strict):
    """One kind of inquiry."""

    name: str
    share: float = 1.0
    effect: Literal["redoable", "labelled", "irreversible"] = "redoable"
    group: Literal["all", "zone", "cell"] = "cell"
    payoff: float = 1.0
    late_payoff: float = 0.0
    expected_ms: float = 500.0
    patience_ms: float = 1000.0
    work_ms: float = 10.0
    work: Literal["fixed", "exponential", "lognormal"] = "exponential"
    work_spread: float = 1.0
    # Calls to the next tier, on average, one after another.
    calls: float = 0.0


class TenantSpec(Strict):
    name: str
    share: float = 1.0
    quota_per_s: float = 0.0


class StepSpec(Strict):
    """From this second on the load is so many times its rate; with a ramp it gets there evenly."""

    at: float
    rate: float
    ramp: bool = False


class BurstSpec(Strict):
    at: float
    count: int
    over_ms: float = 10.0


class BadSpec(Strict):
    """Callers that do harm: so many connections a second of this kind."""

    kind: Literal["garbage", "slow_head", "half", "two_lengths", "huge", "no_id", "silent"]
    per_second: float = 1.0


class Load(Strict):
    """What callers ask for."""

    tracks: list[TrackSpec] = msgspec.field(default_factory=lambda: [TrackSpec(name="read")])
    tenants: list[TenantSpec] = []
    rate: float = 100.0
    arrivals: Literal["poisson", "constant"] = "poisson"
    shape: list[StepSpec] = []
    bursts: list[BurstSpec] = []
    # A CSV of seconds and track, instead of the rate.
    trace: str = ""
    # So many callers that ask again as soon as they are answered, instead of the rate.
    closed: int = 0
    # `servers`: past the nodes, straight to the servers of the first tier.
    target: Literal["nodes", "servers"] = "nodes"
    processes: int = 1
    # Further tries after a deferral or a failure, and the wait before each.
    retries: int = 0
    retry_wait_ms: tuple[float, float] = (0.0, 0.0)
    # The part of callers that obey Retry-After.
    obey: float = 1.0
    # Whether further tries are marked as such.
    marks_retries: bool = True
    # A try is given up after this part of the track's patience.
    try_part: float = 1.0
    leave: float = 0.0
    leave_after_ms: tuple[float, float] = (10.0, 100.0)
    # Connections that ask once and stay.
    idle: int = 0
    bad: list[BadSpec] = []


class Event(Strict):
    """One trouble on the timeline."""

    at: float
    do: Literal[
        "kill", "freeze", "slow", "silent", "cut", "refuse", "reset", "spoil", "close_idle", "drain",
        "deploy", "list_late", "list_down", "list_wrong", "node_kill", "node_term", "node_hup",
        "node_upgrade",
    ]  # fmt: skip
    # Names of servers (`front-0`) or nodes (`node-0`), a part of them (`50%`), or `all`.
    who: list[str] = msgspec.field(default_factory=lambda: ["all"])
    # For how long; 0: to the end.
    seconds: float = 0.0
    # By how many times slower; for spoil the part of answers.
    by: float = 3.0
    kind: str = "noise"
    byte: int = 0
    between: tuple[float, float] = (2.0, 8.0)
    # For deploy: how many at a time, and how long each drains.
    batch: int = 1
    drain_seconds: float = 2.0
    # Comes back warm; else cold.
    warm: bool = False


class RandomTroubles(Strict):
    """So many troubles drawn from the seed, of these kinds."""

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


class Variant(Strict):
    """One of the things compared."""

    name: str
    # Keys of the experiment that differ, by their path: `load.closed`, `world.tiers.0.delay_ms`.
    set: dict[str, Any] = {}
    # Keys of the node's own configuration that differ, by their path.
    node: dict[str, Any] = {}
    # Keys of the operator's own file, by their path.
    operator: dict[str, Any] = {}
    # The program at this commit; empty: as it stands.
    commit: str = ""
    # A baseline in place of the decisions: random, round_robin, least_requests, or a planted fault.
    policy: str = ""


class Experiment(Strict):
    """A whole experiment file."""

    name: str
    about: str = ""
    seed: int = 1
    seconds: float = 20.0
    # Not counted in figures, so that connections and caps are there.
    settle_seconds: float = 1.0
    repetitions: int = 1
    side_by_side: bool = False
    world: World = msgspec.field(default_factory=World)
    load: Load = msgspec.field(default_factory=Load)
    timeline: list[Event] = []
    troubles: RandomTroubles = msgspec.field(default_factory=RandomTroubles)
    # Keys of the nodes' configuration, by their path.
    node: dict[str, Any] = {}
    # Keys of the operator's own file, by their path.
    operator: dict[str, Any] = {}
    variants: list[Variant] = []
    # Lists of values by the path of their key: one variant for each combination of them.
    matrix: dict[str, list[Any]] = {}
    # `peak_offered < 1.5`, `lost == 0`: they give the exit status.
    claims: list[str] = []
    rules: Literal["check", "skip"] = "check"
    drain_grace_ms: float = 1500.0
    # What sockets and a busy machine may add to the times in the rules.
    slack_ms: float = 100.0


_PATH = re.compile(r"(.*?)(?: - at `(\$.*)`)?$", re.S)


def _convert(values: dict[str, Any], where: str) -> Experiment:
    try:
        experiment = msgspec.convert(values, Experiment, strict=False)
    except msgspec.ValidationError as error:
        match = _PATH.match(str(error))
        assert match is not None
        path = (match[2] or "").removeprefix("$").removeprefix(".").replace("[...]", ".*")
        raise ExperimentError(f"{where}: {path + ': ' if path else ''}{match[1]}") from None
    _check(experiment, where)
    return experiment


def _check(experiment: Experiment, where: str) -> None:
    """What the types alone don't say."""

    def must(true: bool, key: str, text: str) -> None:
        if not true:
            raise ExperimentError(f"{where}: {key}: {text}")

    world, load = experiment.world, experiment.load
    must(
        0 < experiment.seconds <= SECONDS_MOST,
        "seconds",
        f"{experiment.seconds} is not in 0 to {SECONDS_MOST}",
    )
    must(
        0 <= experiment.settle_seconds < experiment.seconds,
        "settle_seconds",
        f"{experiment.settle_seconds} is not under the {experiment.seconds} of the whole",
    )
    must(experiment.repetitions >= 1, "repetitions", "there must be one at least")
    must(bool(world.zones), "world.zones", "there must be one at least")
    must(len(set(world.zones)) == len(world.zones), "world.zones", "a name stands twice")
    must(1 <= world.nodes <= NODES_MOST, "world.nodes", f"{world.nodes} is not in 1 to {NODES_MOST}")
    must(bool(world.tiers), "world.tiers", "there must be one at least")
    must(len(world.tiers) <= 3, "world.tiers", "more than three are not played")
    must(world.server_processes >= 1, "world.server_processes", "there must be one at least")
    names = [tier.name for tier in world.tiers]
    must(len(set(names)) == len(names), "world.tiers", "two have one name")
    for number, tier in enumerate(world.tiers):
        at = f"world.tiers[{number}]"
        must(
            1 <= tier.servers <= SERVERS_MOST,
            f"{at}.servers",
            f"{tier.servers} is not in 1 to {SERVERS_MOST}",
        )
        must(tier.cores >= 1, f"{at}.cores", "there must be one at least")
        must(min(tier.speed) > 0, f"{at}.speed", "must be above 0")
        must(0 < tier.cold_from <= 1, f"{at}.cold_from", f"{tier.cold_from} is not in 0 to 1")
        must(tier.group >= 1, f"{at}.group", "there must be one at least")
    must(bool(load.tracks), "load.tracks", "there must be one at least")
    tracks = [track.name for track in load.tracks]
    must(len(set(tracks)) == len(tracks), "load.tracks", "two have one name")
    for number, track in enumerate(load.tracks):
        at = f"load.tracks[{number}]"
        must(re.fullmatch(r"[\w.-]+", track.name) is not None, f"{at}.name", "is not one word")
        must(track.share >= 0, f"{at}.share", "is below 0")
        must(track.expected_ms <= track.patience_ms, f"{at}.expected_ms", "is above patience_ms")
    must(sum(track.share for track in load.tracks) > 0, "load.tracks", "the shares are all 0")
    must(load.rate >= 0, "load.rate", "is below 0")
    must(load.processes >= 1, "load.processes", "there must be one at least")
    must(0 < load.try_part <= 1, "load.try_part", f"{load.try_part} is not in 0 to 1")
    ats = [step.at for step in load.shape]
    must(ats == sorted(ats), "load.shape", "the steps are not in order of time")
    for number, event in enumerate(experiment.timeline):
        must(
            event.do != "node_upgrade" or world.doors,
            f"timeline[{number}].do",
            "node_upgrade wants world.doors = true",
        )
        must(
            0 <= event.at < experiment.seconds,
            f"timeline[{number}].at",
            f"{event.at} is not within the experiment",
        )
    named = [variant.name for variant in experiment.variants]
    must(len(set(named)) == len(named), "variants", "two have one name")


def read_experiment(path: Path) -> tuple[Experiment, dict[str, Any]]:
    """An experiment and the values it was made from; raises ExperimentError."""
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ExperimentError(f"{path}: {error}") from None
    except tomllib.TOMLDecodeError as error:
        raise ExperimentError(f"{path}: not TOML: {error}") from None
    return _convert(values, str(path)), values


def put(values: Any, path: str, value: Any, where: str) -> None:
    """Set the key at a dotted path; numbers are places in a list. Tables on the way are made."""
    keys = path.split(".")
    for at, key in enumerate(keys):
        last = at == len(keys) - 1
        if isinstance(values, list):
            if not key.isdigit() or int(key) >= len(values):
                raise ExperimentError(f"{where}: {path}: there is no place {key} in that list")
            if last:
                values[int(key)] = value
            else:
                values = values[int(key)]
        elif isinstance(values, dict):
            if last:
                values[key] = value
            else:
                values = values.setdefault(key, [{}] if keys[at + 1].isdigit() else {})
        else:
            raise ExperimentError(f"{where}: {path}: {key} is inside a value")


def variants_of(
    experiment: Experiment, values: dict[str, Any], where: str
) -> list[tuple[Variant, Experiment]]:
    """Each variant with the experiment as it is to be played for it."""
    chosen = list(experiment.variants) or [Variant(name="as it stands")]
    keys = list(experiment.matrix)
    for key, column in experiment.matrix.items():
        if not column:
            raise ExperimentError(f"{where}: matrix.{key}: the list is empty")
    combined = []
    for variant in chosen:
        for combination in product(*experiment.matrix.values()):
            more = dict(zip(keys, combination, strict=True))
            label = ", ".join(f"{key.rpartition('.')[2]} {value}" for key, value in more.items())
            name = f"{variant.name}, {label}" if label else variant.name
            combined.append(
                Variant(
                    name=name,
                    set={**variant.set, **more},
                    node=variant.node,
                    operator=variant.operator,
                    commit=variant.commit,
                    policy=variant.policy,
                )
            )
    played = []
    for variant in combined:
        mine = copy.deepcopy(values)
        for key, value in variant.set.items():
            put(mine, key, value, f"{where}: variant {variant.name}")
        played.append((variant, _convert(mine, f"{where}: variant {variant.name}")))
    return played
