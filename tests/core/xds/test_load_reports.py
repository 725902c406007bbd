"""Load reports: sums that are believed only as far as no one proxy can do harm."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from loadbalancer.core import Balancer, Listing, RequestClass, Settings, State, Update
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.xds.load_reports import KEPT, Ledger, Row, Verdict

EVERY = 10 * SECOND
USUAL = 0.02  # seconds a request takes
SLOW = 7  # the server that takes three times as long
SERVERS = 20


class Proxies:
    """Honest proxies that report every ten seconds what Little's law lets them see."""

    def __init__(self, count: int) -> None:
        self.random = Random(11)
        self.ledger = Ledger(EVERY)
        self.names = [f"p{i}" for i in range(count)]
        self.now = 0
        self.streams = {name: self.ledger.opened(0, name) for name in self.names}

    def rows(self, per_server: float, failing: int = 0, slow: int = SLOW) -> list[Row]:
        out = []
        for b in range(1, SERVERS + 1):
            latency = USUAL * (3.0 if b == slow else 1.0)
            expected = per_server / 10 * latency
            in_flight = sum(self.random.random() < expected / 8 for _ in range(8))
            done = int(per_server)
            errors = done if b == failing else 0
            out.append(Row(b, done - errors, errors, in_flight))
        return out

    def round(self, per_server: float = 300, lie: list[Row] | None = None, **more: Any) -> None:
        self.now += EVERY
        for i, name in enumerate(self.names):
            rows = lie if lie is not None and i == 0 else self.rows(per_server, **more)
            assert self.ledger.take(self.now, name, self.streams[name], EVERY, rows) == ""

    def verdicts(self) -> dict[int, Verdict]:
        return {v.backend: v for v in self.ledger.verdicts()}


def test_a_slow_server_is_told_from_the_others() -> None:
    proxies = Proxies(21)
    for _ in range(4):
        proxies.round()
    seen = proxies.verdicts()
    assert seen[SLOW].ratio > 1.5
    assert all(0.6 < v.ratio < 1.4 for b, v in seen.items() if b != SLOW)
    assert not any(v.failing for v in seen.values())


def test_few_requests_say_little() -> None:
    proxies = Proxies(3)
    proxies.round(per_server=1)
    assert all(0.7 < v.ratio < 1.4 for v in proxies.verdicts().values())


def test_one_server_that_fails_is_told_and_a_fleet_that_fails_is_not() -> None:
    proxies = Proxies(5)
    proxies.round(failing=3)
    assert [b for b, v in proxies.verdicts().items() if v.failing] == [3]
    ledger = Ledger(EVERY)
    for name in ("a", "b", "c"):
        stream = ledger.opened(0, name)
        rows = [Row(b, 0, 100, 0) for b in range(1, SERVERS + 1)]
        assert ledger.take(EVERY, name, stream, EVERY, rows) == ""
    assert not any(v.failing for v in ledger.verdicts())


@pytest.mark.parametrize("count", [2, 3, 21])
def test_one_proxys_nonsense_moves_no_server(count: int) -> None:
    """It says that every server but one fails and is jammed, at the highest rate allowed."""
    proxies = Proxies(count)
    lie = [Row(b, 0, 9_000_000, 100_000) for b in range(2, SERVERS + 1)]
    for _ in range(4):
        proxies.round(lie=lie, slow=0)
    seen = proxies.verdicts()
    assert not any(v.failing for v in seen.values())
    assert all(0.5 < v.ratio < 1.5 for v in seen.values()), seen


@pytest.mark.parametrize("count", [3, 21])
def test_one_proxys_word_against_one_server_is_not_enough(count: int) -> None:
    """Nor does it hide the server that the others find slow."""
    proxies = Proxies(count)
    lie = [Row(b, 300, 0, 1) for b in range(1, SERVERS + 1) if b != 5]
    lie.append(Row(5, 0, 9_000_000, 100_000))
    for _ in range(4):
        proxies.round(lie=lie)
    seen = proxies.verdicts()
    assert not seen[5].failing and 0.6 < seen[5].ratio < 1.4
    assert seen[SLOW].ratio > 1.25


def test_one_proxy_alone_is_believed_within_bounds() -> None:
    proxies = Proxies(1)
    proxies.round(lie=[Row(1, 10, 0, 50_000), Row(2, 1000, 0, 0)])
    assert {v.ratio for v in proxies.verdicts().values()} <= {0.5, 2.0}


def test_a_report_told_twice_is_counted_once() -> None:
    proxies = Proxies(2)
    proxies.round()
    before = proxies.verdicts()
    for name in proxies.names:
        why = proxies.ledger.take(
            proxies.now, name, proxies.streams[name], EVERY, [Row(1, 0, 10_000, 9)]
        )
        assert "more time than has passed" in why
    assert proxies.verdicts() == before
    assert [proxies.ledger.counts(name) for name in proxies.names] == [(1, 1), (1, 1)]


def test_the_same_reports_are_learned_from_once() -> None:
    proxies = Proxies(2)
    assert not proxies.ledger.news()
    proxies.round()
    assert proxies.ledger.news() and not proxies.ledger.news()


def test_a_second_stream_of_the_same_id_replaces_the_first() -> None:
    ledger = Ledger(EVERY)
    old = ledger.opened(0, "p")
    new = ledger.opened(SECOND, "p")
    rows = [Row(1, 100, 0, 1)]
    assert "another stream" in ledger.take(11 * SECOND, "p", old, EVERY, rows)
    assert ledger.take(11 * SECOND, "p", new, EVERY, rows) == ""
    assert ledger.take(21 * SECOND, "nobody", new, EVERY, rows) != ""


def test_a_late_report_is_not_counted_and_the_next_one_is() -> None:
    ledger = Ledger(EVERY)
    stream = ledger.opened(0, "p")
    rows = [Row(1, 100, 0, 1)]
    assert "late" in ledger.take(5 * EVERY, "p", stream, EVERY, rows)
    assert ledger.verdicts() == []
    assert ledger.take(6 * EVERY, "p", stream, EVERY, rows) == ""


@pytest.mark.parametrize(
    ("interval", "row", "why"),
    [
        (0, Row(1, 1, 0, 0), "no time"),
        (-5, Row(1, 1, 0, 0), "no time"),
        (EVERY, Row(1, 1 << 60, 0, 0), "a second"),
        (EVERY, Row(1, 0, 1 << 63, 0), "a second"),
        (EVERY, Row(1, 1, 0, 1 << 40), "in flight"),
        (EVERY, Row(1, -1, 0, 0), "below 0"),
        (1000 * EVERY, Row(1, 1, 0, 0), "more time than has passed"),
    ],
)
def test_an_absurd_report_changes_nothing(interval: int, row: Row, why: str) -> None:
    ledger = Ledger(EVERY)
    stream = ledger.opened(0, "p")
    assert why in ledger.take(EVERY, "p", stream, interval, [Row(2, 10, 0, 1), row])
    assert ledger.verdicts() == []
    assert ledger.take(EVERY, "p", stream, EVERY, [Row(2, 10, 0, 1)]) == ""


def test_silent_proxies_and_servers_that_left_are_forgotten() -> None:
    proxies = Proxies(3)
    proxies.round()
    proxies.ledger.forget(proxies.now, range(1, 6))
    assert proxies.verdicts().keys() == {1, 2, 3, 4, 5}
    proxies.ledger.forget(proxies.now + (KEPT + 1) * EVERY, range(1, 6))
    assert proxies.verdicts() == {}


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
    before = {v.backend: v.cap for v in b.view(0)}
    for i in range(20):
        b.on_load_report(i * SECOND, 2, 3.0, False)
    b.on_timer(20 * SECOND, 2)  # the half-second cycle
    after = {v.backend: v.cap for v in b.view(20 * SECOND)}
    assert after[2] < before[2] and after[1] == before[1]


def test_reports_never_take_out_more_than_half() -> None:
    b = balancer()
    for i in range(1, 5):
        b.on_load_report(SECOND, i, 1.0, True)
    assert sum(v.ejected for v in b.view(SECOND)) == 2


def test_a_report_of_an_unknown_server_is_nothing() -> None:
    b = balancer()
    before = b.view(0)
    b.on_load_report(0, 99, 10.0, True)
    assert b.view(0) == before
