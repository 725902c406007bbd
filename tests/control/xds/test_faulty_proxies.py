"""Tests of the control service with scripted proxies, some of which break the protocol."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from fakes.processes import Process, running_process
from tests.control.xds.support import (
    control_service,
    resource_statuses,
    wait_for_log,
)
from tests.harness import roster, target, until

HEALTHY, DRAINING = 1, 3  # core.v3.HealthStatus
# The names of all resources of the only pool, by type.
ALL_RESOURCES = {
    "cluster": {"topup"},
    "endpoints": {"topup"},
    "listener": {"main"},
    "routes": {"wharfspread"},
}
BOTH_VARIANTS = pytest.mark.parametrize("variant", ["sotw", "incremental"])


def send_command(process: Process, **fields: Any) -> Any:
    """Send a command to a process of scripted proxies or to the relay; return its answer."""
    return json.loads(process.send_line(json.dumps(fields)))


@contextlib.contextmanager
def scripted_proxies(address: str, count: int, variant: str, *more: str) -> Iterator[Process]:
    arguments = ("-m", "fakes.xds_proxy", address, "--count", str(count), "--variant", variant)
    with running_process((*arguments, *more)) as process:
        send_command(process, do="connect")
        yield process


@contextlib.contextmanager
def service_and_discovery(
    tmp_path: Path, targets: list[dict[str, Any]]
) -> Iterator[tuple[Process, Process]]:
    """Run discovery, and a control service that gets its list from there."""
    with running_process(("-m", "fakes.discovery")) as discovery:
        discovery.call("POST", "/standin/targets", targets)
        known = roster(*targets)
        with control_service(tmp_path, known, discovery.address) as process:
            yield process, discovery


def target_list(first: int, count: int) -> list[dict[str, Any]]:
    return [dict(target(f"s-{i}", 20000 + i)) for i in range(first, first + count)]


def endpoints_of(targets: list[dict[str, Any]], health: int = HEALTHY) -> dict[str, int]:
    return {str(t["endpoint"]): health for t in targets}


def wait_until_applied(
    process: Process, servers: dict[str, int], *except_for: str, only: bool = False
) -> None:
    """Wait until every proxy has applied these servers and has all resources.

    On a new stream the listener and its routes may arrive after the endpoints, so a proxy that has
    just connected can have all servers but no routes yet.
    """
    answer = send_command(
        process, do="wait", service="topup", servers=servers, exempt=except_for, exactly=only
    )
    assert answer == {"missing": []}
    until(lambda: not incomplete_proxies(process, *except_for))


def states_without_error(process: Process) -> dict[str, Any]:
    """Return all proxies' states, after checking that none has recorded a violation."""
    states: dict[str, Any] = send_command(process, do="state")
    assert {n: s["violations"] for n, s in states.items() if s["violations"]} == {}
    return states


def resource_names(state: dict[str, Any]) -> dict[str, set[str]]:
    """Return the names of the resources that a proxy has, by type."""
    return {kind: set(versions) for kind, versions in state["versions"].items()}


def incomplete_proxies(process: Process, *except_for: str) -> dict[str, Any]:
    """Return the resource names of the proxies that do not have all resources yet."""
    states = states_without_error(process)
    found = {n: resource_names(s) for n, s in states.items() if n not in except_for}
    return {n: names for n, names in found.items() if names != ALL_RESOURCES}


def consistent_states(process: Process, *except_for: str) -> dict[str, Any]:
    """Return all proxies' states, after checking for violations and missing resources."""
    states = states_without_error(process)
    for name, state in states.items():
        if name not in except_for:
            assert resource_names(state) == ALL_RESOURCES, name
    return states


def end_status(process: Process, name: str) -> str:
    """Return the status with which a proxy's last stream ended, "" while it is open."""
    return str(send_command(process, do="state")[name]["end_status"])


def recorded_versions(process: Process) -> dict[str, dict[str, str]]:
    """Return the versions of each proxy's resources as recorded by the service, by type."""
    out: dict[str, dict[str, str]] = {}
    for (node, kind), row in resource_statuses(process).items():
        out.setdefault(node, {})[kind.rpartition(".")[2]] = row.version_info
    return out


@BOTH_VARIANTS
def test_all_proxies_converge_to_the_versions_that_the_service_records(
    tmp_path: Path, variant: str
) -> None:
    with (
        service_and_discovery(tmp_path, target_list(1, 30)) as (process, discovery),
        scripted_proxies(process.address, 21, variant) as proxies,
    ):
        wait_until_applied(proxies, endpoints_of(target_list(1, 30)), only=True)
        discovery.call("POST", "/standin/targets", target_list(5, 40))
        wait_until_applied(proxies, endpoints_of(target_list(5, 40)), only=True)
        states = consistent_states(proxies)
        records = recorded_versions(process)
        versions = {s["versions"]["endpoints"]["topup"] for s in states.values()}
        assert len(versions) == 1
        if variant == "incremental":
            for name, state in states.items():
                assert records[name]["ClusterLoadAssignment"] in versions
                assert records[name]["Cluster"] == state["versions"]["cluster"]["topup"]


FAULTS: list[dict[str, Any]] = [
    {"silent": "all"},
    {"silent": "endpoints"},
    {"nack": "cluster"},
    {"nack": "endpoints"},
    {"nack": "listener"},
    {"nack": "routes"},
    {"stale_nonce": True},
    {"invented_nonce": True},
    {"unknown_type": True},
    {"flood": 1000},
    {"stops_reading": True},
]


@BOTH_VARIANTS
def test_a_faulty_proxy_does_not_affect_others(tmp_path: Path, variant: str) -> None:
    """Eleven proxies each break the protocol in a different way, for example by not answering or
    by flooding the service; three are correct. After two changes of the list the correct proxies
    must have both, and the faulty ones must be served as far as their fault allows.
    """
    count = len(FAULTS) + 3
    names = [f"p-{i}" for i in range(1, len(FAULTS) + 1)]
    # A request with a stale or invented nonce is ignored; the valid one that follows it counts.
    faulty = [
        n
        for n, f in zip(names, FAULTS, strict=True)
        if not f.keys() & {"stale_nonce", "invented_nonce"}
    ]
    with (
        service_and_discovery(tmp_path, target_list(1, 10)) as (process, discovery),
        scripted_proxies(process.address, count, variant) as proxies,
    ):
        wait_until_applied(proxies, endpoints_of(target_list(1, 10)), only=True)
        for name, fault in zip(names, FAULTS, strict=True):
            send_command(proxies, do="fault", proxy=name, fault=fault)
        rejecting = names[FAULTS.index({"nack": "endpoints"})]
        for change, first in enumerate((3, 6), 1):
            discovery.call("POST", "/standin/targets", target_list(first, 10))
            wait_until_applied(proxies, endpoints_of(target_list(first, 10)), *faulty, only=True)
            # `wait_until_applied` does not wait for this proxy, so it may get the change later.
            until(
                lambda n=change: consistent_states(proxies, *faulty)[rejecting]["rejections"] >= n
            )
        names_by_fault = {str(FAULTS[names.index(n)]): n for n in names}
        # Which status a proxy sees depends on whether its own writes fail first. The status that
        # the service sends is tested in test_stream.py.
        for cause in ("{'unknown_type': True}", "{'flood': 1000}"):
            until(lambda name=names_by_fault[cause]: end_status(proxies, name) not in ("", "OK"))
        # Once its fault is removed, the proxy accepts the resource it rejected when that changes.
        assert (
            consistent_states(proxies, *faulty)[rejecting]["rejections"] == 2
        )  # each change was sent and rejected only once
        send_command(proxies, do="fault", proxy=rejecting, fault={})
        discovery.call("POST", "/standin/targets", target_list(8, 10))
        wait_until_applied(
            proxies,
            endpoints_of(target_list(8, 10)),
            *(n for n in faulty if n != rejecting),
            only=True,
        )


@BOTH_VARIANTS
def test_a_proxy_stays_consistent_when_its_stream_breaks_at_any_byte(
    tmp_path: Path, variant: str
) -> None:
    """The connection is cut at each multiple of 90 bytes while a change is being sent. The proxy
    must keep its resources, and get the latest list after reconnecting.
    """
    with (
        service_and_discovery(tmp_path, target_list(1, 5)) as (process, discovery),
        running_process(("-m", "fakes.relay", process.address)) as relay,
        scripted_proxies(relay.address, 1, variant, "--reconnect") as one,
    ):
        for turn, cut in enumerate(range(0, 3600, 90)):
            # Drop the connection, and cut the next one after `cut` bytes.
            send_command(relay, cut=cut, drop=True)
            discovery.call("POST", "/standin/targets", target_list(turn + 2, 5))
            wait_until_applied(one, endpoints_of(target_list(turn + 2, 5)), only=True)
        consistent_states(one)


@BOTH_VARIANTS
def test_two_proxies_with_the_same_id_are_both_served(tmp_path: Path, variant: str) -> None:
    with (
        service_and_discovery(tmp_path, target_list(1, 5)) as (process, discovery),
        scripted_proxies(process.address, 2, variant, "--same-id") as both,
    ):
        wait_until_applied(both, endpoints_of(target_list(1, 5)), only=True)
        discovery.call("POST", "/standin/targets", target_list(3, 5))
        wait_until_applied(both, endpoints_of(target_list(3, 5)), only=True)
        consistent_states(both)


@BOTH_VARIANTS
def test_a_drain_reaches_every_proxy_and_those_that_miss_it_are_logged(
    tmp_path: Path, variant: str
) -> None:
    """A server drains while two of six proxies are faulty. One never acknowledges: it is sent the
    drain, but counts as not notified. The other reads one byte a second and can't get the drain in
    time. The log must name both.
    """
    before = target_list(1, 200)
    after = [before[0] | {"state": "leaving"}, *before[1:]]
    with (
        service_and_discovery(tmp_path, before) as (process, discovery),
        running_process(("-m", "fakes.relay", process.address)) as relay,
        scripted_proxies(process.address, 5, variant) as proxies,
        scripted_proxies(relay.address, 1, variant, "--id", "slow") as slow,
    ):
        for group in (proxies, slow):
            wait_until_applied(group, endpoints_of(before), only=True)
        send_command(proxies, do="fault", proxy="p-5", fault={"silent": "endpoints"})
        send_command(relay, rate=1)
        # When the drain starts, p-5 has not acknowledged another change yet.
        more = target_list(1, 201)
        discovery.call("POST", "/standin/targets", more)
        wait_until_applied(proxies, endpoints_of(more), only=True)
        discovery.call("POST", "/standin/targets", [*after, more[-1]])
        wait_until_applied(proxies, endpoints_of(before[:1], DRAINING))
        consistent_states(proxies)
        wait_for_log(process, "drain of 127.0.0.1:20001")
    line = next(x for x in process.log_text.splitlines() if "drain of 127.0.0.1:20001" in x)
    assert "acknowledged in time by 4 proxies, NOT by 2: p-5, slow-1" in line


def test_overlapping_drains_are_reported_separately(tmp_path: Path) -> None:
    rows = target_list(1, 10)
    with (
        service_and_discovery(tmp_path, rows) as (process, discovery),
        scripted_proxies(process.address, 3, "sotw") as proxies,
    ):
        wait_until_applied(proxies, endpoints_of(rows), only=True)
        for i in range(2):
            rows[i] = rows[i] | {"state": "leaving"}
            discovery.call("POST", "/standin/targets", rows)
            wait_until_applied(proxies, endpoints_of(rows[: i + 1], DRAINING))
        wait_for_log(process, "drain of 127.0.0.1:20002 acknowledged in time by 3 proxies")
    assert "drain of 127.0.0.1:20001 acknowledged in time by 3 proxies" in process.log_text


def test_all_270_servers_are_replaced_while_proxies_reconnect(tmp_path: Path) -> None:
    """The list is replaced completely in ten steps; in each step two proxies reconnect."""
    with (
        service_and_discovery(tmp_path, target_list(1, 270)) as (process, discovery),
        scripted_proxies(process.address, 11, "sotw") as proxies,
        scripted_proxies(process.address, 10, "incremental", "--id", "q") as other,
    ):
        for step in range(1, 11):
            discovery.call("POST", "/standin/targets", target_list(1 + 27 * step, 270))
            for group, name in ((proxies, f"p-{step}"), (other, f"q-{step}")):
                send_command(group, do="connect", proxy=name)
        for group in (proxies, other):
            wait_until_applied(group, endpoints_of(target_list(271, 270)), only=True)
            consistent_states(group)
