"""The list in hand under random orders of answers, breaks, moves and restarts of the service.

Discovery's calls are held by the test, which answers them as a service would that is sometimes
late, lags, breaks or counts anew; what is in hand must always be a list that the service in
charge has had, and never go back.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, ClassVar

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.config.address import Address
from loadbalancer.config.node import Config, load
from loadbalancer.core import Listing, Update
from loadbalancer.sources import discovery
from loadbalancer.sources.discovery import Discovery
from loadbalancer.sources.endpoint_list import backend_id
from loadbalancer.sources.http_get import Response
from tests.harness import config, roster, target

STATES = ("active", "leaving", "left")


class Service:
    """Versions of one list; each rev's whole list is kept, as what may rightly be in hand."""

    def __init__(self, first: int) -> None:
        self.rev = first
        self.rows: dict[str, str] = {"s-0": "active"}
        self.changed: list[tuple[int, str, str]] = []
        self.had = {first: dict(self.rows)}

    def change(self, value: int) -> None:
        uid, state = f"s-{value % 5}", STATES[value // 5 % 3]
        self.rev += 1
        self.rows.pop(uid, None)
        if state != "left":
            self.rows[uid] = state
        self.changed.append((self.rev, uid, state))
        self.had[self.rev] = dict(self.rows)

    def answer(self, asked: str, lag: int) -> dict[str, Any]:
        """To this question, as of so many versions ago."""
        rev = max(self.rev - lag, min(self.had))
        since = int(asked.partition("from=")[2].partition("&")[0] or -1)
        if since in self.had and since <= rev:
            seen = [(u, s) for r, u, s in self.changed if since < r <= rev]
            rows = [target(u, 9, s) for u, s in seen]
            return roster(*rows, rev=rev, whole=False)
        return roster(*(target(u, 9, s) for u, s in self.had[rev].items()), rev=rev)


class FakeCall:
    """Holds what was asked; drop() ends it for good."""

    out: ClassVar[list[FakeCall]] = []

    def __init__(
        self, address: Address, asked: str, _wait: float, done: Callable[[Response | None], None],
        connect_timeout_s: float = 0.0,
    ) -> None:  # fmt: skip
        self.address, self.asked, self.done = address, asked, done
        self.connected = True
        self.dropped = False
        FakeCall.out.append(self)

    def drop(self) -> None:
        self.dropped = True

    def end(self, answer: Response | None) -> None:
        if self in FakeCall.out:
            FakeCall.out.remove(self)
            if not self.dropped:
                self.done(answer)


def body(raw: dict[str, Any]) -> Response:
    return Response(200, {}, json.dumps(raw).encode())


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["answer", "answer", "answer", "change", "change", "break", "status", "lag", "anew",
             "move", "rest", "go on", "late"]
        ),
        st.integers(0, 10_000),
    ),
    max_size=60,
)  # fmt: skip


@pytest.fixture(scope="module")
def settings_of_node(tmp_path_factory: pytest.TempPathFactory) -> Config:
    where: Path = tmp_path_factory.mktemp("list")
    return load(config(where, roster(), 1))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(EVENTS)
def test_what_is_in_hand_is_a_list_of_the_service_in_charge(
    settings_of_node: Config, events: list[tuple[str, int]]
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(discovery, "HttpGet", FakeCall)
        asyncio.run(play(settings_of_node, events))


async def play(conf: Config, events: list[tuple[str, int]]) -> None:
    FakeCall.out = []
    told: list[Update] = []
    held: dict[int, str] = {}

    def tell(update: Update, rows: list[Listing], _stale: list[int]) -> None:
        told.append(update)
        if update == Update.FULL:
            held.clear()
        for row in rows:
            held.pop(row.backend, None)
            if row.state.name != "GONE":
                held[row.backend] = row.state.name

    d = Discovery(conf, tell)
    service = Service(100)
    moves = 0
    taken = False  # anything of the service in charge
    newest = 0
    gone: list[FakeCall] = []
    d.watch()
    for kind, value in events:
        live = [c for c in FakeCall.out if not c.dropped]
        assert len(live) <= 1  # one call's answer may be used
        told.clear()
        call = live[0] if live else None
        if kind == "change":
            service.change(value)
        elif kind == "anew":  # it restarts, and counts from a lower number or a higher one
            service = Service((1, 5_000)[value % 2] + value)
            taken = False
        elif kind == "move":
            moves += 1
            gone += live
            service, taken = Service(1 + value % 300), False
            d.move(Address("127.0.0.1", 1000 + moves), conf.settings)
        elif kind == "rest":
            d.suspend()
        elif kind == "go on":
            d.resume()
        elif kind == "late" and gone:  # of a call that something else has taken the place of
            before = dict(held)
            gone.pop().end(body(roster(target("s-9", 9), rev=9_999)))
            assert held == before
        elif call is not None and kind in ("answer", "lag"):
            raw = service.answer(call.asked, value % 3 if kind == "lag" else 0)
            call.end(body(raw))
            if told and told[-1] != Update.FAILED:
                right = {
                    backend_id(u): "READY" if s == "active" else "DRAINING"
                    for u, s in service.had[raw["rev"]].items()
                }
                # A service that counts anew in the middle of a version can't be told from
                # one that goes on, where its changes fit: the whole list was never asked for.
                if raw["all"]:
                    assert held == right
                    assert not taken or raw["rev"] >= newest
                    taken, newest = True, raw["rev"]
                elif taken:
                    assert held == right and raw["rev"] >= newest
                    newest = raw["rev"]
        elif call is not None and kind == "break":
            call.end(None)
        elif call is not None and kind == "status":
            call.end(Response(503, {}, b""))
        if told and told[-1] == Update.FAILED:
            d.watch()  # the Balancer's timer
            if d._retry_timer is not None:  # the pause after failures in a row, over at once
                d._retry_timer.cancel()
                d._on_backoff_passed()
    d.close()
    assert all(c.dropped for c in FakeCall.out)
