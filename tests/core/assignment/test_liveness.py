"""Liveness of nodes: the heartbeat timeout, the recovery time, and flap damping."""

from __future__ import annotations

import pytest

from loadbalancer.core.assignment.liveness import Liveness, LivenessChange, LivenessRules
from loadbalancer.core.assignment.model import InvalidInputError
from loadbalancer.core.balancing.model import MS, SECOND

RULES = LivenessRules(
    timeout_ns=3 * SECOND,
    recovery_time_ns=5 * SECOND,
    max_recovery_time_ns=60 * SECOND,
    flap_memory_ns=600 * SECOND,
)
STEP = 500 * MS
NO_CHANGE = LivenessChange((), ())


class Run:
    """One node with or without heartbeats, checked every half second."""

    def __init__(self) -> None:
        self.now = 0
        self.liveness = Liveness(0, ["n", "other"], RULES)

    def until(self, expected: LivenessChange, heartbeats: bool, limit: int = 120 * SECOND) -> int:
        """Return how long it takes until this change occurs; any other change is an error."""
        start = self.now
        while self.now - start <= limit:
            self.now += STEP
            self.liveness.on_heartbeat(self.now, "other")
            if heartbeats:
                self.liveness.on_heartbeat(self.now, "n")
            change = self.liveness.advance(self.now)
            if change == expected:
                return self.now - start
            assert change == NO_CHANGE
        raise AssertionError(f"no {expected} within {limit} ns")

    def die(self) -> int:
        return self.until(LivenessChange(("n",), ()), heartbeats=False)

    def come_back(self) -> int:
        return self.until(LivenessChange((), ("n",)), heartbeats=True)

    def stay_alive(self, span: int) -> None:
        for _ in range(span // STEP):
            self.now += STEP
            self.liveness.on_heartbeat(self.now, "other")
            self.liveness.on_heartbeat(self.now, "n")
            assert self.liveness.advance(self.now) == NO_CHANGE


def test_all_nodes_count_as_alive_at_first_and_die_without_heartbeats() -> None:
    run = Run()
    assert run.liveness.alive == {"n", "other"}
    assert run.die() == RULES.timeout_ns
    assert run.liveness.alive == {"other"}


def test_a_gap_shorter_than_the_timeout_is_no_death() -> None:
    liveness = Liveness(0, ["n"], RULES)
    for now in range(0, 60 * SECOND, RULES.timeout_ns - 1):
        assert liveness.advance(now) == NO_CHANGE
        liveness.on_heartbeat(now, "n")


def test_a_node_counts_as_alive_again_only_after_the_recovery_time() -> None:
    run = Run()
    run.die()
    assert run.come_back() == RULES.recovery_time_ns + STEP  # from its first heartbeat on
    assert run.liveness.alive == {"n", "other"}


def test_a_gap_during_the_recovery_time_restarts_it() -> None:
    run = Run()
    run.die()
    run.stay_alive(4 * SECOND)
    run.now += RULES.timeout_ns
    run.liveness.on_heartbeat(run.now, "other")
    assert run.liveness.advance(run.now) == NO_CHANGE
    assert run.come_back() == RULES.recovery_time_ns + STEP


def test_the_recovery_time_doubles_up_to_a_maximum() -> None:
    """A node dies and returns again and again. Without damping it moves its services each time."""
    run = Run()
    waits = []
    for _ in range(8):
        run.die()
        waits.append((run.come_back() - STEP) // SECOND)
    assert waits == [5, 10, 20, 40, 60, 60, 60, 60]


def test_the_recovery_time_is_reset_after_a_long_time_alive() -> None:
    run = Run()
    for _ in range(4):
        run.die()
        run.come_back()
    run.stay_alive(RULES.flap_memory_ns)
    run.die()
    assert run.come_back() == RULES.recovery_time_ns + STEP


def test_the_loss_and_the_return_of_a_rack_are_one_change_each() -> None:
    """A rack loses power for 7 s. Each change of the set of living nodes moves services."""
    rack = [f"n{number:02}" for number in range(40)]
    liveness = Liveness(0, [*rack, "other"], RULES)
    changes = []
    for now in range(0, 40 * SECOND, STEP):
        liveness.on_heartbeat(now, "other")
        if not 5 * SECOND <= now < 12 * SECOND:
            for node in rack:
                liveness.on_heartbeat(now, node)
        if (change := liveness.advance(now)) != NO_CHANGE:
            changes.append(change)
    assert changes == [LivenessChange(tuple(rack), ()), LivenessChange((), tuple(rack))]


def test_a_late_heartbeat_does_not_replace_a_newer_one() -> None:
    """A heartbeat from one second ago is processed after a newer one, as from another machine."""
    run = Run()
    run.stay_alive(10 * SECOND)
    assert run.liveness.on_heartbeat(run.now - SECOND, "n")
    assert run.die() == RULES.timeout_ns


def test_heartbeats_of_unregistered_nodes_are_ignored() -> None:
    liveness = Liveness(0, ["n"], RULES)
    assert not liveness.on_heartbeat(1, "x")
    assert liveness.on_heartbeat(1, "n")
    assert liveness.alive == {"n"}


@pytest.mark.parametrize(
    ("rules", "message"),
    [
        ({"timeout_ns": 0}, "timeout_ns is 0, must be greater than 0"),
        ({"recovery_time_ns": -1}, "recovery_time_ns must be between 0 and max_recovery_time_ns"),
        (
            {"recovery_time_ns": 2, "max_recovery_time_ns": 1},
            "recovery_time_ns must be between 0 and max_recovery_time_ns",
        ),
        ({"flap_memory_ns": -1}, "flap_memory_ns is -1, must not be negative"),
    ],
)
def test_rules_out_of_range_are_refused(rules: dict[str, int], message: str) -> None:
    with pytest.raises(InvalidInputError, match=f"liveness: {message}"):
        LivenessRules(**rules)
