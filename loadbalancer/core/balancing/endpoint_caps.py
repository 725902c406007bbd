"""How many of each endpoint's slots are this node's (DESIGN-wharfspread, points 1 and 2).

The concurrency limit says how many requests all nodes together have in flight at
one endpoint. The paper splits it among the nodes in proportion to their load,
which needs a global manager. Here each slot belongs to one node: at each
endpoint the nodes are ranked, by a rule that every node computes alike from the
settings and the list, and slot i belongs to the node of rank i modulo their number.
The ranks are shifted from endpoint to endpoint. With more nodes than slots most
nodes have no slot at most endpoints, and some at a few.

Inputs: the concurrency limit, the listed endpoints, this node's number and zone,
and what the endpoints' answers show. Results, all in requests: `Endpoint.cap`
(N_{g,s}), `Endpoint.node_cap` and `BalancerState.total` (N_g). Nodes of other
zones share a separate part of an endpoint's slots. Where nodes exchange
messages (`SlotRanks`) the slots of nodes that are down are divided among the
others, and where two processes are this node (`LimitShare`) they divide its caps.
"""

from __future__ import annotations

from loadbalancer.core.balancing import outlier_detection, rotation, slow_start
from loadbalancer.core.balancing.model import SECOND, Settings, State
from loadbalancer.core.balancing.records import Endpoint
from loadbalancer.core.balancing.state import BalancerState

OTHER_ZONES_PART = 0.34  # of the limit, for the nodes of other zones
# Golden section: of any consecutive endpoints, a fractional limit is rounded up at the part
# that its fraction says. Rounded up everywhere, a limit just over 2 would give 3 slots.
ROUNDING_STEP = 0.618034
MIN_SLOTS = 3  # of a node in its zone at least, however many nodes there are
RESERVE_REACH = 4  # reserve slots only where the node's rank is below so many times the slots
SLOW_RATIO = 1.5  # latency against the fleet's above which an endpoint's own limit shrinks
STALE_GAIN = 0.05  # a cycle, by which a latency ratio that is not measured returns to 1
FRESH_NS = 2 * SECOND  # how long an endpoint's last answer shows its latency and load


def locate(state: BalancerState, settings: Settings) -> None:
    """Set this node's place among the nodes of its zone, and the load report's column."""
    columns = settings.load_columns
    state.queue_column = columns.index("q") if "q" in columns else -1
    own = settings.node % settings.zones == settings.zone % settings.zones
    same = range(settings.zone, settings.nodes, settings.zones) if own else ()
    state.peers = max(1, len(same) or -(-settings.nodes // settings.zones))
    state.zone_rank = settings.node // settings.zones


def assign_ranks(state: BalancerState) -> None:
    """Set this node's rank at every endpoint from the list, then all caps.

    Instead of the paper's equations 5 and 6, see the module's comment.
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
        nodes, place = _place_in(state, zone)
        # Where nodes outnumber endpoints, ranks shifted one by one would miss the last nodes.
        spread = max(nodes, count)
        for index, endpoint in enumerate(endpoints):
            endpoint.rounding = index * ROUNDING_STEP % 1.0
            endpoint.sharing_nodes = nodes
            endpoint.node_rank = (place - index * spread // count) % nodes
    update(state)


def _place_in(state: BalancerState, zone: int) -> tuple[int, int]:
    """How many nodes share the endpoints of a zone, and this node's place among them."""
    settings = state.settings
    if zone == settings.zone:
        return state.peers, state.zone_rank
    inside = len(range(zone % settings.zones, settings.nodes, settings.zones))
    earlier = len(range(zone % settings.zones, settings.node, settings.zones))
    return max(1, settings.nodes - inside), settings.node - earlier


def update(state: BalancerState) -> None:
    """Set each endpoint's cap, and use reserve slots where too few of the own ones are usable.

    Slots at endpoints that are silent, slow or cold serve nobody, and a node with few
    slots may have no others: its requests would be rejected while other nodes have
    slots free. Such a node uses the next slots in the order of its ranks.
    """
    local = sum(1 for e in state.endpoints.values() if e.local and e.state == State.READY)
    limit = state.concurrency_limit
    if local:
        limit = max(limit, MIN_SLOTS * state.peers / local)
    silence = outlier_detection.silence_limit(state)
    total = assigned = usable = 0
    reserve: list[tuple[int, int, Endpoint]] = []
    for endpoint in state.endpoints.values():
        if endpoint.state != State.READY:
            continue
        depth = limit if endpoint.local else limit * OTHER_ZONES_PART
        slots = int(depth + endpoint.rounding)
        _set_cap(state, endpoint, depth, local)
        total += endpoint.cap
        assigned += slots > endpoint.node_rank
        silent = (
            endpoint.in_flight > endpoint.transferring
            and state.now - endpoint.silent_since > silence
        )
        if not (silent or endpoint.unresponsive or endpoint.probing or endpoint.ejected_until):
            usable += endpoint.cap
            if (
                not endpoint.cap
                and endpoint.cold_until <= state.now
                and endpoint.node_rank < RESERVE_REACH * slots
            ):
                reserve.append((endpoint.node_rank - slots, endpoint.id, endpoint))
    lacking = max(min(assigned, MIN_SLOTS), 1) - usable
    if lacking > 0 and state.slot_ranks is None:  # nodes that exchange messages lease slots
        total += _use_reserve(state, reserve, lacking)
    state.total = max(total, 1)


def _use_reserve(state: BalancerState, reserve: list[tuple[int, int, Endpoint]], count: int) -> int:
    """Allow one request in flight at the first `count` endpoints of the reserve."""
    added = 0
    for _, _, endpoint in sorted(reserve)[:count]:
        endpoint.node_cap = endpoint.cap = 1
        if state.limit_share is not None:
            endpoint.cap = state.limit_share.cap_for(endpoint.id, 1)
        added += endpoint.cap
        rotation.update(state, endpoint)
    return added


def _set_cap(state: BalancerState, endpoint: Endpoint, depth: float, local: int) -> None:
    """Set one endpoint's cap, where all nodes of a zone share `depth` slots of it."""
    warm = endpoint.cold_until <= state.now
    ratio = max(endpoint.latency_ratio, endpoint.reported_ratio)
    if ratio > SLOW_RATIO:
        depth = min(depth, max(1.0, depth / ratio))
        if not endpoint.in_flight and state.now - endpoint.last_seen > FRESH_NS:
            # Without a slot it is not measured: its last latency must not count for ever.
            endpoint.latency_ratio += STALE_GAIN * (1.0 - endpoint.latency_ratio)
    if not warm:
        depth = slow_start.depth(state, endpoint, depth)
    nodes = endpoint.sharing_nodes
    endpoint.sharers = max(1, min(int(depth + 1.0), nodes))
    slots = int(depth + endpoint.rounding)
    rank = endpoint.node_rank
    endpoint.node_cap = -(-(slots - rank) // nodes) if slots > rank else 0
    if state.slot_ranks is not None and endpoint.local and warm:
        endpoint.node_cap = state.slot_ranks.cap(endpoint.id, rank, slots, local)
    endpoint.cap = endpoint.node_cap
    if state.limit_share is not None:
        endpoint.cap = state.limit_share.cap_for(endpoint.id, endpoint.node_cap)
    rotation.update(state, endpoint)
