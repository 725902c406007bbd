"""`python -m loadbalancer peers ADDRESS`: what a running node has from the others by gossip.

ADDRESS is the node's second one. Shown are the members and their states, the records on each
server with their sources, ages and verdict, and how many messages were received, sent or dropped.
Status 0 where every node lives, 1 where some do not, 2 where the node can't be asked.
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
    """A node's second address gives no gossip status; the text says why."""


def read(address: str) -> dict[str, Any]:
    """The node's gossip status, as its JSON has it.

    Raises:
        NodeStatusError: where the node can't be reached or has no gossip.
        ValueError: where the address is not in the form host:port.
    """
    host, port = parse_address(address)
    connection = HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request("GET", "/peers")
        response = connection.getresponse()
        body = response.read()
    except (OSError, HTTPException) as err:
        raise NodeStatusError(f"{address} can't be asked: {err}") from None
    finally:
        connection.close()
    if response.status != OK:
        raise NodeStatusError(f"{address} says: {body.decode(errors='replace').strip()}")
    try:
        status = json.loads(body)
    except ValueError as err:
        raise NodeStatusError(str(err)) from None
    if not isinstance(status, dict):
        raise NodeStatusError(f"{address} is no node's second address")
    return status


def lines(status: dict[str, Any]) -> list[str]:
    """For people: nodes that are not as usual first, then servers, then counts."""
    out = [_summary_line(status), *_member_lines(status["nodes"])]
    for way, preposition in (("lent", "to"), ("borrowed", "from")):
        for node, eighths, remaining_ms in status[way]:
            out.append(
                f"  slots {way}: at {eighths} in 8 servers {preposition} node {node}, "
                f"for {remaining_ms} ms more"
            )
    if "list" in status:
        out += _list_lines(status["list"])
    out += _server_lines(status["servers"])
    counts = ", ".join(f"{name} {count}" for name, count in status["counts"].items())
    return [*out, f"messages: {counts}"]


def _summary_line(status: dict[str, Any]) -> str:
    caught = "caught up" if status["caught_up"] else "catching up: it tells nothing yet"
    return (
        f"node {status['me']}, incarnation {status['incarnation']}: {caught}; "
        f"{status['living']} of {len(status['nodes']) + 1} nodes live; "
        f"accused {status['refuted']} times, "
        f"waits {1 + status['health']} times as long as usual for answers"
    )


def _member_lines(nodes: list[Any]) -> list[str]:
    """The members that are not alive, or doubted, and how many are as usual."""
    out = []
    usual = 0
    for node, state, incarnation, age_ms, doubted in nodes:
        if state == "alive" and not doubted and age_ms is not None:
            usual += 1
            continue
        since = "never heard" if age_ms is None else f"last heard {_seconds(age_ms)} ago"
        two = "; two processes speak under its name" if doubted else ""
        out.append(f"  node {node} {state}, incarnation {incarnation}, {since}{two}")
    return [*out, f"  {usual} others alive and heard"]


def _server_lines(records: list[Any]) -> list[str]:
    """Each server's verdict and, beside one another, the records that it comes from."""
    servers: dict[str, list[str]] = {}
    for server, author, age_ms, text, verdict in records:
        source = "the list" if author == "list" else f"node {author}"
        rows = servers.setdefault(server, [f"server {server}: {verdict}"])
        rows.append(f"  {source}, {_seconds(age_ms)} ago: {text}")
    if not servers:
        return ["no record of any server"]
    return [line for rows in servers.values() for line in rows]


def _list_lines(state: dict[str, Any]) -> list[str]:
    """The list that some nodes read for all: the version here, and the state of its readers."""
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
    """Add the arguments."""
    parser.add_argument("address", metavar="ADDRESS", help="a node's second address")
    parser.add_argument("--json", action="store_true", help="as the node gives it")


def run(arguments: argparse.Namespace, out: TextIO) -> int:
    """Show it; 0, 1 where nodes are missing, 2 where the node can't be asked."""
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
