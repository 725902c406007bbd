"""The control service's file, decoded in one place; free of grpc."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from flinthatch.routefile import Fault
from windrelay.config import Address, parse_address
from windrelay.operator.tomlfile import FileError, Key, read

KEYS = ("version", "listen", "config", "routes", "envoy_listener")


@dataclass(frozen=True, slots=True)
class ControlFile:
    """`config` and `routes` are paths, from the file's own folder on."""

    listen: Address
    config: Path
    routes: Path
    envoy_listener: Address


class ControlError(Exception):
    """A control file that can't be used; one fault a line."""


def read_file(path: str) -> ControlFile:
    """Read and decode deploy/control.toml; ControlError with every fault and its line."""
    try:
        raw, lines = read(path)
    except FileError as err:
        raise ControlError(f"{path}:{err.line}: [{err.rule}] {err.wrong}; {err.right}") from None
    found, faults = decode(raw, lines)
    if found is None:
        raise ControlError("\n".join(f"{path}:{fault}" for fault in faults))
    folder = Path(path).resolve().parent
    return replace(found, config=folder / found.config, routes=folder / found.routes)


def decode(raw: dict[str, Any], lines: Mapping[Key, int]) -> tuple[ControlFile | None, list[Fault]]:
    """The decoded file, or its faults in the file's order."""
    faults = [
        Fault(lines.get((key,), 1), "unknown-key", f"no key {key!r}", f"known are {KEYS}")
        for key in raw
        if key not in KEYS
    ]
    if raw.get("version") != 1:
        faults.append(Fault(lines.get(("version",), 1), "version", "not 1", "write version = 1"))
    found: dict[str, Any] = {}
    for key in KEYS[1:]:
        line = lines.get((key,), 1)
        value = raw.get(key, "127.0.0.1:10000" if key == "envoy_listener" else None)
        if not isinstance(value, str):
            faults.append(Fault(line, "missing-key", f"{key} is no string", "write one"))
            continue
        try:
            found[key] = parse_address(value) if key in ("listen", "envoy_listener") else value
            if key == "listen" and not ip_address(found[key].host).is_loopback:
                right = "listen on 127.0.0.1: without TLS anybody could read and take streams"
                faults.append(Fault(line, "wide-listener", f"{value} is no loopback", right))
        except ValueError as err:
            faults.append(Fault(line, "bad-value", str(err), 'write "127.0.0.1:18000"'))
    if faults:
        return None, sorted(faults)
    paths = (Path(found["config"]), Path(found["routes"]))
    return ControlFile(found["listen"], *paths, found["envoy_listener"]), []
