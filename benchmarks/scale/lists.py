"""Slopes of routes and of the list of servers: files, tables, rows, versions, bytes sent."""

from __future__ import annotations

import json
import tempfile
from collections.abc import Callable
from functools import partial
from itertools import cycle
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.scale import meter
from benchmarks.scale.fit import Point, Slope, fit
from fakes.discovery import target
from fakes.files import write_config
from fakes.node import SETTINGS
from loadbalancer.config.node import Config, load
from loadbalancer.config.toml_file import parse
from loadbalancer.core.endpoints.revisions import Revisions
from loadbalancer.core.routes.file import decode
from loadbalancer.core.routes.table import Table
from loadbalancer.sources.endpoint_list import EndpointList

ROUTES_PER_SERVICE = 31  # 140,000 routes in 4,500 services
FILE_ROUNDS = 3  # of reading a routes file
LIST_ROUNDS = 12  # of reading or writing a list
DRAWN_SERVICES = 997  # that look-ups repeat
CHANGED_LIST_ROWS = 2_000  # of a list of which some rows change


# ---- routes -----------------------------------------------------------------------


def routes_file(services: int) -> bytes:
    """A routes file of so many services with the usual number of routes, and one policy."""
    parts = [
        'version = 1\n[class.balance]\nrepeat = "safe"\nattempts = 2\n'
        'retry_on = ["refused", "connect-failure"]\n'
    ]
    for service in range(services):
        parts.append(f'[[service]]\nname = "s{service}"\nhosts = ["s{service}.svc"]\n')
        parts.append('[[service.route]]\nname = "rest"\nprefix = "/"\ndeny = true\n')
        parts += [_route(number) for number in range(1, ROUTES_PER_SERVICE)]
    return "".join(parts).encode()


def _route(number: int) -> str:
    """One route: a path, a template or a prefix in turn."""
    patterns = (
        f'path = "/shop/{number}/list"',
        f'path = "/shop/{number}/{{item}}/price"',
        f'prefix = "/shop/{number}/stock"',
    )
    pattern = patterns[number % 3]
    return f'[[service.route]]\nname = "r{number}"\n{pattern}\nclass = "balance"\n'


def routes_table(services: int) -> Table:
    """The table of such a file."""
    result = decode(*parse(routes_file(services)))
    assert result.table is not None, result.faults[:1]
    return result.table


def by_routes(quick: bool) -> list[Slope]:
    """Bytes of a table, of a file and at the peak; microseconds to read and of a look-up."""
    services = (4, 8, 16) if quick else (20, 40, 80, 160)
    services_by_routes = {count * ROUTES_PER_SERVICE: count for count in services}
    builds = {routes: partial(routes_table, n) for routes, n in services_by_routes.items()}
    # The table alone stays in memory; reading also needs the parser's tree and the file.
    peaks = [meter.point(routes, [meter.peak(build)]) for routes, build in builds.items()]
    file_sizes = [
        meter.point(routes, [float(len(routes_file(n)))])
        for routes, n in services_by_routes.items()
    ]
    lookups = {routes: lookup(routes_table(n), n) for routes, n in services_by_routes.items()}
    return [
        fit("routes.memory", "bytes", "route", meter.memory(builds, 1)),
        fit("routes.peak", "bytes", "route", peaks),
        fit("routes.bytes", "bytes", "route", file_sizes),
        fit("routes.read", "us", "route", meter.cpu(builds, FILE_ROUNDS)),
        fit("routes.lookup", "us", "route", meter.cpu(lookups)),
    ]


def lookup(table: Table, services: int) -> Callable[[], None]:
    """A call that looks up a route of a host drawn at random."""
    random = Random(1)
    drawn = cycle([random.randrange(services) for _ in range(DRAWN_SERVICES)])

    def call() -> None:
        service = table.service(b"s%d.svc" % next(drawn))
        assert service is not None
        path = b"/shop/13/x/price"
        assert service.match(path, path.split(b"/"), b"GET", b"balance") is not None

    return call


# ---- the list of servers ------------------------------------------------------------


def rows(count: int) -> list[dict[str, Any]]:
    """Rows in the list's own form."""
    return [
        target(f"topup-{i:08x}", f"10.{i >> 16 & 255}.{i >> 8 & 255}.{i & 255}:9000")
        for i in range(count)
    ]


def response(version: int, is_complete: bool, count: int) -> dict[str, Any]:
    """The list service's response with so many rows."""
    return {"rev": version, "all": is_complete, "targets": rows(count)}


def by_rows(quick: bool) -> list[Slope]:
    """The complete list: bytes, microseconds to parse, write and read, and bytes in memory."""
    sizes = (100, 200, 400) if quick else (10_000, 20_000, 40_000)
    raws = {size: response(1, True, size) for size in sizes}
    texts = {size: json.dumps(raw) for size, raw in raws.items()}
    config = _node_config()
    parses = {size: partial(json.loads, text) for size, text in texts.items()}
    writes = {size: partial(json.dumps, raw) for size, raw in raws.items()}
    reads = {size: partial(_read_list, config, raw) for size, raw in raws.items()}
    return [
        fit("list.bytes", "bytes", "row", _text_sizes(texts)),
        fit("list.parse", "us", "row", meter.cpu(parses, LIST_ROUNDS)),
        fit("list.write", "us", "row", meter.cpu(writes, LIST_ROUNDS)),
        fit("list.roster", "us", "row", meter.cpu(reads, LIST_ROUNDS)),
        fit("list.roster_memory", "bytes", "row", meter.memory(reads, 1)),
    ]


def _node_config() -> Config:
    """The configuration of a node that reads such a list."""
    with tempfile.TemporaryDirectory() as folder:
        path = write_config(Path(folder, "config.json"), SETTINGS, None)
        return load({"PROXY_CONFIG": str(path)})


def _read_list(config: Config, raw: dict[str, Any]) -> EndpointList:
    endpoints = EndpointList(config)
    endpoints.apply(raw["rev"], *endpoints.decode(raw))
    return endpoints


def _text_sizes(texts: dict[int, str]) -> list[Point]:
    return [meter.point(size, [float(len(text))]) for size, text in texts.items()]


# ---- versions of the list -------------------------------------------------------------


def by_changes(quick: bool) -> list[Slope]:
    """`Revisions`: the memory of a row, the cost of a new version by rows and by changed rows."""
    sizes = (100, 200, 400) if quick else (30_000, 60_000, 120_000)
    changes = (50, 100, 200, 400)
    builds = {size: partial(make_revisions, size) for size in sizes}
    replaces = {size: replace_list(size) for size in sizes}
    advances = {count: advance_list(count) for count in changes}
    deltas = {count: partial(changed_list(count).since, 2) for count in changes}
    texts = {count: json.dumps(response(2, False, count)) for count in changes}
    return [
        fit("revisions.memory", "bytes", "row", meter.memory(builds, 1)),
        fit("revisions.replace", "us", "row", meter.cpu(replaces)),
        fit("revisions.move", "us", "row changed", meter.cpu(advances)),
        fit("revisions.since", "us", "row changed", meter.cpu(deltas)),
        fit("delta.bytes", "bytes", "row changed", _text_sizes(texts)),
    ]


def make_revisions(count: int) -> Revisions[str]:
    """A list of so many rows as text, at its first version."""
    revisions: Revisions[str] = Revisions(1)
    revisions.replace({row["uid"]: json.dumps(row) for row in rows(count)})
    return revisions


def replace_list(count: int) -> Callable[[], bool]:
    """A call that replaces the complete list by one in which a single row differs."""
    revisions = make_revisions(count)
    first = dict(revisions.rows)
    second = first | {next(iter(first)): "{}"}
    lists = cycle((second, first))
    return lambda: revisions.replace(next(lists))


def advance_list(changed: int) -> Callable[[], None]:
    """A call that advances to a further version with so many rows changed."""
    revisions = make_revisions(CHANGED_LIST_ROWS)
    rows_changed = _first_rows_changed(revisions, changed)
    return lambda: revisions.advance(revisions.rev + 1, rows_changed)


def changed_list(changed: int) -> Revisions[str]:
    """A list whose last version changed so many rows."""
    revisions = make_revisions(CHANGED_LIST_ROWS)
    revisions.advance(revisions.rev + 1, _first_rows_changed(revisions, changed))
    return revisions


def _first_rows_changed(revisions: Revisions[str], count: int) -> dict[str, str]:
    return {uid: "{}" for uid in list(revisions.rows)[:count]}
