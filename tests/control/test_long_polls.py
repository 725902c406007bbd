"""Tests of long polls: answers, timeouts and lost connections, in any order."""

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


@pytest.mark.parametrize("is_answered", [False, True])
def test_a_poll_ends_once_either_answered_or_timed_out(is_answered: bool) -> None:
    """The timer of a poll that was answered shortly before its timeout must not fire."""

    async def scenario() -> None:
        timed_out: list[Watcher] = []
        polls: LongPolls[str] = LongPolls(timed_out.append)
        watcher = Watcher(mock.Mock())
        polls.add(watcher, "poll", 0.01)
        assert watcher in polls
        assert polls.items() == [(watcher, "poll")]
        if is_answered:
            assert polls.pop(watcher) == "poll"
            assert polls.pop(watcher) is None
        await asyncio.sleep(0.05)
        assert timed_out == ([] if is_answered else [watcher])
        assert len(polls) == (0 if is_answered else 1)

    asyncio.run(scenario())


def test_polls_may_be_removed_during_iteration() -> None:
    """Answering one poll can close the connection of another one."""

    async def scenario() -> None:
        polls: LongPolls[int] = LongPolls(lambda _: None)
        watchers = [Watcher(mock.Mock()) for _ in range(3)]
        for number, watcher in enumerate(watchers):
            polls.add(watcher, number, 60.0)
        popped = [polls.pop(one) for watcher in polls for one in (watcher, watchers[2])]
        assert popped == [0, 2, 1, None, None, None]
        assert not len(polls)

    asyncio.run(scenario())


@pytest.mark.parametrize("is_lost", [False, True])
def test_a_bound_list_answers_only_open_connections(is_lost: bool) -> None:
    """The service changes after a node's connection was lost during its long poll."""

    async def scenario() -> None:
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

    asyncio.run(scenario())


def test_a_poll_that_replaces_another_keeps_its_own_timeout() -> None:
    """If the timer of the replaced poll stays armed, it ends the newer poll too early."""

    async def scenario() -> None:
        timed_out: list[Watcher] = []
        polls: LongPolls[str] = LongPolls(timed_out.append)
        watcher = Watcher(mock.Mock())
        polls.add(watcher, "earlier", 0.01)
        polls.add(watcher, "newer", 60.0)
        await asyncio.sleep(0.05)
        assert not timed_out
        assert polls.pop(watcher) == "newer"

    asyncio.run(scenario())
