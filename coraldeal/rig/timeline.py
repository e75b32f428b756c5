"""Troubles on a timeline, taken apart into single steps for single servers, nodes and lists.

All of it is known before a run begins: who is hit is drawn from the seed, ends follow from lengths. A step
names one thing that happens at one time; servers, nodes and lists carry out those that are theirs.
"""

from __future__ import annotations

import msgspec

from coraldeal.rig.draws import random_stream
from coraldeal.rig.experiment import Event, Experiment, ExperimentError

SECOND = 1_000_000
# The kinds whose `who` are nodes, and those that are about the list.
OF_NODES = ("node_kill", "node_term", "node_hup", "node_upgrade")
OF_LIST = ("list_late", "list_down", "list_wrong")


class Step(msgspec.Struct, array_like=True):
    """One thing that happens to one server, node or list, so many microseconds after the start."""

    at_us: int
    # For servers: kill, start, freeze, thaw, slower, silent, loud, cut, mend, refuse, reopen, reset, spoil,
    # idle, drain. For nodes: node_kill, node_start, node_term, node_hup, node_upgrade. For the list:
    # list_late, list_down, list_up, list_wrong.
    what: str
    who: str
    by: float = 0.0
    kind: str = ""
    byte: int = -1
    between: tuple[float, float] = (0.0, 0.0)
    warm: bool = False


def server_names(experiment: Experiment) -> list[list[str]]:
    """Of each tier."""
    return [[f"{tier.name}-{i}" for i in range(tier.servers)] for tier in experiment.world.tiers]


def node_names(experiment: Experiment) -> list[str]:
    """Of the first tier."""
    return [f"node-{i}" for i in range(experiment.world.nodes)]


def _chosen(event: Event, names: list[str], seed: int, where: str) -> list[str]:
    """Who an event is about, by names, parts and tiers; in the order of `names`."""
    chosen: dict[str, None] = {}
    for word in event.who:
        prefix, _, part = word.rpartition(":")
        of = [name for name in names if not prefix or name.rpartition("-")[0] == prefix]
        if prefix and not of:
            raise ExperimentError(f"{where}.who: there is no tier {prefix!r}")
        if part == "all":
            chosen.update(dict.fromkeys(of))
        elif part.endswith("%"):
            try:
                count = round(float(part[:-1]) / 100 * len(of))
            except ValueError:
                raise ExperimentError(f"{where}.who: {word!r} is not a part of them") from None
            picked = random_stream(seed, f"who {where} {word}").permutation(len(of))[:count]
            chosen.update(dict.fromkeys(of[i] for i in sorted(picked.tolist())))
        elif part.isdigit() and not prefix:
            picked = random_stream(seed, f"who {where} {word}").permutation(len(of))[: int(part)]
            chosen.update(dict.fromkeys(of[i] for i in sorted(picked.tolist())))
        elif word in names:
            chosen[word] = None
        else:
            raise ExperimentError(f"{where}.who: {word!r} is none of {', '.join(names[:6])} ...")
    return [name for name in names if name in chosen]


def drawn(experiment: Experiment, seed: int) -> list[Event]:
    """The troubles that the seed adds to those of the file."""
    told = experiment.troubles
    draws = random_stream(seed, "troubles")
    events = []
    last = experiment.seconds - experiment.settle_seconds
    for _ in range(told.count):
        kind = told.kinds[int(draws.integers(len(told.kinds)))]
        length = float(draws.uniform(*told.seconds))
        at = experiment.settle_seconds + float(draws.uniform(0, max(0.1, last - length)))
        part = f"{int(draws.integers(10, 51))}%"
        if kind in OF_NODES:
            part = "1"
        events.append(
            Event(
                at=round(at, 3),
                do=kind,  # type: ignore[arg-type]
                who=[part],
                seconds=round(length, 3),
                by=round(float(draws.uniform(2, 8)), 2) if kind != "spoil" else 0.2,
                kind=["noise", "length", "cut", "surplus"][int(draws.integers(4))],
            )
        )
    return events


def steps_of(experiment: Experiment, seed: int) -> list[Step]:
    """Every step of a run, by time; raises ExperimentError."""
    servers = [name for tier in server_names(experiment) for name in tier]
    nodes = node_names(experiment)
    steps: list[Step] = []
    told = [(f"timeline[{i}]", event) for i, event in enumerate(experiment.timeline)]
    told += [(f"troubles, drawn {i}", event) for i, event in enumerate(drawn(experiment, seed))]
    for where, event in told:
        begin = int(event.at * SECOND)
        end = begin + int(event.seconds * SECOND) if event.seconds else 0
        if event.do in OF_LIST:
            steps.append(Step(begin, event.do, "", by=event.by))
            if end:
                steps.append(Step(end, "list_up", ""))
            continue
        of = nodes if event.do in OF_NODES else servers
        chosen = _chosen(event, of, seed, where)
        if event.do == "deploy":
            for place, name in enumerate(chosen):
                # Batch after batch, each as long as it drains and a moment for the list.
                at = begin + int((place // event.batch) * (event.drain_seconds + 0.5) * SECOND)
                away = at + int(event.drain_seconds * SECOND)
                steps += [Step(at, "drain", name), Step(away, "kill", name)]
                steps.append(Step(away + SECOND // 10, "start", name, warm=event.warm))
            continue
        for name in chosen:
            steps += _single(event, name, begin, end)
    # A sort that keeps the order of what happens at once.
    return sorted(steps, key=lambda step: step.at_us)


def _single(event: Event, name: str, begin: int, end: int) -> list[Step]:
    """The steps of one event at one server or node."""
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
    steps = [Step(begin, first, name, by=by, kind=event.kind, byte=byte, between=between)]
    if end and last:
        # What ends a trouble is the same step with nothing in it, or its opposite.
        by = 1.0 if last == "slower" else 0.0
        steps.append(Step(end, last, name, by=by, warm=event.warm))
        if event.do == "drain":
            steps.append(Step(end + SECOND // 10, "start", name, warm=event.warm))
    return steps
