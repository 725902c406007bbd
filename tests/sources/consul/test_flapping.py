"""An hour of flapping checks: the lines that a reader requests, and the list that it makes."""

from __future__ import annotations

from itertools import pairwise

from loadbalancer.core import State
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.line_limiter import LineLimiter
from loadbalancer.core.endpoints.merged_list import MergedList
from loadbalancer.core.endpoints.server_report import Health, ServerReport, Source
from loadbalancer.core.endpoints.shard_scheduler import ShardQuery, ShardScheduler
from tests.core.endpoints.fake_list_service import (
    FakeListService,
    each_second,
    numbered_ids,
    run_queries,
)

SERVERS = 270
FLAPPING = 30
LINES = 190
HOUR = 3600 * SECOND


class FlappingReader:
    """A reader's queries and its merged list, in virtual time.

    Attributes:
        completed_at: when each complete round was merged.
        changes: (time, changes of the merged list) of each answer.
    """

    def __init__(self) -> None:
        self.service = FakeListService(numbered_ids(SERVERS))
        self.scheduler = ShardScheduler(LineLimiter(LINES))
        self.merged = MergedList([Source("consul", 1)])
        self.completed_at = [0]
        self.changes: list[tuple[int, int]] = []
        self._round_reports: dict[str, ServerReport] = {}

    def flap(self, _second: int) -> None:
        """The checks of some servers change, which ends the watch."""
        self.service.unhealthy ^= set(numbered_ids(FLAPPING))
        self.scheduler.on_change()

    def on_answer(self, now: int, _query: ShardQuery, found: list[str]) -> None:
        before = self.merged.changes
        reports = [self._report(uid) for uid in found]
        self._round_reports.update((report.uid, report) for report in reports)
        self.merged.update(now, "consul", reports, complete=False)
        if self.scheduler.completed_rounds >= len(self.completed_at):
            self.completed_at.append(now)
            self.merged.update(now, "consul", self._round_reports.values(), complete=True)
            self._round_reports.clear()
        self.changes.append((now, self.merged.changes - before))

    def _report(self, uid: str) -> ServerReport:
        port = 10_000 + int(uid.rpartition("-")[2])
        health = Health.CRITICAL if uid in self.service.unhealthy else Health.PASSING
        return ServerReport(uid, "127.0.0.1", port, "", health)


def test_an_hour_of_flapping_stays_bounded() -> None:
    """The checks of thirty servers out of 270 change every second."""
    reader = FlappingReader()
    run_queries(
        reader.service, reader.scheduler, lambda now: now > HOUR,
        before_query=each_second(reader.flap), on_answer=reader.on_answer,
    )  # fmt: skip
    assert reader.service.max_lines() <= LINES
    assert max(later - at for at, later in pairwise(reader.completed_at)) <= 30 * SECOND
    # Each server changes until it is held in its state, and then not while it goes on flapping.
    settled = sum(changes for at, changes in reader.changes if at > 600 * SECOND)
    assert settled <= FLAPPING * 50, settled
    ready = [server for server in reader.merged.servers() if server.state == State.READY]
    assert len(ready) >= SERVERS - FLAPPING
