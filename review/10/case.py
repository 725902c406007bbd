"""A quarter of the servers begins to drain in Consul; when do they get their last new request?

The agent is the project's stand-in. A relay before it notes when the node has been told. With
TROUBLE=0 no server drains.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import stand

SERVERS = 8
DRAINING = 2  # a quarter
CLIENTS = 6
WORK_S = 0.03
QUIET_S = 6.0  # before the drain: the node has read the whole list
AFTER_S = 25.0
GRACE_S = 2.0 + 0.05  # drain_grace of the settings; each limit is 50 ms longer on sockets
SLACK_S = 0.25  # for the way from the relay to the node, and from the node to a server
NO_DISCOVERY = "127.0.0.1:1"  # nobody listens there: the list comes from Consul
MAINTENANCE = "_service_maintenance"


class Agent:
    """The project's stand-in of a Consul agent, and a relay before it."""

    def __init__(self, record: stand.Record) -> None:
        self.relay_address = ""
        self.told: dict[str, float] = {}  # when the node was sent a server's drain
        self._record = record
        self._address = ""
        self._process: asyncio.subprocess.Process | None = None
        self._relay: asyncio.Server | None = None

    async def start(self) -> None:
        """Start both."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "fakes.consul", "--listen", "127.0.0.1:0",
            cwd=stand.ROOT, env=os.environ, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        assert self._process.stdout is not None
        line = await asyncio.wait_for(self._process.stdout.readline(), 20)
        found = re.search(r"127\.0\.0\.1:\d+", line.decode())
        if found is None:
            raise stand.CannotRunError(f"the agent printed {line!r}")
        self._address = found[0]
        self._relay = await asyncio.start_server(self._pass_on, "127.0.0.1", 0)
        self.relay_address = "127.0.0.1:%d" % self._relay.sockets[0].getsockname()[1]

    async def end(self) -> None:
        """End both."""
        if self._relay is not None:
            self._relay.close()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def call(self, path: str, body: object = None) -> None:
        """Make one writing call at the agent."""
        data = json.dumps(body).encode() if body is not None else b""
        reader, writer = await stand.connect(self._address)
        writer.write(
            f"PUT {path} HTTP/1.1\r\nHost: agent\r\nContent-Length: {len(data)}\r\n"
            "Connection: close\r\n\r\n".encode()
            + data
        )
        answered = await stand.read_answer(reader)
        writer.close()
        if answered is None or answered[0] != 200:
            raise stand.CannotRunError(f"the agent answered {answered} to {path}")

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        from_agent, to_agent = await stand.connect(self._address)
        forward = asyncio.create_task(_copy(reader, to_agent))
        received = b""
        try:
            while data := await from_agent.read(1 << 20):
                received += data
                writer.write(data)
                await writer.drain()
                self._note(received)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            forward.cancel()
            to_agent.close()
            writer.close()

    def _note(self, received: bytes) -> None:
        """Note the servers whose drain has been passed on, once an answer is whole."""
        body = received.partition(b"\r\n\r\n")[2]
        with contextlib.suppress(ValueError):
            for row in json.loads(body):
                uid = row["Service"]["ID"]
                drains = any(check["CheckID"].startswith(MAINTENANCE) for check in row["Checks"])
                if drains and uid not in self.told:
                    self.told[uid] = self._record.now()
                    self._record.line(f"the node has been told that {uid} drains")


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)


async def client(address: str, number: int) -> None:
    """Ask one request after the other, until cancelled."""
    count = 0
    while True:
        reader, writer = await stand.connect(address)
        answered: object = True
        while answered is not None:
            count += 1
            writer.write(stand.request_bytes("balance", f"{number:04x}{count:012x}", 2000))
            answered = await stand.read_answer(reader)
            await asyncio.sleep(0.05)


def late_requests(agent: Agent, servers: list[stand.Server], record: stand.Record) -> int:
    """Count the requests that a draining server got after the grace."""
    late = 0
    for server in servers:
        if server.name not in agent.told:
            continue
        since = agent.told[server.name]
        after = [at - since for at, _ in server.requests if at > since + GRACE_S + SLACK_S]
        last = max((at - since for at, _ in server.requests), default=0.0)
        record.line(f"{server.name}: {len(after)} requests too late, the last after {last:.2f} s")
        late += len(after)
    return late


async def case(record: stand.Record, folder: Path) -> int:
    """Compare the last request of each draining server with the time at which it was told."""

    async def handle(request: stand.Request, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WORK_S)
        writer.write(stand.answer(200, request.id.encode()))

    agent, node = Agent(record), stand.Node(record, folder)
    servers = [stand.Server(record, f"web{number}", handle) for number in range(SERVERS)]
    try:
        await agent.start()
        for server in servers:
            await server.start()
            host, _, port = server.address.partition(":")
            service = {"ID": server.name, "Name": "topup", "Address": host, "Port": int(port)}
            await agent.call("/v1/agent/service/register", service)
        file = folder / "consul.toml"
        file.write_text(
            f'version = 1\nagents = ["{agent.relay_address}"]\nservice = "topup"\n'
            'datacentres = { dc1 = "dublin" }\nlines = 200\nreaders = 1\n',
            encoding="utf-8",
        )
        known = [stand.target(server.name, server.address) for server in servers]
        await node.start(
            NO_DISCOVERY, known, stand.SETTINGS, environment={"PROXY_CONSUL": str(file)}
        )
        asking = [asyncio.create_task(client(node.listen, number)) for number in range(CLIENTS)]
        await asyncio.sleep(QUIET_S)
        for server in servers[: DRAINING if stand.TROUBLE else 0]:
            await agent.call(f"/v1/agent/service/maintenance/{server.name}?enable=true")
            record.line(f"{server.name} begins to drain")
        await asyncio.sleep(AFTER_S)
        for task in asking:
            task.cancel()
        late = late_requests(agent, servers, record)
        if stand.TROUBLE and len(agent.told) < DRAINING:
            raise stand.CannotRunError("the node has not read both drains")
    finally:
        await node.end()
        await agent.end()
        for server in servers:
            server.close()
    return stand.BROKEN if late else stand.HELD


stand.main(case, __file__)
