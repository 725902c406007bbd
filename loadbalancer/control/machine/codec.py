"""Control machines' messages as MessagePack, built from the messages' own types.

A message is [number, [field, ...]], the number being its type's place in the codec's list; a
NamedTuple or dataclass within it is [field, ...]. A reader checks each value's type, so that a
malformed message can't reach the decisions as something else.
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
    """Bytes that are no message; `counter` names the status counter that counts them."""

    def __init__(self, counter: str) -> None:
        super().__init__(counter)
        self.counter = counter


class Codec:
    """Encodes and decodes these message types; their order is part of the format."""

    def __init__(self, types: Sequence[type]) -> None:
        self._numbers = {type_: number for number, type_ in enumerate(types)}
        self._encoders = [_encoder(type_) for type_ in types]
        self._decoders = [_decoder(type_) for type_ in types]

    def encode(self, message: object) -> bytes:
        """The message's bytes."""
        number = self._numbers[type(message)]
        packed: bytes = msgpack.packb([number, self._encoders[number](message)])
        return packed

    def decode(self, data: bytes) -> Any:
        """The message of these bytes.

        Raises:
            BadMessageError: they are none.
        """
        try:
            number, values = msgpack.unpackb(data, use_list=True)
        except (ValueError, TypeError, msgpack.UnpackException) as err:
            raise BadMessageError(MALFORMED) from err
        # Failure: raised within a `try`, this one is caught as the ValueError that it is, and a
        # message of another version's kind is counted as a broken one.
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
    """The fields of a dataclass or NamedTuple, in order; None for a plain value."""
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
        return lambda value: [item(one) for one in value]
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
        return tuple([item(one) for one in value])

    return decode


def _record_decoder(type_: type, decoders: list[Decoder]) -> Decoder:
    def decode(value: Any) -> Any:
        if type(value) is not list or len(value) != len(decoders):
            raise BadMessageError(MALFORMED)
        return type_(*[decode(one) for decode, one in zip(decoders, value, strict=True)])

    return decode


def _plain_decoder(type_: Any) -> Decoder:
    def decode(value: Any) -> Any:
        if type(value) is not type_:
            raise BadMessageError(MALFORMED)
        return value

    return decode


def _without_none(type_: Any) -> tuple[Any, bool]:
    """The type without None, and whether None was allowed."""
    if typing.get_origin(type_) in (UnionType, typing.Union):
        others = [part for part in typing.get_args(type_) if part is not NoneType]
        if len(others) == 1:
            return others[0], True
    return type_, False


def _unchanged(value: Any) -> Any:
    return value
