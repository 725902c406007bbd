"""A backend to which no connection is established until the test allows it."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

from tests.harness import LIMIT, LONG_MS, SETTINGS, Peer, patient_classes

SYN_SENT = "02"  # the state as /proc/net/tcp shows it
NS_PER_MS = 1_000_000


def patient_settings(**overrides: Any) -> dict[str, Any]:
    """Settings with long timeouts for connecting and for a request's wait for a slot."""
    limits = SETTINGS["limits"] | {"dial_timeout": LONG_MS * NS_PER_MS}
    return {"limits": limits, "classes": patient_classes()} | overrides


class FullBacklog:
    """A listening socket whose accept queue is full: the kernel drops each further SYN."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.sock.settimeout(LIMIT)
        self.port = int(self.sock.getsockname()[1])
        self._fillers: list[socket.socket] = []
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._fillers.append(filler)

    def __enter__(self) -> FullBacklog:
        return self

    def __exit__(self, *_: object) -> None:
        for sock in (*self._fillers, self.sock):
            sock.close()

    def open(self) -> Peer:
        """Empty the accept queue; returns the first connection that is not one of the fillers."""
        fillers = self._filler_ports()
        while True:
            sock, (_, port) = self.sock.accept()
            if port not in fillers:
                return Peer(sock)
            sock.close()

    def is_being_connected_to(self) -> bool:
        """Whether any other socket is connecting here, by the kernel's table of sockets."""
        to_here = f":{self.port:04X}"
        rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:])
        ports = {int(r[1][-4:], 16) for r in rows if r[2].endswith(to_here) and r[3] == SYN_SENT}
        return bool(ports - self._filler_ports())

    def _filler_ports(self) -> set[int]:
        return {filler.getsockname()[1] for filler in self._fillers}
