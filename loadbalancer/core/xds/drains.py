"""Whether every proxy was told of a drain in time; pure, no clock, no I/O.

Content decides, not order of sending: a proxy is told once the set of endpoints that
it acknowledged is one in which the draining server takes nothing new. Sets are known
by their versions, which follow from content, so that also a proxy that reconnects,
or comes back with what it had, is judged by what it holds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MARGIN_PART = 0.2  # of the grace, kept for the proxy to act on it
MAX_VERSIONS = 512  # sets remembered of one service and group

Group = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Holding:
    """One set of a service's endpoints that a proxy may hold, "" for one that is not known."""

    proxy: str
    group: Group
    version: str


@dataclass(frozen=True, slots=True)
class Report:
    """A drain after its time: who was told, and who was not, by name."""

    backend: int
    told: int
    late: tuple[str, ...]


class Drains:
    """The drains under way of one service."""

    __slots__ = ("_due", "_open", "_usable")

    def __init__(self) -> None:
        self._usable: dict[tuple[Group, str], frozenset[int]] = {}
        self._open: frozenset[int] = frozenset()
        self._due: dict[int, int] = {}

    def listed(self, now: int, draining: Iterable[int], grace: int) -> list[int]:
        """The servers that drain now; returns those that began to, due after `grace` ns."""
        current = frozenset(draining)
        begun = sorted(current - self._open)
        for backend in begun:
            self._due[backend] = now + int(grace * (1.0 - MARGIN_PART))
        for backend in self._open - current:
            # It is back, or gone for good: then the list takes it out as ever.
            self._due.pop(backend, None)
        self._open = current
        return begun

    def published(self, group: Group, version: str, usable: frozenset[int]) -> None:
        """A set of endpoints that proxies of this group may hold, and who takes work in it."""
        self._usable.pop((group, version), None)
        self._usable[group, version] = usable
        if len(self._usable) > MAX_VERSIONS:
            del self._usable[next(iter(self._usable))]

    def late(self, backend: int, holdings: Iterable[Holding]) -> list[str]:
        """The proxies that may still send new work to it."""
        return sorted({h.proxy for h in holdings if self._may_send(backend, h)})

    def over(self, now: int, holdings: Iterable[Holding]) -> list[Report]:
        """Reports of the drains whose time is over."""
        rows = list(holdings)
        out = []
        for backend in sorted(b for b, due in self._due.items() if due <= now):
            del self._due[backend]
            late = self.late(backend, rows)
            out.append(Report(backend, len({h.proxy for h in rows}) - len(late), tuple(late)))
        return out

    def _may_send(self, backend: int, h: Holding) -> bool:
        usable = self._usable.get((h.group, h.version))
        return usable is None or backend in usable
