"""Consul at its worst: elections under many watches, an hour of flapping, long lists."""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Callable
from dataclasses import replace
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest
import trustme

from fakes.fleet import Process, started
from loadbalancer.config.address import Address, parse_address
from loadbalancer.core import State
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.merged_list import Health, Members, Source, Word
from loadbalancer.core.endpoints.shards import Question, Ration, Rounds
from loadbalancer.sources.consul.file import ConsulFile, read_consul
from loadbalancer.sources.consul.merge import open_reader, sources
from loadbalancer.sources.consul.reader import BACKOFF_MOST_S, Reader
from tests.core.endpoints.test_shards import Service, each_second, named, play
from tests.harness import LIMIT
from tests.sources.consul.test_consul import FILE, listed, service

READERS = 21


class Listener:
    """A reader and the list it makes."""

    def __init__(self, file: ConsulFile, seed: int) -> None:
        self.members = Members(sources(file))
        self.said: list[str] = []
        self.reader = Reader(file, "", self.told, self.said.append, seed)
        self.reader.start()

    def told(self, source: str, words: list[Word], whole: bool) -> None:
        self.members.told(time.monotonic_ns(), source, words, whole)

    def ready(self) -> set[str]:
        return {m.uid for m in self.members.members() if m.state == State.READY}


async def until(condition: Callable[[], bool], limits: int = 1) -> None:
    end = time.monotonic() + limits * LIMIT
    while not condition():
        assert time.monotonic() < end, "never came about"
        await asyncio.sleep(0.01)


def file_for(agent: Process, share: int = 1000, **more: Any) -> ConsulFile:
    return ConsulFile(
        (parse_address(agent.address),), "topup", {"dc1": "east"}, None, None, share, "default", 60,
        **more,
    )  # fmt: skip


def test_a_leader_election_under_21_watches_moves_nothing() -> None:
    async def play(agent: Process) -> None:
        listeners = [Listener(file_for(agent), i) for i in range(READERS)]
        try:
            everyone = {f"node-t-{i}/t-{i}" for i in range(1, 11)}
            await until(lambda: all(x.ready() == everyone for x in listeners))
            await asyncio.to_thread(agent.call, "POST", "/standin/faults", {"leaderless": True})
            # All watches wake at once, into the election.
            await asyncio.to_thread(agent.call, "POST", "/standin/status", {"t-1": "warning"})
            await until(lambda: all(x.said for x in listeners))
            assert all(x.ready() == everyone for x in listeners)
            await asyncio.to_thread(agent.call, "POST", "/standin/faults", {})
            await asyncio.to_thread(agent.call, "PUT", "/standin/services",
                                    [service(i) for i in range(1, 12)])  # fmt: skip
            await until(lambda: all(len(x.ready()) == 11 for x in listeners))
        finally:
            for x in listeners:
                x.reader.close()

    with started(("-m", "fakes.consul")) as agent:
        listed(agent, *range(1, 11))
        asyncio.run(play(agent))


def test_a_watch_leaves_an_agent_that_hangs_with_the_question_it_did_not_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def waiting(agent: Process) -> int:
        return int((await asyncio.to_thread(agent.call, "GET", "/standin/lines"))["waiting"])

    async def play(first: Process, second: Process) -> None:
        file = replace(file_for(first), agents=(*file_for(first).agents, *file_for(second).agents))
        listener = Listener(file, 1)
        try:
            (center,) = listener.reader.centers
            await until(lambda: center._pause is not None and center._blocked is not None)
            await asyncio.to_thread(agent_hangs, first)
            monkeypatch.setattr("loadbalancer.sources.consul.reader.CALL_S", 0.2)
            center._unrest()
            await until(lambda: bool(listener.said))
            end = time.monotonic() + LIMIT
            while not await waiting(second):
                assert time.monotonic() < end, listener.said
            assert len(listener.ready()) == 3
        finally:
            listener.reader.close()

    def agent_hangs(agent: Process) -> None:
        agent.call("POST", "/standin/faults", {"silent": True})

    with started(("-m", "fakes.consul")) as first, started(("-m", "fakes.consul")) as second:
        for agent in (first, second):
            listed(agent, 1, 2, 3)
        asyncio.run(play(first, second))


def test_five_thousand_instances_are_read_whole_with_no_answer_beyond_its_bound() -> None:
    async def play(agent: Process) -> None:
        listener = Listener(file_for(agent, 20_000), 1)
        try:
            await until(lambda: len(listener.ready()) == 5000, 3)
            (center,) = listener.reader.centers
            await until(lambda: center.rounds.rounds >= 1)
            # Only the first answer of all may be larger than was reserved for it.
            assert center.rounds.surprises <= 1
        finally:
            listener.reader.close()

    with started(("-m", "fakes.consul")) as agent:
        rows = [service(i) for i in range(5000)]
        for upto in (2500, 5000):
            agent.call("PUT", "/standin/services", rows[:upto])
        asyncio.run(play(agent))


@pytest.mark.parametrize(
    "more",
    [{"read": "catalog"}, {"shard_by": "node"}, {"shard_by": "meta.part"}, {"shard_by": "address"}],
)
def test_a_list_is_read_by_another_end_point_or_field(more: dict[str, Any]) -> None:
    async def play(agent: Process) -> None:
        listener = Listener(file_for(agent, tags=("retail",), zone_meta="zone", **more), 1)
        try:
            await until(lambda: len(listener.ready()) == 12)
            assert {m.zone for m in listener.members.members()} == {"west"}
        finally:
            listener.reader.close()

    with started(("-m", "fakes.consul")) as agent:
        rows = [
            service(
                i, ID=f"t-{i}:8080", Address=f"127.0.0.{i}", Tags=["retail"] if i < 13 else [],
                Meta={"part": f"p{i}", "zone": "west"},
            )
            for i in range(1, 16)
        ]  # fmt: skip
        agent.call("PUT", "/standin/services", rows)
        asyncio.run(play(agent))


def test_no_two_readers_come_to_the_next_agent_together(tmp_path: Path) -> None:
    """Delays grow, are bounded, and differ: nobody storms the agent that is left."""
    path = tmp_path / "consul.toml"
    path.write_text(FILE.format(agent='127.0.0.1:1", "127.0.0.1:2'))

    async def delays(seed: int) -> list[float]:
        reader = open_reader(read_consul(str(path)), lambda *_: None, lambda _: None, seed)
        (center,) = reader.centers
        found: list[float] = []

        def later(delay: float, what: Callable[[], None]) -> Any:
            found.append(delay)

        center._later = later  # type: ignore[method-assign]
        for tried in range(8):
            center.failed("gone", tried, lambda: None)
        return found

    every = [asyncio.run(delays(seed)) for seed in range(READERS)]
    firsts = sorted(d[0] for d in every)
    assert firsts[-1] - firsts[0] > 0.2 and len(set(firsts)) == READERS
    assert all(max(d) <= BACKOFF_MOST_S and d[-1] > d[0] for d in every)


def test_an_hour_of_flapping_stays_bounded() -> None:
    """One check each second on 30 of 270 servers: lines, churn and the list's age."""
    service_ = Service(named(270))
    rounds = Rounds(Ration(190))
    members = Members([Source("consul", 1)])
    changes: list[tuple[int, int]] = []
    wholes = [0]  # when each whole list was told
    words: dict[str, Word] = {}

    def flap(_second: int) -> None:
        service_.bad ^= {f"topup-{i}" for i in range(30)}
        rounds.woken()  # a watch wakes to each change

    def heard(now: int, _question: Question, found: list[str]) -> None:
        before = members.changes
        rows = [_word(u, u in service_.bad) for u in found]
        words.update((w.uid, w) for w in rows)
        members.told(now, "consul", rows, False)
        if rounds.rounds >= len(wholes):
            wholes.append(now)
            members.told(now, "consul", words.values(), True)
            words.clear()
        changes.append((now, members.changes - before))

    play(service_, rounds, lambda now: now > 3600 * SECOND, each=each_second(flap), heard=heard)
    assert service_.most() <= 190
    assert max(b - a for a, b in pairwise(wholes)) <= 30 * SECOND
    # Each of the 30 changes until it is held, and then not while it goes on flapping.
    settled = sum(n for at, n in changes if at > 600 * SECOND)
    assert settled <= 30 * 50, settled
    ready = [m for m in members.members() if m.state == State.READY]
    assert len(ready) >= 270 - 30


def _word(uid: str, bad: bool) -> Word:
    number = int(uid.rpartition("-")[2])
    health = Health.CRITICAL if bad else Health.PASSING
    return Word(uid, "127.0.0.1", 10_000 + number, "", health)


def test_an_agent_over_tls_is_believed_by_its_authority_alone(tmp_path: Path) -> None:
    """Rows over TLS; another authority's certificate is a failure like any other."""
    good, other = trustme.CA(), trustme.CA()
    for name, ca in (("good", good), ("other", other)):
        ca.cert_pem.write_to_path(str(tmp_path / f"{name}.pem"))
    server_side = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    good.issue_cert("127.0.0.1").configure_cert(server_side)
    asked: list[bytes] = []

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        asked.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Consul-Index: 7\r\n\r\n[]")
        await writer.drain()
        writer.close()

    async def play() -> None:
        server = await asyncio.start_server(answer, "127.0.0.1", 0, ssl=server_side)
        host, port = server.sockets[0].getsockname()
        agent = Address(host, port)
        for ca, seen in (("other", 0), ("good", 1)):
            pem = tmp_path / f"{ca}.pem"
            file = ConsulFile((agent,), "topup", {"dc1": ""}, None, pem, 1000, "default", 60)
            said: list[str] = []
            reader = open_reader(file, lambda *_: None, said.append, 1)
            reader.start()
            await until(lambda said=said: bool(said) or bool(asked))  # type: ignore[misc]
            reader.close()
            assert bool(asked) == bool(seen) and bool(said) != bool(seen), (ca, said)
        server.close()

    asyncio.run(play())
