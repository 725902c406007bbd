"""A routes file's classes and routes as decoded, before they are resolved.

Values keep the line and the section that wrote them, through defaults, bases and
classes, so that a fault points at what has to be changed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from loadbalancer.core.balancing.model import Effect, Scope
from loadbalancer.core.routes.table import Pattern, conditions

REPEATS = {"safe": Effect.PURE, "keyed": Effect.TOKEN, "never": Effect.SIDE_EFFECT}
REPEAT_NAMES = {effect: name for name, effect in REPEATS.items()}
METHODS = ("GET", "POST")  # the protocol's: safe classes are asked by GET, others by POST


class Given(NamedTuple):
    """A value as written, with its line and the section that wrote it."""

    value: Any
    line: int
    where: str


Values = dict[str, Given]


@dataclass(slots=True)
class ClassSpec:
    """A class as the file (and, where given, the settings) have it. Times in nanoseconds."""

    name: str
    number: int
    line: int
    effect: Effect
    values: Values  # defaults and bases included
    give_up: int = 0
    scope: Scope = Scope.ALL
    window: int = 0


@dataclass(slots=True)
class RouteSpec:
    """A route as the file has it; `full` is its service's name and its own."""

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

    def before(self, other: RouteSpec) -> bool:
        """Whether this is tried before the other, on paths that fit both."""
        mine = (self.pattern.rank(), -self.conditions())
        return mine < (other.pattern.rank(), -other.conditions())

    def conditions(self) -> int:
        """How narrow its conditions are, by `table.conditions`."""
        return conditions(self.methods, self.classes)

    def clashes(self, other: RouteSpec) -> bool:
        """Whether two routes on one path with the same kinds of conditions share requests."""
        return (
            self.conditions() == other.conditions()
            and (not self.methods or bool(self.methods & other.methods))
            and (not self.classes or bool(self.classes & other.classes))
        )

    def catches_all(self) -> bool:
        """Whether it takes every request that no other route takes."""
        return self.pattern.prefix and not self.pattern.segments and not self.conditions()

    def effect_of(self, spec: ClassSpec) -> Effect:
        """What a repeat may do to a request of this class: the stricter of both their words."""
        given = self.values.get("repeat")
        return spec.effect if given is None else max(spec.effect, given.value)
