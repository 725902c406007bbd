"""Presence of nodes at control machines, according to the machines' updates."""

from __future__ import annotations

from loadbalancer.core.assignment.presence import Presence
from loadbalancer.core.balancing.model import SECOND


def test_presence_follows_the_other_machines_updates() -> None:
    """An update of another machine is lost, and later that machine stops sending.

    If nodes stayed present by an old update, they would count as alive permanently.
    """
    receiver, sender = Presence(["n1", "n2", "n3"]), Presence(["n1", "n2", "n3"])
    sender.on_present("n1")
    sender.on_present("nobody")
    assert receiver.on_update(0, "b", sender.complete_update())
    assert receiver.present_nodes() == set()
    assert receiver.on_update(0, "b", sender.next_update())
    assert receiver.present_nodes() == {"n1"}
    sender.on_absent("n1")
    sender.on_present("n2")
    missed = sender.next_update()
    sender.on_present("n3")
    assert not receiver.on_update(0, "b", sender.next_update()), "an update before it is missing"
    assert receiver.present_nodes() == {"n1"}
    assert receiver.on_update(0, "b", sender.complete_update())
    assert receiver.present_nodes() == {"n2", "n3"}
    assert missed.joined == ("n2",)
    assert missed.departed == ("n1",)
    assert receiver.live_machines(SECOND) == {"b"}
    receiver.expire_machines(4 * SECOND)
    assert receiver.present_nodes() == set()
    assert receiver.live_machines(4 * SECOND) == set()
    assert not receiver.on_update(
        4 * SECOND, "b", sender.next_update()
    ), "a complete update is needed"
