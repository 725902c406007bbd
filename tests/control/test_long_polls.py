"""Long polls that are answered, time out, or lose their connection, in any order."""

from __future__ import annotations

import asyncio
from unittest import mock

import pytest

from loadbalancer.control.long_polls import LongPolls
from loadbalancer.control.machine.bound_list import BoundList
from loadbalancer.control.machine.version import version_of
from loadbalancer.core.assignment.model import Change, Position, Row
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.sources.watchers import Watcher


@pytest.mark.parametrize("is_taken", [False, True])
def test_a_poll_ends_once_by_its_time_or_before(is_taken: bool) -> None:
    """A poll is answered just before its time is up: its timer must not answer it again."""

    async def play() -> None:
        ended: list[Watcher] = []
        polls: LongPolls[str] = LongPolls(ended.append)
        watcher = Watcher(mock.Mock())
        polls.add(watcher, "poll", 0.01)
        assert watcher in polls
        assert polls.items() == [(watcher, "poll")]
        if is_taken:
            assert polls.take(watcher) == "poll"
            assert polls.take(watcher) is None
        await asyncio.sleep(0.05)
        assert ended == ([] if is_taken else [watcher])
        assert len(polls) == (0 if is_taken else 1)

    asyncio.run(play())


def test_polls_may_be_taken_while_all_are_answered() -> None:
    """The answer to one poll ends the connection of another one."""

    async def play() -> None:
        polls: LongPolls[int] = LongPolls(lambda _: None)
        watchers = [Watcher(mock.Mock()) for _ in range(3)]
        for number, watcher in enumerate(watchers):
            polls.add(watcher, number, 60.0)
        taken = [polls.take(one) for watcher in polls for one in (watcher, watchers[2])]
        assert taken == [0, 2, 1, None, None, None]
        assert not len(polls)

    asyncio.run(play())


@pytest.mark.parametrize("is_lost", [False, True])
def test_a_bound_list_answers_only_connections_that_are_there(is_lost: bool) -> None:
    """A node's connection is lost while it waits; then the service changes."""

    async def play() -> None:
        log = ChangeLog("east", 100, 1 << 20)
        log.append(Change(Position(1, 1), "cart", (Row("u", "{}"),)))
        bound = BoundList(log, "cart", 10)
        watcher = Watcher(bound)
        version = version_of(log.position)
        with mock.patch.object(watcher, "reply") as reply:
            bound.on_list_request(watcher, version, 60.0, {})
            assert bound.is_waiting(watcher)
            if is_lost:
                bound.cancel(watcher)
            assert bound.is_waiting(watcher) is not is_lost
            log.append(Change(Position(1, 2), "cart", removed=("u",)))
            bound.on_change()
            assert reply.called is not is_lost

    asyncio.run(play())


def test_a_poll_that_replaces_another_waits_for_its_own_time() -> None:
    """A connection's poll is added while an earlier one waits. The earlier one's timer stayed
    armed, and answered the newer poll before its time.
    """

    async def play() -> None:
        ended: list[Watcher] = []
        polls: LongPolls[str] = LongPolls(ended.append)
        watcher = Watcher(mock.Mock())
        polls.add(watcher, "earlier", 0.01)
        polls.add(watcher, "newer", 60.0)
        await asyncio.sleep(0.05)
        assert not ended
        assert polls.take(watcher) == "newer"

    asyncio.run(play())
