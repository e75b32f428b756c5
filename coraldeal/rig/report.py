"""One report in HTML that stands alone: the verdicts, the figures beside each other, and pictures."""

from __future__ import annotations

import base64
import html
import io
import os
import tempfile
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from coraldeal.rig.play import Outcome
from coraldeal.rig.results import Series, Summary

# matplotlib keeps a cache of fonts in the user's folder if it is not told another.
os.environ.setdefault("MPLCONFIGDIR", str(Path(tempfile.gettempdir()) / "coraldeal-matplotlib"))

FATES = {
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
.no{color:#b3261e;font-weight:600}.yes{color:#1e7d46}.beware{background:#fff4d6;padding:.4rem .7rem}
"""
SHOWN = (
    ("asked", "inquiries asked", "{:.0f}"),
    ("satisfied_part", "satisfied", "{:.2%}"),
    ("in_time_part", "satisfied in time", "{:.2%}"),
    ("deferred_part", "deferred at the end", "{:.2%}"),
    ("given_up_part", "given up", "{:.2%}"),
    ("unanswered_part", "unanswered", "{:.2%}"),
    ("worth", "worth kept", "{:.3f}"),
    ("satisfied_per_s", "satisfied a second", "{:.0f}"),
    ("p50_ms", "p50, ms", "{:.2f}"),
    ("p99_ms", "p99, ms", "{:.2f}"),
    ("p99_9_ms", "p99.9, ms", "{:.2f}"),
    ("trips_per_inquiry", "trips an inquiry", "{:.3f}"),
    ("wasted_work_part", "server work that answered nobody", "{:.2%}"),
    ("crossing_part", "trips that cross zones", "{:.2%}"),
    ("peak_offered", "peak of trips against the usual", "{:.2f}"),
    ("again_s", "served again after, s", "{:.1f}"),
    ("node_cpu_us_per_inquiry", "CPU of nodes an inquiry, us", "{:.0f}"),
    ("node_rss_mb", "memory of a node, MB", "{:.1f}"),
    ("lost", "rule: inquiries lost", "{:.0f}"),
    ("twice", "rule: effects twice", "{:.0f}"),
    ("drain", "rule: sends after a drain", "{:.0f}"),
    ("cold", "rule: cold servers pushed over", "{:.0f}"),
)


def write_report(outcome: Outcome, folder: Path) -> Path:
    """report.html in the folder; returns its path."""
    path = folder / "report.html"
    path.write_text(page(outcome), encoding="utf-8")
    return path


def page(outcome: Outcome) -> str:
    """The whole page."""
    parts = [
        "<!doctype html><meta charset='utf-8'>",
        f"<title>{html.escape(outcome.name)}</title><style>{STYLE}</style>",
        f"<h1>{html.escape(outcome.name)}</h1><p>{html.escape(outcome.about)}</p>",
    ]
    if outcome.interrupted:
        parts.append("<p class=beware>Interrupted: what was measured until then.</p>")
    parts.append(_verdicts(outcome))
    parts.append(_figures(outcome.summaries))
    if outcome.ratios:
        parts.append(_ratios(outcome))
    for place, (summary, series) in enumerate(zip(outcome.summaries, outcome.series, strict=True)):
        if summary.repetition and not summary.violations:
            continue
        parts.append(f"<h2>{html.escape(summary.variant)}, run {summary.repetition + 1}</h2>")
        parts += [f"<p class=beware>{html.escape(text)}</p>" for text in summary.warnings]
        parts.append(_image(_over_time(summary, series), "offered and what became of it"))
        parts.append(_image(_by_server(summary, series), "trips by server"))
        parts.append(_image(_latency(outcome.histograms[place]), "latency by track"))
        parts.append(_broken(summary))
    if len({summary.variant for summary in outcome.summaries}) > 1:
        parts.append("<h2>Beside each other</h2>")
        parts.append(_image(_beside(outcome), "variants beside each other"))
    told = "".join(f"<tr><td>{html.escape(k)}<td>{html.escape(str(v))}" for k, v in outcome.machine.items())
    parts.append(f"<h2>Measured with</h2><table>{told}</table>")
    return "\n".join(parts)


def _verdicts(outcome: Outcome) -> str:
    if not outcome.verdicts:
        return ""
    rows = "".join(
        f"<tr><td>{html.escape(v.claim)}<td>{html.escape(v.variant)}<td>{v.value}"
        f"<td class={'yes' if v.true else 'no'}>{'holds' if v.true else 'does not hold'}"
        for v in outcome.verdicts
    )
    return f"<h2>Claims</h2><table><tr><th>claim<th>variant<th>seen<th>{rows}</table>"


def _figures(summaries: list[Summary]) -> str:
    head = "".join(f"<th>{html.escape(s.variant)} #{s.repetition + 1}" for s in summaries)
    rows = []
    for key, words, form in SHOWN:
        cells = "".join(f"<td>{form.format(s.figures[key]) if key in s.figures else ''}" for s in summaries)
        rows.append(f"<tr><td>{words}{cells}")
    return f"<h2>Figures</h2><table><tr><th>{head}{''.join(rows)}</table>"


def _ratios(outcome: Outcome) -> str:
    rows = "".join(
        f"<tr><td>{r.figure}<td>{html.escape(r.variant)}<td>{r.first:.4g}<td>{r.this:.4g}"
        f"<td>{r.ratio:.3f}<td>{r.least:.3f} to {r.most:.3f}"
        for r in outcome.ratios
    )
    first = html.escape(outcome.summaries[0].variant)
    return (
        f"<h2>Against {first}</h2><table><tr><th>figure<th>variant<th>{first}<th>this"
        f"<th>ratio<th>over repetitions{rows}</table>"
    )


def _broken(summary: Summary) -> str:
    if not summary.violations:
        return "<p class=yes>No rule broke.</p>"
    told: list[str] = [f"<p class=no>{summary.figures['violations']:.0f} violations of the rules</p>"]
    for violation in summary.violations[:10]:
        trace = html.escape("\n".join(violation.trace))
        told.append(f"<p><b>{violation.rule}</b>: {html.escape(violation.what)}</p><pre>{trace}</pre>")
    return "".join(told)


# Pictures.


def _pyplot() -> Any:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot


def _image(figure: Any, words: str) -> str:
    held = io.BytesIO()
    figure.savefig(held, format="png", dpi=90, bbox_inches="tight")
    _pyplot().close(figure)
    data = base64.b64encode(held.getvalue()).decode("ascii")
    return f"<img alt='{html.escape(words)}' src='data:image/png;base64,{data}'>"


def _marks(axes: Any, summary: Summary) -> None:
    """Troubles as lines; those of one moment share theirs."""
    seen: dict[tuple[float, str], list[str]] = {}
    for at, what, who in summary.troubles:
        seen.setdefault((round(at, 1), what), []).append(who)
    for number, ((at, what), hit) in enumerate(list(seen.items())[:24]):
        axes.axvline(at, color="#888", linewidth=0.8, linestyle=":")
        label = f"{what} {hit[0]}" if len(hit) == 1 else f"{what}, {len(hit)}"
        place = 0.98 - 0.09 * (number % 5)
        axes.text(at, place, label, transform=axes.get_xaxis_transform(), fontsize=7, va="top")


def _over_time(summary: Summary, series: Series) -> Any:
    figure, axes = _pyplot().subplots(figsize=(11, 3.6))
    at = [place * series.bucket_s for place in range(len(series.counts["offered"]))]
    bottom = [0.0] * len(at)
    for name, colour in FATES.items():
        values = [value / series.bucket_s for value in series.counts[name]]
        axes.bar(at, values, series.bucket_s, bottom, align="edge", color=colour, label=name)
        bottom = [low + value for low, value in zip(bottom, values, strict=True)]
    for name, colour in (("offered", "#111"), ("trips", "#1f6feb")):
        values = [value / series.bucket_s for value in series.counts[name]]
        axes.step(at, values, where="post", color=colour, linewidth=1.2, label=name)
    _marks(axes, summary)
    axes.set_xlabel("seconds")
    axes.set_ylabel("a second")
    axes.legend(fontsize=8, ncol=6, loc="upper center", bbox_to_anchor=(0.5, -0.15))
    axes.set_title("tries by what became of them, tries offered, trips to servers", fontsize=10)
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
    figure.colorbar(shown, ax=axes, label="trips a second")
    if len(names) <= 40:
        axes.set_yticks(range(len(names)), names, fontsize=7)
    for at, what, who in summary.troubles:
        if who in names:
            axes.text(at, names.index(who), what, color="white", fontsize=6, va="center")
    axes.set_xlabel("seconds")
    axes.set_title("trips that reached each server, with its troubles", fontsize=10)
    return figure


def _latency(encoded: dict[str, str]) -> Any:
    figure, axes = _pyplot().subplots(figsize=(11, 3.6))
    tails = [0, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99]
    for name, text in encoded.items():
        histogram = HdrHistogram.decode(text.encode("ascii"))
        if not histogram.get_total_count():
            continue
        values = [histogram.get_value_at_percentile(p) / 1000 for p in tails]
        axes.plot(
            [1 / (1 - p / 100) for p in tails],
            values,
            label=name,
            color="#111" if name == "all" else None,
            linewidth=2 if name == "all" else 1.2,
        )
    axes.set_xscale("log")
    axes.set_yscale("log")
    shown = [50, 90, 99, 99.9, 99.99]
    axes.set_xticks([1 / (1 - p / 100) for p in shown], [f"p{p:g}" for p in shown])
    axes.set_ylabel("ms")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    axes.set_title("latency of the satisfied, from the first intended time", fontsize=10)
    return figure


def _beside(outcome: Outcome) -> Any:
    names = list(dict.fromkeys(s.variant for s in outcome.summaries))
    figure, all_axes = _pyplot().subplots(1, 4, figsize=(12, 1.6 + 0.28 * len(names)), sharey=True)
    told = (
        ("worth", "worth"),
        ("p99_ms", "p99, ms"),
        ("satisfied_per_s", "satisfied/s"),
        ("trips_per_inquiry", "trips"),
    )
    for axes, (key, words) in zip(all_axes, told, strict=True):
        for place, name in enumerate(names):
            values = [s.figures.get(key, 0.0) for s in outcome.summaries if s.variant == name]
            axes.barh(place, sum(values) / len(values), color="#9db4c0")
            axes.plot(values, [place] * len(values), "k.", markersize=4)
        axes.set_title(words, fontsize=9)
        axes.set_yticks(range(len(names)), names, fontsize=7)
    all_axes[0].invert_yaxis()
    return figure
