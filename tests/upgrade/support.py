"""Helpers for tests of two processes that act as one node: requests, callers and waits."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path

from loadbalancer.upgrade.socket_path import UpgradeSocket
from tests.harness import LIMIT, LONG_MS, Peer, Running, accept, answer, patient_classes, request

HELLO = b"windrelay upgrade    1\n"
ADMIN = "127.0.0.1:0"  # without an admin address a node can't be upgraded
# Timeouts long enough for a request to stay open while two more processes start.
PATIENT = {"classes": patient_classes()}
SERVED = "HTTP/1.1 200 OK"

StartProcess = Callable[..., Running]


def send_request(process: Running, rid: str) -> Peer:
    """Send a request over a new connection; returns the client."""
    client = process.connect()
    client.send(request(rid=rid, timeout=LONG_MS))
    return client


def receive_request(backend: socket.socket) -> Peer:
    """Accept a new connection from a node at this backend and receive a request on it."""
    peer = accept(backend)
    peer.message()
    return peer


def serve_one(backend: socket.socket, client: Peer) -> dict[str, str]:
    """Answer a request on a new connection; returns the headers that its client receives."""
    receive_request(backend).send(answer(b"served"))
    line, headers, body = client.message()
    assert (line, body) == (SERVED, b"served")
    return headers


def get_ready(client: Peer) -> dict[str, str]:
    """Send a readiness check, which must succeed; returns the headers of the answer."""
    client.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    line, headers, _ = client.message()
    assert line == SERVED
    return headers


def wait_until_draining(old: Running) -> None:
    """Wait until a predecessor has stopped accepting connections."""
    old.says("the successor serves")


def kill(process: Running) -> None:
    """Kill a process with SIGKILL."""
    process.process.kill()
    process.process.wait(LIMIT)
    process.process.returncode = 0  # expected here, but `started` would report a crash


def stop_both(old: Running, new: Running) -> None:
    """Stop the predecessor, then its successor; both must exit with status 0."""
    assert old.stop() == 0
    assert new.stop() == 0


def call_upgrade_socket(path: Path) -> socket.socket:
    """Connect to the process that listens at this path, without sending HELLO."""
    caller = UpgradeSocket(str(path)).connect(LIMIT)
    assert caller is not None
    return caller


def take_listener(caller: socket.socket) -> socket.socket:
    """Send HELLO as a successor and receive the listening socket."""
    caller.sendall(HELLO)
    data, descriptors, _, _ = socket.recv_fds(caller, 100, 1)
    assert data.startswith(HELLO)
    assert len(descriptors) == 1
    return socket.socket(fileno=descriptors[0])
