"""Decodes and resolves the services of a routes file and their routes."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from loadbalancer.core.balancing.model import Settings
from loadbalancer.core.routes.canonical import FormError
from loadbalancer.core.routes.faults import FaultLog
from loadbalancer.core.routes.overlaps import OverlapRules
from loadbalancer.core.routes.patterns import check_host, parse_pattern
from loadbalancer.core.routes.policy import POLICY_KEYS, read_policy_keys, resolve_policy
from loadbalancer.core.routes.reader import TableReader, suggestion
from loadbalancer.core.routes.rules import PolicyRules
from loadbalancer.core.routes.specs import (
    METHODS,
    REPEAT_NAMES,
    REPEATS,
    ClassSpec,
    Given,
    RouteSpec,
    Values,
)
from loadbalancer.core.routes.table import Pattern, Policy, Route, Service

MAX_ROUTES = 50_000
SERVICE_KEYS = ("name", "hosts", "route")
ROUTE_KEYS = (
    "name",
    "path",
    "prefix",
    "methods",
    "classes",
    "class",
    "deny",
    "repeat",
    *POLICY_KEYS,
)


@dataclass(slots=True)
class Explained:
    """A resolved policy and the origin of each of its values."""

    policy: Policy
    values: Values


class ServiceReader:
    """Decodes every `[[service]]` with its `[[service.route]]` tables."""

    __slots__ = ("_classes", "_faults", "_hosts", "_overlaps", "_route_count", "_rules",
                 "_top", "explained")  # fmt: skip

    def __init__(
        self,
        top: TableReader,
        classes: Mapping[str, ClassSpec],
        settings: Settings | None,
        rules: PolicyRules,
    ) -> None:
        self._top = top
        self._faults: FaultLog = top.faults
        self._classes = classes
        self._rules = rules
        self._overlaps = OverlapRules(classes, settings, top.faults)
        self._hosts: dict[str, tuple[str, int]] = {}  # service and line of each host
        self._route_count = 0
        self.explained: list[Explained] = []

    def read(self) -> list[Service]:
        """Return all services in the order of the file."""
        names: dict[str, int] = {}
        tables = self._top.children("service")
        if not tables:
            self._faults.add(1, "missing-key", "the file has no service", "write [[service]]")
        return [self._read_service(table, names) for table in tables]

    def _read_service(self, table: TableReader, names: dict[str, int]) -> Service:
        table.known(SERVICE_KEYS)
        name = table.name(names, "service")
        hosts = self._read_hosts(table, name)
        specs = list(self._read_routes(table, name))
        self._overlaps.check(specs)
        if not any(spec.catches_all() for spec in specs):
            right = 'add a route with prefix = "/", with deny = true to reject the other requests'
            wrong = f"service {name} has no route for requests that match no other route"
            table.fault_here("no-catch", wrong, right)
        return Service(name, hosts, [self._resolve(spec) for spec in specs])

    def _read_hosts(self, table: TableReader, service: str) -> list[str]:
        found = table.value("hosts", list)
        if not found and "hosts" not in table.raw:
            right = 'write hosts = ["topup.example.org"], or ["*"]'
            table.fault_here("missing-key", f"service {service} has no hosts", right)
        valid = []
        for i, host in enumerate(found or ()):
            line = table.line("hosts", i)
            try:
                valid.append(check_host(host))
            except FormError as err:
                right = 'write a name, "*.suffix" or "*", without port or upper case'
                self._faults.add(line, "bad-host", f"host {str(host)[:60]!r}: {err}", right)
                continue
            self._claim_host(host, service, line)
        return valid

    def _claim_host(self, host: str, service: str, line: int) -> None:
        if host in self._hosts:
            other, at = self._hosts[host]
            wrong = f"host {host!r} already belongs to service {other}, in line {at}"
            self._faults.add(line, "duplicate-host", wrong, "list it in one service only")
        self._hosts.setdefault(host, (service, line))

    def _read_routes(self, table: TableReader, service: str) -> Iterator[RouteSpec]:
        names: dict[str, int] = {}
        for route in table.children("route"):
            self._route_count += 1
            if self._route_count > MAX_ROUTES:
                wrong = f"more than {MAX_ROUTES} routes"
                if self._route_count == MAX_ROUTES + 1:
                    route.fault_here("bad-value", wrong, "distribute them over several nodes")
                return
            spec = self._read_route(route, names, service)
            if spec is not None:
                yield spec

    def _read_route(
        self, table: TableReader, names: dict[str, int], service: str
    ) -> RouteSpec | None:
        table.known(ROUTE_KEYS)
        name = table.name(names, "route")
        full = f"{service}/{name}"
        pattern = _read_pattern(table, full)
        values = _read_values(table, f"route {full}")
        methods = _read_condition(table, "methods", METHODS, "bad-value")
        classes = _read_condition(table, "classes", list(self._classes), "unknown-class")
        deny = table.value("deny", bool) or False
        assigned = self._read_assigned(table)
        if deny and (values or assigned):
            right = "remove either deny or the class and policy keys"
            table.fault(
                "deny",
                "deny-grants",
                f"route {full} has deny but also a class or policy keys",
                right,
            )
        if pattern is None:
            return None
        path_line = table.line(_path_key(table))
        return RouteSpec(
            name, full, table.line(), pattern, methods, classes, assigned, deny, values, path_line
        )

    def _read_assigned(self, table: TableReader) -> str | None:
        """Read the class that a route assigns to its requests."""
        assigned = table.value("class", str)
        if assigned is None or assigned in self._classes:
            return assigned
        right = suggestion(assigned, self._classes, "name a class of this file")
        table.fault("class", "unknown-class", f"{assigned!r} is not a class of this file", right)
        return None

    def _resolve(self, spec: RouteSpec) -> Route:
        policies: dict[bytes, Policy] = {}
        for name in self._classes_with_policy(spec):
            policies[name.encode()] = self._resolve_for(spec, self._classes[name])
        assigned = spec.assigned.encode() if spec.assigned else None
        return Route(
            spec.full, spec.pattern, spec.methods, spec.classes, assigned, spec.deny, policies
        )

    def _classes_with_policy(self, spec: RouteSpec) -> list[str]:
        """Return the classes for which a route has a policy."""
        if spec.deny:
            return []
        if spec.assigned:
            return [spec.assigned]
        return [c for c in self._classes if not spec.classes or c.encode() in spec.classes]

    def _resolve_for(self, spec: RouteSpec, cls: ClassSpec) -> Policy:
        given = spec.values.get("repeat")
        if given is not None and given.value < cls.effect:
            wrong = f"route {spec.full} has repeat {REPEAT_NAMES[given.value]}, class {cls.name} "
            wrong += REPEAT_NAMES[cls.effect]
            right = "a route may be stricter than its class, never looser"
            self._faults.add_once(given.line, "repeat-looser", wrong, right)
        values = cls.values | spec.values
        policy = resolve_policy(spec.full, cls, spec.effect_of(cls), values)
        self._rules.check(policy, cls, values)
        self.explained.append(Explained(policy, values))
        return policy


def _read_values(table: TableReader, where: str) -> Values:
    """Read a route's policy keys and its `repeat`."""
    values = read_policy_keys(table, where)
    effect = table.choice("repeat", REPEATS)
    if effect is not None:
        values["repeat"] = Given(effect, table.line("repeat"), where)
    return values


def _read_condition(
    table: TableReader, key: str, known: list[str] | tuple[str, ...], rule: str
) -> frozenset[bytes]:
    """Read the values of which a request must have one; empty if any value matches."""
    given = table.choices(key, known, rule)
    if given == [] and table.raw[key] == []:
        table.fault(key, "bad-value", f"{key} is empty", "name one, or leave it out for any")
    return frozenset(value.encode() for value in given or ())


def _path_key(table: TableReader) -> str:
    return "prefix" if "prefix" in table.raw else "path"


def _read_pattern(table: TableReader, full: str) -> Pattern | None:
    key = _path_key(table)
    if ("path" in table.raw) == ("prefix" in table.raw):
        wrong = f"route {full} needs exactly one of path and prefix"
        right = 'write path = "/balance/{id}" or prefix = "/"'
        table.fault(key, "missing-key", wrong, right)
        return None
    text = table.value(key, str)
    if text is None:
        return None
    try:
        return parse_pattern(text, key == "prefix")
    except FormError as err:
        table.fault(key, "bad-path", f"{key} {text[:60]!r}: {err}", "write the canonical form")
        return None
