"""Each name that leaves the process is still written in the product, letter for letter.

No recorded bytes hold every message key, setting, counter and logged line of the decisions. A
rename of one that they lack would pass all other tests, and a peer of another version, an
operator's tool or the simulator's trace would no longer find it.
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

import loadbalancer

DATA = Path(__file__).parent / "data"
PRODUCT = Path(loadbalancer.__file__).parent
ENUM_BASES = {"Enum", "IntEnum", "StrEnum"}
LOG_METHODS = {"debug", "info", "warning", "error", "exception", "critical", "log"}


def listed(file: str) -> list[str]:
    lines = (DATA / file).read_text().splitlines()
    return [line for line in lines if line and not line.startswith("#")]


def docstrings(tree: ast.Module) -> set[int]:
    """The nodes of strings that stand alone: docstrings."""
    return {
        id(node.value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }


def in_messages(tree: ast.Module) -> set[int]:
    """The nodes of strings in raise statements and calls of loggers."""
    found: set[int] = set()
    for node in ast.walk(tree):
        logs = (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and node.func.attr in LOG_METHODS
        )
        if logs or isinstance(node, ast.Raise):
            found |= {id(inner) for inner in ast.walk(node)}
    return found


def strings(tree: ast.Module, skipped: set[int]) -> Iterator[str]:
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or id(node) in skipped:
            continue
        if isinstance(node.value, bytes):
            yield node.value.decode("latin-1")
        elif isinstance(node.value, str):
            yield node.value


def enum_members(tree: ast.Module) -> Iterator[str]:
    for node in ast.walk(tree):
        if not isinstance(node, ast.ClassDef):
            continue
        if not {ast.unparse(base).rpartition(".")[2] for base in node.bases} & ENUM_BASES:
            continue
        for statement in node.body:
            if isinstance(statement, ast.Assign):
                yield from (t.id for t in statement.targets if isinstance(t, ast.Name))


@pytest.fixture(scope="module")
def trees() -> list[ast.Module]:
    return [ast.parse(path.read_text()) for path in sorted(PRODUCT.rglob("*.py"))]


def test_each_outer_name_is_a_string_or_an_enum_member_of_the_product(
    trees: list[ast.Module],
) -> None:
    texts: set[str] = set()
    members: set[str] = set()
    for tree in trees:
        texts.update(strings(tree, docstrings(tree) | in_messages(tree)))
        members.update(enum_members(tree))
    joined = "\n".join(texts)
    names = listed("outer_names.txt")
    assert len(names) >= 723
    missing = [name for name in names if name not in members and name not in joined]
    assert missing == []


def test_each_outer_message_is_part_of_a_string_of_the_product(trees: list[ast.Module]) -> None:
    joined = "\n".join(text for tree in trees for text in strings(tree, docstrings(tree)))
    messages = listed("outer_messages.txt")
    assert len(messages) >= 23
    assert [text for text in messages if text not in joined] == []
