"""Real nodes that start without a list, and share what a few of them read from the list service."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from io import StringIO
from pathlib import Path
from typing import Any

import pytest

from fakes.cluster import Cluster, ClusterOptions, running_cluster, wait_until
from fakes.discovery import target
from fakes.processes import Process, running_backends, running_process
from loadbalancer.cli.commands import main as run_command
from tests.gossip_transport.test_transport import received, request_status

NODES = 9
ROWS = 60
EMPTY_KNOWN_LIST = {"known": {"rev": 0, "all": True, "targets": []}}


@pytest.fixture
def servers() -> Iterator[list[Process]]:
    with running_backends(4, 2.0) as processes:
        yield processes


@pytest.fixture
def discovery(servers: list[Process]) -> Iterator[Process]:
    with running_process(("-m", "fakes.discovery", "--lines", "60")) as service:
        service.call("POST", "/standin/targets", rows(servers))
        yield service


@pytest.fixture
def fleet(tmp_path: Path) -> str:
    path = tmp_path / "fleet.toml"
    path.write_text("version = 1\nreaders = 2\n")
    return str(path)


def rows(servers: list[Process], first: int = 0) -> list[dict[str, Any]]:
    """ROWS rows that name only a few real servers, so that reading the list takes a while."""
    return [target(f"s-{i}", servers[i % 4].address) for i in range(first, first + ROWS)]


def list_status(cluster: Cluster, node: int) -> dict[str, Any]:
    status: dict[str, Any] = cluster.status(node)["list"]
    return status


def all_have_version(cluster: Cluster, rev: int, count: int = ROWS) -> bool:
    return all(
        (s := list_status(cluster, n))["rev"] == rev and s["rows"] == count for n in cluster.nodes
    )


def assert_requests_succeed(cluster: Cluster, name: str) -> None:
    assert {
        request_status(cluster.nodes[n], f"{name}{n}-{i}") for n in cluster.nodes for i in range(4)
    } == {200}


def test_nodes_share_their_first_list_while_polls_fail_and_readers_die(
    servers: list[Process], discovery: Process, fleet: str
) -> None:
    """Most polls are rejected, links lose a tenth of the datagrams, and the readers are killed."""
    discovery.call("POST", "/standin/faults", {"refuse": 0.6})
    options = ClusterOptions(
        fleet=fleet,
        discovery=discovery.address,
        settings={"registry_mode": "ask"},
        overrides=lambda _node: EMPTY_KNOWN_LIST,
    )
    with running_cluster(NODES, [], options) as cluster:
        cluster.set_links(loss=0.1)
        # Readiness is read first, so that a list that arrives between the two calls does no harm.
        ready = [n for n, process in cluster.nodes.items() if process.is_ready()]
        assert all(list_status(cluster, n)["rows"] for n in ready)
        wait_until(lambda: any(list_status(cluster, n)["rows"] for n in cluster.nodes))
        reading: list[int] = []
        while not reading:
            reading = [n for n in cluster.nodes if list_status(cluster, n)["reads"]]
        cluster.kill(*reading)
        discovery.call("POST", "/standin/faults", {"refuse": 0.3})
        wait_until(lambda: all_have_version(cluster, 2))
        assert all(p.is_ready() for p in cluster.nodes.values())
        assert_requests_succeed(cluster, "a")
        cluster.start(*reading)
        wait_until(lambda: all_have_version(cluster, 2))
        counters = discovery.call("GET", "/standin/state")
        # Without sharing, the nodes would read NODES complete lists or more. How many fewer they
        # read depends on the order of rejections and deaths, which
        # `test_readers_that_die_while_polls_are_rejected...` bounds over many starts in virtual
        # time.
        assert counters["whole"] < NODES
        assert max(counters["by_second"]) <= 60
        # A change is read by the two readers and shared with all nodes.
        discovery.call("POST", "/standin/targets", rows(servers, 20))
        wait_until(lambda: all_have_version(cluster, 3))
        assert_requests_succeed(cluster, "b")

        def reported() -> bool:
            output = StringIO()
            run_command(["peers", next(iter(cluster.nodes.values())).admin_address], output)
            assert f"list: {ROWS} rows, version 3 of epoch 1" in output.getvalue()
            return ": read, version 3 of epoch 1, " in output.getvalue()

        wait_until(reported)
        after = discovery.call("GET", "/standin/state")
        # Without sharing it would be 40 * NODES. As polls are rejected, further nodes read it too.
        assert after["lines"] - counters["lines"] < 40 * (NODES - 1)


def test_the_list_survives_an_outage_and_a_restart_of_the_services_versions(
    servers: list[Process], discovery: Process, fleet: str
) -> None:
    """A reader is stopped and continued; the service fails, then restarts its versions at 1."""
    options = ClusterOptions(
        fleet=fleet,
        discovery=discovery.address,
        settings={"registry_mode": "ask"},
        overrides=lambda _node: EMPTY_KNOWN_LIST,
    )
    with running_cluster(5, [], options) as cluster:
        wait_until(lambda: all_have_version(cluster, 2))
        reader = next(n for n in cluster.nodes if list_status(cluster, n)["reads"])
        cluster.signal(signal.SIGSTOP, reader)
        discovery.call("POST", "/standin/targets", rows(servers, 5))
        others = [n for n in cluster.nodes if n != reader]
        wait_until(lambda: all(list_status(cluster, n)["rev"] == 3 for n in others))
        cluster.signal(signal.SIGCONT, reader)
        wait_until(lambda: all_have_version(cluster, 3))
        # Its watch stayed open at the service, and the old answer to it changes nothing.
        discovery.call("POST", "/standin/faults", {"status": 503})
        discovery.call("POST", "/standin/targets", rows(servers, 5))  # ends the watches
        assert_requests_succeed(cluster, "c")
        discovery.call("POST", "/standin/faults", {"rev": 1})
        discovery.call("POST", "/standin/targets", rows(servers, 8))
        wait_until(lambda: all_have_version(cluster, 2), 60)
        epochs = {list_status(cluster, n)["epoch"] for n in cluster.nodes}
        assert len(epochs) == 1
        assert min(epochs) >= 2
        assert_requests_succeed(cluster, "d")


def test_nodes_cut_off_from_the_list_service_converge_on_its_list_after_a_partition(
    servers: list[Process], discovery: Process, fleet: str
) -> None:
    """Two nodes learn of a drain and of a server replaced at its address; three do not."""
    old = rows(servers)
    options = ClusterOptions(
        fleet=fleet,
        settings={"registry_mode": "ask"},
        overrides=lambda n: {
            "discovery": discovery.address if n < 2 else "127.0.0.1:1",
            "known": {"rev": 2, "all": True, "targets": old},
        },
    )
    with running_cluster(5, [], options) as cluster:
        cluster.cut([0, 1], [2, 3, 4])
        cluster.agree({0, 1}, [0, 1])
        cluster.agree({2, 3, 4}, [2, 3, 4])
        # All rows of server 1 drain; in one row of server 0 the address gets a new uid.
        new = [row | ({"state": "leaving"} if i % 4 == 1 else {}) for i, row in enumerate(old)]
        new[0] = target("s-900", servers[0].address)
        discovery.call("POST", "/standin/targets", new)
        wait_until(lambda: all(list_status(cluster, n)["rev"] == 3 for n in (0, 1)))
        assert all(list_status(cluster, n)["rev"] == 2 for n in (2, 3, 4))
        assert_requests_succeed(cluster, "e")
        cluster.restore_links()
        cluster.set_links(loss=0.1)
        wait_until(lambda: all_have_version(cluster, 3))
        cluster.agree(set(range(5)))
        before = received(servers[1])
        assert_requests_succeed(cluster, "f")
        assert_requests_succeed(cluster, "g")
        assert received(servers[1]) == before
        assert (
            len({(s["epoch"], s["rev"]) for s in (list_status(cluster, n) for n in cluster.nodes)})
            == 1
        )


def test_a_new_address_of_the_list_is_polled_by_the_readers_alone(
    servers: list[Process], discovery: Process, fleet: str
) -> None:
    """All nodes reload; each started with an old list of a higher version than the service's."""
    other = [row | {"boot_ms": 77} for row in rows(servers, 40)]
    with running_process(("-m", "fakes.discovery", "--lines", "60")) as second:
        second.call("POST", "/standin/faults", {"rev": 1})
        second.call("POST", "/standin/targets", rows(servers, 7))
        options = ClusterOptions(
            fleet=fleet,
            discovery=discovery.address,
            settings={"registry_mode": "ask"},
            overrides=lambda _node: {"known": {"rev": 500, "all": True, "targets": other}},
        )
        with running_cluster(5, [], options) as cluster:
            wait_until(lambda: all_have_version(cluster, 2))
            assert discovery.call("GET", "/standin/state")["whole"] <= 3
            for node in cluster.nodes:
                path = Path(cluster.config(node)["PROXY_CONFIG"])
                path.write_text(path.read_text().replace(discovery.address, second.address))
            discovery.call("POST", "/standin/targets", rows(servers, 20))  # version 3
            wait_until(lambda: all_have_version(cluster, 3))
            cluster.signal(signal.SIGHUP, *cluster.nodes)
            wait_until(
                lambda: all_have_version(cluster, 2) and list_status(cluster, 0)["epoch"] == 2
            )
            assert second.call("GET", "/standin/state")["asked for all"] <= 2
            assert_requests_succeed(cluster, "h")
