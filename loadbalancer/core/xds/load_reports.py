"""What other proxies' load reports (LRS) say of a server; pure, no clock, no I/O.

A report is a sum over some seconds, not single outcomes: it has no latency and no order of
errors. What follows from it is passed to the Balancer's `on_load_report`:

- how slow a server is against the others, by Little's law (L = lambda W): requests in flight at
  the time of a report over those finished in it. Few are in flight at any one time, so all
  proxies' figures are added up, and the ratio is drawn towards 1 while they are few;
- whether it fails at least half of its requests while the others do not.

One proxy alone decides nothing where there are others: of all sums that leave one proxy out,
the mildest counts. A proxy that reports nonsense, or whose own network is broken, has no
effect. The cost: where only one proxy can reach a server that fails, the silence of the others
keeps the server in. That proxy's own outlier detection still ejects it.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import reduce
from statistics import median_low
from typing import NamedTuple

from loadbalancer.core.balancing.model import SECOND

DECAY_PER_REPORT = 0.5  # of earlier reports, with each new one of the same proxy
MAX_SILENT_INTERVALS = 5  # after which a silent proxy's figures are dropped
MAX_UNACCOUNTED_INTERVALS = 2  # beyond, the age of the next report is unknown
CLOCK_TOLERANCE = 0.1  # fraction by which a proxy's clock may run fast
PRIOR_IN_FLIGHT = 5.0  # requests in flight that are added as if seen at usual speed
SINGLE_PROXY_RATIO_BOUNDS = (0.5, 2.0)  # of a ratio that rests on one proxy
MIN_FINISHED = 20.0  # finished requests below which no server counts as failing
FAILING_FRACTION = 0.5  # of a server's answers
FLEET_FAILING_FRACTION = 0.25  # of all answers; above it the fault is not one server's
NEGLIGIBLE_REQUESTS = 0.01  # decayed sums below it are dropped
MIN_RATIO = 1e-9  # avoids a division by a ratio of 0
MAX_REQUESTS_PER_S = 1_000_000  # of one server at one proxy
MAX_IN_FLIGHT = 100_000
MAX_ENDPOINTS = 10_000  # in one report
MAX_PROXIES = 4_000


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """One server in one report: requests by outcome, and in flight at its end."""

    backend: int
    successes: int
    errors: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class Assessment:
    """What all reports together say of a server.

    Attributes:
        backend: the server.
        latency_ratio: its latency over the mean of all servers, 1.0 for usual.
        failing: it fails its requests while the others do not.
    """

    backend: int
    latency_ratio: float
    failing: bool


class ReportCounts(NamedTuple):
    """How many reports of a proxy were counted, and how many were rejected."""

    counted: int
    rejected: int


class LoadSums(NamedTuple):
    """Decayed sums of one server's or one proxy's requests."""

    finished: float
    errors: float
    in_flight: float

    def plus(self, other: LoadSums) -> LoadSums:
        """Both sums together."""
        return LoadSums(
            self.finished + other.finished,
            self.errors + other.errors,
            self.in_flight + other.in_flight,
        )

    def minus(self, part: LoadSums) -> LoadSums:
        """The sums without one part of them."""
        return LoadSums(
            self.finished - part.finished,
            self.errors - part.errors,
            self.in_flight - part.in_flight,
        )

    def decayed(self) -> LoadSums:
        """The sums as they count beside a newer report."""
        return LoadSums(
            self.finished * DECAY_PER_REPORT,
            self.errors * DECAY_PER_REPORT,
            self.in_flight * DECAY_PER_REPORT,
        )


NO_LOAD = LoadSums(0.0, 0.0, 0.0)


class _Reporter:
    """One proxy's reports. `covered` is the time that its reports cover since `opened`."""

    __slots__ = ("counted", "covered", "loads", "opened", "received", "rejected", "stream")

    def __init__(self, now: int, stream: int) -> None:
        self.stream = stream
        self.opened = now
        self.covered = 0
        self.received = now
        self.loads: dict[int, LoadSums] = {}
        self.counted = 0
        self.rejected = 0

    def add(self, now: int, interval: int, loads: Sequence[EndpointLoad]) -> None:
        """Count a report that was checked."""
        self.counted += 1
        self.covered += interval
        self.received = now
        sums = {backend: found.decayed() for backend, found in self.loads.items()}
        for load in loads:
            found = sums.get(load.backend, NO_LOAD)
            sums[load.backend] = LoadSums(
                found.finished + load.successes + load.errors,
                found.errors + load.errors,
                found.in_flight + load.in_flight,
            )
        self.loads = {
            backend: found
            for backend, found in sums.items()
            if found.finished + found.in_flight > NEGLIGIBLE_REQUESTS
        }

    def restart_clock(self, now: int) -> None:
        """Measure what the reports cover from now on: the next one is of known age."""
        self.received = now
        self.covered = 0
        self.opened = now


class LoadReportAggregator:
    """Reports of all proxies of one pool. Times in nanoseconds.

    `report_interval` is how often a proxy is to report.
    """

    __slots__ = ("_has_new", "_reporters", "_streams", "report_interval")

    def __init__(self, report_interval: int) -> None:
        self.report_interval = report_interval
        self._reporters: dict[str, _Reporter] = {}
        self._streams = 0
        self._has_new = False

    def open_stream(self, now: int, proxy: str) -> int:
        """Begin a stream of a proxy; returns its number, 0 where there are too many proxies.

        Only the newest stream of a proxy counts. A second one of the same id, of a
        misconfigured proxy or of an old connection that has not ended yet, would count the same
        requests twice.
        """
        self._streams += 1
        known = self._reporters.get(proxy)
        reporter = _Reporter(now, self._streams)
        if known is not None:
            reporter.loads = known.loads
            reporter.counted = known.counted
            reporter.rejected = known.rejected
        elif len(self._reporters) >= MAX_PROXIES:
            return 0
        self._reporters[proxy] = reporter
        return self._streams

    def add_report(
        self, now: int, proxy: str, stream: int, interval: int, loads: Sequence[EndpointLoad]
    ) -> str:
        """Count a report over `interval`, or return why it is rejected; "" where it counts."""
        reporter = self._reporters.get(proxy)
        if reporter is None:
            return "another stream of this id reports"
        if reporter.stream == stream:
            reason = self._fault(now, reporter, interval, loads)
        else:
            reason = "another stream of this id reports"
        if reason:
            reporter.rejected += 1
            return reason
        self._has_new = True
        reporter.add(now, interval, loads)
        return ""

    def _fault(
        self, now: int, reporter: _Reporter, interval: int, loads: Sequence[EndpointLoad]
    ) -> str:
        """Why a report can't be right, "" where it may be."""
        if interval <= 0:
            return "covers no time"
        elapsed = now - reporter.opened
        tolerance = self.report_interval * CLOCK_TOLERANCE
        if reporter.covered + interval > elapsed * (1.0 + CLOCK_TOLERANCE) + tolerance:
            return "covers more time than has passed: reported twice, or by a wrong clock"
        unaccounted = now - reporter.received - interval
        if unaccounted > MAX_UNACCOUNTED_INTERVALS * self.report_interval:
            reporter.restart_clock(now)
            return "late: of unknown age"
        if len(loads) > MAX_ENDPOINTS:
            return f"has over {MAX_ENDPOINTS} servers"
        return _count_fault(interval, loads)

    def take_new(self) -> bool:
        """Whether a report was counted since the last call.

        Assessed again from the same reports, a server that failed once would be ejected again
        and again for as long as its figures are retained.
        """
        has_new, self._has_new = self._has_new, False
        return has_new

    def counts(self, proxy: str) -> ReportCounts:
        """How many of a proxy's reports were counted and rejected."""
        reporter = self._reporters.get(proxy)
        if reporter is None:
            return ReportCounts(0, 0)
        return ReportCounts(reporter.counted, reporter.rejected)

    def prune(self, now: int, backends: Iterable[int]) -> None:
        """Drop silent proxies, and servers that are not among these."""
        listed = frozenset(backends)
        oldest = now - MAX_SILENT_INTERVALS * self.report_interval
        self._reporters = {
            proxy: reporter
            for proxy, reporter in self._reporters.items()
            if reporter.received >= oldest
        }
        for reporter in self._reporters.values():
            if not reporter.loads.keys() <= listed:
                reporter.loads = {
                    backend: found for backend, found in reporter.loads.items() if backend in listed
                }

    def assess(self) -> list[Assessment]:
        """Assess each server that any report names."""
        reports = [reporter.loads for reporter in self._reporters.values() if reporter.loads]
        by_proxy = [reduce(LoadSums.plus, loads.values()) for loads in reports]
        with_answers = [sums for sums in by_proxy if sums.finished > 0]
        if not with_answers:
            return []
        # The reference is the lower median of the proxies. With a mean, one proxy that reports
        # too much would set the reference for all servers.
        usual = median_low(sums.in_flight / sums.finished for sums in with_answers)
        error_rate = median_low(sums.errors / sums.finished for sums in with_answers)
        by_backend: dict[int, list[LoadSums]] = {}
        for loads in reports:
            for backend, sums in loads.items():
                by_backend.setdefault(backend, []).append(sums)
        fleet_fails = error_rate > FLEET_FAILING_FRACTION
        return [
            _assess(backend, by_backend[backend], len(reports), usual, fleet_fails)
            for backend in sorted(by_backend)
        ]


def _count_fault(interval: int, loads: Sequence[EndpointLoad]) -> str:
    """Why a report's counts can't be right, "" where they may be."""
    max_finished = MAX_REQUESTS_PER_S * interval / SECOND
    for load in loads:
        if min(load.successes, load.errors, load.in_flight) < 0:
            return "a count below 0"
        if load.successes + load.errors > max_finished or load.in_flight > MAX_IN_FLIGHT:
            return (
                f"more than {MAX_REQUESTS_PER_S} a second "
                f"or {MAX_IN_FLIGHT} in flight at one server"
            )
    return ""


def _assess(
    backend: int, parts: Sequence[LoadSums], proxies: int, usual: float, fleet_fails: bool
) -> Assessment:
    """The mildest assessment of those that leave one proxy out."""
    total = reduce(LoadSums.plus, parts, NO_LOAD)
    if proxies == 1:
        low, high = SINGLE_PROXY_RATIO_BOUNDS
        ratio = min(max(_latency_ratio(total, usual), low), high)
        return Assessment(backend, ratio, _fails(total) and not fleet_fails)
    without_one = [total.minus(part) for part in parts]
    # The mildest is the one nearest to 1, whether above or below it.
    ratio = min(
        (_latency_ratio(sums, usual) for sums in without_one),
        key=lambda ratio: max(ratio, 1.0 / max(ratio, MIN_RATIO)),
    )
    return Assessment(backend, ratio, all(map(_fails, without_one)) and not fleet_fails)


def _latency_ratio(sums: LoadSums, usual: float) -> float:
    in_flight = max(sums.in_flight, 0.0) + PRIOR_IN_FLIGHT
    return in_flight / (max(sums.finished, 0.0) * usual + PRIOR_IN_FLIGHT)


def _fails(sums: LoadSums) -> bool:
    return sums.finished >= MIN_FINISHED and sums.errors >= FAILING_FRACTION * sums.finished
