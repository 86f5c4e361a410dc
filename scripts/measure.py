"""Regenerate all measured figures of the documentation as JSON, tables and plots."""

from __future__ import annotations

import argparse
import json
import os
import platform
import subprocess
import sys
import time
from typing import Any

from scripts.harness import ROOT

OUTPUT_DIR = ROOT / "docs" / "measured"
# Name, module and options, in the order of the page.
PARTS: tuple[tuple[str, str, tuple[str, ...]], ...] = (
    ("path", "scripts.measure_path", ()),
    ("policy", "scripts.measure_policy", ("--jobs", "4")),
    ("domain", "scripts.measure_domain", ()),
    ("state", "scripts.measure_state", ()),
    ("peers", "scripts.measure_peers", ()),
    ("capacity", "scripts.measure_capacity", ()),
)
PART_TIMEOUT_S = 900


def describe_commit() -> str:
    """Return the abbreviated hash of the measured commit, marked if there are local changes."""
    args = ["git", "describe", "--always", "--dirty", "--exclude", "*"]
    completed = subprocess.run(args, cwd=ROOT, capture_output=True, text=True, check=False)
    return completed.stdout.strip() or "unknown"


def run_part(name: str, module: str, options: tuple[str, ...]) -> tuple[str, float]:
    """Run one measurement and return its table and its duration in seconds."""
    started = time.monotonic()
    args = [sys.executable, "-m", module, *options, "--json", str(OUTPUT_DIR / f"{name}.json")]
    completed = subprocess.run(
        args, cwd=ROOT, capture_output=True, text=True, timeout=PART_TIMEOUT_S, check=False
    )
    if completed.returncode != 0:
        raise RuntimeError(
            f"{module} ended with {completed.returncode}:\n{completed.stderr[-2_000:]}"
        )
    return completed.stdout.strip(), time.monotonic() - started


def render_page(tables: dict[str, tuple[str, float]], measured_commit: str, load: float) -> str:
    """Return the Markdown page with all tables."""
    lines = [
        "# Measured figures",
        "",
        f"Made by `make measure` at commit {measured_commit} on {os.cpu_count()} cores, Python "
        f"{platform.python_version()}, load average {load:.1f} at the start. Each part names",
        "its command; the raw figures are the JSON files beside this page. Times are of this",
        "machine; compare only within one run.",
        "",
        "![added time, service around a domain, control bytes](figures.png)",
    ]
    for name, module, options in PARTS:
        if name in tables:
            text, duration_s = tables[name]
            command = " ".join(["python -m", module, *options])
            lines += ["", f"## {name}", "", f"`{command}`, {duration_s:.0f} s", "", text]
    return "\n".join(lines) + "\n"


def load_json(name: str) -> Any:
    """Return the figures of one part, or None if there are none."""
    path = OUTPUT_DIR / f"{name}.json"
    return json.loads(path.read_text(encoding="utf-8")) if path.exists() else None


def plot() -> None:
    """Draw the plots from the JSON files."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, (added, domain, control) = plt.subplots(1, 3, figsize=(15, 4.2))
    _plot_added(added)
    _plot_domain(domain)
    _plot_control(control)
    figure.tight_layout()
    figure.savefig(OUTPUT_DIR / "figures.png", dpi=90)
    plt.close(figure)


def _plot_added(axes: Any) -> None:
    data = load_json("path")
    rows = (data["paths"] if isinstance(data, dict) else data) or []
    names = [f"{row['path']}\n{row['rate_per_s']:.0f}/s" for row in rows]
    for shift, percent in ((-0.2, "p50"), (0.2, "p99")):
        values = [row[f"via_{percent}"] - row[f"direct_{percent}"] for row in rows]
        axes.bar([i + shift for i in range(len(rows))], values, 0.4, label=percent)
    axes.axhline(1.4, color="black", linestyle="--", linewidth=1, label="target at p99")
    axes.set_xticks(range(len(rows)), names)
    axes.set_ylabel("added time, ms")
    axes.set_title("Time added to a call")
    axes.legend()


def _plot_domain(axes: Any) -> None:
    rows = load_json("domain") or []
    phases = list(dict.fromkeys(row["phase"] for row in rows))
    for handled, label in ((True, "taken out by operator"), (False, "lost without notice")):
        values = [
            max(r["p99_ms"] for r in rows if r["phase"] == phase and r["handled"] is handled)
            for phase in phases
        ]
        axes.plot(phases, values, marker="o", label=label)
    axes.set_ylim(bottom=0)
    axes.set_ylabel("p99 of the slowest kind of call, ms")
    axes.set_title("While a failure domain leaves and returns")
    axes.tick_params(axis="x", labelrotation=20)
    axes.legend()


def _plot_control(axes: Any) -> None:
    data = load_json("peers") or {"sizes": []}
    sizes = [row["nodes"] for row in data["sizes"]]
    axes.plot(sizes, [row["bytes_per_s"] for row in data["sizes"]], marker="o", label="measured")
    axes.axhline(3_000, color="black", linestyle="--", linewidth=1, label="limit")
    axes.set_ylim(bottom=0)
    axes.set_xlabel("nodes")
    axes.set_ylabel("control bytes out a second, each node")
    axes.set_title("Control traffic")
    axes.legend()


def main() -> None:
    """Run the selected parts and write the page and the plots."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--parts", nargs="+", choices=[part[0] for part in PARTS])
    args = parser.parse_args()
    OUTPUT_DIR.mkdir(parents=True, exist_ok=True)
    measured_commit, load = describe_commit(), os.getloadavg()[0]
    tables = {}
    for name, module, options in PARTS:
        if args.parts is None or name in args.parts:
            print(f"measuring {name} ...", file=sys.stderr, flush=True)
            tables[name] = run_part(name, module, options)
    if args.parts is None:
        (OUTPUT_DIR / "README.md").write_text(
            render_page(tables, measured_commit, load), encoding="utf-8"
        )
    else:
        print("\n\n".join(text for text, _ in tables.values()))
    plot()


if __name__ == "__main__":
    main()
