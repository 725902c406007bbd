"""Starts nodes by the deploy file, and stands in for discovery and backends, on loopback sockets.

All stand-ins run in the process of the test; a node is a process of its own. Each line of the
record begins with the seconds since the start of the test.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import select
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SECOND = 1_000_000_000
BROKEN, HELD, NOT_RUN = 1, 0, 2  # exit statuses of a script


def trouble() -> bool:
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text: str) -> None:
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        self._file.close()


def settings(classes: list[dict], **changes: object) -> dict:
    """The settings of the wire page's example, with these classes."""
    base = {
        "areas": ["dublin", "cork"],
        "balancers": 1,
        "classes": classes,
        "clients": {"marks_retry": False},
        "domain": {"warm_keys": False},
        "family": "proxy",
        "goal": {"whole": 0.55, "worst_class": 0.1, "worst_tenant": 0.0, "worst_window": 0.35},
        "layers": ["topup-web"],
        "limits": {
            "cancelling": True, "cpu_us_per_request": 10.0, "cpu_us_per_s": 15000,
            "dial_timeout": 250_000_000, "idle_close": 60 * SECOND, "max_attempts": 4,
            "max_retry_after": 2 * SECOND, "max_streams": 1, "open_cap": 20000, "peers": False,
            "probes": True, "retry_after": True, "second_copies": True,
        },
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
    for key, value in changes.items():
        base[key] = {**base[key], **value} if isinstance(value, dict) else value
    return base


def balance_class(**changes: object) -> dict:
    """The class `balance` of the wire page's example: safe to repeat."""
    return {"credit": 1.0, "deadline": 2 * SECOND, "dedup_scope": "all", "effect": "pure",
            "late_worth": 0.0, "name": "balance", "repeat_window": 5 * SECOND, "stream": False,
            "target": 800_000_000} | changes  # fmt: skip


def credit_class(**changes: object) -> dict:
    """The class `credit` of the wire page's example: unsafe to repeat."""
    return {"credit": 5.0, "deadline": 3 * SECOND, "dedup_scope": "all", "effect": "side_effect",
            "late_worth": 0.0, "name": "credit", "repeat_window": 5 * SECOND, "stream": False,
            "target": 750_000_000} | changes  # fmt: skip


def free_port() -> int:
    """A loopback port that nothing listens on, below those that outgoing connections get."""
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


def no_delay(writer: asyncio.StreamWriter) -> None:
    """Send each write at once."""
    sock = writer.transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Request:
    """A request as a backend has read it."""

    def __init__(self, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.id = fields.get("x-request-id", "")


async def read_request(reader: asyncio.StreamReader, first: bytes = b"") -> Request | None:
    """Read one request, whose first bytes may have been read; None at the end of the stream."""
    try:
        head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *lines = head.rstrip("\r\n").split("\r\n")
        method, target, _ = line.split(" ", 2)
        fields = {}
        for text in lines:
            name, _, value = text.partition(":")
            fields[name.strip().lower()] = value.strip()
        body = b""
        if "chunked" in fields.get("transfer-encoding", "").lower():
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
        else:
            body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    return Request(method, target, fields, body)


def answer(body: bytes, status: str = "200 OK", extra: str = "") -> bytes:
    """An answer with a length."""
    head = f"HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {len(body)}\r\n"
    return (head + extra + "\r\n").encode() + body


NO_LENGTH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"


class Backend:
    """A sound backend: runs each request for `work_s`, at most `slots` together, and answers it.

    It runs what it has begun to its end, and turns requests away while its queue is full.
    `handler`, where given, takes the place of that for each request.
    """

    def __init__(
        self, record: Record, name: str, work_s: float = 0.05, slots: int = 8, queue: int = 16
    ) -> None:
        self.record, self.name, self.work_s = record, name, work_s
        self._slots = asyncio.Semaphore(slots)
        self._room = slots + queue
        self._held = 0
        self.ran: list[tuple[float, str]] = []  # the second and the id of each request begun
        self.handler: Callable[[Request, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.address = ""
        self._writers: set[asyncio.StreamWriter] = set()
        # Requests on each connection, counted from their first byte.
        self.received: dict[asyncio.StreamWriter, int] = {}
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """End as a process that dies: its connections are reset, new ones are refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        no_delay(writer)
        self._writers.add(writer)
        try:
            while first := await reader.read(1):
                self.received[writer] = self.received.get(writer, 0) + 1
                request = await read_request(reader, first)
                if request is None:
                    return
                if self.handler is not None:
                    if not await self.handler(request, writer):
                        return
                elif not await self.serve(request, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self.received.pop(writer, None)
            writer.close()

    def nothing_waits(self, writer: asyncio.StreamWriter, received: int) -> bool:
        """Whether no byte has come on a connection since its `received` requests."""
        if self.received.get(writer) != received or writer.is_closing():
            return False
        readable, _, _ = select.select([writer.get_extra_info("socket")], [], [], 0)
        return not readable

    def begin(self, request: Request) -> None:
        """Count a request as begun."""
        self.ran.append((self.record.now(), request.id))
        self.record.write(f"{self.name} runs {request.id} {request.method} {request.target}")

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.target.startswith(("/health/live", "/stats")):
            writer.write(answer(b""))
            return True
        if self._held >= self._room:
            self.record.write(f"{self.name} turns away {request.id}")
            writer.write(answer(b"", "503 Service Unavailable", "X-Not-Processed: 1\r\n"))
            return True
        self._held += 1
        try:
            async with self._slots:
                self.begin(request)
                await asyncio.sleep(self.work_s)
                writer.write(answer(self.body(request)))
                await writer.drain()
        finally:
            self._held -= 1
        return True

    def body(self, request: Request) -> bytes:
        """The answer made for a request."""
        return f"{request.id} by {self.name}".encode()


class Relay:
    """A network path to one address: what is sent arrives `delay_s` later, in either direction."""

    def __init__(self, target: str, delay_s: float) -> None:
        self.delay_s = delay_s
        self._host, _, port = target.partition(":")
        self._port = int(port)
        self.address = ""
        self.delays: list[float] = []  # as measured, of each piece that was passed on
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.transport.abort()
            return
        for one in (writer, far_writer):
            no_delay(one)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        delivery = asyncio.create_task(self._deliver(queue, writer))
        data = b"-"
        while data:
            try:
                data = await reader.read(1 << 16)
            except ConnectionError:
                data = b""
            queue.put_nowait((time.monotonic() + self.delay_s, data))
        await delivery

    async def _deliver(
        self, queue: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter
    ) -> None:
        while True:
            at, data = await queue.get()
            await asyncio.sleep(max(at - time.monotonic(), 0))
            if not data:
                writer.close()
                return
            self.delays.append(time.monotonic() - at + self.delay_s)
            writer.write(data)


class Discovery:
    """Discovery as the protocol page describes it, with one list and a watch on its changes."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rev = 40
        self.rows: dict[str, dict] = {}
        self._changed: dict[str, int] = {}
        self._news = asyncio.Condition()
        self.address = ""
        self.calls = 0
        self.no_length = False  # answers have no length, and end with their connection
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def row(self, uid: str, address: str, state: str = "active", **more: object) -> dict:
        usual = {
            "uid": uid, "endpoint": address, "az": "dublin", "model": "single-core",
            "pod_group": 1, "state": state, "capacity_hint": 1.0, "boot_ms": 0,
        }  # fmt: skip
        return usual | more

    async def put(self, *rows: dict) -> None:
        """Change rows of the list, as one version."""
        async with self._news:
            self.rev += 1
            for row in rows:
                self.rows[row["uid"]] = row
                self._changed[row["uid"]] = self.rev
                self.record.write(f"discovery {self.rev}: {row['uid']} {row['state']}")
            self._news.notify_all()

    def full(self) -> dict:
        rows = [row for row in self.rows.values() if row["state"] != "left"]
        return {"rev": self.rev, "all": True, "targets": rows}

    def delta(self, since: int) -> dict:
        rows = [self.rows[uid] for uid, rev in self._changed.items() if rev > since]
        return {"rev": self.rev, "all": False, "targets": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                self.calls += 1
                _, _, query = request.target.partition("?")
                values = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
                if "from" in values:
                    since, hold_s = int(values["from"]), int(values.get("hold_ms", "0")) / 1000
                    async with self._news:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(
                                self._news.wait_for(lambda s=since: self.rev > s), min(hold_s, 60)
                            )
                    data = self.delta(since)
                else:
                    data = self.full()
                body = json.dumps(data).encode()
                listed = ", ".join(f"{row['uid']} {row['state']}" for row in data["targets"])
                self.record.write(
                    f"discovery answers {request.target}: version {data['rev']} [{listed}]"
                )
                if self.no_length:
                    writer.write(NO_LENGTH_HEAD + body)
                    await writer.drain()
                    return  # the close ends the answer
                writer.write(answer(body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Node:
    """One node, started by `run` of the deploy file."""

    def __init__(self, record: Record, name: str, config: dict, folder: Path) -> None:
        self.record, self.name, self.folder = record, name, folder
        self.config = config
        self.process: asyncio.subprocess.Process | None = None
        self.pid = 0

    @property
    def port(self) -> int:
        return int(self.config["listen"].rpartition(":")[2])

    def write_config(self) -> Path:
        path = self.folder / f"{self.name}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.rename(path)
        return path

    async def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(scratch),
            "PROXY_NAME": self.config["name"],
            "PROXY_LISTEN": self.config["listen"],
            "PROXY_DISCOVERY": self.config["discovery"],
            "PROXY_CONFIG": str(self.write_config()),
        }
        if "admin" in self.config:
            environment["PROXY_ADMIN"] = self.config["admin"]
        with (self.folder / f"{self.name}.log").open("a") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log,
            )  # fmt: skip
        self.pid = self.process.pid
        self.record.write(f"{self.name} started")

    async def ready(self, limit_s: float = 30) -> None:
        """Wait until the node is ready to take clients."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    self.record.write(f"{self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} was not ready in {limit_s} s")

    def signal(self, number: signal.Signals) -> None:
        self.record.write(f"{self.name} gets {number.name}")
        assert self.process is not None
        self.process.send_signal(number)

    async def ended(self, limit_s: float) -> bool:
        """Whether the node's process ends within a time."""
        assert self.process is not None
        try:
            await asyncio.wait_for(self.process.wait(), limit_s)
        except TimeoutError:
            return False
        self.record.write(f"{self.name} ended with {self.process.returncode}")
        return True

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    def log(self) -> str:
        return (self.folder / f"{self.name}.log").read_text()


def config(name: str, discovery: str, known: dict, given: dict, **more: object) -> dict:
    """A node's configuration as the deployment page describes it."""
    return {
        "name": name, "listen": f"127.0.0.1:{free_port()}", "discovery": discovery,
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known, "settings": given,
    } | more  # fmt: skip


class Reply:
    """An answer that a client has read; `status` is 0 if the connection ended without one."""

    def __init__(self, status: int, body: bytes, closes: bool, whole: bool) -> None:
        self.status, self.body, self.closes, self.whole = status, body, closes, whole


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one answer."""
    status = 0
    body = b""
    closes = False
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *lines = head.rstrip("\r\n").split("\r\n")
        status = int(line.split(" ")[1])
        fields = {}
        for text in lines:
            name, _, value = text.partition(":")
            fields[name.strip().lower()] = value.strip()
        closes = "close" in fields.get("connection", "").lower()
        if "chunked" in fields.get("transfer-encoding", "").lower():
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, IndexError):
        return Reply(status, body, True, False)
    return Reply(status, body, closes, True)


def request_bytes(
    name: str, number: str, timeout_ms: int, method: str = "GET", body: bytes = b"", extra: str = ""
) -> bytes:
    """A client's request in the form of the protocol page."""
    head = (
        f"{method} /{name}/{number} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {number}\r\n"
        f"X-Priority-Class: {name}\r\nX-Timeout-Ms: {timeout_ms}\r\n{extra}"
    )
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def run(folder: Path, main: Callable[[Record, Path], Awaitable[int]], limit_s: float = 110) -> None:
    """Run a case in a temporary folder and exit with its status."""
    record = Record(folder / "record.txt")
    work = Path(tempfile.mkdtemp(prefix="review-"))
    status = NOT_RUN

    async def play() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(main(record, work), limit_s)

    try:
        status = asyncio.run(play())
    except asyncio.CancelledError:
        record.say("the case was ended from outside")
    except Exception as error:  # noqa: BLE001 - whatever keeps the case from running is status 2
        record.say(f"the case could not run: {error!r}")
    finally:
        shutil.rmtree(work, ignore_errors=True)
        record.close()
    sys.exit(status)
