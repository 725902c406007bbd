"""Real nodes with nothing before a list service that is slow, down, or polled by too many.

The case of docs/design/cold-start.md at a smaller size: a whole list takes the service less than a
node waits for an answer at most, all of them take much longer.
"""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from fakes.cluster import ClusterOptions, running_cluster
from fakes.discovery import target
from fakes.processes import Process, running_backends, running_process
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints import poll_timing
from tests.harness import accept, answer, listen, node, roster, served_by
from tests.harness import target as listed
from tests.sources.test_cold_start import EMPTY

NODES = 8
SERVERS = 100
LINES = 125  # a second: 0.8 s a list, 6.4 s for all
NEEDED_S = NODES * SERVERS / LINES
BESIDE_S = 2.0  # the first calls' spread over the nodes, and a busy machine


@pytest.fixture
def servers() -> Iterator[list[Process]]:
    with running_backends(2, 2.0) as found:
        yield found


def test_a_cold_fleet_has_its_lists_as_soon_as_the_service_can_give_them(
    servers: list[Process],
) -> None:
    """Without gossip each node polls for itself: none gives a call up before its answer comes."""
    command = ("-m", "fakes.discovery", "--lines", str(LINES))
    with running_process(command) as discovery:
        rows = [target(f"s-{i}", servers[i % 2].address) for i in range(SERVERS)]
        discovery.call("POST", "/standin/targets", rows)
        options = ClusterOptions(
            gossip=False,
            discovery=discovery.address,
            settings={"registry_mode": "ask"},
            overrides=lambda _node: EMPTY,
        )
        with running_cluster(NODES, [], options) as cluster:
            began = time.monotonic()
            while not all(p.is_ready() for p in cluster.nodes.values()):
                assert time.monotonic() - began < 1.1 * NEEDED_S + BESIDE_S
                time.sleep(0.05)
            counters = discovery.call("GET", "/standin/state")
            assert counters["whole"] == NODES  # each list given was one that its node still awaited


def test_a_call_of_a_node_with_no_list_outlives_the_quick_terms(tmp_path: Path) -> None:
    """Its answer comes later than a node with a list would wait, on the same connection."""
    with listen() as discovery, listen() as backend:
        row = listed("s-1", backend.getsockname()[1])
        with node(tmp_path, roster(rev=0), discovery.getsockname()[1]) as n:
            peer = accept(discovery)
            peer.message()
            began = time.monotonic()
            probe = accept(discovery)  # comes once the quick term is over, and asks for nothing
            assert probe.ends() == b""
            assert time.monotonic() - began >= 0.9 * poll_timing.ANSWER_TIMEOUT_NS / SECOND
            probe.close()
            peer.send(answer(_body(roster(row, rev=9))))
            assert "from=9" in accept(discovery).message()[0]
            served_by(n, backend)
            assert n.stop() == 0


def test_a_call_to_a_service_that_can_t_be_reached_any_more_is_given_up(tmp_path: Path) -> None:
    """Its connection stays open and silent, new ones are refused; then it is back."""
    with listen() as backend:
        discovery = listen()
        port = discovery.getsockname()[1]
        row = listed("s-1", backend.getsockname()[1])
        with node(tmp_path, roster(rev=0), port) as n:
            silent = accept(discovery)
            silent.message()
            discovery.close()  # from here on refused, and the call that is out hears nothing
            assert silent.ends() == b""  # given up after a probe, long before its own limit
            with socket.socket() as back:
                back.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                back.bind(("127.0.0.1", port))
                back.listen()
                back.settimeout(10)
                peer = accept(back)
                assert "GET /registry/instances" in peer.message()[0]
                peer.send(answer(_body(roster(row, rev=9))))
                assert "from=9" in accept(back).message()[0]
                served_by(n, backend)
                assert n.stop() == 0


def _body(raw: object) -> bytes:
    return json.dumps(raw).encode()
