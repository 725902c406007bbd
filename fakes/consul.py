"""A Consul agent on loopback, from the public API documentation; it counts lines.

    python -m fakes.consul --listen 127.0.0.1:0

Health, catalogue, agent registration with TTL checks, maintenance, blocking queries with
indexes, filters, datacentres, staleness and leader loss. A line is one element of an
answer's list. For its tester:

    PUT  /standin/services   [{"ID", "Service", "Address", "Port", "Status", ...}]: replace all
    POST /standin/status     {"id": status}: set checks
    POST /standin/faults     {"silent", "status", "body", "cut", "rate", "endless", "rewind",
                              "leaderless", "contact_ms", "empty", "half", "token"}
    GET  /standin/lines      lines by second, and by reader (its User-Agent)
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import re
import time
from collections import Counter
from random import Random
from typing import Any
from urllib.parse import parse_qs, unquote

from fakes.bexpr import FilterError, compiled
from fakes.web import Asked, Reply, serve, split_address

MAX_WAIT_S = 600.0
DEFAULT_WAIT_S = 300.0
_TIME = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h)?")
_UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, None: 1.0}


_KEYS = {
    key.lower(): key
    for key in (
        *("Name", "ID", "Address", "Port", "Tags", "Meta", "Check", "Checks", "Weights"),
        *("TTL", "Status", "Node", "Service", "ServiceID", "Datacenter"),
    )
}


def folded(raw: Any) -> Any:
    """Keys as documented: Consul reads JSON whatever the case of its keys; Meta's are its own."""
    if isinstance(raw, list):
        return [folded(one) for one in raw]
    if not isinstance(raw, dict):
        return raw
    rows = ((_KEYS.get(k.lower(), k), v) for k, v in raw.items())
    return {k: v if k == "Meta" else folded(v) for k, v in rows}


def seconds(text: str) -> float:
    """Go's durations, of one unit."""
    found = _TIME.fullmatch(text)
    if found is None:
        raise ValueError(f"{text!r} is no duration")
    return float(found[1]) * _UNITS[found[2]]


class Agent:
    """The catalogue of one cluster, its indexes and its faults."""

    def __init__(self) -> None:
        self.index = 10
        self.indexes: dict[str, int] = {}  # by service
        self.services: dict[tuple[str, str], dict[str, Any]] = {}  # by datacentre and id
        self.changed = asyncio.Condition()
        self.faults: dict[str, Any] = {}
        self.by_second: Counter[int] = Counter()
        self.by_reader: Counter[str] = Counter()
        self.ttl: dict[str, asyncio.TimerHandle] = {}
        self.random = Random(1)
        self.waiting = 0
        self.asked = 0  # requests of readers
        self.bytes = 0  # of the bodies they were answered with

    # ---- what is registered --------------------------------------------

    def put(self, raw: dict[str, Any]) -> None:
        name = raw.get("Name") or raw["Service"]
        uid = raw.get("ID") or name
        dc = raw.get("Datacenter", "dc1")
        old = self.services.get((dc, uid))
        index = self._bump(name)
        self.services[dc, uid] = {
            "Node": raw.get("Node", f"node-{uid}"),
            "NodeAddress": raw.get("NodeAddress", "127.0.0.1"),
            "Datacenter": dc,
            "Service": {
                "ID": uid, "Service": name, "Tags": raw.get("Tags") or [],
                "Address": raw.get("Address", ""), "Port": raw.get("Port", 0),
                "Meta": raw.get("Meta") or {},
                "Weights": raw.get("Weights") or {"Passing": 1, "Warning": 1},
                "CreateIndex": old["Service"]["CreateIndex"] if old else index,
                "ModifyIndex": index,
            },
            "Status": raw.get("Status", "passing"),
            "Maintenance": raw.get("Maintenance", False),
        }  # fmt: skip

    def _bump(self, name: str) -> int:
        self.index += 1
        self.indexes[name] = self.index
        return self.index

    def drop(self, dc: str, uid: str) -> None:
        row = self.services.pop((dc, uid), None)
        if row is not None:
            self._bump(row["Service"]["Service"])

    def set_status(self, uid: str, status: str) -> bool:
        found = [row for (_, one), row in self.services.items() if one == uid]
        for row in found:
            if row["Status"] != status:
                row["Status"] = status
                self._bump(row["Service"]["Service"])
        return bool(found)

    async def tell(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    # ---- rows in the documented forms ------------------------------------

    def checks(self, row: dict[str, Any]) -> list[dict[str, Any]]:
        service = row["Service"]
        base = {
            "Node": row["Node"], "Notes": "", "Output": "", "ServiceID": service["ID"],
            "ServiceName": service["Service"], "ServiceTags": service["Tags"],
        }  # fmt: skip
        out = [
            base | {"CheckID": "serfHealth", "Name": "Serf Health Status", "Status": "passing",
                    "ServiceID": "", "ServiceName": "", "ServiceTags": []},
            base | {"CheckID": f"service:{service['ID']}", "Name": "check",
                    "Status": row["Status"]},
        ]  # fmt: skip
        if row["Maintenance"]:
            out.append(
                base | {"CheckID": f"_service_maintenance:{service['ID']}",
                        "Name": "Service Maintenance Mode", "Status": "critical"}
            )  # fmt: skip
        return out

    def health(self, row: dict[str, Any]) -> dict[str, Any]:
        return {
            "Node": {"ID": "", "Node": row["Node"], "Address": row["NodeAddress"],
                     "Datacenter": row["Datacenter"], "Meta": {}},
            "Service": row["Service"],
            "Checks": self.checks(row),
        }  # fmt: skip

    def catalog(self, row: dict[str, Any]) -> dict[str, Any]:
        service = row["Service"]
        return {
            "ID": "", "Node": row["Node"], "Address": row["NodeAddress"],
            "Datacenter": row["Datacenter"], "ServiceID": service["ID"],
            "ServiceName": service["Service"], "ServiceTags": service["Tags"],
            "ServiceAddress": service["Address"], "ServicePort": service["Port"],
            "ServiceMeta": service["Meta"], "ServiceWeights": service["Weights"],
            "CreateIndex": service["CreateIndex"], "ModifyIndex": service["ModifyIndex"],
        }  # fmt: skip

    # ---- queries -----------------------------------------------------------

    def select(self, path: str, query: dict[str, str]) -> Any:
        """The answer's body before faults; KeyError where there is no such end point."""
        dc = query.get("dc", "dc1")
        rows = [row for (where, _), row in sorted(self.services.items()) if where == dc]
        kind, _, name = path.removeprefix("/v1/").partition("/")
        what, _, name = name.partition("/")
        name = unquote(name)
        if (kind, what) == ("catalog", "services"):
            out: dict[str, list[str]] = {}
            for row in rows:
                tags = out.setdefault(row["Service"]["Service"], [])
                tags += [t for t in row["Service"]["Tags"] if t not in tags]
            return out
        if (kind, what) == ("catalog", "datacenters"):
            return sorted({where for where, _ in self.services} | {"dc1"})
        if (kind, what) == ("health", "state"):
            checks = [c for row in rows for c in self.checks(row)]
            return [c for c in checks if name in ("any", c["Status"])]
        if what != "service" or kind not in ("health", "catalog"):
            raise KeyError(path)
        rows = [row for row in rows if row["Service"]["Service"] == name]
        if "tag" in query:
            rows = [row for row in rows if query["tag"] in row["Service"]["Tags"]]
        if kind == "catalog":
            return [self.catalog(row) for row in rows]
        found = [self.health(row) for row in rows]
        if "passing" in query:
            found = [f for f in found if all(c["Status"] == "passing" for c in f["Checks"])]
        return found

    def index_of(self, path: str) -> int:
        """A service's own index; one that was never there has the whole catalogue's."""
        name = unquote(path.rpartition("/")[2])
        if "/service/" in path and name in self.indexes:
            return self.indexes[name]
        return self.index

    async def read(self, asked: Asked) -> Reply:
        query = {k: v[0] for k, v in parse_qs(asked.query, keep_blank_values=True).items()}
        refusal = self._refuse(asked, query)
        if refusal is not None:
            return refusal
        if int(query.get("index", 0)) > 0:
            await self._block(asked.path, query)
            refusal = self._refuse(asked, query)
            if refusal is not None:
                return refusal
        try:
            test = compiled(query["filter"]) if query.get("filter") else None
            body = self.select(asked.path, query)
            if test is not None and isinstance(body, list):
                body = [row for row in body if test(row)]
        except KeyError:
            return Reply(404)
        except (FilterError, re.error) as err:
            return Reply(400, f"Failed to create filter: {err}".encode())
        return self._answer(asked, self._spoil(body))

    def _refuse(self, asked: Asked, query: dict[str, str]) -> Reply | None:
        faults = self.faults
        if faults.get("silent"):
            return Reply(silent=True)
        if faults.get("reset"):
            return Reply(reset=True)
        if faults.get("status"):
            return Reply(int(faults["status"]), b"rate limit or error")
        if faults.get("leaderless") and "stale" not in query:
            return Reply(500, b"No cluster leader")
        token = faults.get("token")
        if token and asked.headers.get("x-consul-token") != token:
            return Reply(403, b"ACL not found")
        return None

    async def _block(self, path: str, query: dict[str, str]) -> None:
        since = int(query["index"])
        wait = min(seconds(query.get("wait", "5m")), MAX_WAIT_S) or DEFAULT_WAIT_S
        wait += wait / 16 * self.random.random()  # as documented, so that waiters part

        def newer() -> bool:
            # An index ahead of ours is from before a rewind: answered at once.
            return self.index_of(path) != since or bool(self.faults.get("wake"))

        self.waiting += 1
        try:
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait_for(newer), wait)
        finally:
            self.waiting -= 1

    def _spoil(self, body: Any) -> Any:
        if not isinstance(body, list):
            return body
        if self.faults.get("empty"):
            return []
        return body[: len(body) // 2] if self.faults.get("half") else body

    def _answer(self, asked: Asked, body: Any) -> Reply:
        if isinstance(body, list):
            self.by_second[int(time.monotonic())] += len(body)
            self.by_reader[asked.headers.get("user-agent", "-")] += len(body)
        data = json.dumps(body).encode()
        self.bytes += len(data)
        if "body" in self.faults:
            data = str(self.faults["body"]).encode()
        headers = {
            "Content-Type": "application/json",
            "X-Consul-Index": str(self.index_of(asked.path)),
            "X-Consul-KnownLeader": "false" if self.faults.get("leaderless") else "true",
            "X-Consul-LastContact": str(self.faults.get("contact_ms", 0)),
        }
        return Reply(200, data, headers, cut=self.faults.get("cut"),
                     rate=int(self.faults.get("rate", 0)),
                     endless=bool(self.faults.get("endless")))  # fmt: skip

    # ---- writes --------------------------------------------------------------

    async def write(self, asked: Asked) -> Reply:
        """The agent's and the catalogue's registration end points."""
        path = asked.path.removeprefix("/v1/")
        query = {k: v[0] for k, v in parse_qs(asked.query).items()}
        raw = folded(json.loads(asked.body)) if asked.body else {}
        what, _, uid = path.rpartition("/")
        uid = unquote(uid)
        if path == "agent/service/register":
            self._register(raw)
        elif what == "agent/service/deregister":
            self.drop("dc1", uid)
        elif what == "agent/service/maintenance":
            row = self.services.get(("dc1", uid))
            if row is None:
                return Reply(404)
            row["Maintenance"] = query.get("enable") == "true"
            self._bump(row["Service"]["Service"])
        elif what in ("agent/check/pass", "agent/check/warn", "agent/check/fail"):
            status = {"pass": "passing", "warn": "warning", "fail": "critical"}
            uid = uid.removeprefix("service:")
            if not self.set_status(uid, status[what.rpartition("/")[2]]):
                return Reply(404, b"Unknown check")
            self._alive(uid)
        elif path == "catalog/register":
            service = raw.get("Service") or {}
            checks = raw.get("Check") or {}
            self.put(
                service | {"Node": raw["Node"], "NodeAddress": raw.get("Address", "127.0.0.1"),
                           "Datacenter": raw.get("Datacenter", "dc1"),
                           "Status": checks.get("Status", "passing")}
            )  # fmt: skip
        elif path == "catalog/deregister":
            self.drop(raw.get("Datacenter", "dc1"), raw.get("ServiceID", ""))
        else:
            return Reply(404)
        await self.tell()
        return Reply(200, b"true" if path.startswith("catalog") else b"")

    def _register(self, raw: dict[str, Any]) -> None:
        check: dict[str, Any] = raw.get("Check") or next(iter(raw.get("Checks") or []), None) or {}
        ttl = check.get("TTL")
        status = check.get("Status") or ("critical" if ttl else "passing")
        self.put(raw | {"Status": status})
        if ttl:
            uid = raw.get("ID") or raw["Name"]
            self.services["dc1", uid]["TTL"] = seconds(ttl)
            self._alive(uid)

    def _alive(self, uid: str) -> None:
        """A TTL check that is not told again in time turns critical."""
        row = self.services.get(("dc1", uid))
        old = self.ttl.pop(uid, None)
        if old is not None:
            old.cancel()
        if row is not None and "TTL" in row:
            loop = asyncio.get_running_loop()
            self.ttl[uid] = loop.call_later(row["TTL"], self._expire, uid)

    def _expire(self, uid: str) -> None:
        self.set_status(uid, "critical")
        self.task = asyncio.get_running_loop().create_task(self.tell())

    # ---- its tester ------------------------------------------------------------

    async def command(self, asked: Asked) -> Reply:
        if asked.path == "/standin/lines":
            lines = {"seconds": dict(self.by_second), "readers": dict(self.by_reader),
                     "waiting": self.waiting, "asked": self.asked, "bytes": self.bytes}  # fmt: skip
            return Reply(200, json.dumps(lines).encode())
        raw = json.loads(asked.body)
        if asked.path == "/standin/services":
            wanted = {(row.get("Datacenter", "dc1"), row.get("ID")) for row in raw}
            for dc, uid in [k for k in self.services if k not in wanted]:
                self.drop(dc, uid)
            for row in raw:
                self.put(row)
        elif asked.path == "/standin/status":
            for uid, status in raw.items():
                self.set_status(uid, status)
        elif asked.path == "/standin/faults":
            self.faults = raw
            if raw.get("rewind"):  # restored from an old backup
                self.index = max(self.index // 2, 1)
                self.indexes = dict.fromkeys(self.indexes, self.index)
        else:
            return Reply(404)
        await self.tell()
        return Reply()

    async def handle(self, asked: Asked) -> Reply:
        if asked.path.startswith("/standin/"):
            return await self.command(asked)
        if asked.path == "/v1/status/leader":
            return Reply(200, b'""' if self.faults.get("leaderless") else b'"127.0.0.1:8300"')
        if asked.method == "GET":
            self.asked += 1
            return await self.read(asked)
        return await self.write(asked)


async def run(listen: str) -> None:
    server = await serve(Agent().handle, *split_address(listen))
    await server.serve_forever()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--listen", default="127.0.0.1:0")
    asyncio.run(run(parser.parse_args().listen))


if __name__ == "__main__":
    main()
