"""Tests that fail for a real fault which is known and not yet mended: KNOWN-RED.txt at the root.

One entry a line, three at most: `test id | command and seed | what was seen | issue`, the issue by
its number. A listed test still runs; its failure is printed and does not fail the run. One that
passes, an id that no test has, a line that can't be read and a fourth entry fail the run, so the
list can't outlive its faults.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import pytest

if TYPE_CHECKING:
    from _pytest.terminal import TerminalReporter

FILE = "KNOWN-RED.txt"
FORM = "test id | command and seed | what was seen | issue"
FIELDS = FORM.count("|") + 1
MAX_ENTRIES = 3


class KnownFailure(NamedTuple):
    """One entry of the list."""

    test: str
    command: str
    seen: str
    issue: int


def read(text: str) -> list[KnownFailure]:
    """The listed tests; ValueError names the line that breaks the form."""
    entries: list[KnownFailure] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(" | ")]
        complete = len(parts) == FIELDS and all(parts)
        if not complete or "::" not in parts[0] or not parts[-1].isdecimal():
            raise ValueError(f"{FILE}:{number}: not `{FORM}`: {line!r}")
        test, command, seen, issue = parts
        if any(entry.test == test for entry in entries):
            raise ValueError(f"{FILE}:{number}: {test} stands twice")
        entries.append(KnownFailure(test, command, seen, int(issue)))
    if len(entries) > MAX_ENTRIES:
        raise ValueError(f"{FILE}: {len(entries)} tests, {MAX_ENTRIES} at most")
    return entries


class KnownRed:
    """Holds the run to the list."""

    def __init__(self, entries: list[KnownFailure], complete: bool) -> None:
        self.entries = {entry.test: entry for entry in entries}
        self.complete = complete  # nothing was deselected: every id of the list has to turn up
        self.reported: set[str] = set()

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            entry = self.entries.get(item.nodeid)
            if entry is not None:
                reason = f"{entry.seen} (issue {entry.issue}; {entry.command})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=True))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        self.reported.add(report.nodeid)

    def missing(self) -> list[str]:
        return sorted(set(self.entries) - self.reported) if self.complete else []

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        if self.missing() and not hasattr(session.config, "workerinput"):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: TerminalReporter) -> None:
        for test in self.missing():
            terminalreporter.write_line(f"{FILE}: no test is called {test}", red=True)


def selects_all(config: pytest.Config) -> bool:
    """Whether this run leaves nothing out by path, word or mark."""
    option = config.option
    by_path = config.args != config.getini("testpaths")
    return not (by_path or option.keyword or option.markexpr or getattr(option, "lf", False))


def pytest_configure(config: pytest.Config) -> None:
    path = Path(config.rootpath) / FILE
    if not path.exists():
        return
    try:
        entries = read(path.read_text())
    except ValueError as err:
        raise pytest.UsageError(str(err)) from None
    if entries:
        config.pluginmanager.register(KnownRed(entries, selects_all(config)))
