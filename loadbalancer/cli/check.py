"""`python -m loadbalancer check`: every fault of a file, before it reaches a socket."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TextIO

from loadbalancer.config.toml_file import FileError, read
from loadbalancer.core import Settings
from loadbalancer.core.routes.faults import Fault
from loadbalancer.core.routes.file import Result, decode
from loadbalancer.core.routes.services import Explained
from loadbalancer.core.routes.specs import REPEAT_NAMES
from loadbalancer.core.routes.table import Policy
from loadbalancer.simulator.adapter import WireError, settings_from_json

NOTHING = "as without a file"


def check_file(path: str, settings: Settings | None) -> Result:
    """A file's table or faults; what can't be read or parsed is a fault like any other."""
    try:
        raw, lines = read(path)
    except FileError as err:
        return Result(None, [Fault(err.line, err.rule, err.wrong, err.right)], [])
    return decode(raw, lines, settings)


def check_any(path: str, settings: Settings | None) -> Result:
    """As check_file, also for the control service's file, which has no table."""
    from loadbalancer.control.xds.file import decode as decode_control

    try:
        raw, lines = read(path)
    except FileError:
        return check_file(path, settings)
    if "agents" in raw:
        from loadbalancer.sources.consul.file import decode as decode_consul

        return Result(None, decode_consul(raw, lines)[1], [])
    if "tier" in raw or "seats" in raw:
        from loadbalancer.gossip_transport.file import decode as decode_fleet

        return Result(None, decode_fleet(raw, lines)[1], [])
    if "machine" in raw or "regions" in raw:
        from loadbalancer.control.machine.file import decode as decode_scale

        return Result(None, decode_scale(raw, lines, Path(path).resolve().parent)[1], [])
    if "service" not in raw and "listen" in raw:
        return Result(None, decode_control(raw, lines)[1], [])
    return decode(raw, lines, settings)


def settings_of(path: str) -> Settings:
    """The settings in a node's JSON configuration; ValueError where it can't be used."""
    try:
        with open(path, "rb") as file:
            raw = json.load(file)
        return settings_from_json(json.dumps(raw["settings"]).encode())
    except (OSError, ValueError, TypeError, KeyError, WireError) as err:
        raise ValueError(f"{path} holds no settings: {err}") from None


def explain(explained: Explained) -> str:
    """One policy's values, each with the section and line it comes from."""
    p = explained.policy
    lines = [f"route {p.name}, class {p.cls}: repeats {REPEAT_NAMES[p.effect]}"]
    for key, text in _texts(p).items():
        given = explained.values.get(key)
        source = f"({given.where}, line {given.line})" if given else f"({NOTHING})"
        if given is None and key == "retry_on" and p.retry_on is not None:
            source = "(what never ran, since it repeats never)"
        lines.append(f"  {key:<16}{text or '-':<40}{source}")
    return "\n".join(lines)


def _texts(p: Policy) -> dict[str, str]:
    def ms(ns: int) -> str:
        return f"{ns / 1_000_000:g}ms" if ns else ""

    copy = p.copy
    when = ""
    if copy is not None:
        at = ms(copy.after) if copy.after else f"p{copy.percentile:g}"
        when = f"after {at}, {copy.most:.1%} of requests at most"
    return {
        "wanted": ms(p.wanted),
        "timeout": ms(p.timeout),
        "attempt_timeout": ms(p.attempt_timeout),
        "attempts": str(p.attempts or ""),
        "retry_on": "" if p.retry_on is None else ", ".join(sorted(p.retry_on)) or "nothing",
        "backoff": f"0 to {ms(p.backoff_base)}, doubling, {ms(p.backoff_most)} at most"
        if p.backoff_base
        else "",
        "budget": f"{p.budget.part:.0%} of requests and {p.budget.floor:g}/s" if p.budget else "",
        "second_copy": when,
    }


def main(words: Sequence[str], out: TextIO = sys.stdout) -> int:
    """Check files; 0, or 2 where one has a fault or can't be checked."""
    parser = argparse.ArgumentParser(prog="python -m loadbalancer check", description=__doc__)
    parser.add_argument("files", nargs="+", metavar="FILE")
    parser.add_argument("--config", help="a node's JSON configuration, to check against")
    parser.add_argument("--explain", action="store_true", help="print each resolved policy")
    args = parser.parse_args(words)
    settings = None
    if args.config:
        try:
            settings = settings_of(args.config)
        except ValueError as err:
            print(f"check: {err}", file=sys.stderr)
            return 2
    faults = 0
    for path in args.files:
        result = check_any(path, settings)
        faults += len(result.faults)
        for fault in result.faults:
            print(f"{path}:{fault}", file=out)
        for fault in result.warnings:
            print(f"warning: {path}:{fault}", file=out)
        if args.explain and result.table is not None:
            for one in result.explained:
                print(explain(one), file=out)
        if not result.faults:
            table = result.table
            routes = f", {sum(len(s.routes) for s in table.services)} routes" if table else ""
            print(f"{path}: good{routes}", file=out)
    return 2 if faults else 0
