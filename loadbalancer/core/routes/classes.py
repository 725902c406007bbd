"""Decodes the classes of a routes file and checks them against the settings."""

from __future__ import annotations

from loadbalancer.core.balancing.model import Effect, RequestClass, Scope, Settings
from loadbalancer.core.routes.policy import POLICY_KEYS, read_policy_keys, resolve_policy
from loadbalancer.core.routes.reader import TableReader, suggestion
from loadbalancer.core.routes.rules import PolicyRules
from loadbalancer.core.routes.specs import REPEAT_NAMES, REPEATS, ClassSpec, Values

CLASS_KEYS = ("repeat", "scope", "window", "give_up", "base", *POLICY_KEYS)
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


class ClassReader:
    """Decodes `defaults` and `class.*`.

    A class inherits from `defaults`, then from its bases; its own values override both.
    """

    __slots__ = ("_defaults", "_own", "_rules", "_settings", "_tables", "_top")

    def __init__(self, top: TableReader, settings: Settings | None, rules: PolicyRules) -> None:
        self._top = top
        self._settings = settings
        self._rules = rules
        self._tables: dict[str, TableReader] = {}
        self._defaults: Values = {}
        self._own: dict[str, Values] = {}

    def read(self) -> dict[str, ClassSpec]:
        """Return all classes by name, including those that only the settings have."""
        self._read_values()
        by_settings: dict[str, tuple[int, RequestClass]] = {}
        if self._settings is not None:
            by_settings = {c.name: (i, c) for i, c in enumerate(self._settings.classes)}
        classes = {}
        for i, name in enumerate(self._tables):
            number, known = by_settings.get(name, (i, None))
            if self._settings is not None and known is None:
                self._report_unknown_to_settings(name, list(by_settings))
            classes[name] = self._read_class(name, number, known)
        for name, (number, known) in by_settings.items():
            if name not in self._tables:
                classes[name] = self._class_from_settings(number, known)
        return classes

    def _read_values(self) -> None:
        """Read the policy keys of the defaults and of each class, without inheritance."""
        defaults = self._top.section("defaults")
        defaults.known(POLICY_KEYS)
        self._defaults = read_policy_keys(defaults, "defaults")
        section = self._top.section("class")
        self._tables = {name: section.section(name) for name in section.raw}
        for name, table in self._tables.items():
            table.known(CLASS_KEYS)
            table.check_own_name(name, "class")
            self._own[name] = read_policy_keys(table, f"class {name}")

    def _report_unknown_to_settings(self, name: str, known: list[str]) -> None:
        right = suggestion(name, known, f"the settings have {', '.join(known)}")
        wrong = f"the settings have no class {name!r}"
        self._tables[name].fault_here("unknown-class", wrong, right)

    def _class_from_settings(self, number: int, known: RequestClass) -> ClassSpec:
        """Build a class that the file omits; the file's defaults still apply to it."""
        line = self._top.line("defaults") if self._defaults else 1
        spec = ClassSpec(known.name, number, line, known.effect, dict(self._defaults))
        spec.give_up = known.deadline
        spec.scope = known.scope
        spec.window = known.repeat_window
        self._check(spec)
        return spec

    def _inheritance_chain(self, name: str) -> list[str]:
        """Return a class and its bases, nearest first; reports a cycle and stops there."""
        chain = [name]
        while True:
            table = self._tables[chain[-1]]
            base = table.value("base", str)
            if base is None:
                return chain
            if base not in self._tables:
                right = suggestion(base, self._tables, "name a class of this file")
                table.fault(
                    "base", "unknown-base", f"base {base!r} is not a class of this file", right
                )
                return chain
            if base in chain:
                if base == name:
                    wrong = f"the bases form a cycle: {' -> '.join((*chain, base))}"
                    table.fault("base", "inherit-loop", wrong, "remove the base of one of them")
                return chain
            chain.append(base)

    def _read_class(self, name: str, number: int, known: RequestClass | None) -> ClassSpec:
        table = self._tables[name]
        values = dict(self._defaults)
        for ancestor in reversed(self._inheritance_chain(name)):
            values |= self._own[ancestor]
        effect = table.choice("repeat", REPEATS)
        if effect is None and "repeat" not in table.raw:
            right = 'write repeat = "safe", "keyed" or "never"'
            table.fault_here("missing-key", f"class {name} has no repeat", right)
        # A missing or invalid repeat has been reported; assuming safe avoids follow-up faults.
        spec = ClassSpec(name, number, table.line(), effect or Effect.PURE, values)
        spec.scope = table.choice("scope", SCOPES) or Scope.ALL
        spec.window = table.duration("window") or 0
        spec.give_up = table.duration("give_up") or 0
        _check_key_memory(table, spec, effect)
        if known is not None:
            _check_against_settings(table, spec, known, effect is not None)
            spec.give_up = spec.give_up or known.deadline
        self._check(spec)
        return spec

    def _check(self, spec: ClassSpec) -> None:
        policy = resolve_policy(f"class {spec.name}", spec, spec.effect, spec.values)
        self._rules.check(policy, spec, spec.values)


def _check_key_memory(table: TableReader, spec: ClassSpec, effect: Effect | None) -> None:
    """Check `scope` and `window`: where and for how long servers remember a key."""
    if effect == Effect.TOKEN:
        if not spec.window:
            right = "write the time for which the servers remember a key"
            wrong = f"keyed class {spec.name} has no window"
            table.fault_here("keyed-window", wrong, right)
        return
    for key in ("scope", "window"):
        if key in table.raw:
            right = 'write repeat = "keyed", or leave it out'
            wrong = f"{key} applies to keyed classes only"
            table.faults.warn(table.line(key), "scope-unused", wrong, right)


def _check_against_settings(
    table: TableReader, spec: ClassSpec, known: RequestClass, states_repeat: bool
) -> None:
    """Check that the file is no less strict than the settings."""
    if states_repeat and spec.effect < known.effect:
        wrong = f"class {spec.name} has repeat {REPEAT_NAMES[spec.effect]} here but "
        wrong += f"{REPEAT_NAMES[known.effect]} in the settings"
        right = f'write repeat = "{REPEAT_NAMES[known.effect]}" or stricter'
        table.fault("repeat", "repeat-looser", wrong, right)
    if spec.effect == known.effect == Effect.TOKEN:
        if spec.scope < known.scope:
            right = f"write {known.scope.name.lower()!r} or narrower"
            wrong = f"fewer servers know the keys of class {spec.name} than scope says"
            table.fault("scope", "keyed-scope", wrong, right)
        if spec.window > known.repeat_window:
            right = f"write {known.repeat_window // 1_000_000}ms or less"
            wrong = f"servers forget keys of class {spec.name} before its window ends"
            table.fault("window", "keyed-window", wrong, right)
    if spec.give_up > known.deadline:
        right = f"write {known.deadline // 1_000_000}ms or less"
        wrong = f"clients of class {spec.name} give up earlier than give_up says"
        table.fault("give_up", "give-up-late", wrong, right)
