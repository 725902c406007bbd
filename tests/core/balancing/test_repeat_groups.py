"""Where the repeat of a keyed request may go: an unknown group is none."""

from __future__ import annotations

import pytest

from loadbalancer.core import Effect, Listing, Outcome, RequestClass, Scope, Settings, State, Update
from loadbalancer.core.balancing.balancer import Balancer
from loadbalancer.core.balancing.model import MS, SECOND
from tests.recording_host import Host

UNSET = Listing(0, State.READY)
FIRST, OTHER = 100, 101


def send_first(scope: Scope, row: Listing, other: Listing | None = None) -> tuple[Balancer, Host]:
    """A Balancer with two endpoints; a keyed request has been sent to FIRST."""
    keyed = RequestClass("keyed", 200 * MS, SECOND, Effect.TOKEN, scope, SECOND)
    host = Host()
    balancer = Balancer(Settings(classes=(keyed,), max_attempts=4), 1, host)
    balancer.start(0)
    balancer.on_members(0, Update.FULL, [row._replace(backend=FIRST)])
    balancer.on_request(MS, 1, 0, SECOND)
    listed = (other or row)._replace(backend=OTHER)
    balancer.on_members(2 * MS, Update.DELTA, [listed])
    assert sent_to(host) == [FIRST]
    return balancer, host


def sent_to(host: Host) -> list[object]:
    return [call[2] for call in host.named("send")]


@pytest.mark.parametrize(
    ("scope", "row"),
    [
        (Scope.CELL, UNSET._replace(cell_is_known=False)),
        (Scope.ZONE, UNSET._replace(zone_is_known=False)),
    ],
)
@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT])
def test_what_may_have_been_executed_in_an_unknown_group_is_not_repeated(
    scope: Scope, row: Listing, outcome: Outcome
) -> None:
    """No source told the servers' cells, and all of them were taken for one.

    The repeat reached a server of another cell, which did not know the key, and had its effect a
    second time.
    """
    balancer, host = send_first(scope, row)
    balancer.on_outcome(5 * MS, 1, 0, outcome, 4 * MS, False)
    assert sent_to(host) == [FIRST]
    assert host.named("fail") == [("fail", 1)]
    assert not host.named("refuse")


def test_an_endpoint_of_an_unknown_cell_is_in_no_known_one() -> None:
    balancer, host = send_first(Scope.CELL, UNSET, UNSET._replace(cell_is_known=False))
    balancer.on_outcome(5 * MS, 1, 0, Outcome.RESET, 4 * MS, False)
    assert sent_to(host) == [FIRST, FIRST]


@pytest.mark.parametrize(
    ("scope", "row"),
    [
        (Scope.CELL, UNSET._replace(zone_is_known=False)),
        (Scope.ZONE, UNSET._replace(cell_is_known=False)),
        (Scope.ALL, UNSET._replace(zone_is_known=False, cell_is_known=False)),
    ],
)
def test_only_the_group_of_the_class_has_to_be_known(scope: Scope, row: Listing) -> None:
    balancer, host = send_first(scope, row)
    balancer.on_outcome(5 * MS, 1, 0, Outcome.RESET, 4 * MS, False)
    assert sent_to(host) == [FIRST, OTHER]


def test_an_attempt_that_certainly_did_not_run_is_repeated_anywhere() -> None:
    balancer, host = send_first(Scope.CELL, UNSET._replace(cell_is_known=False))
    balancer.on_outcome(5 * MS, 1, 0, Outcome.FULL, 4 * MS, False)
    assert sent_to(host) == [FIRST, OTHER]


def test_a_repeat_does_not_begin_at_an_endpoint_that_has_moved_to_another_cell() -> None:
    """It moves while the connection for the repeat is being established."""
    balancer, host = send_first(Scope.CELL, UNSET)
    balancer.on_outcome(5 * MS, 1, 0, Outcome.RESET, 4 * MS, False)
    assert sent_to(host) == [FIRST, OTHER]
    assert balancer.may_begin(6 * MS, 1, 1)
    balancer.on_members(7 * MS, Update.DELTA, [Listing(OTHER, State.READY, cell=5)])
    assert not balancer.may_begin(8 * MS, 1, 1)
