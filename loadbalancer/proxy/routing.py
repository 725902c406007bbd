"""The routes file in force at one node, and each request's place in it.

Imported only where a file is set. Matching and rules are in `core.routes`; here the file is
read, replaced completely or not at all, and a request that no route takes is refused and
counted by reason.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple, Protocol

from loadbalancer.config.routes_file import check_file
from loadbalancer.core import Settings
from loadbalancer.core.routes.canonical import FormError, canonical_host, is_canonical, target
from loadbalancer.core.routes.table import Policy, Service, Table
from loadbalancer.errors import BadRequestError, RoutesError

MAX_HOSTS = 1024  # spellings of Host that are cached; clients choose them

# Why a request is refused: the keys of the counters in the log.
UNKNOWN_HOST = "unknown-host"
UNKNOWN_PATH = "unknown-path"
DENIED = "denied"
BAD_TARGET = "bad-target"
BAD_HOST = "bad-host"
OTHER_CLASS = "other-class"
RESPONSES = {
    UNKNOWN_HOST: (404, b"no service here has this host\n"),
    UNKNOWN_PATH: (404, b"no route of this service takes this request\n"),
    DENIED: (403, b"this request is not allowed here\n"),
    BAD_TARGET: (400, b"the request target has no canonical form\n"),
    BAD_HOST: (400, b"the host is not valid\n"),
    OTHER_CLASS: (400, b"the request names another class than its route\n"),
}


class Head(Protocol):
    """What routing reads of a request, and writes: `url` and the Host line in canonical form."""

    url: bytes
    method: bytes
    lines: list[bytes]
    fields: dict[bytes, bytes]
    path: bytes


def read_table(path: str, settings: Settings) -> Table:
    """The table of a routes file under a node's settings, whose classes the routes may name.

    Raises:
        RoutesError: the file can't be used; names its first fault.
    """
    result = check_file(path, settings)
    if result.table is None:
        faults = result.faults
        raise RoutesError(f"{path}:{faults[0]} (faults: {len(faults)})")
    return result.table


class KnownHost(NamedTuple):
    """What one spelling of a Host stands for."""

    service: Service | None  # None for a host that no service has
    canonical: bytes


class Routing:
    """The table in force. A replaced one is freed: requests retain only their own policy."""

    def __init__(self, table: Table) -> None:
        self.table = table
        self.refused: Counter[str] = Counter()  # requests by reason
        self._hosts: dict[bytes, KnownHost] = {}

    def replace(self, table: Table) -> None:
        """Use another table from now on."""
        self.table = table
        self._hosts.clear()

    def route_request(self, head: Head) -> Policy:
        """The policy of the route that takes a request, whose target is made canonical.

        Raises:
            BadRequestError: no route takes it, or it is not allowed there.
        """
        fields = head.fields
        host = given = fields.get(b"host", b"")
        path = head.url
        if not is_canonical(path):
            try:
                path, query, authority = target(path)
            except FormError:
                raise self._refusal(BAD_TARGET) from None
            head.url = path + query
            host = given if authority is None else authority
        head.path = path
        known = self._hosts.get(host)
        if known is None:
            known = self._resolve_host(host)
        service, canonical = known
        if canonical != given:
            _rewrite_host(head, canonical)
        if service is None:
            raise self._refusal(UNKNOWN_HOST)
        segments = path.split(b"/")
        declared = fields.get(b"x-priority-class")
        first = segments[1]
        route = service.match(path, segments, head.method, first if declared is None else declared)
        if route is None:
            raise self._refusal(UNKNOWN_PATH)
        if route.deny:
            raise self._refusal(DENIED)
        # A class is assigned by its route, or is the path's first segment. The header that
        # declares one has to agree: by the header alone a client could choose its policy.
        name = first if route.assigned is None else route.assigned
        policy = route.policies.get(name)
        if policy is None:
            raise self._refusal(UNKNOWN_PATH)
        if declared is not None and declared != name:
            raise self._refusal(OTHER_CLASS)
        return policy

    def _resolve_host(self, raw: bytes) -> KnownHost:
        """Look a Host up by its canonical form, and cache it as it is spelled."""
        try:
            host, port = canonical_host(raw)
        except FormError:
            raise self._refusal(BAD_HOST) from None
        if len(self._hosts) >= MAX_HOSTS:
            self._hosts.clear()
        known = KnownHost(self.table.service(host), host + b":" + port if port else host)
        self._hosts[raw] = known
        return known

    def _refusal(self, reason: str) -> BadRequestError:
        """Count a refused request; returns the error to raise."""
        self.refused[reason] += 1
        return BadRequestError(*RESPONSES[reason])


def _rewrite_host(head: Head, host: bytes) -> None:
    head.fields[b"host"] = host
    head.lines = [line for line in head.lines if line[:5].lower() != b"host:"]
    head.lines.insert(0, b"Host: %s\r\n" % host)
