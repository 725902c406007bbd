"""A fleet of real nodes with links between them that can be cut, for tests and benchmarks."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from fakes.discovery import target
from fakes.files import write_config
from fakes.node import SETTINGS
from fakes.processes import Process, running_process

MAX_STARTS = 64  # nodes that start at the same time
WAIT_TIMEOUT_S = 30.0  # reached only where something hangs
NODE_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
LIVE_STATUSES = ("alive", "suspect")


def _no_overrides(_node: int) -> dict[str, Any]:
    return {}


@dataclass(slots=True)
class ClusterOptions:
    """How the nodes of a cluster are configured."""

    gossip: bool = True
    discovery: str = "127.0.0.1:1"  # nobody listens there
    settings: dict[str, Any] = field(default_factory=dict)  # in place of the usual ones
    overrides: Callable[[int], dict[str, Any]] = _no_overrides  # of a node's configuration
    fleet: str = ""  # the path of a fleet file
    seed: int = 1  # of the links


class Cluster:
    """Nodes by number; each may be killed, stopped and started again."""

    def __init__(
        self, count: int, servers: Sequence[str], folder: Path, options: ClusterOptions
    ) -> None:
        self.count = count
        self.servers = servers
        self.nodes: dict[int, Process] = {}
        self._folder = folder
        self._options = options
        self._node_stacks: dict[int, contextlib.ExitStack] = {}
        self._stack = contextlib.ExitStack()
        # The nodes' ports stay reserved until the links have theirs, of which there is one for
        # each pair: with 40 nodes some of those would be these.
        reserved = _reserve_ports(count)
        self._ports = [sock.getsockname()[1] for sock in reserved]
        arguments = ("-m", "fakes.links", "--seed", str(options.seed), *map(str, self._ports))
        self.links = self._stack.enter_context(running_process(arguments))
        self.addresses: list[list[str]] = json.loads(self.links.address)
        for sock in reserved:
            sock.close()

    def __enter__(self) -> Cluster:
        return self

    def __exit__(self, *_: object) -> None:
        self.kill(*self.nodes)
        self._stack.close()

    # ---- links ---------------------------------------------------------------------

    def order(self, **command: object) -> Any:
        """Give the links a command; their answer."""
        return json.loads(self.links.send_line(json.dumps(command)))

    def cut(self, one: Sequence[int], other: Sequence[int]) -> None:
        """Cut both ways between two sides, and nothing else."""
        pairs = [(a, b) for a in one for b in other]
        self.order(cut=[*pairs, *((b, a) for a, b in pairs)])

    # ---- nodes ---------------------------------------------------------------------

    def config(self, node: int) -> dict[str, Any]:
        """Write a node's configuration; the environment that names it."""
        options = self._options
        limits = SETTINGS["limits"] | {"peers": options.gossip}
        place = {"balancers": self.count, "me": node, "limits": limits}
        known = [target(f"s-{i}", address) for i, address in enumerate(self.servers, 1)]
        config: dict[str, Any] = {
            "known": {"rev": 1, "all": True, "targets": known},
            "discovery": options.discovery,
            "limits": NODE_LIMITS,
            "name": f"n{node}",
            "seed": f"{node:x}",
            "admin": "127.0.0.1:0",
            "fleet": options.fleet,
            "peer_listen": f"127.0.0.1:{self._ports[node]}",
            "peers": self.addresses[node],
        }
        config |= options.overrides(node)
        folder = self._folder / f"n{node}"
        folder.mkdir(exist_ok=True)
        settings = SETTINGS | place | options.settings
        path = write_config(folder / "config.json", settings, config.pop("known"), **config)
        return {"PROXY_CONFIG": str(path), "TMPDIR": str(folder)}

    def start(self, *nodes: int) -> None:
        """Start these nodes (none: all) side by side, and wait until they listen."""
        with ThreadPoolExecutor(MAX_STARTS) as pool:
            list(pool.map(self._start_node, nodes or range(self.count)))

    def _start_node(self, node: int) -> None:
        stack = self._node_stacks[node] = contextlib.ExitStack()
        process = stack.enter_context(running_process(("-m", "loadbalancer"), self.config(node)))
        process.collect_log()
        self.nodes[node] = process

    def kill(self, *nodes: int) -> None:
        """End these nodes without warning."""
        for node in nodes:
            process = self.nodes.pop(node)
            process.child.kill()
            process.child.wait()
            self._node_stacks.pop(node).close()

    def signal(self, number: signal.Signals, *nodes: int) -> None:
        """Send these nodes a signal."""
        for node in nodes:
            self.nodes[node].child.send_signal(number)

    # ---- what nodes know of each other ---------------------------------------------------

    def status(self, node: int) -> dict[str, Any]:
        """What the node says of the others, on its second address."""
        status: dict[str, Any] = self.nodes[node].call_admin("GET", "/peers")
        return status

    def living(self, node: int) -> set[int]:
        """The nodes that this one takes for alive, itself among them."""
        rows = self.status(node)["nodes"]
        return {node} | {number for number, status, *_ in rows if status in LIVE_STATUSES}

    def agree(
        self, living: set[int], on: Sequence[int] = (), limit: float = WAIT_TIMEOUT_S
    ) -> None:
        """Wait until these nodes (none: all that run) take exactly `living` for alive."""
        for node in on or list(self.nodes):
            wait_until(lambda node=node: self.living(node) == living, limit)  # type: ignore[misc]

    def verdicts(self, node: int) -> dict[str, str]:
        """By server: what the node has concluded from all observations of it."""
        return {server: verdict for server, *_, verdict in self.status(node)["servers"]}


def _reserve_ports(count: int) -> list[socket.socket]:
    """UDP sockets at ports that nobody else gets until they are closed."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    return socks


def wait_until(condition: Callable[[], bool], limit: float = WAIT_TIMEOUT_S) -> float:
    """Wait for something that only processes themselves bring about; the seconds it took."""
    began = time.monotonic()
    while not condition():
        if time.monotonic() - began > limit:
            raise AssertionError(f"not within {limit} s")
        time.sleep(0.01)
    return time.monotonic() - began


@contextlib.contextmanager
def running_cluster(count: int, servers: Sequence[str], **options: Any) -> Iterator[Cluster]:
    """A cluster of which all nodes run; `options` as for ClusterOptions."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(count, servers, Path(folder), ClusterOptions(**options)) as cluster,
    ):
        cluster.start()
        yield cluster
