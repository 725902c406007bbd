"""`python -m loadbalancer peers ADDRESS`: what a running node has from the others.

ADDRESS is the node's second one. Who lives, what is believed of which server, from whom,
how old, what has come of it, and how many messages of each kind were heard, sent or dropped.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from http.client import HTTPConnection, HTTPException
from typing import Any, TextIO

from loadbalancer.config.node import parse_address

CALL_S = 5.0


def read(address: str) -> dict[str, Any]:
    """The node's own words; ValueError where it has none or can't be asked."""
    host, port = parse_address(address)
    connection = HTTPConnection(host, port, timeout=CALL_S)
    try:
        connection.request("GET", "/peers")
        answer = connection.getresponse()
        body = answer.read()
    except (OSError, HTTPException) as err:
        raise ValueError(f"{address} can't be asked: {err}") from None
    finally:
        connection.close()
    if answer.status != 200:
        raise ValueError(f"{address} says: {body.decode(errors='replace').strip()}")
    found = json.loads(body)
    if not isinstance(found, dict):
        raise ValueError(f"{address} is no node's second address")
    return found


def lines(status: dict[str, Any]) -> list[str]:
    """For people: nodes that are not as usual first, then servers, then counts."""
    nodes = status["nodes"]
    caught = "caught up" if status["caught_up"] else "catching up: it tells nothing yet"
    out = [
        f"node {status['me']}, incarnation {status['incarnation']}: {caught}; "
        f"{status['living']} of {len(nodes) + 1} nodes live; accused {status['refuted']} times, "
        f"waits {1 + status['health']} times as long as usual for answers"
    ]
    usual = 0
    for node, standing, incarnation, heard, doubted in nodes:
        if standing == "alive" and not doubted and heard is not None:
            usual += 1
            continue
        since = "never heard" if heard is None else f"last heard {heard / 1000:.1f} s ago"
        two = "; two processes speak under its name" if doubted else ""
        out.append(f"  node {node} {standing}, incarnation {incarnation}, {since}{two}")
    out.append(f"  {usual} others alive and heard")
    for way, word in (("lent", "to"), ("borrowed", "from")):
        for node, eighths, left in status[way]:
            out.append(
                f"  slots {way}: at {eighths} in 8 servers {word} node {node}, for {left} ms more"
            )
    if "list" in status:
        out += _list_lines(status["list"])
    servers: dict[str, list[str]] = {}
    for server, who, age, text, verdict in status["servers"]:
        source = "the list" if who == "list" else f"node {who}"
        rows = servers.setdefault(server, [f"server {server}: {verdict}"])
        rows.append(f"  {source}, {age / 1000:.1f} s ago: {text}")
    for rows in servers.values():
        # Where witnesses say different things the copies stand beside one another.
        out += rows
    if not servers:
        out.append("no record of any server")
    counts = ", ".join(f"{name} {n}" for name, n in status["counts"].items())
    return [*out, f"messages: {counts}"]


def _list_lines(held: dict[str, Any]) -> list[str]:
    """The list that is read for all: the version here, and how its readers stand."""
    itself = ", which asks for it" if held["reads"] else ""
    out = [f"  list: {held['rows']} rows, version {held['rev']} of epoch {held['epoch']}{itself}"]
    for node, how, epoch, rev, age in held["readers"]:
        when = f"{age / 1000:.1f} s ago"
        out.append(f"    node {node}: {how}, version {rev} of epoch {epoch}, {when}")
    counts = ", ".join(f"{name} {n}" for name, n in sorted(held["counts"].items()) if n)
    return [*out, f"    {counts}"] if counts else out


def main(words: Sequence[str], out: TextIO = sys.stdout) -> int:
    """Show it; 0, 1 where nodes are missing, 2 where the node can't be asked."""
    parser = argparse.ArgumentParser(prog="python -m loadbalancer peers", description=__doc__)
    parser.add_argument("address", metavar="ADDRESS", help="a node's second address")
    parser.add_argument("--json", action="store_true", help="as the node gives it")
    args = parser.parse_args(words)
    try:
        status = read(args.address)
    except ValueError as err:
        print(f"peers: {err}", file=sys.stderr)
        return 2
    if args.json:
        print(json.dumps(status), file=out)
    else:
        print("\n".join(lines(status)), file=out)
    return 0 if status["living"] == len(status["nodes"]) + 1 else 1
