"""Requests, callers and waits for tests of two processes that are one node."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path

from loadbalancer.upgrade.socket_path import UpgradeSocket
from tests.harness import LIMIT, LONG_MS, Peer, Running, accept, answer, patient_classes, request

HELLO = b"windrelay upgrade    1\n"
ADMIN = "127.0.0.1:0"  # only a node with a second address can be upgraded
# A request that stays open while a second and a third process start must not time out.
PATIENT = {"classes": patient_classes()}
SERVED = "HTTP/1.1 200 OK"

StartProcess = Callable[..., Running]


def send_request(process: Running, rid: str) -> Peer:
    """A client that has sent a request over a connection of its own."""
    client = process.connect()
    client.send(request(rid=rid, timeout=LONG_MS))
    return client


def receive_request(backend: socket.socket) -> Peer:
    """A new connection of a node's to this backend, on which a request has come."""
    peer = accept(backend)
    peer.message()
    return peer


def serve_one(backend: socket.socket, client: Peer) -> dict[str, str]:
    """Answer a request that comes on a new connection; the headers that its client gets."""
    receive_request(backend).send(answer(b"served"))
    line, headers, body = client.message()
    assert (line, body) == (SERVED, b"served")
    return headers


def get_ready(client: Peer) -> dict[str, str]:
    """Request readiness on this connection, which must be given; returns the answer's headers."""
    client.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    line, headers, _ = client.message()
    assert line == SERVED
    return headers


def wait_until_draining(old: Running) -> None:
    """Wait until a predecessor accepts no more."""
    old.says("the successor serves")


def kill(process: Running) -> None:
    """End a process without warning."""
    process.process.kill()
    process.process.wait(LIMIT)
    process.process.returncode = 0  # wanted here, while `started` takes it for a crash


def stop_both(old: Running, new: Running) -> None:
    """Stop the predecessor, then its successor, as an operator does."""
    assert old.stop() == 0
    assert new.stop() == 0


def call_upgrade_socket(path: Path) -> socket.socket:
    """A connection to the process that listens at this path, which has sent nothing yet."""
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
