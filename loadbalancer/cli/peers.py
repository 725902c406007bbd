"""`python -m loadbalancer peers ADDRESS`: show what a running node learned by gossip.

ADDRESS is the node's admin address. The output has the members and their states, the records on
each server with their sources, ages and verdict, and the counts of messages received, sent or
dropped. Exits with status 0 if every node is alive, 1 if some are not, and 2 if the node can't be
queried.
"""

from __future__ import annotations

import argparse
import json
import sys
from http.client import HTTPConnection, HTTPException
from typing import Any, TextIO

from loadbalancer.config.address import parse_address
from loadbalancer.core.errors import PeerError

CALL_TIMEOUT_S = 5.0
MS_PER_SECOND = 1000
OK = 200


class NodeStatusError(PeerError):
    """A node's admin address returned no gossip status; the message says why."""


def read(address: str) -> dict[str, Any]:
    """Fetch the node's gossip status as decoded JSON.

    Raises:
        NodeStatusError: if the node can't be reached or has gossip disabled.
        ValueError: if the address is not in the form host:port.
    """
    host, port = parse_address(address)
    connection = HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request("GET", "/peers")
        response = connection.getresponse()
        body = response.read()
    except (OSError, HTTPException) as err:
        raise NodeStatusError(f"{address} can't be queried: {err}") from None
    finally:
        connection.close()
    if response.status != OK:
        raise NodeStatusError(f"{address} says: {body.decode(errors='replace').strip()}")
    try:
        status = json.loads(body)
    except ValueError as err:
        raise NodeStatusError(str(err)) from None
    if not isinstance(status, dict):
        raise NodeStatusError(f"{address} is not a node's admin address")
    return status


def lines(status: dict[str, Any]) -> list[str]:
    """Format the status as text: nodes with problems first, then servers, then counts."""
    out = [_summary_line(status), *_member_lines(status["nodes"])]
    for direction, preposition in (("lent", "to"), ("borrowed", "from")):
        for node, eighths, remaining_ms in status[direction]:
            out.append(
                f"  slots {direction}: at {eighths} in 8 servers {preposition} node {node}, "
                f"for {remaining_ms} ms more"
            )
    if "list" in status:
        out += _list_lines(status["list"])
    out += _server_lines(status["servers"])
    counts = ", ".join(f"{name} {count}" for name, count in status["counts"].items())
    return [*out, f"messages: {counts}"]


def _summary_line(status: dict[str, Any]) -> str:
    progress = "caught up" if status["caught_up"] else "catching up, sends no gossip updates yet"
    return (
        f"node {status['me']}, incarnation {status['incarnation']}: {progress}; "
        f"{status['living']} of {len(status['nodes']) + 1} nodes live; "
        f"refuted {status['refuted']} suspicions of itself, "
        f"waits {1 + status['health']} times as long as usual for answers"
    )


def _member_lines(nodes: list[Any]) -> list[str]:
    """Format each member that is not alive, was never heard or is doubted; count the others."""
    out = []
    healthy = 0
    for node, state, incarnation, age_ms, doubted in nodes:
        if state == "alive" and not doubted and age_ms is not None:
            healthy += 1
            continue
        since = "never heard" if age_ms is None else f"last heard {_seconds(age_ms)} ago"
        duplicate = "; two processes use its name" if doubted else ""
        out.append(f"  node {node} {state}, incarnation {incarnation}, {since}{duplicate}")
    return [*out, f"  {healthy} others alive and heard"]


def _server_lines(records: list[Any]) -> list[str]:
    """Format each server's verdict, followed by the records from which it is derived."""
    servers: dict[str, list[str]] = {}
    for server, author, age_ms, text, verdict in records:
        source = "the endpoint list" if author == "list" else f"node {author}"
        rows = servers.setdefault(server, [f"server {server}: {verdict}"])
        rows.append(f"  {source}, {_seconds(age_ms)} ago: {text}")
    if not servers:
        return ["no record of any server"]
    return [line for rows in servers.values() for line in rows]


def _list_lines(state: dict[str, Any]) -> list[str]:
    """Format the state of the endpoint list, which a few list readers fetch for all nodes."""
    reads = ", which asks for it" if state["reads"] else ""
    out = [f"  list: {state['rows']} rows, version {state['rev']} of epoch {state['epoch']}{reads}"]
    for node, reading, epoch, rev, age_ms in state["readers"]:
        age = _seconds(age_ms)
        out.append(f"    node {node}: {reading}, version {rev} of epoch {epoch}, {age} ago")
    counts = ", ".join(
        f"{name} {count}" for name, count in sorted(state["counts"].items()) if count
    )
    return [*out, f"    {counts}"] if counts else out


def _seconds(duration_ms: float) -> str:
    return f"{duration_ms / MS_PER_SECOND:.1f} s"


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the sub-command's arguments to the parser."""
    parser.add_argument("address", metavar="ADDRESS", help="a node's admin address")
    parser.add_argument("--json", action="store_true", help="print the node's status as JSON")


def run(arguments: argparse.Namespace, out: TextIO) -> int:
    """Print the status; returns 0, 1 if a node is not alive, 2 if the node can't be queried."""
    try:
        status = read(arguments.address)
    except (NodeStatusError, ValueError) as err:
        print(f"peers: {err}", file=sys.stderr)
        return 2
    if arguments.json:
        print(json.dumps(status), file=out)
    else:
        print("\n".join(lines(status)), file=out)
    return 0 if status["living"] == len(status["nodes"]) + 1 else 1
