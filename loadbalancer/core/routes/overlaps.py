"""Checks for routes of one service that overlap.

A route may make another unreachable, or take requests of a stricter class.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from loadbalancer.core.balancing.model import Effect, Settings
from loadbalancer.core.routes.faults import FaultLog
from loadbalancer.core.routes.specs import METHODS, REPEAT_NAMES, ClassSpec, RouteSpec
from loadbalancer.core.routes.table import Pattern

MethodAndClass = tuple[bytes, bytes]  # method and declared class; b"" if none is declared


class OverlapRules:
    """Checks the routes of a service against one another."""

    __slots__ = ("_classes", "_faults", "_settings")

    def __init__(
        self, classes: Mapping[str, ClassSpec], settings: Settings | None, faults: FaultLog
    ) -> None:
        self._classes = classes
        self._settings = settings
        self._faults = faults

    def check(self, routes: Sequence[RouteSpec]) -> None:
        """Report routes that are unreachable, ambiguous, or take a stricter class's requests."""
        self._check_hidden(routes)
        self._check_captures(routes)

    def _matching_requests(self, route: RouteSpec) -> set[MethodAndClass]:
        """Return the (method, declared class) pairs whose requests can match a route.

        Requests of a safe class use GET, all others POST. A request that declares a
        class must declare the one that applies to it; b"" means that it declares none.
        """
        methods = route.methods or frozenset(m.encode() for m in METHODS)
        declared = route.classes or frozenset((*(c.encode() for c in self._classes), b""))
        requests = {(method, name) for method in methods for name in declared}
        if route.deny:
            return requests
        return {(method, name) for method, name in requests if self._reaches(route, method, name)}

    def _reaches(self, route: RouteSpec, method: bytes, declared: bytes) -> bool:
        cls = route.assigned or declared.decode()
        if not cls or cls not in self._classes:
            return False
        if route.assigned and declared not in (b"", route.assigned.encode()):
            return False
        safe = self._effect_of(cls) == Effect.PURE
        return method == (b"GET" if safe else b"POST")

    def _effect_of(self, cls: str) -> Effect:
        """Return the effect that decides on the method: of the settings if given, else the file."""
        if self._settings is not None:
            for known in self._settings.classes:
                if known.name == cls:
                    return known.effect
        return self._classes[cls].effect

    def _check_hidden(self, routes: Sequence[RouteSpec]) -> None:
        """Report routes that no request can reach and routes of equal precedence that overlap.

        Only routes on the same path can make a route unreachable. Any other route that
        overlaps it differs in some segment, and the leftmost such segment leaves it paths
        that the other does not match.
        """
        groups: dict[tuple[tuple[bytes | None, ...], bool], list[RouteSpec]] = {}
        for route in routes:
            groups.setdefault((route.pattern.segments, route.pattern.prefix), []).append(route)
        for group in groups.values():
            self._check_one_path(sorted(group, key=lambda r: -r.conditions()))

    def _check_one_path(self, group: list[RouteSpec]) -> None:
        """Check routes on one path, given in the order in which they are tried."""
        reached: dict[MethodAndClass, RouteSpec] = {}
        for i, route in enumerate(group):
            equal = next((r for r in group[:i] if r.conflicts_with(route)), None)
            if equal is not None:
                self._report_equal(equal, route)
                continue
            requests = self._matching_requests(route)
            self._check_reached(route, requests, reached)
            for request in requests:
                reached.setdefault(request, route)

    def _report_equal(self, one: RouteSpec, other: RouteSpec) -> None:
        first, second = sorted((one, other), key=lambda r: r.line)
        wrong = f"route {second.full} and {first.full} (line {first.line}) match the "
        wrong += f"same requests at {other.pattern}, and neither takes precedence"
        right = "restrict one to a method or class that the other does not have"
        self._faults.add(second.path_line, "equal-routes", wrong, right)

    def _check_reached(
        self,
        route: RouteSpec,
        requests: set[MethodAndClass],
        claimed_by: Mapping[MethodAndClass, RouteSpec],
    ) -> None:
        if not requests:
            wrong = f"no request can reach route {route.full}: its methods are "
            wrong += "not those of its classes"
            right = "requests of safe classes use GET, others POST"
            self._faults.add(route.path_line, "unreachable-route", wrong, right)
        elif requests <= claimed_by.keys():
            by = sorted({claimed_by[request].full for request in requests})
            wrong = f"no request can reach route {route.full}: {', '.join(by)} take all of them"
            right = "remove it, or narrow the routes before it"
            self._faults.add(route.path_line, "unreachable-route", wrong, right)

    def _check_captures(self, routes: Sequence[RouteSpec]) -> None:
        """Report routes that assign a class's own path to a class with a less strict repeat."""
        strict = [c for c in self._classes.values() if c.effect != Effect.PURE]
        for route in routes:
            if route.deny or not route.assigned:
                continue
            effect = route.effect_of(self._classes[route.assigned])
            for cls in strict:
                if cls.name == route.assigned or effect >= cls.effect:
                    continue
                own = Pattern((cls.name.encode(),), prefix=True)
                if route.pattern.overlaps(own) and not _is_preceded(route, own, routes):
                    self._report_capture(route, effect, cls, own)

    def _report_capture(
        self, route: RouteSpec, effect: Effect, cls: ClassSpec, own: Pattern
    ) -> None:
        wrong = f"route {route.full} takes {own} as class {route.assigned}, with repeat "
        wrong += f"{REPEAT_NAMES[effect]}; class {cls.name} has repeat {REPEAT_NAMES[cls.effect]}"
        right = f'narrow its path, or add a route with prefix = "/{cls.name}" before it'
        self._faults.add_once(route.path_line, "captures-stricter", wrong, right)


def _is_preceded(route: RouteSpec, own: Pattern, routes: Sequence[RouteSpec]) -> bool:
    """Whether another route without conditions takes all of `own` before this one."""
    return any(
        other is not route
        and not other.conditions()
        and other.pattern.covers(own)
        and other.precedes(route)
        for other in routes
    )
