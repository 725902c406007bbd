"""Keyed requests through a node that reads its servers from Consul; some answers are lost."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter
from http.client import HTTPConnection, HTTPException
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib3"))

from rig import (
    SECOND,
    SETTINGS,
    CannotRunError,
    Case,
    Fake,
    Loop,
    Node,
    Received,
    TopupServer,
    has_trouble,
    http_answer,
    main,
    target,
    wait_for,
)

REQUESTS = 60
LOST_EVERY = 5  # one answer in so many is lost: its connection is reset after the request has run
WINDOW_S = 2.0
CONSUL_FILE = """\
version = 1
agents = ["{agent}"]
service = "topup"
datacentres = {{ dc1 = "east-1" }}
"""


class Cell:
    """The servers of one cell: together they remember the keys that they have run."""

    def __init__(self) -> None:
        self.ran_at: dict[str, float] = {}


class KeyedServer(TopupServer):
    """Applies a key once, unless its cell remembers it from the last `WINDOW_S` seconds."""

    def __init__(self, name: str, cell: Cell, case: Case) -> None:
        super().__init__(name, 0.02, case.record)
        self.cell = cell
        self.effects: Counter[str] = Counter()
        self._count = 0

    async def answer(self, request: Received, fields: dict[str, str], body: bytes) -> bytes | None:
        del body
        await asyncio.sleep(self.work_s)
        key = fields["idempotency-key"]
        now = time.monotonic()
        known = now - self.cell.ran_at.get(key, -WINDOW_S) < WINDOW_S
        if not known:
            self.cell.ran_at[key] = now
            self.effects[key] += 1
            self._count += 1
        assert self.record is not None
        text = "is a repeat: dropped" if known else "ran: its effect is applied"
        self.record.line(f"{self.name} {request.request_id} key {key} {text}")
        if has_trouble() and not known and self._count % LOST_EVERY == 0:
            self.record.line(f"{self.name} {request.request_id} its answer is lost: reset")
            return None
        return http_answer(200, f"{self.name} applied {key}\n")


def play(case: Case) -> bool:
    loop = Loop()
    servers = [
        KeyedServer(f"s{number}-cell{cell}", shared, case)
        for cell, shared in ((1, Cell()), (2, Cell()))
        for number in (1, 2)
    ]
    rows, registrations = [], []
    for server in servers:
        loop.run(server.open())
        cell = int(server.name[-1])
        rows.append(target(server.name, server.address, "east-1", pod_group=cell))
        host, _, port = server.address.partition(":")
        registrations.append(
            {"ID": f"topup-{server.name}", "Service": "topup", "Address": host, "Port": int(port),
             "Meta": {"cell": str(cell)}}
        )  # fmt: skip
    topup = {"name": "topup", "target": 750_000_000, "deadline": 3 * SECOND, "effect": "token",
             "dedup_scope": "cell", "repeat_window": int(WINDOW_S * SECOND)}  # fmt: skip
    settings = json.loads(json.dumps(SETTINGS)) | {"classes": [topup]}
    agent = Fake(case, "consul", "fakes.consul")
    agent.call("PUT", "/standin/services", registrations)
    discovery = Fake(case, "discovery", "fakes.discovery")
    discovery.call("POST", "/standin/targets", rows)
    file = case.folder / "consul.toml"
    file.write_text(CONSUL_FILE.format(agent=agent.address))
    node = Node(case, "n1", discovery.address, settings, consul=str(file))
    wait_for("the node", node.is_ready, 10.0)

    answers = send_all(case, node.address)
    case.record.line(f"answers: {dict(answers)}")
    effects: Counter[str] = Counter()
    for server in servers:
        effects.update(server.effects)
    if not answers[200]:
        raise CannotRunError("no request was served")
    twice = {key: count for key, count in effects.items() if count > 1}
    for key in twice:
        where = [server.name for server in servers if server.effects[key]]
        case.record.line(f"key {key} was applied {twice[key]} times, at {' and '.join(where)}")
    return not twice


def send_all(case: Case, proxy: str) -> Counter[int]:
    """One client sends requests one after the other; it retries none."""
    host, port = proxy.split(":")
    answers: Counter[int] = Counter()
    for number in range(REQUESTS):
        headers = {"Host": "app.svc", "X-Request-ID": f"{number:016x}", "X-Timeout-Ms": "3000",
                   "X-Priority-Class": "topup", "Idempotency-Key": f"{number:032x}"}  # fmt: skip
        connection = HTTPConnection(host, int(port), timeout=4.0)
        status = 0
        try:
            connection.request("POST", f"/topup/{number}", b"amount=5", headers)
            answer = connection.getresponse()
            answer.read()
            status = answer.status
        except (OSError, HTTPException):
            pass
        connection.close()
        answers[status] += 1
        case.record.line(f"client sent {number:016x} key {number:032x}: {status or 'no answer'}")
        time.sleep(0.05)
    return answers


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
