"""The command `coraldeal rig`: runs experiments, compares results, writes reports, and serves stand-ins."""

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
exit status: 0 all assertions hold; 1 one does not; 2 usage error (experiment, variant, port); 130 interrupted
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
    """Parse KEY=VALUE; a value that is not JSON is taken as text."""
    key, equals, value = text.partition("=")
    if not equals or not key:
        raise argparse.ArgumentTypeError(f"{text!r} is not of the form KEY=VALUE")
    try:
        return key, json.loads(value)
    except ValueError:
        return key, value


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line of `coraldeal rig`."""
    root = argparse.ArgumentParser(
        "coraldeal rig",
        description="Run experiments with stand-ins for callers, servers and the list, on loopback.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = root.add_subparsers(dest="command", required=True)

    def add(name: str, text: str, example: str) -> argparse.ArgumentParser:
        return commands.add_parser(
            name,
            help=text,
            description=text,
            epilog=f"example: {example}\n{STATUSES}",
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )

    run_parser = add(
        "run", "run an experiment", "coraldeal rig run experiments/calm.toml --set load.rate=500"
    )
    run_parser.add_argument("file", type=Path, help="experiment file, TOML")
    run_parser.add_argument(
        "--out", type=Path, help="directory of results (default: a new one under results/)"
    )
    run_parser.add_argument("--seed", type=int, help="seed that replaces the one of the file")
    run_parser.add_argument(
        "--set",
        type=_value,
        action="append",
        default=[],
        metavar="KEY=VALUE",
        help="set a key of the experiment by its path",
    )
    run_parser.add_argument("--no-report", action="store_true", help="write no report")
    compare = add(
        "compare",
        "compare two results by the ratios of their figures",
        "coraldeal rig compare results/A results/B",
    )
    compare.add_argument("first", type=Path)
    compare.add_argument("second", type=Path)
    report = add("report", "write report.html of a result again", "coraldeal rig report results/A")
    report.add_argument("folder", type=Path)
    standins = add(
        "serve-standins",
        "serve stand-in servers and their list for a node started by hand, until Ctrl-C",
        "coraldeal rig serve-standins --servers 3 --work-ms 20 --config node.json --listen 127.0.0.1:8081",
    )
    standins.add_argument("--servers", type=int, default=3, help="number of servers (default: 3)")
    standins.add_argument("--cores", type=int, default=2, help="cores of each server (default: 2)")
    standins.add_argument("--work-ms", type=float, default=20.0, help="work of a request (default: 20)")
    standins.add_argument(
        "--config", type=Path, required=True, help="file to write the node's configuration to"
    )
    standins.add_argument("--listen", default="127.0.0.1:8081", help="address at which the node listens")
    standins.add_argument("--seconds", type=float, default=3600.0, help="end after this time (default: 3600)")
    transfers_parser = add(
        "transfers",
        "send many large transfers through one node at once, half bodies, half answers",
        "coraldeal rig transfers --count 50 --megabytes 32",
    )
    transfers_parser.add_argument(
        "--count", type=int, default=50, help="number of simultaneous transfers (default: 50)"
    )
    transfers_parser.add_argument(
        "--megabytes", type=int, default=32, help="size of each transfer (default: 32)"
    )
    scale_group = add(
        "scale",
        "measure the cost of size: slopes, and the control plane of a fleet",
        "coraldeal rig scale run --nodes 1000",
    )
    scale_commands = scale_group.add_subparsers(dest="scale", required=True)
    slopes = scale_commands.add_parser(
        "slopes", help="measure what one more unit of something costs, by a fitted line"
    )
    slopes.add_argument(
        "--only", action="append", default=[], metavar="NAME", help="run only this measure; may be repeated"
    )
    slopes.add_argument(
        "--quick", action="store_true", help="use small sizes, and skip measures that start processes"
    )
    slopes.add_argument("--out", type=Path, help="file to write all measures to, JSON")
    _add_scale_run(scale_commands)
    _add_crowd(add)
    _add_soak(add)
    demo = add("demo", "run a node with failing servers for thirty seconds", "coraldeal rig demo")
    demo.add_argument("--seconds", type=float, default=30.0, help="duration (default: 30)")
    demo.add_argument("--out", type=Path, help="directory of results")
    return root


def _add_crowd(add: Callable[[str, str, str], argparse.ArgumentParser]) -> None:
    crowd_parser = add(
        "crowd",
        "reconfigure nodes repeatedly at a serial discovery service, then drain a server",
        "coraldeal rig crowd --nodes 60 --work-ms 40",
    )
    crowd_parser.add_argument("--nodes", type=int, default=60, help="number of node processes (default: 60)")
    crowd_parser.add_argument(
        "--work-ms", type=float, default=40.0, help="work of discovery per call (default: 40)"
    )
    crowd_parser.add_argument(
        "--most-waiting", type=int, default=0, help="calls that may wait at discovery (default: any number)"
    )
    crowd_parser.add_argument(
        "--drops-the-gone",
        action="store_true",
        help="discovery does no work for a call whose connection is closed",
    )
    crowd_parser.add_argument(
        "--ends-together", action="store_true", help="a failing call ends all open calls of its node"
    )
    crowd_parser.add_argument(
        "--ends-watches", action="store_true", help="a watch ends instead of answering with the change"
    )
    crowd_parser.add_argument(
        "--moves", type=int, default=4, help="number of new configurations of each node (default: 4)"
    )
    crowd_parser.add_argument(
        "--spread",
        type=float,
        default=1.5,
        help="seconds over which nodes get their first configuration (default: 1.5)",
    )
    crowd_parser.add_argument(
        "--drain-after",
        type=float,
        default=2.0,
        help="seconds from the last configuration to the drain (default: 2)",
    )
    crowd_parser.add_argument(
        "--published-after",
        type=float,
        default=0.0,
        help="seconds from the drain to its publication in the list (default: 0)",
    )
    crowd_parser.add_argument(
        "--outage",
        type=float,
        default=0.0,
        help="seconds that discovery is down before the drain (default: 0)",
    )
    crowd_parser.add_argument("--seed", type=int, default=1)
    crowd_parser.add_argument(
        "--draw",
        type=int,
        default=0,
        metavar="N",
        help="make N runs, each drawn from its seed, starting with --seed; the options above are unused",
    )
    crowd_parser.add_argument("--commit", default="", help="run the nodes with the program of this commit")
    crowd_parser.add_argument("--out", type=Path, help="directory to keep the nodes' files and logs in")


def _add_soak(add: Callable[[str, str, str], argparse.ArgumentParser]) -> None:
    soak_parser = add(
        "soak",
        "run experiments drawn from seeds: injected faults, failing system calls, clock steps, many nodes",
        "coraldeal rig soak --seeds 50 --side-by-side 3",
    )
    soak_parser.add_argument("--seeds", type=int, default=8, help="number of seeds (default: 8)")
    soak_parser.add_argument("--first", type=int, default=1, help="first seed (default: 1)")
    soak_parser.add_argument(
        "--side-by-side", type=int, default=1, help="number of simultaneous runs (default: 1)"
    )
    soak_parser.add_argument(
        "--plant", default="", metavar="FAULT", help="plant a fault that the checks have to detect"
    )
    soak_parser.add_argument("--out", type=Path, help="directory to keep records, configurations and logs in")


def _add_scale_run(commands: Any) -> None:
    text = "let hollow and real nodes follow a source of lists through injected faults"
    run_parser = commands.add_parser(
        "run",
        help=text,
        description=text,
        epilog=f"example: coraldeal rig scale run --nodes 1000 --seconds 60\n{STATUSES}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    run_parser.add_argument(
        "--nodes", type=int, default=200, help="number of hollow nodes, and of servers (default: 200)"
    )
    run_parser.add_argument(
        "--real", type=int, default=8, help="number of real node processes, under load (default: 8)"
    )
    run_parser.add_argument(
        "--seconds", type=float, default=24.0, help="duration of the changes (default: 24)"
    )
    run_parser.add_argument(
        "--settle",
        type=float,
        default=6.0,
        help="seconds from the last change to the final check (default: 6)",
    )
    run_parser.add_argument("--seed", type=int, default=1)
    run_parser.add_argument("--rate", type=float, default=0.66, help="changes per second (default: 0.66)")
    run_parser.add_argument(
        "--processes", type=int, default=0, help="processes of hollow nodes (default: one per 250 nodes)"
    )
    run_parser.add_argument(
        "--relays",
        type=int,
        default=0,
        help="relays in each region (default: 0, nodes follow the source directly)",
    )
    run_parser.add_argument(
        "--plant",
        default="",
        metavar="FAULT",
        help="plant a fault to be detected: drop, swap, stale or keep-gone",
    )
    run_parser.add_argument(
        "--troubles", metavar="A,B", help="inject only these faults, or none (default: all)"
    )
    run_parser.add_argument(
        "--limit-ms",
        type=float,
        default=0.0,
        help="limit of the time from a change until it is in force (default: none)",
    )
    run_parser.add_argument(
        "--out", type=Path, help="directory of records and summary.json (default: a new one)"
    )


def scale(args: argparse.Namespace) -> int:
    """Run `scale run` or `scale slopes`; returns the exit status."""
    return scale_run(args) if args.scale == "run" else slopes(args)


def crowd(args: argparse.Namespace) -> int:
    """Run many nodes at one discovery service; returns 1 if a drain was violated."""
    import tempfile

    from coraldeal.rig.crowd.draw import draw
    from coraldeal.rig.crowd.play import Options, play
    from coraldeal.rig.crowd.service import ServiceLimits
    from coraldeal.rig.experiment import Variant
    from coraldeal.rig.nodes import prepare_program

    if not (1 <= args.nodes <= 300 and 0 < args.work_ms <= 3000):
        raise ExperimentError("--nodes must be from 1 to 300, --work-ms more than 0 and at most 3000")
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
        program = prepare_program(Variant(name="nodes", commit=args.commit), Path(scratch))
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
    """Run the experiments of the seeds; returns 1 if one failed."""
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
    print(f"{len(verdicts) - failed} passed, {failed} failed; records of failed seeds: {folder}")
    return int(failed > 0)


def scale_run(args: argparse.Namespace) -> int:
    """Run the scale test; returns 1 if its verdict is not good."""
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
        # In the order of INJECTED_FAULTS, whatever the order in the option.
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
    """Run an experiment file; returns the exit status."""
    from coraldeal.rig.play import ExperimentRunner, default_folder, progress_line
    from coraldeal.rig.run import Run

    folder = args.out or default_folder(args.file)
    is_terminal = sys.stderr.isatty()
    last_line_at = 0.0

    def progress(active: Run) -> None:
        nonlocal last_line_at
        if is_terminal:
            print(f"\r\x1b[K{progress_line(active)}", end="", file=sys.stderr, flush=True)
        elif time.monotonic() - last_line_at > 10:
            last_line_at = time.monotonic()
            print(progress_line(active), file=sys.stderr, flush=True)

    def say(text: str) -> None:
        if is_terminal:
            print("\r\x1b[K", end="", file=sys.stderr, flush=True)
        print(text, flush=True)

    runner = ExperimentRunner(
        args.file, folder, overrides=dict(args.set), seed=args.seed, say=say, on_progress=progress
    )
    return _run_and_report(runner, folder, has_report=not args.no_report)


def _run_and_report(runner: Any, folder: Path, has_report: bool) -> int:
    """Run an experiment, print its assertions, and write the report; returns the exit status."""
    result, status = clock.run(runner.run())
    for verdict in result.verdicts:
        word = "holds" if verdict.true else "DOES NOT HOLD"
        print(f"assertion {verdict.claim}: {word} for {verdict.variant} (value {verdict.value})")
    if has_report and result.summaries:
        from coraldeal.rig.report import write_report

        print(f"report: {write_report(result, folder)}")
    print(f"results: {folder}")
    if result.interrupted:
        print("interrupted: the results until then are kept", file=sys.stderr)
    return int(status)


def compare(args: argparse.Namespace) -> int:
    """Print the figures of two results and their ratios."""
    from statistics import median

    from coraldeal.rig.play import COMPARED_FIGURES, read_result

    first, second = read_result(args.first), read_result(args.second)
    names = [s.variant for s in first.summaries]
    for name in dict.fromkeys(names):
        first_figures = [s.figures for s in first.summaries if s.variant == name]
        second_figures = [s.figures for s in second.summaries if s.variant == name]
        if not second_figures:
            print(f"{name}: only in {args.first}")
            continue
        print(f"{name}: {len(first_figures)} runs against {len(second_figures)}")
        print(f"  {'figure':26} {'first':>11} {'second':>11} {'ratio':>7}  spread of second")
        for figure in COMPARED_FIGURES:
            old = [figures[figure] for figures in first_figures if figure in figures]
            new = [figures[figure] for figures in second_figures if figure in figures]
            if old and new:
                old_median, new_median = median(old), median(new)
                ratio = f"{new_median / old_median:7.3f}" if old_median else "      -"
                print(
                    f"  {figure:26} {old_median:11.4g} {new_median:11.4g} {ratio}  "
                    f"{min(new):.4g} to {max(new):.4g}"
                )
    return 0


def report(args: argparse.Namespace) -> int:
    """Write the report of a directory of results again."""
    from coraldeal.rig.play import read_result
    from coraldeal.rig.report import write_report

    print(write_report(read_result(args.folder), args.folder))
    return 0


def transfers(args: argparse.Namespace) -> int:
    """Run many large transfers at once; returns 1 if one was incomplete."""
    from coraldeal.rig.transfers import run_transfers

    if not (1 <= args.count <= 400 and 1 <= args.megabytes <= 64):
        raise ExperimentError("--count must be from 1 to 400, --megabytes from 1 to 64")
    result = clock.run(run_transfers(args.count, args.megabytes))
    print(result.format())
    return int(result.complete != result.total)


def slopes(args: argparse.Namespace) -> int:
    """Measure what one more unit of something costs; returns the exit status."""
    from coraldeal.rig.slopes import play

    return play(args.only, args.quick, args.out)


def demo(args: argparse.Namespace) -> int:
    """Run the demo: a node with servers that slow down, die and drain, in a live table."""
    from coraldeal.rig.play import ExperimentRunner, default_folder
    from coraldeal.rig.view import LiveView, demo_file

    file = demo_file()
    folder = args.out or default_folder(file)
    overrides = {"seconds": args.seconds} if args.seconds != 30.0 else {}
    with LiveView() as view:
        runner = ExperimentRunner(file, folder, overrides=overrides, say=view.say, on_progress=view.show)
        result, status = clock.run(runner.run())
    from coraldeal.rig.report import write_report

    if result.summaries:
        figures = result.summaries[0].figures
        print(
            f"{figures['asked']:.0f} inquiries: {figures['satisfied']:.0f} satisfied, "
            f"{figures['deferred']:.0f} deferred, {figures['given_up']:.0f} given up, "
            f"{figures['unanswered']:.0f} unanswered; "
            + (
                "no rule was violated"
                if not figures["violations"]
                else f"RULE VIOLATIONS: {figures['violations']:.0f}"
            )
        )
        print(f"report: {write_report(result, folder)}")
    return int(status)


def serve_standins(args: argparse.Namespace) -> int:
    """Serve stand-ins without a node, for trying a node by hand."""
    return int(clock.run(_serve_standins(args)))


async def _serve_standins(args: argparse.Namespace) -> int:
    from coraldeal.rig.experiment import Experiment, Load, RequestClassSpec, TierSpec, Variant, World
    from coraldeal.rig.listing import ListedServer, Listing
    from coraldeal.rig.model import Group, ServerSpec
    from coraldeal.rig.nodes import NodeProcess, Program
    from coraldeal.rig.records import Records
    from coraldeal.rig.standins import StandIn

    tier = TierSpec(servers=args.servers, cores=args.cores)
    request_classes = [
        RequestClassSpec(name="read", work_ms=args.work_ms),
        RequestClassSpec(name="gift", effect="labelled"),
    ]
    experiment = Experiment(name="standins", world=World(tiers=[tier]), load=Load(tracks=request_classes))
    records, group = Records(), Group(0.0, 2_000_000)
    listing = Listing(0, records, 300_000)
    spec = ServerSpec(cores=args.cores)
    for number in range(args.servers):
        standin = StandIn(
            f"front-{number}", 0, "a", spec, group, records, 1, fields=[], probes=False, idle_us=5_000_000
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
    print(f"list of servers on 127.0.0.1:{port}; start a node: coraldeal serve --config {args.config}")
    print(f"then: curl -i -H 'Req-Id: 1' -H 'Req-Deadline: 800m' http://{host}:{listen}/read/x", flush=True)
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    try:
        await asyncio.wait_for(stop.wait(), args.seconds)
    except TimeoutError:
        print("time limit reached")
    await listing.close()
    return 0


def main(argv: list[str]) -> int:
    """Run a sub-command and return its exit status, as documented by --help."""
    args = build_parser().parse_args(argv)
    handlers = {
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
        return handlers[args.command](args)
    except (ExperimentError, InvalidAssertionError, OSError) as error:
        print(f"coraldeal rig: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130
