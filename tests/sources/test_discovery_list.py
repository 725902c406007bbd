"""The endpoint list under random sequences of answers, failures, moves and service restarts.

The test holds discovery's calls and answers them as a list service would that is sometimes late,
lags behind, fails or restarts its versions. The applied list must always be one that the present
service has had, and never an earlier one than before.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.config.address import Address
from loadbalancer.config.node import Config, load
from loadbalancer.core import Listing, State, Update
from loadbalancer.sources import discovery
from loadbalancer.sources.discovery import Discovery
from loadbalancer.sources.endpoint_list import backend_id
from loadbalancer.sources.http_get import Response
from tests.harness import config, roster, target

WIRE_STATES = ("active", "leaving", "left")
STATES = {"active": State.READY, "leaving": State.DRAINING}
SERVERS = 5
MAX_LAG = 2  # versions that a lagging answer is behind
FIRST_VERSION = 100


class Event(Enum):
    """What may happen next."""

    ANSWER = "the service answers the call that is out"
    LAGGING_ANSWER = "it answers as of an earlier version"
    CHANGE = "a server of the list changes"
    BREAK = "the call ends without a response"
    ERROR_STATUS = "the call gets an error status"
    RESTART = "the service restarts its versions, at a lower or a higher number"
    MOVE = "discovery is at another address, with another service"
    SUSPEND = "another process of the node watches for both"
    RESUME = "it does so no longer"
    LATE_ANSWER = "a call that a move has dropped is answered"


FREQUENT = [Event.ANSWER, Event.ANSWER, Event.CHANGE]
EVENTS = st.lists(
    st.tuples(st.sampled_from([*FREQUENT, *Event]), st.integers(0, 10_000)), max_size=60
)


class ListService:
    """The versions of one list.

    Attributes:
        rev: the present version.
        lists: states by server, of each version.
    """

    def __init__(self, first_rev: int) -> None:
        self.rev = first_rev
        self.lists: dict[int, dict[str, str]] = {first_rev: {"s-0": "active"}}
        self._changes: list[tuple[int, str, str]] = []  # (version, server, state)

    def change(self, value: int) -> None:
        """A new version, in which one server has another state."""
        uid = f"s-{value % SERVERS}"
        state = WIRE_STATES[value // SERVERS % len(WIRE_STATES)]
        rows = {name: old for name, old in self.lists[self.rev].items() if name != uid}
        if state != "left":
            rows[uid] = state
        self.rev += 1
        self.lists[self.rev] = rows
        self._changes.append((self.rev, uid, state))

    def answer(self, path: str, lag: int) -> dict[str, Any]:
        """The answer to a request, as of `lag` versions ago."""
        rev = max(self.rev - lag, min(self.lists))
        since = int(path.partition("from=")[2].partition("&")[0] or -1)
        if since in self.lists and since <= rev:
            changes = [(uid, state) for at, uid, state in self._changes if since < at <= rev]
            rows = [target(uid, 9, state) for uid, state in changes]
            return roster(*rows, rev=rev, complete=False)
        rows = [target(uid, 9, state) for uid, state in self.lists[rev].items()]
        return roster(*rows, rev=rev)


class HeldCall:
    """A request whose response the test decides on; none is delivered after `drop`."""

    def __init__(self, path: str, on_done: Callable[[Response | None], None]) -> None:
        self.path = path
        self.connected = True
        self.dropped = False
        self._on_done = on_done

    def drop(self) -> None:
        self.dropped = True

    def end(self, response: Response | None) -> None:
        if not self.dropped:
            self._on_done(response)


def response_of(raw: dict[str, Any]) -> Response:
    return Response(200, {}, json.dumps(raw).encode())


class Scenario:
    """Discovery, the service that it polls, and the list that it has applied."""

    def __init__(self, node_config: Config) -> None:
        self._config = node_config
        self._calls: list[HeldCall] = []  # without a response
        self._dropped_by_move: list[HeldCall] = []
        self._updates: list[Update] = []  # of the present event
        self._states: dict[int, State] = {}  # the applied list, by backend
        self._service = ListService(FIRST_VERSION)
        self._moves = 0
        self._has_full_list = False  # of the present service
        self._newest_rev = 0
        self._awaits_first_list = False  # since a move
        self._discovery = Discovery(node_config, self._on_update)

    def open_call(
        self,
        _address: Address,
        path: str,
        _timeout_s: float,
        on_done: Callable[[Response | None], None],
        connect_timeout_s: float = 0.0,
    ) -> HeldCall:
        """In place of `HttpGet`."""
        del connect_timeout_s
        call = HeldCall(path, on_done)
        self._calls.append(call)
        return call

    async def run(self, events: list[tuple[Event, int]]) -> None:
        """Apply the events in their order, and check the list after each."""
        self._discovery.watch()
        for event, value in events:
            self._updates.clear()
            self._apply(event, value, self._present_call())
            if self._updates and self._updates[-1] == Update.FAILED:
                self._watch_again()
        self._discovery.close()
        assert all(call.dropped for call in self._calls)

    def _on_update(self, update: Update, listings: list[Listing], _stale: list[int]) -> None:
        self._updates.append(update)
        if update == Update.FULL:
            self._states.clear()
        for listing in listings:
            self._states.pop(listing.backend, None)
            if listing.state != State.GONE:
                self._states[listing.backend] = listing.state

    def _present_call(self) -> HeldCall | None:
        """The call whose answer may be used: at most one."""
        present = [call for call in self._calls if not call.dropped]
        assert len(present) <= 1
        return present[0] if present else None

    def _watch_again(self) -> None:
        """The Balancer's timer has expired, and so has the backoff."""
        self._discovery.watch()
        timer = self._discovery._retry_timer
        if timer is not None:
            timer.cancel()
            self._discovery._on_backoff_passed()

    # ---- events ----------------------------------------------------------

    def _apply(self, event: Event, value: int, call: HeldCall | None) -> None:
        match event:
            case Event.CHANGE:
                self._service.change(value)
            case Event.RESTART:
                self._restart_service((1, 5_000)[value % 2] + value)
            case Event.MOVE:
                self._move(value, call)
            case Event.SUSPEND:
                self._discovery.suspend()
            case Event.RESUME:
                self._discovery.resume()
            case Event.LATE_ANSWER:
                self._answer_late()
            case _ if call is not None:
                self._end_call(event, value, call)

    def _restart_service(self, first_rev: int) -> None:
        self._service = ListService(first_rev)
        self._has_full_list = False

    def _move(self, value: int, call: HeldCall | None) -> None:
        self._moves += 1
        if call is not None:
            self._dropped_by_move.append(call)
        self._restart_service(1 + value % 300)
        self._awaits_first_list = True
        self._discovery.reconfigure(Address("127.0.0.1", 1000 + self._moves), self._config.settings)

    def _answer_late(self) -> None:
        if not self._dropped_by_move:
            return
        before = dict(self._states)
        call = self._dropped_by_move.pop()
        self._end(call, response_of(roster(target("s-9", 9), rev=9_999)))
        assert self._states == before

    def _end_call(self, event: Event, value: int, call: HeldCall) -> None:
        if event is Event.BREAK:
            self._end(call, None)
        elif event is Event.ERROR_STATUS:
            self._end(call, Response(503, {}, b""))
        else:
            lag = value % (MAX_LAG + 1) if event is Event.LAGGING_ANSWER else 0
            raw = self._service.answer(call.path, lag)
            self._end(call, response_of(raw))
            if self._awaits_first_list:
                # Its version may be lower than those of the service before it.
                assert self._updates == [Update.FULL]
                self._awaits_first_list = False
            if self._updates and self._updates[-1] != Update.FAILED:
                self._check_applied(raw["rev"], raw["all"])

    def _end(self, call: HeldCall, response: Response | None) -> None:
        if call in self._calls:
            self._calls.remove(call)
            call.end(response)

    # ---- checks ----------------------------------------------------------

    def _check_applied(self, rev: int, is_full: bool) -> None:
        """The applied list is the service's of this version, and not an earlier one.

        A service that restarts its versions in the middle of a watch can't be told from one that
        goes on where its changes fit: until a full list of it has been applied, a delta is not
        checked.
        """
        if not is_full and not self._has_full_list:
            return
        rows = self._service.lists[rev]
        assert self._states == {backend_id(uid): STATES[state] for uid, state in rows.items()}
        assert not self._has_full_list or rev >= self._newest_rev
        self._has_full_list = True
        self._newest_rev = rev


@pytest.fixture(scope="module")
def node_config(tmp_path_factory: pytest.TempPathFactory) -> Config:
    folder: Path = tmp_path_factory.mktemp("list")
    return load(config(folder, roster(), 1))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(EVENTS)
def test_the_applied_list_is_one_of_the_present_service(
    node_config: Config, events: list[tuple[Event, int]]
) -> None:
    async def run() -> None:
        scenario = Scenario(node_config)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(discovery, "HttpGet", scenario.open_call)
            await scenario.run(events)

    asyncio.run(run())
