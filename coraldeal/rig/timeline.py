"""Expands the timeline of injected faults into single steps for single servers, nodes and lists.

All steps are computed before a run starts: targets are drawn from the seed, and the end of a fault follows
from its length. A step is one action at one time; the servers, nodes and lists apply their own steps.
"""

from __future__ import annotations

import msgspec

from coraldeal.rig.draws import random_stream
from coraldeal.rig.experiment import Event, Experiment, ExperimentError

SECOND = 1_000_000
# Kinds of events whose targets (`who`) are nodes, and kinds that concern the list.
NODE_EVENTS = ("node_kill", "node_term", "node_hup", "node_upgrade")
LIST_EVENTS = ("list_late", "list_down", "list_wrong")


class Step(msgspec.Struct, array_like=True):
    """One action on one server, node or list, `at_us` microseconds after the start of the load."""

    at_us: int
    # For servers: kill, start, freeze, thaw, slower, silent, loud, cut, mend, refuse, reopen, reset, spoil,
    # idle, drain. For nodes: node_kill, node_start, node_term, node_hup, node_upgrade. For the list:
    # list_late, list_down, list_up, list_wrong.
    action: str
    # Name of the server or node; "" for the list.
    target: str
    # Parameters of the action, as in `Event`.
    by: float = 0.0
    kind: str = ""
    byte: int = -1
    between: tuple[float, float] = (0.0, 0.0)
    warm: bool = False


def server_names(experiment: Experiment) -> list[list[str]]:
    """Return the names of the servers of each tier."""
    return [[f"{tier.name}-{i}" for i in range(tier.servers)] for tier in experiment.world.tiers]


def node_names(experiment: Experiment) -> list[str]:
    """Return the names of the nodes in front of the first tier."""
    return [f"node-{i}" for i in range(experiment.world.nodes)]


def _select_targets(event: Event, names: list[str], seed: int, where: str) -> list[str]:
    """Return the targets of an event, by name, number, percentage or tier, in the order of `names`."""
    selected: dict[str, None] = {}
    for word in event.who:
        prefix, _, amount = word.rpartition(":")
        candidates = [name for name in names if not prefix or name.rpartition("-")[0] == prefix]
        if prefix and not candidates:
            raise ExperimentError(f"{where}.who: there is no tier {prefix!r}")
        if amount == "all":
            selected.update(dict.fromkeys(candidates))
        elif amount.endswith("%"):
            try:
                count = round(float(amount[:-1]) / 100 * len(candidates))
            except ValueError:
                raise ExperimentError(f"{where}.who: {word!r} is not a valid percentage") from None
            picked = random_stream(seed, f"who {where} {word}").permutation(len(candidates))[:count]
            selected.update(dict.fromkeys(candidates[i] for i in sorted(picked.tolist())))
        elif amount.isdigit() and not prefix:
            picked = random_stream(seed, f"who {where} {word}").permutation(len(candidates))[: int(amount)]
            selected.update(dict.fromkeys(candidates[i] for i in sorted(picked.tolist())))
        elif word in names:
            selected[word] = None
        else:
            raise ExperimentError(f"{where}.who: {word!r} is none of {', '.join(names[:6])} ...")
    return [name for name in names if name in selected]


def draw_events(experiment: Experiment, seed: int) -> list[Event]:
    """Draw the random faults that the experiment asks for in addition to its timeline."""
    faults = experiment.troubles
    draws = random_stream(seed, "troubles")
    events = []
    last = experiment.seconds - experiment.settle_seconds
    for _ in range(faults.count):
        kind = faults.kinds[int(draws.integers(len(faults.kinds)))]
        length = float(draws.uniform(*faults.seconds))
        at = experiment.settle_seconds + float(draws.uniform(0, max(0.1, last - length)))
        target = f"{int(draws.integers(10, 51))}%"
        if kind in NODE_EVENTS:
            target = "1"
        events.append(
            Event(
                at=round(at, 3),
                do=kind,  # type: ignore[arg-type]
                who=[target],
                seconds=round(length, 3),
                by=round(float(draws.uniform(2, 8)), 2) if kind != "spoil" else 0.2,
                kind=["noise", "length", "cut", "surplus"][int(draws.integers(4))],
            )
        )
    return events


def make_steps(experiment: Experiment, seed: int) -> list[Step]:
    """Return all steps of a run in order of time; raises ExperimentError for an invalid target."""
    servers = [name for tier in server_names(experiment) for name in tier]
    nodes = node_names(experiment)
    steps: list[Step] = []
    # The first of each pair also names the random stream of its targets: another text draws other targets.
    events = [(f"timeline[{i}]", event) for i, event in enumerate(experiment.timeline)]
    events += [(f"troubles, drawn {i}", event) for i, event in enumerate(draw_events(experiment, seed))]
    for where, event in events:
        begin_us = int(event.at * SECOND)
        end_us = begin_us + int(event.seconds * SECOND) if event.seconds else 0
        if event.do in LIST_EVENTS:
            steps.append(Step(begin_us, event.do, "", by=event.by))
            if end_us:
                steps.append(Step(end_us, "list_up", ""))
            continue
        candidates = nodes if event.do in NODE_EVENTS else servers
        targets = _select_targets(event, candidates, seed, where)
        if event.do == "deploy":
            for index, name in enumerate(targets):
                # Batches follow each other; each takes the time of its drain and 0.5 s for the list.
                drain_us = begin_us + int((index // event.batch) * (event.drain_seconds + 0.5) * SECOND)
                kill_us = drain_us + int(event.drain_seconds * SECOND)
                steps += [Step(drain_us, "drain", name), Step(kill_us, "kill", name)]
                steps.append(Step(kill_us + SECOND // 10, "start", name, warm=event.warm))
            continue
        for name in targets:
            steps += _event_steps(event, name, begin_us, end_us)
    # The sort is stable: simultaneous steps keep their order.
    return sorted(steps, key=lambda step: step.at_us)


def _event_steps(event: Event, name: str, begin_us: int, end_us: int) -> list[Step]:
    """Return the steps of one event on one server or node; `end_us` 0: the fault lasts."""
    first, last = {
        "kill": ("kill", "start"),
        "freeze": ("freeze", "thaw"),
        "slow": ("slower", "slower"),
        "silent": ("silent", "loud"),
        "cut": ("cut", "mend"),
        "refuse": ("refuse", "reopen"),
        "reset": ("reset", "reset"),
        "spoil": ("spoil", "spoil"),
        "close_idle": ("idle", "idle"),
        "drain": ("drain", "kill"),
        "node_kill": ("node_kill", "node_start"),
        "node_term": ("node_term", "node_start"),
        "node_hup": ("node_hup", ""),
        "node_upgrade": ("node_upgrade", ""),
    }[event.do]
    by = event.by if event.do != "spoil" else min(1.0, event.by)
    between = event.between if event.do == "close_idle" else (0.0, 0.0)
    byte = event.byte if event.do == "reset" else -1
    steps = [Step(begin_us, first, name, by=by, kind=event.kind, byte=byte, between=between)]
    if end_us and last:
        # A fault ends by its opposite action, or by the same action with neutral parameters.
        by = 1.0 if last == "slower" else 0.0
        steps.append(Step(end_us, last, name, by=by, warm=event.warm))
        if event.do == "drain":
            steps.append(Step(end_us + SECOND // 10, "start", name, warm=event.warm))
    return steps
