"""Discovery keeps polling after the receiver of its updates raised an exception."""

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


class FaultyReceiver:
    """Receives discovery's updates, and raises an exception for each of the given kinds."""

    def __init__(self, *raises_for: Update) -> None:
        self.raises_for = raises_for
        self.updates: list[Update] = []

    def on_update(self, update: Update, _listings: list[Listing], _stale: list[int]) -> None:
        self.updates.append(update)
        if update in self.raises_for:
            raise KeyError("a fault of the update's receiver")


@pytest.fixture
def node_config(tmp_path: Path) -> Config:
    return load(config(tmp_path, roster(), 1))


@pytest.fixture
def calls(monkeypatch: pytest.MonkeyPatch) -> list[HeldCall]:
    """The calls that discovery makes, which replace real ones."""
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


def test_the_complete_list_is_polled_for_after_an_update_failed(
    node_config: Config, calls: list[HeldCall], caplog: pytest.LogCaptureFixture
) -> None:
    """The receiver of an update raises once.

    The exception used to end the handling of the answer, and with it the only place that starts
    the next call: the node kept its list until a restart. A delta would not be enough afterwards,
    as it never repeats the change that was lost.
    """
    receiver = FaultyReceiver(Update.DELTA)

    async def scenario() -> None:
        polling = Discovery(node_config, receiver.on_update)
        polling.watch()
        calls[0].end(response_of(DELTA))
        assert receiver.updates == [Update.DELTA, Update.FAILED]
        polling.watch()  # as the Balancer does after a failed call
        assert calls[1].path == LIST_PATH
        calls[1].end(response_of(COMPLETE))
        assert receiver.updates[2:] == [Update.FULL]
        assert f"{LIST_PATH}?from=8&" in calls[2].path
        polling.close()

    run(scenario())
    assert "a fault of the update's receiver" in caplog.text


def test_discovery_keeps_polling_if_the_receiver_always_raises(
    node_config: Config, calls: list[HeldCall]
) -> None:
    """A failed call is reported to the receiver, which has to start the next call.

    When the receiver raised on this report as well, no call ever followed. Discovery's own timer
    starts it now.
    """
    receiver = FaultyReceiver(*Update)

    async def scenario() -> None:
        polling = Discovery(node_config, receiver.on_update)
        polling.watch()
        for number, response in enumerate((response_of(DELTA), None, Response(503, {}, b""))):
            calls[number].end(response)
            assert len(calls) == number + 1  # not at once: a fault would make a busy loop
            while len(calls) == number + 1:
                await asyncio.sleep(0.01)
        polling.close()

    run(scenario())


def test_a_suspended_process_polls_itself_after_a_forwarded_update_failed(
    node_config: Config, calls: list[HeldCall], caplog: pytest.LogCaptureFixture
) -> None:
    """The other process of the node forwards an answer once, and the receiver here raises.

    The exception used to close the link between the processes, and the change was lost.
    """
    receiver = FaultyReceiver(Update.DELTA)

    async def scenario() -> None:
        polling = Discovery(node_config, receiver.on_update)
        polling.suspend()
        polling.on_forwarded(json.dumps(DELTA).encode())
        assert [call.path for call in calls] == [LIST_PATH]
        polling.close()

    with caplog.at_level(logging.ERROR):
        run(scenario())
    assert "a fault of the update's receiver" in caplog.text


def test_a_shared_list_whose_update_failed_is_reported_as_unusable(
    node_config: Config,
) -> None:
    """List readers read the list for all nodes, and the receiver at this node raises.

    The exception used to end the gossip turn, and the sharing of lists did not learn that rows
    are missing here: it sends the complete list only after ListError.
    """
    receiver = FaultyReceiver(Update.DELTA)

    async def scenario() -> None:
        with pytest.raises(ListError):
            Discovery(node_config, receiver.on_update).apply_shared(DELTA)

    run(scenario())
