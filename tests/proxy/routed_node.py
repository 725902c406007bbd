"""A node with a routes file and one scripted backend."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from pathlib import Path

from fakes.files import routes_toml
from tests.harness import Running, node, request, roster, target
from tests.scripted import Scripted

UNLIMITED_BUDGET = "[node]\nbudget = { part = 1.0, floor = 100 }"
# Lines of a class in the routes file: after which failures its policy retries.
RETRY_ALL = (
    'retry_on = ["connect-failure", "refused", "reset-before-sent", "reset", "error", "timeout"]'
)
RETRY_NOT_EXECUTED = 'retry_on = ["connect-failure", "refused", "reset-before-sent"]'


def routes_text(balance: str = "", credit: str = "", more: str = "") -> str:
    """A routes file with extra lines for its two classes, and with extra routes."""
    hosts = ("app.svc", "*.app.svc", "[::1]")
    return routes_toml(balance, credit, more=more, hosts=hosts, head=UNLIMITED_BUDGET)


@contextlib.contextmanager
def routed_node(
    tmp_path: Path, file: str, ways: tuple[str, ...] = (), settings: dict[str, object] | None = None
) -> Iterator[tuple[Running, Scripted]]:
    """A node with this routes file, and its backend, which is listed under three names.

    `ways`: how the backend ends the first attempts, see `Scripted`; it serves all others.
    """
    path = tmp_path / "routes.toml"
    path.write_text(file)
    backend = Scripted(ways)
    known = roster(*(target(f"s-{i}", backend.port) for i in range(3)))
    try:
        with node(tmp_path, known, routes=str(path), settings=settings or {}) as proxy:
            yield proxy, backend
    finally:
        backend.close()


def exchange(
    proxy: Running, cls: str, rid: str = "r1", path: str = "", timeout: int = 1500, **headers: str
) -> tuple[str, bytes]:
    """Send one request on a new connection; returns the status line and body of its response."""
    client = proxy.connect()
    body = None if cls == "balance" else b"amount=5"
    path = path or f"/{cls}/7f3a"
    client.send(request(path, body, timeout, rid, X_Priority_Class=cls, **headers))
    line, _, got = client.message()
    client.close()
    return line, got
