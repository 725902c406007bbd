"""Scripted xDS proxies of either variant, driven by lines, with faults on command.

    python -m fakes.xds_proxy ADDRESS --count 21 --variant incremental --agent envoy

Written from the xDS protocol's text alone. Each proxy keeps what it accepted and checks
after every message that its picture is whole: no route names a cluster, no cluster
endpoints, that it does not hold. A line on standard input is a JSON object, the answer
one JSON object on standard output:

    {"do": "state"}                                what each proxy holds, and what was wrong
    {"do": "wait", "version": {...}, "limit": 20}  until each holds these (by type and name)
    {"do": "fault", "proxy": "p-1", "fault": {"nack": "cluster"}}
    {"do": "cut", "proxy": "p-1"}   {"do": "connect", "proxy": "p-1"}
    {"do": "seen", "text": "127.0.0.9"}            until each holds endpoints with this in them;
                                                   the answer: when each answered (light ones)

Faults: `silent` (a type, or "all": no answer), `nack` (a type, or a resource's name),
`stale` (answers with the nonce before last), `invent` (answers with a nonce never seen),
`wrong` (asks for a type that is not), `flood` (so many requests at once), `deaf` (reads
nothing any more).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import grpc
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import (
    http_connection_manager_pb2 as manager_pb2,
)
from envoy.service.discovery.v3 import discovery_pb2

PREFIX = "type.googleapis.com/envoy.config."
TYPES = {
    "cluster": PREFIX + "cluster.v3.Cluster",
    "endpoints": PREFIX + "endpoint.v3.ClusterLoadAssignment",
    "listener": PREFIX + "listener.v3.Listener",
    "routes": PREFIX + "route.v3.RouteConfiguration",
}
NAMES = {url: name for name, url in TYPES.items()}
METHOD = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
MAX_MESSAGE = 64 << 20
AGAIN_S = 0.01  # before a stream that ended is followed by another


@dataclass(slots=True)
class Held:
    """One accepted resource: its version, and what it names."""

    version: str
    names: frozenset[str] = frozenset()
    servers: dict[str, list[Any]] = field(default_factory=dict)  # address: [weight, health]
    body: bytes = b""  # kept by a light proxy in place of the servers


def read(kind: str, body: Any, version: str, light: bool = False) -> tuple[str, Held]:
    """A resource's name, and what a proxy keeps of it; a light one keeps endpoints as bytes."""
    if kind == "cluster":
        cluster = cluster_pb2.Cluster.FromString(body.value)
        return cluster.name, Held(version, frozenset([cluster.eds_cluster_config.service_name]))
    if kind == "endpoints":
        load = endpoint_pb2.ClusterLoadAssignment.FromString(body.value)
        if light:
            return load.cluster_name, Held(version, body=body.value)
        servers: dict[str, list[Any]] = {}
        for locality in load.endpoints:
            for one in locality.lb_endpoints:
                at = one.endpoint.address.socket_address
                servers[f"{at.address}:{at.port_value}"] = [
                    one.load_balancing_weight.value, one.health_status
                ]  # fmt: skip
        return load.cluster_name, Held(version, frozenset(), servers)
    if kind == "listener":
        listener = listener_pb2.Listener.FromString(body.value)
        chain = listener.filter_chains[0].filters[0].typed_config
        manager = manager_pb2.HttpConnectionManager.FromString(chain.value)
        return listener.name, Held(version, frozenset([manager.rds.route_config_name]))
    routes = route_pb2.RouteConfiguration.FromString(body.value)
    names = {r.route.cluster for host in routes.virtual_hosts for r in host.routes}
    return routes.name, Held(version, frozenset(names - {""}))


class Proxy:
    """One proxy, over one stream after another; what it accepted outlives them."""

    def __init__(self, name: str, address: str, incremental: bool, agent: str, zone: str) -> None:
        self.name = name
        self.address = address
        self.incremental = incremental
        self.agent = agent
        self.zone = zone
        self.held: dict[str, dict[str, Held]] = {kind: {} for kind in TYPES}
        self.type_version: dict[str, str] = {}
        self.fault: dict[str, Any] = {}
        self.light = False
        self.again = False  # whether a stream that ends is followed by another
        self.wrong: list[str] = []
        self.messages = 0
        self.bytes = 0
        self.answered = 0.0  # when the last message was answered, by the machine's clock
        self.ended = ""
        self.refused = 0
        self._nonces: dict[str, list[str]] = {}
        self._asked: dict[str, set[str]] = {}
        self._removed_late: set[str] = set()
        self._queue: asyncio.Queue[Any] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None
        self._first = True
        self.news = asyncio.Event()

    def connect(self) -> None:
        self._task = asyncio.create_task(self._streams())

    async def _streams(self) -> None:
        while True:
            self._queue = asyncio.Queue()
            self._nonces = {}
            self._asked = {}
            self._first = True
            self.ended = ""
            await self._run(self._queue)
            if not self.again:
                return
            await asyncio.sleep(AGAIN_S)

    async def cut(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _requests(self, queue: asyncio.Queue[Any]) -> AsyncIterator[Any]:
        while (message := await queue.get()) is not None:
            yield message

    async def _run(self, queue: asyncio.Queue[Any]) -> None:
        options = [
            ("grpc.use_local_subchannel_pool", 1),
            ("grpc.max_receive_message_length", MAX_MESSAGE),
        ]
        answer = (
            discovery_pb2.DeltaDiscoveryResponse if self.incremental
            else discovery_pb2.DiscoveryResponse
        )  # fmt: skip
        variant = "Delta" if self.incremental else "Stream"
        async with grpc.aio.insecure_channel(self.address, options=options) as channel:
            stream = channel.stream_stream(
                f"{METHOD}{variant}AggregatedResources",
                lambda m: m.SerializeToString(),
                None,
            )(self._requests(queue), wait_for_ready=True)
            self._ask("cluster", set())
            self._ask("listener", set())
            self._follow()  # what it holds from before it asks for again at once
            try:
                async for data in stream:
                    self.bytes += len(data)
                    self._take(answer.FromString(data))
                    self.news.set()
                    if "deaf" in self.fault:
                        await asyncio.Event().wait()
            except grpc.RpcError as err:
                self.ended = err.code().name
            else:
                self.ended = "OK"
            finally:
                queue.put_nowait(None)
                self.news.set()

    # ---- requests ------------------------------------------------------

    def _put(self, kind: str, **fields: Any) -> None:
        request = (
            discovery_pb2.DeltaDiscoveryRequest if self.incremental
            else discovery_pb2.DiscoveryRequest
        )  # fmt: skip
        message = request(type_url=TYPES.get(kind, kind), **fields)
        if self._first:
            message.node.id, message.node.user_agent_name = self.name, self.agent
            message.node.user_agent_version = "1.85.0"
            message.node.locality.zone = self.zone
            self._first = False
        self._queue.put_nowait(message)

    def _ask(self, kind: str, names: set[str]) -> None:
        """Subscribe to exactly these; none stands for all clusters and listeners."""
        old = self._asked.get(kind)
        if old == names:
            return
        self._asked[kind] = names
        if self.incremental:
            fields: dict[str, Any] = {
                "resource_names_subscribe": sorted(names - (old or set())),
                "resource_names_unsubscribe": sorted((old or set()) - names),
            }
            if old is None:
                held = self.held[kind].items()
                fields["initial_resource_versions"] = {n: h.version for n, h in held}
            self._put(kind, **fields)
            return
        nonce = self._nonces.get(kind, [""])[-1]
        version = self.type_version.get(kind, "")
        self._put(kind, resource_names=sorted(names), response_nonce=nonce, version_info=version)

    def _answer(self, kind: str, nonce: str, error: str) -> None:
        fields: dict[str, Any] = {"response_nonce": nonce}
        if error:
            fields["error_detail"] = {"code": 3, "message": error}
        if not self.incremental:
            fields["resource_names"] = sorted(self._asked.get(kind, ()))
            fields["version_info"] = self.type_version.get(kind, "")
        self._put(kind, **fields)
        self.answered = time.monotonic()

    def misbehave(self) -> None:
        """Carry out the faults that need no message to answer."""
        if "wrong" in self.fault:
            self._put("type.googleapis.com/some.Other")
        for _ in range(int(self.fault.get("flood", 0))):
            self._put("cluster")

    # ---- answers -------------------------------------------------------

    def _take(self, m: Any) -> None:
        self.messages += 1
        kind = NAMES[m.type_url]
        nonces = self._nonces.setdefault(kind, [])
        if m.nonce in nonces:
            self.wrong.append(f"nonce {m.nonce} came twice")
        nonces.append(m.nonce)
        del nonces[:-3]
        rows = {}
        for r in m.resources:
            body, version = (r.resource, r.version) if self.incremental else (r, m.version_info)
            name, held = read(kind, body, version, self.light)
            if name in rows:
                self.wrong.append(f"{kind} {name} twice in one message")
            rows[name] = held
        bad = self.fault.get("nack")
        if bad is not None and (bad == kind or bad in rows):
            self.refused += 1
            self._answer(kind, m.nonce, f"{bad} is not wanted here")
            return
        self._accept(kind, rows, m)
        if self.fault.get("silent") in (kind, "all"):
            return
        if "stale" in self.fault and len(nonces) > 1:
            self._answer(kind, nonces[-2], "")
        if "invent" in self.fault:
            self._answer(kind, "never-seen", "")
        self._answer(kind, m.nonce, "")
        self._follow()

    def _accept(self, kind: str, rows: dict[str, Held], m: Any) -> None:
        held = self.held[kind]
        if self.incremental:
            held.update(rows)
            for name in m.removed_resources:
                held.pop(name, None)
        else:
            self.type_version[kind] = m.version_info
            if kind in ("cluster", "listener"):
                held.clear()
            held.update(rows)
        self._check(kind)

    def _check(self, kind: str) -> None:
        """Whether the picture is whole after a message of this type.

        A cluster that is new waits for its endpoints, and a listener for its routes,
        before either is used: that is how proxies warm them. Routes are used at once.
        """
        for name, routes in self.held["routes"].items():
            for cluster in routes.names:
                if cluster not in self.held["cluster"]:
                    self.wrong.append(f"after {kind}: routes {name} name {cluster}, not held")
                elif not self.held["cluster"][cluster].names <= self.held["endpoints"].keys():
                    self.wrong.append(f"after {kind}: {cluster} without its endpoints")

    def _follow(self) -> None:
        """Ask for what is named now, as proxies do."""
        for kind, by in (("endpoints", "cluster"), ("routes", "listener")):
            names = {n for held in self.held[by].values() for n in held.names}
            if names or kind in self._asked:
                self._ask(kind, names)
                self.held[kind] = {n: h for n, h in self.held[kind].items() if n in names}

    def state(self) -> dict[str, Any]:
        return {
            "held": {k: {n: h.version for n, h in r.items()} for k, r in self.held.items()},
            "types": self.type_version,
            "servers": {n: h.servers for n, h in self.held["endpoints"].items()},
            "wrong": self.wrong[:5],
            "messages": self.messages,
            "bytes": self.bytes,
            "refused": self.refused,
            "ended": self.ended,
        }


class Script:
    """All proxies of this process, and the commands."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.proxies = {}
        for i in range(1, args.count + 1):
            # Two with one id are told apart here by what follows the colon.
            name = args.id if args.twins else f"{args.id}-{i}"
            proxy = Proxy(name, args.address, args.variant == "incremental", args.agent, args.zone)
            proxy.again, proxy.light = args.again, args.light
            self.proxies[f"{name}:{i}" if args.twins else name] = proxy

    async def obey(self, order: dict[str, Any]) -> Any:
        what = order["do"]
        chosen = [self.proxies[order["proxy"]]] if "proxy" in order else [*self.proxies.values()]
        if what == "state":
            return {name: p.state() for name, p in self.proxies.items()}
        if what == "seen":
            return await self._seen(order["text"].encode(), float(order.get("limit", 60)))
        if what == "wait":
            return await self._wait(order)
        for p in chosen:
            if what == "fault":
                p.fault = order["fault"]
                p.misbehave()
            elif what == "cut":
                await p.cut()
            elif what == "connect":
                await p.cut()
                p.connect()
        return {}

    async def _seen(self, text: bytes, limit: float) -> list[float]:
        """The machine's time at which each proxy answered what holds this text."""
        out = []
        end = time.monotonic() + limit
        for p in self.proxies.values():
            while True:
                p.news.clear()
                if any(text in h.body for h in p.held["endpoints"].values()):
                    out.append(p.answered)
                    break
                async with asyncio.timeout(max(end - time.monotonic(), 0.0)):
                    await p.news.wait()
        return out

    async def _wait(self, order: dict[str, Any]) -> Any:
        """Until every proxy (but those named) has this count of servers, all as told."""
        limit = time.monotonic() + float(order.get("limit", 20))
        service, servers = order["service"], order["servers"]
        others = [p for n, p in self.proxies.items() if n not in order.get("but", ())]
        while True:
            for p in others:
                p.news.clear()
            missing = [
                p for p in others
                if (h := p.held["endpoints"].get(service)) is None
                or any(h.servers.get(a, [0, -1])[1] != want for a, want in servers.items())
                or (order.get("only") and h.servers.keys() != servers.keys())
            ]  # fmt: skip
            left = limit - time.monotonic()
            if not missing or left <= 0:
                return {"missing": sorted(p.name for p in missing)}
            waits = [asyncio.create_task(p.news.wait()) for p in missing[:1]]
            await asyncio.wait(waits, timeout=left)
            for w in waits:
                w.cancel()


async def serve(args: argparse.Namespace) -> None:
    script = Script(args)
    reader = asyncio.StreamReader(limit=1 << 24)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    print("listening on nothing", flush=True)
    while line := await reader.readline():
        print(json.dumps(await script.obey(json.loads(line))), flush=True)
    for p in script.proxies.values():
        await p.cut()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("address")
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--variant", choices=("whole", "incremental"), default="whole")
    parser.add_argument("--agent", default="envoy")
    parser.add_argument("--zone", default="east")
    parser.add_argument("--id", default="p")
    parser.add_argument("--twins", action="store_true", help="all with the same id")
    parser.add_argument("--light", action="store_true", help="keep endpoints unread")
    parser.add_argument("--again", action="store_true", help="reconnect when a stream ends")
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
