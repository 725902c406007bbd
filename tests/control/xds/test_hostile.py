"""The control service before scripted proxies: faults cost only the proxy that has them."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import grpc
import pytest
from envoy.service.discovery.v3 import discovery_pb2

from fakes.fleet import Process, started
from loadbalancer.control.xds.server import Streams
from tests.control.xds.test_service import control, status
from tests.harness import roster, target, until

HEALTHY, DRAINING = 1, 3  # core.v3.HealthStatus
BOTH = pytest.mark.parametrize("variant", ["whole", "incremental"])


def say(process: Process, **order: Any) -> Any:
    return json.loads(process.say(json.dumps(order)))


@contextlib.contextmanager
def proxies(address: str, count: int, variant: str, *more: str) -> Iterator[Process]:
    words = ("-m", "fakes.xds_proxy", address, "--count", str(count), "--variant", variant)
    with started((*words, *more)) as process:
        say(process, do="connect")
        yield process


@contextlib.contextmanager
def service(tmp_path: Path, targets: list[dict[str, Any]]) -> Iterator[tuple[Process, Process]]:
    """Discovery and a control service that lives on it."""
    with started(("-m", "fakes.discovery")) as discovery:
        discovery.call("POST", "/standin/targets", targets)
        known = roster(*targets)
        with control(tmp_path, known, discovery.address) as process:
            yield process, discovery


def listed(first: int, count: int) -> list[dict[str, Any]]:
    return [dict(target(f"s-{i}", 20000 + i)) for i in range(first, first + count)]


def held(targets: list[dict[str, Any]], health: int = HEALTHY) -> dict[str, int]:
    return {str(t["endpoint"]): health for t in targets}


def wait(process: Process, servers: dict[str, int], *but: str, only: bool = False) -> None:
    answer = say(process, do="wait", service="topup", servers=servers, but=but, only=only)
    assert answer == {"missing": []}


def whole(process: Process, *but: str) -> dict[str, Any]:
    """All proxies' states; nothing was ever wrong with a picture."""
    states: dict[str, Any] = say(process, do="state")
    assert {n: s["wrong"] for n, s in states.items() if s["wrong"]} == {}
    for name, state in states.items():
        if name not in but:
            assert set(state["held"]["cluster"]) == {"topup"}, name
            assert set(state["held"]["routes"]) == {"wharfspread"}, name
    return states


def ended(process: Process, name: str) -> str:
    """The status its last stream ended with, "" while it is open."""
    return str(say(process, do="state")[name]["ended"])


def told(process: Process) -> dict[str, dict[str, str]]:
    """The service's own records: by proxy, the version of each type."""
    out: dict[str, dict[str, str]] = {}
    for (node, kind), row in status(process).items():
        out.setdefault(node, {})[kind.rpartition(".")[2]] = row.version_info
    return out


@BOTH
def test_every_proxy_ends_with_the_services_own_records(tmp_path: Path, variant: str) -> None:
    with (
        service(tmp_path, listed(1, 30)) as (process, discovery),
        proxies(process.address, 21, variant) as crowd,
    ):
        wait(crowd, held(listed(1, 30)), only=True)
        discovery.call("POST", "/standin/targets", listed(5, 40))
        wait(crowd, held(listed(5, 40)), only=True)
        states = whole(crowd)
        records = told(process)
        versions = {s["held"]["endpoints"]["topup"] for s in states.values()}
        assert len(versions) == 1
        if variant == "incremental":
            for name, state in states.items():
                assert records[name]["ClusterLoadAssignment"] in versions
                assert records[name]["Cluster"] == state["held"]["cluster"]["topup"]


FAULTS: list[dict[str, Any]] = [
    {"silent": "all"},
    {"silent": "endpoints"},
    {"nack": "cluster"},
    {"nack": "endpoints"},
    {"nack": "listener"},
    {"nack": "routes"},
    {"stale": True},
    {"invent": True},
    {"wrong": True},
    {"flood": 1000},
    {"deaf": True},
]


@BOTH
def test_a_faulty_proxy_costs_only_itself(tmp_path: Path, variant: str) -> None:
    """One proxy for each fault, and three without; then a change, and a second one."""
    count = len(FAULTS) + 3
    bad = [f"p-{i}" for i in range(1, len(FAULTS) + 1)]
    # A nonce that is old or invented is no answer: the real one, after it, counts.
    ill = [n for n, f in zip(bad, FAULTS, strict=True) if not f.keys() & {"stale", "invent"}]
    with (
        service(tmp_path, listed(1, 10)) as (process, discovery),
        proxies(process.address, count, variant) as crowd,
    ):
        wait(crowd, held(listed(1, 10)), only=True)
        for name, fault in zip(bad, FAULTS, strict=True):
            say(crowd, do="fault", proxy=name, fault=fault)
        refuser = bad[FAULTS.index({"nack": "endpoints"})]
        for change, first in enumerate((3, 6), 1):
            discovery.call("POST", "/standin/targets", listed(first, 10))
            wait(crowd, held(listed(first, 10)), *ill, only=True)
            # It is none of those waited for, and may be told later than they.
            until(lambda n=change: whole(crowd, *ill)[refuser]["refused"] >= n)
        ends = {str(FAULTS[bad.index(n)]): n for n in bad}
        # Which status they see depends on whether their own writes fail first (INTERNAL was seen);
        # the one that the service gives is tested below.
        for cause in ("{'wrong': True}", "{'flood': 1000}"):
            until(lambda name=ends[cause]: ended(crowd, name) not in ("", "OK"))
        # Mended, the refusing one takes what it refused as soon as it changes.
        assert whole(crowd, *ill)[refuser]["refused"] == 2  # once a change, and not in a loop
        say(crowd, do="fault", proxy=refuser, fault={})
        discovery.call("POST", "/standin/targets", listed(8, 10))
        wait(crowd, held(listed(8, 10)), *(n for n in ill if n != refuser), only=True)


@BOTH
def test_a_request_for_a_type_that_is_not_ends_the_stream_as_an_invalid_argument(
    variant: str,
) -> None:
    delta = variant == "incremental"
    request = (discovery_pb2.DeltaDiscoveryRequest if delta else discovery_pb2.DiscoveryRequest)(
        type_url="type.googleapis.com/some.Other"
    )

    async def no_more() -> AsyncIterator[Any]:
        return
        yield

    stream = cast(Any, SimpleNamespace(only=None))
    control_service = cast(Any, None)  # it is not asked: nothing of the stream is touched
    wrong = asyncio.run(Streams._read(control_service, stream, request, no_more(), delta))
    assert wrong is not None
    assert wrong[0] is grpc.StatusCode.INVALID_ARGUMENT
    assert "some.Other" in wrong[1]


@BOTH
def test_a_stream_cut_at_any_byte_ends_in_one_whole_picture(tmp_path: Path, variant: str) -> None:
    """Each cut comes while a change is under way; what was held before is held still."""
    with (
        service(tmp_path, listed(1, 5)) as (process, discovery),
        started(("-m", "fakes.relay", process.address)) as relay,
        proxies(relay.address, 1, variant, "--again") as one,
    ):
        for turn, cut in enumerate(range(0, 3600, 90)):
            say(relay, cut=cut, drop=True)  # the next connection is cut there
            discovery.call("POST", "/standin/targets", listed(turn + 2, 5))
            wait(one, held(listed(turn + 2, 5)), only=True)
        whole(one)


@BOTH
def test_two_proxies_of_one_id_are_both_served(tmp_path: Path, variant: str) -> None:
    with (
        service(tmp_path, listed(1, 5)) as (process, discovery),
        proxies(process.address, 2, variant, "--twins") as both,
    ):
        wait(both, held(listed(1, 5)), only=True)
        discovery.call("POST", "/standin/targets", listed(3, 5))
        wait(both, held(listed(3, 5)), only=True)
        whole(both)


@BOTH
def test_a_drain_reaches_all_and_who_was_not_told_is_named(tmp_path: Path, variant: str) -> None:
    """One that never answers still gets it; one that reads a byte a second can't."""
    before = listed(1, 200)
    after = [before[0] | {"state": "leaving"}, *before[1:]]
    with (
        service(tmp_path, before) as (process, discovery),
        started(("-m", "fakes.relay", process.address)) as relay,
        proxies(process.address, 5, variant) as crowd,
        proxies(relay.address, 1, variant, "--id", "slow") as slow,
    ):
        for some in (crowd, slow):
            wait(some, held(before), only=True)
        say(crowd, do="fault", proxy="p-5", fault={"silent": "endpoints"})
        say(relay, rate=1)
        # The silent one is in the middle of another change when the drain comes.
        more = listed(1, 201)
        discovery.call("POST", "/standin/targets", more)
        wait(crowd, held(more), only=True)
        discovery.call("POST", "/standin/targets", [*after, more[-1]])
        wait(crowd, held(before[:1], DRAINING))
        whole(crowd)
        until_said(process, "drain of 127.0.0.1:20001")
    line = next(x for x in process.log.splitlines() if "drain of 127.0.0.1:20001" in x)
    assert "told in time to 4 proxies, NOT to 2: p-5, slow-1" in line


def test_drains_that_begin_one_after_the_other_are_each_reported(tmp_path: Path) -> None:
    rows = listed(1, 10)
    with (
        service(tmp_path, rows) as (process, discovery),
        proxies(process.address, 3, "whole") as crowd,
    ):
        wait(crowd, held(rows), only=True)
        for i in range(2):
            rows[i] = rows[i] | {"state": "leaving"}
            discovery.call("POST", "/standin/targets", rows)
            wait(crowd, held(rows[: i + 1], DRAINING))
        until_said(process, "drain of 127.0.0.1:20002 told in time to 3 proxies")
    assert "drain of 127.0.0.1:20001 told in time to 3 proxies" in process.log


def until_said(process: Process, text: str) -> None:
    """Wait for a line of the service's log, and keep all that came before it."""
    assert process.popen.stdout is not None
    lines = []
    for line in process.popen.stdout:
        lines.append(line)
        if text in line:
            break
    process.heard += "".join(lines)


def test_270_servers_all_replaced_while_proxies_come_and_go(tmp_path: Path) -> None:
    """In ten steps, as fast as the list tells them; cut and reconnected in between."""
    with (
        service(tmp_path, listed(1, 270)) as (process, discovery),
        proxies(process.address, 11, "whole") as crowd,
        proxies(process.address, 10, "incremental", "--id", "q") as other,
    ):
        for step in range(1, 11):
            discovery.call("POST", "/standin/targets", listed(1 + 27 * step, 270))
            for some, name in ((crowd, f"p-{step}"), (other, f"q-{step}")):
                say(some, do="connect", proxy=name)
        for some in (crowd, other):
            wait(some, held(listed(271, 270)), only=True)
            whole(some)
