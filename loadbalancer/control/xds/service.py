"""The control service: the decisions of one Balancer a pool, handed to other proxies.

    python -m loadbalancer control deploy/control.toml

The list of servers comes by the node's own discovery or from a file, routes and
classes from the routes file. SIGHUP reads the routes, and where discovery is, anew.
The process is asyncio's and grpc.aio's own; the node imports none of it.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path

import grpc

from loadbalancer.config.node import Config, ConfigError, load
from loadbalancer.config.routes_file import check_file
from loadbalancer.control.xds.encode import Encoder
from loadbalancer.control.xds.file import ControlError, ControlFile, PoolFile, TlsFile, read_file
from loadbalancer.control.xds.load_reports import LoadReports
from loadbalancer.control.xds.peers import Group
from loadbalancer.control.xds.pool import Pool, asking
from loadbalancer.control.xds.server import MAX_REQUEST, MAX_STREAMS, Streams
from loadbalancer.control.xds.status import ClientStatus
from loadbalancer.core.routes.table import Table
from loadbalancer.core.xds.drains import MARGIN_FRACTION
from loadbalancer.core.xds.plan import Plan
from loadbalancer.core.xds.snapshot import ResourceType, Snapshot
from loadbalancer.core.xds.target_proxies import TargetProxies
from loadbalancer.sources.consul.file import ConsulError
from loadbalancer.sources.discovery import Discovery, ListError

GATHER_S = 0.05  # after a publication changes are gathered for this long ...
GATHER_PART = 2.0  # ... and for so many times as long as that one took
LEARN_S = 1.0  # how often load reports are turned into what the pools learn
PRESS_PART = 0.4  # of a drain's grace; then answers are not waited for any more
SPOKEN_FOR = 10  # names of proxies in one log line

Inputs = list[tuple[PoolFile, Config, Table]]


class Control:
    """All pools, and what they hand out together."""

    def __init__(self, path: str, file: ControlFile, inputs: Inputs) -> None:
        self.path = path
        self.file = file
        self.streams = Streams(self.log, self.later, self.picture, file.tls)
        self.pools = [
            Pool(*row, file.report_every, self.later, self.drain, self.log) for row in inputs
        ]
        by_name = {pool.name: pool for pool in self.pools}
        self.reports = LoadReports(lambda: by_name, file.report_every, file.tls, self.log)
        self.status = ClientStatus(
            lambda: [(s.peer, s.session) for s in self.streams.streams],
            self.withheld,
            self.old,
            self.report_counts,
        )
        self._encoders: dict[Group, Encoder] = {}
        self._withheld: dict[Group, dict[str, str]] = {}
        self._told: set[str] = set()  # what was said to be not carried out
        self._due: asyncio.TimerHandle | None = None
        self._rest_until = 0.0  # no publication before
        self._held_back = False
        self._was_old = ""

    def start(self) -> None:
        for pool in self.pools:
            pool.start()
        asyncio.get_running_loop().call_later(LEARN_S, self._learn)

    def later(self) -> None:
        """Publish soon: a first change at once, those that follow it together."""
        if self._due is None:
            loop = asyncio.get_running_loop()
            self._due = loop.call_at(max(self._rest_until, loop.time()), self.publish)

    def publish(self) -> None:
        """Hand out what holds now; an empty list takes nothing from proxies that have one."""
        if self._due is not None:
            self._due.cancel()
            self._due = None
        loop = asyncio.get_running_loop()
        began = loop.time()
        known = {}
        for group in self.streams.groups():
            picture = self.picture(group)
            if picture is not None:
                known[group] = picture
        if known:
            self.streams.publish(known)
        now = loop.time()
        self._rest_until = now + max(GATHER_S, GATHER_PART * (now - began))

    def picture(self, group: Group) -> Snapshot | None:
        """What a group of proxies is to hold; None while some pool knows no server.

        Without that pool's services the picture would take them from proxies that
        still live on them, after a restart.
        """
        unknown = [pool.name for pool in self.pools if not pool.known()]
        if unknown:
            if not self._held_back:
                self.log(f"no server is known of {', '.join(unknown)}: proxies keep what they have")
            self._held_back = True
            return None
        self._held_back = False
        present = max(self.streams.proxies(), 1)
        whole: list[Plan] = []
        withheld: dict[str, str] = {}
        for pool in self.pools:
            for p in pool.plans(self._audience(pool, group, present)):
                if p.unsupported:
                    withheld[p.service] = "; ".join(p.unsupported)
                else:
                    whole.append(p)
                self._say(group, p)
        self._withheld[group] = withheld
        encoder = self._encoders.get(group)
        if encoder is None:
            encoder = self._encoders[group] = Encoder(group.kind, self.file.envoy_listener)
        picture = encoder.build(whole)
        self._remember(group, picture)
        return picture

    def _audience(self, pool: Pool, group: Group, present: int) -> TargetProxies:
        zones = pool.config.zones
        zone = zones.index(group.zone) if group.zone in zones else pool.config.settings.zone
        return TargetProxies(group.kind, zone, zones, present, self.file.own_ramp)

    def _remember(self, group: Group, picture: Snapshot) -> None:
        """Who takes new work in each set of endpoints that is handed out."""
        endpoints = picture.of_type(ResourceType.ENDPOINTS)
        for pool in self.pools:
            usable = pool.usable()
            for service, drains in pool.drains.items():
                if service in endpoints:
                    key = (group.kind.value, group.zone)
                    drains.record_assignment(key, endpoints[service].version, usable)

    def _say(self, group: Group, p: Plan) -> None:
        """What is not carried out, once for each kind of proxy."""
        rows = [(f"{p.service} is not served", text) for text in p.unsupported]
        rows += [("not carried out", text) for text in p.omitted]
        for what, text in rows:
            line = f"{group.kind}: {what}: {text}"
            if line not in self._told:
                self._told.add(line)
                self.log(line)

    def withheld(self, group: Group) -> Mapping[str, str]:
        return self._withheld.get(group, {})

    def old(self) -> str:
        return "; ".join(filter(None, (pool.old() for pool in self.pools)))

    def report_counts(self, node: str) -> tuple[int, int]:
        counts = [pool.ledger.counts(node) for pool in self.pools]
        return sum(c for c, _ in counts), sum(r for _, r in counts)

    # ---- drains -------------------------------------------------------

    def drain(self, pool: Pool) -> None:
        """A drain goes out at once; who has not answered is told again without waiting."""
        self.publish()
        loop = asyncio.get_running_loop()
        grace = pool.config.settings.drain_grace / 1e9
        loop.call_later(grace * PRESS_PART, self._press, pool)
        # A little after: a timer may come some nanoseconds before its time.
        loop.call_later(grace * (1.0 - MARGIN_FRACTION) + 0.002, self._report, pool)

    def _press(self, pool: Pool) -> None:
        for service in pool.drains:
            self.streams.press(pool.late(service, self.streams.holdings(service)))

    def _report(self, pool: Pool) -> None:
        now = time.monotonic_ns()
        for service, drains in pool.drains.items():
            for r in drains.due_reports(now, self.streams.holdings(service)):
                server = pool.address(r.backend)
                text = f"{service}: drain of {server} told in time to {r.notified} proxies"
                if r.not_notified:
                    names = ", ".join(r.not_notified[:SPOKEN_FOR])
                    more = (
                        f" and {len(r.not_notified) - SPOKEN_FOR} more"
                        if r.not_notified[SPOKEN_FOR:]
                        else ""
                    )
                    text += f", NOT to {len(r.not_notified)}: {names}{more}"
                self.log(text)

    # ---- time, reload -------------------------------------------------

    def _learn(self) -> None:
        for pool in self.pools:
            pool.learn()
        old = self.old()
        if bool(old) != bool(self._was_old):
            self.log(f"list is old, proxies keep it: {old}" if old else "list is fresh again")
        self._was_old = old
        asyncio.get_running_loop().call_later(LEARN_S, self._learn)

    def reload(self) -> None:
        """Read the files again: routes and discovery's address may change, all at once or none."""
        try:
            file = read_file(self.path)
            if replace(file, pools=()) != replace(self.file, pools=()):
                raise ControlError("only routes, and where discovery is, change without a restart")
            if [p.sources() for p in file.pools] != [p.sources() for p in self.file.pools]:
                raise ControlError("pools, and where their servers come from, need a restart")
            inputs = read_inputs(file)
        except (ControlError, ConfigError) as err:
            self.log(f"reload: nothing changed: {err}")
            return
        self.file = file
        for pool, (_, config, table) in zip(self.pools, inputs, strict=True):
            pool.follow(table)
            if isinstance(pool.members, Discovery):
                pool.members.move(config.discovery, asking(config).settings)
        self.log("reload: taken over")
        self.publish()

    def close(self) -> None:
        for pool in self.pools:
            pool.members.close()

    def log(self, text: str) -> None:
        print(f"control: {text}", file=sys.stderr, flush=True)


def read_inputs(file: ControlFile) -> Inputs:
    """Every pool's configuration and routes; ControlError or ConfigError with what is wrong."""
    out: Inputs = []
    seen: dict[str, str] = {}
    for pool in file.pools:
        config = load({"PROXY_CONFIG": str(pool.config), "PROXY_LISTEN": str(file.listen)})
        result = check_file(str(pool.routes), config.settings)
        if result.table is None:
            raise ControlError("\n".join(f"{pool.routes}:{f}" for f in result.faults))
        for service in result.table.services:
            for name in (f"service {service.name}", *(f"host {h}" for h in service.hosts)):
                if seen.setdefault(name, pool.name) != pool.name:
                    raise ControlError(
                        f"{pool.routes}: [twice] {name} is pool {seen[name]}'s already; "
                        "a proxy tells services apart by name and host"
                    )
        out.append((pool, config, result.table))
    return out


def _credentials(tls: TlsFile) -> grpc.ServerCredentials:
    """Both sides show a certificate; the files are read again at each handshake."""

    def read() -> grpc.ServerCertificateConfiguration:
        pair = (Path(tls.key).read_bytes(), Path(tls.certificate).read_bytes())
        clients = Path(tls.clients).read_bytes()
        return grpc.ssl_server_certificate_configuration([pair], clients)

    def again() -> grpc.ServerCertificateConfiguration | None:
        try:
            return read()
        except (OSError, ValueError):
            return None  # half replaced: what held goes on to hold

    return grpc.dynamic_ssl_server_credentials(read(), again, True)


async def run(control: Control) -> None:
    """Serve until SIGTERM or SIGINT."""
    server = grpc.aio.server(
        options=[
            ("grpc.max_receive_message_length", MAX_REQUEST),
            ("grpc.max_concurrent_streams", MAX_STREAMS),
            ("grpc.so_reuseport", 0),
        ]
    )
    handlers = (*control.streams.handlers(), control.status.handler(), control.reports.handler())
    server.add_generic_rpc_handlers(handlers)
    listen = control.file.listen
    if control.file.tls is None:
        port = server.add_insecure_port(str(listen))
    else:
        port = server.add_secure_port(str(listen), _credentials(control.file.tls))
    control.start()
    await server.start()
    control.log(f"listening on {listen.host}:{port}")
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, control.reload)
    await stopped.wait()
    control.close()
    await server.stop(0.2)


def main(path: str) -> int:
    """Run the control service by its file; 2 where it can't be used."""
    try:
        file = read_file(path)
        asyncio.run(run(Control(path, file, read_inputs(file))))
    except (ControlError, ConfigError, ConsulError, ListError, OSError, RuntimeError) as err:
        print(f"control: {err}", file=sys.stderr)
        return 2
    return 0
