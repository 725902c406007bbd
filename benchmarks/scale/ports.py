"""Free TCP ports for the processes of a scale run."""

from __future__ import annotations

import contextlib
import os
import socket
from random import Random

LOWEST_PORT = 20_000
PORT_LIMIT = 32_000  # exclusive; from here on the kernel takes ports for outgoing connections
ATTEMPTS = 100


def first_of_free_ports(count: int, seed: int) -> int:
    """Return the first of `count` consecutive free ports on 127.0.0.1; OSError if none is found.

    The ports lie below the kernel's ephemeral range: an outgoing connection of some process could
    otherwise take one of them between this check and the start of the process that listens on it.
    """
    random = Random(seed ^ os.getpid())  # two runs with one seed look at different ports
    for _ in range(ATTEMPTS):
        first = random.randrange(LOWEST_PORT, PORT_LIMIT - count)
        if _all_free(range(first, first + count)):
            return first
    raise OSError(f"no {count} consecutive free ports")


def _all_free(ports: range) -> bool:
    with contextlib.ExitStack() as stack:
        try:
            for port in ports:
                sock = stack.enter_context(socket.socket())
                sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
