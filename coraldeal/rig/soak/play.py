"""Plays seeds, one after another or several in parallel, and checks each by the rig's records."""

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

# Every fourth seed plays a crowd at discovery, the others a world with injected faults.
CROWD_EVERY = 4
# Nodes are small in a soak: a process that uses more memory has a leak.
MAX_MEMORY_MB = 96.0
# A node is out of use when it rejects all requests of a class, at least this many, for this long.
MIN_REJECTIONS, MIN_REJECTION_SPAN_US = 15, 4_000_000


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a seed: a line for each kind of violation, and for each fault that did not occur."""

    seed: int
    about: str
    violations: list[str]
    not_run: list[str]


@dataclass(frozen=True, slots=True)
class Options:
    """Seeds `first` to `first + count - 1`, `side_by_side` in parallel, with a planted fault or none."""

    first: int
    count: int
    side_by_side: int = 1
    planted: str = ""
    folder: Path | None = None


def node_command(planted: str) -> list[str]:
    """The command line of the node program, with this planted fault or none."""
    if planted:
        return [sys.executable, "-m", "coraldeal.rig.soak.planted", planted]
    return [sys.executable, "-m", "coraldeal", "serve"]


def replay_command(seed: int, planted: str) -> str:
    """The command line that plays this seed again."""
    plant = f" --plant {planted}" if planted else ""
    return f"coraldeal rig soak --seeds 1 --first {seed}{plant}"


async def soak(options: Options, say: Callable[[str], None]) -> list[Verdict]:
    """Play all seeds, report each, and return their verdicts in order."""
    parallel = asyncio.Semaphore(options.side_by_side)
    with tempfile.TemporaryDirectory() as scratch:
        folder = options.folder or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        library, reason = _build_shim(folder)

        async def play_seed(seed: int) -> Verdict:
            async with parallel:
                try:
                    verdict = await _play(seed, options.planted, folder / f"seed-{seed}", library, reason)
                except (ExperimentError, TimeoutError) as error:
                    verdict = Verdict(
                        seed, "did not start", [], [str(error) or "a process was not ready in time"]
                    )
            say(format_verdict(verdict, options.planted))
            return verdict

        seeds = range(options.first, options.first + options.count)
        return list(await asyncio.gather(*(play_seed(seed) for seed in seeds)))


def _build_shim(folder: Path) -> tuple[Path | None, str]:
    """Build the shim; returns its path, or None and the reason why it can't be built."""
    try:
        return build(folder), ""
    except ShimError as error:
        return None, str(error)


def format_verdict(verdict: Verdict, planted: str) -> str:
    """A verdict as lines of text; a failed seed includes the command that plays it again."""
    result = "FAILED" if verdict.violations else "passed"
    lines = [f"seed {verdict.seed} {result}: {verdict.about}"]
    lines += [f"  violation: {text}" for text in verdict.violations]
    lines += [f"  not run: {text}" for text in verdict.not_run]
    if verdict.violations:
        lines.append(f"  play again: {replay_command(verdict.seed, planted)}")
    return "\n".join(lines)


async def _play(seed: int, planted: str, folder: Path, library: Path | None, reason: str) -> Verdict:
    program = Program(node_command(planted), ROOT, {"PYTHONPATH": str(ROOT)})
    if seed % CROWD_EVERY == 0:
        options = draw_crowd(seed)
        outcome = await play_crowd(options, program, lambda _: None, folder)
        late_drains = [f"drain: {outcome.violations} requests after the grace"] if outcome.violations else []
        return Verdict(seed, f"crowd, {outcome.text().splitlines()[0]}", late_drains, [])
    drawn = draw(seed)
    log = folder / "faults.log"
    not_run: list[str] = []
    if drawn.faults is not None and library is not None:
        program.env.update(drawn.faults.environment(library, log))
    elif drawn.faults is not None:
        not_run.append(f"system calls and clock: {reason}")
    run = Run(drawn.experiment, Variant(name="soak"), seed, folder, program=program)
    played = await run.execute()
    if drawn.faults is not None and library is not None:
        not_run += _faults_not_forced(drawn, log)
    checker = RuleChecker(played.experiment, played.records, played.node_events, played.start_us)
    violations = find_violations(played, checker)
    if violations:
        _write_trace(played, checker, folder)
    late_ms = max((record.late_us // 1000 for record in played.records.late), default=0)
    about = f"{_describe(drawn)}; the rig itself was up to {late_ms} ms late"
    return Verdict(seed, about, violations, not_run)


def _write_trace(played: RunResult, checker: RuleChecker, folder: Path) -> None:
    """Write the records of a failed seed, and its violations with the records of their requests."""
    lines = [
        line
        for violation in checker.violations
        for line in (f"{violation.rule}: {violation.what}", *violation.trace)
    ]
    (folder / "violations.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")
    played.records.write(folder / "books.msgpack")


def _faults_not_forced(drawn: Drawn, log: Path) -> list[str]:
    """The drawn faults of system calls that did not occur."""
    assert drawn.faults is not None
    forced = log.read_text(encoding="ascii").split() if log.exists() else []
    return [
        f"system call {kind}: too few calls to fail one" for kind in drawn.faults.calls if kind not in forced
    ]


def _describe(drawn: Drawn) -> str:
    """The faults of a seed in one line."""
    faults = dict.fromkeys(event.do for event in drawn.experiment.timeline)
    words: list[str] = [drawn.experiment.world.list_mode, *faults]
    if drawn.faults is not None:
        words += [f"{kind} 1/{interval}" for kind, interval in drawn.faults.calls.items()]
        words += [f"clock {offset:+d} s" for _, offset in drawn.faults.clock]
    return ", ".join(words)


def find_violations(played: RunResult, checker: RuleChecker) -> list[str]:
    """The violations of a run: broken rules, crashes, too much memory, and nodes out of use."""
    first = {violation.rule: violation for violation in reversed(checker.check())}
    violations = [f"{rule}: {checker.counts[rule]}, first {first[rule].what}" for rule in first]
    for name, figures in played.nodes.items():
        if figures.crashes:
            violations.append(f"crash: {name} ended {figures.crashes} times without an order")
        if figures.rss_mb and max(figures.rss_mb) > MAX_MEMORY_MB:
            violations.append(f"memory: {name} held {max(figures.rss_mb):.0f} MB")
    return violations + _nodes_out_of_use(played)


def _nodes_out_of_use(played: RunResult) -> list[str]:
    """Nodes that for a while served none of the requests of a class that they got."""
    violations = []
    ended: dict[tuple[int, str], list[TryRecord]] = defaultdict(list)
    for record in sorted(played.records.tries, key=lambda record: record.end_us):
        if record.status and record.node >= 0:
            ended[record.node, record.request_class].append(record)
    for (node, request_class), tries in ended.items():
        since, count = 0, 0
        for record in tries:
            if record.status == 200:
                since, count = 0, 0
                continue
            since, count = since or record.end_us, count + 1
            if count >= MIN_REJECTIONS and record.end_us - since > MIN_REJECTION_SPAN_US:
                violations.append(
                    f"out of use: node {node} served none of {count} of {request_class} for 4 s"
                )
                break
    return violations
