"""Long responses to clients that disconnected before the response began."""

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
from tests.proxy.upstream.proxied import LONG_CONTENT

MEMORY_MB = 48
CLIENTS = 3
RESPONSE = answer(LONG_CONTENT * 9)  # just below MAX_MESSAGE_BYTES


def test_a_long_response_to_a_disconnected_client_is_not_buffered(tmp_path: Path) -> None:
    """Clients of unsafe requests disconnect, then their backends send very long responses.

    Such attempts may have been executed, so they continue to their outcomes. Their responses
    used to be buffered in full, outside the buffer budget, and exceeded the memory limit.
    The connections must still be reused afterwards, and no request may be sent twice.
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
