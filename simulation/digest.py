"""One number for all that a seed's run sent and decided, to compare a run before and after.

Only values count, and not the names of types, fields and modules. Messages that have a form on the
wire are added as those bytes, so that a digest does not depend on how records are divided either.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from functools import cache
from hashlib import sha256
from typing import Any

from loadbalancer.control.machine.codec import Codec
from loadbalancer.control.machine.messages import message_codec
from loadbalancer.core.gossip.messages import Message
from loadbalancer.gossip_transport import codec


class Digest:
    """SHA-256 over lines, each a time and values, in the order in which they are added."""

    def __init__(self) -> None:
        self._hash = sha256()

    def add(self, now: int, *values: object) -> None:
        """Add what was sent or decided at this time of the world, in nanoseconds."""
        self._hash.update(repr((now, *map(plain, values))).encode() + b"\n")

    def value(self) -> str:
        """The digest of all that was added, in hexadecimal."""
        return self._hash.hexdigest()


def plain(value: Any) -> Any:
    """The value by numbers, texts, bytes, None and tuples alone.

    A mapping keeps its order, a set is sorted. TypeError on whatever else could carry a name.
    """
    kind = type(value)
    if value is None or kind in (int, bool, float, str, bytes):
        return value
    if isinstance(value, Enum):
        return plain(value.value)
    if isinstance(value, tuple | list):
        return tuple(map(plain, value))
    if isinstance(value, set | frozenset):
        return tuple(sorted(map(plain, value), key=repr))
    if isinstance(value, Mapping):
        return tuple((plain(key), plain(entry)) for key, entry in value.items())
    if is_dataclass(value) and not isinstance(value, type):
        return tuple(plain(getattr(value, field.name)) for field in fields(value))
    raise TypeError(f"no plain form of a {kind.__name__}")


def gossip_bytes(message: Message) -> bytes:
    """A message between nodes as it goes on the wire."""
    return codec.encode(message, 0)


@cache
def _machine_codec() -> Codec:
    return message_codec()


def machine_bytes(message: object) -> bytes:
    """A message between control machines as it goes on the wire."""
    return _machine_codec().encode(message)
