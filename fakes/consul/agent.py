"""The agent: it serves reads and writes, and counts rows, queries and bytes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import time
from collections import Counter
from http import HTTPStatus
from random import Random
from typing import Any
from urllib.parse import parse_qs, unquote

from fakes.bexpr import FilterError, compile_filter
from fakes.consul.catalog import Catalog, UnknownEndpointError
from fakes.consul.faults import Faults
from fakes.consul.rows import (
    CRITICAL,
    LOCAL_ADDRESS,
    LOCAL_DATACENTER,
    PASSING,
    with_documented_keys,
)
from fakes.web import Reply, Request

MAX_WAIT_S = 600.0
DEFAULT_WAIT_S = 300.0
WAIT_JITTER_PART = 1 / 16  # of a query's wait, as documented: waiters do not end together
LEADER = b'"127.0.0.1:8300"'
STATUS_BY_CALL = {"pass": PASSING, "warn": "warning", "fail": CRITICAL}

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h)?")
_UNIT_S = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, None: 1.0}


def parse_duration(text: str) -> float:
    """Seconds of a duration in Go's form, with one unit."""
    found = _DURATION.fullmatch(text)
    if found is None:
        raise ValueError(f"{text!r} is no duration")
    return float(found[1]) * _UNIT_S[found[2]]


class Agent:
    """One agent before the catalogue of its cluster."""

    def __init__(self) -> None:
        self._catalog = Catalog()
        self._changed = asyncio.Condition()
        self._faults = Faults()
        self._ttl_timers: dict[str, asyncio.TimerHandle] = {}  # by instance
        self._random = Random(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._rows_by_second: Counter[int] = Counter()  # of the monotonic clock
        self._rows_by_reader: Counter[str] = Counter()  # by User-Agent
        self._blocking_queries = 0
        self._queries_received = 0
        self._body_bytes = 0

    async def handle(self, request: Request) -> Reply:
        """Answer one request."""
        if request.path.startswith("/standin/"):
            return await self._control(request)
        if request.path == "/v1/status/leader":
            return Reply(200, b'""' if self._faults.leaderless else LEADER)
        if request.method == "GET":
            self._queries_received += 1
            return await self._read(request)
        return await self._write(request)

    async def _notify(self) -> None:
        """Wake the blocking queries: something has changed."""
        async with self._changed:
            self._changed.notify_all()

    # ---- reads ---------------------------------------------------------------------

    async def _read(self, request: Request) -> Reply:
        query = {k: v[0] for k, v in parse_qs(request.query, keep_blank_values=True).items()}
        rejection = self._rejection(request, query)
        if rejection is None and int(query.get("index", 0)) > 0:
            await self._wait_for_change(request.path, query)
            rejection = self._rejection(request, query)
        if rejection is not None:
            return rejection
        try:
            test = compile_filter(query["filter"]) if query.get("filter") else None
            body = self._catalog.query(request.path, query)
            if test is not None and isinstance(body, list):
                body = [row for row in body if test(row)]
        except UnknownEndpointError:
            return Reply(404)
        except (FilterError, re.error) as err:
            return Reply(400, f"Failed to create filter: {err}".encode())
        return self._answer(request, self._with_rows_missing(body))

    def _rejection(self, request: Request, query: dict[str, str]) -> Reply | None:
        """The response in place of a result, if a fault calls for one."""
        faults = self._faults
        if faults.silent:
            return Reply(silent=True)
        if faults.reset:
            return Reply(reset=True)
        if faults.status:
            return Reply(faults.status, b"rate limit or error")
        if faults.leaderless and "stale" not in query:
            return Reply(500, b"No cluster leader")
        if faults.token and request.headers.get("x-consul-token") != faults.token:
            return Reply(403, b"ACL not found")
        return None

    async def _wait_for_change(self, path: str, query: dict[str, str]) -> None:
        """Block a query until its index has changed, or its wait has elapsed."""
        since = int(query["index"])
        wait_s = min(parse_duration(query.get("wait", "5m")), MAX_WAIT_S) or DEFAULT_WAIT_S
        wait_s += wait_s * WAIT_JITTER_PART * self._random.random()

        def has_changed() -> bool:
            # An index ahead of the present one is from before a rewind: it returns at once.
            return self._catalog.index_of(path) != since

        self._blocking_queries += 1
        try:
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait_for(has_changed), wait_s)
        finally:
            self._blocking_queries -= 1

    def _with_rows_missing(self, body: Any) -> Any:
        if not isinstance(body, list):
            return body
        if self._faults.empty:
            return []
        return body[: len(body) // 2] if self._faults.half else body

    def _answer(self, request: Request, body: Any) -> Reply:
        faults = self._faults
        if isinstance(body, list):
            self._rows_by_second[int(time.monotonic())] += len(body)
            self._rows_by_reader[request.headers.get("user-agent", "-")] += len(body)
        data = json.dumps(body).encode()
        self._body_bytes += len(data)
        if faults.body is not None:
            data = str(faults.body).encode()
        headers = {
            "Content-Type": "application/json",
            "X-Consul-Index": str(self._catalog.index_of(request.path)),
            "X-Consul-KnownLeader": "false" if faults.leaderless else "true",
            "X-Consul-LastContact": str(faults.contact_ms),
        }
        return Reply(200, data, headers, cut=faults.cut, rate=faults.rate, endless=faults.endless)

    # ---- writes --------------------------------------------------------------------

    async def _write(self, request: Request) -> Reply:
        """The agent's and the catalogue's registration endpoints."""
        path = request.path.removeprefix("/v1/")
        raw = with_documented_keys(json.loads(request.body)) if request.body else {}
        endpoint, _, uid = path.rpartition("/")
        reply = Reply(200)
        if path == "agent/service/register":
            self._register(raw)
        elif path == "catalog/register":
            self._register_external(raw)
            reply = Reply(200, b"true")
        elif path == "catalog/deregister":
            self._catalog.remove(raw.get("Datacenter", LOCAL_DATACENTER), raw.get("ServiceID", ""))
            reply = Reply(200, b"true")
        elif endpoint == "agent/service/deregister":
            self._catalog.remove(LOCAL_DATACENTER, unquote(uid))
        elif endpoint == "agent/service/maintenance":
            reply = self._set_maintenance(unquote(uid), request.query)
        elif endpoint.startswith("agent/check/"):
            reply = self._renew_check(unquote(uid), endpoint.rpartition("/")[2])
        else:
            reply = Reply(404)
        if reply.status == HTTPStatus.OK:
            await self._notify()
        return reply

    def _register(self, raw: dict[str, Any]) -> None:
        check: dict[str, Any] = raw.get("Check") or next(iter(raw.get("Checks") or []), None) or {}
        ttl = check.get("TTL")
        status = check.get("Status") or (CRITICAL if ttl else PASSING)
        instance = self._catalog.put(raw | {"Status": status})
        if ttl:
            instance.ttl_s = parse_duration(ttl)
            self._restart_ttl(instance.uid)

    def _register_external(self, raw: dict[str, Any]) -> None:
        """Register a service of a node without an agent, in any datacentre."""
        check = raw.get("Check") or {}
        of_node = {
            "Node": raw["Node"],
            "NodeAddress": raw.get("Address", LOCAL_ADDRESS),
            "Datacenter": raw.get("Datacenter", LOCAL_DATACENTER),
            "Status": check.get("Status", PASSING),
        }
        self._catalog.put((raw.get("Service") or {}) | of_node)

    def _set_maintenance(self, uid: str, query: str) -> Reply:
        instance = self._catalog.local_instance(uid)
        if instance is None:
            return Reply(404)
        self._catalog.set_maintenance(instance, parse_qs(query).get("enable") == ["true"])
        return Reply(200)

    def _renew_check(self, check_id: str, call: str) -> Reply:
        if call not in STATUS_BY_CALL:
            return Reply(404)
        uid = check_id.removeprefix("service:")
        if not self._catalog.set_status(uid, STATUS_BY_CALL[call]):
            return Reply(404, b"Unknown check")
        self._restart_ttl(uid)
        return Reply(200)

    def _restart_ttl(self, uid: str) -> None:
        """A TTL check that is not renewed in time becomes critical."""
        timer = self._ttl_timers.pop(uid, None)
        if timer is not None:
            timer.cancel()
        instance = self._catalog.local_instance(uid)
        if instance is not None and instance.ttl_s:
            loop = asyncio.get_running_loop()
            self._ttl_timers[uid] = loop.call_later(instance.ttl_s, self._expire, uid)

    def _expire(self, uid: str) -> None:
        self._catalog.set_status(uid, CRITICAL)
        task = asyncio.get_running_loop().create_task(self._notify())
        self._tasks.add(task)  # the loop itself holds no task
        task.add_done_callback(self._tasks.discard)

    # ---- calls for tests ------------------------------------------------------------

    async def _control(self, request: Request) -> Reply:
        if request.path == "/standin/lines":
            return Reply(200, json.dumps(self._counters()).encode())
        raw = json.loads(request.body)
        match request.path.removeprefix("/standin/"):
            case "services":
                self._catalog.replace_all(raw)
            case "status":
                for uid, status in raw.items():
                    self._catalog.set_status(uid, status)
            case "faults":
                self._faults = Faults(**raw)
                if self._faults.rewind:
                    self._catalog.rewind()
            case _:
                return Reply(404)
        await self._notify()
        return Reply()

    def _counters(self) -> dict[str, Any]:
        return {
            "seconds": dict(self._rows_by_second),
            "readers": dict(self._rows_by_reader),
            "waiting": self._blocking_queries,
            "asked": self._queries_received,
            "bytes": self._body_bytes,
        }
