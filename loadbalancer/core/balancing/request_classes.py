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
    current = {
        class_state.spec.name: class_state
        for class_state in state.classes
        if not class_state.retires_at
    }
    classes = []
    for spec in settings.classes:
        class_state = current.get(spec.name)
        if class_state is None or class_state.spec != spec:
            new_state = ClassState(0, spec, len(settings.tenants))
            if class_state is not None:
                new_state.copy_averages(class_state)
            class_state = new_state
        classes.append(class_state)
    for class_state in state.classes:
        if class_state not in classes:
            class_state.retires_at = class_state.retires_at or now + RETIRE_AFTER_NS
            class_state.arrivals = 0.0
            classes.append(class_state)
    _renumber(state, classes)


def drop_retired(state: BalancerState, now: int) -> None:
    """Remove the retired classes that have no requests queued or in flight."""
    remaining = [
        class_state
        for class_state in state.classes
        if not class_state.retires_at
        or now < class_state.retires_at
        or class_state.has_queued()
        or class_state.in_flight
    ]
    if len(remaining) < len(state.classes):
        _renumber(state, remaining)


def _renumber(state: BalancerState, classes: list[ClassState]) -> None:
    """Make `classes` the list of classes, renumber them, and keep their congestion samples."""
    sums = {
        id(class_state): (
            state.congestion_sum[class_state.number],
            state.congestion_samples[class_state.number],
        )
        for class_state in state.classes
    }
    for class_state in state.classes:
        class_state.number = -1
    state.classes = classes
    state.congestion_sum, state.congestion_samples = [], []
    for number, class_state in enumerate(classes):
        class_state.number = number
        congestion, samples = sums.get(id(class_state), (0.0, 0.0))
        state.congestion_sum.append(congestion)
        state.congestion_samples.append(samples)
    state.turn = state.remaining_in_turn = 0


def find(state: BalancerState, now: int, name: str, safe: bool, keyed: bool) -> ClassState | None:
    """The class with the name given by a client, or None.

    If the class has just changed, the request's method and idempotency key show which of the
    two versions the client means.
    """
    first = None
    for class_state in state.classes:
        if class_state.spec.name == name and (
            not class_state.retires_at or now < class_state.retires_at
        ):
            effect = class_state.effect
            if safe == (effect == Effect.PURE) and (keyed or effect != Effect.TOKEN):
                return class_state
            first = first or class_state
    return first
