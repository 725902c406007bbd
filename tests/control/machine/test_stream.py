"""Streams between control machines."""

from __future__ import annotations

import socket
import struct

import pytest

from tests.control_machines import Machines
from tests.harness import until


@pytest.mark.parametrize(
    ("data", "counter"),
    [
        (struct.pack(">I", 1 << 30), "frame too long"),
        (struct.pack(">I", 3) + b"abc", "unsound"),
        (struct.pack(">I", 4) + b"\x92\x00\x92\xa1", "unsound"),
        (struct.pack(">I", 9) + b"\x92\x00\x92\xa1x\xa3abc", "stranger"),
    ],
)
def test_a_stream_of_no_machine_in_the_file_is_closed(
    region: Machines, data: bytes, counter: str
) -> None:
    """A stranger, or a broken peer, connects where the other machines do.

    The stream must be closed and counted under its reason, and no frame of it used.
    """
    before = region.status("east-a")["counts"]["streams"].get(counter, 0)
    with socket.create_connection(region.address("east-a", "peers"), 5.0) as sock:
        sock.sendall(data)
        assert sock.recv(1) == b""
    until(lambda: region.status("east-a")["counts"]["streams"].get(counter, 0) == before + 1)
