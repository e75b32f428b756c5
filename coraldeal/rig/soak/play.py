"""Plays seeds one after another, or some side by side, and judges each by the rig's books."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from coraldeal.rig.crowd.draw import draw as draw_crowd
from coraldeal.rig.crowd.play import play as play_crowd
from coraldeal.rig.experiment import ExperimentError, Variant
from coraldeal.rig.nodes import ROOT, Program
from coraldeal.rig.records import TryRecord
from coraldeal.rig.rules import RuleChecker
from coraldeal.rig.run import Run, RunResult
from coraldeal.rig.soak.draw import Drawn, draw
from coraldeal.rig.soak.shim import ShimError, build

# Each so-manieth seed is a crowd at discovery, the others a world with troubles.
CROWD_EVERY = 4
# Nodes are small here: a process that holds more has a leak.
MEMORY_MOST_MB = 96.0
# A node that rejects all that it gets of a track, so many requests at least, for so long is out of use.
REJECTS, REJECTS_FOR_US = 15, 4_000_000


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a seed showed. `broken`: a line for each kind of break; `not_run`: what could not be forced."""

    seed: int
    about: str
    broken: list[str]
    not_run: list[str]


@dataclass(frozen=True, slots=True)
class Options:
    """Seeds `first` to `first + count - 1`, so many side by side, with a planted fault or none."""

    first: int
    count: int
    side_by_side: int = 1
    planted: str = ""
    folder: Path | None = None


def command_of(planted: str) -> list[str]:
    """The node program, or the one with this fault."""
    if planted:
        return [sys.executable, "-m", "coraldeal.rig.soak.planted", planted]
    return [sys.executable, "-m", "coraldeal", "serve"]


def command_for(seed: int, planted: str) -> str:
    """What plays this seed again."""
    plant = f" --plant {planted}" if planted else ""
    return f"coraldeal rig soak --seeds 1 --first {seed}{plant}"


async def soak(options: Options, say: Callable[[str], None]) -> list[Verdict]:
    """All seeds, in their order; a verdict each."""
    lanes = asyncio.Semaphore(options.side_by_side)
    with tempfile.TemporaryDirectory() as scratch:
        folder = options.folder or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        library, why = _shim(folder)

        async def one(seed: int) -> Verdict:
            async with lanes:
                try:
                    verdict = await _play(seed, options.planted, folder / f"seed-{seed}", library, why)
                except (ExperimentError, TimeoutError) as error:
                    verdict = Verdict(
                        seed, "could not begin", [], [str(error) or "a part was not up in time"]
                    )
            say(told(verdict, options.planted))
            return verdict

        seeds = range(options.first, options.first + options.count)
        return list(await asyncio.gather(*(one(seed) for seed in seeds)))


def _shim(folder: Path) -> tuple[Path | None, str]:
    try:
        return build(folder), ""
    except ShimError as error:
        return None, str(error)


def told(verdict: Verdict, planted: str) -> str:
    """A verdict for a person; a failing seed tells how it is played again."""
    state = "FAILED" if verdict.broken else "passed"
    lines = [f"seed {verdict.seed} {state}: {verdict.about}"]
    lines += [f"  broken: {text}" for text in verdict.broken]
    lines += [f"  not run: {text}" for text in verdict.not_run]
    if verdict.broken:
        lines.append(f"  again: {command_for(verdict.seed, planted)}")
    return "\n".join(lines)


async def _play(seed: int, planted: str, folder: Path, library: Path | None, why: str) -> Verdict:
    program = Program(command_of(planted), ROOT, {"PYTHONPATH": str(ROOT)})
    if seed % CROWD_EVERY == 0:
        options = draw_crowd(seed)
        outcome = await play_crowd(options, program, lambda _: None, folder)
        late = [f"drain: {outcome.broken} requests after the grace"] if outcome.broken else []
        return Verdict(seed, f"crowd, {outcome.text().splitlines()[0]}", late, [])
    drawn = draw(seed)
    log = folder / "faults.log"
    not_run: list[str] = []
    if drawn.faults is not None and library is not None:
        program.env.update(drawn.faults.environment(library, log))
    elif drawn.faults is not None:
        not_run.append(f"system calls and clock: {why}")
    run = Run(drawn.experiment, Variant(name="soak"), seed, folder, program=program)
    played = await run.execute()
    if drawn.faults is not None and library is not None:
        not_run += _not_forced(drawn, log)
    judged = RuleChecker(played.experiment, played.records, played.node_events, played.start_us)
    broken = broken_by(played, judged)
    if broken:
        _keep(played, judged, folder)
    late_ms = max((row.late_us // 1000 for row in played.records.late), default=0)
    about = f"{_about(drawn)}; the rig itself was up to {late_ms} ms late"
    return Verdict(seed, about, broken, not_run)


def _keep(played: RunResult, judged: RuleChecker, folder: Path) -> None:
    """What a failing seed is traced by: its books, and each violation with the rows of its request."""
    lines = [
        line
        for violation in judged.violations
        for line in (f"{violation.rule}: {violation.what}", *violation.trace)
    ]
    (folder / "violations.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")
    played.records.write(folder / "books.msgpack")


def _not_forced(drawn: Drawn, log: Path) -> list[str]:
    """Faults that were drawn and did not come up."""
    assert drawn.faults is not None
    forced = log.read_text(encoding="ascii").split() if log.exists() else []
    return [f"system call {kind}: none was due" for kind in drawn.faults.calls if kind not in forced]


def _about(drawn: Drawn) -> str:
    """The troubles of a seed in one line."""
    troubles = dict.fromkeys(event.do for event in drawn.experiment.timeline)
    words: list[str] = [drawn.experiment.world.list_mode, *troubles]
    if drawn.faults is not None:
        words += [f"{kind} 1/{rate}" for kind, rate in drawn.faults.calls.items()]
        words += [f"clock {off:+d} s" for _, off in drawn.faults.clock]
    return ", ".join(words)


def broken_by(played: RunResult, judged: RuleChecker) -> list[str]:
    """What a run broke: rules, by their judge, crashes, memory, nodes out of use."""
    first = {violation.rule: violation for violation in reversed(judged.check())}
    broken = [f"{rule}: {judged.counts[rule]}, first {first[rule].what}" for rule in first]
    for name, figures in played.nodes.items():
        if figures.crashes:
            broken.append(f"crash: {name} ended {figures.crashes} times unasked")
        if figures.rss_mb and max(figures.rss_mb) > MEMORY_MOST_MB:
            broken.append(f"memory: {name} held {max(figures.rss_mb):.0f} MB")
    return broken + _out_of_use(played)


def _out_of_use(played: RunResult) -> list[str]:
    """Nodes that served nothing of all they got of a track for a while."""
    broken = []
    ended: dict[tuple[int, str], list[TryRecord]] = defaultdict(list)
    for row in sorted(played.records.tries, key=lambda row: row.end_us):
        if row.status and row.node >= 0:
            ended[row.node, row.request_class].append(row)
    for (node, track), rows in ended.items():
        since, count = 0, 0
        for row in rows:
            if row.status == 200:
                since, count = 0, 0
                continue
            since, count = since or row.end_us, count + 1
            if count >= REJECTS and row.end_us - since > REJECTS_FOR_US:
                broken.append(f"out of use: node {node} served none of {count} of {track} for 4 s")
                break
    return broken
