"""MessagePack codec of the messages between control machines, derived from their type hints.

A message is encoded as [number, [field, ...]], where the number is the index of its type in the
codec's list. A NamedTuple or dataclass within a message is encoded as [field, ...]. The decoder
checks the type of each value, so that the decisions never see a malformed message.
"""

from __future__ import annotations

import typing
from collections.abc import Callable, Sequence
from dataclasses import fields, is_dataclass
from types import NoneType, UnionType
from typing import Any, NamedTuple

import msgpack

from loadbalancer.core.errors import ProtocolError

Decoder = Callable[[Any], Any]
Encoder = Callable[[Any], Any]

# Counters of `counts.streams` in GET /status.
MALFORMED = "unsound"
UNKNOWN_KIND = "unknown kind"


class BadMessageError(ProtocolError, ValueError):
    """Bytes that can't be decoded; `counter` is the name of the status counter to increment."""

    def __init__(self, counter: str) -> None:
        super().__init__(counter)
        self.counter = counter


class Codec:
    """Encodes and decodes the given message types; their order is part of the wire format."""

    def __init__(self, types: Sequence[type]) -> None:
        self._numbers = {type_: number for number, type_ in enumerate(types)}
        self._encoders = [_encoder(type_) for type_ in types]
        self._decoders = [_decoder(type_) for type_ in types]

    def encode(self, message: object) -> bytes:
        """Encode a message."""
        number = self._numbers[type(message)]
        packed: bytes = msgpack.packb([number, self._encoders[number](message)])
        return packed

    def decode(self, data: bytes) -> Any:
        """Decode a message.

        Raises:
            BadMessageError: the bytes are malformed, or of an unknown message type.
        """
        try:
            number, values = msgpack.unpackb(data, use_list=True)
        except (ValueError, TypeError, msgpack.UnpackException) as err:
            raise BadMessageError(MALFORMED) from err
        # Outside the `try` blocks: BadMessageError is a ValueError, so the handlers would catch it
        # and count a message type of another release as malformed.
        if type(number) is not int or not 0 <= number < len(self._decoders):
            raise BadMessageError(UNKNOWN_KIND)
        try:
            return self._decoders[number](values)
        except (ValueError, TypeError) as err:
            raise BadMessageError(MALFORMED) from err


class _Field(NamedTuple):
    name: str
    type: Any


def _record_fields(type_: Any) -> list[_Field] | None:
    """Return the fields of a dataclass or NamedTuple in order, or None for any other type."""
    hints = typing.get_type_hints(type_) if isinstance(type_, type) else {}
    if is_dataclass(type_):
        return [_Field(field.name, hints[field.name]) for field in fields(type_)]
    names = getattr(type_, "_fields", None)
    return None if names is None else [_Field(name, hints[name]) for name in names]


def _encoder(type_: Any) -> Encoder:
    type_, optional = _without_none(type_)
    if optional:
        inner = _encoder(type_)
        return lambda value: None if value is None else inner(value)
    if typing.get_origin(type_) is tuple:
        item = _encoder(typing.get_args(type_)[0])
        return lambda value: [item(element) for element in value]
    record = _record_fields(type_)
    if record is None:
        return _unchanged
    encoders = [(field.name, _encoder(field.type)) for field in record]
    return lambda value: [encode(getattr(value, name)) for name, encode in encoders]


def _decoder(type_: Any) -> Decoder:
    type_, optional = _without_none(type_)
    if optional:
        inner = _decoder(type_)
        return lambda value: None if value is None else inner(value)
    if typing.get_origin(type_) is tuple:
        return _tuple_decoder(_decoder(typing.get_args(type_)[0]))
    record = _record_fields(type_)
    if record is None:
        return _plain_decoder(type_)
    return _record_decoder(type_, [_decoder(field.type) for field in record])


def _tuple_decoder(item: Decoder) -> Decoder:
    def decode(value: Any) -> Any:
        if type(value) is not list:
            raise BadMessageError(MALFORMED)
        return tuple([item(element) for element in value])

    return decode


def _record_decoder(type_: type, decoders: list[Decoder]) -> Decoder:
    def decode(value: Any) -> Any:
        if type(value) is not list or len(value) != len(decoders):
            raise BadMessageError(MALFORMED)
        return type_(*[decode(element) for decode, element in zip(decoders, value, strict=True)])

    return decode


def _plain_decoder(type_: Any) -> Decoder:
    def decode(value: Any) -> Any:
        if type(value) is not type_:
            raise BadMessageError(MALFORMED)
        return value

    return decode


def _without_none(type_: Any) -> tuple[Any, bool]:
    """Split a type hint into its type without None, and whether it allows None."""
    if typing.get_origin(type_) in (UnionType, typing.Union):
        others = [part for part in typing.get_args(type_) if part is not NoneType]
        if len(others) == 1:
            return others[0], True
    return type_, False


def _unchanged(value: Any) -> Any:
    return value
