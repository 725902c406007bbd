"""Tests of the node registry: which nodes count as alive, and when their assignments change."""

from __future__ import annotations

from pathlib import Path

import pytest

from loadbalancer.control.machine.file import read_scale_file
from loadbalancer.control.machine.messages import NodeReport, NodeReports
from loadbalancer.control.machine.nodes import RELEASE_RULES, NodeRegistry
from loadbalancer.core.assignment.presence import Presence
from loadbalancer.core.assignment.release import NodeRelease, ReleaseAuthority, ReleaseGrant
from loadbalancer.core.balancing.model import SECOND
from tests.control_machines import write_file


def test_node_deaths_in_quick_succession_move_services_once(tmp_path: Path) -> None:
    """Two nodes die a second apart. Reassigning services after each death would move the first
    node's services twice.
    """
    nodes = NodeRegistry(read_scale_file(str(write_file(tmp_path))), 0)
    east = Presence(("n1", "n2"))
    east.on_present("n1")
    east.on_present("n2")
    reassigned_at = []
    for second in range(1, 80):
        if second == 30:
            east.on_absent("n1")
        if second == 31:
            east.on_absent("n2")
        nodes.presence.on_machine_heartbeat(second * SECOND, "east-c")
        nodes.on_presence(second * SECOND, "east-b", east.next_update())
        nodes.on_presence(second * SECOND, "east-b", east.complete_update())
        if nodes.on_tick(second * SECOND):
            reassigned_at.append(second)
    assert reassigned_at == [42], "two seconds after the second death was noticed"
    assert nodes.liveness.alive == set()


def test_a_machine_that_was_paused_or_cut_off_declares_no_node_dead(tmp_path: Path) -> None:
    """A machine is paused for 20 seconds, and later cut off from all other machines. It received
    no heartbeats meanwhile; if it declared the nodes dead, it would move every service.
    """
    nodes = NodeRegistry(read_scale_file(str(write_file(tmp_path))), 0)
    both = ("n1", "n2")
    others = [Presence(both), Presence(both)]
    others[0].on_present("n1")
    others[1].on_present("n2")

    def tick(second: int, connected: tuple[str, ...] = ("east-b", "east-c")) -> None:
        for name, other in zip(("east-b", "east-c"), others, strict=True):
            if name in connected:
                nodes.on_presence(second * SECOND, name, other.next_update())
                nodes.on_presence(second * SECOND, name, other.complete_update())
        nodes.on_tick(second * SECOND)

    for second in range(1, 40):
        tick(second)
    # The machine was paused. One machine's update arrives before its first tick, the other's after.
    tick(60, connected=("east-b",))
    assert nodes.liveness.alive == set(both)
    for second in range(61, 70):
        tick(second)
    assert nodes.liveness.alive == set(both)
    for second in range(70, 120):
        tick(second, connected=())  # cut off from all machines and nodes
    assert nodes.liveness.alive == set(both)
    others[0].on_absent("n1")
    for second in range(120, 180):
        tick(second)
    assert nodes.liveness.alive == {"n2"}


def test_only_a_node_that_has_not_polled_yet_gets_the_first_poll_timeout(tmp_path: Path) -> None:
    """After a control machine's start one node polls once and stops, another never polls."""
    nodes = NodeRegistry(read_scale_file(str(write_file(tmp_path))), 0)

    def tick(second: int) -> None:
        for name in ("east-b", "east-c"):
            nodes.presence.on_machine_heartbeat(second * SECOND, name)
        nodes.on_tick(second * SECOND)

    for name in ("east-b", "east-c"):
        nodes.presence.on_machine_heartbeat(0, name)
    nodes.on_poll(SECOND, "n1")
    tick(2)
    nodes.on_response(2 * SECOND, "n1")
    for second in range(3, 15):
        tick(second)
    assert nodes.liveness.alive == {"n2"}, "n1 polled once and then stopped"
    for second in range(15, 41):
        tick(second)
    assert nodes.liveness.alive == set(), "n2 never polled"


def test_assignments_change_when_a_release_grant_arrives_and_expires(tmp_path: Path) -> None:
    """Nodes with a pending poll must be notified of both."""
    file = read_scale_file(str(write_file(tmp_path)))
    specs = [one.spec for one in file.machines]
    releases = ReleaseAuthority(0, specs[0], specs, {"cart": "east"}, RELEASE_RULES)
    nodes = NodeRegistry(file, 0, releases)
    nodes.changed = False
    grant = ReleaseGrant("east", 1, (NodeRelease("n1", ("cart",)),))
    assert releases.on_grant(0, "east-b", grant)
    changed = []
    for second in range(1, 5):
        assert nodes.advance_releases(second * SECOND, None) is None
        changed.append(nodes.changed)
        nodes.changed = False
    assert changed == [True, False, True, False]


@pytest.mark.parametrize(("ahead", "counts"), [(-1, False), (0, True), (1, False), (40, False)])
def test_a_report_with_an_unknown_generation_is_ignored(
    tmp_path: Path, ahead: int, counts: bool
) -> None:
    """A machine restarts while its nodes pause between two polls. A node's next report carries a
    generation of the machine's previous process, above all generations of this one. The node made
    it without knowing what this process assigns, yet it was treated as the most recent one.
    """
    nodes = NodeRegistry(read_scale_file(str(write_file(tmp_path))), 0)
    nodes.on_report("n1", ("cart",), nodes.handover.generation)
    nodes.on_report("n1", (), nodes.handover.generation)  # released
    nodes.on_report("n1", ("cart",), nodes.handover.generation + ahead)
    assert ("n1" in nodes.handover._serving.get("cart", ())) is counts


def test_another_machines_reports_of_unknown_nodes_and_services_are_ignored(
    tmp_path: Path,
) -> None:
    """During a rollout, machines with two versions of the file are connected. A report that one of
    them can't use must neither end the stream nor prevent the processing of later reports.
    """
    nodes = NodeRegistry(read_scale_file(str(write_file(tmp_path))), 0)
    nodes.on_reports([NodeReport("nobody", ("cart",)), NodeReport("n1", ("cart", "unheard-of"))])
    assert nodes.handover._serving == {"cart": {"n1"}}


def test_a_report_is_sent_once_and_not_after_its_node_polls_elsewhere(tmp_path: Path) -> None:
    """A node makes the same report twice and then polls another machine. A machine that connects
    later must not get this report, which may be older than the one made to the other machine.
    """
    nodes = NodeRegistry(read_scale_file(str(write_file(tmp_path))), 0)
    sent: list[object] = []

    def reports() -> list[object]:
        found = [message for message in sent if isinstance(message, NodeReports)]
        sent.clear()
        return list(found)

    report = NodeReports((NodeReport("n1", ("cart",)),))
    nodes.on_poll(0, "n1")
    for expected in ([report], []):
        nodes.on_report("n1", ("cart",), 0)
        nodes.send_changes(sent.append)
        assert reports() == expected
    nodes.on_response(0, "n1")
    nodes.send_full_state(sent.append)
    assert reports() == [report]
    nodes.on_tick(5 * SECOND)
    nodes.send_full_state(sent.append)
    assert reports() == []


@pytest.mark.parametrize("is_dead", [False, True])
def test_the_report_of_a_node_that_polls_again_late_is_sent_to_newly_connected_machines(
    tmp_path: Path, is_dead: bool
) -> None:
    """A node polls again a little late, without a report because its last one is still valid. If
    a newly connected machine does not get that report, it assumes that the node serves nothing and
    lets no previous holder release services to it. The report of a dead node must not be sent.
    """
    nodes = NodeRegistry(read_scale_file(str(write_file(tmp_path))), 0)
    sent: list[object] = []
    nodes.on_poll(0, "n1")
    nodes.on_report("n1", ("cart",), 0)
    nodes.send_changes(sent.append)
    nodes.on_response(0, "n1")
    seconds = 60 if is_dead else 5
    for second in range(1, seconds):
        nodes.presence.on_machine_heartbeat(second * SECOND, "east-b")
        nodes.on_tick(second * SECOND)
    assert ("n1" in nodes.liveness.alive) is not is_dead
    nodes.on_poll(seconds * SECOND, "n1")
    nodes.on_report_unchanged("n1")
    sent.clear()
    nodes.send_changes(sent.append)
    # Sent to all again: a machine that connected meanwhile or declared the node dead lacks it.
    again = [message for message in sent if isinstance(message, NodeReports)]
    assert again == ([] if is_dead else [NodeReports((NodeReport("n1", ("cart",)),))])
    sent.clear()
    nodes.send_full_state(sent.append)
    reports = [message for message in sent if isinstance(message, NodeReports)]
    assert reports == ([] if is_dead else [NodeReports((NodeReport("n1", ("cart",)),))])


def test_a_report_that_a_late_node_repeats_is_sent_again(tmp_path: Path) -> None:
    """A node reports to this machine, then differently to another one, then the first report here
    again. The other machines have the second report, so the first must be sent to them again.
    """
    nodes = NodeRegistry(read_scale_file(str(write_file(tmp_path))), 0)
    for second in (0, 10):
        sent: list[object] = []
        nodes.on_poll(second * SECOND, "n1")
        nodes.on_report("n1", ("cart",), 0)
        nodes.send_changes(sent.append)
        assert NodeReports((NodeReport("n1", ("cart",)),)) in sent
        nodes.on_response(second * SECOND, "n1")
        nodes.on_tick((second + 5) * SECOND)
