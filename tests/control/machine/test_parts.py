"""Pieces of a control process by themselves: answers' form, messages' bytes, presence, sources."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from loadbalancer.control.machine.backends import read_backends
from loadbalancer.control.machine.file import read_scale
from loadbalancer.control.machine.list_form import ListFormError, NodeAssignment, decode, encode
from loadbalancer.control.machine.nodes import RELEASE_RULES, NodeRegistry
from loadbalancer.control.machine.version import version_of
from loadbalancer.core.assignment.model import (
    Change,
    Delta,
    InvalidInputError,
    Position,
    Snapshot,
    Update,
)
from loadbalancer.core.assignment.presence import Presence
from loadbalancer.core.assignment.release import NodeRelease, ReleaseAuthority, ReleaseGrant
from loadbalancer.core.balancing.model import SECOND
from tests.control_machines import row, write_file

AT, LATER = Position(3, 7), Position(3, 9)


UPDATES: list[Update] = [
    Delta("east", AT, LATER, ()),
    Delta(
        "east",
        AT,
        LATER,
        (
            Change(Position(3, 8), "cart", (row("a"), row("b", "leaving")), ("c",)),
            Change(LATER, "pay", deleted=True, complete=True),
            Change(LATER, "new", (row("d"),), complete=True),
        ),
    ),
    Snapshot("east", LATER, {"cart": {"a": row("a")}, "empty": {}}),
]


@pytest.mark.parametrize("update", UPDATES)
def test_an_update_comes_back_from_the_lists_form(update: Update) -> None:
    orders = NodeAssignment({"cart": "east", "far": "west"}, frozenset({"old"}), 4)
    body = encode(update, orders)
    raw = json.loads(body)
    assert raw["rev"] == version_of(LATER) and raw["all"] is isinstance(update, Snapshot)
    assert {one["uid"] for one in raw["targets"]} <= {"a", "b", "c", "d"}
    found = decode(body, 10)
    assert (found.update, found.assignment, found.position) == (update, orders, LATER)
    assert decode(encode(update, None), 10).assignment is None


@pytest.mark.parametrize(
    "raw",
    [
        b"{", b"[]", b"{}", b'{"rev": -1}', b'{"rev": "1"}', b'{"rev": 1e99}',
        b'{"rev": 1, "all": false, "targets": [], "changes": [["s", 1, 1, 0, false, false]]}',
        b'{"rev": 1, "all": false, "targets": [{}], "region": "e", "from": 0, "changes": []}',
        b'{"rev": 1, "all": true, "targets": [{}], "region": "e",'
        b' "changes": [["s", 1, 1, 0, false, true]]}',
        b'{"rev": 1, "wanted": {"e": ["a", "b", "c"]}, "releasable": [], "generation": 1}',
        b'{"rev": 1, "wanted": {"e": [1]}, "releasable": [], "generation": 1}',
    ],
)  # fmt: skip
def test_what_is_no_answer_is_refused(raw: bytes) -> None:
    with pytest.raises(ListFormError):
        decode(raw, 2)


def test_losses_that_follow_one_another_move_services_once(tmp_path: Path) -> None:
    nodes = NodeRegistry(read_scale(str(write_file(tmp_path))), 0)
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


def test_a_machine_that_stood_still_or_is_cut_off_holds_no_node_for_dead(tmp_path: Path) -> None:
    nodes = NodeRegistry(read_scale(str(write_file(tmp_path))), 0)
    both = ("n1", "n2")
    others = [Presence(both), Presence(both)]
    others[0].on_present("n1")
    others[1].on_present("n2")

    def turn(second: int, heard: tuple[str, ...] = ("east-b", "east-c")) -> None:
        for name, other in zip(("east-b", "east-c"), others, strict=True):
            if name in heard:
                nodes.on_presence(second * SECOND, name, other.next_update())
                nodes.on_presence(second * SECOND, name, other.complete_update())
        nodes.on_time(second * SECOND)

    for second in range(1, 40):
        turn(second)
    # It was stopped: what it has not heard meanwhile it could not hear. One machine's word comes
    # before its own timer does, the other's after.
    turn(60, heard=("east-b",))
    assert nodes.liveness.alive == set(both)
    for second in range(61, 70):
        turn(second)
    assert nodes.liveness.alive == set(both)
    for second in range(70, 120):
        turn(second, heard=())  # it hears no other machine, and no node
    assert nodes.liveness.alive == set(both)
    others[0].on_absent("n1")
    for second in range(120, 180):
        turn(second)
    assert nodes.liveness.alive == {"n2"}


def test_nodes_have_time_to_ask_for_the_first_time_and_none_after(tmp_path: Path) -> None:
    nodes = NodeRegistry(read_scale(str(write_file(tmp_path))), 0)

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


def test_waiting_nodes_are_told_when_a_grant_comes_and_when_it_ends(tmp_path: Path) -> None:
    file = read_scale(str(write_file(tmp_path)))
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


def test_the_source_of_a_lost_log_names_its_bad_line(tmp_path: Path) -> None:
    path = tmp_path / "backends.jsonl"
    good = {"service": "cart", "targets": [{"uid": "a", "state": "leaving"}]}
    path.write_text(json.dumps(good) + "\n" + json.dumps({"service": "far", "targets": []}) + "\n")
    found = read_backends(path, ["cart", "pay"])
    assert [one.uid for one in found["cart"]] == ["a"] and found["cart"][0].draining
    assert found["pay"] == () and "far" not in found
    path.write_text(json.dumps(good) + "\n" + '{"service": "pay", "targets": [{}]}\n')
    with pytest.raises(InvalidInputError, match=r"^backends.jsonl:2: \[bad-row\]"):
        read_backends(path, ["cart", "pay"])
    with pytest.raises(InvalidInputError, match=r"\[unreadable\]"):
        read_backends(tmp_path / "none", ["cart"])
