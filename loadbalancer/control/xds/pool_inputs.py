"""Reads each pool's configuration and routes from the files that the control file names."""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.config.node import Config, load
from loadbalancer.config.routes_file import check_file
from loadbalancer.control.xds.file import ControlConfig, ControlFileError, PoolConfig
from loadbalancer.core.routes.table import Service, Table


class PoolInput(NamedTuple):
    """One pool's entry in the control file, and the decoded files that it names."""

    pool: PoolConfig
    config: Config
    routes: Table


def read_inputs(control: ControlConfig) -> list[PoolInput]:
    """Read every pool's configuration and routes.

    Raises:
        ControlFileError: a routes file is invalid, or two pools have the same service or host.
        ConfigError: a pool's node configuration is invalid.
    """
    inputs: list[PoolInput] = []
    owners: dict[str, str] = {}
    for pool in control.pools:
        config = load({"PROXY_CONFIG": str(pool.config), "PROXY_LISTEN": str(control.listen)})
        result = check_file(str(pool.routes), config.settings)
        if result.table is None:
            raise ControlFileError("\n".join(f"{pool.routes}:{fault}" for fault in result.faults))
        for service in result.table.services:
            _claim_names(owners, pool, service)
        inputs.append(PoolInput(pool, config, result.table))
    return inputs


def _claim_names(owners: dict[str, str], pool: PoolConfig, service: Service) -> None:
    """Record a service's name and hosts as this pool's, and check that no other pool has them.

    Proxies distinguish services only by these names.
    """
    for name in (f"service {service.name}", *(f"host {host}" for host in service.hosts)):
        owner = owners.setdefault(name, pool.name)
        if owner != pool.name:
            raise ControlFileError(
                f"{pool.routes}: [twice] {name} already belongs to pool {owner}; "
                "services of all pools need different names and hosts"
            )
