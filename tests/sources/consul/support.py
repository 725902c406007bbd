"""A fake Consul agent's contents, and what reads them."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from fakes.processes import Process
from loadbalancer.config.address import parse_address
from loadbalancer.core import State
from loadbalancer.core.endpoints.merged_list import MergedList
from loadbalancer.core.endpoints.server_report import ServerReport
from loadbalancer.sources.consul.credentials import Credentials
from loadbalancer.sources.consul.datacentre_reader import DatacentreReader
from loadbalancer.sources.consul.file import Consistency, ConsulFile
from loadbalancer.sources.consul.list_updater import sources_of
from loadbalancer.sources.consul.reader import ConsulReader
from tests.harness import LIMIT

FILE = """\
version = 1
agents = ["{agents}"]
service = "topup"
datacentres = {{ dc1 = "east" }}
fresh = "5s"
"""


def write_file(folder: Path, *agents: str, more: str = "") -> Path:
    """A consul file of these agents, with further lines."""
    path = folder / "consul.toml"
    path.write_text(FILE.format(agents='", "'.join(agents)) + more)
    return path


def service_row(number: int, **fields: Any) -> dict[str, Any]:
    """Server `t-NUMBER` of the service, as the fake agent takes it."""
    plain = {
        "ID": f"t-{number}", "Service": "topup", "Address": "127.0.0.1", "Port": 9000 + number,
    }  # fmt: skip
    return plain | fields


def set_services(agent: Process, *numbers: int) -> None:
    """The agent has just these servers."""
    agent.call("PUT", "/standin/services", [service_row(number) for number in numbers])


def set_status(agent: Process, *uids: str, status: str) -> None:
    """These servers' checks have this status."""
    agent.call("POST", "/standin/status", dict.fromkeys(uids, status))


def set_faults(agent: Process, **faults: Any) -> None:
    """The agent has just these faults."""
    agent.call("POST", "/standin/faults", faults)


async def in_thread(action: Callable[..., Any], *arguments: Any, **options: Any) -> Any:
    """Call the agent from a coroutine, so that readers go on meanwhile."""
    return await asyncio.to_thread(action, *arguments, **options)


async def wait_until(condition: Callable[[], bool], limits: int = 1) -> None:
    """Wait for something that readers bring about."""
    end = time.monotonic() + limits * LIMIT
    while not condition():
        assert time.monotonic() < end, "never came about"
        await asyncio.sleep(0.01)


def file_for(*agents: Process, lines_per_second: int = 1000, **fields: Any) -> ConsulFile:
    """A consul file's contents, for fake agents."""
    addresses = tuple(parse_address(agent.address) for agent in agents)
    return ConsulFile(
        addresses, "topup", {"dc1": "east"}, None, None, lines_per_second, Consistency.DEFAULT, 60,
        **fields,
    )  # fmt: skip


class Listener:
    """A reader, and the merged list of what it reports; closed at the end of a `with`.

    Attributes:
        logger: the reader's own.
    """

    def __init__(self, file: ConsulFile, seed: int = 1) -> None:
        self.merged = MergedList(sources_of(file))
        self.logger = logging.getLogger(f"{__name__}.reader_{seed}")
        self.reader = ConsulReader(file, Credentials(), self._on_reports, seed, self.logger)

    def __enter__(self) -> Listener:
        self.reader.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.reader.close()

    @property
    def datacentre(self) -> DatacentreReader:
        """The only datacentre."""
        (datacentre,) = self.reader.datacentres
        return datacentre

    def ready(self) -> set[str]:
        """Ids of the servers that are listed as ready."""
        return {server.uid for server in self.merged.servers() if server.state == State.READY}

    def _on_reports(self, source: str, reports: list[ServerReport], complete: bool) -> None:
        self.merged.update(time.monotonic_ns(), source, reports, complete)
