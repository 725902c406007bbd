"""A replaced configuration and routes file at a running node: taken over completely or not.

Open requests retain the policy that they were admitted with, and the retry budgets that it
counts in. What is not set costs nothing: its modules are imported with the first file.
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
    """Use another configuration from now on.

    Raises:
        RoutesError: its routes file can't be used with its settings; nothing has changed.
    """
    # Failure: the routes file is replaced by one with a fault while it is read a second time. The
    # new settings are in force by then, beside the old routes, and the log says that all goes on
    # as before. It is read once, before anything is changed: a file that can't be used shows here.
    table = _read_routes(config)
    if config.settings != node.applied_settings:
        # Failure: the Balancer raises on the new settings, and the node counts them as in force.
        # The next SIGHUP finds nothing changed, logs `reloaded the configuration`, and they are
        # never applied. Until the Balancer has taken them over, `applied_settings` is None: the
        # next reload applies its settings, even the earlier ones, part of which may be replaced.
        node.applied_settings = None
        with node.event() as now:
            node.balancer.on_settings(now, config.settings)
        node.applied_settings = config.settings
        names = ", ".join(spec.name for spec in config.settings.classes)
        logger.info("new settings: classes %s", names)
    node.config = config
    _use_routes(node, table)


def apply_routes(node: Node) -> None:
    """Use the routes file that the node's configuration names, or none where it names none.

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
    """Log how many requests the routes refused, by reason, and what their policies sent."""
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
