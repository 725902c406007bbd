"""Routes requests by the current routes file of one node.

This module is imported only if a routes file is configured. `core.routes` has the matching and
the rules. Here the file is read, its table is replaced as one step, and a request that matches no
route is refused and counted by reason.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple, Protocol

from loadbalancer.config.routes_file import check_file
from loadbalancer.core import Settings
from loadbalancer.core.routes.canonical import FormError, canonical_host, is_canonical, target
from loadbalancer.core.routes.table import Policy, Service, Table
from loadbalancer.errors import BadRequestError, RoutesError

MAX_CACHED_HOSTS = 1024  # bound of the Host cache: its keys are sent by clients

# Why a request is refused: keys of the counters that are logged at a stop.
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
    """The head of a request; routing replaces `url` and the Host line by their canonical forms."""

    url: bytes
    method: bytes
    lines: bytearray
    fields: dict[bytes, bytes]
    path: bytes


def read_table(path: str, settings: Settings) -> Table:
    """Read a routes file, whose routes may name the classes in `settings`.

    Raises:
        RoutesError: the file can't be used; the message has the first fault and their number.
    """
    result = check_file(path, settings)
    if result.table is None:
        faults = result.faults
        raise RoutesError(f"{path}:{faults[0]} (faults: {len(faults)})")
    return result.table


class KnownHost(NamedTuple):
    """The lookup of a Host header value: its service and its canonical form."""

    service: Service | None  # None if no service has this host
    canonical: bytes


class Routing:
    """Routes requests by a table; a replaced one is freed, as requests refer to policies only."""

    def __init__(self, table: Table) -> None:
        self.table = table
        self.refused: Counter[str] = Counter()  # refused requests by reason
        self._hosts: dict[bytes, KnownHost] = {}

    def replace(self, table: Table) -> None:
        """Replace the table."""
        self.table = table
        self._hosts.clear()

    def route_request(self, head: Head) -> Policy:
        """Return the policy of the route that matches a request, and make its target canonical.

        Raises:
            BadRequestError: the request is malformed, matches no route, or is not allowed.
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
        # The class is assigned by the route, or is the first segment of the path. A class that
        # the header declares has to be the same: otherwise a client could choose its policy.
        name = first if route.assigned is None else route.assigned
        policy = route.policies.get(name)
        if policy is None:
            raise self._refusal(UNKNOWN_PATH)
        if declared is not None and declared != name:
            raise self._refusal(OTHER_CLASS)
        return policy

    def _resolve_host(self, raw: bytes) -> KnownHost:
        """Look up the canonical form of a Host value, and cache the result under the raw value."""
        try:
            host, port = canonical_host(raw)
        except FormError:
            raise self._refusal(BAD_HOST) from None
        if len(self._hosts) >= MAX_CACHED_HOSTS:
            self._hosts.clear()
        known = KnownHost(self.table.service(host), host + b":" + port if port else host)
        self._hosts[raw] = known
        return known

    def _refusal(self, reason: str) -> BadRequestError:
        """Count a refused request, and return the error to raise."""
        self.refused[reason] += 1
        return BadRequestError(*RESPONSES[reason])


def _rewrite_host(head: Head, host: bytes) -> None:
    head.fields[b"host"] = host
    lines = head.lines.splitlines(keepends=True)
    others = (line for line in lines if line[:5].lower() != b"host:")
    head.lines = bytearray(b"Host: %s\r\n%s" % (host, b"".join(others)))
