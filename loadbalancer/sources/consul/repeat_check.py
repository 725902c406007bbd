"""Finds classes whose repeats no list read from Consul allows, before a node serves them."""

from __future__ import annotations

from loadbalancer.core import Settings
from loadbalancer.core.balancing.model import Effect, Scope
from loadbalancer.sources.consul.file import ConsulFile

REMEDY = 'write cell_meta = "cell", the key of a server\'s meta that has its number'


def classes_without_cells(file: ConsulFile, settings: Settings) -> list[str]:
    """Return the classes whose repeats stay within a cell, if the file's servers have none.

    Their requests are not repeated once they may have executed.
    """
    if file.cell_meta or file.merges_platform_list:
        return []
    return [
        spec.name
        for spec in settings.classes
        if spec.effect == Effect.TOKEN and spec.scope == Scope.CELL
    ]


def describe(names: list[str]) -> str:
    """Say what follows for these classes."""
    return (
        f"no source tells a server's cell, so requests of {', '.join(names)} are not repeated "
        "once they may have been executed"
    )
