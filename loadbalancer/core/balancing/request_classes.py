"""Replaces the request classes when the settings change while requests are open.

A class with unchanged settings keeps its state. A changed class gets a new state that starts
with the old one's averages. The old state, like that of a removed class, is retired: it
finishes its requests under its own rules, and new requests may still use it for
RETIRE_AFTER_NS, as clients may not know of the change yet.
"""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND, Effect, Settings
from loadbalancer.core.balancing.records import ClassState
from loadbalancer.core.balancing.state import BalancerState

RETIRE_AFTER_NS = 2 * SECOND


def replace(state: BalancerState, now: int, settings: Settings) -> None:
    """Switch to the classes of new settings."""
    current = {c.spec.name: c for c in state.classes if not c.retires_at}
    classes = []
    for spec in settings.classes:
        c = current.get(spec.name)
        if c is None or c.spec != spec:
            fresh = ClassState(0, spec, len(settings.tenants))
            if c is not None:
                fresh.copy_averages(c)
            c = fresh
        classes.append(c)
    for c in state.classes:
        if c not in classes:
            c.retires_at = c.retires_at or now + RETIRE_AFTER_NS
            c.arrivals = 0.0
            classes.append(c)
    _renumber(state, classes)


def drop_retired(state: BalancerState, now: int) -> None:
    """Remove the retired classes that have no requests queued or in flight."""
    remaining = [
        c
        for c in state.classes
        if not c.retires_at or now < c.retires_at or c.has_queued() or c.in_flight
    ]
    if len(remaining) < len(state.classes):
        _renumber(state, remaining)


def _renumber(state: BalancerState, classes: list[ClassState]) -> None:
    """Make `classes` the list of classes, renumber them, and keep their congestion samples."""
    sums = {
        id(c): (state.congestion_sum[c.number], state.congestion_samples[c.number])
        for c in state.classes
    }
    for c in state.classes:
        c.number = -1
    state.classes = classes
    state.congestion_sum, state.congestion_samples = [], []
    for number, c in enumerate(classes):
        c.number = number
        congestion, samples = sums.get(id(c), (0.0, 0.0))
        state.congestion_sum.append(congestion)
        state.congestion_samples.append(samples)
    state.turn = state.remaining_in_turn = 0


def find(state: BalancerState, now: int, name: str, safe: bool, keyed: bool) -> ClassState | None:
    """The class with the name given by a client, or None.

    If the class has just changed, the request's method and idempotency key show which of the
    two versions the client means.
    """
    first = None
    for c in state.classes:
        if c.spec.name == name and (not c.retires_at or now < c.retires_at):
            effect = c.effect
            if safe == (effect == Effect.PURE) and (keyed or effect != Effect.TOKEN):
                return c
            first = first or c
    return first
