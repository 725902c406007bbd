"""The endpoint list under random sequences of answers, failures, moves and service restarts.

The test intercepts discovery's calls and answers them like a list service that is sometimes late,
lags behind, fails or restarts its versions. The applied list must always be a version that the
current service has had, and never an earlier one than before.
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
MAX_LAG = 2  # how many versions a lagging answer is behind at most
FIRST_VERSION = 100


class Event(Enum):
    """What may happen next."""

    ANSWER = "the service answers the pending call"
    LAGGING_ANSWER = "the service answers with an earlier version"
    CHANGE = "a server of the list changes"
    BREAK = "the call ends without a response"
    ERROR_STATUS = "the call gets an error status"
    RESTART = "the service restarts its versions at a lower or a higher number"
    CHANGE_ADDRESS = "discovery has a new address, with another service"
    SUSPEND = "another process of the node starts watching for both"
    RESUME = "the other process stops watching"
    LATE_ANSWER = "a call that was dropped by a change of address is answered"


FREQUENT = [Event.ANSWER, Event.ANSWER, Event.CHANGE]
EVENTS = st.lists(
    st.tuples(st.sampled_from([*FREQUENT, *Event]), st.integers(0, 10_000)), max_size=60
)


class ListService:
    """All versions of one list.

    Attributes:
        rev: the current version.
        lists: for each version, the states by server.
    """

    def __init__(self, first_rev: int) -> None:
        self.rev = first_rev
        self.lists: dict[int, dict[str, str]] = {first_rev: {"s-0": "active"}}
        self._changes: list[tuple[int, str, str]] = []  # (version, server, state)

    def change(self, value: int) -> None:
        """Create a new version, in which one server has another state."""
        uid = f"s-{value % SERVERS}"
        state = WIRE_STATES[value // SERVERS % len(WIRE_STATES)]
        rows = {name: old for name, old in self.lists[self.rev].items() if name != uid}
        if state != "left":
            rows[uid] = state
        self.rev += 1
        self.lists[self.rev] = rows
        self._changes.append((self.rev, uid, state))

    def answer(self, path: str, lag: int) -> dict[str, Any]:
        """Answer a request with the version that is `lag` versions old."""
        rev = max(self.rev - lag, min(self.lists))
        since = int(path.partition("from=")[2].partition("&")[0] or -1)
        if since in self.lists and since <= rev:
            changes = [(uid, state) for at, uid, state in self._changes if since < at <= rev]
            rows = [target(uid, 9, state) for uid, state in changes]
            return roster(*rows, rev=rev, complete=False)
        rows = [target(uid, 9, state) for uid, state in self.lists[rev].items()]
        return roster(*rows, rev=rev)


class HeldCall:
    """A request that the test answers; no response is delivered after `drop`."""

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
    """Discovery, the list service that it polls, and the list that it has applied."""

    def __init__(self, node_config: Config) -> None:
        self._config = node_config
        self._calls: list[HeldCall] = []  # those without a response
        self._dropped_by_address_change: list[HeldCall] = []
        self._updates: list[Update] = []  # those of the current event
        self._states: dict[int, State] = {}  # the applied list, by backend
        self._service = ListService(FIRST_VERSION)
        self._address_changes = 0
        self._has_full_list = False  # from the current service
        self._newest_rev = 0
        self._awaits_first_list = False  # since the last change of address
        self._discovery = Discovery(node_config, self._on_update)

    def open_call(
        self,
        _address: Address,
        path: str,
        _timeout_s: float,
        on_done: Callable[[Response | None], None],
        connect_timeout_s: float = 0.0,
    ) -> HeldCall:
        """Replaces `HttpGet`."""
        del connect_timeout_s
        call = HeldCall(path, on_done)
        self._calls.append(call)
        return call

    async def run(self, events: list[tuple[Event, int]]) -> None:
        """Apply the events in order, and check the list after each."""
        self._discovery.watch()
        for event, value in events:
            self._updates.clear()
            self._apply(event, value, self._pending_call())
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

    def _pending_call(self) -> HeldCall | None:
        """Return the pending call; there is at most one."""
        pending = [call for call in self._calls if not call.dropped]
        assert len(pending) <= 1
        return pending[0] if pending else None

    def _watch_again(self) -> None:
        """Act as if the Balancer's timer and the backoff had expired."""
        self._discovery.watch()
        timer = self._discovery._retry_timer
        if timer is not None:
            timer.cancel()
            self._discovery._on_backoff_passed()

    def _apply(self, event: Event, value: int, call: HeldCall | None) -> None:
        match event:
            case Event.CHANGE:
                self._service.change(value)
            case Event.RESTART:
                self._restart_service((1, 5_000)[value % 2] + value)
            case Event.CHANGE_ADDRESS:
                self._change_address(value, call)
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

    def _change_address(self, value: int, call: HeldCall | None) -> None:
        self._address_changes += 1
        if call is not None:
            self._dropped_by_address_change.append(call)
        self._restart_service(1 + value % 300)
        self._awaits_first_list = True
        self._discovery.reconfigure(
            Address("127.0.0.1", 1000 + self._address_changes), self._config.settings
        )

    def _answer_late(self) -> None:
        if not self._dropped_by_address_change:
            return
        before = dict(self._states)
        call = self._dropped_by_address_change.pop()
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
                # Its version may be lower than those of the previous service.
                assert self._updates == [Update.FULL]
                self._awaits_first_list = False
            if self._updates and self._updates[-1] != Update.FAILED:
                self._check_applied(raw["rev"], raw["all"])

    def _end(self, call: HeldCall, response: Response | None) -> None:
        if call in self._calls:
            self._calls.remove(call)
            call.end(response)

    def _check_applied(self, rev: int, is_full: bool) -> None:
        """Check that the applied list is this version of the service's, and not an older one.

        If the service restarts its versions during a watch and its deltas happen to fit, nothing
        tells it from one that has not restarted. So deltas are not checked until a complete list
        of the restarted service has been applied.
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
