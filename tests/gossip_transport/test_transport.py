"""Tests of real nodes with faulty links, and of one node with peers that send false records."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from functools import partial
from http.client import HTTPConnection, HTTPException
from io import StringIO
from pathlib import Path
from typing import Any

import msgpack
import pytest

from fakes.cluster import Cluster, ClusterOptions, running_cluster, wait_until
from fakes.discovery import target
from fakes.processes import Process, running_backends, running_process
from loadbalancer.cli.commands import main as run_command
from loadbalancer.core.balancing.model import State
from loadbalancer.core.gossip.messages import (
    DrainRecord,
    MemberRecord,
    Message,
    MessageKind,
    Observation,
)
from loadbalancer.gossip_transport.codec import decode, encode, fleet_number
from loadbalancer.sources.endpoint_list import backend_id
from tests.harness import answer, listen, node, request, roster
from tests.harness import target as listed_target

NODES = 5


@pytest.fixture
def servers() -> Iterator[list[Process]]:
    with running_backends(4, 2.0) as found:
        yield found


def request_status(process: Process, rid: str, path: str = "/balance/1") -> int:
    connection = HTTPConnection(process.address, timeout=20)
    headers = {"X-Request-ID": rid, "X-Priority-Class": "balance", "X-Timeout-Ms": "1500"}
    connection.request("GET", path, headers=headers | {"Host": "app.svc"})
    status = connection.getresponse().status
    connection.close()
    return status


def received(server: Process) -> int:
    state: dict[str, int] = server.call("GET", "/standin/state")
    return state.get("received", 0)


def drain_first(servers: list[Process], discovery: Process) -> None:
    """Set the rows of the list service to these servers, with the first of them leaving."""
    rows = [target(f"s-{i}", s.address) for i, s in enumerate(servers, 1)]
    rows[0]["state"] = "leaving"
    discovery.call("POST", "/standin/targets", rows)


def test_a_drain_that_one_node_reads_reaches_all_after_a_partition(servers: list[Process]) -> None:
    """Only node 0 reads that a server drains, while nodes 0 and 1 are cut off from the others.

    After the partition the others must not send requests to that server.
    """
    targets = [arg for i, s in enumerate(servers, 1) for arg in ("--target", f"s-{i}={s.address}")]
    with (
        running_process(("-m", "fakes.discovery", *targets)) as discovery,
        running_cluster(
            NODES,
            [s.address for s in servers],
            ClusterOptions(
                overrides=lambda n: {"discovery": discovery.address} if n == 0 else {},
                settings={"registry_mode": "ask"},
            ),
        ) as cluster,
    ):
        drained = f"{backend_id('s-1'):016x}"
        cluster.cut([0, 1], [2, 3, 4])
        cluster.agree({0, 1}, [0, 1])
        cluster.agree({2, 3, 4}, [2, 3, 4])
        drain_first(servers, discovery)

        def knows(n: int) -> bool:
            return any(
                s == drained and who == "list" for s, who, *_ in cluster.status(n)["servers"]
            )

        wait_until(lambda: knows(1))
        assert not any(knows(n) for n in (2, 3, 4))
        cluster.restore_links()
        cluster.set_links(loss=0.1)
        for n in (2, 3, 4):
            wait_until(lambda n=n: knows(n))  # type: ignore[misc]
        cluster.agree(set(range(NODES)))
        before = received(servers[0])
        statuses = {
            request_status(cluster.nodes[n], f"r{n}-{i}")
            for n in range(1, NODES)
            for i in range(12)
        }
        assert statuses == {200}
        assert received(servers[0]) == before  # no further request to the leaving server


def test_crashes_pauses_and_restarts_are_detected_and_no_request_fails(
    servers: list[Process],
) -> None:
    """One node is killed and another paused; then all but one are killed and restarted."""
    with running_cluster(NODES, [s.address for s in servers]) as cluster:
        cluster.agree(set(range(NODES)))
        cluster.kill(3)
        cluster.signal(signal.SIGSTOP, 4)
        cluster.agree({0, 1, 2}, [0, 1, 2])
        assert {request_status(cluster.nodes[0], f"a{i}") for i in range(20)} == {200}
        shown = StringIO()
        assert (
            run_command(["peers", cluster.nodes[0].admin_address], shown) == 1
        )  # the exit status for dead nodes
        assert "3 of 5 nodes live" in shown.getvalue()
        assert "node 3 dead, incarnation" in shown.getvalue()
        cluster.signal(signal.SIGCONT, 4)
        cluster.start(3)
        cluster.agree(set(range(NODES)))
        counts = cluster.status(4)["counts"]
        assert counts["stalls"] >= 1
        assert counts["waited too long"] > 0
        cluster.kill(0, 1, 2, 3)
        cluster.agree({4}, [4])  # the only running node
        assert {request_status(cluster.nodes[4], f"b{i}") for i in range(20)} == {200}
        cluster.start(0, 1, 2, 3)
        cluster.agree(set(range(NODES)))
        cluster.signal(signal.SIGTERM, 2)
        wait_until(lambda: [2, "left"] in [row[:2] for row in cluster.status(0)["nodes"]])


def test_a_server_that_failed_at_two_nodes_gets_few_attempts_from_the_others(
    servers: list[Process],
) -> None:
    """A server resets every connection. Without gossip each node ejects it after four attempts."""
    with running_cluster(NODES, [s.address for s in servers]) as cluster:
        cluster.agree(set(range(NODES)))
        servers[1].call("POST", "/standin/faults", {"reset": 1.0})
        bad = f"{backend_id('s-2'):016x}"

        def verdict_after_request_at(observer: int) -> str:
            """Send a request to a node, which may try the server; returns the verdict at node 4."""
            assert (
                request_status(cluster.nodes[observer], f"m{observer}-{time.monotonic_ns()}") == 200
            )
            return cluster.verdicts(4).get(bad, "-")

        wait_until(lambda: verdict_after_request_at(0) != "-" or verdict_after_request_at(1) != "-")
        for n in (2, 3, 4):
            wait_until(lambda n=n: cluster.verdicts(n).get(bad) != "-")  # type: ignore[misc]
        shown = StringIO()
        assert run_command(["peers", cluster.nodes[4].admin_address], shown) == 0
        assert f"server {bad}: " in shown.getvalue()
        assert " s ago: failures " in shown.getvalue()
        before = received(servers[1])
        for n in (2, 3, 4):
            assert {request_status(cluster.nodes[n], f"s{n}-{i}") for i in range(20)} == {200}
        assert received(servers[1]) - before <= 6  # without gossip 4 for each of the three nodes
        servers[1].call("POST", "/standin/faults", {})
        wait_until(lambda: verdict_after_request_at(0) == verdict_after_request_at(1) == "-")


def test_lost_late_duplicated_and_corrupted_messages_fail_no_request(
    servers: list[Process],
) -> None:
    with running_cluster(NODES, [s.address for s in servers]) as cluster:
        cluster.set_links(loss=0.3, delay_ms=200, jitter_ms=400, double=0.2, broken=0.2)
        assert {request_status(cluster.nodes[i % NODES], f"x{i}") for i in range(60)} == {200}
        wait_until(
            lambda: all(cluster.status(n)["counts"].get("broken", 0) > 3 for n in cluster.nodes)
        )
        cluster.set_links()
        cluster.agree(set(range(NODES)))


def test_nodes_with_different_lists_of_nodes_work_together(servers: list[Process]) -> None:
    """The list of node 4 lacks node 0, and that of node 3 lacks node 4. The others are complete."""
    clusters: list[Cluster] = []

    def overrides(n: int) -> dict[str, Any]:
        peers = list(clusters[0].addresses[n])
        if n == 4:
            peers[0] = "127.0.0.1:1"
        return {"peers": peers[:4] if n == 3 else peers}

    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(_folder())
        options = ClusterOptions(overrides=overrides)
        cluster = stack.enter_context(Cluster(NODES, [s.address for s in servers], folder, options))
        clusters.append(cluster)
        cluster.start()
        cluster.agree(set(range(NODES)), [0, 1, 2])
        cluster.agree({0, 1, 2, 3}, [3])
        wait_until(lambda: cluster.status(3)["counts"].get("unlisted", 0) > 0)
        assert {request_status(cluster.nodes[n], f"d{n}") for n in cluster.nodes} == {200}


@contextlib.contextmanager
def _folder() -> Iterator[Path]:
    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        yield Path(folder)


# Tests of one node with scripted peers.


@contextlib.contextmanager
def scripted_peers(tmp_path: Path, count: int = 3, **overrides: Any) -> Iterator[Any]:
    """Run node 0 of `count` nodes; yields it, the sockets of its peers, its address, a server."""
    peers = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in peers:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(20)
    ports = [sock.getsockname()[1] for sock in peers]
    peers[0].close()
    with listen() as server:
        known = roster(listed_target("s-1", server.getsockname()[1]))
        more = {
            "peer_listen": f"127.0.0.1:{ports[0]}",
            "peers": [f"127.0.0.1:{p}" for p in ports],
            "admin": "127.0.0.1:0",
            "settings": {"balancers": count, "limits": LIMITS | {"peers": True}},
        }
        with node(tmp_path, known, **(more | overrides)) as n:
            yield n, peers, ("127.0.0.1", ports[0]), server
    for sock in peers:
        sock.close()


LIMITS: dict[str, Any] = {
    "max_attempts": 4, "dial_timeout": 250_000_000, "idle_close": 60_000_000_000,
    "max_retry_after": 2_000_000_000, "retry_after": True,
}  # fmt: skip


def counters_of(n: Any) -> dict[str, int]:
    """The counters in the gossip status of a node."""
    counts: dict[str, int] = json.loads(n.call("GET /peers")[2])["counts"]
    return counts


def discarded(n: Any) -> int:
    """How many datagrams the node has discarded after a pause."""
    return counters_of(n).get("waited too long", 0)


def deliver(n: Any, send: Callable[[], object], has_arrived: Callable[[], bool]) -> None:
    """Send, and send again whenever the node has discarded datagrams, until they have arrived.

    A node that was paused for a second discards the datagrams in its socket, because their age is
    unknown. Such pauses also happen on a busy machine.
    """
    while not has_arrived():
        before = discarded(n)
        send()
        wait_until(partial(is_settled, n, has_arrived, before))


def is_settled(n: Any, has_arrived: Callable[[], bool], before: int) -> bool:
    """Whether the datagrams have arrived, or more than `before` have been discarded."""
    return has_arrived() or discarded(n) > before


def served(n: Any, server: socket.socket) -> str:
    client = n.connect()
    client.send(request())
    peer, _ = server.accept()
    peer.settimeout(20)
    peer.recv(65536)
    peer.sendall(answer(b"ok"))
    line: str = client.message()[0]
    client.close()
    peer.close()
    return line


def test_floods_of_invalid_datagrams_fail_no_request(tmp_path: Path) -> None:
    """A peer sends malformed, foreign and outdated messages, and then valid ones above the rate.

    They are counted by cause, and the node continues to serve requests. Messages that waited in the
    socket during a pause of the node are not processed after it.
    """
    number = fleet_number("nodes")
    message = Message(MessageKind.GOSSIP, 1, 50)
    good = encode(message, number)
    kinds = {
        "short": b"abc",
        "broken": good[:-1] + b"\xff",
        "another tier": encode(message, number ^ 1),
        "misnamed": encode(message._replace(origin=2), number),
        "unsound": encode(
            message._replace(records=(Observation(1, 0, 9, 1, 1, 99, 0, 0, 0, 0),)), number
        ),
        "old": encode(message._replace(incarnation=3), number),
    }
    with scripted_peers(tmp_path) as (n, peers, to, server):
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

        def send_bad() -> None:
            peers[1].sendto(good, to)
            for data in kinds.values():
                for _ in range(20):
                    peers[1].sendto(data, to)
            stranger.sendto(good, to)

        def counts() -> dict[str, int]:
            return counters_of(n)

        deliver(n, send_bad, lambda: all(counts().get(kind) for kind in (*kinds, "unlisted")))
        for _ in range(10_000):
            peers[1].sendto(good, to)
        assert served(n, server) == "HTTP/1.1 200 OK"
        wait_until(lambda: counts().get("too many", 0) > 0)
        # A stopped node reads none of them: the buffer of its socket fills, and the rest is lost.
        before = sum(counts().values())
        n.process.send_signal(signal.SIGSTOP)
        for _ in range(10_000):
            peers[1].sendto(good, to)
        n.process.send_signal(signal.SIGCONT)
        assert served(n, server) == "HTTP/1.1 200 OK"
        later = encode(message._replace(incarnation=51), number)

        def accepted() -> bool:
            peers[1].sendto(later, to)
            return any(r[2] == 51 for r in json.loads(n.call("GET /peers")[2])["nodes"])

        wait_until(accepted)
        assert sum(counts().values()) - before < 5_000
        stranger.close()


def test_additions_of_later_versions_to_messages_are_ignored(tmp_path: Path) -> None:
    import struct
    from zlib import crc32

    rows = [[9, 1, 2], [1, backend_id("s-1"), 0, 7, int(State.DRAINING), 0, 77]]
    body = struct.pack(">BH", 1, fleet_number("nodes"))
    # A message of an unknown kind, and one of a known kind with an unknown record and field.
    later = body + msgpack.packb([99, 1, 50, 0, -1, [], [], "more"])
    body += msgpack.packb([3, 1, 50, 0, -1, [], rows, "more"])
    with scripted_peers(tmp_path) as (n, peers, to, _server):

        def drained() -> bool:
            servers = json.loads(n.call("GET /peers")[2])["servers"]
            return any(text == "draining by list 7" for *_, text, _ in servers)

        def send(datagram: bytes) -> Callable[[], object]:
            return lambda: peers[1].sendto(struct.pack(">I", crc32(datagram)) + datagram, to)

        deliver(n, send(later), lambda: counters_of(n).get("unknown kind", 0) > 0)
        deliver(n, send(body), drained)
        assert counters_of(n)["unknown kind"] == 1
        client = n.connect()
        client.send(request())
        assert client.message()[0].startswith("HTTP/1.1 503")  # its only server is drained


def test_a_node_refutes_its_own_death_and_ignores_drains_of_other_server_starts(
    tmp_path: Path,
) -> None:
    """A peer sends records that this node is dead, and that its only server is removed."""
    number = fleet_number("nodes")
    with scripted_peers(tmp_path) as (n, peers, to, server):
        first = json.loads(n.call("GET /peers")[2])["incarnation"]
        records = (
            MemberRecord(0, first + 5, 2),
            DrainRecord(backend_id("s-1"), 3, 9, State.GONE, 0),
        )
        datagram = encode(Message(MessageKind.GOSSIP, 1, 50, records=records), number)

        def refuted() -> bool:
            return bool(json.loads(n.call("GET /peers")[2])["incarnation"] == first + 6)

        deliver(n, lambda: peers[1].sendto(datagram, to), refuted)
        assert (
            served(n, server) == "HTTP/1.1 200 OK"
        )  # the record is about another start of the server


def test_an_idle_node_leases_its_slots_to_one_node_and_reports_it(tmp_path: Path) -> None:
    number = fleet_number("nodes")
    with scripted_peers(tmp_path, 5) as (n, peers, to, server):

        def leased_to(node: int, serial: int) -> int:
            """The bit mask of server groups granted to a peer; -1 if no grant arrives.

            Meanwhile the peer acknowledges pings, so that it counts as alive.
            """
            peers[node].settimeout(0.1)
            peers[node].sendto(
                encode(Message(MessageKind.LEASE_REQUEST, node, 50, serial), number), to
            )
            with contextlib.suppress(TimeoutError):
                while True:
                    message = decode(peers[node].recv(2048), number)
                    assert message is not None
                    if message.kind == MessageKind.LEASE_GRANT and message.serial == serial:
                        return message.subject
                    if message.kind == MessageKind.PING:
                        back = Message(MessageKind.ACK, node, 50, message.serial, node)
                        peers[node].sendto(encode(back, number), to)
            return -1

        def reported() -> bool:
            shown = StringIO()
            run_command(["peers", f"127.0.0.1:{n.admin}"], shown)
            return "slots lent: at 8 in 8 servers to node 2" in shown.getvalue()

        # No grants at first: an earlier process of this node may have leased out its slots.
        wait_until(lambda: leased_to(2, 77) == 255 and leased_to(4, 78) == 0 and reported())
        assert leased_to(1, 79) == -1  # a node of another zone has no slots at these servers
        assert served(n, server) == "HTTP/1.1 200 OK"
        # Two processes with one node number: neither may use slots leased to the other.
        for serial in range(4):
            peers[2].sendto(encode(Message(MessageKind.LEASE_REQUEST, 2, 60, 90), number), to)
            peers[2].sendto(
                encode(Message(MessageKind.LEASE_REQUEST, 2, 50, 91 + serial), number), to
            )

        def granted_nothing() -> bool:
            peers[2].sendto(encode(Message(MessageKind.LEASE_REQUEST, 2, 60, 99), number), to)
            with contextlib.suppress(TimeoutError):
                while True:
                    message = decode(peers[2].recv(2048), number)
                    if (
                        message is not None
                        and message.kind == MessageKind.LEASE_GRANT
                        and message.serial == 99
                    ):
                        return message.subject == 0
            return False

        wait_until(granted_nothing)
        assert [r for r in json.loads(n.call("GET /peers")[2])["nodes"] if r[0] == 2 and r[4]]


def test_without_the_setting_no_socket_is_opened_and_no_codec_is_loaded(tmp_path: Path) -> None:
    off = {"balancers": 3, "limits": LIMITS}
    with scripted_peers(tmp_path, settings=off) as (n, _peers, to, server):
        maps = Path(f"/proc/{n.process.pid}/maps").read_text()
        assert "msgpack" not in maps
        probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        probe.bind(to)  # fails if the node has bound it
        probe.close()
        assert n.call("GET /peers")[0] == "HTTP/1.1 404 Not Found"
        assert run_command(["peers", f"127.0.0.1:{n.admin}"]) == 2
        assert run_command(["peers", "127.0.0.1:1"]) == 2
        assert served(n, server) == "HTTP/1.1 200 OK"


def test_the_two_processes_of_an_upgrade_are_one_member(servers: list[Process]) -> None:
    """If both took part in gossip, the other nodes would trust neither of them."""
    with listen() as free:
        port = free.getsockname()[1]
    at = {"listen": f"127.0.0.1:{port}"}
    options = ClusterOptions(overrides=lambda n: {} if n else at)
    with running_cluster(3, [s.address for s in servers], options) as cluster:
        cluster.agree({0, 1, 2})
        first = cluster.status(0)["incarnation"]
        with running_process(("-m", "loadbalancer"), cluster.config(0)) as successor:
            successor.collect_log()
            wait_until(lambda: "gossip between 3 nodes" in successor.log_text)
            other = Process(successor.child, successor.admin_address)
            wait_until(lambda: other.call("GET", "/peers")["caught_up"])
            incarnations = [r[2] for r in cluster.status(1)["nodes"] if r[0] == 0]
            assert incarnations[0] >= first
            assert not [r for r in cluster.status(1)["nodes"] if r[4]]  # no member is untrusted


def test_leases_end_on_pauses_and_upgrades_and_no_server_exceeds_its_slots(
    servers: list[Process], tmp_path: Path
) -> None:
    """Three nodes use servers with three slots each. Node 0 has all clients, and leases slots."""
    fleet = tmp_path / "fleet.toml"
    fleet.write_text("version = 1\nseats = 3\n")
    with listen() as free:
        at = {"listen": f"127.0.0.1:{free.getsockname()[1]}"}
    for server in servers:
        server.call("POST", "/standin/faults", {"slow": 10.0})
    with (
        running_cluster(
            3,
            [s.address for s in servers],
            ClusterOptions(fleet=str(fleet), overrides=lambda n: {} if n else at),
        ) as cluster,
        contextlib.ExitStack() as stack,
    ):
        cluster.agree({0, 1, 2})
        clients = SteadyClients(cluster.nodes[0].address)
        stack.callback(clients.stop)

        def grantors() -> list[int]:
            return [row[0] for row in cluster.status(0)["borrowed"]]

        wait_until(lambda: bool(grantors()))
        grantor = grantors()[0]
        cluster.signal(signal.SIGSTOP, grantor)
        wait_until(lambda: grantor not in grantors())  # the lease expires, as no message can end it
        cluster.signal(signal.SIGCONT, grantor)
        wait_until(lambda: bool(grantors()))
        grantor = grantors()[0]
        wait_until(lambda: any(row[0] == 0 for row in cluster.status(grantor)["lent"]))
        cluster.signal(signal.SIGSTOP, 0)
        wait_until(lambda: not cluster.status(grantor)["lent"])
        cluster.signal(signal.SIGCONT, 0)
        wait_until(lambda: bool(grantors()))
        # An upgrade under load: the new process gets leases after the old one has stopped.
        with running_process(("-m", "loadbalancer"), cluster.config(0)) as successor:
            successor.collect_log()
            cluster.signal(signal.SIGTERM, 0)
            cluster.nodes[0].child.wait(20)
            cluster.nodes[0].admin_address = successor.admin_address
            wait_until(lambda: bool(grantors()))
            clients.stop()
        # Requests in flight at a paused node are late when it continues, and get an error response.
        assert clients.statuses <= {200, 502, 503, 504}
        assert 200 in clients.statuses
    assert max(s.call("GET", "/standin/state")["most_held"] for s in servers) <= 3


class SteadyClients:
    """Twelve clients that send requests to one address continuously, until `stop`."""

    def __init__(self, address: str) -> None:
        self.statuses: set[int] = set()
        self._address = address
        self._stopping = threading.Event()
        self._threads = [threading.Thread(target=self._send_requests, args=(i,)) for i in range(12)]
        for thread in self._threads:
            thread.start()

    def _send_requests(self, client: int) -> None:
        sent = 0
        while not self._stopping.is_set():
            sent += 1
            with contextlib.suppress(OSError, HTTPException):
                process = Process(None, self._address)  # type: ignore[arg-type]
                self.statuses.add(request_status(process, f"g{client}-{sent}"))

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()
