"""Discovery after a fault of whoever takes its list."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Coroutine
from pathlib import Path

import pytest

from loadbalancer.config.address import Address
from loadbalancer.config.node import Config, load
from loadbalancer.core import Listing, Update
from loadbalancer.sources import discovery
from loadbalancer.sources.discovery import Discovery
from loadbalancer.sources.endpoint_list import LIST_PATH, ListError
from loadbalancer.sources.http_get import Response
from tests.harness import LIMIT, config, roster, target
from tests.sources.test_discovery_list import HeldCall, response_of

DELTA = roster(target("s-1", 9), rev=8, complete=False)
COMPLETE = roster(target("s-1", 9), rev=8)


class FaultyTaker:
    """Takes discovery's updates, and raises for those of these kinds while there are any."""

    def __init__(self, *raises_for: Update) -> None:
        self.raises_for = raises_for
        self.updates: list[Update] = []

    def on_update(self, update: Update, _listings: list[Listing], _stale: list[int]) -> None:
        self.updates.append(update)
        if update in self.raises_for:
            raise KeyError("a fault of whoever takes the list")


@pytest.fixture
def node_config(tmp_path: Path) -> Config:
    return load(config(tmp_path, roster(), 1))


@pytest.fixture
def calls(monkeypatch: pytest.MonkeyPatch) -> list[HeldCall]:
    """Discovery's calls, in place of real ones."""
    made: list[HeldCall] = []

    def open_call(
        _address: Address,
        path: str,
        _timeout_s: float,
        on_done: Callable[[Response | None], None],
        connect_timeout_s: float = 0.0,
    ) -> HeldCall:
        del connect_timeout_s
        made.append(HeldCall(path, on_done))
        return made[-1]

    monkeypatch.setattr(discovery, "HttpGet", open_call)
    return made


def run(scenario: Coroutine[None, None, None]) -> None:
    asyncio.run(asyncio.wait_for(scenario, LIMIT))


def test_the_complete_list_is_polled_for_after_an_answer_was_not_taken(
    node_config: Config, calls: list[HeldCall], caplog: pytest.LogCaptureFixture
) -> None:
    """Whoever takes the list raises once, by a fault of its own.

    The exception ended the handling of the answer, and with it the only place that begins the
    next call: the node kept its list until a restart. A delta alone would not do after that, as
    the change that was missed would never be repeated.
    """
    taker = FaultyTaker(Update.DELTA)

    async def scenario() -> None:
        polling = Discovery(node_config, taker.on_update)
        polling.watch()
        calls[0].end(response_of(DELTA))
        assert taker.updates == [Update.DELTA, Update.FAILED]
        polling.watch()  # as the Balancer does after a failed call
        assert calls[1].path == LIST_PATH
        calls[1].end(response_of(COMPLETE))
        assert taker.updates[2:] == [Update.FULL]
        assert f"{LIST_PATH}?from=8&" in calls[2].path
        polling.close()

    run(scenario())
    assert "a fault of whoever takes the list" in caplog.text


def test_discovery_polls_on_where_whoever_takes_the_list_always_raises(
    node_config: Config, calls: list[HeldCall]
) -> None:
    """A failed call is reported too, and whoever takes that has to begin the next call.

    Where that raises as well, nobody else ever called: discovery's own timer does.
    """
    taker = FaultyTaker(*Update)

    async def scenario() -> None:
        polling = Discovery(node_config, taker.on_update)
        polling.watch()
        for number, response in enumerate((response_of(DELTA), None, Response(503, {}, b""))):
            calls[number].end(response)
            assert len(calls) == number + 1  # not at once: a fault would make a busy loop
            while len(calls) == number + 1:
                await asyncio.sleep(0.01)
        polling.close()

    run(scenario())


def test_a_suspended_process_polls_itself_after_a_forwarded_answer_was_not_taken(
    node_config: Config, calls: list[HeldCall], caplog: pytest.LogCaptureFixture
) -> None:
    """The other process of the node sends an answer once, and this one's taker raises.

    The exception ended the link between the processes, and the change was never seen again.
    """
    taker = FaultyTaker(Update.DELTA)

    async def scenario() -> None:
        polling = Discovery(node_config, taker.on_update)
        polling.suspend()
        polling.on_forwarded(json.dumps(DELTA).encode())
        assert [call.path for call in calls] == [LIST_PATH]
        polling.close()

    with caplog.at_level(logging.ERROR):
        run(scenario())
    assert "a fault of whoever takes the list" in caplog.text


def test_a_list_of_another_node_that_was_not_taken_is_reported_as_unusable(
    node_config: Config,
) -> None:
    """Readers read the list for all nodes, and this one's taker raises.

    The exception ended the gossip turn, and the sharing did not learn that rows are missing: it
    sends the complete list only after a list that could not be used.
    """
    taker = FaultyTaker(Update.DELTA)

    async def scenario() -> None:
        with pytest.raises(ListError):
            Discovery(node_config, taker.on_update).apply_shared(DELTA)

    run(scenario())
