"""The control service: one Balancer's decisions, handed to other proxies.

    python -m windrelay control deploy/control.toml

The list of servers comes by the node's own discovery, routes and classes from the
routes file. The process is asyncio's and grpc.aio's own; the node imports none of it.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time

import grpc

from flinthatch import Balancer, Listing, Update
from flinthatch.picture import Picture
from flinthatch.routes import Table
from flinthatch.snapshot import plan
from windrelay.config import Config, ConfigError, load
from windrelay.discovery import Discovery, ListError
from windrelay.operator.check import check_file
from windrelay.xds.encode import build
from windrelay.xds.file import ControlError, ControlFile, read_file
from windrelay.xds.server import MAX_REQUEST, MAX_STREAMS, Group, Streams

GATHER_S = 0.05  # changes within this go out together


class Control:
    """The host of one Balancer that sends nothing itself."""

    def __init__(self, file: ControlFile, config: Config, table: Table) -> None:
        self.file = file
        self.config = config
        self.table = table
        self.streams = Streams(self.log, self.later, self.picture)
        self._told: set[str] = set()  # what was said to be not carried out
        self.discovery = Discovery(config, self.members_told, self.log)
        self.balancer = Balancer(config.settings, config.seed, self)
        self._due: asyncio.TimerHandle | None = None

    def start(self) -> None:
        rows = self.discovery.known(self.config.known)
        now = time.monotonic_ns()
        self.balancer.start(now)
        self.balancer.on_members(now, Update.CACHED, rows)
        self.publish()

    def members_told(self, update: Update, rows: list[Listing], _stale: list[int]) -> None:
        self.balancer.on_members(time.monotonic_ns(), update, rows)
        self.later()

    def later(self) -> None:
        """Publish soon: changes that come together go out together."""
        if self._due is None:
            self._due = asyncio.get_running_loop().call_later(GATHER_S, self.publish)

    def publish(self) -> None:
        """Hand out what holds now; an empty list takes nothing from proxies that have one."""
        self._due = None
        pictures = {group: self.picture(group) for group in self.streams.groups()}
        known = {group: p for group, p in pictures.items() if p is not None}
        if known:
            self.streams.publish(known)
        elif pictures:
            self.log("no server is known: proxies keep what they have")

    def picture(self, group: Group) -> Picture | None:
        """What a group of proxies is to hold; None while no server is known."""
        view = self.balancer.view(time.monotonic_ns())
        addresses = {b: (a.host, a.port) for b, a in self.discovery.roster.endpoints.items()}
        if not view:
            return None
        kind, name = group
        zones = self.config.zones
        zone = zones.index(name) if name in zones else self.config.settings.zone
        present = max(sum(self.streams.groups().values()), 1)
        plans = [
            plan(service, view, addresses, kind, zone, zones, present)
            for service in self.table.services
        ]
        for text in sorted({f"{kind}: {text}" for p in plans for text in p.refused}):
            if text not in self._told:
                self._told.add(text)
                self.log(f"not carried out, and its service not served: {text}")
        whole = [p for p in plans if not p.refused]
        return build(whole, kind, self.file.envoy_listener)

    # ---- Actions ------------------------------------------------------

    def send(self, request: int, backend: int, timeout: int) -> None:
        raise AssertionError("the control service has no requests")

    def refuse(self, request: int, retry_after: int) -> None:
        raise AssertionError("the control service has no requests")

    def fail(self, request: int) -> None:
        raise AssertionError("the control service has no requests")

    def cancel(self, request: int, attempt: int) -> None:
        raise AssertionError("the control service has no requests")

    def probe(self, backend: int) -> None:
        raise AssertionError("the control service probes nothing")

    def set_timer(self, token: int, due: int) -> None:
        delay = max(due - time.monotonic_ns(), 0) / 1e9
        asyncio.get_running_loop().call_later(delay, self._timer, token)

    def _timer(self, token: int) -> None:
        self.balancer.on_timer(time.monotonic_ns(), token)
        if any(v.warmth < 1.0 for v in self.balancer.view(time.monotonic_ns())):
            self.later()

    def watch(self) -> None:
        self.discovery.watch()

    def fetch(self) -> None:
        self.discovery.fetch()

    def log(self, text: str) -> None:
        print(f"{self.config.name}: {text}", file=sys.stderr, flush=True)


async def run(control: Control) -> None:
    """Serve until SIGTERM or SIGINT."""
    server = grpc.aio.server(
        options=[
            ("grpc.max_receive_message_length", MAX_REQUEST),
            ("grpc.max_concurrent_streams", MAX_STREAMS),
            ("grpc.so_reuseport", 0),
        ]
    )
    server.add_generic_rpc_handlers(control.streams.handlers())
    port = server.add_insecure_port(str(control.file.listen))
    control.start()
    await server.start()
    control.log(f"listening on {control.file.listen.host}:{port}")
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await stopped.wait()
    control.discovery.close()
    await server.stop(0.2)


def main(path: str) -> int:
    """Run the control service by its file; 2 where it can't be used."""
    try:
        file = read_file(path)
        config = load({"PROXY_CONFIG": str(file.config), "PROXY_LISTEN": str(file.listen)})
        result = check_file(str(file.routes), config.settings)
        if result.table is None:
            raise ControlError("\n".join(f"{file.routes}:{f}" for f in result.faults))
        asyncio.run(run(Control(file, config, result.table)))
    except (ControlError, ConfigError, ListError, OSError, RuntimeError) as err:
        print(f"control: {err}", file=sys.stderr)
        return 2
    return 0
