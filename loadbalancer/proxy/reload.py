"""Applies a replaced configuration and routes file to a running node, completely or not at all.

Open requests keep the policy that they were admitted under, and the retry budgets that it uses.
The routing modules are imported when the first routes file is applied, so that a node without
one does not load them.
"""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loadbalancer.config.node import Config
    from loadbalancer.core.routes.table import Table
    from loadbalancer.proxy.host import Node

logger = logging.getLogger(__name__)


def apply_configuration(node: Node, config: Config) -> None:
    """Apply another configuration.

    Raises:
        RoutesError: its routes file can't be used with its settings; nothing has changed.
    """
    # The routes file is read once, before anything is changed. If it were checked first and read
    # again after the settings are applied, it could be replaced by an unusable one in between:
    # new settings with old routes, and a log line that says that nothing has changed.
    table = _read_routes(config)
    if config.settings != node.applied_settings:
        # If the Balancer raises, it may have applied only a part of the new settings. So
        # `applied_settings` stays None until it returns, and the next reload applies its settings
        # whatever they are, including the former ones. If the new settings counted as applied
        # here, the next SIGHUP would find no change, log `reloaded the configuration`, and never
        # apply them.
        node.applied_settings = None
        with node.event() as now:
            node.balancer.on_settings(now, config.settings)
        node.applied_settings = config.settings
        names = ", ".join(spec.name for spec in config.settings.classes)
        logger.info("new settings: classes %s", names)
    node.config = config
    _use_routes(node, table)


def apply_routes(node: Node) -> None:
    """Apply the routes file named by the node's configuration, or none if it names none.

    Raises:
        RoutesError: the file can't be used; nothing has changed.
    """
    _use_routes(node, _read_routes(node.config))


def _read_routes(config: Config) -> Table | None:
    if not config.routes:
        return None
    from loadbalancer.proxy.routing import read_table

    return read_table(config.routes, config.settings)


def _use_routes(node: Node, table: Table | None) -> None:
    if table is None:
        node.routing = None
        return
    from loadbalancer.core.balancing.route_policies import RoutePolicies
    from loadbalancer.proxy.routing import Routing

    if node.routing is None:
        node.routing = Routing(table)
    else:
        node.routing.replace(table)
    if node.policies is None:
        now = time.monotonic_ns()
        node.policies = RoutePolicies(node.balancer, node.config.seed, table.node_budget, now)
        node.balancer.set_policies(node.policies)
    else:
        node.policies.replace(table.node_budget, table.names())


def log_route_counters(node: Node) -> None:
    """Log the counts of requests refused by the routes, by reason, and of policies' attempts."""
    if node.routing is None:
        return
    for reason, count in sorted(node.routing.refused.items()):
        logger.info("refused by the routes: %s %d", reason, count)
    policies = node.policies
    if policies is not None:
        logger.info(
            "route policies: %d retries, %d hedged requests, %d held back by budgets",
            policies.retries,
            policies.hedges,
            policies.denied_by_budget,
        )
