"""Reads one table of a TOML file key by key, collecting each fault with its line and rule."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from difflib import get_close_matches
from ipaddress import ip_address
from pathlib import Path
from typing import Any, TypeVar

from loadbalancer.config.address import Address, parse_address
from loadbalancer.config.toml_file import FileError, Key, read
from loadbalancer.core.routes.faults import Fault

T = TypeVar("T")
Decode = Callable[[dict[str, Any], Mapping[Key, int], Path], tuple[T | None, list[Fault]]]


def read_file(path: str, decode: Decode[T], error: type[Exception]) -> T:
    """Decode a whole file; raises `error` with all faults and their line numbers, one per line."""
    try:
        raw, lines = read(path)
    except FileError as err:
        raise error(f"{path}:{err.line}: [{err.rule}] {err.wrong}; {err.right}") from None
    found, faults = decode(raw, lines, Path(path).resolve().parent)
    if found is None:
        raise error("\n".join(f"{path}:{fault}" for fault in faults))
    return found


def top_of(
    raw: dict[str, Any], lines: Mapping[Key, int], folder: Path, keys: tuple[str, ...]
) -> Section:
    """Return a file's root table after checking its keys and version."""
    top = Section(raw, (), lines, folder, [])
    top.known(keys)
    if raw.get("version") != 1:
        top.fault("version", "version", "not 1", "write version = 1")
    return top


@dataclass(slots=True)
class Section:
    """One table of the file, and the faults found so far in all of the file's tables."""

    raw: dict[str, Any]
    at: Key
    lines: Mapping[Key, int]
    folder: Path
    faults: list[Fault] = field(default_factory=list)

    def sub(self, raw: dict[str, Any], *at: str | int) -> Section:
        """Return a nested table, at the given keys and array indexes."""
        return replace(self, raw=raw, at=(*self.at, *at))

    def fault(self, key: str, rule: str, wrong: str, right: str) -> None:
        """Record a fault at a key's line, or at the table's line if the key is absent."""
        line = self.lines.get((*self.at, key), self.lines.get(self.at, 1))
        self.faults.append(Fault(line, rule, wrong, right))

    def known(self, keys: tuple[str, ...]) -> None:
        """Record a fault for each key of the table that is not among `keys`."""
        for key in self.raw:
            if key not in keys:
                similar = get_close_matches(key, keys, 1)
                hint = f"did you mean {similar[0]!r}? " if similar else ""
                right = f"{hint}known keys are {', '.join(keys)}"
                self.fault(key, "unknown-key", f"no key {key!r}", right)

    def text(self, key: str, default: str | None = None) -> str:
        """Return a non-empty string; otherwise record a fault and return ""."""
        value = self.raw.get(key, default)
        if isinstance(value, str) and value:
            return value
        self.fault(key, "missing-key", f"{key} is no string", "write one")
        return ""

    def path(self, key: str) -> Path:
        """Return a path, resolved against the file's folder."""
        return self.folder / self.text(key)

    def address(self, key: str, default: str | None = None) -> Address | None:
        """Return an IP address with its port; otherwise record a fault and return None."""
        value = self.text(key, default)
        if not value:
            return None
        try:
            found = parse_address(value)
            ip_address(found.host)
        except ValueError as err:
            self.fault(key, "bad-value", str(err), 'write "127.0.0.1:18000"')
            return None
        return found
