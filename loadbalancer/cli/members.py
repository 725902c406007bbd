"""`python -m loadbalancer members FILE`: list the servers that Consul has, with their states.

The list is merged from all datacentres and says why each server is in or out. With --serve, the
command keeps running and serves the list to nodes as their discovery; with --why, it prints one
server's health checks. Exits with status 0 if servers are listed, 1 if none is or Consul did not
answer in time, and 2 if the file or an address can't be used.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import sys
import time
from difflib import get_close_matches
from typing import Any, TextIO
from urllib.parse import quote

from loadbalancer import logs
from loadbalancer.config.address import parse_address
from loadbalancer.control.consul_relay import serve
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.merged_list import MergedList
from loadbalancer.core.endpoints.merged_server import ListedServer
from loadbalancer.sources.consul.credentials import open_credentials
from loadbalancer.sources.consul.file import ConsulError, ConsulFile, read_consul
from loadbalancer.sources.consul.list_updater import ListUpdater
from loadbalancer.sources.http_get import HttpGet, Response

CALL_TIMEOUT_S = 5.0
OK = 200


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the sub-command's arguments to the parser."""
    parser.add_argument("file", help="a file in the format of deploy/consul.toml")
    parser.add_argument(
        "--seconds", type=float, default=60.0, help="how long to wait for the complete list"
    )
    parser.add_argument(
        "--serve", metavar="HOST:PORT", help="serve the list to nodes as their discovery"
    )
    parser.add_argument(
        "--why", metavar="ID", help="print one server's health checks and their output"
    )


def run(arguments: argparse.Namespace, out: TextIO) -> int:
    """Print or serve the list, or print one server's checks; returns the exit status."""
    logs.configure("")
    try:
        file = read_consul(arguments.file)
        if arguments.why:
            return _print_checks(file, arguments.why, out)
        if file.merges_platform_list:
            _reject_platform_list(arguments)
        if arguments.serve:
            return _serve_nodes(file, arguments.serve)
        merged_list, complete = asyncio.run(_read_once(file, arguments.seconds))
    except ConsulError as err:
        print(err, file=sys.stderr)
        return 2
    now = time.monotonic_ns()
    servers = merged_list.servers()
    for server in servers:
        print(_server_line(server, now), file=out)
    if not complete:
        print(f"members: no whole list within {arguments.seconds:g} s", file=sys.stderr)
        return 1
    if not servers:
        similar = asyncio.run(_similar_names(file))
        hint = f"; the catalogue has {', '.join(similar)}" if similar else ""
        print(f"members: no server of {file.service!r} is listed{hint}", file=sys.stderr)
        return 1
    return 0


def _reject_platform_list(arguments: argparse.Namespace) -> None:
    """Say that the platform's list is not read here, and refuse to serve nodes without it.

    Raises:
        ConsulError: nodes would be served servers that the platform's list drains.
    """
    what = f"{arguments.file}: platform = true: this command reads Consul alone"
    if arguments.serve:
        raise ConsulError(
            f"{what}, and would serve nodes servers that drain in the platform's list; remove "
            "the line, or have each node read this file (PROXY_CONSUL)"
        )
    print(f"members: {what}; drains of the platform's list are not shown", file=sys.stderr)


async def _read_once(file: ConsulFile, timeout_s: float) -> tuple[MergedList, bool]:
    """Read every datacentre once; returns the list and whether it was complete in time."""
    done = asyncio.Event()
    updater = ListUpdater(file, done.set, time.time_ns())
    updater.start()
    try:
        await asyncio.wait_for(done.wait(), timeout_s)
    except TimeoutError:
        return updater.merged_list, False
    finally:
        updater.close()
    return updater.merged_list, True


def _server_line(server: ListedServer, now: int) -> str:
    """Format a server's address, its state and reason, and each source's report with its age."""
    reports = ", ".join(
        f"{report.source} {report.health.name.lower()} for {(now - report.since) // SECOND} s"
        for report in server.reports
    )
    state = server.state.name.lower()
    return f"{server.uid} {server.host}:{server.port} {state} ({server.reason}): {reports}"


def _serve_nodes(file: ConsulFile, listen: str) -> int:
    """Serve the list to nodes until a signal; returns 2 if the address can't be used."""
    try:
        asyncio.run(serve(file, parse_address(listen), time.time_ns()))
    except (OSError, ValueError) as err:
        print(f"members: --serve: {err}", file=sys.stderr)
        return 2
    except (KeyboardInterrupt, asyncio.CancelledError):
        # Ctrl-C is the usual way to stop the command.
        return 0
    return 0


async def _query(file: ConsulFile, path: str, query: str = "") -> list[Any]:
    """Send the first agent one GET per datacentre; returns the responses that are valid JSON."""
    credentials = open_credentials(file)
    headers, tls = credentials.headers, credentials.tls
    bodies = []
    for datacentre in file.zones_by_datacentre:
        done: asyncio.Future[Response | None] = asyncio.get_running_loop().create_future()
        target = f"{path}?dc={quote(datacentre, safe='')}&stale{query}"
        HttpGet(file.agents[0], target, CALL_TIMEOUT_S, done.set_result, headers, tls)
        answer = await done
        if answer is not None and answer.status == OK:
            # A response that is not JSON counts as no response.
            with contextlib.suppress(ValueError, RecursionError):
                bodies.append(json.loads(answer.body))
    return bodies


async def _similar_names(file: ConsulFile) -> list[str]:
    """Return the catalogue's services with names similar to the configured one.

    Source: Consul HTTP API, "Catalog": GET /v1/catalog/services returns the tags by service name.
    """
    found = await _query(file, "/v1/catalog/services")
    names = {name for services in found if isinstance(services, dict) for name in services}
    return get_close_matches(file.service, names)


async def _check_lines(file: ConsulFile, uid: str) -> list[str] | None:
    """Format one server's health checks, one per line; None if no agent answered.

    Source: Consul HTTP API, "Health": GET /v1/health/state/any, with a filter.
    """
    name = json.dumps(uid.rpartition("/")[2], ensure_ascii=False)
    expression = quote(f"ServiceID == {name}", safe="")
    found = await _query(file, "/v1/health/state/any", f"&filter={expression}")
    rows = [
        row
        for checks in found
        if isinstance(checks, list)
        for row in checks
        if isinstance(row, dict)
    ]
    keys = ("Node", "CheckID", "Status", "Output")
    lines = [" ".join(str(row.get(key, "")) for key in keys).rstrip() for row in rows]
    return lines if found else None


def _print_checks(file: ConsulFile, uid: str, out: TextIO) -> int:
    """Print a server's health checks; returns 1 if there are none."""
    lines = asyncio.run(_check_lines(file, uid))
    for line in lines or ():
        print(line, file=out)
    if not lines:
        why = "the agent did not answer" if lines is None else f"{uid!r} has no checks"
        print(f"members: {why}", file=sys.stderr)
    return 0 if lines else 1
