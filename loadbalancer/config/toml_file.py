"""A TOML file's values, and the line of each of its keys.

The standard library's parser gives the values and refuses what is not TOML; a
syntax tree by tree-sitter gives the lines, which the former does not keep. Only
imported where a file is set.
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
_AT_LINE = re.compile(r" \(at line (\d+), column \d+\)$")

Key = tuple[str | int, ...]


class FileError(ConfigurationError):
    """A file that can't be read, or is not TOML.

    `line` counts from 1; `rule` is the rule's name, `wrong` what breaks it, `right` the remedy.
    """

    def __init__(self, line: int, rule: str, wrong: str, right: str) -> None:
        super().__init__(wrong)
        self.line = line
        self.rule = rule
        self.wrong = wrong
        self.right = right


def read(path: str | Path) -> tuple[dict[str, Any], dict[Key, int]]:
    """The values and, by key path (arrays by index), the lines from 1 on.

    Raises:
        FileError: where the file can't be read, is too large, or is not TOML.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as err:
        raise FileError(1, "unreadable", f"can't be read: {err.strerror}", "see its path") from None
    if len(data) > MAX_FILE_BYTES:
        raise FileError(1, "too-large", f"has over {MAX_FILE_BYTES} bytes", "divide it")
    return parse(data)


def parse(data: bytes) -> tuple[dict[str, Any], dict[Key, int]]:
    """As `read`, of a file's bytes."""
    try:
        values = tomllib.loads(data.decode())
    except UnicodeDecodeError as err:
        line = data.count(b"\n", 0, err.start) + 1
        raise FileError(line, "syntax", "is not UTF-8 here", "save it as UTF-8") from None
    except tomllib.TOMLDecodeError as err:
        text = str(err)
        match = _AT_LINE.search(text)
        line = int(match[1]) if match else data.count(b"\n") + 1
        wrong = text[: match.start()] if match else text.removesuffix(" (at end of document)")
        raise FileError(line, "syntax", wrong, "write valid TOML") from None
    except RecursionError:
        raise FileError(1, "syntax", "nests too deeply", "write it flat") from None
    lines: dict[Key, int] = {}
    if values:
        _LineCollector(lines).document(Parser(_TOML).parse(data).root_node)
    return values, lines


class _LineCollector:
    """Notes the line of each key; the text is known to be valid by now."""

    def __init__(self, lines: dict[Key, int]) -> None:
        self.lines = lines
        self.counts: dict[Key, int] = {}  # tables of an array so far

    def document(self, root: Node) -> None:
        """Note the lines of a whole file's keys."""
        for node in root.named_children:
            if node.type == "pair":
                self.pair(node, ())
            elif node.type in ("table", "table_array_element"):
                self.section(node)

    def section(self, node: Node) -> None:
        """Note a table's header and its keys."""
        names = _names(node.named_children[0])
        path = self.latest(names[:-1])
        if node.type == "table_array_element":
            array = (*path, names[-1])
            count = self.counts.get(array, 0)
            self.counts[array] = count + 1
            self.note(array, node)
            path = (*array, count)
        else:
            path = (*path, names[-1])
        self.note(path, node)
        for child in node.named_children[1:]:
            if child.type == "pair":
                self.pair(child, path)

    def latest(self, names: list[str]) -> Key:
        """A header's path: within an array of tables it means the last one."""
        path: Key = ()
        for name in names:
            path = (*path, name)
            if path in self.counts:
                path = (*path, self.counts[path] - 1)
        return path

    def pair(self, node: Node, path: Key) -> None:
        """Note a key, which may be dotted, and the keys within its value."""
        key, value = node.named_children[0], node.named_children[-1]
        for name in _names(key):
            path = (*path, name)
            self.note(path, key)
        self.value(value, path)

    def value(self, node: Node, path: Key) -> None:
        """Note the keys within a value: an array's items and an inline table's pairs."""
        if node.type == "array":
            items = [c for c in node.named_children if c.type != "comment"]
            for i, item in enumerate(items):
                self.note((*path, i), item)
                self.value(item, (*path, i))
        elif node.type == "inline_table":
            for child in node.named_children:
                if child.type == "pair":
                    self.pair(child, path)

    def note(self, path: Key, node: Node) -> None:
        """Remember a key's line; a table's first line stays its line."""
        self.lines.setdefault(path, node.start_point.row + 1)


def _names(node: Node) -> list[str]:
    """The parts of a bare, quoted or dotted key."""
    if node.type == "dotted_key":
        return [name for child in node.named_children for name in _names(child)]
    text = (node.text or b"").decode()
    if node.type == "quoted_key":
        return [str(next(iter(tomllib.loads(f"{text} = 0"))))]
    return [text]
