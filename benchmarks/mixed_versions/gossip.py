"""Nodes of two versions in one gossip group."""

from __future__ import annotations

import json
import socket
import subprocess
from collections import Counter
from collections.abc import Sequence
from contextlib import ExitStack
from http import HTTPStatus
from pathlib import Path
from typing import Any

from benchmarks.mixed_versions.backend import running_backend
from benchmarks.mixed_versions.checkout import Checkout, call, free_ports, kill, wait_until
from fakes.discovery import target
from fakes.files import write_config
from fakes.node import SETTINGS

NODES = 6
KILLED = (0, 1)  # one of each version
REQUESTS_PER_NODE = 20


class MixedNodes:
    """Running nodes, with the versions in turn."""

    def __init__(
        self, versions: Sequence[Checkout], folder: Path, backend_port: int, stack: ExitStack
    ) -> None:
        """Start all nodes; the stack ends them."""
        self._folder = folder
        self._listen_ports = free_ports(NODES)
        self._admin_ports = free_ports(NODES)
        peer_ports = free_ports(NODES, socket.SOCK_DGRAM)
        self._peers = [f"127.0.0.1:{port}" for port in peer_ports]
        self._processes: list[subprocess.Popen[bytes]] = []
        for node in range(NODES):
            home = folder / f"n{node}"
            home.mkdir()
            config = self._write_config(node, home, backend_port)
            environment = {"PROXY_CONFIG": str(config), "TMPDIR": str(home)}
            process = versions[node % len(versions)].start(home / "log", environment)
            stack.callback(kill, process)
            self._processes.append(process)

    def _write_config(self, node: int, home: Path, backend_port: int) -> Path:
        known = {"rev": 1, "all": True, "targets": [target("s-1", f"127.0.0.1:{backend_port}")]}
        limits = SETTINGS["limits"] | {"peers": True}
        return write_config(
            home / "config.json",
            SETTINGS | {"balancers": NODES, "me": node, "limits": limits},
            known,
            name=f"n{node}",
            seed=f"{node:x}",
            listen=f"127.0.0.1:{self._listen_ports[node]}",
            admin=f"127.0.0.1:{self._admin_ports[node]}",
            limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            peer_listen=self._peers[node],
            peers=self._peers,
        )

    def kill(self, nodes: Sequence[int]) -> None:
        """Kill nodes without notice."""
        for node in nodes:
            kill(self._processes[node])

    def agree_on(self, nodes: set[int]) -> bool:
        """Whether each of these nodes takes exactly these for alive."""
        return all(self._alive_by(node) == nodes for node in nodes)

    def _alive_by(self, node: int) -> set[int]:
        """Return the nodes that one takes for alive, with itself; none if it can't say yet."""
        response = call(self._admin_ports[node], "GET", "/peers")
        if response.status != HTTPStatus.OK:
            return set()
        rows = json.loads(response.body)["nodes"]
        return {node} | {row[0] for row in rows if row[1] == "alive"}

    def request(self, node: int, identifier: str) -> int:
        """Send a client's request to a node and return the response's status."""
        response = call(
            self._listen_ports[node],
            "GET",
            "/balance/1",
            Host="app.svc",
            X_Request_ID=identifier,
            X_Priority_Class="balance",
            X_Timeout_Ms="1500",
        )
        return response.status


def check_gossip(versions: Sequence[Checkout], folder: Path) -> dict[str, Any]:
    """Check that nodes of both versions meet, notice deaths, and answer requests."""
    with running_backend() as backend_port, ExitStack() as stack:
        nodes = MixedNodes(versions, folder, backend_port, stack)
        everyone = set(range(NODES))
        remaining = everyone.difference(KILLED)
        met = wait_until(lambda: nodes.agree_on(everyone))
        nodes.kill(KILLED)
        noticed = wait_until(lambda: nodes.agree_on(remaining))
        statuses = Counter(
            nodes.request(node, f"r{node}-{number}")
            for node in sorted(remaining)
            for number in range(REQUESTS_PER_NODE)
        )
    return {
        "ok": met and noticed and set(statuses) == {HTTPStatus.OK},
        "met": met,
        "deaths noticed": noticed,
        "statuses": dict(statuses),
    }
