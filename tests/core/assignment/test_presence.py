"""Which nodes poll at which machine, by the machines' updates."""

from __future__ import annotations

from loadbalancer.core.assignment.presence import Presence
from loadbalancer.core.balancing.model import SECOND


def test_presence_follows_the_other_machines_updates() -> None:
    """A machine misses an update, and later falls silent. Nodes that are counted as present by an
    old update would count as alive for ever.
    """
    here, there = Presence(["n1", "n2", "n3"]), Presence(["n1", "n2", "n3"])
    there.on_present("n1")
    there.on_present("nobody")
    assert here.on_update(0, "b", there.complete_update())
    assert here.present_nodes() == set()
    assert here.on_update(0, "b", there.next_update())
    assert here.present_nodes() == {"n1"}
    there.on_absent("n1")
    there.on_present("n2")
    missed = there.next_update()
    there.on_present("n3")
    assert not here.on_update(0, "b", there.next_update()), "one before it is missing"
    assert here.present_nodes() == {"n1"}
    assert here.on_update(0, "b", there.complete_update())
    assert here.present_nodes() == {"n2", "n3"}
    assert missed.joined == ("n2",)
    assert missed.departed == ("n1",)
    assert here.live_machines(SECOND) == {"b"}
    here.expire_machines(4 * SECOND)
    assert here.present_nodes() == set()
    assert here.live_machines(4 * SECOND) == set()
    assert not here.on_update(4 * SECOND, "b", there.next_update()), "a complete one is needed"
