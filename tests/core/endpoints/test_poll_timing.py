"""The list of servers is asked for in time: silent watches, broken ones, moved services.

Peers force each order: what the node asks next is awaited, never slept for.
"""

from __future__ import annotations

import json
import signal
import socket
import time
from pathlib import Path

import pytest

from loadbalancer.config.node import load
from loadbalancer.core import Settings
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints import poll_timing as asking
from loadbalancer.core.endpoints.poll_timing import terms
from loadbalancer.sources.endpoint_list import EndpointList, ListError
from tests.harness import (
    Peer,
    accept,
    answer,
    config,
    listen,
    node,
    roster,
    served_by,
    target,
)
from tests.proxy.test_reload import replace_config
from tests.recording_host import PURE

LIST = "GET /registry/instances HTTP/1.1"


def test_a_change_is_in_hand_six_seconds_after_discovery_had_it() -> None:
    t = terms(Settings((PURE,), poll=True))
    assert t.hold + t.late + asking.ANSWER_AIM <= asking.TOLD
    assert max(t.answer, t.connect) + t.pause_most + asking.ANSWER_AIM <= asking.TOLD


@pytest.mark.parametrize("grace", [500 * MS, SECOND, 2 * SECOND, 60 * SECOND])
def test_what_an_agent_has_is_in_hand_within_the_grace(grace: int) -> None:
    t = terms(Settings((PURE,), poll=False, drain_grace=grace))
    for silent in (t.hold + t.late, t.answer + t.pause_most, t.connect + t.pause_most):
        assert silent + t.connect < grace
    assert terms(Settings((PURE,), poll=False, drain_grace=0)).pause_least > 0  # no busy loop


class Asked:
    """Discovery, one call after another, answered by hand."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def call(self) -> tuple[Peer, str]:
        peer = accept(self.sock)
        return peer, peer.message()[0]

    def answers(self, question: str, *targets: dict[str, object], rev: int, whole: bool) -> None:
        """The next call asks this, and gets that."""
        peer, line = self.call()
        assert question in line, line
        peer.send(answer(json.dumps(roster(*targets, rev=rev, whole=whole)).encode()))
        peer.close()


def test_a_silent_watch_is_given_up_and_what_it_missed_asked_for_at_once(tmp_path: Path) -> None:
    with listen() as discovery, listen() as first, listen() as second:
        rows = [target(f"s-{i}", s.getsockname()[1]) for i, s in enumerate((first, second))]
        with node(tmp_path, roster(*rows, rev=7), discovery.getsockname()[1]) as n:
            asked = Asked(discovery)
            asked.answers("from=7&hold_ms=1 ", rev=7, whole=False)
            watch, line = asked.call()
            began = time.monotonic()
            assert f"from=7&hold_ms={asking.HOLD // MS} " in line
            leaves = rows[0] | {"state": "leaving"}  # the silent watch never tells of it
            asked.answers("from=7&hold_ms=1 ", leaves, rev=8, whole=False)
            assert time.monotonic() - began < asking.TOLD / SECOND
            assert watch.ends() == b""
            _held, line = asked.call()
            assert "from=8" in line
            for _ in range(3):
                served_by(n, second)
            assert n.stop() == 0


def test_a_watch_that_breaks_is_made_good_at_once(tmp_path: Path) -> None:
    with listen() as discovery, listen() as backend:
        row = target("s-1", backend.getsockname()[1])
        with node(tmp_path, roster(row, rev=7), discovery.getsockname()[1]) as n:
            asked = Asked(discovery)
            asked.answers("from=7&hold_ms=1 ", rev=7, whole=False)
            watch, _ = asked.call()
            watch.reset()
            asked.answers("from=7&hold_ms=1 ", rev=9, whole=False)
            assert "from=9" in asked.call()[1]
            assert n.stop() == 0


def test_the_agent_of_pushed_lists_is_asked_from_the_first_moment_and_after_its_silence(
    tmp_path: Path,
) -> None:
    with listen() as agent, listen() as first, listen() as second:
        rows = [target(f"s-{i}", s.getsockname()[1]) for i, s in enumerate((first, second))]
        over = {"registry_mode": "push"}
        port = agent.getsockname()[1]
        with node(tmp_path, roster(*rows, rev=7), port, settings=over) as n:
            asked = Asked(agent)
            silent, line = asked.call()
            assert "from=7" in line
            again, line = asked.call()  # with no answer to the first one: silent while it is down
            assert "from=7" in line and silent.ends() == b""
            again.send(answer(json.dumps(roster(rows[1], rev=9)).encode()))
            assert "from=9" in asked.call()[1]
            for _ in range(3):
                served_by(n, second)
            assert n.stop() == 0


def test_after_a_move_changes_alone_are_never_taken_for_the_list(tmp_path: Path) -> None:
    """The first call to the new address breaks: the old one's version means nothing there."""
    with listen() as old, listen() as new, listen() as gone, listen() as backend:
        rows = [target("s-1", gone.getsockname()[1]), target("s-2", backend.getsockname()[1])]
        with node(tmp_path, roster(rows[0], rev=41), old.getsockname()[1]) as n:
            first, _ = Asked(old).call()
            raw = json.loads((tmp_path / "config.json").read_text())
            raw["discovery"] = f"127.0.0.1:{new.getsockname()[1]}"
            replace_config(tmp_path, json.dumps(raw))
            n.process.send_signal(signal.SIGHUP)
            asked = Asked(new)
            broken, line = asked.call()
            assert line == LIST and first.ends() == b""
            broken.reset()
            asked.answers(LIST, rev=50, whole=False)  # not what was asked: no list to go by
            asked.answers(LIST, rows[1], rev=3, whole=True)
            assert "from=3" in asked.call()[1]
            served_by(n, backend)
            assert n.stop() == 0


def test_changes_of_a_service_that_counts_anew_are_answered_by_asking_for_all(
    tmp_path: Path,
) -> None:
    with listen() as discovery, listen() as gone, listen() as backend:
        rows = [target("s-1", gone.getsockname()[1]), target("s-2", backend.getsockname()[1])]
        with node(tmp_path, roster(rows[0], rev=41), discovery.getsockname()[1]) as n:
            asked = Asked(discovery)
            asked.answers("from=41&hold_ms=1 ", rev=3, whole=False)
            began = time.monotonic()
            while True:  # an old list is refused a few times: it may be a replica that lags
                peer, line = asked.call()
                if line != LIST:
                    break
                peer.send(answer(json.dumps(roster(rows[1], rev=3)).encode()))
                peer.close()
            assert "from=3" in line and time.monotonic() - began < asking.TOLD / SECOND
            served_by(n, backend)
            assert n.stop() == 0


def row(**over: object) -> dict[str, object]:
    return target("s-1", 1) | over


@pytest.mark.parametrize(
    "raw",
    [
        {"rev": True, "all": True, "targets": []},
        {"rev": 8, "all": "yes", "targets": []},
        {"rev": 8, "all": True, "targets": {"s-1": row()}},
        {"rev": 8, "all": True},
        roster(row(), row(state="leaving"), rev=8),
        roster(row(state="resting"), rev=8),
        roster(row(uid=["s-1"]), rev=8),
        roster(row(endpoint="nowhere"), rev=8),
        roster(row(boot_ms="soon"), rev=8),
    ],
)
def test_a_list_that_can_not_be_gone_by_is_refused_whole(
    tmp_path: Path, raw: dict[str, object]
) -> None:
    held = EndpointList(load(config(tmp_path, roster(), 1)))
    with pytest.raises(ListError):
        held.read(raw)
    assert held.endpoints == {} and held.rev == 0


def test_a_list_with_a_line_twice_nulls_and_odd_keys_is_used(tmp_path: Path) -> None:
    held = EndpointList(load(config(tmp_path, roster(), 1)))
    odd = row(az=None, pod_group=None, boot_ms=None, capacity_hint=None, colour="red")
    _, rows, endpoints = held.read(roster(odd, odd, rev=8))
    assert {r.backend for r in rows} == set(endpoints) and len(endpoints) == 1
    assert rows[0].rating == 1.0 and rows[0].boot == 0


def test_a_list_not_used_leaves_the_one_in_hand_and_is_asked_for_again(tmp_path: Path) -> None:
    with listen() as discovery, listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]), rev=7)
        with node(tmp_path, known, discovery.getsockname()[1]) as n:
            asked = Asked(discovery)
            deep = b"[" * 100_000 + b"]" * 100_000
            for bad in (b"", b'{"rev": 8', deep, b'{"rev": 8, "all": true}'):
                peer, line = asked.call()
                assert "from=7" in line
                peer.send(answer(bad))
                peer.close()
            served_by(n, backend)
            spaced = json.dumps(roster(known["targets"][0], rev=9), indent=4)  # type: ignore[index]
            peer, _ = asked.call()
            peer.send(answer(spaced.encode()))
            assert "from=9" in asked.call()[1]
            assert n.stop() == 0


@pytest.mark.parametrize("known", ["full", "old", "empty"])
@pytest.mark.parametrize("service", ["up", "silent", "down"])
def test_ready_at_once_with_any_list_and_never_without_one(
    tmp_path: Path, known: str, service: str
) -> None:
    with listen() as discovery, listen() as backend:
        row = target("s-1", backend.getsockname()[1])
        gone = target("s-0", 1)
        held = {"full": roster(row, rev=7), "old": roster(gone, rev=2), "empty": roster(rev=0)}
        with node(tmp_path, held[known], discovery.getsockname()[1]) as n:
            assert n.ready() == (known != "empty")  # whatever the service does
            peer, _ = Asked(discovery).call()
            if service == "down":
                peer.reset()
                peer, _ = Asked(discovery).call()
            if service != "up":
                assert n.ready() == (known != "empty")
            peer.send(answer(json.dumps(roster(row, rev=9)).encode()))
            watch, line = Asked(discovery).call()
            assert "from=9" in line and n.ready()
            served_by(n, backend)
            watch.close()
            assert n.stop() == 0
