"""Polls the endpoint list and applies its updates.

Each row has an endpoint and its state; a complete list also removes all endpoints that it does
not contain. An endpoint that is removed or draining gets no new requests. The record of a
removed endpoint is deleted once it has nothing in flight: ids are never reused, so records
would accumulate.
"""

from __future__ import annotations

from collections.abc import Sequence

from loadbalancer.core.balancing import outlier_detection, rotation, slow_start
from loadbalancer.core.balancing.model import MS, Listing, Settings, State, Timer, Update
from loadbalancer.core.balancing.records import Endpoint
from loadbalancer.core.balancing.state import BalancerState
from loadbalancer.core.endpoints.poll_timing import poll_timings

# First polls are spread over at most `Settings.poll_within` divided by this.
FIRST_POLL_SPREAD_DIVISOR = 4
# First polls are spread over this time multiplied by the number of nodes, if that is less.
FIRST_POLL_SPREAD_PER_NODE_NS = 100 * MS


def schedule_first_poll(state: BalancerState, now: int) -> None:
    """Schedule the first poll at a random time, as the list service has a rate limit."""
    settings = state.settings
    spread = min(
        settings.poll_within // FIRST_POLL_SPREAD_DIVISOR,
        settings.nodes * FIRST_POLL_SPREAD_PER_NODE_NS,
    )
    state.actions.set_timer(Timer.LIST, now + state.random.randrange(1, spread + 2))


def poll(state: BalancerState) -> None:
    """Poll the list, unless a poll is already in progress."""
    if not state.polling:
        state.polling = True
        state.actions.watch()


def poll_failed(state: BalancerState, now: int) -> None:
    """Handle a failed poll: schedule the next one after a random pause."""
    state.polling = False
    state.log(now, "list call failed")
    pause = poll_timings(state.settings)
    due = now + state.random.randint(pause.min_pause, pause.max_pause)
    state.actions.set_timer(Timer.LIST, due)


def apply(state: BalancerState, now: int, update: Update, rows: Sequence[Listing]) -> None:
    """Apply the rows of an update; must not be called with Update.FAILED."""
    if update < Update.CACHED:
        state.polling = False
    if update in (Update.FULL, Update.CACHED):
        named = {row.backend for row in rows}
        for endpoint in state.endpoints.values():
            if endpoint.id not in named:
                endpoint.state = State.GONE
                rotation.update(state, endpoint)
    for row in rows:
        _apply_row(state, now, row)
    _forget_removed(state)


def _apply_row(state: BalancerState, now: int, row: Listing) -> None:
    settings = state.settings
    endpoint = state.endpoints.get(row.backend)
    if endpoint is None:
        if row.state == State.GONE:
            return
        endpoint = Endpoint(row, row.zone == settings.zone)
        state.endpoints[row.backend] = endpoint
        slow_start.mark_if_cold(settings, endpoint, now)
    else:
        _change(state, endpoint, row, settings)
    rotation.update(state, endpoint)


def _change(state: BalancerState, endpoint: Endpoint, row: Listing, settings: Settings) -> None:
    listed = row.state != State.GONE
    if listed and row.boot and row.boot != endpoint.boot:
        slow_start.mark_restarted(settings, endpoint, row.boot)
        if endpoint.ejected_until:
            outlier_detection.readmit(state, endpoint)
    endpoint.state = row.state
    if listed:
        endpoint.rating = row.rating if row.rating > 0 else 1.0
        endpoint.zone = row.zone
        endpoint.repeat_zone, endpoint.repeat_cell = row.repeat_zone, row.repeat_cell
        endpoint.local = row.zone == settings.zone


def _forget_removed(state: BalancerState) -> None:
    for endpoint in list(state.endpoints.values()):
        if endpoint.state == State.GONE and not endpoint.in_flight:
            if endpoint.ejected_until:
                outlier_detection.readmit(state, endpoint)
            del state.endpoints[endpoint.id]
