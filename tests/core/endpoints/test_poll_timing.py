"""Tests that the endpoint list is polled in time: after silent or broken watches, and moves.

The fake discovery service waits for the node's next call instead of sleeping.
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
from loadbalancer.core.endpoints import poll_timing as timing
from loadbalancer.core.endpoints.poll_timing import poll_timings
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


def test_timings_allow_a_change_to_arrive_within_six_seconds() -> None:
    timings = poll_timings(Settings((PURE,), poll=True))
    assert (
        timings.hold + timings.hold_margin + timing.EXPECTED_ANSWER_NS <= timing.MAX_NOTIFICATION_NS
    )
    assert (
        max(timings.answer_timeout, timings.connect_timeout)
        + timings.max_pause
        + timing.EXPECTED_ANSWER_NS
        <= timing.MAX_NOTIFICATION_NS
    )


@pytest.mark.parametrize("grace", [500 * MS, SECOND, 2 * SECOND, 60 * SECOND])
def test_timings_of_an_agent_allow_a_change_to_arrive_within_the_grace_period(grace: int) -> None:
    timings = poll_timings(Settings((PURE,), poll=False, drain_grace=grace))
    for given_up_after in (
        timings.hold + timings.hold_margin,
        timings.answer_timeout + timings.max_pause,
        timings.connect_timeout + timings.max_pause,
    ):
        assert given_up_after + timings.connect_timeout < grace
    assert poll_timings(Settings((PURE,), poll=False, drain_grace=0)).min_pause > 0  # no busy loop


class ScriptedDiscovery:
    """A fake discovery service whose calls the test answers one after another."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def call(self) -> tuple[Peer, str]:
        peer = accept(self.sock)
        return peer, peer.message()[0]

    def answers(self, query: str, *targets: dict[str, object], rev: int, complete: bool) -> None:
        """Answer the next call, which must have this query, with these targets."""
        peer, line = self.call()
        assert query in line, line
        peer.send(answer(json.dumps(roster(*targets, rev=rev, complete=complete)).encode()))
        peer.close()


def test_a_silent_watch_is_given_up_and_its_missed_changes_are_polled_at_once(
    tmp_path: Path,
) -> None:
    with listen() as discovery, listen() as first, listen() as second:
        rows = [target(f"s-{i}", s.getsockname()[1]) for i, s in enumerate((first, second))]
        with node(tmp_path, roster(*rows, rev=7), discovery.getsockname()[1]) as running_node:
            scripted = ScriptedDiscovery(discovery)
            scripted.answers("from=7&hold_ms=1 ", rev=7, complete=False)
            watch, line = scripted.call()
            began = time.monotonic()
            assert f"from=7&hold_ms={timing.HOLD_NS // MS} " in line
            leaves = rows[0] | {"state": "leaving"}  # the silent watch never reports this
            scripted.answers("from=7&hold_ms=1 ", leaves, rev=8, complete=False)
            assert time.monotonic() - began < timing.MAX_NOTIFICATION_NS / SECOND
            assert watch.ends() == b""
            _watch, line = scripted.call()
            assert "from=8" in line
            for _ in range(3):
                served_by(running_node, second)
            assert running_node.stop() == 0


def test_a_broken_watch_is_replaced_at_once(tmp_path: Path) -> None:
    with listen() as discovery, listen() as backend:
        row = target("s-1", backend.getsockname()[1])
        with node(tmp_path, roster(row, rev=7), discovery.getsockname()[1]) as running_node:
            scripted = ScriptedDiscovery(discovery)
            scripted.answers("from=7&hold_ms=1 ", rev=7, complete=False)
            watch, _ = scripted.call()
            watch.reset()
            scripted.answers("from=7&hold_ms=1 ", rev=9, complete=False)
            assert "from=9" in scripted.call()[1]
            assert running_node.stop() == 0


def test_the_agent_of_a_pushed_list_is_polled_at_the_start_and_after_a_silence(
    tmp_path: Path,
) -> None:
    with listen() as agent, listen() as first, listen() as second:
        rows = [target(f"s-{i}", s.getsockname()[1]) for i, s in enumerate((first, second))]
        overrides = {"registry_mode": "push"}
        port = agent.getsockname()[1]
        with node(tmp_path, roster(*rows, rev=7), port, settings=overrides) as running_node:
            scripted = ScriptedDiscovery(agent)
            unanswered, line = scripted.call()
            assert "from=7" in line
            again, line = scripted.call()  # the first call was never answered
            assert "from=7" in line
            assert unanswered.ends() == b""
            again.send(answer(json.dumps(roster(rows[1], rev=9)).encode()))
            assert "from=9" in scripted.call()[1]
            for _ in range(3):
                served_by(running_node, second)
            assert running_node.stop() == 0


def test_after_discovery_moves_changes_alone_are_never_used_as_the_list(tmp_path: Path) -> None:
    """The first call to the new address breaks; the old address's version is unknown there."""
    with listen() as old, listen() as new, listen() as removed, listen() as backend:
        rows = [target("s-1", removed.getsockname()[1]), target("s-2", backend.getsockname()[1])]
        with node(tmp_path, roster(rows[0], rev=41), old.getsockname()[1]) as running_node:
            first, _ = ScriptedDiscovery(old).call()
            raw = json.loads((tmp_path / "config.json").read_text())
            raw["discovery"] = f"127.0.0.1:{new.getsockname()[1]}"
            replace_config(tmp_path, json.dumps(raw))
            running_node.process.send_signal(signal.SIGHUP)
            scripted = ScriptedDiscovery(new)
            broken, line = scripted.call()
            assert line == LIST
            assert first.ends() == b""
            broken.reset()
            # Not the complete list that was requested.
            scripted.answers(LIST, rev=50, complete=False)
            scripted.answers(LIST, rows[1], rev=3, complete=True)
            assert "from=3" in scripted.call()[1]
            served_by(running_node, backend)
            assert running_node.stop() == 0


def test_changes_under_restarted_numbers_lead_to_a_poll_of_the_complete_list(
    tmp_path: Path,
) -> None:
    with listen() as discovery, listen() as removed, listen() as backend:
        rows = [target("s-1", removed.getsockname()[1]), target("s-2", backend.getsockname()[1])]
        with node(tmp_path, roster(rows[0], rev=41), discovery.getsockname()[1]) as running_node:
            scripted = ScriptedDiscovery(discovery)
            scripted.answers("from=41&hold_ms=1 ", rev=3, complete=False)
            began = time.monotonic()
            while True:  # an older list is refused a few times, as a replica may lag
                peer, line = scripted.call()
                if line != LIST:
                    break
                peer.send(answer(json.dumps(roster(rows[1], rev=3)).encode()))
                peer.close()
            assert "from=3" in line
            assert time.monotonic() - began < timing.MAX_NOTIFICATION_NS / SECOND
            served_by(running_node, backend)
            assert running_node.stop() == 0


def row(**fields: object) -> dict[str, object]:
    return target("s-1", 1) | fields


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
def test_a_malformed_list_is_refused_completely(tmp_path: Path, raw: dict[str, object]) -> None:
    current = EndpointList(load(config(tmp_path, roster(), 1)))
    with pytest.raises(ListError):
        current.read(raw)
    assert current.endpoints == {}
    assert current.rev == 0


def test_a_list_with_duplicate_rows_nulls_and_unknown_keys_is_used(tmp_path: Path) -> None:
    current = EndpointList(load(config(tmp_path, roster(), 1)))
    unusual_row = row(az=None, pod_group=None, boot_ms=None, capacity_hint=None, colour="red")
    _, rows, endpoints = current.read(roster(unusual_row, unusual_row, rev=8))
    assert {r.backend for r in rows} == set(endpoints)
    assert len(endpoints) == 1
    assert rows[0].rating == 1.0
    assert rows[0].boot == 0


def test_an_unusable_list_keeps_the_present_one_and_is_polled_again(tmp_path: Path) -> None:
    with listen() as discovery, listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]), rev=7)
        with node(tmp_path, known, discovery.getsockname()[1]) as running_node:
            scripted = ScriptedDiscovery(discovery)
            deep = b"[" * 100_000 + b"]" * 100_000
            for bad in (b"", b'{"rev": 8', deep, b'{"rev": 8, "all": true}'):
                peer, line = scripted.call()
                assert "from=7" in line
                peer.send(answer(bad))
                peer.close()
            served_by(running_node, backend)
            spaced = json.dumps(roster(known["targets"][0], rev=9), indent=4)  # type: ignore[index]
            peer, _ = scripted.call()
            peer.send(answer(spaced.encode()))
            assert "from=9" in scripted.call()[1]
            assert running_node.stop() == 0


@pytest.mark.parametrize("known", ["full", "old", "empty"])
@pytest.mark.parametrize("service", ["up", "silent", "down"])
def test_a_node_is_ready_at_once_with_any_list_and_never_without_one(
    tmp_path: Path, known: str, service: str
) -> None:
    with listen() as discovery, listen() as backend:
        row = target("s-1", backend.getsockname()[1])
        removed = target("s-0", 1)
        lists = {"full": roster(row, rev=7), "old": roster(removed, rev=2), "empty": roster(rev=0)}
        with node(tmp_path, lists[known], discovery.getsockname()[1]) as running_node:
            assert running_node.ready() == (known != "empty")  # whatever the service does
            peer, _ = ScriptedDiscovery(discovery).call()
            if service == "down":
                peer.reset()
                peer, _ = ScriptedDiscovery(discovery).call()
            if service != "up":
                assert running_node.ready() == (known != "empty")
            peer.send(answer(json.dumps(roster(row, rev=9)).encode()))
            watch, line = ScriptedDiscovery(discovery).call()
            assert "from=9" in line
            assert running_node.ready()
            served_by(running_node, backend)
            watch.close()
            assert running_node.stop() == 0
