"""A backend that ends attempts as it is told, and an account of what reached it."""

from __future__ import annotations

import socket
import threading
from collections import Counter
from collections.abc import Sequence

from tests.harness import LIMIT, Peer, answer, listen


class Scripted:
    """Each request that comes whole takes the next of `ways`, after the last one `ok`.

    `ok`, `error` (500), `refused` (never processed), `reset`, `silent` (no answer on
    this connection), `cut` (reset at the connection's start, nothing read).
    """

    def __init__(self, ways: Sequence[str] = ()) -> None:
        self.ways = list(ways)
        self.received: Counter[str] = Counter()  # whole requests by id
        self.paths: list[str] = []
        self.heads: list[dict[str, str]] = []
        self.disconnected = 0  # connections that the node has ended
        self._lock = threading.Lock()
        self._sock = listen()
        self._peers: list[Peer] = []
        self.port = int(self._sock.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._sock.close()
        for peer in self._peers:
            peer.close()

    def _next(self, *only: str) -> str:
        with self._lock:
            if only and (not self.ways or self.ways[0] not in only):
                return ""
            return self.ways.pop(0) if self.ways else "ok"

    def _accept(self) -> None:
        self._sock.settimeout(None)
        while True:
            try:
                sock = self._sock.accept()[0]
            except OSError:
                return
            peer = Peer(sock)
            if self._next("cut"):
                peer.reset()
                continue
            self._peers.append(peer)
            threading.Thread(target=self._serve, args=(peer,), daemon=True).start()

    def _serve(self, peer: Peer) -> None:
        peer.sock.settimeout(LIMIT)
        try:
            while self._one(peer):
                pass
        except (EOFError, OSError):
            self.disconnected += 1

    def _one(self, peer: Peer) -> bool:
        line, headers, _body = peer.message()
        with self._lock:
            self.received[headers["x-request-id"]] += 1
            self.paths.append(line.split(" ")[1])
            self.heads.append(headers)
        way = self._next()
        if way == "ok":
            peer.send(answer(b"served"))
        elif way == "error":
            peer.send(answer(b"", "500 Oops"))
        elif way == "refused":
            peer.send(answer(b"", "503 Full", "X-Not-Processed: 1"))
        elif way == "reset":
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            peer.sock.shutdown(socket.SHUT_RD)
            peer.close()
            return False
        else:
            peer.ends()
            self.disconnected += 1
            return False
        return True
