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
from typing import Any, NamedTuple

from fakes.discovery import target
from fakes.files import write_config
from fakes.node import SETTINGS
from fakes.processes import Process, running_process

MAX_STARTS = 64  # nodes that start at the same time
WAIT_TIMEOUT_S = 30.0  # reached only where something hangs
POLL_INTERVAL_S = 0.01
NODE_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
LIVE_STATUSES = ("alive", "suspect")


def _no_overrides(_node: int) -> dict[str, Any]:
    return {}


class LinkCounters(NamedTuple):
    """What the links to one node have done."""

    datagrams: int = 0  # delivered
    bytes: int = 0  # of these
    lost: int = 0  # datagrams
    broken: int = 0  # datagrams delivered with a flipped bit


@dataclass(slots=True)
class ClusterOptions:
    """How the nodes of a cluster are configured; settings and overrides are in JSON form."""

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

    def set_links(
        self,
        loss: float = 0.0,
        delay_ms: float = 0.0,
        jitter_ms: float = 0.0,
        double: float = 0.0,
        broken: float = 0.0,
    ) -> None:
        """Set what happens to datagrams on all links.

        Args:
            loss: the part that is lost.
            delay_ms: of each.
            jitter_ms: the most that is added to the delay, at random.
            double: the part that is delivered twice.
            broken: the part in which one bit is flipped.
        """
        faults = {"loss": loss, "delay_ms": delay_ms, "jitter_ms": jitter_ms}
        self._command(faults | {"double": double, "broken": broken})

    def cut(self, one: Sequence[int], other: Sequence[int]) -> None:
        """Cut both ways between two sides, and nothing else."""
        pairs = [(a, b) for a in one for b in other]
        self._command({"cut": [*pairs, *((b, a) for a, b in pairs)]})

    def restore_links(self) -> None:
        """Cut no link any more."""
        self._command({"cut": []})

    def link_counters(self) -> list[LinkCounters]:
        """By node, what the links to it have done so far."""
        return [LinkCounters(**counters) for counters in self._command({"report": True})]

    def _command(self, command: dict[str, Any]) -> Any:
        return json.loads(self.links.send_line(json.dumps(command)))

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

    # ---- nodes' own reports ---------------------------------------------------

    def status(self, node: int) -> dict[str, Any]:
        """The node's report on the others, from its second address."""
        status: dict[str, Any] = self.nodes[node].call_admin("GET", "/peers")
        return status

    def living(self, node: int) -> set[int]:
        """The nodes that are alive to this one, itself among them."""
        rows = self.status(node)["nodes"]
        return {node} | {number for number, status, *_ in rows if status in LIVE_STATUSES}

    def agree(
        self, living: set[int], nodes: Sequence[int] = (), timeout_s: float = WAIT_TIMEOUT_S
    ) -> None:
        """Wait until exactly `living` are alive to these nodes (none: to all that run)."""
        for node in nodes or list(self.nodes):
            wait_until(lambda node=node: self.living(node) == living, timeout_s)  # type: ignore[misc]

    def verdicts(self, node: int) -> dict[str, str]:
        """By server: what the node has concluded from all observations of it."""
        return {server: verdict for server, *_, verdict in self.status(node)["servers"]}


def _reserve_ports(count: int) -> list[socket.socket]:
    """UDP sockets at ports that nobody else gets until they are closed."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    return socks


def wait_until(condition: Callable[[], bool], timeout_s: float = WAIT_TIMEOUT_S) -> float:
    """Poll until a condition holds; the seconds it took. AssertionError after the timeout."""
    began = time.monotonic()
    while not condition():
        if time.monotonic() - began > timeout_s:
            raise AssertionError(f"not within {timeout_s} s")
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - began


@contextlib.contextmanager
def running_cluster(
    count: int, servers: Sequence[str], options: ClusterOptions | None = None
) -> Iterator[Cluster]:
    """A cluster of so many nodes that all run and list the servers at these addresses."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(count, servers, Path(folder), options or ClusterOptions()) as cluster,
    ):
        cluster.start()
        yield cluster
