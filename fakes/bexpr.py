"""Consul's filter expressions, the part that its documentation shows; for the stand-in.

Source: Consul's API documentation, "Filtering": selectors with dots or ["key"], `==`,
`!=`, `in`, `not in`, `contains`, `not contains`, `matches`, `not matches`, `is empty`,
`is not empty`, joined by `and`, `or`, `not` and parentheses. Over a list a selector
holds if any element does.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

Test = Callable[[Any], bool]
MAX_LENGTH = 64 << 10

_TOKEN = re.compile(
    r"""\s*(?:(?P<op>==|!=|\(|\))|"(?P<string>(?:[^"\\]|\\.)*)"|`(?P<raw>[^`]*)`"""
    r"""|(?P<word>[A-Za-z0-9_./-]+(?:\["[^"]*"\])*(?:\.[A-Za-z0-9_-]+)*))"""
)


_PART = re.compile(r'\["([^"]*)"\]|([^.\[\]"]+)')


class FilterError(ValueError):
    """An expression that can't be read."""


def compiled(text: str) -> Test:
    """The expression as a test of one decoded row."""
    if len(text) > MAX_LENGTH:
        raise FilterError("the expression is too long")
    parser = _Parser(_tokens(text))
    test = parser.either()
    if parser.peek() is not None:
        raise FilterError(f"unexpected {parser.peek()!r}")
    return test


def _tokens(text: str) -> list[tuple[str, str]]:
    out = []
    at = 0
    text = text.rstrip()
    while at < len(text):
        found = _TOKEN.match(text, at)
        if found is None:
            raise FilterError(f"can't read {text[at : at + 20]!r}")
        kind = str(found.lastgroup)
        value = found[kind]
        if kind == "string":
            value = re.sub(r"\\(.)", r"\1", value)
        out.append(("value" if kind in ("string", "raw") else kind, value))
        at = found.end()
    return out


class _Parser:
    def __init__(self, tokens: list[tuple[str, str]]) -> None:
        self.tokens = tokens
        self.at = 0

    def peek(self) -> tuple[str, str] | None:
        return self.tokens[self.at] if self.at < len(self.tokens) else None

    def next(self) -> tuple[str, str]:
        token = self.peek()
        if token is None:
            raise FilterError("the expression ends too soon")
        self.at += 1
        return token

    def word(self, text: str) -> bool:
        if self.peek() == ("word", text):
            self.at += 1
            return True
        return False

    def either(self) -> Test:
        tests = [self.both()]
        while self.word("or"):
            tests.append(self.both())
        return lambda row: any(t(row) for t in tests)

    def both(self) -> Test:
        tests = [self.one()]
        while self.word("and"):
            tests.append(self.one())
        return lambda row: all(t(row) for t in tests)

    def one(self) -> Test:
        if self.word("not"):
            inner = self.one()
            return lambda row: not inner(row)
        if self.peek() == ("op", "("):
            self.next()
            inner = self.either()
            if self.next() != ("op", ")"):
                raise FilterError("a parenthesis is not closed")
            return inner
        return self.match()

    def match(self) -> Test:
        kind, first = self.next()
        if kind == "value" or self.peek() in (("word", "in"), ("word", "not")):
            return self.inside(kind, first)
        path = _path(first)
        if self.word("is"):
            no = self.word("not")
            if not self.word("empty"):
                raise FilterError("is what?")
            return lambda row: any(bool(v) for v in _values(row, path)) == no
        no = self.word("not")
        what, op = self.next()
        if what == "op" and op in ("==", "!="):
            value = self.next()[1]
            if op == "==":
                return lambda row: any(_text(v) == value for v in _values(row, path))
            return lambda row: _differs(_values(row, path), value)
        value = self.next()[1]
        if op == "contains":
            return lambda row: (value in _flat(row, path)) != no
        if op == "matches":
            pattern = re.compile(value)
            return lambda row: any(bool(pattern.search(_text(v))) for v in _values(row, path)) != no
        raise FilterError(f"unknown operator {op!r}")

    def inside(self, kind: str, first: str) -> Test:
        no = self.word("not")
        if self.word("matches"):
            pattern = re.compile(self.next()[1])
            path = _path(first)
            return lambda row: any(bool(pattern.search(_text(v))) for v in _values(row, path)) != no
        if self.word("contains"):
            value, path = self.next()[1], _path(first)
            return lambda row: (value in _flat(row, path)) != no
        if not self.word("in"):
            raise FilterError(f"no operator after {first!r}")
        path = _path(self.next()[1])
        return lambda row: (first in _flat(row, path)) != no


def _differs(found: list[Any], value: str) -> bool:
    """Over a list: whether any element does; a key that is not there does."""
    return not found or any(_text(v) != value for v in found)


def _path(text: str) -> list[str]:
    return [quoted or plain for quoted, plain in _PART.findall(text)]


def _values(row: Any, path: list[str]) -> list[Any]:
    """What the selector names; of a list every element's."""
    if isinstance(row, list):
        return [v for one in row for v in _values(one, path)]
    if not path:
        return [row]
    if not isinstance(row, dict) or path[0] not in row:
        return []
    return _values(row[path[0]], path[1:])


def _flat(row: Any, path: list[str]) -> list[str]:
    out: list[str] = []
    for v in _values(row, path):
        out += [_text(k) for k in v] if isinstance(v, dict) else [_text(v)]
    return out


def _text(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
