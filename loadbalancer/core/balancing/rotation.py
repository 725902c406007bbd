"""Tracks which endpoints may be sent one more request.

An endpoint is in rotation while it is listed as ready, has fewer requests in flight than its
cap (than one while it is probed), and is neither unresponsive, ejected nor backing off.
Endpoints in rotation are kept in buckets by their number of requests in flight, so that the
least loaded ones are found without a search. Code that changes one of these inputs must call
`update` afterwards.
"""

from __future__ import annotations

from loadbalancer.core.balancing.model import State
from loadbalancer.core.balancing.records import Endpoint
from loadbalancer.core.balancing.state import BalancerState

MAX_TRANSFERRING = 6  # transfers per endpoint that don't count against its cap, at most

READY = State.READY


def update(state: BalancerState, endpoint: Endpoint) -> None:
    """Move an endpoint to the bucket for its requests in flight, or out of rotation."""
    in_flight = endpoint.in_flight
    bucket = None
    if (
        endpoint.state == READY
        and in_flight - min(endpoint.transferring, MAX_TRANSFERRING)
        < (min(endpoint.cap, 1) if endpoint.probing else endpoint.cap)
        and not endpoint.unresponsive
        and not endpoint.ejected_until
        and endpoint.backoff_until <= state.now
    ):
        buckets = state.local_buckets if endpoint.local else state.remote_buckets
        while len(buckets) <= in_flight:
            buckets.append([])
        bucket = buckets[in_flight]
    old_bucket = endpoint.bucket
    if old_bucket is bucket:
        return
    if old_bucket is not None:
        last = old_bucket.pop()
        if last is not endpoint:
            old_bucket[endpoint.bucket_index] = last
            last.bucket_index = endpoint.bucket_index
    if bucket is not None:
        endpoint.bucket_index = len(bucket)
        bucket.append(endpoint)
    endpoint.bucket = bucket
