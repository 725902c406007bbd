"""Balancer: the event interface between a host and one node's load-balancing decisions.

The design follows the gateway of Pacifici et al. 2005, "Performance Management for Cluster-Based
Web Services": a FIFO queue per class, limits on requests in flight per endpoint and in total,
weighted round robin over integer class shares, and a periodic recomputation of those shares from
an M/M/1 response time prediction and utility curves. The package's doc comment lists which module
decides what; the modules share one BalancerState.

A Balancer performs no I/O, reads no clock and uses no global state: the host reports each event
with its time (integer nanoseconds), and the Balancer calls the host's Actions.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from heapq import heappop
from typing import TYPE_CHECKING

from loadbalancer.core.balancing import (
    admission,
    class_weights,
    concurrency_limit,
    endpoint_caps,
    final_answer,
    list_updates,
    outlier_detection,
    request_classes,
    retries,
    rotation,
    slow_start,
)
from loadbalancer.core.balancing.class_weights import CYCLE_NS
from loadbalancer.core.balancing.dispatch import dispatch, set_transferring
from loadbalancer.core.balancing.model import (
    SECOND,
    Actions,
    Listing,
    Outcome,
    ReportedState,
    ServerView,
    Settings,
    State,
    Timer,
    Update,
)
from loadbalancer.core.balancing.records import (
    Attempt,
    AttemptState,
    ClassState,
    Endpoint,
    Request,
    RequestState,
)
from loadbalancer.core.balancing.state import BalancerState

if TYPE_CHECKING:
    from loadbalancer.core.balancing.ports import LimitShare, Policies, SlotAllocator
    from loadbalancer.core.routes.table import Policy

FIRST_ATTEMPT = 0  # attempts of a request are numbered from 0
SEND_RATE_GAIN = 0.3  # gain per cycle of the moving average of the send rate

OK = Outcome.OK
QUEUED, ENDED = RequestState.QUEUED, RequestState.ENDED
TRANSFERRING, ATTEMPT_ENDED = AttemptState.TRANSFERRING, AttemptState.ENDED
NOT_EXECUTED = retries.NOT_EXECUTED


class Balancer:
    """Receives a host's events and passes each to the modules that decide.

    Events are methods named `on_...`. Events with the same time may be reported in any
    order. An event for an unknown request, attempt or endpoint is ignored.
    """

    __slots__ = ("state",)

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.state = BalancerState(settings, seed, actions)
        endpoint_caps.set_zone_rank(self.state, settings)

    # Start, settings and the endpoint list.

    def start(self, now: int) -> None:
        """Set the first timers; must be the first event."""
        state = self.state
        state.now = now
        state.credit_at = [now] * len(state.quota)
        # A random first cycle keeps nodes that start together from adjusting limits in step.
        state.actions.set_timer(Timer.CYCLE, now + state.random.randrange(CYCLE_NS // 2, CYCLE_NS))
        if state.settings.poll:
            list_updates.schedule_first_poll(state, now)

    def on_settings(self, now: int, settings: Settings) -> None:
        """Switch to new settings; raises ValueError if the tenants differ."""
        state = self.state
        if settings.tenants != state.settings.tenants:
            raise ValueError("tenants can't be changed while the Balancer is running")
        state.now = now
        request_classes.replace(state, now, settings)
        state.settings = settings
        endpoint_caps.set_zone_rank(state, settings)
        endpoint_caps.assign_ranks(state)
        class_weights.update(state)
        dispatch(state, now)

    def on_members(self, now: int, update: Update, rows: Sequence[Listing] = ()) -> None:
        """Apply an update of the endpoint list, or handle a failed poll (Update.FAILED)."""
        state = self.state
        state.now = now
        if update == Update.FAILED:
            list_updates.poll_failed(state, now)
            return
        list_updates.apply(state, now, update, rows)
        endpoint_caps.assign_ranks(state)
        dispatch(state, now)

    # Events of requests and their clients.

    def on_request(  # noqa: PLR0913 - everything the host knows about a new request
        self,
        now: int,
        request_id: int,
        cls: int,
        remaining: int,
        tenant: int = 0,
        key: int = 0,  # noqa: ARG002 - part of the event; no decision uses it
        hint: int = 0,
        client_retry: bool = False,
        policy: Policy | None = None,
    ) -> None:
        """Admit a request of class number `cls` whose client waits `remaining` ns longer.

        `hint` is the client's estimate of the work in nanoseconds, `client_retry` says that
        the client marked the request as a retry, and `policy` is the route's policy. A second
        event with the id of an open request is ignored: each request is answered once.

        Raises:
            ValueError: the class or the tenant is unknown.
        """
        state = self.state
        state.now = now
        if not 0 <= cls < len(state.classes):
            raise ValueError(f"unknown request class {cls}")
        if request_id in state.requests:
            return
        request = Request(
            request_id, state.classes[cls], now, remaining, tenant, state.settings.max_attempts
        )
        if hint:
            admission.stretch_objective(now, request, hint)
        if policy is not None and state.policies is not None:
            state.policies.apply_policy(now, request, policy)
        state.requests[request_id] = request
        admission.admit(state, now, request, remaining, client_retry)
        dispatch(state, now)
        if request.state is QUEUED:
            state.saturated = True
            state.wake(request.wait_until, request)

    def on_client_half_closed(self, now: int, request_id: int) -> None:
        """Handle a client's half-close: attempts in flight continue, and no new one is started."""
        state = self.state
        state.now = now
        request = state.requests.get(request_id)
        if request is None or request.state is ENDED:
            return
        request.max_attempts = 0
        if request.state is QUEUED:
            admission.dequeue(state, request)
        if not request.in_flight:
            final_answer.reject_or_fail(state, request)

    def on_client_disconnected(self, now: int, request_id: int) -> None:
        """Handle a disconnected client: no response is given; attempts run until their outcomes."""
        state = self.state
        state.now = now
        request = state.requests.get(request_id)
        if request is None or request.state is ENDED:
            return
        if request.state is QUEUED:
            admission.dequeue(state, request)
        final_answer.mark_ended(state, request)
        if request.in_flight > 1 and state.policies is not None:
            # Hedges only save latency, which no client needs any more. The first attempt runs
            # until its outcome, like that of a request without hedges.
            state.policies.cancel_others(request, FIRST_ATTEMPT)
        if not request.in_flight:
            state.requests.pop(request_id, None)

    # Events of attempts.

    def may_begin(self, now: int, request_id: int, number: int) -> bool:
        """Whether an attempt whose connection is established may send its first byte."""
        request = self.state.requests.get(request_id)
        return request is not None and retries.may_begin(now, request, number)

    def on_response_started(self, now: int, request_id: int, number: int, duration: int) -> None:
        """Handle the start of a long response, `duration` after the send; the attempt goes on.

        The client is receiving this response, so the request's other attempts are cancelled.
        """
        state = self.state
        attempt = self._attempt(now, request_id, number)
        if attempt is not None:
            request = state.requests[request_id]
            request.response_started = True
            if request.in_flight > 1 and state.policies is not None:
                state.policies.cancel_others(request, number)
            attempt.first_byte = duration
            set_transferring(self.state, attempt, transferring=True)
            outlier_detection.record_answer(now, attempt.endpoint)

    def on_body_started(self, now: int, request_id: int, number: int) -> None:
        """Handle the start of a long request body: it is not buffered, so it can't be resent."""
        attempt = self._attempt(now, request_id, number)
        if attempt is not None:
            self.state.requests[request_id].body_sent = True
            set_transferring(self.state, attempt, transferring=True)

    def on_body_sent(self, now: int, request_id: int, number: int) -> None:
        """Handle the end of a long request body: from now on the endpoint has to respond."""
        attempt = self._attempt(now, request_id, number)
        if attempt is not None:
            set_transferring(self.state, attempt, transferring=False)
            attempt.endpoint.silent_since = now

    def _attempt(self, now: int, request_id: int, number: int) -> Attempt | None:
        state = self.state
        state.now = now
        request = state.requests.get(request_id)
        if request is None or number >= len(request.attempts):
            return None
        return request.attempts[number]

    def on_outcome(
        self,
        now: int,
        request_id: int,
        number: int,
        outcome: int,
        duration: int,
        done: bool,
        load: Sequence[float] = (),
        connected: bool = False,
    ) -> None:
        """Handle the end of an attempt after `duration`, with an Outcome; frees its slot.

        `done`: the host has passed a response on to the client. `load`: the endpoint's load
        report, in the order of `Settings.load_columns`. `connected`: the attempt failed
        after its connection was established.
        """
        state = self.state
        state.now = now
        request = state.requests.get(request_id)
        if request is None or number >= len(request.attempts):
            return
        attempt = request.attempts[number]
        if attempt.state is ATTEMPT_ENDED:
            return
        self._release_slot(request, attempt)
        request_class, endpoint = request.request_class, attempt.endpoint
        if outcome == OK:
            response_time = attempt.first_byte or duration
            outlier_detection.record_success(
                state, now, request_class, endpoint, response_time, load
            )
            class_weights.count_served(request, now)
        else:
            outlier_detection.record_failure(state, now, request_class, endpoint, outcome, duration)
        rotation.update(state, endpoint)
        if outcome not in NOT_EXECUTED and request.first_executed is None:
            request.first_executed = attempt
        if done or outcome == OK:
            final_answer.mark_ended(state, request)
        policy_state, policies = request.policy_state, state.policies
        if policy_state is not None and policy_state.policy.hedging and policies is not None:
            policies.attempt_ended(now, request, policy_state, number, outcome, duration)
        if request.state is ENDED:
            if not request.in_flight:
                state.requests.pop(request_id, None)
        elif not request.in_flight:
            self._retry_or_finish(now, request, outcome, duration, connected)
        dispatch(state, now)

    def _retry_or_finish(
        self, now: int, request: Request, outcome: int, duration: int, connected: bool
    ) -> None:
        """Retry the request or give its final response, by its route's policy if it has one."""
        state = self.state
        if request.policy_state is None or state.policies is None:
            retries.retry_or_finish(
                state, now, request, retries.retry_cost(request, outcome, duration)
            )
        else:
            state.policies.retry_or_finish(now, request, request.policy_state, outcome, connected)

    def _release_slot(self, request: Request, attempt: Attempt) -> None:
        """Remove an ended attempt from the counts of attempts in flight."""
        state = self.state
        request.in_flight -= 1
        request.request_class.in_flight -= 1
        state.in_flight -= 1
        attempt.endpoint.in_flight -= 1
        if attempt.state is TRANSFERRING:
            set_transferring(state, attempt, transferring=False)
        attempt.state = ATTEMPT_ENDED
        state.outcomes += 1

    # Reports on endpoints from other nodes and from proxies.

    def on_load_report(self, now: int, backend: int, ratio: float, failing: bool) -> None:
        """Handle a load report on an endpoint; `ratio` is its latency relative to the fleet's."""
        self.state.now = now
        outlier_detection.on_load_report(self.state, now, backend, ratio, failing)

    def on_peer_report(
        self, now: int, backend: int, reported: ReportedState | None, ratio: float, cold: bool
    ) -> None:
        """Handle a report of other nodes on an endpoint; None retracts the last report."""
        self.state.now = now
        outlier_detection.on_peer_report(self.state, now, backend, reported, ratio, cold)

    # Timers.

    def on_timer(self, now: int, token: int) -> None:
        """Handle a timer that has come due; `token` is the Timer it was set with."""
        state = self.state
        state.now = now
        if token == Timer.WAKE:
            self._wake(now)
        elif token == Timer.CYCLE:
            self._cycle(now)
            state.actions.set_timer(Timer.CYCLE, now + CYCLE_NS)
        elif token == Timer.LIST:
            list_updates.poll(state)

    def _wake(self, now: int) -> None:
        """Process the requests and endpoints whose wake time is reached.

        Wake times are kept in a heap because the head of a queue need not be due first:
        requests of one class have different remaining times, and a retry is queued ahead of
        older requests.
        """
        state = self.state
        wakes = state.wakes
        while wakes and wakes[0][0] <= now:
            item = heappop(wakes)[2]
            if isinstance(item, Endpoint):
                outlier_detection.on_wake(state, now, item)
            elif (
                item.policy_state is not None
                and state.policies
                and 0 < item.policy_state.due <= now
            ):
                state.policies.on_due(now, item, item.policy_state)
            elif item.state is QUEUED and item.wait_until <= now:
                admission.dequeue(state, item)
                final_answer.reject_or_fail(state, item)
        state.wake_at = wakes[0][0] if wakes else 0
        if wakes:
            state.actions.set_timer(Timer.WAKE, state.wake_at)
        dispatch(state, now)

    def _cycle(self, now: int) -> None:
        """Adjust the concurrency limit, then the caps, then the class shares; every CYCLE_NS."""
        state = self.state
        rate = state.sends * SECOND / CYCLE_NS
        state.send_rate += SEND_RATE_GAIN * (rate - state.send_rate)
        state.sends = 0
        concurrency_limit.adjust(state, now)
        request_classes.drop_retired(state, now)
        endpoint_caps.update(state)
        class_weights.update(state)
        dispatch(state, now)

    # Plug-ins of the host, and read access to the state.

    def dispatch(self, now: int) -> None:
        """Send queued requests while slots are free; to be called after the caps have changed."""
        dispatch(self.state, now)

    def update_caps(self) -> None:
        """Recompute the caps; to be called after the limit share or slot allocation has changed."""
        endpoint_caps.update(self.state)

    def set_limit_share(self, now: int, share: LimitShare | None) -> None:
        """Use part of the node's caps while two processes serve as this node; None: use all."""
        self.state.limit_share = share
        endpoint_caps.update(self.state)
        dispatch(self.state, now)

    @property
    def has_limit_share(self) -> bool:
        """Whether another process also serves as this node."""
        return self.state.limit_share is not None

    def set_slot_allocator(self, allocator: SlotAllocator) -> None:
        """Take the caps in this node's zone from `allocator`, which gossip keeps up to date."""
        self.state.slot_allocator = allocator

    def set_policies(self, policies: Policies) -> None:
        """Apply the routes' policies to requests that come with one."""
        self.state.policies = policies

    def find_class(self, now: int, name: str, safe: bool, keyed: bool) -> ClassState | None:
        """The class of this name that fits the request's method and key, or None."""
        return request_classes.find(self.state, now, name, safe, keyed)

    def endpoint_views(self, now: int) -> list[ServerView]:
        """A read-only view of all listed endpoints at `now`, ordered by id."""
        state = self.state
        state.now = now
        return [
            ServerView(
                e.id,
                e.zone,
                e.state,
                e.cap,
                slow_start.capacity_fraction(state, e) if e.cold_until > now else 1.0,
                e.latency_ratio,
                e.ejected_until > now,
            )
            for e in sorted(state.endpoints.values(), key=lambda e: e.id)
            if e.state != State.GONE
        ]

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.state.settings

    @property
    def now(self) -> int:
        """The time of the last event."""
        return self.state.now

    @property
    def endpoints(self) -> Mapping[int, Endpoint]:
        """The known endpoints by id; read-only for callers."""
        return self.state.endpoints

    @property
    def classes(self) -> Sequence[ClassState]:
        """The request classes by number; read-only for callers."""
        return self.state.classes

    @property
    def ready(self) -> int:
        """How many endpoints are listed as ready."""
        return self.state.ready

    @property
    def in_flight(self) -> int:
        """How many attempts are in flight."""
        return self.state.in_flight

    @property
    def concurrency_limit(self) -> float:
        """Requests that all nodes together may have in flight at one endpoint."""
        return self.state.concurrency_limit

    @property
    def saturated(self) -> bool:
        """Whether a request has been queued for lack of a slot since the last cycle."""
        return self.state.saturated

    @property
    def peers(self) -> int:
        """How many nodes this node's zone has, including this one."""
        return self.state.peers
