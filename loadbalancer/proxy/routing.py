"""The routes file in force at one node, and the place of each request in it.

Imported only where a file is set. Matching and rules are loadbalancer.core's; here the
file is read, taken over whole or not at all, and what falls under no route is
refused and counted by reason.
"""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from loadbalancer.config.routes_file import check_file
from loadbalancer.core import Settings
from loadbalancer.core.routes.canonical import FormError, canonical_host, is_canonical, target
from loadbalancer.core.routes.table import Policy, Service, Table
from loadbalancer.errors import BadRequestError, RoutesError

MAX_HOSTS = 1024  # spellings of Host remembered; clients choose them

UNKNOWN_HOST = "unknown-host"
UNKNOWN_PATH = "unknown-path"
DENIED = "denied"
BAD_TARGET = "bad-target"
BAD_HOST = "bad-host"
OTHER_CLASS = "other-class"
TEXTS = {
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


class Routing:
    """Replaced tables are kept by no one: requests hold on to their policy alone."""

    def __init__(self, path: str, settings: Settings) -> None:
        self.path = path
        self.refused: Counter[str] = Counter()
        self._settings = settings
        self._hosts: dict[bytes, tuple[Service | None, bytes]] = {}
        self.table = self._load(path)

    def _load(self, path: str) -> Table:
        return self.check(path, self._settings)

    @staticmethod
    def check(path: str, settings: Settings) -> Table:
        """The table of a file under these settings; RoutesError names its first fault."""
        result = check_file(path, settings)
        if result.table is None:
            faults = result.faults
            raise RoutesError(f"{path}:{faults[0]} (faults: {len(faults)})")
        return result.table

    def reload(self, path: str, settings: Settings) -> None:
        """Take a replaced file over whole; RoutesError where it can't be, with nothing changed."""
        self.table = self.check(path, settings)
        self._settings = settings
        self.path = path
        self._hosts.clear()

    def place(self, head: Head) -> Policy:
        """The policy a request falls under; BadRequestError where there is none."""
        fields = head.fields
        host = given = fields.get(b"host", b"")
        path = head.url
        if not is_canonical(path):
            try:
                path, query, authority = target(path)
            except FormError:
                raise self._refuse(BAD_TARGET) from None
            head.url = path + query
            host = given if authority is None else authority
        head.path = path
        known = self._hosts.get(host)
        if known is None:
            known = self._learn(host)
        service, canonical = known
        if canonical != given:
            _rewrite_host(head, canonical)
        if service is None:
            raise self._refuse(UNKNOWN_HOST)
        segments = path.split(b"/")
        declared = fields.get(b"x-priority-class")
        first = segments[1]
        route = service.match(path, segments, head.method, first if declared is None else declared)
        if route is None:
            raise self._refuse(UNKNOWN_PATH)
        if route.deny:
            raise self._refuse(DENIED)
        # A class is assigned by its route, or stands in the path: never chosen by a
        # header alone, which would let a client pick the policy it is treated by.
        name = first if route.assigned is None else route.assigned
        policy = route.policies.get(name)
        if policy is None:
            raise self._refuse(UNKNOWN_PATH)
        if declared is not None and declared != name:
            raise self._refuse(OTHER_CLASS)
        return policy

    def _learn(self, raw: bytes) -> tuple[Service | None, bytes]:
        try:
            host, port = canonical_host(raw)
        except FormError:
            raise self._refuse(BAD_HOST) from None
        if len(self._hosts) >= MAX_HOSTS:
            self._hosts.clear()
        known = (self.table.service(host), host + b":" + port if port else host)
        self._hosts[raw] = known
        return known

    def _refuse(self, reason: str) -> BadRequestError:
        self.refused[reason] += 1
        return BadRequestError(*TEXTS[reason])


def _rewrite_host(head: Head, host: bytes) -> None:
    head.fields[b"host"] = host
    head.lines = [line for line in head.lines if line[:5].lower() != b"host:"]
    head.lines.insert(0, b"Host: %s\r\n" % host)
