"""What each pool is made of: its configuration and its routes, read from the files."""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.config.node import Config, load
from loadbalancer.config.routes_file import check_file
from loadbalancer.control.xds.file import ControlConfig, ControlFileError, PoolConfig
from loadbalancer.core.routes.table import Service, Table


class PoolInput(NamedTuple):
    """One pool's entry in the control file, and the content of the files it names."""

    pool: PoolConfig
    config: Config
    table: Table


def read_inputs(control: ControlConfig) -> list[PoolInput]:
    """Read every pool's configuration and routes.

    Raises:
        ControlFileError: a routes file can't be used, or two pools share a service or host.
        ConfigError: a node's configuration can't be used.
    """
    out: list[PoolInput] = []
    owners: dict[str, str] = {}
    for pool in control.pools:
        config = load({"PROXY_CONFIG": str(pool.config), "PROXY_LISTEN": str(control.listen)})
        result = check_file(str(pool.routes), config.settings)
        if result.table is None:
            raise ControlFileError("\n".join(f"{pool.routes}:{fault}" for fault in result.faults))
        for service in result.table.services:
            _claim_names(owners, pool, service)
        out.append(PoolInput(pool, config, result.table))
    return out


def _claim_names(owners: dict[str, str], pool: PoolConfig, service: Service) -> None:
    """Record a service's names as this pool's: proxies tell services apart by them alone."""
    for name in (f"service {service.name}", *(f"host {host}" for host in service.hosts)):
        owner = owners.setdefault(name, pool.name)
        if owner != pool.name:
            raise ControlFileError(
                f"{pool.routes}: [twice] {name} is pool {owner}'s already; "
                "a proxy tells services apart by name and host"
            )
