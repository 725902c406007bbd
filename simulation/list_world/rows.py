"""Rows of the endpoint list as text, as discovery serves them, and what a host reads in them."""

from __future__ import annotations

import json
from collections.abc import Mapping
from functools import lru_cache
from typing import NamedTuple

from loadbalancer.core import Listing, State
from loadbalancer.core.balancing.model import MS

STATE_NAMES = {State.READY: "active", State.DRAINING: "leaving"}  # as discovery names them
CACHED_ROWS = 1 << 16
# Knuth's multiplicative hash: rows must differ enough to compress as real ones do.
SERVER_FACTOR = 2654435761
GENERATION_FACTOR = 40503
HASH_MASK = 0xFFFFFFFF


class KnownList(NamedTuple):
    """A version of the list and its rows by uid."""

    rev: int
    rows: Mapping[str, str]


class _ReadRow(NamedTuple):
    state: State
    boot_ms: int


def encode_row(
    server: int, generation: int = 0, state: State = State.READY, boot_ms: int = 0
) -> str:
    """A server's row as JSON text; a later generation is the same server at another address.

    `boot_ms` is when the server started, in milliseconds of the world; 0 for long ago.
    """
    drawn = (server * SERVER_FACTOR + generation * GENERATION_FACTOR) & HASH_MASK
    return json.dumps(
        {
            "uid": f"s-{drawn:08x}",
            "endpoint": f"10.{server % 7}.{drawn % 251}.18:8080",
            "az": "abc"[server % 3],
            "model": "m2",
            "pod_group": server % 5,
            "state": STATE_NAMES[state],
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
        },
        sort_keys=True,
        separators=(",", ":"),
    )


def decode_row(uid: str, text: str | None, clock_offset: int) -> Listing:
    """A row as the host of a node reads it whose clock is `clock_offset` nanoseconds ahead.

    `text` is None for a removed server. ValueError where the uid names no server.
    """
    server = int(uid[1:])
    if text is None:
        return Listing(server, State.GONE)
    row = _read(text)
    return Listing(server, row.state, boot=row.boot_ms * MS + clock_offset if row.boot_ms else 0)


@lru_cache(CACHED_ROWS)
def _read(text: str) -> _ReadRow:
    fields = json.loads(text)
    is_ready = fields["state"] == STATE_NAMES[State.READY]
    return _ReadRow(State.READY if is_ready else State.DRAINING, fields["boot_ms"])
