"""Stand-ins and helpers for the cases 6 to 8: the platform, clients, servers, discovery.

Only the standard library. Everything listens on loopback, at ports that the system picks.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import traceback
import weakref
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
SECOND = 1_000_000_000  # nanoseconds
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

_opened: weakref.WeakSet[asyncio.StreamWriter] = weakref.WeakSet()  # of clients, to be closed

# The settings of the example in the wire page (section 14), for one node of one zone.
SETTINGS: dict[str, Any] = {
    "areas": ["dublin"],
    "balancers": 1,
    "classes": [
        {"credit": 1.0, "deadline": 2 * SECOND, "dedup_scope": "all", "effect": "pure",
         "late_worth": 0.0, "name": "balance", "repeat_window": 5 * SECOND, "stream": False,
         "target": 800_000_000},
        {"credit": 5.0, "deadline": 3 * SECOND, "dedup_scope": "all", "effect": "side_effect",
         "late_worth": 0.0, "name": "credit", "repeat_window": 5 * SECOND, "stream": False,
         "target": 750_000_000},
    ],
    "clients": {"marks_retry": False},
    "domain": {"warm_keys": False},
    "family": "proxy",
    "goal": {"whole": 0.55, "worst_class": 0.1, "worst_tenant": 0.0, "worst_window": 0.35},
    "layers": ["topup-web"],
    "limits": {"cancelling": True, "cpu_us_per_request": 10.0, "cpu_us_per_s": 15000,
               "dial_timeout": 250_000_000, "idle_close": 60 * SECOND, "max_attempts": 4,
               "max_retry_after": 2 * SECOND, "max_streams": 1, "open_cap": 20000, "peers": False,
               "probes": True, "retry_after": True, "second_copies": True},
    "load_info": {"columns": [], "how": "off"},
    "me": 0,
    "my_zone": 0,
    "over_share_worth": 0.1,
    "prices": {"connection": 0.0, "cross_zone": 0.03, "handshake": 0.0, "late_fail": 0.08,
               "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "registry_mode": 0.0,
               "waste": 0.1},
    "realms": [],
    "registry_mode": "ask",
    "rules": {"ask_within": 10 * SECOND, "cold": 8_300_000_000, "cold_from": 0.31,
              "drain_grace": 2 * SECOND, "fall": 1_500_000_000, "fall_multiple": 3.0,
              "grace_to_answer": 20_000_000},
    "skus": ["single-core"],
    "tick": 5_000_000,
    "tier": 0,
    "weights": "off",
    "worth_by": "work",
}  # fmt: skip


class Record:
    """The file record.txt of a case: what was sent, answered and run, by seconds of the run."""

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._began

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():9.4f} {text}\n")
        self._file.flush()


@dataclass
class Request:
    """One request that a server has read."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Its X-Request-ID."""
        return self.headers.get("x-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """The start line and the header fields of a message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in fields}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """The content of a message with a length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    chunks = []
    while size := int((await reader.readuntil(b"\n")).partition(b";")[0], 16):
        chunks.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readuntil(b"\n")
    return b"".join(chunks)


def answer(status: int, body: bytes = b"", fields: str = "") -> bytes:
    """A whole HTTP/1.1 answer."""
    return b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n%s\r\n%s" % (
        status, len(body), fields.encode(), body,
    )  # fmt: skip


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A topup server: reads requests one at a time on a connection; a handler answers them."""

    def __init__(self, record: Record, name: str, handler: Handler) -> None:
        self.record = record
        self.name = name
        self.address = ""
        self.requests: list[tuple[float, Request]] = []  # by the time of their last byte
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 20, backlog=512
        )
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, path, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                request = Request(method, path, head[1], body)
                self.requests.append((self.record.now(), request))
                self.record.line(f"{self.name} gets {method} {path} id={request.id}")
                await self._handler(request, writer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()


class Discovery:
    """Discovery of the protocol page: whole lists, and watches that wait for a change."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.address = ""
        self.rev = 41
        self.rows: dict[str, dict[str, Any]] = {}
        self._changes: list[tuple[int, str]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def change(self, *rows: dict[str, Any]) -> None:
        """Change rows in one new version."""
        async with self._changed:
            self.rev += 1
            for row in rows:
                self.rows[row["uid"]] = row
                self._changes.append((self.rev, row["uid"]))
                self.record.line(f"discovery has {row['uid']} {row['state']} rev={self.rev}")
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                _, _, query = head[0].split(" ", 2)[1].partition("?")
                values = dict(part.split("=", 1) for part in query.split("&") if part)
                writer.write(await self.respond(values))
                await writer.drain()
                if head[1].get("connection", "").lower() == "close":
                    break
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def respond(self, query: dict[str, str]) -> bytes:
        """The answer to one call."""
        return answer(200, json.dumps(await self._list(query)).encode())

    async def _list(self, query: dict[str, str]) -> dict[str, Any]:
        present = [row for row in self.rows.values() if row["state"] != "left"]
        if "from" not in query:
            return {"rev": self.rev, "all": True, "targets": present}
        since = int(query["from"])
        if since == self.rev:
            hold_s = min(int(query.get("hold_ms", "0")), 60_000) / 1000
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._changed.wait_for(lambda: self.rev != since), hold_s
                    )
        if since > self.rev:
            return {"rev": self.rev, "all": True, "targets": present}
        names = dict.fromkeys(uid for rev, uid in self._changes if rev > since)
        return {"rev": self.rev, "all": False, "targets": [self.rows[uid] for uid in names]}


def target(uid: str, endpoint: str, state: str = "active", boot_ms: int = 0) -> dict[str, Any]:
    """One row of discovery's list."""
    return {"uid": uid, "endpoint": endpoint, "az": "dublin", "model": "single-core",
            "pod_group": 0, "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}  # fmt: skip


def free_port() -> int:
    """A port that nobody listens at just now."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class CannotRunError(Exception):
    """The case could not run; the text says why."""


@dataclass
class Node:
    """One real node, started with `run` of the deploy file."""

    record: Record
    folder: Path
    listen: str = ""
    admin: str = ""
    process: asyncio.subprocess.Process | None = None
    environment: dict[str, str] = field(default_factory=dict)

    async def start(
        self, discovery: str, known: list[dict[str, Any]], settings: dict[str, Any],
        limits: dict[str, Any] | None = None, environment: dict[str, str] | None = None,
        admin: bool = False, **further: Any,
    ) -> None:  # fmt: skip
        """Start the process and wait until `GET /health/ready` answers 200."""
        self.listen = self.listen or f"127.0.0.1:{free_port()}"
        self.admin = f"127.0.0.1:{free_port()}" if admin else ""
        config = {
            "name": "n0", "listen": self.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 41, "all": True, "targets": known}, "settings": settings,
        } | further  # fmt: skip
        path = self.folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        given = {"PROXY_NAME": "n0", "PROXY_LISTEN": self.listen, "PROXY_DISCOVERY": discovery,
                 "PROXY_CONFIG": str(path), "TMPDIR": str(temporary)}  # fmt: skip
        if admin:
            given["PROXY_ADMIN"] = self.admin
        self.environment = {"PATH": os.environ["PATH"]} | given | (environment or {})
        with (self.folder / "node.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=self.environment, stdout=log, stderr=log
            )
        self.record.line(f"node started, listens at {self.listen}")
        for _ in range(600):
            if self.process.returncode is not None:
                raise CannotRunError(f"the node ended with status {self.process.returncode}")
            if await self.is_ready():
                self.record.line("node is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError("the node was not ready within 30 s")

    async def is_ready(self) -> bool:
        """Whether the clients' address says yes to the front's check."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await connect(self.listen)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head is not None and head[0].split()[1] == "200"
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.record.line(f"node gets {number.name}")

    def log(self) -> str:
        """What the node has written."""
        return (self.folder / "node.log").read_text(encoding="utf-8", errors="replace")

    async def end(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


@dataclass
class World:
    """A running node, its servers, and the discovery that lists them."""

    node: Node
    servers: list[Server]
    discovery: Discovery


@contextlib.asynccontextmanager
async def world(
    record: Record, folder: Path, handler: Handler, servers: int = 4,
    discovery: Discovery | None = None, settings: dict[str, Any] | None = None, **of_node: Any,
) -> AsyncIterator[World]:  # fmt: skip
    """Start so many servers, discovery and a node; end all of them at the end of the block."""
    started = [Server(record, f"s-{number}", handler) for number in range(servers)]
    discovery, node = discovery or Discovery(record), Node(record, folder)
    try:
        for server in started:
            await server.start()
        rows = [target(server.name, server.address) for server in started]
        discovery.rows = {row["uid"]: row for row in rows}
        await discovery.start()
        await node.start(discovery.address, rows, settings or SETTINGS, **of_node)
        yield World(node, started, discovery)
    finally:
        await node.end()
        for closing in (*started, discovery):
            closing.close()


async def connect(
    address: str, limit: int = 1 << 20
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to host:port."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=limit)
    _opened.add(writer)
    return reader, writer


def request_bytes(
    cls: str, request_id: str, timeout_ms: int, body: bytes = b"", fields: str = ""
) -> bytes:
    """A client's request: GET for `balance`, else POST."""
    method = "GET" if cls == "balance" else "POST"
    length = "" if method == "GET" else f"Content-Length: {len(body)}\r\n"
    head = (
        f"{method} /{cls}/{request_id} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {request_id}\r\n"
        f"X-Priority-Class: {cls}\r\nX-Timeout-Ms: {timeout_ms}\r\n{fields}{length}\r\n"
    )
    return head.encode() + body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes, dict[str, str]] | None:
    """Status, body and header fields of a whole answer; None if the connection ends first."""
    while True:
        head = await read_head(reader)
        if head is None:
            return None
        status = int(head[0].split()[1])
        if status >= 200:
            break
    try:
        return status, await read_body(reader, head[1]), head[1]
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


def resident_mb(pid: int) -> float:
    """The memory that a process has resident, in MB; 0 once it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii", errors="replace")
    except OSError:
        return 0.0
    sizes = [line.split()[1] for line in status.splitlines() if line.startswith("VmRSS:")]
    return int(sizes[0]) / 1024 if sizes else 0.0


class Platform:
    """Kills a node whose memory is over its limit."""

    def __init__(self, record: Record, node: Node, memory_mb: int) -> None:
        self.most_mb = 0.0
        self.has_killed = False
        self._record = record
        self._node = node
        self._memory_mb = memory_mb

    async def watch(self) -> None:
        """Look at the node's memory until it is killed."""
        assert self._node.process is not None
        pid = self._node.process.pid
        while not self.has_killed:
            now_mb = resident_mb(pid)
            if now_mb > self.most_mb + 10:
                self._record.line(f"the node has {now_mb:.0f} MB")
            self.most_mb = max(self.most_mb, now_mb)
            if now_mb > self._memory_mb:
                self._record.line(f"the node has {now_mb:.0f} MB, over {self._memory_mb}: killed")
                self.has_killed = True
                self._node.signal(signal.SIGKILL)
            await asyncio.sleep(0.02)


Case = Callable[[Record, Path], Awaitable[int]]


async def _run(case: Case, record: Record, folder: Path, limit_s: float) -> int:
    try:
        return await asyncio.wait_for(case(record, folder), limit_s)
    finally:
        for writer in list(_opened):
            writer.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        await asyncio.sleep(0.05)  # in which the closed connections are released


def _stop(_number: int, _frame: object) -> None:
    raise SystemExit(NOT_RUN)


def main(case: Case, script: str, limit_s: float = 110) -> None:
    """Run a case in a temporary folder; exits with 0, 1 or 2."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    signal.signal(signal.SIGTERM, _stop)
    record = Record(Path(script).resolve().parent)
    record.line(f"TROUBLE={int(TROUBLE)}")
    folder = Path(tempfile.mkdtemp(prefix="case-"))
    status = NOT_RUN
    try:
        status = asyncio.run(_run(case, record, folder, limit_s))
    except Exception:  # noqa: BLE001 -- whatever it is, the case has not shown anything
        record.line(f"could not run: {traceback.format_exc()}")
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "could not run"}
    record.line(verdict[status])
    print(verdict[status])
    raise SystemExit(status)
