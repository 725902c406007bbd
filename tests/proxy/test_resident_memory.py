"""What the process is measured to take before it has any peer."""

from __future__ import annotations

import subprocess
import sys

from tests.harness import ROOT

SCRIPT = """
import asyncio, socket, sys, uvloop
import loadbalancer.proxy.process
from loadbalancer.core.memory_account import MemoryAccount
from loadbalancer.proxy.resident_memory import MemoryWatch, return_free_memory

async def connect(address):
    with socket.socket() as sock:
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)

MemoryWatch(MemoryAccount(32)).begin()
measured = set(sys.modules)
with socket.create_server(("127.0.0.1", 0)) as server:
    uvloop.run(connect(server.getsockname()))
return_free_memory()
print(*sorted(set(sys.modules) - measured))
"""


def test_nothing_is_imported_after_the_process_is_measured() -> None:
    """0.4 MB of modules came with the first connection, and when memory was short."""
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert done.stdout.split() == []
