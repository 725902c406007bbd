"""The Unix socket through which a new process connects to the running one.

Its path is derived from the listening address and the temporary folder, so that both processes
compute the same path.
"""

from __future__ import annotations

import contextlib
import os
import socket
import stat
import struct
from collections.abc import Iterator
from hashlib import blake2b

from loadbalancer.config.address import Address

BACKLOG = 4  # pending connections
SOCKET_MODE = 0o600
DIGEST_BYTES = 8
PEER_CREDENTIALS = struct.Struct("3i")  # pid, uid, gid


def socket_path(listen: Address) -> str:
    """Return the path of the upgrade socket for processes that serve this address.

    It avoids tempfile and pathlib, as importing them would delay every start of a node.
    """
    name = blake2b(str(listen).encode(), digest_size=DIGEST_BYTES).hexdigest()
    return os.path.join(os.environ.get("TMPDIR") or "/tmp", f"windrelay-{name}.sock")


class UpgradeSocket:
    """The Unix socket at one path; used by the process that connects and the one that listens.

    Every user can write to the temporary folder, so anything may exist at the path:

    * A file or folder of another program: `connect` ignores it; `listen` replaces a file.
    * A stale socket of a killed process: the connection is refused; `listen` replaces it.
    * A socket of another user, who could otherwise take over this node's clients: the peer's
      credentials are checked before anything is sent.
    * The socket of a successor that listens by now: `close` compares inodes and keeps it.
    """

    __slots__ = ("_inode", "_path", "listener")

    def __init__(self, path: str) -> None:
        self._path = path
        self._inode = 0
        self.listener: socket.socket | None = None  # None while this process does not listen

    def connect(self, timeout: float) -> socket.socket | None:
        """Connect to the process that listens at the path; returns None if there is none.

        Args:
            timeout: in seconds, for connecting and for each later operation on the socket.
        """
        with contextlib.suppress(OSError), _short_path(self._path) as path:
            if not stat.S_ISSOCK(os.lstat(path).st_mode):
                return None
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            try:
                sock.settimeout(timeout)
                sock.connect(path)
            except OSError:
                sock.close()
                return None
            if is_same_user(sock):
                return sock
            sock.close()
        return None

    def listen(self) -> socket.socket:
        """Listen at the path, replacing any existing socket; returns the listening socket.

        Raises:
            OSError: the socket can't be created there.
        """
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            with _short_path(self._path) as path:
                self._bind(sock, path)
        except OSError:
            sock.close()
            raise
        self.listener = sock
        return sock

    def _bind(self, sock: socket.socket, path: str) -> None:
        """Bind to a temporary name that contains the process id, then rename it to the path.

        The rename replaces an old socket atomically. With unlink and bind, a process that
        starts between the two would find no socket and share the port instead of taking over.
        """
        own_path = f"{path}.{os.getpid()}"
        with contextlib.suppress(FileNotFoundError):
            os.unlink(own_path)
        sock.bind(own_path)
        os.chmod(own_path, SOCKET_MODE)
        sock.listen(BACKLOG)
        os.rename(own_path, path)
        self._inode = os.lstat(path).st_ino

    def close(self) -> None:
        """Stop listening, and remove the socket file unless another process has replaced it."""
        if self.listener is None:
            return
        self.listener.close()
        self.listener = None
        with contextlib.suppress(OSError), _short_path(self._path) as path:
            if os.lstat(path).st_ino == self._inode:
                os.unlink(path)


def is_same_user(sock: socket.socket) -> bool:
    """Whether the peer process runs as the same user as this one."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _pid, uid, _gid = PEER_CREDENTIALS.unpack(credentials)
    return bool(uid == os.getuid())


@contextlib.contextmanager
def _short_path(path: str) -> Iterator[str]:
    """Yield a short alias of the path, through a descriptor of its folder.

    The address of a Unix socket holds at most 107 bytes. With a longer TMPDIR neither process
    could bind or connect, and in every upgrade both would share the port without a handover.
    """
    folder, name = os.path.split(path)
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}/{name}"
    finally:
        os.close(descriptor)
