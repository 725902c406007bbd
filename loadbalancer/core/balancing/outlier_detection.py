"""Which endpoints are taken out of rotation, for how long, and how they return.

Four measures, by what was observed:
- Back-off, short: after a rejection, an error or a lost connection. An endpoint
  that rejects answers at once, so it always has the fewest requests in flight and
  would attract all requests. Doubles with each consecutive one.
- Unresponsive: requests in flight and no answer for SILENCE_LATENCIES mean
  latencies. Gets no further request until it answers, or until the last of its
  attempts has ended: then it is probed.
- Ejection: consecutive failures without an answer between. Lasts `Endpoint.backoff`,
  doubled each time. Never more than half of the ready endpoints at once: what looks
  like the loss of most of them is more likely a fault of this node or its network.
- Probing: an endpoint that returns gets one request at a time until it answers.

Inputs: outcomes and durations of this node's attempts (`record_success`, `record_failure`), and
what other nodes report (`on_load_report`, `on_peer_report`), which ends no attempt.
Times are nanoseconds.
"""

from __future__ import annotations

from collections.abc import Sequence

from loadbalancer.core.balancing import latency, rotation
from loadbalancer.core.balancing.model import SECOND, Outcome, ReportedState, State
from loadbalancer.core.balancing.records import FIRST_EJECTION_NS, ClassState, Endpoint
from loadbalancer.core.balancing.state import BalancerState

SILENCE_LATENCIES = 6.0  # of the slowest class, without an answer while requests are in flight
MAX_SILENT_FAILURES = 3  # consecutive failures without an answer that eject an endpoint
MAX_LOST_FAILURES = 4  # the same where the last of them is a lost connection
MAX_ERRORS = 3  # consecutive errors from which on an endpoint backs off
MAX_BACKOFF_NS = 2 * SECOND
MAX_BACKOFF_DOUBLINGS = 6
MAX_EJECTION_NS = 8 * SECOND
SLOW_RATIO = 1.5  # latency ratio of an answer up to which a cold endpoint's send spacing is lifted
REPORT_GAIN = 0.3  # gain of one load report in an endpoint's averaged latency ratio
MIN_RATIO, MAX_RATIO = 0.1, 10.0  # bounds of a reported ratio
FAILED_LOAD_COST = 4.0  # the load cost of an endpoint that rejected or failed a request
UNANSWERED_LOAD_COST = 6.0  # the load cost of one that did not answer

FULL, ERROR, TIMEOUT = Outcome.FULL, Outcome.ERROR, Outcome.TIMEOUT
CONNECT_FAILED, RESET = Outcome.CONNECT_FAILED, Outcome.RESET


def silence_limit(state: BalancerState) -> float:
    """How long an endpoint with requests in flight may be silent, in nanoseconds."""
    return SILENCE_LATENCIES * max(c.latency for c in state.classes)


def record_success(
    state: BalancerState,
    now: int,
    request_class: ClassState,
    endpoint: Endpoint,
    duration: int,
    load: Sequence[float],
) -> None:
    """An attempt was answered; `load` is the endpoint's own report, by `load_columns`."""
    ratio = latency.record(state, request_class, endpoint, duration)
    endpoint.load_cost = 0.5 * endpoint.latency_ratio + 0.5 * ratio
    if 0 <= state.queue_column < len(load):
        endpoint.load_cost = endpoint.latency_ratio * (1.0 + max(load[state.queue_column], 0.0))
    record_answer(now, endpoint)
    endpoint.consecutive_rejections = endpoint.consecutive_errors = 0
    endpoint.probing = False
    endpoint.next_ejection_ns = FIRST_EJECTION_NS
    if endpoint.cold_until > now and state.queued and ratio <= SLOW_RATIO:
        # Requests wait and it answers fast: its few slots limit it enough, without spaced sends.
        endpoint.backoff_until = now


def record_failure(
    state: BalancerState,
    now: int,
    request_class: ClassState,
    endpoint: Endpoint,
    outcome: int,
    duration: int,
) -> None:
    """An attempt has ended with an outcome other than OK."""
    if outcome in (FULL, ERROR):
        # Either is an answer: the endpoint is alive.
        endpoint.load_cost = FAILED_LOAD_COST
        record_answer(now, endpoint)
        if outcome == FULL:
            state.rejections += 1
            endpoint.consecutive_rejections += 1
            back_off(state, now, request_class, endpoint, endpoint.consecutive_rejections)
        else:
            endpoint.consecutive_errors += 1
            times = endpoint.consecutive_errors + 1 - MAX_ERRORS
            back_off(state, now, request_class, endpoint, times)
    elif outcome in (TIMEOUT, CONNECT_FAILED, RESET):
        _not_answered(state, now, request_class, endpoint, outcome, duration)
    if endpoint.unresponsive and not endpoint.in_flight:
        # With nothing in flight no answer could ever reset the flag: probe it instead.
        endpoint.unresponsive = False
        endpoint.probing = True


def _not_answered(
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
        # Were only answers recorded, congestion would look like light load.
        objective = request_class.latency_objective
        latency.record(state, request_class, endpoint, max(duration, objective))
        # An unresponsive endpoint's time-outs count once: congestion shows in many endpoints'.
        state.timeouts += not endpoint.consecutive_failures
    endpoint.consecutive_failures += 1
    endpoint.connect_failed = outcome == CONNECT_FAILED
    # A single lost connection shows little; where the process has ended the next one fails
    # too. A single time-out may be due to load: with one slot it looks like silence.
    lost = outcome in (CONNECT_FAILED, RESET)
    failures = endpoint.consecutive_failures
    silent = failures >= MAX_SILENT_FAILURES and now - endpoint.silent_since >= duration
    if silent or (lost and failures >= MAX_LOST_FAILURES):
        eject(state, now, endpoint, lost=lost, restarted=outcome == CONNECT_FAILED)
    elif lost:
        # A short back-off after random failures; it grows where all connections fail.
        back_off(state, now, request_class, endpoint, failures - 1)


def mark_unresponsive(state: BalancerState, endpoint: Endpoint) -> None:
    """Take an endpoint that does not answer out of rotation, until it does or is probed."""
    endpoint.unresponsive = True
    rotation.update(state, endpoint)


def record_answer(now: int, endpoint: Endpoint) -> None:
    """Any answer, also a bad one, shows that an endpoint is alive."""
    endpoint.last_seen = endpoint.silent_since = now
    endpoint.unresponsive = False
    endpoint.consecutive_failures = 0


def back_off(
    state: BalancerState, now: int, request_class: ClassState, endpoint: Endpoint, times: int
) -> None:
    """Leave an endpoint out for about a mean latency, doubled `times` - 1 times.

    With `times` below 1 nothing is done. Jitter keeps nodes from returning together.
    """
    if times < 1:
        return
    span = int(request_class.latency * (0.5 + state.random.random()))
    span <<= min(times - 1, MAX_BACKOFF_DOUBLINGS)
    endpoint.backoff_until = max(endpoint.backoff_until, now + min(span, MAX_BACKOFF_NS))
    state.wake(endpoint.backoff_until, endpoint)


def eject(state: BalancerState, now: int, endpoint: Endpoint, lost: bool, restarted: bool) -> None:
    """Take a silent or unreachable endpoint out of rotation; never more than half of all.

    `lost`: after a lost connection, not after silence. `restarted`: its process may have been
    replaced by the time it returns, which the list may show only later: it returns cold.
    """
    if endpoint.ejected_until or (state.ejected + 1) * 2 > state.ready:
        return
    endpoint.ejected_until = now + endpoint.next_ejection_ns
    endpoint.next_ejection_ns = min(endpoint.next_ejection_ns * 2, MAX_EJECTION_NS)
    if restarted:
        endpoint.cold_until = endpoint.ejected_until + state.settings.cold
    reason = "connection failed or reset" if lost else "no answer since the send"
    state.log(now, f"backend {endpoint.id} out: {reason}")
    state.ejected += 1
    state.wake(endpoint.ejected_until, endpoint)
    rotation.update(state, endpoint)


def readmit(state: BalancerState, endpoint: Endpoint) -> None:
    """End an ejection: the endpoint is probed."""
    endpoint.ejected_until = 0
    endpoint.unresponsive = False
    endpoint.probing = True
    state.ejected -= 1
    rotation.update(state, endpoint)


def on_wake(state: BalancerState, now: int, endpoint: Endpoint) -> None:
    """End an ejection, or a back-off, that is over at this wake time."""
    if endpoint.ejected_until and endpoint.ejected_until <= now:
        readmit(state, endpoint)
    else:
        rotation.update(state, endpoint)


def on_load_report(
    state: BalancerState, now: int, backend: int, ratio: float, failing: bool
) -> None:
    """A load report on an endpoint, over some seconds.

    `ratio` is its latency against the fleet's. A failing endpoint is ejected, within
    the same bound of half of all.
    """
    endpoint = state.endpoints.get(backend)
    if endpoint is None:
        return
    bounded = min(max(ratio, MIN_RATIO), MAX_RATIO)
    endpoint.latency_ratio += REPORT_GAIN * (bounded - endpoint.latency_ratio)
    if failing:
        eject(state, now, endpoint, lost=True, restarted=False)


def on_peer_report(
    state: BalancerState,
    now: int,
    backend: int,
    reported: ReportedState | None,
    ratio: float,
    restarted: bool,
) -> None:
    """What other nodes' attempts show of an endpoint; None retracts the last report."""
    endpoint = state.endpoints.get(backend)
    if endpoint is None or endpoint.state != State.READY:
        return
    endpoint.reported_ratio = ratio if reported == ReportedState.SLOW else 1.0
    if reported == ReportedState.FULL:
        back_off(state, now, state.classes[0], endpoint, 1)
    elif reported == ReportedState.SILENT:
        eject(state, now, endpoint, lost=True, restarted=restarted)
        if endpoint.ejected_until and not endpoint.consecutive_failures:
            # The nodes whose attempts failed probe it for all: here it stays ejected until they
            # report.
            endpoint.ejected_until = max(endpoint.ejected_until, now + FIRST_EJECTION_NS)
            state.wake(endpoint.ejected_until, endpoint)
    elif reported is None and endpoint.ejected_until and not endpoint.consecutive_failures:
        readmit(state, endpoint)  # only where this node's own attempts did not eject it
    endpoint.probing = endpoint.probing or reported == ReportedState.SUSPECTED
    rotation.update(state, endpoint)
