"""Tests of the streams between control machines."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any
from unittest import mock

import pytest

from loadbalancer.config.address import Address
from loadbalancer.control.machine.messages import message_codec
from loadbalancer.control.machine.stream import Hello, PeerStreams, _IncomingStream
from loadbalancer.core.assignment.release import NodeRelease, ReleaseGrant
from tests.control_machines import Machines
from tests.harness import until


@pytest.mark.parametrize(
    ("data", "counter"),
    [
        (struct.pack(">I", 1 << 30), "frame too long"),
        (struct.pack(">I", 3) + b"abc", "unsound"),
        (struct.pack(">I", 4) + b"\x92\x00\x92\xa1", "unsound"),
        (struct.pack(">I", 3) + b"\x92\x7f\x90", "unknown kind"),
        (struct.pack(">I", 9) + b"\x92\x00\x92\xa1x\xa3abc", "stranger"),
    ],
)
def test_a_stream_of_an_unknown_or_faulty_sender_is_closed_and_counted(
    region: Machines, data: bytes, counter: str
) -> None:
    """A foreign or faulty program connects to the address for the other control machines."""
    before = region.status("east-a")["counts"]["streams"].get(counter, 0)
    with socket.create_connection(region.address("east-a", "peers"), 5.0) as sock:
        sock.sendall(data)
        assert sock.recv(1) == b""
    until(lambda: region.status("east-a")["counts"]["streams"].get(counter, 0) == before + 1)


class FakeIncomingStream:
    """An incoming stream without a socket."""

    def __init__(self, streams: PeerStreams) -> None:
        self.transport: Any = mock.Mock()
        self._protocol = _IncomingStream(streams)
        self._protocol.connection_made(self.transport)

    def receive(self, message: Any) -> None:
        data = message_codec().encode(message)
        self._protocol.data_received(struct.pack(">I", len(data)) + data)

    def lose(self) -> None:
        self._protocol.connection_lost(None)


@pytest.mark.parametrize("sender", ["east-b", "east-c"])
def test_frames_of_a_machines_previous_stream_are_ignored_once_it_has_a_newer_one(
    sender: str,
) -> None:
    """A link fails and the machine connects again. Its last grant, or that of its previous process,
    arrives on the old connection after a newer grant has withdrawn it. If it were applied, a node
    could release a service whose other holders are dead. Streams of other machines must stay open.
    """
    received: list[Any] = []

    async def scenario() -> None:
        others = {name: Address("127.0.0.1", 9) for name in ("east-b", "east-c")}
        streams = PeerStreams(
            Hello("east-a", "f"), others, message_codec(), 1 << 20,
            lambda _, message: received.append(message), lambda _: None,
        )  # fmt: skip
        earlier, newer = FakeIncomingStream(streams), FakeIncomingStream(streams)
        old = ReleaseGrant("east", 1, (NodeRelease("n1", ("cart",)),))
        new = ReleaseGrant("east", 1, ())
        earlier.receive(Hello("east-b", "f"))
        earlier.receive(old)
        newer.receive(Hello(sender, "f"))
        newer.receive(new)
        earlier.receive(old)
        assert received == ([old, new] if sender == "east-b" else [old, new, old])
        assert streams.counts["replaced"] == (sender == "east-b")
        earlier.lose()
        newer.receive(new)
        assert received[-1] == new
        assert not newer.transport.abort.called
        newest = FakeIncomingStream(streams)
        newest.receive(Hello(sender, "f"))
        assert newer.transport.abort.called
        newer.lose()
        newest.lose()
        assert not streams.incoming
        assert not streams._incoming_from

    asyncio.run(scenario())
