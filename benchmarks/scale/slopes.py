"""Slopes: the cost of each thing that is stored, sent or computed, at three sizes or more.

    python -m benchmarks.scale slopes [--quick] [--only NAME] [--but NAME] [--out FILE]

Measurements build the project's real classes in this process (memory is what tracemalloc counts,
processor time this process's own), or start a real process and read its resident memory and
its processor time from the scheduler. Every line is printed with its residual; the last line is
one JSON object. `--quick` uses smaller sizes, to try it: its figures are not for a page.
"""

from __future__ import annotations

import argparse
import json
from collections.abc import Callable
from pathlib import Path

from benchmarks.scale import balancers, gossip, lists, meter, processes, record
from benchmarks.scale.fit import Slope

Measurement = Callable[[bool], list[Slope]]  # its argument: with the sizes of --quick

MEASUREMENTS: dict[str, Measurement] = {
    "balancer": balancers.by_backends,
    "slots": balancers.by_slots,
    "services": balancers.by_services,
    "tenants": balancers.by_tenants,
    "routes": lists.by_routes,
    "list": lists.by_rows,
    "changes": lists.by_changes,
    "gossip": gossip.by_members,
    "node": processes.node_by_backends,
    "connections": processes.node_by_connections,
    "requests": processes.node_by_requests,
    "control": processes.control_by_proxies,
}


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the options of the sub-command."""
    parser.add_argument("--quick", action="store_true", help="small sizes, to try it")
    parser.add_argument("--only", choices=sorted(MEASUREMENTS), action="append", help="these alone")
    parser.add_argument("--but", choices=sorted(MEASUREMENTS), action="append", help="not these")
    parser.add_argument("--out", type=Path, help="put the slopes into this file")


def main(args: argparse.Namespace) -> None:
    """Measure, print a line for each slope, and one JSON line last."""
    if args.quick and args.out is not None:
        raise SystemExit("--quick is to try it: its figures go into no file")
    found: list[Slope] = []
    for name in args.only or MEASUREMENTS:
        if name in (args.but or ()):
            continue
        slopes = MEASUREMENTS[name](args.quick)
        for slope in slopes:
            print(describe(slope), flush=True)
        found += slopes
    command = _command(args)
    run = record.run_of(command, round(meter.reference(), 1), found)
    if args.out is not None:
        old = record.read(args.out) if args.out.exists() else []
        record.write(args.out, record.merged(old, run))
    print(json.dumps(run.as_json() | {"quick": args.quick}))


def _command(args: argparse.Namespace) -> str:
    """Return the command line that measures the same slopes."""
    options = [f"--only {name}" for name in args.only or ()]
    options += [f"--but {name}" for name in args.but or ()]
    return " ".join(["python -m benchmarks.scale slopes", *options])


def describe(slope: Slope) -> str:
    """Return one slope as a line of text."""
    return (
        f"{slope.name}: {slope.per_item:.4g} {slope.unit} a {slope.item}"
        f" + {slope.fixed:.4g}; largest residual {slope.residual:.1%}, R2 {slope.r2:.4f},"
        f" sizes {', '.join(f'{s:g}' for s in slope.sizes)}"
    )
