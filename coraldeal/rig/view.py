"""Live table of the demo: the servers, their faults, and the rate of attempts that each receives."""

from __future__ import annotations

from collections import deque
from pathlib import Path
from types import TracebackType

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from coraldeal.rig.clock import now_us
from coraldeal.rig.nodes import ROOT
from coraldeal.rig.run import Run

COLOURS = {
    "up": "green",
    "cold": "cyan",
    "slow": "yellow",
    "draining": "blue",
    "down": "red",
    "cut off": "red",
    "frozen": "red",
    "silent": "red",
    "fallen": "bold red",
}
# Number of samples over which a rate is computed.
RATE_SAMPLES = 4
# Length of the longest bar in characters; with it the table fits a terminal of 80 columns.
MAX_BAR_WIDTH = 12


def demo_file() -> Path:
    """Return the path of the experiment that the demo runs."""
    return ROOT / "experiments" / "demo.toml"


class LiveView:
    """Shows progress as a live table on a terminal, and as plain lines elsewhere."""

    def __init__(self, console: Console | None = None) -> None:
        self.console = console or Console()
        self.live = Live(console=self.console, refresh_per_second=4, transient=False)
        self.is_terminal = self.console.is_terminal
        # Times in microseconds, and the attempts that each server had served by then.
        self.samples: deque[tuple[int, dict[str, int]]] = deque(maxlen=RATE_SAMPLES)
        self.last_line_at = -100.0

    def __enter__(self) -> LiveView:
        if self.is_terminal:
            self.live.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self.is_terminal:
            self.live.stop()

    def say(self, text: str) -> None:
        """Print a line of text."""
        self.console.print(text, markup=False, highlight=False, soft_wrap=True)

    def show(self, run: Run) -> None:
        """Show the current progress of a run; without a terminal, at most every 5 s."""
        at = max(0.0, (now_us() - run.start_us) / 1e6)
        servers = {name: entry for child in run.children for name, entry in child.latest.servers.items()}
        self.samples.append((now_us(), {name: entry[2] for name, entry in servers.items()}))
        counts: dict[str, int] = {}
        for child in run.children:
            for name, value in child.latest.counts.items():
                counts[name] = counts.get(name, 0) + value
        if self.is_terminal:
            self.live.update(Group(self._head(run, at, counts), self._table(run, servers, at)))
        elif at - self.last_line_at >= 5:
            self.last_line_at = at
            phases = ", ".join(f"{name} {entry[0]}" for name, entry in servers.items() if entry[0] != "up")
            self.say(f"{at:5.1f} s {_format_counts(counts)}; {phases or 'all servers up'}")

    def _head(self, run: Run, at: float, counts: dict[str, int]) -> Text:
        return Text(f"{at:5.1f} of {run.experiment.seconds:g} s   {_format_counts(counts)}")

    def _table(self, run: Run, servers: dict[str, tuple[str, int, int, float]], at: float) -> Table:
        table = Table(title=run.experiment.name)
        for name, side in (("server", "left"), ("state", "left"), ("speed", "right"), ("in flight", "right")):
            table.add_column(name, justify="right" if side == "right" else "left")
        table.add_column("trips/s", justify="right")
        table.add_column("", min_width=MAX_BAR_WIDTH, no_wrap=True)
        table.add_column("last fault", no_wrap=True)
        first_at, first = self.samples[0]
        last_at, last = self.samples[-1]
        span = max(1e-6, (last_at - first_at) / 1e6)
        rates = {name: (last[name] - first.get(name, 0)) / span for name in last}
        max_rate = max([1.0, *rates.values()])
        for name in sorted(servers):
            phase, in_flight, _, speed = servers[name]
            rate = rates.get(name, 0.0)
            last_fault = next(
                (
                    f"{step.action} {at - step.at_us / 1e6:.0f} s ago"
                    for step in reversed(run.steps)
                    if step.target == name and step.at_us / 1e6 <= at
                ),
                "",
            )
            table.add_row(
                name,
                Text(phase, style=COLOURS.get(phase, "white")),
                f"{speed:.0%}",
                str(in_flight),
                f"{rate:.0f}",
                Text("█" * round(MAX_BAR_WIDTH * rate / max_rate), style=COLOURS.get(phase, "white")),
                last_fault,
            )
        return table


def _format_counts(counts: dict[str, int]) -> str:
    names = ("satisfied", "deferred", "given up", "unanswered")
    return ", ".join(f"{counts.get(name, 0)} {name}" for name in names)
