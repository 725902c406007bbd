"""Consul's filter expressions, the part that its documentation shows.

Source: Consul's API documentation, "Filtering": selectors with dots or ["key"], `==`,
`!=`, `in`, `not in`, `contains`, `not contains`, `matches`, `not matches`, `is empty`,
`is not empty`, joined by `and`, `or`, `not` and parentheses. Over a list a selector
matches if any element does.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

Predicate = Callable[[Any], bool]  # of one decoded row
MAX_LENGTH = 64 << 10  # characters of an expression
EXCERPT_LENGTH = 20  # characters of the expression that an error shows

_TOKEN = re.compile(
    r"""\s*(?:(?P<operator>==|!=|\(|\))|"(?P<string>(?:[^"\\]|\\.)*)"|`(?P<raw>[^`]*)`"""
    r"""|(?P<name>[A-Za-z0-9_./-]+(?:\["[^"]*"\])*(?:\.[A-Za-z0-9_-]+)*))"""
)
_SELECTOR_PART = re.compile(r'\["([^"]*)"\]|([^.\[\]"]+)')


class FilterError(ValueError):
    """An expression that can't be read."""


class TokenKind(StrEnum):
    """What a token is."""

    OPERATOR = "operator"  # ==, != or a parenthesis
    VALUE = "value"  # a quoted string
    NAME = "name"  # a selector or a keyword


class Token(NamedTuple):
    """One token; `text` is a quoted string's content."""

    kind: TokenKind
    text: str


def compile_filter(text: str) -> Predicate:
    """Compile an expression into a predicate of one decoded row.

    Raises:
        FilterError: it can't be read.
    """
    if len(text) > MAX_LENGTH:
        raise FilterError("the expression is too long")
    parser = _Parser(_tokens(text))
    test = parser.parse_or()
    if parser.peek() is not None:
        raise FilterError(f"unexpected {parser.peek()!r}")
    return test


def _tokens(text: str) -> list[Token]:
    tokens = []
    position = 0
    text = text.rstrip()
    while position < len(text):
        found = _TOKEN.match(text, position)
        if found is None:
            raise FilterError(f"can't read {text[position : position + EXCERPT_LENGTH]!r}")
        tokens.append(_token(found))
        position = found.end()
    return tokens


def _token(found: re.Match[str]) -> Token:
    group = str(found.lastgroup)
    value = found[group]
    if group == "string":
        value = re.sub(r"\\(.)", r"\1", value)
    is_quoted = group in ("string", "raw")
    return Token(TokenKind.VALUE if is_quoted else TokenKind(group), value)


class _Parser:
    """Recursive descent, one method a level of precedence."""

    def __init__(self, tokens: list[Token]) -> None:
        self._tokens = tokens
        self._position = 0

    def peek(self) -> Token | None:
        """The next token, None at the end."""
        return self._tokens[self._position] if self._position < len(self._tokens) else None

    def _next(self) -> Token:
        token = self.peek()
        if token is None:
            raise FilterError("the expression ends too soon")
        self._position += 1
        return token

    def _accept(self, keyword: str) -> bool:
        """Whether the next token is this keyword; if so, it is consumed."""
        if self.peek() == Token(TokenKind.NAME, keyword):
            self._position += 1
            return True
        return False

    def parse_or(self) -> Predicate:
        """Tests joined by `or`."""
        tests = [self._parse_and()]
        while self._accept("or"):
            tests.append(self._parse_and())
        return lambda row: any(test(row) for test in tests)

    def _parse_and(self) -> Predicate:
        tests = [self._parse_not()]
        while self._accept("and"):
            tests.append(self._parse_not())
        return lambda row: all(test(row) for test in tests)

    def _parse_not(self) -> Predicate:
        if self._accept("not"):
            return _negated(self._parse_not())
        if self.peek() != Token(TokenKind.OPERATOR, "("):
            return self._parse_match()
        self._next()
        inner = self.parse_or()
        if self._next() != Token(TokenKind.OPERATOR, ")"):
            raise FilterError("a parenthesis is not closed")
        return inner

    def _parse_match(self) -> Predicate:
        first = self._next()
        if first.kind is TokenKind.NAME and self._accept("is"):
            return self._parse_empty(first.text)
        is_negated = self._accept("not")
        operator = self._next()
        if first.kind is TokenKind.VALUE and operator.kind is TokenKind.OPERATOR:
            raise FilterError(f"no operator after {first.text!r}")
        if is_negated and operator.kind is TokenKind.OPERATOR:
            raise FilterError(f"not {operator.text}?")
        test = _comparison(first.text, operator.text, self._next().text)
        return _negated(test) if is_negated else test

    def _parse_empty(self, text: str) -> Predicate:
        """What follows `is` in `selector is empty` or `selector is not empty`."""
        selector = _selector(text)
        is_negated = self._accept("not")
        if not self._accept("empty"):
            raise FilterError("is what?")
        return lambda row: any(bool(v) for v in _values(row, selector)) == is_negated


def _comparison(first: str, operator: str, second: str) -> Predicate:
    selector = _selector(second if operator == "in" else first)
    match operator:
        case "in":
            return lambda row: first in _texts(row, selector)
        case "contains":
            return lambda row: second in _texts(row, selector)
        case "==":
            return lambda row: any(_text(v) == second for v in _values(row, selector))
        case "!=":
            return lambda row: _differs(_values(row, selector), second)
        case "matches":
            pattern = re.compile(second)
            return lambda row: any(pattern.search(_text(v)) for v in _values(row, selector))
    raise FilterError(f"unknown operator {operator!r}")


def _negated(test: Predicate) -> Predicate:
    return lambda row: not test(row)


def _differs(found: list[Any], value: str) -> bool:
    """Over a list: whether any element does; a key that is not there does."""
    return not found or any(_text(v) != value for v in found)


def _selector(text: str) -> list[str]:
    return [quoted or plain for quoted, plain in _SELECTOR_PART.findall(text)]


def _values(row: Any, selector: list[str]) -> list[Any]:
    """What the selector names; of a list every element's."""
    if isinstance(row, list):
        return [value for element in row for value in _values(element, selector)]
    if not selector:
        return [row]
    if not isinstance(row, dict) or selector[0] not in row:
        return []
    return _values(row[selector[0]], selector[1:])


def _texts(row: Any, selector: list[str]) -> list[str]:
    """The named values as texts; of a map its keys."""
    texts: list[str] = []
    for value in _values(row, selector):
        texts += [_text(key) for key in value] if isinstance(value, dict) else [_text(value)]
    return texts


def _text(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
