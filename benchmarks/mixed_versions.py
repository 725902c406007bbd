"""Whether two versions of the program run side by side: nodes over gossip, and one control group.

    python -m benchmarks.mixed_versions OLD_CHECKOUT NEW_CHECKOUT

Each checkout is built, and its processes are started as its own `deploy/balancer.toml` says (a
control machine by the same program's `scale` sub-command). Everything is on loopback and ends by
itself. Prints one JSON line; status 1 where one of these does not hold:

- gossip: six nodes, every other one of each version, hold one another for alive; after one of
  each version is killed the other four agree on that; every node answers requests with 200;
- control group: of three machines, two of one version, one leads and all follow its log; a change
  is accepted before and after the leader is killed, and is in the log of each that is left. Once
  with two machines of the old version, once with two of the new one.
"""

from __future__ import annotations

import argparse
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

from fakes.discovery import target
from fakes.files import write_config
from fakes.fleet import SETTINGS

LIMIT_S = 30.0  # a hang, not a measure
CALL_S = 5.0
NODES = 6
REQUESTS = 20  # to each node
MACHINES = ("east-a", "east-b", "east-c")


Started = subprocess.Popen[bytes]


@dataclass(frozen=True, slots=True)
class Checkout:
    """One version: its folder, and the command that starts its program."""

    folder: Path
    command: str

    def start(self, log: Path, environ: dict[str, str], arguments: str = "") -> Started:
        """Start the program; its log goes to a file."""
        with log.open("wb") as file:
            process = subprocess.Popen(
                ["/bin/sh", "-c", f"{self.command} {arguments}"],
                cwd=self.folder,
                env=os.environ | environ,
                stdout=subprocess.DEVNULL,
                stderr=file,
            )
        return process


def checkout(folder: str) -> Checkout:
    """A built checkout, by its deploy file."""
    path = Path(folder).resolve()
    deploy = tomllib.loads((path / "deploy" / "balancer.toml").read_text())
    return Checkout(path, deploy["run"])


def call(port: int, method: str, path: str, body: str = "", **headers: str) -> tuple[int, bytes]:
    """One HTTP call on loopback; status 0 where it can't be made."""
    connection = HTTPConnection("127.0.0.1", port, timeout=CALL_S)
    try:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body or None, named)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, HTTPException):
        return 0, b""
    finally:
        connection.close()


def wait_until(condition: Callable[[], bool]) -> bool:
    """Whether a condition came to hold within the limit."""
    end = time.monotonic() + LIMIT_S
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False


def free_ports(count: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[int]:
    """So many ports that are free by now."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket(type=kind)) for _ in range(count)]
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]


class _Backend(BaseHTTPRequestHandler):
    """Answers every request with 200."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Two bytes of body."""
        self.send_response(200)
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"ok")

    def log_message(self, *_arguments: object) -> None:
        """Nothing: the run's own line is its log."""


@contextmanager
def backend() -> Iterator[int]:
    """A backend in a thread; its port."""
    server = ThreadingHTTPServer(("127.0.0.1", 0), _Backend)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        yield server.server_port
    finally:
        server.shutdown()
        server.server_close()


def end(process: Started) -> None:
    """Kill a process that may have ended already."""
    process.kill()
    process.wait()


def gossip(versions: list[Checkout], folder: Path) -> dict[str, Any]:
    """Nodes of both versions with gossip between them."""
    listens, admins = free_ports(NODES), free_ports(NODES)
    peers = free_ports(NODES, socket.SOCK_DGRAM)
    addresses = [f"127.0.0.1:{port}" for port in peers]
    with backend() as backend_port, ExitStack() as stack:
        known = {"rev": 1, "all": True, "targets": [target("s-1", f"127.0.0.1:{backend_port}")]}
        processes: dict[int, Started] = {}
        for node in range(NODES):
            home = folder / f"n{node}"
            home.mkdir()
            limits = SETTINGS["limits"] | {"peers": True}
            settings = SETTINGS | {"balancers": NODES, "me": node, "limits": limits}
            config = write_config(
                home / "config.json",
                settings,
                known,
                name=f"n{node}",
                seed=f"{node:x}",
                listen=f"127.0.0.1:{listens[node]}",
                admin=f"127.0.0.1:{admins[node]}",
                limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                peer_listen=addresses[node],
                peers=addresses,
            )
            environ = {"PROXY_CONFIG": str(config), "TMPDIR": str(home)}
            processes[node] = versions[node % 2].start(home / "log", environ)
            stack.callback(end, processes[node])

        def agreed(nodes: set[int]) -> bool:
            return all(living(admins[node], node) == nodes for node in nodes)

        everyone = set(range(NODES))
        met = wait_until(lambda: agreed(everyone))
        for node in (0, 1):
            end(processes[node])
        noticed = wait_until(lambda: agreed(everyone - {0, 1}))
        statuses: dict[int, int] = {}
        for node in range(2, NODES):
            for number in range(REQUESTS):
                status = request(listens[node], f"r{node}-{number}")
                statuses[status] = statuses.get(status, 0) + 1
        ok = met and noticed and set(statuses) == {200}
        return {"ok": ok, "met": met, "deaths noticed": noticed, "statuses": statuses}


def living(admin: int, node: int) -> set[int]:
    """Whom a node holds for alive, itself among them; empty where it can't say yet."""
    status, body = call(admin, "GET", "/peers")
    if status != 200:
        return set()
    rows = json.loads(body)["nodes"]
    return {node} | {row[0] for row in rows if row[1] == "alive"}


def request(port: int, identifier: str) -> int:
    """One client's request; its status."""
    return call(
        port, "GET", "/balance/1", Host="app.svc", X_Request_ID=identifier,
        X_Priority_Class="balance", X_Timeout_Ms="1500",
    )[0]  # fmt: skip


def control_file(path: Path) -> dict[str, int]:
    """A file of three machines and one service; the machines' operators' ports by name."""
    ports = iter(free_ports(3 * len(MACHINES)))
    text = 'version = 1\n[regions]\neast = ["east-1"]\n'
    admins: dict[str, int] = {}
    for name in MACHINES:
        text += f'[[machine]]\nname = "{name}"\nregion = "east"\nzone = "east-1"\n'
        for key in ("subscribers", "peers", "admin"):
            admins[name] = next(ports)
            text += f'{key} = "127.0.0.1:{admins[name]}"\n'
    text += '[[node]]\nname = "n1"\nregion = "east"\nzone = "east-1"\ncapacity = 8\n'
    text += '[[service]]\nname = "pay"\nregion = "east"\nrate = 1.0\nbackends = 2\n'
    path.write_text(text)
    return admins


def control_group(versions: list[Checkout], folder: Path) -> dict[str, Any]:
    """Three machines, each of its own version: a leader, changes, and a failover."""
    admins = control_file(folder / "scale.toml")
    with ExitStack() as stack:
        processes: dict[str, Started] = {}
        for name, version in zip(MACHINES, versions, strict=True):
            arguments = f"scale {folder / 'scale.toml'} --machine {name}"
            processes[name] = version.start(folder / f"{name}.log", {}, arguments)
            stack.callback(end, processes[name])
        first = elected(admins, set(MACHINES))
        before = bool(first) and changed(admins[first], "b1")
        rest = set(MACHINES) - {first}
        if first:
            end(processes[first])
        second = elected(admins, rest)
        after = bool(second) and changed(admins[second], "b2")
        in_step = wait_until(lambda: len({log_version(admins[name]) for name in rest}) == 1)
        return {
            "ok": before and after and in_step,
            "leaders": [first, second],
            "accepted": [before, after],
            "in step": in_step,
        }


def state(admin: int) -> dict[str, Any]:
    """A machine's /status; empty where it does not answer."""
    status, body = call(admin, "GET", "/status")
    found: dict[str, Any] = json.loads(body) if status == 200 else {}
    return found


def log_version(admin: int) -> int:
    """The version of a machine's log, 0 without one."""
    logs = state(admin).get("logs", {})
    return int(logs.get("east", {}).get("version", 0))


def elected(admins: dict[str, int], names: set[str]) -> str:
    """The one leader, once there is one and the others follow; empty within the limit."""
    found = ""

    def one() -> bool:
        nonlocal found
        roles = {name: state(admins[name]).get("role") for name in names}
        leaders = [name for name, role in roles.items() if role == "leader"]
        found = leaders[0] if len(leaders) == 1 else ""
        return bool(found) and list(roles.values()).count("follower") == len(names) - 1

    return found if wait_until(one) else ""


def changed(admin: int, endpoint: str) -> bool:
    """Whether a change that adds one endpoint is accepted."""
    row = target(endpoint, "127.0.0.1:9000", "east-1")
    body = json.dumps([{"service": "pay", "rows": [row]}])

    def accepted() -> bool:
        status, answer = call(admin, "POST", "/changes", body)
        return status == 200 and not any("refused" in one for one in json.loads(answer))

    return wait_until(accepted)


def main() -> int:
    """0 where everything holds, 1 where something does not."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("old", type=checkout, help="folder of the older version, built")
    parser.add_argument("new", type=checkout, help="folder of the newer version, built")
    arguments = parser.parse_args()
    old, new = arguments.old, arguments.new
    out: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        for name, run, versions in (
            ("gossip", gossip, [old, new]),
            ("control group, two old", control_group, [old, new, old]),
            ("control group, two new", control_group, [new, old, new]),
        ):
            home = Path(folder) / name.replace(" ", "-").replace(",", "")
            home.mkdir()
            out[name] = run(versions, home)
    print(json.dumps(out))
    return 0 if all(found["ok"] for found in out.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
