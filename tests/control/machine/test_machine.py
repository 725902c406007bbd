"""Control machines over real sockets: what subscribers, real nodes, operators and peers get."""

from __future__ import annotations

import json
import socket
from dataclasses import replace
from pathlib import Path

import pytest

from benchmarks.scale.fleet import call
from loadbalancer.config.address import Address
from loadbalancer.control.machine.file import MAX_NAME_LENGTH
from loadbalancer.control.machine.subscriber import PollTiming, Subscriber
from loadbalancer.control.machine.version import MAX_VERSION, version_of
from loadbalancer.core.assignment.model import Change, Delta, Position, Update
from loadbalancer.core.assignment.release import NodeRelease, ReleaseGrant
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.limits import HolderLimits
from loadbalancer.core.subscription.updates import UpdateResult
from tests.control_machines import NAMES, Machines, rows
from tests.harness import config, listen, served_by, started, target, until


class Node:
    """One node's subscriber in the machines' loop, and what it was told."""

    def __init__(self, region: Machines, name: str, first: str) -> None:
        self.region = region
        self.holder = Holder(name, ["east"], HolderLimits())
        self.told: list[tuple[Update, UpdateResult]] = []
        order = [first, *(other for other in NAMES if other != first)]
        machines = [region.address(one, "subscribers") for one in order]
        timing = PollTiming(hold_s=0.5, margin_s=0.3, connect_s=0.3, retry_s=0.02, max_retry_s=0.1)
        self.subscriber = Subscriber(
            self.holder, ["east"], machines, lambda *one: self.told.append(one), 1, timing
        )
        region.do(self.subscriber.start)

    def uids(self, service: str) -> set[str]:
        return self.region.do(lambda: set(self.holder.rows(service) or ()))

    def asks(self, name: str) -> bool:
        return self.holder.name in self.region.do(
            lambda: {q.node for q in self.region.machines[name].node_requests._waiting.values()}
        )

    def close(self) -> None:
        self.region.do(self.subscriber.close)


def belongs(region: Machines, node: str) -> str:
    """The machine that a node is to ask."""
    publisher = region.machines["east-a"].publisher
    found = region.do(lambda: publisher.machine_for(node, NAMES))
    assert found is not None
    return found


def test_a_subscriber_goes_on_at_another_machine_with_changes_alone(region: Machines) -> None:
    region.change({"service": "pay", "rows": rows("p1", "p2")})
    first = belongs(region, "n1")
    node = Node(region, "n1", first)
    try:
        until(lambda: node.uids("pay") == {"p1", "p2"})
        until(lambda: node.asks(first))
        region.end(first)
        region.change({"service": "pay", "rows": rows("p3"), "removed": ["p1"]})
        until(lambda: node.uids("pay") == {"p2", "p3"})
        update, taken = node.told[-1]
        assert isinstance(update, Delta) and taken.changed == ("pay",)
        assert not update.changes[0].complete
        positions = [update.position for update, _ in node.told]
        assert positions == sorted(positions)
        assert not node.subscriber.counts.events["gap"]
    finally:
        node.close()
        region.start(first)
        region.leader()


def test_what_is_held_is_not_sent_again_after_a_move_and_quiet_answers(region: Machines) -> None:
    region.change({"service": "pay", "rows": rows("q1", "q2")})
    first = belongs(region, "n1")
    other = next(name for name in NAMES if name != first)
    node = Node(region, "n1", first)
    try:
        until(lambda: {"q1", "q2"} <= node.uids("pay"))
        until(lambda: node.asks(first))
        # As if `first` had fallen silent, while nothing changes: the node asks the other machine,
        # is answered with nothing newer, and asks again without a word of what it holds.
        subscriber = node.subscriber
        quiet = subscriber.counts.events["questions"] + 3
        state = subscriber._regions["east"]
        address = region.address(other, "subscribers")

        def fall_silent() -> None:
            if state.call is not None:
                state.call.drop()
            subscriber._move("east", state, address)

        region.do(fall_silent)
        until(lambda: subscriber.counts.events["questions"] >= quiet)
        before = len(node.told)
        region.change({"service": "pay", "rows": rows("q3")})
        until(lambda: "q3" in node.uids("pay"))
        changes = [change for update, _ in node.told[before:] for change in _changes(update)]
        assert [[row.uid for row in change.rows] for change in changes] == [["q3"]]
    finally:
        node.close()


def _changes(update: Update) -> tuple[Change, ...]:
    assert isinstance(update, Delta)
    return update.changes


def test_nodes_hold_what_is_assigned_and_report_it(region: Machines) -> None:
    node = Node(region, "n2", belongs(region, "n2"))
    name = belongs(region, "n2")
    try:
        until(lambda: region.do(node.holder.serving) == {"cart", "pay"})

        def reported() -> bool:
            nodes = region.machines[name].nodes
            return region.do(lambda: nodes._reports.get("n2")) == ("cart", "pay")

        until(reported)
        others = [other for other in NAMES if other != name]

        def passed_on() -> bool:
            handovers = [region.machines[other].nodes.handover for other in others]
            return all(
                region.do(lambda h=h: "n2" in h._serving.get("pay", ()))  # type: ignore[misc]
                for h in handovers
            )

        until(passed_on)
    finally:
        node.close()


@pytest.mark.parametrize(
    ("query", "said"),
    [
        ("node=nobody&region=east&from=0", "node: [unknown node] no node 'nobody'"),
        ("region=east&from=0", "node: [unknown node] no node ''"),
        ("node=n1&region=moon&from=0", "region: [unknown region] 'moon'"),
        (f"node=n1&region=east&from={MAX_VERSION + 1}", "version: [range]"),
        (f"node=n1&region=east&from={version_of(Position(5, 0))}", "version: [nonsense position]"),
        (f"node=n1&region=east&from={version_of(Position(0, 5))}", "version: [nonsense position]"),
        ("node=n1&region=east&from=-1", "from and hold_ms are whole numbers"),
        ("node=n1&region=east&from=abc", "from and hold_ms are whole numbers"),
        ("node=n1&region=east&from=0&serving=pay&generation=x", "generation: [range]"),
        (f"node=n1&region=east&from=0&held={'a,' * 1025}", "names: [too-many] 1025"),
        (f"node={'x' * (MAX_NAME_LENGTH + 1)}&region=east&from=0", "node: [unknown node]"),
    ],
)
def test_nonsense_is_refused_in_one_line_and_counted(
    region: Machines, query: str, said: str
) -> None:
    name = belongs(region, "n1")
    before = region.status(name)
    status, body = region.poll(name, query)
    assert status == 400 and body.startswith(said) and "\n" not in body
    after = region.status(name)
    assert after["logs"] == before["logs"] and after["questions"]["waiting"] == 0
    refused = after["counts"]["questions"].get("refused", 0)
    by_parser = said.startswith("from and hold_ms")
    assert refused == before["counts"]["questions"].get("refused", 0) + (not by_parser)


def test_who_knows_more_than_the_machine_is_sent_on_with_nothing(region: Machines) -> None:
    name = belongs(region, "n1")
    epoch, revision = region.status(name)["logs"]["east"]["position"]
    ahead = version_of(Position(epoch, revision + 1))
    status, body = region.poll(name, f"node=n1&region=east&from={ahead}&hold_ms=1")
    answer = json.loads(body)
    assert status == 200 and answer["rev"] == ahead and answer["targets"] == []
    assert answer["elsewhere"] in set(NAMES) - {name}
    assert answer["address"] == str(region.address(answer["elsewhere"], "subscribers"))


def test_an_unchanged_node_is_served_its_one_service(region: Machines, tmp_path: Path) -> None:
    server = listen()
    row = target("c1", server.getsockname()[1])
    region.change({"service": "cart", "rows": [row]}, {"service": "pay", "rows": rows("p9")})
    port = region.file.bound[0].listen.port
    environ = config(tmp_path, {"rev": 0, "all": True, "targets": []}, port)
    with started(environ | {"PROXY_DISCOVERY": f"127.0.0.1:{port}"}) as node:
        until(node.ready)
        served_by(node, server)
        # A drain and a new server reach it as changes.
        other = listen()
        region.change(
            {"service": "cart", "rows": [row | {"state": "leaving"}]},
            {"service": "cart", "rows": [target("c2", other.getsockname()[1])], "removed": ["c1"]},
        )
        status, body = call(Address("127.0.0.1", port), "GET", "/registry/instances?from=0")
        assert status == 200
        assert [one["uid"] for one in json.loads(body)["targets"]] == ["c2"]
        served_by(node, other)


def test_a_bound_list_tells_changes_and_keeps_a_node_that_is_ahead(region: Machines) -> None:
    (answer,) = region.change({"service": "cart", "rows": rows("c5")})
    since = answer["version"]
    address = region.file.bound[0].listen
    until(lambda: region.status("east-a")["logs"]["east"]["version"] >= since)
    region.change({"service": "cart", "rows": rows("c6"), "removed": ["c5"]})
    path = f"/registry/instances?from={since}&hold_ms=5000"
    status, body = call(address, "GET", path)
    found = json.loads(body)
    assert status == 200 and found["all"] is False and found["rev"] > since
    assert {row["uid"]: row["state"] for row in found["targets"]} == {"c5": "left", "c6": "active"}
    assert call(address, "GET", f"/registry/instances?from={found['rev'] + 1}")[0] == 503
    assert call(address, "GET", f"/registry/instances?from={MAX_VERSION + 1}")[0] == 400


@pytest.mark.parametrize("sent_there", [False, True])
def test_a_machine_that_falls_silent_is_asked_once(region: Machines, sent_there: bool) -> None:
    """One that has stopped keeps its connections: silence alone tells."""
    mute = socket.create_server(("127.0.0.1", 0))
    silent = Address(*mute.getsockname()[:2])
    holder = Holder("n2", ["east"], HolderLimits())
    told: list[Update] = []
    machines = [silent, region.address(belongs(region, "n2"), "subscribers")]
    timing = PollTiming(hold_s=0.1, margin_s=0.1, connect_s=0.3, retry_s=0.02)
    subscriber = Subscriber(holder, ["east"], machines, lambda u, _: told.append(u), 1, timing)
    if sent_there:  # as another machine has told it
        subscriber._regions["east"].redirect = silent
    region.do(subscriber.start)
    until(lambda: bool(told))
    assert region.do(lambda: subscriber.counts.events["silent"]) == 1
    region.do(subscriber.close)
    mute.close()


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

    def turn(name: str) -> None:
        region.do(region.machines[name]._tick_nodes)

    def told() -> list[list[str]]:
        answers = [region.poll(name, "node=n1&region=east&from=0&redirected=1") for name in NAMES]
        return [json.loads(body)["releasable"] for _, body in answers]

    for name in NAMES:
        releases = region.machines[name].releases
        monkeypatch.setattr(releases, "rules", replace(releases.rules, leadership_delay=1))
        view(name, *(("pay",) if name in others else ()))
    for _ in range(2):
        for name in NAMES:
            turn(name)
    assert told() == [[], [], []]
    view(leader, "cart")
    for name in others:
        view(name)
    turn(leader)
    until(lambda: told() == [["cart"]] * 3)
    stranger = ReleaseGrant("west", 1 << 20, (NodeRelease("n1", ("pay",)),))
    region.do(lambda: region.machines[leader].streams.send(others[0], stranger))
    until(lambda: region.status(others[0])["counts"]["ignored_grants"].get("other region", 0) == 1)
    view(leader)
    turn(leader)
    until(lambda: told() == [[], [], []])
