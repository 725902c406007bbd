"""Passes the merged list on to nodes in the platform's discovery protocol.

One reader spends the lines of all, however many nodes there are: they ask here, with
watches, as they would ask discovery (`PROXY_DISCOVERY`). A relay that is down costs
nothing but news: nodes keep the list they have, as with discovery. After a restart
versions go on growing with the wall clock, and nothing is answered but 503 before a
whole round has ended: a half-read list would empty the nodes' pools.

Source: the platform's protocol, "Discovery".
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Mapping
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import httptools

from flinthatch import State
from flinthatch.membership.members import Member
from flinthatch.membership.revisions import Revisions
from flinthatch.model import MS
from windrelay.config import Address
from windrelay.consul.file import ConsulFile
from windrelay.consul.merge import MergedList
from windrelay.httpcall import whole_number

LIST = "/registry/instances"
MAX_HOLD_S = 60.0
MAX_WATCHERS = 1024
MAX_HEAD = 8 << 10  # bytes of a request
IDLE_S = 75.0  # for a connection with nothing asked
STATES = {State.READY: "active", State.DRAINING: "leaving"}

Row = Mapping[str, Any]


def row_of(m: Member, wall: int) -> Row:
    """One server in discovery's form; `wall`: Unix time less the monotonic clock's."""
    return {
        "uid": m.uid, "endpoint": str(Address(m.host, m.port)), "az": m.zone, "model": "",
        "pod_group": m.cell, "state": STATES[m.state], "capacity_hint": m.weight,
        "boot_ms": (m.boot + wall) // MS if m.boot else 0,
    }  # fmt: skip


class Relay:
    """The list and who waits for news of it."""

    def __init__(self, file: ConsulFile, log: Callable[[str], None], seed: int) -> None:
        self.merged = MergedList(file, self._pass_on, log, seed)
        self.list: Revisions[Row] = Revisions(time.time_ns() // MS)
        self.watchers: dict[Watcher, asyncio.TimerHandle] = {}
        self.connections = 0
        # Taken once: a boot that is converted again must look the same.
        self._wall = time.time_ns() - time.monotonic_ns()

    def ready(self) -> bool:
        return self.merged.members.complete()

    def answer(self, since: int) -> bytes:
        """Discovery's answer to whoever holds version `since`, 0 for none."""
        changed, whole = self.list.since(since)
        gone = {"state": "left", "endpoint": "", "az": "", "model": "", "pod_group": 0,
                "capacity_hint": 1.0, "boot_ms": 0}  # fmt: skip
        rows = [{"uid": uid} | gone if row is None else row for uid, row in changed.items()]
        return json.dumps({"rev": self.list.rev, "all": whole, "targets": rows}).encode()

    def wait(self, watcher: Watcher, seconds: float) -> None:
        """Answer a watcher once there is news, or after so long."""
        loop = asyncio.get_running_loop()
        self.watchers[watcher] = loop.call_later(seconds, self.release, watcher)

    def release(self, watcher: Watcher) -> None:
        handle = self.watchers.pop(watcher, None)
        if handle is not None:
            handle.cancel()
            watcher.tell()

    def forget(self, watcher: Watcher) -> None:
        handle = self.watchers.pop(watcher, None)
        if handle is not None:
            handle.cancel()

    def _pass_on(self) -> None:
        told = [m for m in self.merged.members.members() if m.state != State.GONE]
        if self.list.replace({m.uid: row_of(m, self._wall) for m in told}):
            for watcher in [*self.watchers]:
                self.release(watcher)


class Watcher(asyncio.Protocol):
    """One node's connection: one question at a time, bounded in size and time."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._size = 0
        self._target = b""
        self._since = 0
        self._idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._relay.connections += 1
        if self._relay.connections > MAX_WATCHERS:
            self._reply(503, b"too many watchers")
            self._transport.close()
        self._rest()

    def connection_lost(self, exc: Exception | None) -> None:
        self._relay.connections -= 1
        self._relay.forget(self)
        if self._idle is not None:
            self._idle.cancel()

    def _rest(self) -> None:
        if self._idle is not None:
            self._idle.cancel()
        if self._transport is not None:
            loop = asyncio.get_running_loop()
            self._idle = loop.call_later(IDLE_S, self._transport.abort)

    def data_received(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > MAX_HEAD:
            self._give_up(400, b"too large")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._give_up(400, b"no HTTP/1.1 request")

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_message_complete(self) -> None:
        target, self._target, self._size = self._target, b"", 0
        self._rest()
        if self in self._relay.watchers:
            self._give_up(400, b"a second question before the first's answer")
            return
        if self._parser.get_method() != b"GET":
            self._give_up(405, b"GET only")
            return
        parts = urlsplit(target.decode("latin-1"))
        if parts.path == "/health/ready":
            self._reply(200 if self._relay.ready() else 503, b"")
        elif parts.path != LIST:
            self._reply(404, b"")
        elif not self._relay.ready():
            self._reply(503, b"no whole list yet")
        else:
            self._asked(parse_qs(parts.query))

    def _asked(self, query: dict[str, list[str]]) -> None:
        since, hold = (whole_number(query.get(k, ["0"])[0]) for k in ("from", "hold_ms"))
        if since is None or hold is None:
            self._reply(400, b"from and hold_ms are whole numbers")
            return
        self._since = since
        if since == self._relay.list.rev and hold > 0:
            self._relay.wait(self, min(hold / 1000, MAX_HOLD_S))
        else:
            self.tell()

    def tell(self) -> None:
        self._reply(200, self._relay.answer(self._since))

    def _reply(self, status: int, body: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        kind = "application/json" if status == 200 else "text/plain"
        head = f"HTTP/1.1 {status} -\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n"
        # One that does not read: its answers are not kept for it.
        if self._transport.get_write_buffer_size() > 0:
            self._transport.abort()
            return
        self._transport.write(head.encode() + b"\r\n" + body)
        if not self._parser.should_keep_alive():
            self._transport.close()

    def _give_up(self, status: int, why: bytes) -> None:
        self._relay.forget(self)
        self._reply(status, why)
        if self._transport is not None:
            self._transport.close()


async def serve(file: ConsulFile, listen: Address, log: Callable[[str], None], seed: int) -> None:
    """Pass the list on at `listen` until cancelled; OSError where it can't be listened at."""
    relay = Relay(file, log, seed)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Watcher(relay), listen.host, listen.port)
    port = server.sockets[0].getsockname()[1]
    print(f"listening on {listen.host}:{port}", flush=True)
    relay.merged.start()
    try:
        await server.serve_forever()
    finally:
        relay.merged.close()
