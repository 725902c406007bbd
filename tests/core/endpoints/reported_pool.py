"""Reports of pools of servers, for tests of the merged list."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import replace
from typing import Any

from loadbalancer.core import State
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.attempt_evidence import AttemptEvidence, no_evidence
from loadbalancer.core.endpoints.departure_limits import MergeLimits
from loadbalancer.core.endpoints.merged_list import MergedList
from loadbalancer.core.endpoints.merged_server import ListedServer
from loadbalancer.core.endpoints.server_report import Health, ServerReport, Source

MINUTE = 60 * SECOND
CONSUL = Source("consul", 2, 10 * SECOND)
LIST = Source("list", 1)


def report(number: int, health: Health = Health.PASSING, **fields: Any) -> ServerReport:
    """A report of server `s-NUMBER`, which has a port of its own."""
    default = ServerReport(f"s-{number}", "127.0.0.1", 9000 + number, "east", health)
    return replace(default, **fields)


def pool(count: int, *unhealthy: int, health: Health = Health.CRITICAL) -> list[ServerReport]:
    """Reports of servers 1 to `count`; those in `unhealthy` have this `health`."""
    return [
        report(number, health if number in unhealthy else Health.PASSING)
        for number in range(1, count + 1)
    ]


def pool_list(
    count: int,
    evidence_of: Callable[[str], AttemptEvidence] = no_evidence,
    limits: MergeLimits | None = None,
) -> MergedList:
    """A merged list of `count` ready servers, reported by Consul at time 0."""
    merged = MergedList([CONSUL], limits, evidence_of)
    assert merged.update(0, "consul", pool(count), complete=True)
    assert len(ready(merged)) == count
    return merged


def attempts_find(dead: Collection[str]) -> Callable[[str], AttemptEvidence]:
    """Evidence of attempts to all servers: these are dead, and all others alive."""
    return lambda uid: AttemptEvidence.DEAD if uid in dead else AttemptEvidence.ALIVE


def ready(merged: MergedList) -> set[str]:
    """The ids of the servers that are listed as ready."""
    return {server.uid for server in merged.servers() if server.state == State.READY}


def server(merged: MergedList, uid: str) -> ListedServer:
    """One server of the merged list."""
    return next(found for found in merged.servers() if found.uid == uid)
