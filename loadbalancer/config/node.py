"""A node's configuration: a JSON file and environment variables, checked once and frozen.

The file's `limits` bound the process, its `settings` are the simulator's (see `settings`).
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from loadbalancer.config.address import Address, parse_address
from loadbalancer.config.settings import (
    NodeSettings,
    SettingsError,
    settings_from_json,
    without_nulls,
)
from loadbalancer.config.value_types import check_types
from loadbalancer.core.errors import ConfigurationError

DEFAULT_MEMORY_MB = 128
DEFAULT_SOCKETS = 1024
DEFAULT_MAX_OPEN = 20_000
DEFAULT_IDLE_CLOSE_NS = 15_000_000_000
MIN_SOCKETS = 64
SEED_BASE = 16
# Keys that the environment's PROXY_KEY goes before.
ENVIRONMENT_KEYS = ("name", "listen", "discovery", "routes", "consul", "admin", "fleet")
REQUIRED_KEYS = ("name", "listen", "discovery")
OPTIONAL_CLASS_KEYS = {"aim_stretch"}  # a class that lacks one is complete


class ConfigError(ConfigurationError):
    """The environment or the configuration can't be used; the text says why."""


@dataclass(frozen=True, slots=True)
class Config:
    """A node's configuration; times in nanoseconds."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    memory_mb: int
    sockets: int
    known: dict[str, Any]
    settings: NodeSettings
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


def load(environ: Mapping[str, str]) -> Config:
    """Read the file named by PROXY_CONFIG; the other variables override what it says.

    Raises:
        ConfigError: where the file can't be read, or its first unusable key.
    """
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    raw = _read_object(path)
    # Not the endpoint list: its rows have their own reader, and may be many.
    known = raw.pop("known", None)
    raw = without_nulls(raw) | {"known": known}
    keys = _keys(raw)
    for key in ENVIRONMENT_KEYS:
        raw[key] = environ.get(f"PROXY_{key.upper()}") or raw.get(key)
    try:
        check_types(raw)
        return _config(raw, keys)
    except KeyError as err:
        raise ConfigError(f"{path}: the configuration lacks {err.args[0]!r}") from None
    except SettingsError as err:
        raise ConfigError(f"{path}: {err}") from None
    except (TypeError, ValueError, AttributeError) as err:
        raise ConfigError(f"{path}: the configuration holds an unusable value: {err}") from None


def _read_object(path: str) -> dict[str, Any]:
    """The JSON object in a file; ConfigError where there is none."""
    try:
        with open(path, "rb") as file:
            raw = json.load(file)
    except OSError as err:
        raise ConfigError(f"can't read {path}: {err.strerror}") from None
    except ValueError as err:
        raise ConfigError(f"{path} is not JSON: {err}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path} is not a JSON object")
    return raw


def reload(environ: Mapping[str, str], old: Config) -> Config:
    """Read a replaced file: the old configuration with what may change in flight.

    That is where discovery and the routes are, and the settings but for what open
    requests and backends are counted by. For discovery the file overrides the
    variable, which still holds the value of the start.

    Raises:
        ConfigError: where the file can't be used, or lacks a key that it had: a file that was
            cut off while it was written must not pass for a shorter one.
    """
    at_start = {name: value for name, value in environ.items() if name != "PROXY_DISCOVERY"}
    new = load(at_start)
    missing = sorted(old.keys - new.keys)
    if missing:
        raise ConfigError(f"the configuration lacks {missing[0]!r}, which it had")
    for name, before, after in (
        ("settings.realms", old.settings.tenants, new.settings.tenants),
        ("settings.areas", old.zones, new.zones),
        ("settings.skus", old.kinds, new.kinds),
    ):
        if before != after:
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
    found: set[str] = set()
    _collect_keys("", raw, found)
    settings = raw.get("settings")
    classes = settings.get("classes") if isinstance(settings, dict) else None
    if isinstance(classes, list) and classes and all(isinstance(c, dict) for c in classes):
        shared = set.intersection(*(set(c) for c in classes)) - OPTIONAL_CLASS_KEYS
        found.update(f"settings.classes.{key}" for key in shared)
    return frozenset(found)


def _collect_keys(prefix: str, value: Any, found: set[str]) -> None:
    if not isinstance(value, dict):
        return
    for key, inner in value.items():
        if inner is not None:
            found.add(f"{prefix}{key}")
        if key not in ("known", "classes"):
            _collect_keys(f"{prefix}{key}.", inner, found)


def _check(settings: NodeSettings) -> None:
    """Refuse what would make a node of no use, or break a rule: ValueError names the key."""
    if settings.max_attempts < 1:
        raise ValueError("limits.max_attempts must be over 0")
    names = [request_class.name for request_class in settings.classes]
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f"class {name!r} stands twice")
    for request_class in settings.classes:
        if request_class.repeat_window < 0:
            raise ValueError(f"class {request_class.name!r}: repeat_window must not be under 0")
    spans_ns = {
        "ask_within": settings.poll_within,
        "drain_grace": settings.drain_grace,
        "cold": settings.cold,
        "fall": settings.fall,
        "answer_slack": settings.answer_slack,
        "connect_timeout": settings.connect_timeout,
    }
    for key, span in spans_ns.items():
        if span < 0:
            raise ValueError(f"{key} must not be under 0")


def _config(raw: dict[str, Any], keys: frozenset[str]) -> Config:
    """Decode a file's values, whose types have been checked."""
    for key in REQUIRED_KEYS:
        if not raw[key]:
            raise KeyError(key)
    limits = raw.get("limits", {})
    settings = raw["settings"]
    known = raw.get("known") or {"rev": 0, "all": True, "targets": []}
    if not isinstance(known, dict):
        raise TypeError("known is no list of backends")
    checked = settings_from_json(json.dumps(settings).encode())
    _check(checked)
    sockets = int(limits.get("sockets", DEFAULT_SOCKETS))
    if sockets < MIN_SOCKETS:
        raise ValueError(f"sockets must be at least {MIN_SOCKETS}")
    gossips = bool(settings.get("limits", {}).get("peers", False)) and raw.get("peer_listen")
    return Config(
        name=str(raw["name"]),
        listen=parse_address(raw["listen"]),
        discovery=parse_address(raw["discovery"]),
        seed=int(str(raw.get("seed", "0")), SEED_BASE),
        memory_mb=int(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        sockets=sockets,
        known=known,
        settings=checked,
        zones=tuple(str(zone) for zone in settings.get("areas", ())),
        kinds=tuple(str(kind) for kind in settings.get("skus", ())),
        idle_close=int(settings.get("limits", {}).get("idle_close", DEFAULT_IDLE_CLOSE_NS)),
        max_open=int(settings.get("limits", {}).get("open_cap", DEFAULT_MAX_OPEN)),
        reports=settings.get("load_info", {}).get("how", "off") != "off",
        routes=str(raw["routes"] or ""),
        consul=str(raw["consul"] or ""),
        admin=parse_address(raw["admin"]) if raw["admin"] else None,
        fleet=str(raw["fleet"] or ""),
        peer_listen=parse_address(raw["peer_listen"]) if gossips else None,
        peers=tuple(parse_address(peer) for peer in raw.get("peers") or ()) if gossips else (),
        keys=keys,
    )
