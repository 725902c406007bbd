"""A node's configuration, loaded from a JSON file and environment variables.

The file's `limits` object limits the process's resources. Its `settings` object has the same format
as the simulator's settings; see `loadbalancer.config.settings`.
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
# Keys that an environment variable named PROXY_ and the key in upper case overrides.
ENVIRONMENT_KEYS = ("name", "listen", "discovery", "routes", "consul", "admin", "fleet")
REQUIRED_KEYS = ("name", "listen", "discovery")
OPTIONAL_CLASS_KEYS = {"aim_stretch"}  # a reload may leave these out of a class


class ConfigError(ConfigurationError):
    """The environment or the configuration file is invalid; the message says why."""


@dataclass(frozen=True, slots=True)
class Config:
    """A node's validated configuration; durations are in nanoseconds."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    memory_mb: int
    sockets: int
    known: dict[str, Any]  # the endpoint list to start with
    settings: NodeSettings
    zones: tuple[str, ...]  # zone names, indexed by zone number
    kinds: tuple[str, ...]
    idle_close: int
    max_open: int
    reports: bool  # whether load reports are enabled
    routes: str  # path of the routes file; empty if there is none
    consul: str  # path of the Consul file; empty if there is none
    admin: Address | None  # address of the admin interface, if configured
    fleet: str  # path of the fleet file; empty if there is none
    peer_listen: Address | None  # gossip address; None if gossip is disabled
    peers: tuple[Address, ...]  # gossip addresses, indexed by node number
    keys: frozenset[str]  # paths of the file's keys; a reload must not remove any


def load(environ: Mapping[str, str]) -> Config:
    """Load the file named by PROXY_CONFIG; other PROXY_ variables override its values.

    Raises:
        ConfigError: if the file can't be read, or naming its first invalid key.
    """
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    raw = _read_object(path)
    # The endpoint list keeps its nulls: it may be long, and its own reader decodes its rows.
    known = raw.pop("known", None)
    raw = without_nulls(raw) | {"known": known}
    keys = _key_paths(raw)
    for key in ENVIRONMENT_KEYS:
        raw[key] = environ.get(f"PROXY_{key.upper()}") or raw.get(key)
    try:
        check_types(raw)
        return _decode_config(raw, keys)
    except KeyError as err:
        raise ConfigError(f"{path}: the configuration lacks {err.args[0]!r}") from None
    except SettingsError as err:
        raise ConfigError(f"{path}: {err}") from None
    except (TypeError, ValueError, AttributeError) as err:
        raise ConfigError(f"{path}: the configuration holds an unusable value: {err}") from None


def _read_object(path: str) -> dict[str, Any]:
    """Read a JSON object from a file; raises ConfigError if there is none."""
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
    """Re-read the file and return the old configuration with its reloadable values replaced.

    The reloadable values are the discovery address, the path of the routes file, and the settings
    except the tenants, zones and kinds, by which open requests and backends are counted.
    For discovery the file takes precedence over the environment variable, which still holds the
    value from the process's start.

    Raises:
        ConfigError: if the file is invalid, or lacks a key that it had before. A file that was
            truncated while being written must not be accepted as a shorter configuration.
    """
    environ_without_discovery = {
        name: value for name, value in environ.items() if name != "PROXY_DISCOVERY"
    }
    new = load(environ_without_discovery)
    missing = sorted(old.keys - new.keys)
    if missing:
        raise ConfigError(f"the configuration lacks {missing[0]!r}, which it had before")
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


def _key_paths(raw: dict[str, Any]) -> frozenset[str]:
    """Return the paths of all keys; for request classes, only the keys that every class has."""
    paths: set[str] = set()
    _collect_keys("", raw, paths)
    settings = raw.get("settings")
    classes = settings.get("classes") if isinstance(settings, dict) else None
    if isinstance(classes, list) and classes and all(isinstance(c, dict) for c in classes):
        shared = set.intersection(*(set(c) for c in classes)) - OPTIONAL_CLASS_KEYS
        paths.update(f"settings.classes.{key}" for key in shared)
    return frozenset(paths)


def _collect_keys(prefix: str, value: Any, paths: set[str]) -> None:
    """Add the dotted paths of an object's keys, except those inside `known` and `classes`."""
    if not isinstance(value, dict):
        return
    for key, inner in value.items():
        if inner is not None:
            paths.add(f"{prefix}{key}")
        if key not in ("known", "classes"):
            _collect_keys(f"{prefix}{key}.", inner, paths)


def _check_settings(settings: NodeSettings) -> None:
    """Reject values out of range and duplicate class names; the ValueError names the key."""
    if settings.max_attempts < 1:
        raise ValueError("limits.max_attempts must be greater than 0")
    names = [request_class.name for request_class in settings.classes]
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f"class {name!r} stands twice")
    for request_class in settings.classes:
        if request_class.repeat_window < 0:
            raise ValueError(f"class {request_class.name!r}: repeat_window must not be negative")
    durations_ns = {
        "ask_within": settings.poll_within,
        "drain_grace": settings.drain_grace,
        "cold": settings.cold,
        "fall": settings.fall,
        "answer_slack": settings.answer_slack,
        "connect_timeout": settings.connect_timeout,
    }
    for key, duration in durations_ns.items():
        if duration < 0:
            raise ValueError(f"{key} must not be negative")


def _decode_config(raw: dict[str, Any], keys: frozenset[str]) -> Config:
    """Decode the file's values, whose types `check_types` has validated."""
    for key in REQUIRED_KEYS:
        if not raw[key]:
            raise KeyError(key)
    limits = raw.get("limits", {})
    settings = raw["settings"]
    known = raw.get("known") or {"rev": 0, "all": True, "targets": []}
    if not isinstance(known, dict):
        raise TypeError("known is not an endpoint list object")
    checked = settings_from_json(json.dumps(settings).encode())
    _check_settings(checked)
    sockets = int(limits.get("sockets", DEFAULT_SOCKETS))
    if sockets < MIN_SOCKETS:
        raise ValueError(f"sockets must be at least {MIN_SOCKETS}")
    gossip_enabled = bool(settings.get("limits", {}).get("peers", False)) and raw.get("peer_listen")
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
        peer_listen=parse_address(raw["peer_listen"]) if gossip_enabled else None,
        peers=tuple(parse_address(peer) for peer in raw.get("peers") or ())
        if gossip_enabled
        else (),
        keys=keys,
    )
