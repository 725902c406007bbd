"""Real nodes that start without a list, and a list service that is slow, down or overloaded.

The case of docs/design/cold-start.md at a smaller size: the service needs less time for one
complete list than a node's longest timeout, but much more for the lists of all nodes.
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
from tests.sources.test_cold_start import EMPTY_KNOWN_LIST

NODES = 8
SERVERS = 100
LINES_PER_SECOND = 125  # 0.8 s for one list, 6.4 s for those of all nodes
NEEDED_S = NODES * SERVERS / LINES_PER_SECOND
ALLOWANCE_S = 2.0  # for the spread of the nodes' first calls, and for a busy machine


@pytest.fixture
def servers() -> Iterator[list[Process]]:
    with running_backends(2, 2.0) as processes:
        yield processes


def test_all_nodes_get_their_first_list_as_fast_as_the_service_can_send_them(
    servers: list[Process],
) -> None:
    """Without gossip each node polls for itself, and none drops a call before its answer."""
    command = ("-m", "fakes.discovery", "--lines", str(LINES_PER_SECOND))
    with running_process(command) as discovery:
        rows = [target(f"s-{i}", servers[i % 2].address) for i in range(SERVERS)]
        discovery.call("POST", "/standin/targets", rows)
        options = ClusterOptions(
            gossip=False,
            discovery=discovery.address,
            settings={"registry_mode": "ask"},
            overrides=lambda _node: EMPTY_KNOWN_LIST,
        )
        with running_cluster(NODES, [], options) as cluster:
            began = time.monotonic()
            while not all(p.is_ready() for p in cluster.nodes.values()):
                assert time.monotonic() - began < 1.1 * NEEDED_S + ALLOWANCE_S
                time.sleep(0.05)
            counters = discovery.call("GET", "/standin/state")
            assert counters["whole"] == NODES  # no list was sent to a node that had given up


def test_the_call_of_a_node_without_a_list_outlives_the_usual_timeout(tmp_path: Path) -> None:
    """Its answer arrives on the same connection, later than a node with a list would wait."""
    with listen() as discovery, listen() as backend:
        row = listed("s-1", backend.getsockname()[1])
        with node(tmp_path, roster(rev=0), discovery.getsockname()[1]) as n:
            peer = accept(discovery)
            peer.message()
            began = time.monotonic()
            # The probe is opened when the usual timeout expires, and closed without a request.
            probe = accept(discovery)
            assert probe.ends() == b""
            assert time.monotonic() - began >= 0.9 * poll_timing.ANSWER_TIMEOUT_NS / SECOND
            probe.close()
            peer.send(answer(_body(roster(row, rev=9))))
            assert "from=9" in accept(discovery).message()[0]
            served_by(n, backend)
            assert n.stop() == 0


def test_a_call_to_a_service_that_has_become_unreachable_is_dropped(tmp_path: Path) -> None:
    """The pending connection stays silent and new ones are refused; later the service is back."""
    with listen() as backend:
        discovery = listen()
        port = discovery.getsockname()[1]
        row = listed("s-1", backend.getsockname()[1])
        with node(tmp_path, roster(rev=0), port) as n:
            silent = accept(discovery)
            silent.message()
            # New connections are refused from now on, and the pending call gets no answer.
            discovery.close()
            # The call is dropped after a failed probe, long before its own timeout.
            assert silent.ends() == b""
            with socket.socket() as restarted:
                restarted.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                restarted.bind(("127.0.0.1", port))
                restarted.listen()
                restarted.settimeout(10)
                peer = accept(restarted)
                assert "GET /registry/instances" in peer.message()[0]
                peer.send(answer(_body(roster(row, rev=9))))
                assert "from=9" in accept(restarted).message()[0]
                served_by(n, backend)
                assert n.stop() == 0


def _body(raw: object) -> bytes:
    return json.dumps(raw).encode()
