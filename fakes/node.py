"""A node as a process before fake backends, with settings for tests, benchmarks and the demo."""

from __future__ import annotations

import contextlib
import tempfile
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, Protocol

from fakes.discovery import target
from fakes.files import write_config
from fakes.processes import Process, running_process

SECOND = 1_000_000_000  # nanoseconds, the unit of all times in settings
NO_DISCOVERY = "127.0.0.1:1"  # nobody listens there

SETTINGS: dict[str, Any] = {
    "areas": ["east"], "balancers": 1, "me": 0, "my_zone": 0, "skus": ["m2"],
    "registry_mode": "push", "tick": 5_000_000,
    "classes": [
        {"name": "balance", "target": 800_000_000, "deadline": 2 * SECOND, "effect": "pure",
         "credit": 1.0},
        {"name": "credit", "target": 750_000_000, "deadline": 3 * SECOND, "effect": "side_effect",
         "credit": 5.0},
    ],
    "limits": {"max_attempts": 4, "dial_timeout": 250_000_000, "idle_close": 60 * SECOND,
               "max_retry_after": 2 * SECOND, "retry_after": True, "cancelling": True,
               "second_copies": True, "probes": False},
    "load_info": {"how": "off", "columns": []},
    "rules": {"ask_within": 10 * SECOND, "drain_grace": 2 * SECOND, "cold": 8 * SECOND,
              "cold_from": 0.3, "fall": 1_500_000_000, "fall_multiple": 3.0},
}  # fmt: skip


class Server(Protocol):
    """A backend: anything that listens."""

    @property
    def address(self) -> str:
        """The host:port where it listens."""


@contextlib.contextmanager
def running_node(
    servers: Sequence[Server],
    discovery: str = NO_DISCOVERY,
    routes: str = "",
    consul: str = "",
    settings: dict[str, Any] | None = None,
    memory_mb: int = 192,
    sockets: int = 1024,
) -> Iterator[Process]:
    """A node that knows these servers, until the end of the block.

    Args:
        servers: the backends of its list, named s-1, s-2 and so on.
        discovery: host:port of the discovery service.
        routes: path of a routes file, empty for none.
        consul: path of a Consul source's file, empty for none.
        settings: in place of those of the same names in SETTINGS.
        memory_mb: the node's memory limit.
        sockets: the node's limit of open sockets.
    """
    targets = [target(f"s-{i}", server.address) for i, server in enumerate(servers, 1)]
    with tempfile.TemporaryDirectory() as folder:
        path = write_config(
            Path(folder, "config.json"),
            SETTINGS | (settings or {}),
            {"rev": 1, "all": True, "targets": targets},
            discovery=discovery,
            limits={"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        )
        environment = {"PROXY_CONFIG": str(path), "PROXY_ROUTES": routes, "PROXY_CONSUL": consul}
        with running_process(("-m", "loadbalancer"), environment) as process:
            yield process
