"""Suffixes of keys as the leaves of a trie: which leaf a key belongs to, how a leaf is split.

A leaf is written as the suffix that its keys share, in lower case. Only characters of ALPHABET are
distinguished. BOUNDARY as a leaf's first character stands for the start of the key, or for any
character that is not in ALPHABET: the leaf "-ab" holds the keys "ab" and "x.ab". OTHER is the leaf
of all keys whose last character is not in ALPHABET.
"""

from __future__ import annotations

from collections.abc import Iterable

ALPHABET = "0123456789abcdefghijklmnopqrstuvwxyz"
BOUNDARY = "-"
OTHER = ""
MAX_LEAF_LENGTH = 12  # in characters; keys that share a longer suffix stay in one leaf


def leaf_of(key: str, length: int) -> str:
    """The leaf that a key belongs to, among leaves of up to `length` characters."""
    lower = key.lower()
    suffix_length = 0
    while (
        suffix_length < length
        and suffix_length < len(lower)
        and lower[-1 - suffix_length] in ALPHABET
    ):
        suffix_length += 1
    if not suffix_length:
        return OTHER
    return lower[-suffix_length:] if suffix_length == length else BOUNDARY + lower[-suffix_length:]


def is_plain(leaf: str) -> bool:
    """Whether a leaf consists of characters of ALPHABET alone."""
    return leaf[:1] not in (BOUNDARY, OTHER)


def group_by_leaf(leaves: Iterable[str], keys: Iterable[str]) -> dict[str, list[str]]:
    """Group keys by these leaves; keys that belong to none of them are left out."""
    wanted = frozenset(leaves)
    lengths = sorted({max(len(leaf), 1) for leaf in wanted})
    groups: dict[str, list[str]] = {}
    for key in keys:
        for length in lengths:
            leaf = leaf_of(key, length)
            if leaf in wanted:
                groups.setdefault(leaf, []).append(key)
                break
    return groups


def split_leaf(leaf: str) -> list[str]:
    """The leaves, one character longer, that a leaf is split into; none if it can't be split."""
    if not is_plain(leaf) or len(leaf) >= MAX_LEAF_LENGTH:
        return []
    return [first + leaf for first in (*ALPHABET, BOUNDARY)]
