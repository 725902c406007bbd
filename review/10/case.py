"""A node that reads Consul and the platform's list restarts while a server drains."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib3"))

from rig import (
    CannotRunError,
    Case,
    Clients,
    Fake,
    Loop,
    Node,
    TopupServer,
    has_trouble,
    main,
    target,
    wait_for,
)

# "a change counts as told at the latest 6 s after discovery had it and could be reached", the
# grace of the drain in the settings, 50 ms on sockets, 0.15 s for a node that is held up.
TOLD_S, GRACE_S, SLACK_S = 6.0, 2.0, 0.2
LOOK_S = 6.0
KILL_AFTER_S = 3.0 + 0.7  # the longest deadline and 0.7 s
CONSUL_FILE = """\
version = 1
agents = ["{agent}"]
service = "topup"
datacentres = {{ dc1 = "east-1" }}
platform = true
"""


def play(case: Case) -> bool:
    record = case.record
    loop = Loop()
    servers = {name: TopupServer(name, 0.02) for name in ("s1", "s2", "s3", "s4")}
    for server in servers.values():
        loop.run(server.open())
    rows = {name: target(name, server.address, "east-1") for name, server in servers.items()}

    discovery = Fake(case, "discovery", "fakes.discovery")
    agent = Fake(case, "consul", "fakes.consul")
    list_at(discovery, rows)
    agent.call("PUT", "/standin/services", [registration(server) for server in servers.values()])
    file = case.folder / "consul.toml"
    file.write_text(CONSUL_FILE.format(agent=agent.address))

    node = start_node(case, discovery, file, rows)
    clients = Clients(node.address, 4, 0.1, record)
    clients.start()
    try:
        wait_for("all servers in use", lambda: all(s.received for s in servers.values()), 10.0)
        time.sleep(3.0)
        rows["s1"]["state"] = "leaving"
        list_at(discovery, rows)
        had = time.monotonic()
        record.line("the platform's list has s1 as leaving; its checks in Consul pass")
        time.sleep(TOLD_S + GRACE_S + SLACK_S)
        before = [r.at - had for r in servers["s1"].received if r.at > had]
        record.line(
            f"s1 got {len(before)} requests since; last after {max(before, default=0):.2f} s"
        )
        if has_trouble():
            clients.stop()
            node = restart(case, node, discovery, file, rows)
            clients = Clients(node.address, 4, 0.1, record)
            clients.start()
            had = time.monotonic()
            time.sleep(TOLD_S + GRACE_S + SLACK_S)
        began = time.monotonic()
        time.sleep(LOOK_S)
    finally:
        clients.stop()
    return judge(case, servers, had, began)


def judge(case: Case, servers: dict[str, TopupServer], had: float, began: float) -> bool:
    late = [request for request in servers["s1"].received if request.at > began]
    others = sum(r.at > began for name in ("s2", "s3", "s4") for r in servers[name].received)
    case.record.line(
        f"from {began - had:.1f} s on, in {LOOK_S:g} s: {len(late)} requests to s1, which drains, "
        f"{others} to the others"
    )
    for request in late:
        case.record.line(
            f"  s1 got {request.method} {request.request_id} +{request.at - had:.2f} s"
        )
    if not others:
        raise CannotRunError("no traffic")
    return not late


def start_node(
    case: Case, discovery: Fake, file: Path, rows: dict[str, Any], address: str = ""
) -> Node:
    """The node; `known` is the list as it last had it."""
    known = {"rev": 1, "all": True, "targets": list(rows.values())}
    more: dict[str, Any] = {"known": known, "consul": str(file)}
    node = Node(case, "n1", discovery.address, address=address, **more)
    wait_for("the node", node.is_ready, 10.0)
    return node


def restart(case: Case, node: Node, discovery: Fake, file: Path, rows: dict[str, Any]) -> Node:
    """A planned restart: SIGTERM, and a new process under the same name and address."""
    case.record.line("SIGTERM to n1")
    node.process.send_signal(signal.SIGTERM)
    try:
        node.process.wait(KILL_AFTER_S)
    except subprocess.TimeoutExpired:
        raise CannotRunError("the node did not end") from None
    return start_node(case, discovery, file, rows, node.address)


def list_at(discovery: Fake, rows: dict[str, Any]) -> None:
    discovery.call("POST", "/standin/targets", list(rows.values()))


def registration(server: TopupServer) -> dict[str, Any]:
    host, _, port = server.address.partition(":")
    return {"ID": f"topup-{server.name}", "Service": "topup", "Address": host, "Port": int(port)}


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
