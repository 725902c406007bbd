"""The commands to all proxies of one process.

A command is a JSON object on one line, and so is its answer. `do` names it; where a command is
to one proxy, `proxy` names that one, else it is to all.

    {"do": "connect"}, {"do": "disconnect"}      open a new stream, or end the present one
    {"do": "fault", "fault": {"nack": "cluster"}}   from now on; see `faults`
    {"do": "state"}                              by proxy: what it has and what was wrong
    {"do": "wait", "service": "topup", "servers": {"127.0.0.1:9001": 1}, "exactly": true,
     "exempt": ["p-3"], "timeout_s": 20}         until all have these servers with this health
    {"do": "seen", "text": "127.0.0.9"}          until all have endpoints with this text; answer:
                                                 when each acknowledged them (light proxies)
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Iterable
from typing import Any

from fakes.xds_proxy.faults import Faults
from fakes.xds_proxy.proxy import Proxy

WAIT_TIMEOUT_S = 20.0
SEEN_TIMEOUT_S = 60.0


class Script:
    """Executes commands for proxies, by their names."""

    def __init__(self, proxies: dict[str, Proxy]) -> None:
        self._proxies = proxies

    async def execute(self, command: dict[str, Any]) -> Any:
        """Execute one command; its answer."""
        match command["do"]:
            case "state":
                return {name: proxy.state() for name, proxy in self._proxies.items()}
            case "seen":
                return await self._wait_until_seen(command)
            case "wait":
                return await self._wait_until_applied(command)
            case "fault":
                for proxy in self._chosen(command):
                    proxy.set_faults(Faults(**command["fault"]))
            case "disconnect":
                await self._disconnect(self._chosen(command))
            case "connect":
                for proxy in self._chosen(command):
                    await proxy.disconnect()
                    proxy.connect()
            case unknown:
                raise ValueError(f"{unknown!r} is no command")
        return {}

    async def close(self) -> None:
        """End all streams."""
        await self._disconnect(self._proxies.values())

    def _chosen(self, command: dict[str, Any]) -> list[Proxy]:
        if "proxy" in command:
            return [self._proxies[command["proxy"]]]
        return list(self._proxies.values())

    async def _disconnect(self, proxies: Iterable[Proxy]) -> None:
        for proxy in proxies:
            await proxy.disconnect()

    async def _wait_until_seen(self, command: dict[str, Any]) -> list[float]:
        text = command["text"].encode()
        times = []
        async with asyncio.timeout(float(command.get("timeout_s", SEEN_TIMEOUT_S))):
            for proxy in self._proxies.values():
                while not proxy.has_endpoints_with(text):
                    proxy.changed.clear()
                    await proxy.changed.wait()
                times.append(proxy.answered_at)
        return times

    async def _wait_until_applied(self, command: dict[str, Any]) -> dict[str, list[str]]:
        """The names of those that have not applied the servers in time."""
        end = time.monotonic() + float(command.get("timeout_s", WAIT_TIMEOUT_S))
        exempt = command.get("exempt", ())
        proxies = [proxy for name, proxy in self._proxies.items() if name not in exempt]
        service, servers = command["service"], command["servers"]
        exactly = bool(command.get("exactly"))
        while True:
            missing = [p for p in proxies if not p.has_applied(service, servers, exactly)]
            remaining = end - time.monotonic()
            if not missing or remaining <= 0:
                return {"missing": sorted(proxy.identity.node_id for proxy in missing)}
            missing[0].changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(missing[0].changed.wait(), remaining)
