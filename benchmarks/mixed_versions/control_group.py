"""Control machines of two versions in one region's group."""

from __future__ import annotations

import json
import subprocess
from collections.abc import Sequence
from contextlib import ExitStack
from http import HTTPStatus
from pathlib import Path
from typing import Any

from benchmarks.mixed_versions.checkout import Checkout, call, free_ports, kill, wait_until
from fakes.discovery import target

MACHINES = ("east-a", "east-b", "east-c")


class MixedMachines:
    """Running control machines, each of its own version."""

    def __init__(self, versions: Sequence[Checkout], folder: Path, stack: ExitStack) -> None:
        """Start the machines; the stack ends them."""
        path = folder / "scale.toml"
        self._admin_ports = write_machines_file(path)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        for name, version in zip(MACHINES, versions, strict=True):
            arguments = f"scale {path} --machine {name}"
            process = version.start(folder / f"{name}.log", {}, arguments)
            stack.callback(kill, process)
            self._processes[name] = process

    def kill(self, name: str) -> None:
        """Kill a machine without notice."""
        kill(self._processes[name])

    def status(self, name: str) -> dict[str, Any]:
        """Return a machine's `/status`; empty if it does not answer."""
        response = call(self._admin_ports[name], "GET", "/status")
        if response.status != HTTPStatus.OK:
            return {}
        status: dict[str, Any] = json.loads(response.body)
        return status

    def log_version(self, name: str) -> int:
        """Return the version of a machine's log; 0 without one."""
        logs = self.status(name).get("logs", {})
        return int(logs.get("east", {}).get("version", 0))

    def wait_for_leader(self, names: set[str]) -> str | None:
        """Wait until one of these machines leads and the others follow; None after the timeout."""
        leader: str | None = None

        def one_leads() -> bool:
            nonlocal leader
            roles = {name: self.status(name).get("role") for name in names}
            leaders = [name for name, role in roles.items() if role == "leader"]
            leader = leaders[0] if len(leaders) == 1 else None
            followers = list(roles.values()).count("follower")
            return leader is not None and followers == len(names) - 1

        return leader if wait_until(one_leads) else None

    def accepts_change(self, name: str, endpoint: str) -> bool:
        """Whether the machine accepts a change that adds one endpoint, before the timeout."""
        row = target(endpoint, "127.0.0.1:9000", "east-1")
        body = json.dumps([{"service": "pay", "rows": [row]}])

        def accepted() -> bool:
            response = call(self._admin_ports[name], "POST", "/changes", body)
            if response.status != HTTPStatus.OK:
                return False
            return not any("refused" in one for one in json.loads(response.body))

        return wait_until(accepted)


def write_machines_file(path: Path) -> dict[str, int]:
    """Write a file of three machines and one service; return the admin ports by machine."""
    ports = iter(free_ports(3 * len(MACHINES)))
    text = 'version = 1\n[regions]\neast = ["east-1"]\n'
    admin_ports: dict[str, int] = {}
    for name in MACHINES:
        subscribers, peers, admin = next(ports), next(ports), next(ports)
        admin_ports[name] = admin
        text += f'[[machine]]\nname = "{name}"\nregion = "east"\nzone = "east-1"\n'
        text += f'subscribers = "127.0.0.1:{subscribers}"\n'
        text += f'peers = "127.0.0.1:{peers}"\nadmin = "127.0.0.1:{admin}"\n'
    text += '[[node]]\nname = "n1"\nregion = "east"\nzone = "east-1"\ncapacity = 8\n'
    text += '[[service]]\nname = "pay"\nregion = "east"\nrate = 1.0\nbackends = 2\n'
    path.write_text(text)
    return admin_ports


def check_control_group(versions: Sequence[Checkout], folder: Path) -> dict[str, Any]:
    """Check a leader, a change, a failover and a further change."""
    with ExitStack() as stack:
        machines = MixedMachines(versions, folder, stack)
        first = machines.wait_for_leader(set(MACHINES))
        before = first is not None and machines.accepts_change(first, "b1")
        remaining = set(MACHINES) - {first}
        if first is not None:
            machines.kill(first)
        second = machines.wait_for_leader(remaining)
        after = second is not None and machines.accepts_change(second, "b2")
        in_step = wait_until(lambda: len({machines.log_version(name) for name in remaining}) == 1)
    return {
        "ok": before and after and in_step,
        "leaders": [first or "", second or ""],
        "accepted": [before, after],
        "in step": in_step,
    }
