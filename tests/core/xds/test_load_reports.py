"""Load reports: no one proxy's report decides anything alone."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from loadbalancer.core import Balancer, Listing, RequestClass, Settings, State, Update
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.xds.load_reports import (
    MAX_SILENT_INTERVALS,
    Assessment,
    EndpointLoad,
    LoadReportAggregator,
)

REPORT_INTERVAL = 10 * SECOND
USUAL_LATENCY_S = 0.02  # seconds a request takes
SLOW_SERVER = 7  # the server that takes three times as long
SERVERS = 20


class Proxies:
    """Honest proxies that report every ten seconds what Little's law lets them see."""

    def __init__(self, count: int) -> None:
        self.random = Random(11)
        self.aggregator = LoadReportAggregator(REPORT_INTERVAL)
        self.names = [f"p{i}" for i in range(count)]
        self.now = 0
        self.streams = {name: self.aggregator.open_stream(0, name) for name in self.names}

    def loads(
        self, per_server: float, failing: int = 0, slow: int = SLOW_SERVER
    ) -> list[EndpointLoad]:
        out = []
        for b in range(1, SERVERS + 1):
            latency = USUAL_LATENCY_S * (3.0 if b == slow else 1.0)
            expected = per_server / 10 * latency
            in_flight = sum(self.random.random() < expected / 8 for _ in range(8))
            finished = int(per_server)
            errors = finished if b == failing else 0
            out.append(EndpointLoad(b, finished - errors, errors, in_flight))
        return out

    def report_all(
        self, per_server: float = 300, false_report: list[EndpointLoad] | None = None, **more: Any
    ) -> None:
        self.now += REPORT_INTERVAL
        for i, name in enumerate(self.names):
            loads = (
                false_report
                if false_report is not None and i == 0
                else self.loads(per_server, **more)
            )
            assert (
                self.aggregator.add_report(
                    self.now, name, self.streams[name], REPORT_INTERVAL, loads
                )
                == ""
            )

    def assessments(self) -> dict[int, Assessment]:
        return {found.backend: found for found in self.aggregator.assess()}


def test_a_slow_server_stands_out() -> None:
    proxies = Proxies(21)
    for _ in range(4):
        proxies.report_all()
    seen = proxies.assessments()
    assert seen[SLOW_SERVER].latency_ratio > 1.5
    assert all(0.6 < found.latency_ratio < 1.4 for b, found in seen.items() if b != SLOW_SERVER)
    assert not any(found.failing for found in seen.values())


def test_few_requests_say_little() -> None:
    proxies = Proxies(3)
    proxies.report_all(per_server=1)
    assert all(0.7 < found.latency_ratio < 1.4 for found in proxies.assessments().values())


def test_one_server_that_fails_counts_as_failing_and_a_fleet_that_fails_does_not() -> None:
    proxies = Proxies(5)
    proxies.report_all(failing=3)
    assert [b for b, found in proxies.assessments().items() if found.failing] == [3]
    aggregator = LoadReportAggregator(REPORT_INTERVAL)
    for name in ("a", "b", "c"):
        stream = aggregator.open_stream(0, name)
        loads = [EndpointLoad(b, 0, 100, 0) for b in range(1, SERVERS + 1)]
        assert aggregator.add_report(REPORT_INTERVAL, name, stream, REPORT_INTERVAL, loads) == ""
    assert not any(found.failing for found in aggregator.assess())


@pytest.mark.parametrize("count", [2, 3, 21])
def test_one_proxys_nonsense_changes_no_assessment(count: int) -> None:
    """It reports that every server but one fails and is full, at the highest rate allowed."""
    proxies = Proxies(count)
    false_report = [EndpointLoad(b, 0, 9_000_000, 100_000) for b in range(2, SERVERS + 1)]
    for _ in range(4):
        proxies.report_all(false_report=false_report, slow=0)
    seen = proxies.assessments()
    assert not any(found.failing for found in seen.values())
    assert all(0.5 < found.latency_ratio < 1.5 for found in seen.values()), seen


@pytest.mark.parametrize("count", [3, 21])
def test_one_proxys_reports_against_one_server_are_not_enough(count: int) -> None:
    """Nor does it hide the server that the others find slow."""
    proxies = Proxies(count)
    false_report = [EndpointLoad(b, 300, 0, 1) for b in range(1, SERVERS + 1) if b != 5]
    false_report.append(EndpointLoad(5, 0, 9_000_000, 100_000))
    for _ in range(4):
        proxies.report_all(false_report=false_report)
    seen = proxies.assessments()
    assert not seen[5].failing
    assert 0.6 < seen[5].latency_ratio < 1.4
    assert seen[SLOW_SERVER].latency_ratio > 1.25


def test_one_proxy_alone_is_believed_within_bounds() -> None:
    proxies = Proxies(1)
    proxies.report_all(false_report=[EndpointLoad(1, 10, 0, 50_000), EndpointLoad(2, 1000, 0, 0)])
    assert {found.latency_ratio for found in proxies.assessments().values()} <= {0.5, 2.0}


def test_a_report_sent_twice_is_counted_once() -> None:
    proxies = Proxies(2)
    proxies.report_all()
    before = proxies.assessments()
    for name in proxies.names:
        reason = proxies.aggregator.add_report(
            proxies.now,
            name,
            proxies.streams[name],
            REPORT_INTERVAL,
            [EndpointLoad(1, 0, 10_000, 9)],
        )
        assert "more time than has passed" in reason
    assert proxies.assessments() == before
    assert [proxies.aggregator.counts(name) for name in proxies.names] == [(1, 1), (1, 1)]


def test_the_same_reports_are_assessed_once() -> None:
    proxies = Proxies(2)
    assert not proxies.aggregator.take_new()
    proxies.report_all()
    assert proxies.aggregator.take_new()
    assert not proxies.aggregator.take_new()


def test_a_second_stream_of_the_same_id_replaces_the_first() -> None:
    aggregator = LoadReportAggregator(REPORT_INTERVAL)
    old = aggregator.open_stream(0, "p")
    new = aggregator.open_stream(SECOND, "p")
    loads = [EndpointLoad(1, 100, 0, 1)]
    assert "another stream" in aggregator.add_report(11 * SECOND, "p", old, REPORT_INTERVAL, loads)
    assert aggregator.add_report(11 * SECOND, "p", new, REPORT_INTERVAL, loads) == ""
    assert aggregator.add_report(21 * SECOND, "nobody", new, REPORT_INTERVAL, loads) != ""


def test_what_a_proxy_has_reported_counts_on_after_it_reconnects() -> None:
    """A stream breaks. Without the reports before, the server would count as one of no requests."""
    aggregator = LoadReportAggregator(REPORT_INTERVAL)
    stream = aggregator.open_stream(0, "p")
    loads = [EndpointLoad(1, 100, 0, 1)]
    assert aggregator.add_report(REPORT_INTERVAL, "p", stream, REPORT_INTERVAL, loads) == ""
    before = aggregator.assess()
    aggregator.open_stream(REPORT_INTERVAL + 1, "p")
    assert before
    assert aggregator.assess() == before
    assert aggregator.counts("p").counted == 1


def test_a_late_report_is_not_counted_and_the_next_one_is() -> None:
    aggregator = LoadReportAggregator(REPORT_INTERVAL)
    stream = aggregator.open_stream(0, "p")
    loads = [EndpointLoad(1, 100, 0, 1)]
    assert "late" in aggregator.add_report(5 * REPORT_INTERVAL, "p", stream, REPORT_INTERVAL, loads)
    assert aggregator.assess() == []
    assert aggregator.add_report(6 * REPORT_INTERVAL, "p", stream, REPORT_INTERVAL, loads) == ""


@pytest.mark.parametrize(
    ("interval", "load", "reason"),
    [
        (0, EndpointLoad(1, 1, 0, 0), "no time"),
        (-5, EndpointLoad(1, 1, 0, 0), "no time"),
        (REPORT_INTERVAL, EndpointLoad(1, 1 << 60, 0, 0), "a second"),
        (REPORT_INTERVAL, EndpointLoad(1, 0, 1 << 63, 0), "a second"),
        (REPORT_INTERVAL, EndpointLoad(1, 1, 0, 1 << 40), "in flight"),
        (REPORT_INTERVAL, EndpointLoad(1, -1, 0, 0), "below 0"),
        (1000 * REPORT_INTERVAL, EndpointLoad(1, 1, 0, 0), "more time than has passed"),
    ],
)
def test_an_absurd_report_changes_nothing(interval: int, load: EndpointLoad, reason: str) -> None:
    aggregator = LoadReportAggregator(REPORT_INTERVAL)
    stream = aggregator.open_stream(0, "p")
    assert reason in aggregator.add_report(
        REPORT_INTERVAL, "p", stream, interval, [EndpointLoad(2, 10, 0, 1), load]
    )
    assert aggregator.assess() == []
    assert (
        aggregator.add_report(
            REPORT_INTERVAL, "p", stream, REPORT_INTERVAL, [EndpointLoad(2, 10, 0, 1)]
        )
        == ""
    )


def test_silent_proxies_and_removed_servers_are_dropped() -> None:
    proxies = Proxies(3)
    proxies.report_all()
    proxies.aggregator.prune(proxies.now, range(1, 6))
    assert proxies.assessments().keys() == {1, 2, 3, 4, 5}
    proxies.aggregator.prune(
        proxies.now + (MAX_SILENT_INTERVALS + 1) * REPORT_INTERVAL, range(1, 6)
    )
    assert proxies.assessments() == {}


# ---- what the Balancer makes of it --------------------------------------


class Host:
    def __init__(self) -> None:
        self.lines: list[str] = []

    def __getattr__(self, name: str) -> Any:
        return lambda *_: None

    def log(self, text: str) -> None:
        self.lines.append(text)


def balancer(count: int = 4) -> Balancer:
    settings = Settings(classes=(RequestClass("balance", 800_000_000, 2 * SECOND),))
    out = Balancer(settings, 1, Host())
    out.start(0)
    out.on_members(0, Update.FULL, [Listing(i, State.READY) for i in range(1, count + 1)])
    return out


def test_a_reported_latency_lowers_the_servers_own_cap() -> None:
    b = balancer()
    before = {v.backend: v.cap for v in b.endpoint_views(0)}
    for i in range(20):
        b.on_load_report(i * SECOND, 2, 3.0, False)
    b.on_timer(20 * SECOND, 2)  # the half-second cycle
    after = {v.backend: v.cap for v in b.endpoint_views(20 * SECOND)}
    assert after[2] < before[2]
    assert after[1] == before[1]


def test_reports_never_take_out_more_than_half() -> None:
    b = balancer()
    for i in range(1, 5):
        b.on_load_report(SECOND, i, 1.0, True)
    assert sum(v.ejected for v in b.endpoint_views(SECOND)) == 2


def test_a_report_of_an_unknown_server_is_nothing() -> None:
    b = balancer()
    before = b.endpoint_views(0)
    b.on_load_report(0, 99, 10.0, True)
    assert b.endpoint_views(0) == before
