"""The gossip status of a node as JSON, which `loadbalancer peers` shows."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

from loadbalancer.core.balancing.model import MS
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.core.gossip.messages import MemberStatus


def status(node: GossipNode, counters: Counter[str], now: int) -> str:
    """The status of a node at `now` (ns); `counters` are those of the transport.

    The key `nodes` has a row for each other member: node number, status, incarnation, milliseconds
    since its last message (null if there was none), and whether two processes seem to use its
    number.
    """
    members = node.members
    rows = []
    for number, member in sorted(members.peers.items()):
        last_message_at = member.last_message_at
        age_ms = (now - last_message_at) // MS if last_message_at else None
        untrusted = member.untrusted_until > now
        name = MemberStatus(member.status).name.lower()
        rows.append([number, name, member.incarnation, age_ms, untrusted])
    servers = node.report(now)
    found: dict[str, Any] = {
        "me": members.me, "incarnation": members.incarnation, "caught_up": node.caught_up,
        "living": members.alive_count(), "nodes": rows, "servers": servers,
        "counts": dict(sorted((counters + node.counters).items())),
        "health": members.local_health, "refuted": members.refutations,
    }  # fmt: skip
    found |= node.leases.report(now)
    if node.shared_list is not None:
        found["list"] = node.shared_list.report(now)
    return json.dumps(found)
