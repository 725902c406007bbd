"""Divides the slots of each endpoint among the nodes and sets this node's caps.

The concurrency limit is the number of requests, or slots, that all nodes together may use at one
endpoint. Pacifici et al. 2005, "Performance Management for Cluster-Based Web Services" ("the
paper"), divide it among the nodes in proportion to their load, which needs a global manager. Here
each slot belongs to one node: at each endpoint the nodes are ranked by a rule that all of them
evaluate identically from the settings and the endpoint list, and slot i belongs to the node of
rank i modulo the number of nodes. Ranks are shifted from one endpoint to the next. With more nodes
than slots, most nodes have no slot at most endpoints and a few slots elsewhere.

Inputs: the concurrency limit, the listed endpoints, this node's number and zone, and the
measurements of the endpoints. Results, all in requests: `Endpoint.cap` (the paper's N_{g,s}),
`Endpoint.node_cap` and `BalancerState.max_in_flight` (N_g). Nodes of other zones share a separate
part of an endpoint's slots. Where nodes exchange messages, a `SlotAllocator` divides the slots of
dead nodes among the others; while two processes serve as this node, a `LimitShare` divides its
caps between them.
"""

from __future__ import annotations

from loadbalancer.core.balancing import outlier_detection, rotation, slow_start
from loadbalancer.core.balancing.model import SECOND, Settings, State
from loadbalancer.core.balancing.records import Endpoint
from loadbalancer.core.balancing.state import BalancerState

# The fraction of an endpoint's concurrency limit that is given to the nodes of other zones.
OTHER_ZONES_LIMIT_FRACTION = 0.34
# Golden section, for rounding offsets that are spread evenly: among any consecutive endpoints a
# fractional limit is rounded up at the part that its fraction states. Rounded up at all of them,
# a limit just over 2 would give 3 slots.
ROUNDING_STEP = 0.618034
# Slots that each node has on average in its own zone at least, however many nodes there are.
MIN_SLOTS = 3
# A node may use a reserve slot where its rank is below this multiple of the endpoint's slots.
MAX_RESERVE_RANK_MULTIPLE = 4
SLOW_RATIO = 1.5  # latency relative to the fleet's above which an endpoint's limit is reduced
# Gain per cycle with which the latency ratio of an unmeasured endpoint returns to 1.
STALE_LATENCY_RATIO_GAIN = 0.05
FRESH_ANSWER_NS = 2 * SECOND  # how long an endpoint's last response is evidence of its load


def set_zone_rank(state: BalancerState, settings: Settings) -> None:
    """Set this node's rank in its zone, and the queue length's column in load reports."""
    columns = settings.load_columns
    state.queue_column = columns.index("q") if "q" in columns else -1
    numbered_by_zone = settings.node % settings.zones == settings.zone % settings.zones
    zone_nodes = range(settings.zone, settings.nodes, settings.zones) if numbered_by_zone else ()
    state.peers = max(1, len(zone_nodes) or -(-settings.nodes // settings.zones))
    state.zone_rank = settings.node // settings.zones


def assign_ranks(state: BalancerState) -> None:
    """Set this node's rank at every endpoint from the list, then all caps.

    Replaces the paper's equations 5 and 6; the module's doc comment says why.
    """
    zones: dict[int, list[Endpoint]] = {}
    for endpoint in state.endpoints.values():
        if endpoint.state == State.READY:
            zones.setdefault(endpoint.zone, []).append(endpoint)
    state.ready = 0
    for zone in sorted(zones):
        endpoints = sorted(zones[zone], key=lambda e: e.id)
        count = len(endpoints)
        state.ready += count
        nodes, node_index = _index_in(state, zone)
        # With more nodes than endpoints, a shift of 1 per endpoint would not reach all nodes.
        shift_span = max(nodes, count)
        for index, endpoint in enumerate(endpoints):
            endpoint.rounding_offset = index * ROUNDING_STEP % 1.0
            endpoint.sharing_nodes = nodes
            endpoint.node_rank = (node_index - index * shift_span // count) % nodes
    update(state)


def _index_in(state: BalancerState, zone: int) -> tuple[int, int]:
    """The number of nodes that share a zone's endpoints, and this node's index among them."""
    settings = state.settings
    if zone == settings.zone:
        return state.peers, state.zone_rank
    zone_nodes = len(range(zone % settings.zones, settings.nodes, settings.zones))
    earlier_zone_nodes = len(range(zone % settings.zones, settings.node, settings.zones))
    return max(1, settings.nodes - zone_nodes), settings.node - earlier_zone_nodes


def update(state: BalancerState) -> None:
    """Set each endpoint's cap, and use reserve slots if too few of the node's own are usable.

    Slots at silent, slow or cold endpoints are of little use, and a node with few slots may
    have no others: its requests would be rejected while other nodes have free slots. Such a
    node also uses slots that belong to other nodes, at the endpoints where its rank exceeds
    the number of slots by the least.
    """
    ready_local = sum(1 for e in state.endpoints.values() if e.local and e.state == State.READY)
    limit = state.concurrency_limit
    if ready_local:
        limit = max(limit, MIN_SLOTS * state.peers / ready_local)
    max_silence = outlier_detection.silence_limit(state)
    total_cap = own_endpoints = usable_slots = 0
    reserve: list[tuple[int, int, Endpoint]] = []
    for endpoint in state.endpoints.values():
        if endpoint.state != State.READY:
            continue
        depth = limit if endpoint.local else limit * OTHER_ZONES_LIMIT_FRACTION
        slots = int(depth + endpoint.rounding_offset)
        _set_cap(state, endpoint, depth, ready_local)
        total_cap += endpoint.cap
        own_endpoints += slots > endpoint.node_rank
        silent = (
            endpoint.in_flight > endpoint.transferring
            and state.now - endpoint.silent_since > max_silence
        )
        if not (silent or endpoint.unresponsive or endpoint.probing or endpoint.ejected_until):
            usable_slots += endpoint.cap
            if (
                not endpoint.cap
                and endpoint.cold_until <= state.now
                and endpoint.node_rank < MAX_RESERVE_RANK_MULTIPLE * slots
            ):
                reserve.append((endpoint.node_rank - slots, endpoint.id, endpoint))
    missing_slots = max(min(own_endpoints, MIN_SLOTS), 1) - usable_slots
    # Where nodes exchange messages, this node leases slots of other nodes instead.
    if missing_slots > 0 and state.slot_allocator is None:
        total_cap += _use_reserve(state, reserve, missing_slots)
    state.max_in_flight = max(total_cap, 1)


def _use_reserve(state: BalancerState, reserve: list[tuple[int, int, Endpoint]], count: int) -> int:
    """Allow one request in flight at each of the first `count` reserve endpoints.

    Returns the number of slots added for this process.
    """
    added = 0
    for _, _, endpoint in sorted(reserve)[:count]:
        endpoint.node_cap = endpoint.cap = 1
        if state.limit_share is not None:
            endpoint.cap = state.limit_share.cap_for(endpoint.id, 1)
        added += endpoint.cap
        rotation.update(state, endpoint)
    return added


def _set_cap(state: BalancerState, endpoint: Endpoint, depth: float, ready_local: int) -> None:
    """Set one endpoint's cap, if the nodes that share it have a limit of `depth` slots."""
    warm = endpoint.cold_until <= state.now
    ratio = max(endpoint.latency_ratio, endpoint.reported_ratio)
    if ratio > SLOW_RATIO:
        depth = min(depth, max(1.0, depth / ratio))
        if not endpoint.in_flight and state.now - endpoint.last_seen > FRESH_ANSWER_NS:
            # Without a slot it is not measured; its last latency must not count forever.
            endpoint.latency_ratio += STALE_LATENCY_RATIO_GAIN * (1.0 - endpoint.latency_ratio)
    if not warm:
        depth = slow_start.cold_limit(state, endpoint, depth)
    nodes = endpoint.sharing_nodes
    endpoint.sharers = max(1, min(int(depth + 1.0), nodes))
    slots = int(depth + endpoint.rounding_offset)
    rank = endpoint.node_rank
    endpoint.node_cap = -(-(slots - rank) // nodes) if slots > rank else 0
    if state.slot_allocator is not None and endpoint.local and warm:
        endpoint.node_cap = state.slot_allocator.cap(endpoint.id, rank, slots, ready_local)
    endpoint.cap = endpoint.node_cap
    if state.limit_share is not None:
        endpoint.cap = state.limit_share.cap_for(endpoint.id, endpoint.node_cap)
    rotation.update(state, endpoint)
