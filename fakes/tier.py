"""A tier of real nodes with links between them that can be cut, for tests and benchmarks."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from fakes.discovery import target
from fakes.files import write_config
from fakes.fleet import SETTINGS, Process, started

AT_ONCE = 64  # nodes that start together
LIMIT = 30.0  # seconds; a hang, not a measure


def reserved(count: int) -> list[socket.socket]:
    """So many UDP ports that nobody else has, until these are closed."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    return socks


class Tier:
    """Nodes by number; each may be killed, stopped, started again."""

    def __init__(
        self,
        count: int,
        servers: Sequence[str],
        folder: Path,
        words: bool = True,
        discovery: str = "127.0.0.1:1",
        seed: int = 1,
        settings: dict[str, Any] | None = None,
        over: Callable[[int], dict[str, Any]] = lambda _node: {},
        fleet: str = "",
    ) -> None:
        self.count = count
        self.servers = servers
        self.nodes: dict[int, Process] = {}
        self._folder = folder
        self._words = words
        self._discovery = discovery
        self._settings = settings or {}
        self._over = over
        self._fleet = fleet
        self._stacks: dict[int, contextlib.ExitStack] = {}
        # Kept until the links have theirs, a socket for each pair: of 40 nodes' ports these
        # would take one or two.
        socks = reserved(count)
        self._ports = [sock.getsockname()[1] for sock in socks]
        self._stack = contextlib.ExitStack()
        self.links = self._stack.enter_context(
            started(("-m", "fakes.links", "--seed", str(seed), *map(str, self._ports)))
        )
        self.addresses: list[list[str]] = json.loads(self.links.address)
        for sock in socks:
            sock.close()

    def __enter__(self) -> Tier:
        return self

    def __exit__(self, *_: object) -> None:
        for node in list(self.nodes):
            self.kill(node)
        self._stack.close()

    def order(self, **what: object) -> Any:
        """Tell the links; their answer."""
        return json.loads(self.links.say(json.dumps(what)))

    def cut(self, one: Sequence[int], other: Sequence[int]) -> None:
        """Cut both ways between two sides, and nothing else."""
        self.order(cut=[[a, b] for a in one for b in other] + [[b, a] for a in one for b in other])

    def config(self, node: int) -> dict[str, Any]:
        limits = SETTINGS["limits"] | {"peers": self._words}
        place = {"balancers": self.count, "me": node, "limits": limits}
        known = [target(f"s-{i}", address) for i, address in enumerate(self.servers, 1)]
        folder = self._folder / f"n{node}"
        folder.mkdir(exist_ok=True)
        more: dict[str, Any] = {
            "discovery": self._discovery,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "name": f"n{node}",
            "seed": f"{node:x}",
            "admin": "127.0.0.1:0",
            "fleet": self._fleet,
            "peer_listen": f"127.0.0.1:{self._ports[node]}",
            "peers": self.addresses[node],
        }
        more |= {"known": {"rev": 1, "all": True, "targets": known}} | self._over(node)
        settings = SETTINGS | place | self._settings
        path = write_config(folder / "config.json", settings, more.pop("known"), **more)
        return {"PROXY_CONFIG": str(path), "TMPDIR": str(folder)}

    def start(self, *nodes: int) -> None:
        """Start nodes side by side, and wait until they listen."""

        def one(node: int) -> None:
            stack = self._stacks[node] = contextlib.ExitStack()
            process = stack.enter_context(started(("-m", "loadbalancer"), self.config(node)))
            process.read_on()
            self.nodes[node] = process

        with ThreadPoolExecutor(AT_ONCE) as pool:
            list(pool.map(one, nodes or range(self.count)))

    def kill(self, *nodes: int) -> None:
        for node in nodes:
            process = self.nodes.pop(node)
            process.popen.kill()
            process.popen.wait()
            self._stacks.pop(node).close()

    def signal(self, number: signal.Signals, *nodes: int) -> None:
        for node in nodes:
            self.nodes[node].popen.send_signal(number)

    def status(self, node: int) -> dict[str, Any]:
        """What the node says of the others, on its second address."""
        process = self.nodes[node]
        admin = Process(process.popen, process.admin)
        found: dict[str, Any] = admin.call("GET", "/peers")
        return found

    def living(self, node: int) -> set[int]:
        """Whom a node holds for living, itself among them."""
        status = self.status(node)
        return {node} | {n for n, how, *_ in status["nodes"] if how in ("alive", "suspect")}

    def agree(self, living: set[int], on: Sequence[int] = (), limit: float = LIMIT) -> None:
        """Wait until these nodes (all that run) hold just these for living."""
        for node in on or list(self.nodes):
            wait_until(lambda node=node: self.living(node) == living, limit)  # type: ignore[misc]

    def verdicts(self, node: int) -> dict[str, str]:
        """By server: what the node has made of all words on it."""
        return {server: verdict for server, *_, verdict in self.status(node)["servers"]}


def wait_until(condition: Callable[[], bool], limit: float = LIMIT) -> float:
    """Wait for something that only processes themselves bring about; how long it took."""
    began = time.monotonic()
    while not condition():
        if time.monotonic() - began > limit:
            raise AssertionError(f"not within {limit} s")
        time.sleep(0.01)
    return time.monotonic() - began


@contextlib.contextmanager
def tier(count: int, servers: Sequence[str], **how: Any) -> Iterator[Tier]:
    """All nodes of a tier, running; `how` as for Tier."""
    with tempfile.TemporaryDirectory() as folder, Tier(count, servers, Path(folder), **how) as t:
        t.start()
        yield t
