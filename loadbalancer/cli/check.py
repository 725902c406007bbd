"""`python -m loadbalancer check FILE...`: validate configuration files like those in deploy/.

Prints each fault with its file, line and rule. A file's kind is inferred from its top-level keys.
Exits with status 0 if all files are valid, and 2 otherwise.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TextIO

from loadbalancer.config.routes_file import check_file
from loadbalancer.config.settings import SettingsError, settings_from_json
from loadbalancer.config.toml_file import FileError, Key, read
from loadbalancer.core import Settings
from loadbalancer.core.errors import ConfigurationError
from loadbalancer.core.routes.faults import Fault
from loadbalancer.core.routes.file import Result, decode
from loadbalancer.core.routes.services import Explained
from loadbalancer.core.routes.specs import REPEAT_NAMES
from loadbalancer.core.routes.table import Policy

SOURCE_IF_UNSET = "default, as without a routes file"
NS_PER_MS = 1_000_000


class SettingsFileError(ConfigurationError):
    """A node's JSON configuration has no valid settings; the message says why."""


def check_any(path: str, settings: Settings | None) -> Result:
    """Check a file of any kind; only the result for a routes file has a routing table."""
    try:
        raw, lines = read(path)
    except FileError:
        return check_file(path, settings)
    if "agents" in raw:
        return _check_consul(raw, lines, settings)
    if not raw.keys().isdisjoint(("tier", "slots", "seats")):
        from loadbalancer.gossip_transport import fleet_file

        return Result(None, fleet_file.decode(raw, lines)[1], fleet_file.warnings(raw, lines))
    if "machine" in raw or "regions" in raw:
        from loadbalancer.control.machine.file import decode as decode_scale

        return Result(None, decode_scale(raw, lines, Path(path).resolve().parent)[1], [])
    if "service" not in raw and "listen" in raw:
        from loadbalancer.control.xds.file import decode as decode_control

        return Result(None, decode_control(raw, lines)[1], [])
    return decode(raw, lines, settings)


def _check_consul(
    raw: dict[str, Any], lines: Mapping[Key, int], settings: Settings | None
) -> Result:
    """Check a consul file; with settings, warn of classes that its servers can't repeat."""
    from loadbalancer.sources.consul import repeat_check
    from loadbalancer.sources.consul.file import decode as decode_consul

    file, faults = decode_consul(raw, lines)
    if file is None or settings is None:
        return Result(None, faults, [])
    names = repeat_check.classes_without_cells(file, settings)
    if not names:
        return Result(None, faults, [])
    line = lines.get(("service",), 1)
    warning = Fault(line, "no-cell", repeat_check.describe(names), repeat_check.REMEDY)
    return Result(None, faults, [warning])


def settings_of(path: str) -> Settings:
    """Read the settings from a node's JSON configuration.

    Raises:
        SettingsFileError: if the file can't be read or its settings are invalid.
    """
    try:
        with open(path, "rb") as file:
            raw = json.load(file)
        return settings_from_json(json.dumps(raw["settings"]).encode())
    except (OSError, ValueError, TypeError, KeyError, SettingsError) as err:
        raise SettingsFileError(f"{path} holds no settings: {err}") from None


def explain(explained: Explained) -> str:
    """Format one policy's values, each with the section and line of the file that sets it."""
    policy = explained.policy
    lines = [f"route {policy.name}, class {policy.cls}: repeats {REPEAT_NAMES[policy.effect]}"]
    for key, text in _value_texts(policy).items():
        given = explained.values.get(key)
        source = f"({given.where}, line {given.line})" if given else f"({SOURCE_IF_UNSET})"
        if given is None and key == "retry_on" and policy.retry_on is not None:
            source = "(only attempts that never ran, since requests are never repeated)"
        lines.append(f"  {key:<16}{text or '-':<40}{source}")
    return "\n".join(lines)


def _milliseconds(duration_ns: int) -> str:
    return f"{duration_ns / NS_PER_MS:g}ms" if duration_ns else ""


def _value_texts(policy: Policy) -> dict[str, str]:
    """Format a policy's values by their keys in the file; a value that is not set is empty."""
    retry_on = ""
    if policy.retry_on is not None:
        retry_on = ", ".join(sorted(policy.retry_on)) or "nothing"
    backoff = ""
    if policy.backoff_base:
        base, longest = _milliseconds(policy.backoff_base), _milliseconds(policy.max_backoff)
        backoff = f"0 to {base}, doubling, {longest} at most"
    budget = ""
    if policy.budget:
        budget = f"{policy.budget.part:.0%} of requests and {policy.budget.floor:g}/s"
    return {
        "wanted": _milliseconds(policy.wanted),
        "timeout": _milliseconds(policy.timeout),
        "attempt_timeout": _milliseconds(policy.attempt_timeout),
        "attempts": str(policy.attempts or ""),
        "retry_on": retry_on,
        "backoff": backoff,
        "budget": budget,
        "second_copy": _hedging_text(policy),
    }


def _hedging_text(policy: Policy) -> str:
    hedging = policy.hedging
    if hedging is None:
        return ""
    delay = _milliseconds(hedging.after) if hedging.after else f"p{hedging.percentile:g}"
    return f"after {delay}, {hedging.max_part:.1%} of requests at most"


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the sub-command's arguments to the parser."""
    parser.add_argument("files", nargs="+", metavar="FILE")
    parser.add_argument(
        "--config",
        help="check routes files against the settings in this JSON configuration of a node",
    )
    parser.add_argument(
        "--explain", action="store_true", help="print each route's effective policy"
    )


def run(arguments: argparse.Namespace, out: TextIO) -> int:
    """Check the files; returns 0, or 2 if a file has a fault or can't be checked."""
    settings = None
    if arguments.config:
        try:
            settings = settings_of(arguments.config)
        except SettingsFileError as err:
            print(f"check: {err}", file=sys.stderr)
            return 2
    results = {path: check_any(path, settings) for path in arguments.files}
    for path, result in results.items():
        _print_result(path, result, arguments.explain, out)
    return 2 if any(result.faults for result in results.values()) else 0


def _print_result(path: str, result: Result, show_policies: bool, out: TextIO) -> None:
    """Print one file's faults and warnings, its policies if requested, or that it is valid."""
    for fault in result.faults:
        print(f"{path}:{fault}", file=out)
    for warning in result.warnings:
        print(f"warning: {path}:{warning}", file=out)
    if show_policies and result.table is not None:
        for explained in result.explained:
            print(explain(explained), file=out)
    if not result.faults:
        table = result.table
        routes = (
            f", {sum(len(service.routes) for service in table.services)} routes" if table else ""
        )
        print(f"{path}: good{routes}", file=out)
