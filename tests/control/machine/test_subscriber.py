"""Tests of a node's subscriber with control machines over real sockets."""

from __future__ import annotations

import socket

import pytest

from loadbalancer.config.address import Address
from loadbalancer.control.machine.subscriber import PollTiming, Subscriber
from loadbalancer.core.assignment.model import Change, Delta, Update
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.limits import HolderLimits
from loadbalancer.core.subscription.updates import UpdateResult
from tests.control_machines import NAMES, Machines, rows
from tests.harness import until


class Node:
    """One node's subscriber, run in the machines' event loop, and the updates that it received."""

    def __init__(self, region: Machines, name: str, first: str) -> None:
        self.region = region
        self.holder = Holder(name, ["east"], HolderLimits())
        self.updates: list[tuple[Update, UpdateResult]] = []
        order = [first, *(other for other in NAMES if other != first)]
        machines = [region.address(one, "subscribers") for one in order]
        timing = PollTiming(hold_s=0.5, margin_s=0.3, connect_s=0.3, retry_s=0.02, max_retry_s=0.1)
        self.subscriber = Subscriber(
            self.holder, ["east"], machines, lambda *update: self.updates.append(update), 1, timing
        )
        region.do(self.subscriber.start)

    def uids(self, service: str) -> set[str]:
        return self.region.do(lambda: set(self.holder.rows(service) or ()))

    def polls(self, name: str) -> bool:
        requests = self.region.machines[name].node_requests
        return self.holder.name in self.region.do(requests.pending_nodes)

    def close(self) -> None:
        self.region.do(self.subscriber.close)


def assigned_machine(region: Machines, node: str) -> str:
    """Return the name of the machine that a node is to poll."""
    publisher = region.machines["east-a"].publisher
    found = region.do(lambda: publisher.machine_for(node, NAMES))
    assert found is not None
    return found


def test_a_subscriber_continues_with_deltas_after_its_machine_is_killed(
    region: Machines,
) -> None:
    region.change({"service": "pay", "rows": rows("p1", "p2")})
    first = assigned_machine(region, "n1")
    node = Node(region, "n1", first)
    try:
        until(lambda: node.uids("pay") == {"p1", "p2"})
        until(lambda: node.polls(first))
        region.end(first)
        region.change({"service": "pay", "rows": rows("p3"), "removed": ["p1"]})
        until(lambda: node.uids("pay") == {"p2", "p3"})
        update, result = node.updates[-1]
        assert isinstance(update, Delta)
        assert result.changed == ("pay",)
        assert not update.changes[0].complete
        positions = [update.position for update, _ in node.updates]
        assert positions == sorted(positions)
        assert not node.subscriber.counts.events["gap"]
    finally:
        node.close()
        region.start(first)
        region.leader()


def test_unchanged_services_are_not_sent_again_after_a_move(region: Machines) -> None:
    """A node moves to another machine while nothing changes. If all nodes of a failed machine were
    sent their services again at once, snapshots would exceed their rate limit for minutes.
    """
    region.change({"service": "pay", "rows": rows("q1", "q2")})
    first = assigned_machine(region, "n1")
    other = next(name for name in NAMES if name != first)
    node = Node(region, "n1", first)
    try:
        until(lambda: {"q1", "q2"} <= node.uids("pay"))
        until(lambda: node.polls(first))
        # Simulates that `first` stops responding while nothing changes: the node polls the other
        # machine, gets an empty response, and polls again without listing what it holds.
        subscriber = node.subscriber
        polls_when_quiet = subscriber.counts.events["questions"] + 3
        state = subscriber._regions["east"]
        address = region.address(other, "subscribers")

        def move_to_other_machine() -> None:
            if state.call is not None:
                state.call.drop()
            subscriber._move("east", state, address)

        region.do(move_to_other_machine)
        until(lambda: subscriber.counts.events["questions"] >= polls_when_quiet)
        before = len(node.updates)
        region.change({"service": "pay", "rows": rows("q3")})
        until(lambda: "q3" in node.uids("pay"))
        changes = [change for update, _ in node.updates[before:] for change in _changes(update)]
        assert [[row.uid for row in change.rows] for change in changes] == [["q3"]]
    finally:
        node.close()


def _changes(update: Update) -> tuple[Change, ...]:
    assert isinstance(update, Delta)
    return update.changes


def test_nodes_load_assigned_services_and_report_them_to_all_machines(region: Machines) -> None:
    node = Node(region, "n2", assigned_machine(region, "n2"))
    name = assigned_machine(region, "n2")
    try:
        until(lambda: region.do(node.holder.serving) == {"cart", "pay"})

        def reported() -> bool:
            nodes = region.machines[name].nodes
            return region.do(lambda: nodes._reports.get("n2")) == ("cart", "pay")

        until(reported)
        others = [other for other in NAMES if other != name]

        def forwarded() -> bool:
            handovers = [region.machines[other].nodes.handover for other in others]
            return all(
                region.do(lambda h=h: "n2" in h._serving.get("pay", ()))  # type: ignore[misc]
                for h in handovers
            )

        until(forwarded)
    finally:
        node.close()


@pytest.mark.parametrize("redirected", [False, True])
def test_an_unresponsive_machine_is_polled_once(region: Machines, redirected: bool) -> None:
    """A machine's process is paused: its connections stay open, but it does not respond."""
    listener = socket.create_server(("127.0.0.1", 0))
    unresponsive = Address(*listener.getsockname()[:2])
    holder = Holder("n2", ["east"], HolderLimits())
    updates: list[Update] = []
    machines = [unresponsive, region.address(assigned_machine(region, "n2"), "subscribers")]
    timing = PollTiming(hold_s=0.1, margin_s=0.1, connect_s=0.3, retry_s=0.02)
    subscriber = Subscriber(
        holder, ["east"], machines, lambda update, _: updates.append(update), 1, timing
    )
    if redirected:  # by another machine
        subscriber._regions["east"].redirect = unresponsive
    region.do(subscriber.start)
    until(lambda: bool(updates))
    assert region.do(lambda: subscriber.counts.events["silent"]) == 1
    region.do(subscriber.close)
    listener.close()
