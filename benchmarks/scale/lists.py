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
from benchmarks.scale.fit import Slope, fit
from fakes.discovery import target
from fakes.files import write_config
from fakes.node import SETTINGS
from loadbalancer.config.node import Config, load
from loadbalancer.config.toml_file import parse
from loadbalancer.core.endpoints.revisions import Revisions
from loadbalancer.core.routes.file import decode
from loadbalancer.core.routes.table import Table
from loadbalancer.sources.endpoint_list import EndpointList

ROUTES_A_SERVICE = 31  # 140,000 routes in 4,500 services


def routes_file(services: int) -> bytes:
    """A routes file of so many services with the usual number of routes, and one policy."""
    head = 'version = 1\n[class.balance]\nrepeat = "safe"\nattempts = 2\n'
    parts = [head + 'retry_on = ["refused", "connect-failure"]\n']
    for service in range(services):
        parts.append(f'[[service]]\nname = "s{service}"\nhosts = ["s{service}.svc"]\n')
        parts.append('[[service.route]]\nname = "rest"\nprefix = "/"\ndeny = true\n')
        for route in range(1, ROUTES_A_SERVICE):
            path = (f'path = "/shop/{route}/list"', f'path = "/shop/{route}/{{item}}/price"',
                    f'prefix = "/shop/{route}/stock"')[route % 3]  # fmt: skip
            parts.append(f'[[service.route]]\nname = "r{route}"\n{path}\nclass = "balance"\n')
    return "".join(parts).encode()


def table(services: int) -> Table:
    """The table of such a file."""
    found = decode(*parse(routes_file(services)))
    assert found.table is not None, found.faults[:1]
    return found.table


def by_routes(quick: bool) -> list[Slope]:
    """Bytes kept and at the peak, microseconds to read, and microseconds a look-up."""
    services = (4, 8, 16) if quick else (20, 40, 80, 160)
    sizes = {n * ROUTES_A_SERVICE: n for n in services}
    # The table alone is what stays; reading takes the parser's tree and the file beside it.
    held = meter.memory({routes: partial(table, n) for routes, n in sizes.items()}, 1)
    peaks = [meter.point(r, [meter.peak(partial(table, n))]) for r, n in sizes.items()]
    texts = [meter.point(r, [float(len(routes_file(n)))]) for r, n in sizes.items()]
    read = meter.cpu({routes: partial(table, n) for routes, n in sizes.items()}, 3)
    looked = meter.cpu({routes: looking(table(n), n) for routes, n in sizes.items()})
    return [
        fit("routes.memory", "bytes", "route", held),
        fit("routes.peak", "bytes", "route", peaks),
        fit("routes.bytes", "bytes", "route", texts),
        fit("routes.read", "us", "route", read),
        fit("routes.lookup", "us", "route", looked),
    ]


def looking(found: Table, services: int) -> Callable[[], None]:
    """A call that looks up a route of a host drawn at random."""
    random = Random(1)
    drawn = cycle([random.randrange(services) for _ in range(997)])

    def call() -> None:
        service = found.service(b"s%d.svc" % next(drawn))
        assert service is not None
        path = b"/shop/13/x/price"
        assert service.match(path, path.split(b"/"), b"GET", b"balance") is not None

    return call


def rows(count: int, first: int = 0) -> list[dict[str, Any]]:
    """Rows in the list's own form."""
    return [
        target(f"topup-{i:08x}", f"10.{i >> 16 & 255}.{i >> 8 & 255}.{i & 255}:9000")
        for i in range(first, first + count)
    ]


def config() -> Config:
    """Of a node that reads such a list."""
    with tempfile.TemporaryDirectory() as folder:
        path = write_config(Path(folder, "config.json"), SETTINGS, None)
        return load({"PROXY_CONFIG": str(path)})


def by_rows(quick: bool) -> list[Slope]:
    """The list whole and as changes: bytes, reading, holding, and versions of it."""
    sizes = (100, 200, 400) if quick else (10_000, 20_000, 40_000)
    texts = {n: json.dumps({"rev": 1, "all": True, "targets": rows(n)}) for n in sizes}
    raws = {n: json.loads(text) for n, text in texts.items()}
    settings = config()

    def taken(raw: Any) -> EndpointList:
        roster = EndpointList(settings)
        roster.apply(raw["rev"], *roster.read(raw))
        return roster

    size = [meter.point(n, [float(len(text))]) for n, text in texts.items()]
    parsed = meter.cpu({n: partial(json.loads, text) for n, text in texts.items()}, 12)
    written = meter.cpu({n: partial(json.dumps, raw) for n, raw in raws.items()}, 12)
    read = meter.cpu({n: partial(taken, raw) for n, raw in raws.items()}, 12)
    held = meter.memory({n: partial(taken, raw) for n, raw in raws.items()}, 1)
    return [
        fit("list.bytes", "bytes", "row", size),
        fit("list.parse", "us", "row", parsed),
        fit("list.write", "us", "row", written),
        fit("list.roster", "us", "row", read),
        fit("list.roster_memory", "bytes", "row", held),
    ]


def by_changes(quick: bool) -> list[Slope]:
    """`Revisions`: the memory of a row, the cost of a new version by rows held and by changes."""
    sizes = (100, 200, 400) if quick else (30_000, 60_000, 120_000)
    held = {n: partial(versions, n) for n in sizes}
    replaced = {n: replacing(n) for n in sizes}
    changes = (50, 100, 200, 400)
    since = {n: partial(moved(n).since, 2) for n in changes}
    moves = {n: moving(n) for n in changes}
    texts = {n: json.dumps({"rev": 2, "all": False, "targets": rows(n)}) for n in changes}
    size = [meter.point(n, [float(len(text))]) for n, text in texts.items()]
    return [
        fit("revisions.memory", "bytes", "row", meter.memory(held, 1)),
        fit("revisions.replace", "us", "row", meter.cpu(replaced)),
        fit("revisions.move", "us", "row changed", meter.cpu(moves)),
        fit("revisions.since", "us", "row changed", meter.cpu(since)),
        fit("delta.bytes", "bytes", "row changed", size),
    ]


def versions(count: int) -> Revisions[str]:
    """A list of so many rows as text, as of its first version."""
    made: Revisions[str] = Revisions(1)
    made.replace({row["uid"]: json.dumps(row) for row in rows(count)})
    return made


def replacing(count: int) -> Callable[[], bool]:
    """A call that takes a whole list over in which one row differs from the last."""
    made = versions(count)
    whole = dict(made.rows)
    first = next(iter(whole))
    other = whole | {first: "{}"}
    turns = cycle((other, whole))
    return lambda: made.replace(next(turns))


def moving(changed: int) -> Callable[[], None]:
    """A call that goes on to a further version with so many rows changed."""
    made = versions(2_000)
    some = {uid: "{}" for uid in list(made.rows)[:changed]}
    return lambda: made.advance(made.rev + 1, some)


def moved(changed: int) -> Revisions[str]:
    """A list whose last versions changed so many rows in all."""
    made = versions(2_000)
    made.advance(made.rev + 1, {uid: "{}" for uid in list(made.rows)[:changed]})
    return made
