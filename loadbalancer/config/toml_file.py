"""Parses a TOML file into its values and the line number of each key.

The standard library's parser yields the values and rejects invalid TOML, but does not keep line
numbers; those come from tree-sitter's syntax tree. This module is imported only when a TOML file
is configured.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any

import tree_sitter_toml
from tree_sitter import Language, Node, Parser

from loadbalancer.core.errors import ConfigurationError

MAX_FILE_BYTES = 16 << 20
_TOML = Language(tree_sitter_toml.language())
_LINE_SUFFIX = re.compile(r" \(at line (\d+), column \d+\)$")

Key = tuple[str | int, ...]


class FileError(ConfigurationError):
    """A file that can't be read, or is not TOML.

    `line` is 1-based; `rule` names the violated rule, `wrong` the problem and `right` its remedy.
    """

    def __init__(self, line: int, rule: str, wrong: str, right: str) -> None:
        super().__init__(wrong)
        self.line = line
        self.rule = rule
        self.wrong = wrong
        self.right = right


def read(path: str | Path) -> tuple[dict[str, Any], dict[Key, int]]:
    """Read a file's values and the 1-based line of each key path (array items by index).

    Raises:
        FileError: if the file can't be read, is too large, or is not TOML.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as err:
        raise FileError(
            1, "unreadable", f"can't be read: {err.strerror}", "check its path"
        ) from None
    if len(data) > MAX_FILE_BYTES:
        raise FileError(1, "too-large", f"is larger than {MAX_FILE_BYTES} bytes", "split it")
    return parse(data)


def parse(data: bytes) -> tuple[dict[str, Any], dict[Key, int]]:
    """Parse a file's bytes; returns and raises as `read` does."""
    try:
        values = tomllib.loads(data.decode())
    except UnicodeDecodeError as err:
        line = data.count(b"\n", 0, err.start) + 1
        raise FileError(line, "syntax", "is not UTF-8 here", "save it as UTF-8") from None
    except tomllib.TOMLDecodeError as err:
        text = str(err)
        match = _LINE_SUFFIX.search(text)
        line = int(match[1]) if match else data.count(b"\n") + 1
        wrong = text[: match.start()] if match else text.removesuffix(" (at end of document)")
        raise FileError(line, "syntax", wrong, "write valid TOML") from None
    except RecursionError:
        raise FileError(1, "syntax", "is nested too deeply", "reduce the nesting") from None
    lines: dict[Key, int] = {}
    if values:
        _LineCollector(lines).add_document(Parser(_TOML).parse(data).root_node)
    return values, lines


class _LineCollector:
    """Records the line of each key in the syntax tree of a text known to be valid TOML."""

    def __init__(self, lines: dict[Key, int]) -> None:
        self.lines = lines
        self.counts: dict[Key, int] = {}  # tables seen so far, by array of tables

    def add_document(self, root: Node) -> None:
        """Record the lines of all keys of the file."""
        for node in root.named_children:
            if node.type == "pair":
                self.add_pair(node, ())
            elif node.type in ("table", "table_array_element"):
                self.add_section(node)

    def add_section(self, node: Node) -> None:
        """Record a table's header and its keys."""
        names = _names(node.named_children[0])
        path = self.resolve_header(names[:-1])
        if node.type == "table_array_element":
            array = (*path, names[-1])
            count = self.counts.get(array, 0)
            self.counts[array] = count + 1
            self.record_line(array, node)
            path = (*array, count)
        else:
            path = (*path, names[-1])
        self.record_line(path, node)
        for child in node.named_children[1:]:
            if child.type == "pair":
                self.add_pair(child, path)

    def resolve_header(self, names: list[str]) -> Key:
        """Resolve a header's names to a path; an array of tables stands for its last table."""
        path: Key = ()
        for name in names:
            path = (*path, name)
            if path in self.counts:
                path = (*path, self.counts[path] - 1)
        return path

    def add_pair(self, node: Node, path: Key) -> None:
        """Record a key, which may be dotted, and the keys within its value."""
        key, value = node.named_children[0], node.named_children[-1]
        for name in _names(key):
            path = (*path, name)
            self.record_line(path, key)
        self.add_value(value, path)

    def add_value(self, node: Node, path: Key) -> None:
        """Record the keys within a value: an array's items and an inline table's pairs."""
        if node.type == "array":
            items = [c for c in node.named_children if c.type != "comment"]
            for i, item in enumerate(items):
                self.record_line((*path, i), item)
                self.add_value(item, (*path, i))
        elif node.type == "inline_table":
            for child in node.named_children:
                if child.type == "pair":
                    self.add_pair(child, path)

    def record_line(self, path: Key, node: Node) -> None:
        """Record a key's line; only the first line recorded for a key counts."""
        self.lines.setdefault(path, node.start_point.row + 1)


def _names(node: Node) -> list[str]:
    """Split a bare, quoted or dotted key into its parts."""
    if node.type == "dotted_key":
        return [name for child in node.named_children for name in _names(child)]
    text = (node.text or b"").decode()
    if node.type == "quoted_key":
        return [str(next(iter(tomllib.loads(f"{text} = 0"))))]
    return [text]
