"""Writes the report of an experiment: one self-contained HTML page with assertions, figures and diagrams."""

from __future__ import annotations

import base64
import html
import io
import os
import tempfile
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from coraldeal.rig.play import ExperimentResult
from coraldeal.rig.results import Series, Summary

# Keeps matplotlib's cache of fonts out of the user's home directory.
os.environ.setdefault("MPLCONFIGDIR", str(Path(tempfile.gettempdir()) / "coraldeal-matplotlib"))

# Outcomes of tries and their colours.
OUTCOME_COLOURS = {
    "satisfied": "#2a9d5c",
    "deferred": "#e9b949",
    "given up": "#d1495b",
    "unanswered": "#5b2a86",
}
STYLE = """
body{font:15px/1.5 system-ui,sans-serif;max-width:72rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .7rem;text-align:right;
border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}img{max-width:100%}
pre{background:#f6f6f6;padding:.7rem;overflow:auto}
.no{color:#b3261e;font-weight:600}.yes{color:#1e7d46}.warning{background:#fff4d6;padding:.4rem .7rem}
"""
# Figures in the table: key, label and format.
SHOWN_FIGURES = (
    ("asked", "inquiries", "{:.0f}"),
    ("satisfied_part", "satisfied", "{:.2%}"),
    ("in_time_part", "satisfied in time", "{:.2%}"),
    ("deferred_part", "deferred (rejected with 429 or 503)", "{:.2%}"),
    ("given_up_part", "given up (another status)", "{:.2%}"),
    ("unanswered_part", "unanswered", "{:.2%}"),
    ("worth", "worth, fraction of all", "{:.3f}"),
    ("satisfied_per_s", "satisfied per second", "{:.0f}"),
    ("p50_ms", "p50, ms", "{:.2f}"),
    ("p99_ms", "p99, ms", "{:.2f}"),
    ("p99_9_ms", "p99.9, ms", "{:.2f}"),
    ("trips_per_inquiry", "attempts per inquiry", "{:.3f}"),
    ("wasted_work_part", "wasted server work", "{:.2%}"),
    ("crossing_part", "attempts that cross zones", "{:.2%}"),
    ("peak_offered", "peak of attempts relative to the baseline", "{:.2f}"),
    ("again_s", "recovered after, s", "{:.1f}"),
    ("node_cpu_us_per_inquiry", "CPU of nodes per inquiry, us", "{:.0f}"),
    ("node_rss_mb", "memory of a node, MB", "{:.1f}"),
    ("lost", "rule: inquiries lost", "{:.0f}"),
    ("twice", "rule: executed twice", "{:.0f}"),
    ("drain", "rule: sends after a drain", "{:.0f}"),
    ("cold", "rule: cold servers overloaded", "{:.0f}"),
)


def write_report(result: ExperimentResult, folder: Path) -> Path:
    """Write report.html to the directory and return its path."""
    path = folder / "report.html"
    path.write_text(render_page(result), encoding="utf-8")
    return path


def render_page(result: ExperimentResult) -> str:
    """Return the HTML of the report."""
    parts = [
        "<!doctype html><meta charset='utf-8'>",
        f"<title>{html.escape(result.name)}</title><style>{STYLE}</style>",
        f"<h1>{html.escape(result.name)}</h1><p>{html.escape(result.about)}</p>",
    ]
    if result.interrupted:
        parts.append("<p class=warning>Interrupted: the figures cover the time until then.</p>")
    parts.append(_verdicts(result))
    parts.append(_figures(result.summaries))
    if result.ratios:
        parts.append(_ratios(result))
    for index, (summary, series) in enumerate(zip(result.summaries, result.series, strict=True)):
        if summary.repetition and not summary.violations:
            continue
        parts.append(f"<h2>{html.escape(summary.variant)}, run {summary.repetition + 1}</h2>")
        parts += [f"<p class=warning>{html.escape(text)}</p>" for text in summary.warnings]
        parts.append(_image(_over_time(summary, series), "tries by outcome over time"))
        parts.append(_image(_by_server(summary, series), "attempts by server"))
        parts.append(_image(_latency(result.histograms[index]), "latency by request class"))
        parts.append(_violations(summary))
    if len({summary.variant for summary in result.summaries}) > 1:
        parts.append("<h2>Comparison of variants</h2>")
        parts.append(_image(_compare_variants(result), "comparison of variants"))
    rows = "".join(f"<tr><td>{html.escape(k)}<td>{html.escape(str(v))}" for k, v in result.machine.items())
    parts.append(f"<h2>Machine and versions</h2><table>{rows}</table>")
    return "\n".join(parts)


def _verdicts(result: ExperimentResult) -> str:
    if not result.verdicts:
        return ""
    rows = "".join(
        f"<tr><td>{html.escape(v.claim)}<td>{html.escape(v.variant)}<td>{v.value}"
        f"<td class={'yes' if v.true else 'no'}>{'holds' if v.true else 'does not hold'}"
        for v in result.verdicts
    )
    return f"<h2>Assertions</h2><table><tr><th>assertion<th>variant<th>value<th>{rows}</table>"


def _figures(summaries: list[Summary]) -> str:
    head = "".join(f"<th>{html.escape(s.variant)} #{s.repetition + 1}" for s in summaries)
    rows = []
    for key, label, form in SHOWN_FIGURES:
        cells = "".join(f"<td>{form.format(s.figures[key]) if key in s.figures else ''}" for s in summaries)
        rows.append(f"<tr><td>{label}{cells}")
    return f"<h2>Figures</h2><table><tr><th>{head}{''.join(rows)}</table>"


def _ratios(result: ExperimentResult) -> str:
    rows = "".join(
        f"<tr><td>{r.figure}<td>{html.escape(r.variant)}<td>{r.first:.4g}<td>{r.this:.4g}"
        f"<td>{r.ratio:.3f}<td>{r.least:.3f} to {r.most:.3f}"
        for r in result.ratios
    )
    first = html.escape(result.summaries[0].variant)
    return (
        f"<h2>Relative to {first}</h2><table><tr><th>figure<th>variant<th>{first}<th>this"
        f"<th>ratio<th>range over repetitions{rows}</table>"
    )


def _violations(summary: Summary) -> str:
    if not summary.violations:
        return "<p class=yes>No rule was violated.</p>"
    parts: list[str] = [f"<p class=no>{summary.figures['violations']:.0f} violations of the rules</p>"]
    for violation in summary.violations[:10]:
        trace = html.escape("\n".join(violation.trace))
        parts.append(f"<p><b>{violation.rule}</b>: {html.escape(violation.what)}</p><pre>{trace}</pre>")
    return "".join(parts)


# Diagrams.


def _pyplot() -> Any:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot


def _image(figure: Any, description: str) -> str:
    """Close a figure and return it as an HTML image with embedded data."""
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=90, bbox_inches="tight")
    _pyplot().close(figure)
    data = base64.b64encode(buffer.getvalue()).decode("ascii")
    return f"<img alt='{html.escape(description)}' src='data:image/png;base64,{data}'>"


def _mark_faults(axes: Any, summary: Summary) -> None:
    """Draw injected faults as vertical lines; one action at several targets at one time shares a line."""
    faults: dict[tuple[float, str], list[str]] = {}
    for at, action, target in summary.troubles:
        faults.setdefault((round(at, 1), action), []).append(target)
    for number, ((at, action), targets) in enumerate(list(faults.items())[:24]):
        axes.axvline(at, color="#888", linewidth=0.8, linestyle=":")
        label = f"{action} {targets[0]}" if len(targets) == 1 else f"{action}, {len(targets)}"
        height = 0.98 - 0.09 * (number % 5)
        axes.text(at, height, label, transform=axes.get_xaxis_transform(), fontsize=7, va="top")


def _over_time(summary: Summary, series: Series) -> Any:
    figure, axes = _pyplot().subplots(figsize=(11, 3.6))
    times = [bucket * series.bucket_s for bucket in range(len(series.counts["offered"]))]
    bottom = [0.0] * len(times)
    for name, colour in OUTCOME_COLOURS.items():
        values = [value / series.bucket_s for value in series.counts[name]]
        axes.bar(times, values, series.bucket_s, bottom, align="edge", color=colour, label=name)
        bottom = [low + value for low, value in zip(bottom, values, strict=True)]
    for name, colour in (("offered", "#111"), ("trips", "#1f6feb")):
        values = [value / series.bucket_s for value in series.counts[name]]
        axes.step(times, values, where="post", color=colour, linewidth=1.2, label=name)
    _mark_faults(axes, summary)
    axes.set_xlabel("seconds")
    axes.set_ylabel("per second")
    axes.legend(fontsize=8, ncol=6, loc="upper center", bbox_to_anchor=(0.5, -0.15))
    axes.set_title("tries by outcome, tries offered, attempts at servers", fontsize=10)
    return figure


def _by_server(summary: Summary, series: Series) -> Any:
    names = list(series.servers)
    figure, axes = _pyplot().subplots(figsize=(11, min(9.0, 1.4 + 0.22 * len(names))))
    grid = [[value / series.bucket_s for value in series.servers[name]] for name in names]
    length = len(grid[0]) if grid else 1
    shown = axes.imshow(
        grid,
        aspect="auto",
        interpolation="nearest",
        cmap="viridis",
        extent=(0, length * series.bucket_s, len(names) - 0.5, -0.5),
    )
    figure.colorbar(shown, ax=axes, label="attempts per second")
    if len(names) <= 40:
        axes.set_yticks(range(len(names)), names, fontsize=7)
    for at, action, target in summary.troubles:
        if target in names:
            axes.text(at, names.index(target), action, color="white", fontsize=6, va="center")
    axes.set_xlabel("seconds")
    axes.set_title("attempts that reached each server, with its faults", fontsize=10)
    return figure


def _latency(encoded: dict[str, str]) -> Any:
    figure, axes = _pyplot().subplots(figsize=(11, 3.6))
    percentiles = [0, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99]
    for name, text in encoded.items():
        histogram = HdrHistogram.decode(text.encode("ascii"))
        if not histogram.get_total_count():
            continue
        values = [histogram.get_value_at_percentile(p) / 1000 for p in percentiles]
        axes.plot(
            [1 / (1 - p / 100) for p in percentiles],
            values,
            label=name,
            color="#111" if name == "all" else None,
            linewidth=2 if name == "all" else 1.2,
        )
    axes.set_xscale("log")
    axes.set_yscale("log")
    ticks = [50, 90, 99, 99.9, 99.99]
    axes.set_xticks([1 / (1 - p / 100) for p in ticks], [f"p{p:g}" for p in ticks])
    axes.set_ylabel("ms")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    axes.set_title("latency of satisfied inquiries, from the first intended time", fontsize=10)
    return figure


def _compare_variants(result: ExperimentResult) -> Any:
    names = list(dict.fromkeys(s.variant for s in result.summaries))
    figure, all_axes = _pyplot().subplots(1, 4, figsize=(12, 1.6 + 0.28 * len(names)), sharey=True)
    columns = (
        ("worth", "worth"),
        ("p99_ms", "p99, ms"),
        ("satisfied_per_s", "satisfied/s"),
        ("trips_per_inquiry", "trips"),
    )
    for axes, (key, label) in zip(all_axes, columns, strict=True):
        for position, name in enumerate(names):
            values = [s.figures.get(key, 0.0) for s in result.summaries if s.variant == name]
            axes.barh(position, sum(values) / len(values), color="#9db4c0")
            axes.plot(values, [position] * len(values), "k.", markersize=4)
        axes.set_title(label, fontsize=9)
        axes.set_yticks(range(len(names)), names, fontsize=7)
    all_axes[0].invert_yaxis()
    return figure
