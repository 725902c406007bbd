"""The scale run on a small fleet, its referee against wrong steps, and its bad input."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgpack
import pytest

from benchmarks.scale.accepted import AcceptedChange, AcceptedServices
from benchmarks.scale.budget import Budget, BudgetError
from benchmarks.scale.referee import Referee
from benchmarks.scale.world import Sizes, World
from loadbalancer.control.machine.version import version_of
from loadbalancer.core.assignment.model import Position
from tests.harness import ROOT


def run(*words: str, wait: float = 60.0) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "benchmarks.scale", "run", *words]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=wait)


def test_a_small_fleet_through_the_loss_of_a_machine() -> None:
    sizes = ("--nodes", "20", "--backends", "60", "--services", "12", "--tenants", "24")
    # At 80 times the daily changes, on so few services that each is at a third of the nodes, a
    # node's bytes a second are over the bound whenever a phase is longer than the failover.
    more = ("--hosts", "1", "--seconds", "3", "--stretch", "1", "--multiple", "30", "--real", "1")
    done = run(*sizes, *more, "--hold", "1", "--phases", "killed")
    assert done.returncode == 0, done.stderr + done.stdout
    result = json.loads(done.stdout.splitlines()[-1])
    assert result["ok"]
    assert result["reached"] == ["cold start", "one killed"]
    assert result["referee"]["digests_checked"] > 0
    assert not result["referee"]["faults"]
    assert result["in_force"]["whole run"]["changes"] > 0
    assert result["control"]["one killed"]["alive"] == 5


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (("--nodes", "7"), "--nodes: [range] 7; write 8 to 20000"),
        (("--seed", "-1"), "--seed: [range] -1"),
        (("--backends", "100"), "--backends: [range] 100 for 4500 services"),
        (("--multiple", "nan"), "--multiple: [range] nan"),
        (("--memory-gb", "0.2"), "--memory-gb: [budget] 0.2"),
        (("--processes", "9"), "--processes: [budget] 9"),
        (("--memory-gb", "13"), "--memory-gb: [range] 13"),
        (("--phases", "steady,kiled"), "--phases: [unknown] 'kiled'; did you mean 'killed'?"),
        (("--every",), "--every: [range]"),
    ],
)
def test_bad_input_is_one_line_and_status_2(words: tuple[str, ...], said: str) -> None:
    done = run(*words)
    assert done.returncode == 2
    assert done.stdout == ""
    assert said in done.stderr
    assert done.stderr.count("\n") == 1


def test_a_budget_that_is_reached_names_what_was_reached() -> None:
    with pytest.raises(BudgetError, match=r"^memory: .* GB of 0\.00 GB"):
        Budget(1, 200).check()
    with pytest.raises(BudgetError, match=r"^processes: 1 of 0"):
        Budget(1 << 40, 0).check()


def test_a_world_is_the_same_for_the_same_seed_and_of_the_size_asked_for() -> None:
    sizes = Sizes(40, 500, 30, 0, 0)
    one, same, other = World(sizes, 1), World(sizes, 1), World(sizes, 2)
    assert sum(len(rows) for rows in one.backends.values()) == 500
    drawn = [one.change() for _ in range(200)]
    assert drawn == [same.change() for _ in range(200)]
    assert drawn != [other.change() for _ in range(200)]
    assert any(change.removed for change in drawn)
    assert any(row["state"] == "leaving" for change in drawn for row in change.rows)


# ---- the referee ----------------------------------------------------------------


def row(uid: str) -> dict[str, Any]:
    return {"uid": uid, "state": "active"}


@pytest.fixture
def accepted() -> AcceptedServices:
    """`cart` with a; b comes at 101 and a goes at 102."""
    found = AcceptedServices({"cart": {"a": row("a")}}, {"cart": "east"})
    found.begin("east", version_of(_position(100)))
    changes = [_change(101, rows=[row("b")]), _change(102, removed=["a"])]
    assert found.follow("east", {"changes": changes}) == 2
    return found


def _position(revision: int) -> Position:
    return Position(5, revision)


def _change(revision: int, rows: Any = (), removed: Any = ()) -> dict[str, Any]:
    bodies = [json.dumps(one) for one in rows]
    version = version_of(_position(revision))
    return {
        "version": version, "service": "cart", "rows": bodies, "removed": list(removed),
        "deleted": False, "whole": False,
    }  # fmt: skip


def judged(accepted: AcceptedServices, tmp_path: Path, *steps: list[Any]) -> Referee:
    path = tmp_path / "steps.msgpack"
    path.write_bytes(b"".join(msgpack.packb(step) for step in steps))
    referee = Referee(accepted, {1: "n1"})
    referee.read(path)
    return referee


def step(revision: int, digest: int, at: int, epoch: int = 5) -> list[Any]:
    return [1, "east", [epoch, revision], at, "APPLIED", [["cart", digest]]]


def test_steps_as_accepted_are_right_and_timed(accepted: AcceptedServices, tmp_path: Path) -> None:
    steps = [step(n, accepted.digest("cart", n), at) for n, at in ((100, 5), (101, 20), (102, 70))]
    referee = judged(accepted, tmp_path, *steps)
    assert not referee.verdict.counts
    assert referee.verdict.checked == 3
    delay = referee.delay(AcceptedChange("cart", "east", 102, 30, 25), 100)
    assert (delay.nodes, delay.max_ns, delay.missing) == (1, 40, 0)
    late = referee.delay(AcceptedChange("cart", "east", 103, 80, 75), 100)
    assert (late.nodes, late.missing) == (1, 1)


def test_half_a_change_is_told(accepted: AcceptedServices, tmp_path: Path) -> None:
    referee = judged(accepted, tmp_path, step(102, accepted.digest("cart", 101), 5))
    assert referee.verdict.counts == {"not as accepted": 1}


@pytest.mark.parametrize("back", [(100, 5), (102, 4)])
def test_a_step_back_is_told(
    accepted: AcceptedServices, tmp_path: Path, back: tuple[int, int]
) -> None:
    revision, epoch = back
    digest = accepted.digest("cart", revision)
    steps = [step(101, accepted.digest("cart", 101), 5), step(revision, digest, 9, epoch)]
    referee = judged(accepted, tmp_path, *steps)
    assert referee.verdict.counts["went back"] == 1


def test_a_node_that_begins_anew_may_begin_anywhere(
    accepted: AcceptedServices, tmp_path: Path
) -> None:
    down = [1, "", [0, 0], 7, "DOWN", []]
    steps = [
        step(102, accepted.digest("cart", 102), 5),
        down,
        step(100, accepted.digest("cart", 100), 9),
    ]
    referee = judged(accepted, tmp_path, *steps)
    assert not referee.verdict.counts
