"""`coraldeal rig ...`: run an experiment, compare results, draw a report, serve stand-ins, the demo."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from coraldeal.rig import clock
from coraldeal.rig.assertions import InvalidAssertionError
from coraldeal.rig.experiment import ExperimentError

STATUSES = """
exit status: 0 all claims hold; 1 one does not; 2 bad use (experiment, variant, port); 130 interrupted
"""
EXAMPLES = f"""
examples:
  coraldeal rig run experiments/calm.toml
  coraldeal rig run experiments/outage.toml --set seconds=20 --seed 7 --out /tmp/outage
  coraldeal rig compare results/A results/B
  coraldeal rig report results/A
  coraldeal rig serve-standins --servers 4 --work-ms 20 --config /tmp/node.json
{STATUSES}"""


def _value(text: str) -> tuple[str, Any]:
    """KEY=VALUE; a value that is not JSON is text."""
    key, equals, value = text.partition("=")
    if not equals or not key:
        raise argparse.ArgumentTypeError(f"{text!r} is not of the form KEY=VALUE")
    try:
        return key, json.loads(value)
    except ValueError:
        return key, value


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(
        "coraldeal rig",
        description="Experiments on stand-ins of callers, servers and the list, on loopback.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = made.add_subparsers(dest="command", required=True)

    def add(name: str, text: str, example: str) -> argparse.ArgumentParser:
        return commands.add_parser(
            name,
            help=text,
            description=text,
            epilog=f"example: {example}\n{STATUSES}",
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )

    run = add("run", "play an experiment", "coraldeal rig run experiments/calm.toml --set load.rate=500")
    run.add_argument("file", type=Path, help="the experiment, TOML")
    run.add_argument("--out", type=Path, help="the directory of results (default: a new one under results/)")
    run.add_argument("--seed", type=int, help="in place of the file's")
    run.add_argument(
        "--set", type=_value, action="append", default=[], metavar="KEY=VALUE", help="a key by its path"
    )
    run.add_argument("--no-report", action="store_true", help="draw no pictures")
    compare = add("compare", "ratios of one result to another", "coraldeal rig compare results/A results/B")
    compare.add_argument("first", type=Path)
    compare.add_argument("second", type=Path)
    report = add("report", "draw report.html of a result again", "coraldeal rig report results/A")
    report.add_argument("folder", type=Path)
    standins = add(
        "serve-standins",
        "stand-in servers and their list for a node of your own, until Ctrl-C",
        "coraldeal rig serve-standins --servers 3 --work-ms 20 --config node.json --listen 127.0.0.1:8081",
    )
    standins.add_argument("--servers", type=int, default=3, help="how many (default: 3)")
    standins.add_argument("--cores", type=int, default=2, help="of each (default: 2)")
    standins.add_argument("--work-ms", type=float, default=20.0, help="work of an inquiry (default: 20)")
    standins.add_argument("--config", type=Path, required=True, help="write a node's configuration there")
    standins.add_argument("--listen", default="127.0.0.1:8081", help="where that node is to listen")
    standins.add_argument("--seconds", type=float, default=3600.0, help="end after (default: 3600)")
    bulk = add(
        "transfers",
        "many large transfers through one node at once, half bodies, half answers",
        "coraldeal rig transfers --count 50 --megabytes 32",
    )
    bulk.add_argument("--count", type=int, default=50, help="how many at once (default: 50)")
    bulk.add_argument("--megabytes", type=int, default=32, help="of each (default: 32)")
    scale_group = add(
        "scale",
        "what size costs: slopes, and a fleet on its control side",
        "coraldeal rig scale run --nodes 1000",
    )
    scales = scale_group.add_subparsers(dest="scale", required=True)
    slopes = scales.add_parser("slopes", help="what one more of something costs, with the fitted line")
    slopes.add_argument(
        "--only", action="append", default=[], metavar="NAME", help="this one; may be repeated"
    )
    slopes.add_argument("--quick", action="store_true", help="small sizes, and no processes of their own")
    slopes.add_argument("--out", type=Path, help="write all measures there, JSON")
    _scale_run(scales)
    _crowd(add)
    _soak(add)
    demo = add("demo", "thirty seconds of a node among servers in trouble", "coraldeal rig demo")
    demo.add_argument("--seconds", type=float, default=30.0, help="default: 30")
    demo.add_argument("--out", type=Path, help="the directory of results")
    return made


def _crowd(add: Callable[[str, str, str], argparse.ArgumentParser]) -> None:
    made = add(
        "crowd",
        "new configurations in a row at a discovery that works through calls in turn, then a drain",
        "coraldeal rig crowd --nodes 60 --work-ms 40",
    )
    made.add_argument("--nodes", type=int, default=60, help="node processes (default: 60)")
    made.add_argument("--work-ms", type=float, default=40.0, help="discovery's work for a call (default: 40)")
    made.add_argument("--most-waiting", type=int, default=0, help="calls that may wait there (default: any)")
    made.add_argument("--drops-the-gone", action="store_true", help="no work for a caller that has gone")
    made.add_argument(
        "--ends-together", action="store_true", help="a call that fails ends all that its node has open"
    )
    made.add_argument("--ends-watches", action="store_true", help="a watch ends instead of telling")
    made.add_argument("--moves", type=int, default=4, help="new configurations of each node (default: 4)")
    made.add_argument(
        "--spread", type=float, default=1.5, help="seconds over which nodes get the first (default: 1.5)"
    )
    made.add_argument(
        "--drain-after", type=float, default=2.0, help="seconds behind the last of them (default: 2)"
    )
    made.add_argument(
        "--published-after", type=float, default=0.0, help="seconds from the drain to its list (default: 0)"
    )
    made.add_argument(
        "--outage", type=float, default=0.0, help="seconds that discovery is down before it (default: 0)"
    )
    made.add_argument("--seed", type=int, default=1)
    made.add_argument(
        "--draw",
        type=int,
        default=0,
        metavar="N",
        help="N plays, each drawn from its seed: from --seed on; what is told above is not used",
    )
    made.add_argument("--commit", default="", help="the nodes are the program of this commit")
    made.add_argument("--out", type=Path, help="keep the nodes' files and logs there")


def _soak(add: Callable[[str, str, str], argparse.ArgumentParser]) -> None:
    made = add(
        "soak",
        "experiments drawn from seeds: troubles, failing system calls, stepped clocks, crowds",
        "coraldeal rig soak --seeds 50 --side-by-side 3",
    )
    made.add_argument("--seeds", type=int, default=8, help="how many (default: 8)")
    made.add_argument("--first", type=int, default=1, help="the first of them (default: 1)")
    made.add_argument("--side-by-side", type=int, default=1, help="how many at once (default: 1)")
    made.add_argument("--plant", default="", metavar="FAULT", help="a fault that is to be found")
    made.add_argument("--out", type=Path, help="keep books, configurations and logs there")


def _scale_run(commands: Any) -> None:
    text = "hollow nodes beside real ones follow a source through its troubles"
    made = commands.add_parser(
        "run",
        help=text,
        description=text,
        epilog=f"example: coraldeal rig scale run --nodes 1000 --seconds 60\n{STATUSES}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    made.add_argument(
        "--nodes", type=int, default=200, help="hollow nodes, and as many servers (default: 200)"
    )
    made.add_argument("--real", type=int, default=8, help="real node processes under load (default: 8)")
    made.add_argument("--seconds", type=float, default=24.0, help="of changes (default: 24)")
    made.add_argument("--settle", type=float, default=6.0, help="until the end is judged (default: 6)")
    made.add_argument("--seed", type=int, default=1)
    made.add_argument("--rate", type=float, default=0.66, help="changes a second (default: 0.66)")
    made.add_argument("--processes", type=int, default=0, help="of hollow nodes (default: one for 250 nodes)")
    made.add_argument(
        "--relays", type=int, default=0, help="relays in each region (default: 0, straight from the source)"
    )
    made.add_argument(
        "--plant", default="", metavar="FAULT", help="drop, swap, stale or keep-gone: to be found"
    )
    made.add_argument("--troubles", metavar="A,B", help="only these, or none (default: all)")
    made.add_argument(
        "--limit-ms", type=float, default=0.0, help="worst from made to in force (default: any)"
    )
    made.add_argument("--out", type=Path, help="the directory of books and summary.json (default: a new one)")


def scale(args: argparse.Namespace) -> int:
    """What size costs."""
    return scale_run(args) if args.scale == "run" else slopes(args)


def crowd(args: argparse.Namespace) -> int:
    """Many nodes at one discovery; 1 where a drain was not kept."""
    import tempfile

    from coraldeal.rig.crowd.draw import draw
    from coraldeal.rig.crowd.play import Options, play
    from coraldeal.rig.crowd.service import ServiceLimits
    from coraldeal.rig.experiment import Variant
    from coraldeal.rig.nodes import program_of

    if not (1 <= args.nodes <= 300 and 0 < args.work_ms <= 3000):
        raise ExperimentError("--nodes is to be in 1 to 300, --work-ms over 0 and at most 3000")
    limits = ServiceLimits(
        args.work_ms / 1000,
        max_waiting=args.most_waiting,
        serves_closed_calls=not args.drops_the_gone,
        ends_together=args.ends_together,
        ends_watches=args.ends_watches,
    )
    options = Options(
        nodes=args.nodes,
        limits=limits,
        moves=args.moves,
        spread=args.spread,
        drain_after=args.drain_after,
        published_after=args.published_after,
        outage=args.outage,
        seed=args.seed,
    )
    drawn = [draw(seed) for seed in range(args.seed, args.seed + args.draw)]
    failed = 0
    with tempfile.TemporaryDirectory() as scratch:
        program = program_of(Variant(name="nodes", commit=args.commit), Path(scratch))
        for played in drawn or [options]:
            if drawn:
                print(f"coraldeal rig crowd --draw 1 --seed {played.seed}: {played}")
            outcome = clock.run(play(played, program, lambda text: print(text, file=sys.stderr), args.out))
            print(outcome.text(), flush=True)
            failed += outcome.violations > 0
    if drawn:
        print(f"{len(drawn) - failed} passed, {failed} failed")
    return int(failed > 0)


def soak(args: argparse.Namespace) -> int:
    """Seeds one after another; 1 where one failed."""
    from coraldeal.rig.play import default_folder
    from coraldeal.rig.soak.play import Options
    from coraldeal.rig.soak.play import soak as play

    if args.plant:
        from coraldeal.rig.soak.planted import FAULTS

        if args.plant not in FAULTS:
            raise ExperimentError(f"--plant: {args.plant!r} is none of {', '.join(FAULTS)}")
    folder = args.out or default_folder(Path("soak"))
    options = Options(args.first, args.seeds, args.side_by_side, args.plant, folder)
    verdicts = clock.run(play(options, lambda text: print(text, flush=True)))
    failed = sum(bool(verdict.violations) for verdict in verdicts)
    print(f"{len(verdicts) - failed} passed, {failed} failed; books of those that failed: {folder}")
    return int(failed > 0)


def scale_run(args: argparse.Namespace) -> int:
    """The scale run; 1 where its verdict is not good."""
    from coraldeal.rig.play import default_folder
    from coraldeal.rig.scale.run import Options, format_summary, play
    from coraldeal.rig.scale.timeline import INJECTED_FAULTS, PLANTED_FAULTS

    if args.plant and args.plant not in PLANTED_FAULTS:
        raise ExperimentError(f"--plant: {args.plant!r} is none of {', '.join(PLANTED_FAULTS)}")
    named = INJECTED_FAULTS if args.troubles is None else tuple(args.troubles.split(","))
    named = () if named == ("none",) else named
    if unknown := [name for name in named if name not in INJECTED_FAULTS]:
        raise ExperimentError(f"--troubles: {unknown[0]!r} is none of {', '.join(INJECTED_FAULTS)}")
    options = Options(
        nodes=args.nodes,
        real=args.real,
        seconds=args.seconds,
        seed=args.seed,
        rate=args.rate,
        processes=args.processes,
        relays=args.relays,
        plant=args.plant,
        # In their own order, whatever that of the option.
        injected_faults=tuple(name for name in INJECTED_FAULTS if name in named),
        settle=args.settle,
        limit_ms=args.limit_ms,
        out=args.out or default_folder(Path("scale")),
    )
    summary = clock.run(play(options, lambda text: print(text, file=sys.stderr, flush=True)))
    print(format_summary(summary))
    print(f"results: {options.out}")
    return int(not summary["good"])


def run(args: argparse.Namespace) -> int:
    """Play an experiment file."""
    from coraldeal.rig.play import Play, default_folder, progress_line
    from coraldeal.rig.run import Run

    folder = args.out or default_folder(args.file)
    terminal = sys.stderr.isatty()
    last = 0.0

    def progress(running: Run) -> None:
        nonlocal last
        if terminal:
            print(f"\r\x1b[K{progress_line(running)}", end="", file=sys.stderr, flush=True)
        elif time.monotonic() - last > 10:
            last = time.monotonic()
            print(progress_line(running), file=sys.stderr, flush=True)

    def say(text: str) -> None:
        if terminal:
            print("\r\x1b[K", end="", file=sys.stderr, flush=True)
        print(text, flush=True)

    play = Play(args.file, folder, overrides=dict(args.set), seed=args.seed, say=say, on_progress=progress)
    return _finish(play, folder, draw=not args.no_report)


def _finish(play: Any, folder: Path, draw: bool) -> int:
    """Play, draw, and say what held."""
    outcome, status = clock.run(play.play())
    for verdict in outcome.verdicts:
        word = "holds" if verdict.true else "DOES NOT HOLD"
        print(f"claim {verdict.claim}: {word} for {verdict.variant} (seen {verdict.value})")
    if draw and outcome.summaries:
        from coraldeal.rig.report import write_report

        print(f"report: {write_report(outcome, folder)}")
    print(f"results: {folder}")
    if outcome.interrupted:
        print("interrupted: what was measured until then is kept", file=sys.stderr)
    return int(status)


def compare(args: argparse.Namespace) -> int:
    """Two results, figure by figure."""
    from statistics import median

    from coraldeal.rig.play import COMPARED, read

    first, second = read(args.first), read(args.second)
    names = [s.variant for s in first.summaries]
    for name in dict.fromkeys(names):
        one = [s.figures for s in first.summaries if s.variant == name]
        two = [s.figures for s in second.summaries if s.variant == name]
        if not two:
            print(f"{name}: only in {args.first}")
            continue
        print(f"{name}: {len(one)} runs against {len(two)}")
        print(f"  {'figure':26} {'first':>11} {'second':>11} {'ratio':>7}  spread of second")
        for figure in COMPARED:
            old = [f[figure] for f in one if figure in f]
            new = [f[figure] for f in two if figure in f]
            if old and new:
                a, b = median(old), median(new)
                ratio = f"{b / a:7.3f}" if a else "      -"
                print(f"  {figure:26} {a:11.4g} {b:11.4g} {ratio}  {min(new):.4g} to {max(new):.4g}")
    return 0


def report(args: argparse.Namespace) -> int:
    from coraldeal.rig.play import read
    from coraldeal.rig.report import write_report

    print(write_report(read(args.folder), args.folder))
    return 0


def transfers(args: argparse.Namespace) -> int:
    """Many large transfers at once; 1 where one did not come whole."""
    from coraldeal.rig.transfers import transfers as play

    if not (1 <= args.count <= 400 and 1 <= args.megabytes <= 64):
        raise ExperimentError("--count is to be in 1 to 400, --megabytes in 1 to 64")
    seen = clock.run(play(args.count, args.megabytes))
    print(seen.told())
    return int(seen.whole != seen.asked)


def slopes(args: argparse.Namespace) -> int:
    """What one more of something costs."""
    from coraldeal.rig.slopes import play

    return play(args.only, args.quick, args.out)


def demo(args: argparse.Namespace) -> int:
    """The main job: a node among servers that crawl, die and drain, seen live."""
    from coraldeal.rig.play import Play, default_folder
    from coraldeal.rig.view import LiveView, demo_file

    file = demo_file()
    folder = args.out or default_folder(file)
    overrides = {"seconds": args.seconds} if args.seconds != 30.0 else {}
    with LiveView() as view:
        play = Play(file, folder, overrides=overrides, say=view.say, on_progress=view.show)
        outcome, status = clock.run(play.play())
    from coraldeal.rig.report import write_report

    if outcome.summaries:
        figures = outcome.summaries[0].figures
        print(
            f"{figures['asked']:.0f} inquiries: {figures['satisfied']:.0f} satisfied, "
            f"{figures['deferred']:.0f} deferred, {figures['given_up']:.0f} given up, "
            f"{figures['unanswered']:.0f} unanswered; "
            + ("no rule broke" if not figures["violations"] else f"RULES BROKEN: {figures['violations']:.0f}")
        )
        print(f"report: {write_report(outcome, folder)}")
    return int(status)


def serve_standins(args: argparse.Namespace) -> int:
    """Stand-ins alone, for trying a node by hand."""
    return int(clock.run(_standins(args)))


async def _standins(args: argparse.Namespace) -> int:
    from coraldeal.rig.experiment import Experiment, Load, RequestClassSpec, TierSpec, Variant, World
    from coraldeal.rig.listing import ListedServer, Listing
    from coraldeal.rig.model import Group, ServerSpec
    from coraldeal.rig.nodes import NodeProcess, Program
    from coraldeal.rig.records import Records
    from coraldeal.rig.standins import StandIn

    tier = TierSpec(servers=args.servers, cores=args.cores)
    tracks = [
        RequestClassSpec(name="read", work_ms=args.work_ms),
        RequestClassSpec(name="gift", effect="labelled"),
    ]
    experiment = Experiment(name="standins", world=World(tiers=[tier]), load=Load(tracks=tracks))
    book, group = Records(), Group(0.0, 2_000_000)
    listing = Listing(0, book, 300_000)
    shape = ServerSpec(cores=args.cores)
    for number in range(args.servers):
        standin = StandIn(
            f"front-{number}", 0, "a", shape, group, book, 1, fields=[], probes=False, idle_us=5_000_000
        )
        standin.default_work_us = int(args.work_ms * 1000)
        await standin.start({"a": 0.0})
        listing.add(ListedServer(standin.name, "a", 0, standin.ports))
        print(f"{standin.name} on 127.0.0.1:{standin.ports['a']}")
    port = await listing.open(0, "a")
    host, _, listen = args.listen.rpartition(":")
    node = NodeProcess("node", 0, 0, "a", int(listen), args.config.parent, Program([], Path()))
    node.path = args.config
    node.configure(experiment, Variant(name="standins"), listing, port, 1, 0, 1)
    print(f"the list on 127.0.0.1:{port}; start a node: coraldeal serve --config {args.config}")
    print(f"then: curl -i -H 'Req-Id: 1' -H 'Req-Deadline: 800m' http://{host}:{listen}/read/x", flush=True)
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    try:
        await asyncio.wait_for(stop.wait(), args.seconds)
    except TimeoutError:
        print("the time is over")
    await listing.close()
    return 0


def main(argv: list[str]) -> int:
    """Exit statuses are told by --help."""
    args = parser().parse_args(argv)
    acts = {
        "run": run,
        "compare": compare,
        "report": report,
        "serve-standins": serve_standins,
        "transfers": transfers,
        "crowd": crowd,
        "soak": soak,
        "scale": scale,
        "demo": demo,
    }
    try:
        return acts[args.command](args)
    except (ExperimentError, InvalidAssertionError, OSError) as error:
        print(f"coraldeal rig: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130
