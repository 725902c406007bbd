"""Updates the merged list of one file's sources, by what they report and by time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from functools import partial

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.attempt_evidence import AttemptEvidence, no_evidence
from loadbalancer.core.endpoints.departure_limits import MergeLimits
from loadbalancer.core.endpoints.list_snapshot import ListSnapshot
from loadbalancer.core.endpoints.merged_list import MergedList
from loadbalancer.core.endpoints.server_report import ServerReport, Source
from loadbalancer.sources.consul.file import ConsulFile, source_name
from loadbalancer.sources.consul.reader import open_reader
from loadbalancer.sources.discovery import SourceLogger

PLATFORM = "platform"
DATACENTRE_RANK = 1
PLATFORM_RANK = 0  # below Consul, whose checks say more; but its drains are orders


def sources_of(file: ConsulFile) -> list[Source]:
    """Each datacentre, and the platform's list where it is merged."""
    max_age_ns = file.max_age_s * SECOND
    sources = [
        Source(source_name(datacentre), DATACENTRE_RANK, max_age_ns)
        for datacentre in file.zones_by_datacentre
    ]
    if file.merges_platform_list:
        sources.append(Source(PLATFORM, PLATFORM_RANK, is_authoritative=True))
    return sources


class ListUpdater:
    """The merged list, its reader, and the timer of its next change by time.

    Args:
        file: says what is read, and from which agents.
        on_change: called when the list has changed or was confirmed by a complete round, and not
            before the list is complete.
        seed: is to differ between readers.
        drain_ns: from the drain of a deregistered server until it is listed as removed.
        evidence_of: what this node's own attempts show of a server, by its id.
        list_logger: where log lines go, for a caller that marks its own.
    """

    __slots__ = ("_new_list", "_on_change", "_reader", "_timer", "merged_list")

    def __init__(
        self,
        file: ConsulFile,
        on_change: Callable[[], None],
        seed: int,
        drain_ns: int = 2 * SECOND,
        evidence_of: Callable[[str], AttemptEvidence] = no_evidence,
        list_logger: SourceLogger | None = None,
    ) -> None:
        self._new_list = partial(
            MergedList, sources_of(file), MergeLimits(drain_ns=drain_ns), evidence_of
        )
        self.merged_list = self._new_list()
        self._reader = open_reader(file, self.update, seed, list_logger)
        self._on_change = on_change
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to read."""
        self._reader.start()

    def close(self) -> None:
        """Drop all requests and timers."""
        self._reader.close()
        if self._timer is not None:
            self._timer.cancel()

    def restore(self, snapshot: ListSnapshot) -> None:
        """Replace the list by that of a predecessor; called before `start`."""
        self.merged_list = self._new_list()
        now = time.monotonic_ns()
        self.merged_list.restore(now, snapshot)
        self._after_update(now, has_update=False)

    def update(self, source: str, reports: list[ServerReport], complete: bool) -> bool:
        """Merge a source's answer; whether `on_change` was called for it."""
        now = time.monotonic_ns()
        changed = self.merged_list.update(now, source, reports, complete)
        return self._after_update(now, changed or complete)

    def _after_update(self, now: int, has_update: bool) -> bool:
        """Set the timer, and call `on_change` where there is an update; whether it was called."""
        next_reassessment_at = self.merged_list.next_reassessment_at(now)
        if next_reassessment_at and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later((next_reassessment_at - now) / SECOND, self._reassess)
        if has_update and self.merged_list.is_complete():
            self._on_change()
            return True
        return False

    def _reassess(self) -> None:
        self._timer = None
        now = time.monotonic_ns()
        self._after_update(now, self.merged_list.reassess(now))
