"""What a node is told at its start, checked once and frozen."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import isfinite
from typing import Any, NamedTuple

from loadbalancer.core import Settings
from loadbalancer.core.errors import ConfigurationError
from loadbalancer.simulator.adapter import WireError, settings_from_json, without_nulls

DEFAULT_MEMORY_MB = 128
DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 64
OPTIONAL = {"aim_stretch"}  # of a class: one that has none is whole


class ConfigError(ConfigurationError):
    """The environment or the configuration can't be used; the text says why."""


class Address(NamedTuple):
    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Config:
    """Times in nanoseconds, as everywhere in the node."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    memory_mb: int
    sockets: int
    known: dict[str, Any]
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    idle_close: int
    max_open: int
    reports: bool
    routes: str  # the routes file's path, empty where there is none
    consul: str  # likewise of the consul file
    admin: Address | None  # the second address, where there is one
    fleet: str  # the fleet file's path
    peer_listen: Address | None  # where gossip between nodes is allowed
    peers: tuple[Address, ...]  # by the nodes' numbers
    keys: frozenset[str]  # what the file had, for a reload to miss what has gone


def parse_address(text: object) -> Address:
    """Split "host:port"; ValueError on anything else. Port 0 lets the kernel choose."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is no host:port")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]  # an IPv6 address, as RFC 3986, section 3.2.2, writes it
    return Address(host, int(port))


def load(environ: Mapping[str, str]) -> Config:
    """Read the file named by PROXY_CONFIG; the other variables go before what it says."""
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            raw = json.load(file)
    except OSError as err:
        raise ConfigError(f"can't read {path}: {err.strerror}") from None
    except ValueError as err:
        raise ConfigError(f"{path} is not JSON: {err}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path} is not a JSON object")
    # Not the list: its rows have their own reader, and may be many.
    raw = without_nulls({k: v for k, v in raw.items() if k != "known"}) | {
        "known": raw.get("known")
    }
    keys = _keys(raw)
    for key in ("name", "listen", "discovery", "routes", "consul", "admin", "fleet"):
        raw[key] = environ.get(f"PROXY_{key.upper()}") or raw.get(key)
    try:
        _check_types(raw)
        return _config(raw, keys)
    except KeyError as err:
        raise ConfigError(f"{path}: the configuration lacks {err.args[0]!r}") from None
    except WireError as err:
        raise ConfigError(f"{path}: {err}") from None
    except (TypeError, ValueError, AttributeError) as err:
        raise ConfigError(f"{path}: the configuration holds an unusable value: {err}") from None


def reload(environ: Mapping[str, str], old: Config) -> Config:
    """Read a replaced file: the old configuration with what may change in flight.

    That is where discovery and the routes are, and the settings but for what open
    requests and backends are counted by. For discovery the file goes before the
    variable, which still says what held at the start. ConfigError where the file can't
    be used: also where it is short of a key that it had.
    """
    at_start = {name: value for name, value in environ.items() if name != "PROXY_DISCOVERY"}
    new = load(at_start)
    missing = sorted(old.keys - new.keys)
    if missing:
        raise ConfigError(f"the configuration lacks {missing[0]!r}, which it had")
    for name, was, now in (
        ("settings.realms", old.settings.tenants, new.settings.tenants),
        ("settings.areas", old.zones, new.zones),
        ("settings.skus", old.kinds, new.kinds),
    ):
        if was != now:
            raise ConfigError(f"{name} can't change without a restart")
    return replace(
        old,
        discovery=new.discovery,
        routes=new.routes,
        settings=new.settings,
        idle_close=new.idle_close,
        max_open=new.max_open,
        reports=new.reports,
        keys=new.keys,
    )


def _keys(raw: dict[str, Any]) -> frozenset[str]:
    """The paths of all keys; of classes those that each of them has."""
    found = set()

    def walk(at: str, value: Any) -> None:
        if isinstance(value, dict):
            for key, inner in value.items():
                if inner is not None:
                    found.add(f"{at}{key}")
                if key not in ("known", "classes"):
                    walk(f"{at}{key}.", inner)

    walk("", raw)
    settings = raw.get("settings")
    classes = settings.get("classes") if isinstance(settings, dict) else None
    if isinstance(classes, list) and classes and all(isinstance(c, dict) for c in classes):
        shared = set.intersection(*(set(c) for c in classes)) - OPTIONAL
        found.update(f"settings.classes.{key}" for key in shared)
    return frozenset(found)


OBJECTS = ("limits", "known", "settings", "settings.rules", "settings.limits", "settings.load_info",
           "settings.clients", "settings.goal", "settings.prices")  # fmt: skip
LISTS = ("peers", "settings.classes", "settings.areas", "settings.skus", "settings.realms")
# Keys whose value is a number, by the object that they stand in.
NUMBERS = {
    "limits": ("memory_mb", "sockets"),
    "settings": ("me", "my_zone", "balancers", "tick"),
    "settings.rules": (
        "ask_within", "drain_grace", "cold", "cold_from", "fall", "fall_multiple",
        "grace_to_answer",
    ),
    "settings.limits": (
        "max_attempts", "dial_timeout", "idle_close", "open_cap", "max_retry_after",
    ),
}  # fmt: skip
OF_CLASSES = ("target", "deadline", "repeat_window", "credit", "late_worth", "aim_stretch")


def _check_types(raw: dict[str, Any]) -> None:
    """Values of another kind than their keys want: ValueError names the key. Null is absent."""

    def at(path: str) -> Any:
        value: Any = raw
        for key in path.split("."):
            value = value.get(key) if isinstance(value, dict) else None
        return value

    for paths, kind, what in ((OBJECTS, dict, "an object"), (LISTS, list, "a list")):
        for path in paths:
            value = at(path)
            if value is not None and not isinstance(value, kind):
                raise ValueError(f"{path} must be {what}, not {value!r:.40}")
    for path, keys in NUMBERS.items():
        for key in keys:
            _number(f"{path}.{key}", at(f"{path}.{key}"))
    for i, spec in enumerate(at("settings.classes") or ()):
        if not isinstance(spec, dict):
            raise ValueError(f"settings.classes[{i}] must be an object, not {spec!r:.40}")
        for key in OF_CLASSES:
            _number(f"settings.classes[{i}].{key}", spec.get(key))


def _number(path: str, value: object) -> None:
    if value is not None and (isinstance(value, bool) or not isinstance(value, int | float)):
        raise ValueError(f"{path} must be a number, not {value!r:.40}")
    if isinstance(value, float) and not isfinite(value):
        raise ValueError(f"{path} must be a number that ends, not {value}")


def _check(settings: Settings) -> None:
    """What would make a node of no use, or break a rule: ValueError names the key."""
    if settings.max_attempts < 1:
        raise ValueError("limits.max_attempts must be over 0")
    names = [c.name for c in settings.classes]
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f"class {name!r} stands twice")
    for c in settings.classes:
        if c.repeat_window < 0:
            raise ValueError(f"class {c.name!r}: repeat_window must not be under 0")
    for key in ("ask_within", "drain_grace", "cold", "fall", "answer_slack", "connect_timeout"):
        if getattr(settings, "poll_within" if key == "ask_within" else key) < 0:
            raise ValueError(f"{key} must not be under 0")


def _config(raw: dict[str, Any], keys: frozenset[str]) -> Config:
    for key in ("name", "listen", "discovery"):
        if not raw[key]:
            raise KeyError(key)
    limits = raw.get("limits", {})
    settings = raw["settings"]
    known = raw.get("known") or {"rev": 0, "all": True, "targets": []}
    if not isinstance(known, dict):
        raise ValueError("known is no list of backends")
    checked = settings_from_json(json.dumps(settings).encode())
    _check(checked)
    sockets = int(limits.get("sockets", DEFAULT_SOCKETS))
    if sockets < MIN_SOCKETS:
        raise ValueError(f"sockets must be at least {MIN_SOCKETS}")
    words = bool(settings.get("limits", {}).get("peers", False)) and raw.get("peer_listen")
    return Config(
        name=str(raw["name"]),
        listen=parse_address(raw["listen"]),
        discovery=parse_address(raw["discovery"]),
        seed=int(str(raw.get("seed", "0")), 16),
        memory_mb=int(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        sockets=sockets,
        known=known,
        settings=checked,
        zones=tuple(str(z) for z in settings.get("areas", ())),
        kinds=tuple(str(k) for k in settings.get("skus", ())),
        idle_close=int(settings.get("limits", {}).get("idle_close", 15_000_000_000)),
        max_open=int(settings.get("limits", {}).get("open_cap", 20_000)),
        reports=settings.get("load_info", {}).get("how", "off") != "off",
        routes=str(raw["routes"] or ""),
        consul=str(raw["consul"] or ""),
        admin=parse_address(raw["admin"]) if raw["admin"] else None,
        fleet=str(raw["fleet"] or ""),
        peer_listen=parse_address(raw["peer_listen"]) if words else None,
        peers=tuple(parse_address(p) for p in raw.get("peers") or ()) if words else (),
        keys=keys,
    )
