"""The demo's live table: servers, what is wrong with them, and what the node sends to each."""

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
# How many looks a rate is taken over.
LOOKS = 4
# The longest bar, in characters: the table fits a terminal of 80.
BAR = 12


def demo_file() -> Path:
    """The experiment that the demo plays."""
    return ROOT / "experiments" / "demo.toml"


class LiveView:
    """A table on a terminal, plain lines elsewhere."""

    def __init__(self, console: Console | None = None) -> None:
        self.console = console or Console()
        self.live = Live(console=self.console, refresh_per_second=4, transient=False)
        self.terminal = self.console.is_terminal
        self.seen: deque[tuple[int, dict[str, int]]] = deque(maxlen=LOOKS)
        self.last_plain = -100.0

    def __enter__(self) -> LiveView:
        if self.terminal:
            self.live.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self.terminal:
            self.live.stop()

    def say(self, text: str) -> None:
        self.console.print(text, markup=False, highlight=False, soft_wrap=True)

    def show(self, run: Run) -> None:
        """How it stands now."""
        at = max(0.0, (now_us() - run.start_us) / 1e6)
        servers = {name: told for child in run.children for name, told in child.latest.servers.items()}
        self.seen.append((now_us(), {name: told[2] for name, told in servers.items()}))
        counts: dict[str, int] = {}
        for child in run.children:
            for name, value in child.latest.counts.items():
                counts[name] = counts.get(name, 0) + value
        if self.terminal:
            self.live.update(Group(self._head(run, at, counts), self._table(run, servers, at)))
        elif at - self.last_plain >= 5:
            self.last_plain = at
            states = ", ".join(f"{name} {told[0]}" for name, told in servers.items() if told[0] != "up")
            self.say(f"{at:5.1f} s {_fates(counts)}; {states or 'all servers up'}")

    def _head(self, run: Run, at: float, counts: dict[str, int]) -> Text:
        return Text(f"{at:5.1f} of {run.experiment.seconds:g} s   {_fates(counts)}")

    def _table(self, run: Run, servers: dict[str, tuple[str, int, int, float]], at: float) -> Table:
        table = Table(title=run.experiment.name)
        for name, where in (("server", "left"), ("state", "left"), ("speed", "right"), ("in hand", "right")):
            table.add_column(name, justify="right" if where == "right" else "left")
        table.add_column("trips/s", justify="right")
        table.add_column("", min_width=BAR, no_wrap=True)
        table.add_column("last trouble", no_wrap=True)
        first_at, first = self.seen[0]
        last_at, last = self.seen[-1]
        span = max(1e-6, (last_at - first_at) / 1e6)
        rates = {name: (last[name] - first.get(name, 0)) / span for name in last}
        most = max([1.0, *rates.values()])
        for name in sorted(servers):
            phase, held, _, speed = servers[name]
            rate = rates.get(name, 0.0)
            trouble = next(
                (
                    f"{step.what} {at - step.at_us / 1e6:.0f} s ago"
                    for step in reversed(run.steps)
                    if step.who == name and step.at_us / 1e6 <= at
                ),
                "",
            )
            table.add_row(
                name,
                Text(phase, style=COLOURS.get(phase, "white")),
                f"{speed:.0%}",
                str(held),
                f"{rate:.0f}",
                Text("█" * round(BAR * rate / most), style=COLOURS.get(phase, "white")),
                trouble,
            )
        return table


def _fates(counts: dict[str, int]) -> str:
    names = ("satisfied", "deferred", "given up", "unanswered")
    return ", ".join(f"{counts.get(name, 0)} {name}" for name in names)
