"""The state that a process hands over to its successor.

It consists of the endpoint list, the learned state of the load balancer and whether the node is
in standby, in a form that JSON can represent. Times are ages relative to the moment of the
export, so that the two processes need no common clock.
"""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from loadbalancer.config.address import Address
from loadbalancer.core import Listing, State, learned_state
from loadbalancer.core.balancing.model import UNKNOWN
from loadbalancer.core.endpoints.list_snapshot import ListSnapshot
from loadbalancer.core.endpoints.server_report import Health, ServerReport
from loadbalancer.core.errors import ProtocolError
from loadbalancer.sources.handed_list import InheritedEndpoint, InheritedSources

if TYPE_CHECKING:
    from loadbalancer.core.balancing.records import Endpoint
    from loadbalancer.proxy.ports import PredecessorNode

UNKNOWN_AGE = -1  # stands for the age of an endpoint whose start time is not known

# JSON keys of the handed-over state.
VERSION, ENDPOINTS, LEARNED, STANDBY = "rev", "members", "learned", "standby"
# Of a node with several sources; earlier versions neither write nor read it.
SOURCES = "sources"
PLATFORM_VERSION, REPORTS, READY = "rev", "reports", "ready"
COMPLETE, LISTING = "complete", "listing"


class HandedStateError(ProtocolError, ValueError):
    """The handed-over state is malformed; a ValueError too, like other unsuitable values."""


class Inheritance(NamedTuple):
    """The state received from a predecessor."""

    rev: int  # revision of the endpoint list
    members: tuple[InheritedEndpoint, ...]
    learned: learned_state.LearnedState
    standby: bool
    sources: InheritedSources | None = None  # None from one source, or from an earlier version


def export(node: PredecessorNode, standby: bool) -> dict[str, Any]:
    """Return the state that this node hands over, as JSON-compatible data."""
    now = time.monotonic_ns()
    endpoint_list = node.discovery.endpoint_list
    rows = []
    for endpoint in node.balancer.endpoints.values():
        address = endpoint_list.endpoints.get(endpoint.id)
        if address is not None and endpoint.state != State.GONE:
            rows.append(
                _export_endpoint(endpoint, address, endpoint_list.boot_ms(endpoint.id), now)
            )
    exported = {
        VERSION: endpoint_list.rev,
        ENDPOINTS: rows,
        LEARNED: learned_state.export(node.balancer, now),
        STANDBY: standby,
    }
    sources = node.discovery.handed_sources()
    return exported if sources is None else exported | {SOURCES: _export_sources(sources, now)}


def parse(raw: Any, now: int) -> Inheritance:
    """Parse and check exported data.

    Args:
        raw: the data, as decoded from JSON.
        now: time of the monotonic clock, in nanoseconds.

    Raises:
        HandedStateError: the data is malformed.
    """
    try:
        members = tuple(_parse_endpoint(row, now) for row in raw[ENDPOINTS])
        learned = learned_state.parse(raw[LEARNED])
        sources = _parse_sources(raw[SOURCES], now) if SOURCES in raw else None
        return Inheritance(int(raw[VERSION]), members, learned, bool(raw[STANDBY]), sources)
    except (KeyError, TypeError, ValueError, OverflowError) as err:
        raise HandedStateError(f"malformed state: {err}") from None


def _age(boot: int, now: int) -> int:
    return max(now - boot, 0) if boot else UNKNOWN_AGE


def _boot(age: Any, now: int) -> int:
    """The start time, ns; 0 if it is not known."""
    return 0 if age < 0 else max(now - int(age), 1)


def _export_endpoint(endpoint: Endpoint, address: Address, boot_ms: int, now: int) -> list[Any]:
    return [
        endpoint.id,
        int(endpoint.state),
        endpoint.repeat_zone,
        endpoint.repeat_cell,
        endpoint.kind,
        _age(endpoint.boot, now),
        endpoint.rating,
        *address,
        boot_ms,
    ]


def _parse_endpoint(row: Any, now: int) -> InheritedEndpoint:
    backend, state, zone, cell, kind, age, rating, host, port, boot_ms = row
    if not math.isfinite(rating):
        raise HandedStateError(f"rating {rating!r} is not a finite number")
    listing = Listing(
        int(backend), State(state), max(int(zone), 0), max(int(cell), 0), int(kind),
        _boot(age, now), float(rating), int(zone) != UNKNOWN, int(cell) != UNKNOWN,
    )  # fmt: skip
    return InheritedEndpoint(listing, Address(str(host), int(port)), int(boot_ms))


def _export_sources(sources: InheritedSources, now: int) -> dict[str, Any]:
    snapshot = sources.snapshot
    reports = {
        source: [_export_report(report, sources.boots_ms, now) for report in of_source]
        for source, of_source in snapshot.reports.items()
    }
    return {
        PLATFORM_VERSION: sources.platform_rev,
        REPORTS: reports,
        COMPLETE: sorted(snapshot.complete_sources),
        LISTING: sorted(snapshot.listing_sources),
        READY: [[*address, _age(boot, now)] for address, boot in snapshot.ready.items()],
    }


def _export_report(report: ServerReport, boots_ms: dict[str, int], now: int) -> list[Any]:
    return [
        report.uid,
        report.host,
        report.port,
        report.zone,
        int(report.health),
        report.weight,
        _age(report.boot, now),
        report.cell,
        report.kind,
        boots_ms.get(report.uid, 0),
    ]


def _parse_sources(raw: Any, now: int) -> InheritedSources:
    rows = {str(source): list(of_source) for source, of_source in raw[REPORTS].items()}
    reports = {
        source: [_parse_report(row, now) for row in of_source] for source, of_source in rows.items()
    }
    snapshot = ListSnapshot(
        reports,
        frozenset(str(source) for source in raw[COMPLETE]),
        frozenset(str(source) for source in raw[LISTING]),
        {(str(host), int(port)): _boot(age, now) for host, port, age in raw[READY]},
    )
    boots_ms = {str(row[0]): int(row[-1]) for of_source in rows.values() for row in of_source}
    return InheritedSources(snapshot, int(raw[PLATFORM_VERSION]), boots_ms)


def _parse_report(row: Any, now: int) -> ServerReport:
    uid, host, port, zone, health, weight, age, cell, kind, _ = row
    if not math.isfinite(weight):
        raise HandedStateError(f"weight {weight!r} is not a finite number")
    return ServerReport(
        str(uid), str(host), int(port), str(zone), Health(health), float(weight), _boot(age, now),
        int(cell), int(kind),
    )  # fmt: skip
