"""Interim (1xx) responses before a backend's response: the request still gets that response.

HTTP sets no limit to their number, nor to the time between the last of them and the response.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, cast

import pytest

from loadbalancer.proxy.upstream.pool import ConnectionPool
from tests.harness import LONG_MS, accept, answer, listen, node, patient_classes, request, roster
from tests.harness import target as backend_row
from tests.proxy.upstream.backend_link import FIRST, Client, Host, Link, attempt

PROCESSING = b"HTTP/1.1 102 Processing\r\n\r\n"


@pytest.mark.parametrize("count", [1, 9])
def test_no_client_gets_the_response_to_another_ones_request(tmp_path: Path, count: int) -> None:
    """The ninth interim response ended its request, and the connection was reused.

    The backend was still working: the response that it sent then went to the next client.
    """
    settings = {"classes": patient_classes()}
    with listen() as backend:
        known = roster(backend_row("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, settings=settings) as running:
            first = running.connect()
            first.send(request(rid="first", timeout=LONG_MS))
            peer = accept(backend)
            assert peer.message()[1]["x-request-id"] == "first"
            peer.send(PROCESSING * count)
            peer.send(answer(b"of the first"))
            assert first.message()[2] == b"of the first"
            second = running.connect()
            second.send(request(rid="second", timeout=LONG_MS))
            assert peer.message()[1]["x-request-id"] == "second"
            peer.send(answer(b"of the second"))
            assert second.message()[2] == b"of the second"


def test_a_backend_that_works_on_after_an_interim_response_is_not_given_up() -> None:
    """The connect timeout, counted from an interim response, failed requests in execution.

    It applies only once a part of the next head has come.
    """
    host = Host()
    link = Link(ConnectionPool(cast(Any, host)), host)
    client = Client()
    link.settle()
    link.connection.begin(attempt(client))
    link.connection.data_received(PROCESSING)
    assert not host.loop.callbacks
    link.connection.data_received(FIRST[:5])
    assert len(host.loop.callbacks) == 1
    link.connection.data_received(FIRST[5:])
    assert (client.responses, host.loop.callbacks) == ([b"the first response"], [])
    link.close()
