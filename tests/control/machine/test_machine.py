"""Control machines over real sockets: releases that a leader grants."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from loadbalancer.core.assignment.release import NodeRelease, ReleaseGrant
from tests.control_machines import NAMES, Machines
from tests.harness import until


def test_nodes_release_only_what_the_leader_of_the_region_grants(
    region: Machines, monkeypatch: pytest.MonkeyPatch
) -> None:
    leader = region.leader()
    others = [name for name in NAMES if name != leader]

    def view(name: str, *services: str) -> None:
        """This machine's own hand-over lets n1 release these."""
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
    stranger = ReleaseGrant("west", 1 << 20, (NodeRelease("n1", ("pay",)),))
    region.do(lambda: region.machines[leader].streams.send(others[0], stranger))
    until(lambda: region.status(others[0])["counts"]["ignored_grants"].get("other region", 0) == 1)
    view(leader)
    tick(leader)
    until(lambda: releasable() == [[], [], []])
