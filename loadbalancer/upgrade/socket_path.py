"""Where two processes of one node find each other: a Unix socket in the temporary folder.

What lies at the path is never trusted for being there. A socket nobody listens on
is replaced, one of another user's process is passed over, and whoever no longer
owns the path leaves it alone.
"""

from __future__ import annotations

import contextlib
import os
import socket
import stat
import struct
from hashlib import blake2b

from loadbalancer.config.address import Address

BACKLOG = 4
PEER = struct.Struct("3i")  # pid, uid, gid


def path_for(listen: Address) -> str:
    """The path of whoever serves this address.

    Without tempfile and pathlib, which take a tenth of a node's whole start.
    """
    name = blake2b(str(listen).encode(), digest_size=8).hexdigest()
    return os.path.join(os.environ.get("TMPDIR") or "/tmp", f"windrelay-{name}.sock")


class Place:
    """The path, and whether this process's own socket is the one there."""

    __slots__ = ("_inode", "_path", "sock")

    def __init__(self, path: str) -> None:
        self._path = path
        self._inode = 0
        self.sock: socket.socket | None = None

    def connect(self, timeout: float) -> socket.socket | None:
        """A connection to whoever listens there, None where nobody does."""
        with contextlib.suppress(OSError), _short(self._path) as path:
            if not stat.S_ISSOCK(os.lstat(path).st_mode):
                return None
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            try:
                sock.settimeout(timeout)
                sock.connect(path)
            except OSError:
                sock.close()
                return None
            if trusted(sock):
                return sock
            sock.close()
        return None

    def claim(self) -> None:
        """Listen there from now on, in place of whoever did; OSError where it can't be."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            with _short(self._path) as path:
                own = f"{path}.{os.getpid()}"
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(own)
                sock.bind(own)
                os.chmod(own, 0o600)
                sock.listen(BACKLOG)
                # In one step: at no moment does the path lead nowhere.
                os.rename(own, path)
                self._inode = os.lstat(path).st_ino
        except OSError:
            sock.close()
            raise
        self.sock = sock

    def leave(self) -> None:
        """Listen no more; the path goes too, unless it is another's by now."""
        if self.sock is None:
            return
        self.sock.close()
        self.sock = None
        with contextlib.suppress(OSError), _short(self._path) as path:
            if os.lstat(path).st_ino == self._inode:
                os.unlink(path)


def trusted(sock: socket.socket) -> bool:
    """Whether the process at the other end is the same user's."""
    _, uid, _ = PEER.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER.size))
    return bool(uid == os.getuid())


class _short:
    """The path by way of its folder's descriptor: a Unix address holds 107 bytes only."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._folder = -1

    def __enter__(self) -> str:
        folder, name = os.path.split(self._path)
        self._folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        return f"/proc/self/fd/{self._folder}/{name}"

    def __exit__(self, *_: object) -> None:
        os.close(self._folder)
