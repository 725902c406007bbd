"""Routes of one service that hide one another, or take what another class must have."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from loadbalancer.core.balancing.model import Effect, Settings
from loadbalancer.core.routes.faults import FaultLog
from loadbalancer.core.routes.specs import METHODS, REPEAT_NAMES, ClassSpec, RouteSpec
from loadbalancer.core.routes.table import Pattern

Way = tuple[bytes, bytes]  # a method and a declared class, b"" for none declared


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
        """Report every route that is hidden, equal to another, or captures a stricter class."""
        self._check_hidden(routes)
        self._check_captures(routes)

    # ---- which route hides which --------------------------------------

    def _ways(self, route: RouteSpec) -> set[Way]:
        """The (method, declared class) pairs with which a request can reach a route.

        A safe class is asked by GET, others by POST, and a request that names a
        class must name the one it falls under; "" stands for one that names none.
        """
        methods = route.methods or frozenset(m.encode() for m in METHODS)
        declared = route.classes or frozenset((*(c.encode() for c in self._classes), b""))
        ways = {(method, name) for method in methods for name in declared}
        if route.deny:
            return ways
        return {(method, name) for method, name in ways if self._reaches(route, method, name)}

    def _reaches(self, route: RouteSpec, method: bytes, declared: bytes) -> bool:
        cls = route.assigned or declared.decode()
        if not cls or cls not in self._classes:
            return False
        if route.assigned and declared not in (b"", route.assigned.encode()):
            return False
        safe = self._effect_of(cls) == Effect.PURE
        return method == (b"GET" if safe else b"POST")

    def _effect_of(self, cls: str) -> Effect:
        """What the protocol's methods follow: the settings where given, else the file."""
        if self._settings is not None:
            for known in self._settings.classes:
                if known.name == cls:
                    return known.effect
        return self._classes[cls].effect

    def _check_hidden(self, routes: Sequence[RouteSpec]) -> None:
        """Routes that no request can reach, and those that are equal where they meet.

        Under the order a route is hidden only by routes on the same path: on any
        other that meets it, the leftmost segment that differs leaves it paths.
        """
        groups: dict[tuple[tuple[bytes | None, ...], bool], list[RouteSpec]] = {}
        for route in routes:
            groups.setdefault((route.pattern.segments, route.pattern.prefix), []).append(route)
        for group in groups.values():
            self._check_one_path(sorted(group, key=lambda r: -r.conditions()))

    def _check_one_path(self, group: list[RouteSpec]) -> None:
        """Routes on one path, in the order in which they are tried."""
        reached: dict[Way, RouteSpec] = {}
        for i, route in enumerate(group):
            equal = next((r for r in group[:i] if r.clashes(route)), None)
            if equal is not None:
                self._equal(equal, route)
                continue
            ways = self._ways(route)
            self._check_reached(route, ways, reached)
            for way in ways:
                reached.setdefault(way, route)

    def _equal(self, one: RouteSpec, other: RouteSpec) -> None:
        first, second = sorted((one, other), key=lambda r: r.line)
        wrong = f"route {second.full} and {first.full} (line {first.line}) take the "
        wrong += f"same requests at {other.pattern}, and none goes before the other"
        right = "give one a method or class that the other lacks"
        self._faults.add(second.path_line, "equal-routes", wrong, right)

    def _check_reached(
        self, route: RouteSpec, ways: set[Way], taken: Mapping[Way, RouteSpec]
    ) -> None:
        if not ways:
            wrong = f"no request can reach route {route.full}: none of its classes is "
            wrong += "asked by its methods"
            right = "safe classes are asked by GET, others by POST"
            self._faults.add(route.path_line, "unreachable-route", wrong, right)
        elif ways <= taken.keys():
            by = sorted({taken[way].full for way in ways})
            wrong = f"no request can reach route {route.full}: {', '.join(by)} take them all"
            right = "leave it out, or narrow what hides it"
            self._faults.add(route.path_line, "unreachable-route", wrong, right)

    # ---- which route takes a stricter class's path --------------------

    def _check_captures(self, routes: Sequence[RouteSpec]) -> None:
        """Routes that take a class's own path under a class that repeats more freely."""
        strict = [c for c in self._classes.values() if c.effect != Effect.PURE]
        for route in routes:
            if route.deny or not route.assigned:
                continue
            effect = route.effect_of(self._classes[route.assigned])
            for cls in strict:
                if cls.name == route.assigned or effect >= cls.effect:
                    continue
                own = Pattern((cls.name.encode(),), prefix=True)
                if route.pattern.meets(own) and not _guarded(route, own, routes):
                    self._captures(route, effect, cls, own)

    def _captures(self, route: RouteSpec, effect: Effect, cls: ClassSpec, own: Pattern) -> None:
        wrong = f"route {route.full} takes {own} as class {route.assigned}, which repeats "
        wrong += f"{REPEAT_NAMES[effect]}; class {cls.name} repeats {REPEAT_NAMES[cls.effect]}"
        right = f'narrow its path, or add a route with prefix = "/{cls.name}" before it'
        self._faults.add_once(route.path_line, "captures-stricter", wrong, right)


def _guarded(route: RouteSpec, own: Pattern, routes: Sequence[RouteSpec]) -> bool:
    """Whether another route, without conditions, takes all of `own` before this one."""
    return any(
        other is not route
        and not other.conditions()
        and other.pattern.covers(own)
        and other.before(route)
        for other in routes
    )
