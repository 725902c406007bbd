"""Which nodes a control machine counts as alive, and when their assignments change."""

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


def test_losses_that_follow_one_another_move_services_once(tmp_path: Path) -> None:
    """Two nodes die a second apart. An assignment for each would move the first one's services
    twice.
    """
    nodes = NodeRegistry(read_scale_file(str(write_file(tmp_path))), 0)
    east = Presence(("n1", "n2"))
    east.on_present("n1")
    east.on_present("n2")
    moved = []
    for second in range(1, 80):
        if second == 30:
            east.on_absent("n1")
        if second == 31:
            east.on_absent("n2")
        nodes.presence.on_machine_heartbeat(second * SECOND, "east-c")
        nodes.on_presence(second * SECOND, "east-b", east.next_update())
        nodes.on_presence(second * SECOND, "east-b", east.complete_update())
        if nodes.on_time(second * SECOND):
            moved.append(second)
    assert moved == [42], "two seconds after the second loss was noticed"
    assert nodes.liveness.alive == set()


def test_a_machine_that_was_stopped_or_cut_off_declares_no_node_dead(tmp_path: Path) -> None:
    """A machine is stopped for 20 seconds, and later hears no other machine. It received no sign
    of life meanwhile; if it took that for deaths, it would move every service.
    """
    nodes = NodeRegistry(read_scale_file(str(write_file(tmp_path))), 0)
    both = ("n1", "n2")
    others = [Presence(both), Presence(both)]
    others[0].on_present("n1")
    others[1].on_present("n2")

    def turn(second: int, connected: tuple[str, ...] = ("east-b", "east-c")) -> None:
        for name, other in zip(("east-b", "east-c"), others, strict=True):
            if name in connected:
                nodes.on_presence(second * SECOND, name, other.next_update())
                nodes.on_presence(second * SECOND, name, other.complete_update())
        nodes.on_time(second * SECOND)

    for second in range(1, 40):
        turn(second)
    # It was stopped, and received nothing meanwhile. One machine's update comes before its own
    # timer does, the other's after.
    turn(60, connected=("east-b",))
    assert nodes.liveness.alive == set(both)
    for second in range(61, 70):
        turn(second)
    assert nodes.liveness.alive == set(both)
    for second in range(70, 120):
        turn(second, connected=())  # it hears no other machine, and no node
    assert nodes.liveness.alive == set(both)
    others[0].on_absent("n1")
    for second in range(120, 180):
        turn(second)
    assert nodes.liveness.alive == {"n2"}


def test_nodes_have_time_for_their_first_poll_and_none_after(tmp_path: Path) -> None:
    """A control machine has started. One node polls once and stops, another never polls."""
    nodes = NodeRegistry(read_scale_file(str(write_file(tmp_path))), 0)

    def turn(second: int) -> None:
        for name in ("east-b", "east-c"):
            nodes.presence.on_machine_heartbeat(second * SECOND, name)
        nodes.on_time(second * SECOND)

    for name in ("east-b", "east-c"):
        nodes.presence.on_machine_heartbeat(0, name)
    nodes.on_poll(SECOND, "n1")
    turn(2)
    nodes.on_response(2 * SECOND, "n1")
    for second in range(3, 15):
        turn(second)
    assert nodes.liveness.alive == {"n2"}, "one that was heard and is no more"
    for second in range(15, 41):
        turn(second)
    assert nodes.liveness.alive == set(), "one that never was"


def test_assignments_change_when_a_grant_comes_and_when_it_ends(tmp_path: Path) -> None:
    """Waiting nodes must hear of a permission to release, and that it ended."""
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
def test_a_report_of_a_generation_that_never_was_does_not_count(
    tmp_path: Path, ahead: int, counts: bool
) -> None:
    """A machine restarts while its nodes pause between two polls. A node's next report names the
    generation of the machine's earlier process, which is above all of this one: it knew nothing of
    what this one takes back, and yet counted as the newest.
    """
    nodes = NodeRegistry(read_scale_file(str(write_file(tmp_path))), 0)
    nodes.on_report("n1", ("cart",), nodes.handover.generation)
    nodes.on_report("n1", (), nodes.handover.generation)  # released
    nodes.on_report("n1", ("cart",), nodes.handover.generation + ahead)
    assert ("n1" in nodes.handover._serving.get("cart", ())) is counts


def test_another_machines_reports_of_unknown_nodes_and_services_are_passed_over(
    tmp_path: Path,
) -> None:
    """Machines of two versions of the file are connected for a while. A report that one can't use
    must not end the stream, nor keep it from those that follow.
    """
    nodes = NodeRegistry(read_scale_file(str(write_file(tmp_path))), 0)
    nodes.on_reports([NodeReport("nobody", ("cart",)), NodeReport("n1", ("cart", "unheard-of"))])
    assert nodes.handover._serving == {"cart": {"n1"}}


def test_a_report_is_sent_once_and_not_after_its_node_has_gone(tmp_path: Path) -> None:
    """A node reports twice the same, and then polls elsewhere. A machine that connects later must
    not be sent its report: it may be older than the one made to the other machine.
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
    nodes.on_time(5 * SECOND)
    nodes.send_full_state(sent.append)
    assert reports() == []


@pytest.mark.parametrize("is_dead", [False, True])
def test_the_report_of_a_node_that_polls_again_late_is_sent_to_machines_that_connect(
    tmp_path: Path, is_dead: bool
) -> None:
    """A node polls again a little late, without a report as it serves what it last reported. A
    machine that connected later was not sent the report: it took the node to serve nothing, and
    let no earlier holder release services to it. What a dead node reported holds no longer.
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
        nodes.on_time(second * SECOND)
    assert ("n1" in nodes.liveness.alive) is not is_dead
    nodes.on_poll(seconds * SECOND, "n1")
    nodes.on_report_unchanged("n1")
    sent.clear()
    nodes.send_changes(sent.append)
    # Again to all: a machine that connected meanwhile, or took the node for dead, lacks it.
    again = [message for message in sent if isinstance(message, NodeReports)]
    assert again == ([] if is_dead else [NodeReports((NodeReport("n1", ("cart",)),))])
    sent.clear()
    nodes.send_full_state(sent.append)
    reports = [message for message in sent if isinstance(message, NodeReports)]
    assert reports == ([] if is_dead else [NodeReports((NodeReport("n1", ("cart",)),))])


def test_a_report_that_a_late_node_makes_again_is_sent_again(tmp_path: Path) -> None:
    """A node reports here, then another report elsewhere, and here the first one again: the other
    machines have the second one, and must be sent the first anew.
    """
    nodes = NodeRegistry(read_scale_file(str(write_file(tmp_path))), 0)
    for second in (0, 10):
        sent: list[object] = []
        nodes.on_poll(second * SECOND, "n1")
        nodes.on_report("n1", ("cart",), 0)
        nodes.send_changes(sent.append)
        assert NodeReports((NodeReport("n1", ("cart",)),)) in sent
        nodes.on_response(second * SECOND, "n1")
        nodes.on_time((second + 5) * SECOND)
