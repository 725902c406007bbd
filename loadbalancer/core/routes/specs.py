"""Decoded but unresolved classes and routes of a routes file.

Values inherited from defaults, bases and classes keep the line and section where they
were written, so that a fault points at the value to change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from loadbalancer.core.balancing.model import Effect, Scope
from loadbalancer.core.routes.table import Pattern, conditions

REPEATS = {"safe": Effect.PURE, "keyed": Effect.TOKEN, "never": Effect.SIDE_EFFECT}
REPEAT_NAMES = {effect: name for name, effect in REPEATS.items()}
METHODS = ("GET", "POST")  # requests of safe classes use GET, others POST


class Given(NamedTuple):
    """A value with the line and section where it was written."""

    value: Any
    line: int
    where: str


Values = dict[str, Given]


@dataclass(slots=True)
class ClassSpec:
    """A class as the file and, if given, the settings define it; times in nanoseconds."""

    name: str
    number: int
    line: int
    effect: Effect
    values: Values  # including defaults and bases
    give_up: int = 0
    scope: Scope = Scope.ALL
    window: int = 0


@dataclass(slots=True)
class RouteSpec:
    """A route as the file defines it; `full` is `service/route`."""

    name: str
    full: str
    line: int
    pattern: Pattern
    methods: frozenset[bytes]
    classes: frozenset[bytes]
    assigned: str | None
    deny: bool
    values: Values
    path_line: int

    def precedes(self, other: RouteSpec) -> bool:
        """Whether this route is tried first on paths that match both."""
        mine = (self.pattern.rank(), -self.conditions())
        return mine < (other.pattern.rank(), -other.conditions())

    def conditions(self) -> int:
        """Return the precedence of the route's conditions, see `table.conditions`."""
        return conditions(self.methods, self.classes)

    def conflicts_with(self, other: RouteSpec) -> bool:
        """Whether two routes on one path have equal precedence and match some same request."""
        return (
            self.conditions() == other.conditions()
            and (not self.methods or bool(self.methods & other.methods))
            and (not self.classes or bool(self.classes & other.classes))
        )

    def catches_all(self) -> bool:
        """Whether this route matches every request that no other route matches."""
        return self.pattern.prefix and not self.pattern.segments and not self.conditions()

    def effect_of(self, spec: ClassSpec) -> Effect:
        """Return the effect of a repeat: the stricter one of the route and the class."""
        given = self.values.get("repeat")
        return spec.effect if given is None else max(spec.effect, given.value)
