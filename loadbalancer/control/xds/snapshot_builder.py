"""Builds the snapshot of each group of proxies from the plans of all pools."""

from __future__ import annotations

import logging
from collections.abc import Mapping, Sequence

from loadbalancer.config.address import Address
from loadbalancer.control.xds.encoder import Encoder
from loadbalancer.control.xds.pool import Pool
from loadbalancer.control.xds.proxies import group_key
from loadbalancer.control.xds.proxy_identity import ProxyGroup
from loadbalancer.core.xds.plan import Plan
from loadbalancer.core.xds.snapshot import ResourceType, Snapshot
from loadbalancer.core.xds.target_proxies import TargetProxies

logger = logging.getLogger(__name__)


class SnapshotBuilder:
    """Builds snapshots, and logs once which settings a kind of proxy does not support.

    Args:
        pools: all pools of the control service.
        envoy_listener: address on which Envoys are told to listen.
        proxy_slow_start: whether proxies that support slow start warm up servers themselves.
    """

    def __init__(
        self, pools: Sequence[Pool], envoy_listener: Address, proxy_slow_start: bool
    ) -> None:
        self._pools = pools
        self._envoy_listener = envoy_listener
        self._proxy_slow_start = proxy_slow_start
        self._encoders: dict[ProxyGroup, Encoder] = {}
        self._withheld: dict[ProxyGroup, dict[str, str]] = {}
        self._logged: set[str] = set()
        self._waits_for_servers = False

    def build(self, group: ProxyGroup, connected: int) -> Snapshot | None:
        """Build a group's snapshot; `connected` is the number of proxies in all groups.

        Returns None as long as some pool has no server, for example after a restart: a snapshot
        without that pool's services would remove them from proxies that still use them.
        """
        unknown = [pool.name for pool in self._pools if not pool.has_servers()]
        if unknown:
            if not self._waits_for_servers:
                logger.info(
                    "no server is known in pool %s: proxies keep their resources",
                    ", ".join(unknown),
                )
            self._waits_for_servers = True
            return None
        self._waits_for_servers = False
        snapshot = self._encode(group, self._served_plans(group, max(connected, 1)))
        self._record_assignments(group, snapshot)
        return snapshot

    def withheld(self, group: ProxyGroup) -> Mapping[str, str]:
        """Return the services that are missing from the group's last snapshot, with the reasons."""
        return self._withheld.get(group, {})

    def _served_plans(self, group: ProxyGroup, connected: int) -> list[Plan]:
        served: list[Plan] = []
        withheld: dict[str, str] = {}
        for pool in self._pools:
            for plan in pool.plans(self._target(pool, group, connected)):
                if plan.unsupported:
                    withheld[plan.service] = "; ".join(plan.unsupported)
                else:
                    served.append(plan)
                self._log_limits(group, plan)
        self._withheld[group] = withheld
        return served

    def _target(self, pool: Pool, group: ProxyGroup, connected: int) -> TargetProxies:
        zones = pool.config.zones
        zone = zones.index(group.zone) if group.zone in zones else pool.config.settings.zone
        return TargetProxies(group.kind, zone, zones, connected, self._proxy_slow_start)

    def _encode(self, group: ProxyGroup, plans: Sequence[Plan]) -> Snapshot:
        encoder = self._encoders.get(group)
        if encoder is None:
            encoder = self._encoders[group] = Encoder(group.kind, self._envoy_listener)
        return encoder.build(plans)

    def _record_assignments(self, group: ProxyGroup, snapshot: Snapshot) -> None:
        """Record which servers accept new requests in each assignment of the snapshot."""
        assignments = snapshot.of_type(ResourceType.ENDPOINTS)
        versions = {service: found.version for service, found in assignments.items()}
        for pool in self._pools:
            pool.record_assignments(group_key(group), versions)

    def _log_limits(self, group: ProxyGroup, plan: Plan) -> None:
        """Log settings that are not supported, once for each kind of proxy."""
        reasons = [(f"{plan.service} is not served", text) for text in plan.unsupported]
        reasons += [("not supported", text) for text in plan.omitted]
        for what, text in reasons:
            line = f"{group.kind}: {what}: {text}"
            if line not in self._logged:
                self._logged.add(line)
                logger.info("%s", line)
