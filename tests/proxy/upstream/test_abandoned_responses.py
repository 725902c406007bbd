"""Long responses whose clients have left before they began."""

from __future__ import annotations

import select
from pathlib import Path

from tests.harness import (
    LIMIT,
    LONG_MS,
    Peer,
    accept,
    answer,
    listen,
    node,
    patient_classes,
    request,
    roster,
    target,
    until,
)
from tests.proxy.upstream.proxied import LONG

MEMORY_MB = 48
CLIENTS = 3
RESPONSE = answer(LONG * 9)  # 27 MB, of at most 32


def test_a_long_response_whose_client_has_left_takes_no_memory(tmp_path: Path) -> None:
    """Clients of unsafe requests leave; then their backends answer with 27 MB each.

    An attempt that may have been executed goes on to its outcome, and its response was buffered
    for nobody: 27 MB each outside the budget of 48 MB, and up to 32 for any such attempt. Its
    outcome comes as before: the connections are used again, and nothing is sent twice.
    """
    settings = {"classes": patient_classes()}
    limits = {"memory_mb": MEMORY_MB}
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, limits=limits, settings=settings) as n:
            peers: list[Peer] = []
            for i in range(CLIENTS):
                client = n.connect()
                client.send(request("/credit", b"x", rid=f"r{i}", timeout=LONG_MS))
                peers.append(accept(backend))
                peers[-1].message()
                descriptors = n.descriptors()
                client.reset()
                until(lambda before=descriptors: n.descriptors() < before)
            for peer in peers:
                peer.send(RESPONSE[:-1])
            assert n.resident_mb() < MEMORY_MB
            for peer in peers:
                peer.send(RESPONSE[-1:])
            again = n.connect()
            again.send(request(rid="again", timeout=LONG_MS))
            ready, _, _ = select.select([peer.sock for peer in peers], (), (), LIMIT)
            (used,) = (peer for peer in peers if peer.sock in ready)
            assert used.message()[1]["x-request-id"] == "again"
            used.send(answer(b"served"))
            assert again.message()[2] == b"served"
            assert n.stop() == 0
