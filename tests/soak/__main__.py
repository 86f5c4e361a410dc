"""Run seeds of the soak: `python -m tests.soak --seed N --seconds S --nodes N --faults LIST`."""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path

import trio

from tests.soak import clients, world
from tests.soak.faults import FAULTS, UNSOUND


def parse_args(args: list[str]) -> argparse.Namespace:
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=30.0, help="time of traffic of each seed")
    parser.add_argument("--nodes", type=int, default=8, help="number of app nodes")
    parser.add_argument(
        "--faults", default="none", help=f"'none', 'all' or a list of {','.join(FAULTS)}"
    )
    parser.add_argument("--habits", default=",".join(clients.HABITS), help="of the clients")
    parser.add_argument("--target", default="", help="name=value,... of the targets' behaviour")
    parser.add_argument("--deadlines", default="0.5-5", help="of pipelined requests, in seconds")
    parser.add_argument("--final", type=float, default=0.0, help="traffic after a final kill, in s")
    parser.add_argument("--cpu-share", type=float, default=1.0, help="of a core for each app node")
    parser.add_argument("--folder", default="", help="folder of the logs")
    return parser.parse_args(args)


def main(args: list[str]) -> int:
    """Run the seeds and return 1 if one of them broke a promise."""
    options = parse_args(args)
    base = Path(options.folder or tempfile.mkdtemp(prefix="knapweedhitch-soak-"))
    names = {"none": [], "all": [name for name in FAULTS if name not in UNSOUND]}.get(
        options.faults, options.faults.split(",")
    )
    broken = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = base / f"seed-{seed}"
        folder.mkdir(parents=True)
        plan = world.Plan(
            seed=seed,
            seconds=options.seconds,
            nodes=options.nodes,
            faults=tuple(names),
            habits=tuple(options.habits.split(",")),
            final_s=options.final,
            cpu_share=options.cpu_share,
            deadlines_s=world.parse_range(options.deadlines),
            behaviour=world.parse_behaviour(options.target),
        )
        result = trio.run(world.run_seed, plan, folder)
        print(result.verdict, flush=True)
        broken += bool(result.violations)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
