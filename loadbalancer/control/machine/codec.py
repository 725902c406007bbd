"""Control machines' messages as MessagePack, built from the messages' own types.

A message is [number, field, ...]; a NamedTuple or dataclass within it is [field, ...]. A reader
checks each value's type, so that what a peer feeds can't reach the decisions as something else.
"""

from __future__ import annotations

import typing
from collections.abc import Callable, Sequence
from dataclasses import fields, is_dataclass
from types import NoneType, UnionType
from typing import Any

import msgpack

from loadbalancer.core.errors import ProtocolError

Decoder = Callable[[Any], Any]
Encoder = Callable[[Any], Any]


class BadMessageError(ProtocolError, ValueError):
    """Bytes that are no message of ours; the text is what it is counted under."""


class Codec:
    """Encodes and decodes these message types; their order is part of the form."""

    def __init__(self, kinds: Sequence[type]) -> None:
        self._numbers = {kind: number for number, kind in enumerate(kinds)}
        self._encoders = [_encoder(kind) for kind in kinds]
        self._decoders = [_decoder(kind) for kind in kinds]

    def encode(self, message: object) -> bytes:
        """The message's bytes."""
        number = self._numbers[type(message)]
        packed: bytes = msgpack.packb([number, self._encoders[number](message)])
        return packed

    def decode(self, data: bytes) -> Any:
        """The message; BadMessageError on anything else."""
        try:
            number, row = msgpack.unpackb(data, use_list=True)
            if type(number) is not int or not 0 <= number < len(self._decoders):
                raise BadMessageError("unknown kind")
            return self._decoders[number](row)
        except (ValueError, TypeError, msgpack.UnpackException) as err:
            raise BadMessageError("unsound") from err


def _parts(kind: type) -> list[tuple[str, Any]] | None:
    """A record's field names and types, None for a plain value."""
    hints = typing.get_type_hints(kind) if isinstance(kind, type) else {}
    if is_dataclass(kind):
        return [(field.name, hints[field.name]) for field in fields(kind)]
    names = getattr(kind, "_fields", None)
    return None if names is None else [(name, hints[name]) for name in names]


def _encoder(kind: Any) -> Encoder:
    kind, optional = _without_none(kind)
    if optional:
        inner = _encoder(kind)
        return lambda value: None if value is None else inner(value)
    if typing.get_origin(kind) is tuple:
        item = _encoder(typing.get_args(kind)[0])
        return lambda value: [item(one) for one in value]
    parts = _parts(kind)
    if parts is None:
        return _same
    encoders = [(name, _encoder(type_)) for name, type_ in parts]
    return lambda value: [encode(getattr(value, name)) for name, encode in encoders]


def _decoder(kind: Any) -> Decoder:
    kind, optional = _without_none(kind)
    if optional:
        inner = _decoder(kind)
        return lambda value: None if value is None else inner(value)
    if typing.get_origin(kind) is tuple:
        return _tuple_decoder(_decoder(typing.get_args(kind)[0]))
    parts = _parts(kind)
    if parts is None:
        return _plain_decoder(kind)
    return _record_decoder(kind, [_decoder(type_) for _, type_ in parts])


def _tuple_decoder(item: Decoder) -> Decoder:
    def decode(value: Any) -> Any:
        if type(value) is not list:
            raise BadMessageError("unsound")
        return tuple([item(one) for one in value])

    return decode


def _record_decoder(kind: type, decoders: list[Decoder]) -> Decoder:
    def decode(value: Any) -> Any:
        if type(value) is not list or len(value) != len(decoders):
            raise BadMessageError("unsound")
        return kind(*[decode(one) for decode, one in zip(decoders, value, strict=True)])

    return decode


def _plain_decoder(kind: Any) -> Decoder:
    def decode(value: Any) -> Any:
        if type(value) is not kind:
            raise BadMessageError("unsound")
        return value

    return decode


def _without_none(kind: Any) -> tuple[Any, bool]:
    """The type less None, and whether None was allowed."""
    if typing.get_origin(kind) in (UnionType, typing.Union):
        rest = [part for part in typing.get_args(kind) if part is not NoneType]
        if len(rest) == 1:
            return rest[0], True
    return kind, False


def _same(value: Any) -> Any:
    return value
