"""Faults and warnings of a configuration file, each with its line, rule and remedy."""

from __future__ import annotations

from typing import NamedTuple


class Fault(NamedTuple):
    """One violation: line (from 1), id of the rule, description and suggested correction."""

    line: int
    rule: str
    wrong: str
    right: str

    def __str__(self) -> str:
        return f"{self.line}: [{self.rule}] {self.wrong}; {self.right}"


class FaultLog:
    """The faults and warnings found so far in one file."""

    __slots__ = ("_faults", "_reported", "_warnings")

    def __init__(self) -> None:
        self._faults: set[Fault] = set()
        self._warnings: set[Fault] = set()
        self._reported: set[tuple[int, str]] = set()

    def add(self, line: int, rule: str, wrong: str, right: str) -> None:
        """Record a fault."""
        self._faults.add(Fault(line, rule, wrong, right))

    def add_once(self, line: int, rule: str, wrong: str, right: str) -> None:
        """Record a fault once per line and rule, as one value may be inherited often."""
        if (line, rule) not in self._reported:
            self._reported.add((line, rule))
            self.add(line, rule, wrong, right)

    def warn(self, line: int, rule: str, wrong: str, right: str) -> None:
        """Record a warning; the file remains usable."""
        self._warnings.add(Fault(line, rule, wrong, right))

    def faults(self) -> list[Fault]:
        """Return all faults sorted by line."""
        return sorted(self._faults)

    def warnings(self) -> list[Fault]:
        """Return all warnings sorted by line."""
        return sorted(self._warnings)
