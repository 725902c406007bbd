"""Tests that fail for a real fault which is known and not yet mended: KNOWN-RED.txt at the root.

One line each, three at most: `test id | cause | issue`, the issue by its number. A listed test
still runs; its failure is printed and borne. One that passes, an id that no test has, a line
that can't be read and a fourth line fail the run, so the list can't outlive its faults.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import pytest

if TYPE_CHECKING:
    from _pytest.terminal import TerminalReporter

FILE = "KNOWN-RED.txt"
MOST = 3


class Red(NamedTuple):
    test: str
    cause: str
    issue: int


def read(text: str) -> list[Red]:
    """The listed tests; ValueError names the line that breaks the form."""
    reds: list[Red] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or "::" not in parts[0] or not all(parts) or not parts[2].isdecimal():
            raise ValueError(f"{FILE}:{number}: not `test id | cause | issue`: {line!r}")
        if any(red.test == parts[0] for red in reds):
            raise ValueError(f"{FILE}:{number}: {parts[0]} stands twice")
        reds.append(Red(parts[0], parts[1], int(parts[2])))
    if len(reds) > MOST:
        raise ValueError(f"{FILE}: {len(reds)} tests, {MOST} at most")
    return reds


class KnownRed:
    """Holds the run to the list."""

    def __init__(self, reds: list[Red], whole: bool) -> None:
        self.reds = {red.test: red for red in reds}
        self.whole = whole  # nothing was left out: every id of the list has to turn up
        self.seen: set[str] = set()

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            red = self.reds.get(item.nodeid)
            if red is not None:
                reason = f"{red.cause} (issue {red.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=True))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        self.seen.add(report.nodeid)

    def missing(self) -> list[str]:
        return sorted(set(self.reds) - self.seen) if self.whole else []

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
        reds = read(path.read_text())
    except ValueError as err:
        raise pytest.UsageError(str(err)) from None
    if reds:
        config.pluginmanager.register(KnownRed(reds, selects_all(config)))
