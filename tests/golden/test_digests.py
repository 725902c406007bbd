"""Runs of seeds are message by message what they were; `check_digests` has all recorded ones."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple

import pytest

from simulation.digest import Digest, plain

from .check_digests import SEEDS, WORLDS, recorded


# The seeds that take least time, 6 s together.
@pytest.mark.parametrize(
    ("world", "seed"),
    [
        ("fleet_play", 0),
        ("fleet_play", 8),
        ("scale_play", 1),
        ("scale_play", 8),
        ("list_callers", 0),
        ("list_callers", 1),
    ],
)
def test_a_seed_s_run_is_what_it_was(world: str, seed: int) -> None:
    assert WORLDS[world](seed) == recorded(world)[seed]


@pytest.mark.parametrize("world", WORLDS)
def test_twenty_seeds_are_recorded_and_no_two_are_alike(world: str) -> None:
    kept = recorded(world)
    assert list(kept) == list(range(SEEDS))
    assert len(set(kept.values())) == SEEDS


def test_names_of_types_and_fields_do_not_count() -> None:
    class Pair(NamedTuple):
        one: int
        other: frozenset[str]

    @dataclass(frozen=True)
    class Renamed:
        first: int
        second: tuple[str, ...]

    class Number(IntEnum):
        SEVEN = 7

    class Word(Enum):
        GONE = "gone"

    expected = (7, ("a", "b", "gone"))
    assert plain(Pair(Number.SEVEN, frozenset(("b", "gone", "a")))) == expected
    assert plain(Renamed(7, ("a", "b", Word.GONE))) == expected  # type: ignore[arg-type]
    assert type(plain(Number.SEVEN)) is int


def test_what_has_no_plain_form_is_refused() -> None:
    with pytest.raises(TypeError):
        plain(object())


def test_each_value_its_time_and_the_order_count() -> None:
    def value(*lines: tuple[int, object]) -> str:
        digest = Digest()
        for now, held in lines:
            digest.add(now, held)
        return digest.value()

    lines = ((1, "a"), (2, b"a"))
    others = [lines[::-1], lines[:1], ((1, "a"), (3, b"a")), ((1, "a"), (2, "a")), lines]
    assert len({value(*other) for other in others}) == len(others)
