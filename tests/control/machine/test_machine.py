"""Tests of control machines: releases granted by a leader, and missed presence updates."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.control.machine.file import read_scale_file
from loadbalancer.control.machine.machine import ControlMachine
from loadbalancer.control.machine.messages import PresenceRequest
from loadbalancer.core.assignment.presence import PresenceUpdate
from loadbalancer.core.assignment.release import NodeRelease, ReleaseGrant
from tests.control_machines import NAMES, TIMING, Machines, write_file
from tests.harness import until


def test_nodes_release_only_what_the_leader_of_the_region_grants(
    region: Machines, monkeypatch: pytest.MonkeyPatch
) -> None:
    leader = region.leader()
    others = [name for name in NAMES if name != leader]

    def view(name: str, *services: str) -> None:
        """Make the handover of machine `name` allow node n1 to release `services`."""
        handover = region.machines[name].nodes.handover
        views = {"n1": frozenset(services)}
        monkeypatch.setattr(handover, "releasable", lambda node: views.get(node, frozenset()))

    def tick(name: str) -> None:
        region.do(region.machines[name]._tick_nodes)

    def releasable() -> list[list[str]]:
        answers = [region.poll(name, "node=n1&region=east&from=0&redirected=1") for name in NAMES]
        return [json.loads(body)["releasable"] for _, body in answers]

    for name in NAMES:
        releases = region.machines[name].releases
        monkeypatch.setattr(releases, "rules", replace(releases.rules, leadership_delay_ns=1))
        view(name, *(("pay",) if name in others else ()))
    for _ in range(2):
        for name in NAMES:
            tick(name)
    assert releasable() == [[], [], []]
    view(leader, "cart")
    for name in others:
        view(name)
    tick(leader)
    until(lambda: releasable() == [["cart"]] * 3)
    other_region = ReleaseGrant("west", 1 << 20, (NodeRelease("n1", ("pay",)),))
    region.do(lambda: region.machines[leader].streams.send(others[0], other_region))
    until(lambda: region.status(others[0])["counts"]["ignored_grants"].get("other region", 0) == 1)
    view(leader)
    tick(leader)
    until(lambda: releasable() == [[], [], []])


def test_a_gap_in_presence_updates_leads_to_a_request_for_a_complete_one(tmp_path: Path) -> None:
    """An update of another machine was lost with its stream. Without a complete update, the nodes
    that joined or left with it would be counted wrongly until that machine stops.
    """
    file = read_scale_file(str(write_file(tmp_path)))
    machine = ControlMachine(file, file.machine("east-a"), TIMING)
    sent: list[tuple[str, Any]] = []
    machine.streams.send = lambda *message: sent.append(message)  # type: ignore[method-assign]
    for serial, complete, is_requested in ((4, False, True), (5, True, False), (6, False, False)):
        sent.clear()
        machine._on_message("east-b", PresenceUpdate(serial, complete, ("n1",)))
        assert sent == ([("east-b", PresenceRequest())] if is_requested else [])
