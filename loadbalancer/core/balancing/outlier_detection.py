"""Takes failing endpoints out of rotation and returns them.

Four measures, depending on what was observed:
- Back-off: a short pause after a rejection, an error or a lost connection, doubled with each
  consecutive one. An endpoint that rejects requests responds immediately, so it always has the
  fewest requests in flight and would attract all traffic.
- Unresponsive: the endpoint has requests in flight and has not responded for
  MAX_SILENCE_MEAN_LATENCIES mean latencies. It gets no further request until it responds, or until
  its last attempt has ended and it is probed.
- Ejection: after consecutive failures without a response in between. It lasts
  `Endpoint.next_ejection_ns`, which is doubled each time. At most half of the ready endpoints are
  ejected at once: an apparent loss of most of them is more likely a fault of this node or its
  network.
- Probing: an endpoint that returns gets one request at a time until it responds.

Inputs: outcomes and durations of this node's attempts (`record_success`, `record_failure`), and
reports of other nodes (`on_load_report`, `on_peer_report`), which never end an attempt. Times are
nanoseconds.
"""

from __future__ import annotations

from collections.abc import Sequence

from loadbalancer.core.balancing import latency, rotation
from loadbalancer.core.balancing.model import SECOND, Outcome, ReportedState, State
from loadbalancer.core.balancing.records import FIRST_EJECTION_NS, ClassState, Endpoint
from loadbalancer.core.balancing.state import BalancerState

# An endpoint is unresponsive after this multiple of the slowest class's mean latency.
MAX_SILENCE_MEAN_LATENCIES = 6.0
# Consecutive failures that eject an endpoint which has not responded since the failed send.
MAX_SILENT_FAILURES = 3
# Consecutive failures that eject an endpoint if the last one is a lost connection.
MAX_LOST_FAILURES = 4
MAX_ERRORS = 3  # consecutive errors after which an endpoint backs off
MAX_BACKOFF_NS = 2 * SECOND
MAX_BACKOFF_DOUBLINGS = 6
MAX_EJECTION_NS = 8 * SECOND
# A response with at most this latency ratio ends the send spacing of a cold endpoint.
SLOW_RATIO = 1.5
# Gain per load report of the moving average of an endpoint's latency ratio.
LOAD_REPORT_GAIN = 0.3
MIN_LATENCY_RATIO, MAX_LATENCY_RATIO = 0.1, 10.0  # bounds of a reported latency ratio
FAILED_LOAD_COST = 4.0  # load cost of an endpoint that rejected or failed a request
UNANSWERED_LOAD_COST = 6.0  # load cost of an endpoint that did not respond

FULL, ERROR, TIMEOUT = Outcome.FULL, Outcome.ERROR, Outcome.TIMEOUT
CONNECT_FAILED, RESET = Outcome.CONNECT_FAILED, Outcome.RESET


def silence_limit(state: BalancerState) -> float:
    """How long an endpoint with requests in flight may go without a response, in ns."""
    return MAX_SILENCE_MEAN_LATENCIES * max(c.latency for c in state.classes)


def record_success(
    state: BalancerState,
    now: int,
    request_class: ClassState,
    endpoint: Endpoint,
    duration: int,
    load: Sequence[float],
) -> None:
    """Record a successful attempt; `load` is the endpoint's load report, by `load_columns`."""
    ratio = latency.record(state, request_class, endpoint, duration)
    endpoint.load_cost = 0.5 * endpoint.latency_ratio + 0.5 * ratio
    if 0 <= state.queue_column < len(load):
        endpoint.load_cost = endpoint.latency_ratio * (1.0 + max(load[state.queue_column], 0.0))
    record_answer(now, endpoint)
    endpoint.consecutive_rejections = endpoint.consecutive_errors = 0
    endpoint.probing = False
    endpoint.next_ejection_ns = FIRST_EJECTION_NS
    if endpoint.cold_until > now and state.queued and ratio <= SLOW_RATIO:
        # Requests are queued and it responds fast: its few slots limit it enough without spacing.
        endpoint.backoff_until = now


def record_failure(
    state: BalancerState,
    now: int,
    request_class: ClassState,
    endpoint: Endpoint,
    outcome: int,
    duration: int,
) -> None:
    """Record an attempt that ended with an outcome other than OK."""
    if outcome in (FULL, ERROR):
        # Both are responses: the endpoint is alive.
        endpoint.load_cost = FAILED_LOAD_COST
        record_answer(now, endpoint)
        if outcome == FULL:
            state.rejections += 1
            endpoint.consecutive_rejections += 1
            back_off(state, now, request_class, endpoint, endpoint.consecutive_rejections)
        else:
            endpoint.consecutive_errors += 1
            step = endpoint.consecutive_errors + 1 - MAX_ERRORS
            back_off(state, now, request_class, endpoint, step)
    elif outcome in (TIMEOUT, CONNECT_FAILED, RESET):
        _record_no_response(state, now, request_class, endpoint, outcome, duration)
    if endpoint.unresponsive and not endpoint.in_flight:
        # With nothing in flight no response can clear the flag: probe the endpoint instead.
        endpoint.unresponsive = False
        endpoint.probing = True


def _record_no_response(
    state: BalancerState,
    now: int,
    request_class: ClassState,
    endpoint: Endpoint,
    outcome: int,
    duration: int,
) -> None:
    endpoint.load_cost = UNANSWERED_LOAD_COST
    endpoint.last_seen = now
    if outcome == TIMEOUT:
        # If only responses were recorded, congestion would look like light load.
        objective = request_class.latency_objective
        latency.record(state, request_class, endpoint, max(duration, objective))
        # A silent endpoint's time-outs count once: congestion causes some at many endpoints.
        state.timeouts += not endpoint.consecutive_failures
    endpoint.consecutive_failures += 1
    endpoint.connect_failed = outcome == CONNECT_FAILED
    # A single lost connection is weak evidence: if the process has ended, the next one fails as
    # well. So is a single time-out, which load may cause: at one slot it looks like silence.
    connection_lost = outcome in (CONNECT_FAILED, RESET)
    failures = endpoint.consecutive_failures
    silent = failures >= MAX_SILENT_FAILURES and now - endpoint.silent_since >= duration
    if silent or (connection_lost and failures >= MAX_LOST_FAILURES):
        eject(
            state,
            now,
            endpoint,
            connection_lost=connection_lost,
            restarted=outcome == CONNECT_FAILED,
        )
    elif connection_lost:
        # Short after random failures; grows while all connections fail.
        back_off(state, now, request_class, endpoint, failures - 1)


def mark_unresponsive(state: BalancerState, endpoint: Endpoint) -> None:
    """Take an endpoint out of rotation until it responds or is probed."""
    endpoint.unresponsive = True
    rotation.update(state, endpoint)


def record_answer(now: int, endpoint: Endpoint) -> None:
    """Record that an endpoint is alive: it has responded, even if with an error."""
    endpoint.last_seen = endpoint.silent_since = now
    endpoint.unresponsive = False
    endpoint.consecutive_failures = 0


def back_off(
    state: BalancerState, now: int, request_class: ClassState, endpoint: Endpoint, step: int
) -> None:
    """Pause sends to an endpoint for about a mean latency, doubled `step` - 1 times.

    Does nothing if `step` is below 1. Jitter keeps nodes from resuming at the same time.
    """
    if step < 1:
        return
    backoff_ns = int(request_class.latency * (0.5 + state.random.random()))
    backoff_ns <<= min(step - 1, MAX_BACKOFF_DOUBLINGS)
    endpoint.backoff_until = max(endpoint.backoff_until, now + min(backoff_ns, MAX_BACKOFF_NS))
    state.wake(endpoint.backoff_until, endpoint)


def eject(
    state: BalancerState, now: int, endpoint: Endpoint, connection_lost: bool, restarted: bool
) -> None:
    """Take a silent or unreachable endpoint out of rotation; at most half of the ready ones.

    `connection_lost`: a connection was lost, as opposed to missing responses. `restarted`: the
    process may have been replaced by the time the endpoint returns, which the list may show only
    later: it returns cold.
    """
    if endpoint.ejected_until or (state.ejected + 1) * 2 > state.ready:
        return
    endpoint.ejected_until = now + endpoint.next_ejection_ns
    endpoint.next_ejection_ns = min(endpoint.next_ejection_ns * 2, MAX_EJECTION_NS)
    if restarted:
        endpoint.cold_until = endpoint.ejected_until + state.settings.cold
    reason = "connection failed or reset" if connection_lost else "no answer since the send"
    state.log(now, f"backend {endpoint.id} out: {reason}")
    state.ejected += 1
    state.wake(endpoint.ejected_until, endpoint)
    rotation.update(state, endpoint)


def readmit(state: BalancerState, endpoint: Endpoint) -> None:
    """End an ejection; the endpoint is probed."""
    endpoint.ejected_until = 0
    endpoint.unresponsive = False
    endpoint.probing = True
    state.ejected -= 1
    rotation.update(state, endpoint)


def on_wake(state: BalancerState, now: int, endpoint: Endpoint) -> None:
    """End the endpoint's ejection or back-off if it is over by `now`."""
    if endpoint.ejected_until and endpoint.ejected_until <= now:
        readmit(state, endpoint)
    else:
        rotation.update(state, endpoint)


def on_load_report(
    state: BalancerState, now: int, backend: int, ratio: float, failing: bool
) -> None:
    """Apply a load report on an endpoint.

    `ratio` is its latency relative to the fleet's. A failing endpoint is ejected, unless
    half of the ready ones already are.
    """
    endpoint = state.endpoints.get(backend)
    if endpoint is None:
        return
    bounded = min(max(ratio, MIN_LATENCY_RATIO), MAX_LATENCY_RATIO)
    endpoint.latency_ratio += LOAD_REPORT_GAIN * (bounded - endpoint.latency_ratio)
    if failing:
        eject(state, now, endpoint, connection_lost=True, restarted=False)


def on_peer_report(
    state: BalancerState,
    now: int,
    backend: int,
    reported: ReportedState | None,
    ratio: float,
    restarted: bool,
) -> None:
    """Apply what other nodes' attempts show about an endpoint; None retracts it."""
    endpoint = state.endpoints.get(backend)
    if endpoint is None or endpoint.state != State.READY:
        return
    endpoint.reported_ratio = ratio if reported == ReportedState.SLOW else 1.0
    if reported == ReportedState.FULL:
        back_off(state, now, state.classes[0], endpoint, 1)
    elif reported == ReportedState.SILENT:
        eject(state, now, endpoint, connection_lost=True, restarted=restarted)
        if endpoint.ejected_until and not endpoint.consecutive_failures:
            # The nodes whose attempts failed probe it on behalf of all: here it stays ejected
            # until they report.
            endpoint.ejected_until = max(endpoint.ejected_until, now + FIRST_EJECTION_NS)
            state.wake(endpoint.ejected_until, endpoint)
    elif reported is None and endpoint.ejected_until and not endpoint.consecutive_failures:
        readmit(state, endpoint)  # unless this node's own attempts have failed
    endpoint.probing = endpoint.probing or reported == ReportedState.SUSPECTED
    rotation.update(state, endpoint)
