"""Backends send some responses twice, a few milliseconds late, while many requests are open.

Guards against three failures, all from one late second copy that is taken for the response to the
next request: a client gets the response to another request; an unsafe request runs twice, as a
rejection meant for another request is believed of it; a request that runs is refused as if it had
not.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import pytest

from fakes.repeating_backend import Executions, RepeatingBackend
from tests.harness import node, request, roster, target

BACKENDS = 3
CLIENTS = 45
PLAYED_S = 6.0
WORK_S = 0.012
PATIENCE_S = (0.01, 0.05)
MEAN_PAUSE_S = 0.02
REFUSED = 503
OK = 200


@dataclass
class Answers:
    """What clients got, by request id."""

    foreign: list[str] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)  # unsafe requests that got a 503
    unsafe: list[str] = field(default_factory=list)  # all unsafe requests
    served: int = 0


async def run_client(number: int, port: int, answers: Answers) -> None:
    """Send one request at a time and check each answer."""
    random = Random(number)
    until = time.monotonic() + PLAYED_S
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    count = 0
    while time.monotonic() < until:
        count += 1
        request_id = f"c{number}-{count}"
        is_unsafe = random.random() < 0.5
        if is_unsafe:
            answers.unsafe.append(request_id)
            writer.write(request("/credit/1", b"amount=10", rid=request_id))
        else:
            writer.write(request("/balance/1", rid=request_id))
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        status = int(head.split(" ")[1])
        length = int(head.partition("content-length: ")[2].partition("\r\n")[0] or 0)
        body = (await reader.readexactly(length)).decode()
        if status == REFUSED and is_unsafe:
            answers.refused.append(request_id)
        elif status == OK and body.split(" ")[0] != request_id:
            answers.foreign.append(f"{request_id} got {body}")
        answers.served += status == OK
        if "connection: close" in head:
            writer.close()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(random.uniform(0, 2 * MEAN_PAUSE_S))
    writer.close()


async def play(folder: Path, path_s: float, share: float) -> tuple[Answers, Executions]:
    executions, answers = Executions(), Answers()
    backends = [
        RepeatingBackend(f"s-{i}", path_s, WORK_S, PATIENCE_S, share, executions)
        for i in range(BACKENDS)
    ]
    servers = [await asyncio.start_server(b.serve, "127.0.0.1", 0) for b in backends]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    known = roster(*(target(f"s-{i}", port) for i, port in enumerate(ports)))
    with node(folder, known) as running:
        await asyncio.gather(*(run_client(i, running.port, answers) for i in range(CLIENTS)))
    for server in servers:
        server.close()
    return answers, executions


@pytest.mark.parametrize(("path_s", "share"), [(0.001, 0.1), (0.0, 0.2)], ids=["path", "no path"])
def test_no_request_gets_believes_or_repeats_what_belongs_to_another(
    tmp_path: Path, path_s: float, share: float
) -> None:
    answers, executions = asyncio.run(play(tmp_path, path_s, share))
    assert answers.served
    assert executions.second_copies
    assert executions.rejections
    assert answers.foreign == []
    assert [rid for rid in answers.unsafe if executions.by_id[rid] > 1] == []
    assert [rid for rid in answers.refused if executions.by_id[rid]] == []
