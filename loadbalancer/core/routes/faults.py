"""What is wrong with a file: every fault with its line, its rule and a remedy."""

from __future__ import annotations

from typing import NamedTuple


class Fault(NamedTuple):
    """One thing wrong: the line (from 1), the rule's id, what is wrong, what would be right."""

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
        """Keep a fault."""
        self._faults.add(Fault(line, rule, wrong, right))

    def add_once(self, line: int, rule: str, wrong: str, right: str) -> None:
        """As add, for what one written value breaks wherever it is inherited."""
        if (line, rule) not in self._reported:
            self._reported.add((line, rule))
            self.add(line, rule, wrong, right)

    def warn(self, line: int, rule: str, wrong: str, right: str) -> None:
        """Keep a warning, which leaves the file usable."""
        self._warnings.add(Fault(line, rule, wrong, right))

    def faults(self) -> list[Fault]:
        """All faults in the file's order."""
        return sorted(self._faults)

    def warnings(self) -> list[Fault]:
        """All warnings in the file's order."""
        return sorted(self._warnings)
