"""Whether every proxy learned of a drain in time; pure, no clock, no I/O.

Content decides, not the order of sending. A proxy has learned of a drain once the cluster load
assignment that it acknowledged is one in which the draining server takes no new work.
Assignments are known by their versions, which follow from content. So a proxy that reconnects,
or returns to an assignment that it had before, is judged by what it has.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MARGIN_FRACTION = 0.2  # of the grace, reserved for the proxy to act on the assignment
MAX_VERSIONS = 512  # assignments remembered of one service, over all groups

GroupKey = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AssignmentInUse:
    """A cluster load assignment that a proxy may be using; version "" for an unknown one."""

    proxy: str
    group: GroupKey
    version: str


@dataclass(frozen=True, slots=True)
class DrainReport:
    """A drain whose time has elapsed: how many proxies learned of it, and which did not."""

    backend: int
    notified: int
    not_notified: tuple[str, ...]


class DrainTracker:
    """The drains under way of one service. Times in nanoseconds."""

    __slots__ = ("_accepting", "_draining", "_due")

    def __init__(self) -> None:
        # Servers that take new work in each assignment.
        self._accepting: dict[tuple[GroupKey, str], frozenset[int]] = {}
        self._draining: frozenset[int] = frozenset()
        self._due: dict[int, int] = {}  # when each drain is reported, by server

    def update_draining(self, now: int, draining: Iterable[int], grace: int) -> list[int]:
        """Follow the list of servers that drain; returns those that begin to, in order."""
        current = frozenset(draining)
        begun = sorted(current - self._draining)
        for backend in begun:
            self._due[backend] = now + int(grace * (1.0 - MARGIN_FRACTION))
        for backend in self._draining - current:
            # It takes work again, or is no longer listed: the assignment shows that.
            self._due.pop(backend, None)
        self._draining = current
        return begun

    def record_assignment(self, group: GroupKey, version: str, accepting: frozenset[int]) -> None:
        """Record an assignment sent to a group, and the servers that take new work in it."""
        self._accepting.pop((group, version), None)
        self._accepting[group, version] = accepting
        if len(self._accepting) > MAX_VERSIONS:
            del self._accepting[next(iter(self._accepting))]

    def not_notified(self, backend: int, in_use: Iterable[AssignmentInUse]) -> list[str]:
        """The proxies that may still send new work to a server."""
        return sorted({use.proxy for use in in_use if self._may_send(backend, use)})

    def due_reports(self, now: int, in_use: Iterable[AssignmentInUse]) -> list[DrainReport]:
        """Reports of the drains whose time has elapsed; each is returned once."""
        assignments = list(in_use)
        proxies = len({use.proxy for use in assignments})
        out = []
        for backend in sorted(backend for backend, due in self._due.items() if due <= now):
            del self._due[backend]
            missed = self.not_notified(backend, assignments)
            out.append(DrainReport(backend, proxies - len(missed), tuple(missed)))
        return out

    def _may_send(self, backend: int, use: AssignmentInUse) -> bool:
        accepting = self._accepting.get((use.group, use.version))
        return accepting is None or backend in accepting
