"""The routes file: decoding, inheritance and rules, every fault with its line.

Takes what a TOML parser made of the file and where each key stands; returns a
frozen `routes.Table` or faults, never both. Free of I/O. Each rule has an id and
a paragraph in docs/operate/routes.md. Inheritance goes defaults -> class (its
`base` first) -> route; a value keeps the line where it was written, so that a
fault points at what has to be changed, not at where it took effect.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from difflib import get_close_matches
from typing import Any, NamedTuple, TypeVar, cast

from flinthatch.model import Effect, RequestClass, Scope, Settings
from flinthatch.routes.canonical import FormError, canonical_host, canonical_path
from flinthatch.routes.table import (
    DEFAULT_NODE_BUDGET,
    NEVER_RAN,
    BudgetSpec,
    Condition,
    CopySpec,
    Pattern,
    Policy,
    Route,
    Service,
    Table,
    conditions,
)

VERSION = 1
MAX_ATTEMPTS = 10
MAX_ROUTES = 50_000
MAX_PATTERN = 64  # segments
MAX_DURATION = 3600 * 1_000_000_000

REPEATS = {"safe": Effect.PURE, "keyed": Effect.TOKEN, "never": Effect.SIDE_EFFECT}
REPEAT_NAMES = {effect: name for name, effect in REPEATS.items()}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}
METHODS = ("GET", "POST")  # the protocol's: safe classes are asked by GET, others by POST

POLICY_KEYS = (
    "wanted", "timeout", "attempt_timeout", "attempts", "retry_on", "backoff", "budget",
    "second_copy",
)  # fmt: skip
CLASS_KEYS = ("repeat", "scope", "window", "give_up", "base", *POLICY_KEYS)
ROUTE_KEYS = (
    "name", "path", "prefix", "methods", "classes", "class", "deny", "repeat", *POLICY_KEYS,
)  # fmt: skip
TOP_KEYS = ("version", "limits", "node", "defaults", "class", "service")

_UNITS = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000}
_DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(us|ms|s|m)").fullmatch
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}").fullmatch
_PARAMETER = re.compile(r"\{[A-Za-z_][A-Za-z0-9_]*\}").fullmatch

Path = tuple[str | int, ...]
T = TypeVar("T")


class Fault(NamedTuple):
    """One thing wrong: the line (from 1), the rule's id, what is wrong, what would be right."""

    line: int
    rule: str
    wrong: str
    right: str

    def __str__(self) -> str:
        return f"{self.line}: [{self.rule}] {self.wrong}; {self.right}"


class Given(NamedTuple):
    """A value as written, with its line and the section that wrote it."""

    value: Any
    line: int
    where: str


Values = dict[str, Given]


@dataclass(slots=True)
class ClassSpec:
    """A class as the file (and, where given, the settings) have it."""

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
        return conditions(self.methods, self.classes)


@dataclass(slots=True)
class Explained:
    """One resolved policy and, for each of its values, where it comes from."""

    policy: Policy
    values: Values


@dataclass(slots=True)
class Result:
    """`table` is None exactly where there are faults. Both lists are in the file's order."""

    table: Table | None
    faults: list[Fault]
    warnings: list[Fault]
    explained: list[Explained] = field(default_factory=list)


class Lines:
    """Where each key stands; a key that is not in the file stands where its table does."""

    __slots__ = ("_at",)

    def __init__(self, at: Mapping[Path, int]) -> None:
        self._at = at

    def of(self, path: Path) -> int:
        while path:
            if path in self._at:
                return self._at[path]
            path = path[:-1]
        return 1


def decode(raw: dict[str, Any], at: Mapping[Path, int], settings: Settings | None = None) -> Result:
    """Check a whole file.

    `raw` is the parsed TOML, `at` the line of each key path. With `settings` the
    file is held against the classes and limits of the node that is to use it.
    """
    return _Decoder(raw, Lines(at), settings).run()


class _Decoder:
    def __init__(self, raw: dict[str, Any], lines: Lines, settings: Settings | None) -> None:
        self.raw = raw
        self.lines = lines
        self.settings = settings
        self.faults: list[Fault] = []
        self.warnings: list[Fault] = []
        self.told: set[tuple[int, str]] = set()
        self.explained: list[Explained] = []
        self.classes: dict[str, ClassSpec] = {}
        self.most_attempts = settings.max_attempts if settings else MAX_ATTEMPTS
        self.route_count = 0

    def run(self) -> Result:
        raw = self.raw
        version = raw.get("version")
        if version != VERSION or isinstance(version, bool):
            line = self.lines.of(("version",))
            self.fault(line, "version", f"version is {version!r}", f"write version = {VERSION}")
            return Result(None, self.faults, [])
        self.known(raw, (), TOP_KEYS)
        self.limits(self.table(raw, (), "limits"))
        node_budget = self.node(self.table(raw, (), "node"))
        self.read_classes(self.table(raw, (), "class"))
        services = self.read_services()
        for rows in (self.faults, self.warnings):
            rows[:] = sorted(set(rows))
        if self.faults:
            return Result(None, self.faults, self.warnings)
        return Result(Table(services, node_budget), [], self.warnings, self.explained)

    # ---- reading ------------------------------------------------------

    def fault(self, line: int, rule: str, wrong: str, right: str) -> None:
        self.faults.append(Fault(line, rule, wrong, right))

    def fault_once(self, line: int, rule: str, wrong: str, right: str) -> None:
        """As fault, for what one written value breaks wherever it is inherited."""
        if (line, rule) not in self.told:
            self.told.add((line, rule))
            self.fault(line, rule, wrong, right)

    def warn(self, line: int, rule: str, wrong: str, right: str) -> None:
        self.warnings.append(Fault(line, rule, wrong, right))

    def known(self, raw: Mapping[str, Any], path: Path, keys: Sequence[str]) -> None:
        for key in raw:
            if key not in keys:
                near = get_close_matches(key, keys, 1)
                hint = f"did you mean {near[0]!r}?" if near else f"known are {', '.join(keys)}"
                where = ".".join(str(p) for p in path if isinstance(p, str)) or "the file"
                line = self.lines.of((*path, key))
                self.fault(line, "unknown-key", f"{where} has no key {key!r}", hint)

    def typed(self, raw: Mapping[str, Any], path: Path, key: str, kind: type[T]) -> T | None:
        """A value of this type, None where it is absent or (a fault) of another."""
        value = raw.get(key)
        if value is None:
            return None
        if isinstance(value, bool) and kind is not bool:
            good = False
        else:
            good = isinstance(value, kind) or (kind is float and isinstance(value, int))
        if good:
            return cast(T, value)
        names = {str: "a string", int: "a whole number", float: "a number", bool: "true or false",
                 list: "an array", dict: "a table"}  # fmt: skip
        line = self.lines.of((*path, key))
        wrong = f"{key} is {type(value).__name__} {str(value)[:40]!r}"
        self.fault(line, "wrong-type", wrong, f"write {names[kind]}")
        return None

    def table(self, raw: Mapping[str, Any], path: Path, key: str) -> dict[str, Any]:
        return self.typed(raw, path, key, dict) or {}

    def number(
        self, raw: Mapping[str, Any], path: Path, key: str, low: float, high: float
    ) -> float | None:
        value = self.typed(raw, path, key, float)
        if value is None or low <= value <= high:
            return value
        line = self.lines.of((*path, key))
        self.fault(line, "bad-value", f"{key} is {value}", f"write {low:g} to {high:g}")
        return None

    def duration(self, raw: Mapping[str, Any], path: Path, key: str) -> int | None:
        """Nanoseconds of a string such as "250ms"."""
        value = raw.get(key)
        if value is None:
            return None
        line = self.lines.of((*path, key))
        match = _DURATION(value) if isinstance(value, str) else None
        if match is None:
            right = 'write a number and us, ms, s or m as a string, such as "250ms"'
            self.fault(line, "bad-unit", f"{key} is {str(value)[:40]!r}", right)
            return None
        # Scaled in whole numbers: 0.1 s is not a sum of binary fractions.
        whole, _, part = match[1].partition(".")
        unit = _UNITS[match[2]]
        result = int(whole) * unit + int(part or "0") * unit // int(10 ** len(part))
        if not 0 < result <= MAX_DURATION:
            self.fault(line, "bad-value", f"{key} is {value}", "write more than 0, 60m at most")
            return None
        return result

    def word(
        self, raw: Mapping[str, Any], path: Path, key: str, words: Mapping[str, T]
    ) -> T | None:
        value = self.typed(raw, path, key, str)
        if value is None or value in words:
            return None if value is None else words[value]
        near = get_close_matches(value, words, 1)
        hint = f"did you mean {near[0]!r}?" if near else f"write one of {', '.join(words)}"
        self.fault(self.lines.of((*path, key)), "bad-value", f"{key} is {value!r}", hint)
        return None

    def words(
        self, raw: Mapping[str, Any], path: Path, key: str, words: Sequence[str], rule: str
    ) -> list[str] | None:
        """An array of some of these words."""
        values = self.typed(raw, path, key, list)
        if values is None:
            return None
        good = []
        for i, value in enumerate(values):
            if isinstance(value, str) and value in words:
                good.append(value)
                continue
            near = get_close_matches(str(value), words, 1)
            hint = f"did you mean {near[0]!r}?" if near else f"known are {', '.join(words)}"
            line = self.lines.of((*path, key, i))
            self.fault(line, rule, f"{key} names {str(value)[:40]!r}", hint)
        return good

    # ---- sections -----------------------------------------------------

    def limits(self, raw: dict[str, Any]) -> None:
        self.known(raw, ("limits",), ("attempts",))
        attempts = self.number(raw, ("limits",), "attempts", 1, MAX_ATTEMPTS)
        if attempts is not None:
            self.most_attempts = min(self.most_attempts, int(attempts))

    def node(self, raw: dict[str, Any]) -> BudgetSpec:
        self.known(raw, ("node",), ("budget",))
        return self.budget(raw, ("node",)) or DEFAULT_NODE_BUDGET

    def budget(self, raw: Mapping[str, Any], path: Path) -> BudgetSpec | None:
        table = self.typed(raw, path, "budget", dict)
        if table is None:
            return None
        path = (*path, "budget")
        self.known(table, path, ("part", "floor"))
        part = self.typed(table, path, "part", float)
        floor = self.number(table, path, "floor", 0, 1000)
        if part is not None and not 0 <= part <= 1:
            line = self.lines.of((*path, "part"))
            wrong = f"part is {part}: more further attempts than requests, or none at all"
            self.fault(line, "budget-over-whole", wrong, "write 0 to 1 (0.2 is a fifth)")
        if part is None and "part" not in table:
            line = self.lines.of(path)
            self.fault(line, "missing-key", "budget has no part", "write { part = 0.2, floor = 3 }")
        return BudgetSpec(part or 0.0, 0.0 if floor is None else floor)

    def second_copy(self, raw: Mapping[str, Any], path: Path) -> CopySpec | None:
        table = self.typed(raw, path, "second_copy", dict)
        if table is None:
            return None
        path = (*path, "second_copy")
        self.known(table, path, ("after", "percentile", "most"))
        after = self.duration(table, path, "after")
        percentile = self.number(table, path, "percentile", 50, 99.9)
        most = self.number(table, path, "most", 0, 1)
        line = self.lines.of(path)
        if ("after" in table) == ("percentile" in table):
            right = 'write after = "80ms" or percentile = 95, one of them'
            self.fault(line, "missing-key", "second_copy has both or neither of its times", right)
        if "most" not in table:
            wrong = "second_copy has no bound on how many requests may have one"
            self.fault(line, "missing-key", wrong, "write most = 0.05")
        return CopySpec(after or 0, percentile or 0.0, most or 0.0)

    def backoff(self, raw: Mapping[str, Any], path: Path) -> tuple[int, int] | None:
        table = self.typed(raw, path, "backoff", dict)
        if table is None:
            return None
        path = (*path, "backoff")
        self.known(table, path, ("base", "most"))
        base = self.duration(table, path, "base")
        most = self.duration(table, path, "most")
        line = self.lines.of(path)
        if "base" not in table:
            self.fault(line, "missing-key", "backoff has no base", 'write base = "10ms"')
        if base is not None and most is not None and most < base:
            line = self.lines.of((*path, "most"))
            self.fault(line, "backoff-order", "backoff's most is under its base", "write more")
        return None if base is None else (base, most or base)

    def values(self, raw: dict[str, Any], path: Path, where: str) -> Values:
        """The policy keys of one section."""
        found: dict[str, Any] = {}
        for key in ("wanted", "timeout", "attempt_timeout"):
            found[key] = self.duration(raw, path, key)
        attempts = self.typed(raw, path, "attempts", int)
        if attempts is not None and attempts < 1:
            line = self.lines.of((*path, "attempts"))
            self.fault(line, "bad-value", f"attempts is {attempts}", "write 1 or more")
            attempts = None
        found["attempts"] = attempts
        names = self.words(raw, path, "retry_on", [c.value for c in Condition], "bad-value")
        found["retry_on"] = None if names is None else frozenset(map(Condition, names))
        found["backoff"] = self.backoff(raw, path)
        found["budget"] = self.budget(raw, path)
        found["second_copy"] = self.second_copy(raw, path)
        return {
            key: Given(value, self.lines.of((*path, key)), where)
            for key, value in found.items()
            if value is not None
        }

    # ---- classes ------------------------------------------------------

    def read_classes(self, raw: dict[str, Any]) -> None:
        defaults_raw = self.table(self.raw, (), "defaults")
        self.known(defaults_raw, ("defaults",), POLICY_KEYS)
        defaults = self.values(defaults_raw, ("defaults",), "defaults")
        tables = {name: self.table(raw, ("class",), name) for name in raw}
        own: dict[str, Values] = {}
        for name, table in tables.items():
            path: Path = ("class", name)
            self.known(table, path, CLASS_KEYS)
            if not _NAME(name):
                right = "write letters, digits, '.', '_' and '-', 64 at most"
                self.fault(self.lines.of(path), "bad-value", f"class is named {name!r}", right)
            own[name] = self.values(table, path, f"class {name}")
        by_settings = {c.name: (i, c) for i, c in enumerate(self.settings.classes)} if (
            self.settings
        ) else {}  # fmt: skip
        for i, (name, table) in enumerate(tables.items()):
            values = dict(defaults)
            for ancestor in reversed(self.line_of_bases(name, tables)):
                values |= own[ancestor]
            number, known = by_settings.get(name, (i, None))
            if self.settings is not None and known is None:
                near = get_close_matches(name, by_settings, 1)
                right = f"did you mean {near[0]!r}?" if near else (
                    f"the settings have {', '.join(by_settings)}"
                )  # fmt: skip
                line = self.lines.of(("class", name))
                self.fault(line, "unknown-class", f"the settings have no class {name!r}", right)
            self.classes[name] = self.class_spec(name, number, table, values, known)
        for name, (number, known) in by_settings.items():
            if name not in tables:
                line = self.lines.of(("defaults",)) if defaults else 1
                spec = ClassSpec(name, number, line, known.effect, dict(defaults))
                spec.give_up, spec.scope, spec.window = known.deadline, known.scope, known.window
                policy = self.policy(f"class {name}", spec, known.effect, spec.values)
                self.judge(policy, spec, spec.values)
                self.classes[name] = spec

    def line_of_bases(self, name: str, tables: dict[str, dict[str, Any]]) -> list[str]:
        """A class and its bases, nearest first; a loop is a fault and ends there."""
        line = [name]
        while True:
            path: Path = ("class", line[-1])
            base = self.typed(tables[line[-1]], path, "base", str)
            if base is None:
                return line
            at = self.lines.of((*path, "base"))
            if base not in tables:
                near = get_close_matches(base, tables, 1)
                right = f"did you mean {near[0]!r}?" if near else "name a class of this file"
                self.fault(at, "unknown-base", f"base {base!r} is no class", right)
                return line
            if base in line:
                if base == name:
                    loop = " -> ".join((*line, base))
                    right = "let one of them have no base"
                    self.fault(at, "inherit-loop", f"the bases go round: {loop}", right)
                return line
            line.append(base)

    def class_spec(
        self,
        name: str,
        number: int,
        table: dict[str, Any],
        values: Values,
        known: RequestClass | None,
    ) -> ClassSpec:
        path: Path = ("class", name)
        line = self.lines.of(path)
        effect = self.word(table, path, "repeat", REPEATS)
        if effect is None and "repeat" not in table:
            right = 'write repeat = "safe", "keyed" or "never"'
            self.fault(line, "missing-key", f"class {name} does not say repeat", right)
        # Where it is not known a fault stands already; taken as safe it causes no others.
        spec = ClassSpec(name, number, line, effect or Effect.PURE, values)
        spec.scope = self.word(table, path, "scope", SCOPES) or Scope.ALL
        spec.window = self.duration(table, path, "window") or 0
        spec.give_up = self.duration(table, path, "give_up") or 0
        for key in ("scope", "window"):
            if key in table and effect != Effect.TOKEN:
                at = self.lines.of((*path, key))
                right = 'write repeat = "keyed", or leave it out'
                self.warn(at, "scope-unused", f"{key} means something to keyed classes only", right)
        if effect == Effect.TOKEN and not spec.window:
            right = "write for how long the servers remember a key"
            self.fault(line, "keyed-window", f"keyed class {name} has no window", right)
        if known is not None:
            self.against_settings(spec, known, effect is not None)
        self.judge(self.policy(f"class {name}", spec, effect or Effect.PURE, values), spec, values)
        return spec

    def against_settings(self, spec: ClassSpec, known: RequestClass, told: bool) -> None:
        """A file may be stricter than the settings, never looser."""
        path: Path = ("class", spec.name)
        if told and spec.effect < known.effect:
            wrong = f"class {spec.name} repeats {REPEAT_NAMES[spec.effect]} here and "
            wrong += f"{REPEAT_NAMES[known.effect]} in the settings"
            right = f'write repeat = "{REPEAT_NAMES[known.effect]}" or stricter'
            self.fault(self.lines.of((*path, "repeat")), "repeat-looser", wrong, right)
        if spec.effect == known.effect == Effect.TOKEN:
            if spec.scope < known.scope:
                right = f"write {known.scope.name.lower()!r} or narrower"
                wrong = f"keys of class {spec.name} are known to fewer servers than scope says"
                self.fault(self.lines.of((*path, "scope")), "keyed-scope", wrong, right)
            if spec.window > known.window:
                right = f"write {known.window // 1_000_000}ms or less"
                wrong = f"servers forget keys of class {spec.name} before its window ends"
                self.fault(self.lines.of((*path, "window")), "keyed-window", wrong, right)
        if spec.give_up > known.deadline:
            right = f"write {known.deadline // 1_000_000}ms or less"
            wrong = f"clients of class {spec.name} give up before give_up says"
            self.fault(self.lines.of((*path, "give_up")), "give-up-late", wrong, right)
        spec.give_up = spec.give_up or known.deadline

    # ---- services and routes ------------------------------------------

    def tables(self, raw: Mapping[str, Any], path: Path, key: str) -> list[dict[str, Any]]:
        found = self.typed(raw, path, key, list) or []
        if all(isinstance(t, dict) for t in found):
            return found
        line = self.lines.of((*path, key))
        right = f"write [[{'.'.join((*(str(p) for p in path if isinstance(p, str)), key))}]]"
        self.fault(line, "wrong-type", f"{key} is no array of tables", right)
        return []

    def name(self, raw: Mapping[str, Any], path: Path, taken: dict[str, int], what: str) -> str:
        name = self.typed(raw, path, "name", str)
        line = self.lines.of((*path, "name"))
        if name is None:
            if "name" not in raw:
                self.fault(line, "missing-key", f"a {what} has no name", 'write name = "..."')
            return f"{what}-{path[-1]}"
        if not _NAME(name):
            right = "write letters, digits, '.', '_' and '-', 64 at most"
            self.fault(line, "bad-value", f"a {what} is named {name[:70]!r}", right)
        if name in taken:
            wrong = f"{what} {name!r} is there already, in line {taken[name]}"
            self.fault(line, "duplicate-name", wrong, "give it another name")
        taken.setdefault(name, line)
        return name

    def read_services(self) -> list[Service]:
        names: dict[str, int] = {}
        hosts: dict[str, tuple[str, int]] = {}
        services = []
        for i, raw in enumerate(self.tables(self.raw, (), "service")):
            path: Path = ("service", i)
            self.known(raw, path, ("name", "hosts", "route"))
            name = self.name(raw, path, names, "service")
            own = self.hosts(raw, path, name, hosts)
            specs = list(self.read_routes(raw, path, name))
            self.hidden(specs)
            self.captures(specs)
            if not any(self.catches(s) for s in specs):
                right = 'add a route with prefix = "/", with deny = true where nothing is to pass'
                wrong = f"service {name} has no route for all that no other takes"
                self.fault(self.lines.of(path), "no-catch", wrong, right)
            routes = [self.resolve(s) for s in specs]
            services.append(Service(name, own, routes))
        if not services:
            self.fault(1, "missing-key", "the file has no service", "write [[service]]")
        return services

    def hosts(
        self, raw: dict[str, Any], path: Path, service: str, taken: dict[str, tuple[str, int]]
    ) -> list[str]:
        found = self.typed(raw, path, "hosts", list)
        if not found and "hosts" not in raw:
            line = self.lines.of(path)
            right = 'write hosts = ["topup.example.org"], or ["*"]'
            self.fault(line, "missing-key", f"service {service} has no hosts", right)
        good = []
        for i, host in enumerate(found or ()):
            line = self.lines.of((*path, "hosts", i))
            try:
                good.append(_host(host))
            except FormError as err:
                right = 'write a name, "*.suffix" or "*", without port or upper case'
                self.fault(line, "bad-host", f"host {str(host)[:60]!r}: {err}", right)
                continue
            if host in taken:
                other, at = taken[host]
                wrong = f"host {host!r} is service {other}'s already, in line {at}"
                self.fault(line, "duplicate-host", wrong, "let one service have it")
            taken.setdefault(host, (service, line))
        return good

    def read_routes(self, raw: dict[str, Any], path: Path, service: str) -> Iterator[RouteSpec]:
        names: dict[str, int] = {}
        for i, route in enumerate(self.tables(raw, path, "route")):
            at: Path = (*path, "route", i)
            self.route_count += 1
            if self.route_count == MAX_ROUTES + 1:
                wrong = f"more than {MAX_ROUTES} routes"
                self.fault(self.lines.of(at), "bad-value", wrong, "divide them among nodes")
            if self.route_count > MAX_ROUTES:
                return
            self.known(route, at, ROUTE_KEYS)
            name = self.name(route, at, names, "route")
            full = f"{service}/{name}"
            pattern, line = self.pattern(route, at, full)
            values = self.values(route, at, f"route {full}")
            effect = self.word(route, at, "repeat", REPEATS)
            if effect is not None:
                values["repeat"] = Given(effect, self.lines.of((*at, "repeat")), f"route {full}")
            methods = self.words(route, at, "methods", METHODS, "bad-value")
            classes = self.words(route, at, "classes", list(self.classes), "unknown-class")
            for key, given in (("methods", methods), ("classes", classes)):
                if given == [] and route[key] == []:
                    self.fault(self.lines.of((*at, key)), "bad-value", f"{key} is empty",
                               "name one, or leave it out for any")  # fmt: skip
            deny = self.typed(route, at, "deny", bool) or False
            assigned = self.typed(route, at, "class", str)
            if assigned is not None and assigned not in self.classes:
                near = get_close_matches(assigned, self.classes, 1)
                right = f"did you mean {near[0]!r}?" if near else "name a class of this file"
                line_ = self.lines.of((*at, "class"))
                self.fault(line_, "unknown-class", f"{assigned!r} is no class", right)
                assigned = None
            if deny and (values or assigned):
                right = "leave out either deny or what it grants"
                line_ = self.lines.of((*at, "deny"))
                self.fault(line_, "deny-grants", f"route {full} denies and grants", right)
            if pattern is not None:
                yield RouteSpec(
                    name, full, self.lines.of(at), pattern,
                    frozenset(m.encode() for m in methods or ()),
                    frozenset(c.encode() for c in classes or ()),
                    assigned, deny, values, line,
                )  # fmt: skip

    def pattern(self, raw: dict[str, Any], path: Path, full: str) -> tuple[Pattern | None, int]:
        key = "prefix" if "prefix" in raw else "path"
        line = self.lines.of((*path, key))
        if ("path" in raw) == ("prefix" in raw):
            wrong = f"route {full} has both or neither of path and prefix"
            self.fault(line, "missing-key", wrong, 'write path = "/balance/{id}" or prefix = "/"')
            return None, line
        text = self.typed(raw, path, key, str)
        if text is None:
            return None, line
        try:
            return _pattern(text, key == "prefix"), line
        except FormError as err:
            self.fault(line, "bad-path", f"{key} {text[:60]!r}: {err}", "write the canonical form")
            return None, line

    # ---- which route hides which --------------------------------------

    def ways(self, spec: RouteSpec) -> set[tuple[bytes, bytes]]:
        """The (method, declared class) pairs with which a request can reach a route.

        A safe class is asked by GET, others by POST, and a request that names a
        class must name the one it falls under; "" stands for one that names none.
        """
        methods = spec.methods or frozenset(m.encode() for m in METHODS)
        declared = spec.classes or frozenset((*(c.encode() for c in self.classes), b""))
        ways = {(m, c) for m in methods for c in declared}
        if spec.deny:
            return ways
        out = set()
        for method, name in ways:
            cls = spec.assigned or name.decode()
            if not cls or cls not in self.classes or (spec.assigned and name not in (
                b"", spec.assigned.encode()
            )):  # fmt: skip
                continue
            safe = self.asked_as(cls) == Effect.PURE
            if method == (b"GET" if safe else b"POST"):
                out.add((method, name))
        return out

    def asked_as(self, cls: str) -> Effect:
        """What the protocol's methods follow: the settings where given, else the file."""
        if self.settings is not None:
            for known in self.settings.classes:
                if known.name == cls:
                    return known.effect
        return self.classes[cls].effect

    def hidden(self, specs: list[RouteSpec]) -> None:
        """Routes that no request can reach, and those that are equal where they meet.

        Under the order a route is hidden only by routes on the same path: on any
        other that meets it, the leftmost segment that differs leaves it paths.
        """
        groups: dict[tuple[tuple[bytes | None, ...], bool], list[RouteSpec]] = {}
        for spec in specs:
            groups.setdefault((spec.pattern.segments, spec.pattern.prefix), []).append(spec)
        for group in groups.values():
            group.sort(key=lambda s: -s.conditions())
            taken: dict[tuple[bytes, bytes], RouteSpec] = {}
            for i, spec in enumerate(group):
                equal = next((s for s in group[:i] if _clash(s, spec)), None)
                if equal is not None:
                    first, second = sorted((equal, spec), key=lambda s: s.line)
                    wrong = f"route {second.full} and {first.full} (line {first.line}) take the "
                    wrong += f"same requests at {spec.pattern}, and none goes before the other"
                    right = "give one a method or class that the other lacks"
                    self.fault(second.path_line, "equal-routes", wrong, right)
                    continue
                ways = self.ways(spec)
                if not ways:
                    wrong = f"no request can reach route {spec.full}: none of its classes is "
                    wrong += "asked by its methods"
                    right = "safe classes are asked by GET, others by POST"
                    self.fault(spec.path_line, "unreachable-route", wrong, right)
                elif ways <= taken.keys():
                    by = sorted({taken[w].full for w in ways})
                    wrong = f"no request can reach route {spec.full}: {', '.join(by)} take them all"
                    right = "leave it out, or narrow what hides it"
                    self.fault(spec.path_line, "unreachable-route", wrong, right)
                for way in self.ways(spec):
                    taken.setdefault(way, spec)

    def captures(self, specs: list[RouteSpec]) -> None:
        """Routes that take a class's own path under a class that repeats more freely."""
        strict = [c for c in self.classes.values() if c.effect != Effect.PURE]
        for spec in specs:
            if spec.deny:
                continue
            effect = self.effect(spec, spec.assigned) if spec.assigned else None
            for cls in strict:
                if effect is None or cls.name == spec.assigned or effect >= cls.effect:
                    continue
                own = Pattern((cls.name.encode(),), True)
                if not spec.pattern.meets(own) or self.guarded(spec, own, specs):
                    continue
                wrong = f"route {spec.full} takes {own} as class {spec.assigned}, which repeats "
                wrong += f"{REPEAT_NAMES[effect]}; class {cls.name} repeats "
                wrong += REPEAT_NAMES[cls.effect]
                right = f'narrow its path, or add a route with prefix = "/{cls.name}" before it'
                self.fault_once(spec.path_line, "captures-stricter", wrong, right)

    def guarded(self, spec: RouteSpec, own: Pattern, specs: list[RouteSpec]) -> bool:
        """Whether another route, without conditions, takes all of `own` before this one."""
        return any(
            other is not spec
            and not other.conditions()
            and other.pattern.covers(own)
            and other.before(spec)
            for other in specs
        )

    def catches(self, spec: RouteSpec) -> bool:
        return spec.pattern.prefix and not spec.pattern.segments and not spec.conditions()

    # ---- resolution and the rules on policies -------------------------

    def effect(self, spec: RouteSpec, cls: str) -> Effect:
        """The stricter of the class's and the route's own word."""
        given = spec.values.get("repeat")
        own = self.classes[cls].effect
        return own if given is None else max(own, given.value)

    def resolve(self, spec: RouteSpec) -> Route:
        policies: dict[bytes, Policy] = {}
        names = [spec.assigned] if spec.assigned else list(self.classes)
        if spec.classes and not spec.assigned:
            names = [n for n in names if n.encode() in spec.classes]
        for name in names if not spec.deny else ():
            cls = self.classes[name]
            given = spec.values.get("repeat")
            if given is not None and given.value < cls.effect:
                wrong = f"route {spec.full} repeats {REPEAT_NAMES[given.value]}, class {name} "
                wrong += REPEAT_NAMES[cls.effect]
                right = "a route may be stricter than its class, never looser"
                self.fault_once(given.line, "repeat-looser", wrong, right)
            values = cls.values | spec.values
            policy = self.policy(spec.full, cls, self.effect(spec, name), values)
            self.judge(policy, cls, values)
            self.explained.append(Explained(policy, values))
            policies[name.encode()] = policy
        assigned = spec.assigned.encode() if spec.assigned else None
        return Route(
            spec.full, spec.pattern, spec.methods, spec.classes, assigned, spec.deny, policies
        )

    def policy(self, name: str, cls: ClassSpec, effect: Effect, values: Values) -> Policy:
        def value(key: str, silent: T) -> T:
            return cast(T, values[key].value) if key in values else silent

        retry_on: frozenset[Condition] | None = value("retry_on", None)
        if retry_on is None and effect == Effect.SIDE_EFFECT:
            retry_on = NEVER_RAN
        base, most = value("backoff", (0, 0))
        return Policy(
            name=name, cls=cls.name, number=cls.number, effect=effect,
            scope=cls.scope, window=cls.window,
            wanted=value("wanted", 0), timeout=value("timeout", 0),
            attempt_timeout=value("attempt_timeout", 0), attempts=value("attempts", 0),
            retry_on=retry_on, backoff_base=base, backoff_most=most,
            budget=value("budget", None), copy=value("second_copy", None),
        )  # fmt: skip

    def judge(self, p: Policy, cls: ClassSpec, values: Values) -> None:
        """The rules on one resolved policy; each fault stands where its value was written."""
        who = p.name if p.name == f"class {p.cls}" else f"class {p.cls} on route {p.name}"

        def broken(key: str, rule: str, wrong: str, right: str) -> None:
            self.fault_once(values[key].line, rule, f"{who} {wrong}", right)

        if p.effect == Effect.SIDE_EFFECT:
            self.judge_never(p, broken)
        if p.effect == Effect.TOKEN and p.copy is not None:
            right = "leave it out: two copies of a keyed request may reach servers at once"
            broken("second_copy", "keyed-copy", "repeats keyed and gets second copies", right)
        if p.effect == Effect.TOKEN and cls.window:
            last = p.attempt_timeout * max(p.attempts - 1, 0)
            if last >= cls.window:
                right = "shorten attempt_timeout or attempts: servers forget the key"
                broken("attempt_timeout", "keyed-window", "is tried beyond its window", right)
        self.judge_times(p, cls, broken)
        if p.attempts > self.most_attempts:
            wrong = f"gets {p.attempts} attempts, the settings allow {self.most_attempts}"
            broken("attempts", "attempts-over-most", wrong, f"write {self.most_attempts} at most")
        self.judge_copies(p, broken)

    def judge_never(self, p: Policy, broken: Callable[[str, str, str, str], None]) -> None:
        if p.attempts > 1:
            wrong = f"repeats never and gets {p.attempts} attempts"
            broken("attempts", "never-attempts", wrong, "write attempts = 1, or none: then what "
                   "never ran is tried again as the settings allow")  # fmt: skip
        ran = sorted((p.retry_on or frozenset()) - NEVER_RAN)
        if ran:
            wrong = f"repeats never and is tried again after {', '.join(ran)}, when it may have run"
            right = f"keep to {', '.join(sorted(NEVER_RAN))}"
            broken("retry_on", "never-condition", wrong, right)
        if p.copy is not None:
            broken("second_copy", "never-copy", "repeats never and gets second copies",
                   "leave it out, or set it for safe classes only")  # fmt: skip

    def judge_times(
        self, p: Policy, cls: ClassSpec, broken: Callable[[str, str, str, str], None]
    ) -> None:
        if cls.give_up and p.timeout > cls.give_up:
            wrong = f"may take {_ms(p.timeout)}, its clients give up after {_ms(cls.give_up)}"
            broken("timeout", "timeout-over-give-up", wrong, f"write {_ms(cls.give_up)} or less")
        whole = p.timeout or cls.give_up
        if whole and p.wanted > whole:
            broken("wanted", "wanted-over-timeout", f"is wanted within {_ms(p.wanted)} and given "
                   f"up after {_ms(whole)}", "write less than its time-out")  # fmt: skip
        if whole and p.attempt_timeout > whole:
            wrong = f"gives an attempt {_ms(p.attempt_timeout)}, the whole {_ms(whole)}"
            broken("attempt_timeout", "attempt-over-timeout", wrong, f"write {_ms(whole)} or less")
        elif whole and p.attempts > 1 and p.attempt_timeout * (p.attempts - 1) >= whole:
            wrong = f"can't fit {p.attempts} attempts of {_ms(p.attempt_timeout)} in {_ms(whole)}"
            broken("attempts", "attempts-dont-fit", wrong, "lower attempts or attempt_timeout")

    def judge_copies(self, p: Policy, broken: Callable[[str, str, str, str], None]) -> None:
        if p.copy is None:
            return
        end = p.attempt_timeout or p.timeout
        if end and p.copy.after >= end:
            wrong = f"gets a second copy after {_ms(p.copy.after)}, its attempt ends at {_ms(end)}"
            broken("second_copy", "copy-after-end", wrong, f"write less than {_ms(end)}")
        if p.attempts == 1 and p.effect == Effect.PURE:
            wrong = "gets a second copy and one attempt; a copy is an attempt"
            broken("second_copy", "copy-attempts", wrong, "write attempts = 2 or more")
        s = self.settings
        if s is not None and not (s.second_copies and s.can_cancel):
            given = f"{p.name}: the settings allow no second copies"
            line = self.lines.of(("defaults",))
            self.warn(line, "copy-not-allowed", given, "none will be sent")


def _ms(ns: int) -> str:
    return f"{ns / 1_000_000:g}ms"


def _clash(a: RouteSpec, b: RouteSpec) -> bool:
    """Whether two routes on one path with the same kinds of conditions share requests."""
    return (
        a.conditions() == b.conditions()
        and (not a.methods or bool(a.methods & b.methods))
        and (not a.classes or bool(a.classes & b.classes))
    )


def _host(text: object) -> str:
    if not isinstance(text, str):
        raise FormError("it is no string")
    if text == "*":
        return text
    name = text[2:] if text.startswith("*.") else text
    host, port = canonical_host(name.encode())
    if port or host.decode() != name or (name is not text and name[:1] == "["):
        raise FormError(f"its canonical form is {host.decode()!r}")
    return text


def _pattern(text: str, prefix: bool) -> Pattern:
    """A path's segments; FormError where no canonical path could fit it."""
    try:
        raw = text.encode("ascii")
    except UnicodeEncodeError:
        raise FormError("a path holds ASCII only, other bytes as %XX") from None
    if raw[:1] != b"/":
        raise FormError("a path begins with /")
    if prefix and raw == b"/":
        return Pattern((), True)
    if prefix and raw.endswith(b"/"):
        raise FormError("a prefix ends without /: it is whole segments anyway")
    segments: list[bytes | None] = []
    names = set()
    for part in text[1:].split("/"):
        if _PARAMETER(part):
            if part in names:
                raise FormError(f"{part} stands in it twice")
            names.add(part)
            segments.append(None)
        elif "{" in part or "}" in part:
            raise FormError("a parameter is a whole segment, {name}")
        else:
            segments.append(part.encode())
    if len(segments) > MAX_PATTERN:
        raise FormError(f"a pattern has at most {MAX_PATTERN} segments")
    plain = b"/" + b"/".join(b"x" if s is None else s for s in segments)
    canonical = canonical_path(plain)
    if canonical != plain:
        raise FormError(f"no request has it: its canonical form is {canonical.decode()!r}")
    return Pattern(tuple(segments), prefix)
