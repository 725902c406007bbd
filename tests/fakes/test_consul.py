"""The stand-in Consul before py-consul, a client nobody here wrote, and before raw requests."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException
from typing import Any
from urllib.parse import quote

import consul
import pytest

from fakes.bexpr import FilterError, compiled
from fakes.fleet import Process, started
from tests.harness import LIMIT, until


@pytest.fixture
def agent() -> Iterator[Process]:
    with started(("-m", "fakes.consul")) as process:
        yield process


def client(agent: Process) -> Any:
    host, _, port = agent.address.rpartition(":")
    return consul.Consul(host=host, port=int(port))


def get(agent: Process, path: str, **headers: str) -> tuple[int, dict[str, str], Any]:
    connection = HTTPConnection(agent.address, timeout=LIMIT)
    try:
        connection.request(
            "GET", path, headers={k.replace("_", "-"): v for k, v in headers.items()}
        )
        answer = connection.getresponse()
        body = answer.read()
        kind = answer.getheader("Content-Type", "")
        return answer.status, dict(answer.getheaders()), json.loads(body) if kind else body
    finally:
        connection.close()


def register(agent: Process, count: int, **more: Any) -> None:
    rows = [
        {"ID": f"t-{i}", "Service": "topup", "Address": "127.0.0.1", "Port": 9000 + i} | more
        for i in range(1, count + 1)
    ]
    agent.call("PUT", "/standin/services", rows)


def test_the_public_client_registers_reads_and_deregisters(agent: Process) -> None:
    c = client(agent)
    assert c.agent.service.register(
        "topup", service_id="t-1", address="127.0.0.1", port=9001, tags=["v1"],
        meta={"shard": "3"}, check=consul.Check.ttl("60s"),
    )  # fmt: skip
    _, rows = c.health.service("topup")
    assert [r["Service"]["ID"] for r in rows] == ["t-1"]
    assert {x["Status"] for x in rows[0]["Checks"]} == {"passing", "critical"}  # not told yet
    assert c.health.service("topup", passing=True)[1] == []
    c.agent.check.ttl_pass("service:t-1")
    assert len(c.health.service("topup", passing=True)[1]) == 1
    assert c.health.service("topup", tag="v2")[1] == []
    assert c.catalog.services()[1] == {"topup": ["v1"]}
    (row,) = c.catalog.service("topup")[1]
    assert (row["ServiceAddress"], row["ServicePort"]) == ("127.0.0.1", 9001)
    assert row["ServiceMeta"] == {"shard": "3"}
    c.agent.service.maintenance("t-1", "true", "upgrade")
    states = c.health.state("critical")[1]
    assert [s["CheckID"] for s in states] == ["_service_maintenance:t-1"]
    c.agent.service.deregister("t-1")
    assert c.health.service("topup")[1] == []
    assert c.status.leader() == "127.0.0.1:8300"


def test_the_public_clients_blocking_query_wakes_on_a_change(agent: Process) -> None:
    register(agent, 3)
    c = client(agent)
    index, rows = c.health.service("topup")
    found: list[Any] = []
    waiter = threading.Thread(
        target=lambda: found.append(c.health.service("topup", index=index, wait="60s"))
    )
    waiter.start()
    until(lambda: agent.call("GET", "/standin/lines")["waiting"] == 1)
    agent.call("POST", "/standin/status", {"t-2": "critical"})
    waiter.join(LIMIT)
    newer, rows = found[0]
    assert int(newer) > int(index)
    assert [r["Service"]["ID"] for r in rows if r["Checks"][1]["Status"] == "critical"] == ["t-2"]


def test_a_wait_without_a_change_ends_with_the_same_index(agent: Process) -> None:
    register(agent, 1)
    c = client(agent)
    index, _ = c.health.service("topup")
    assert c.health.service("topup", index=index, wait="50ms")[0] == index
    # Another service's change is no news of this one.
    agent.call("PUT", "/v1/agent/service/register", {"Name": "other", "Port": 1})
    assert c.health.service("topup")[0] == index


def test_a_ttl_check_that_is_not_told_again_turns_critical(agent: Process) -> None:
    c = client(agent)
    c.agent.service.register("topup", service_id="t-1", check=consul.Check.ttl("100ms"))
    c.agent.check.ttl_pass("service:t-1")
    until(lambda: c.health.service("topup", passing=True)[1] == [])


def test_datacentres_are_apart(agent: Process) -> None:
    c = client(agent)
    c.catalog.register("n1", "127.0.0.5", service={"Service": "topup", "ID": "w-1"}, dc="dc2")
    assert c.catalog.datacenters() == ["dc1", "dc2"]
    assert c.catalog.service("topup")[1] == []
    (row,) = c.catalog.service("topup", dc="dc2")[1]
    assert (row["ServiceAddress"], row["Address"]) == ("", "127.0.0.5")


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ('Service.ID == "t-1"', {1}),
        ('Service.ID == "t-1" or Service.ID == "t-3"', {1, 3}),
        ('not (Service.ID == "t-1") and Service.ID != "t-2"', {3, 4}),
        ('Checks.Status != "passing"', {2}),  # of a list: any
        ('"v2" in Service.Tags', {2}),
        ('Service.Tags contains "v2"', {2}),
        ('Service.Tags not contains "v2"', {1, 3, 4}),
        ('Service.ID matches "t-[34]$"', {3, 4}),
        ('Service.Meta["a.b"] == "x"', {4}),
        ("Service.Tags is empty", {1, 3, 4}),
        ("Service.Tags is not empty", {2}),
        ('"shard" in Service.Meta', {3}),
    ],
)
def test_filters_as_documented(text: str, found: set[int]) -> None:
    rows = [
        {"Service": {"ID": f"t-{i}", "Tags": ["v2"] if i == 2 else [],
                     "Meta": {3: {"shard": "1"}, 4: {"a.b": "x"}}.get(i, {})},
         "Checks": [{"Status": "passing"}, {"Status": "critical" if i == 2 else "passing"}]}
        for i in range(1, 5)
    ]  # fmt: skip
    test = compiled(text)
    assert {i for i, row in enumerate(rows, 1) if test(row)} == found


@pytest.mark.parametrize("text", ["", "Service.ID ==", "(a == b", 'a ~ "b"', 'a == "b" extra', "'"])
def test_a_filter_that_cant_be_read_is_refused(text: str, agent: Process) -> None:
    with pytest.raises(FilterError):
        compiled(text)
    if text:
        assert get(agent, f"/v1/health/service/topup?filter={quote(text)}")[0] == 400


def test_lines_are_counted_by_second_and_reader(agent: Process) -> None:
    register(agent, 30)
    before = time.monotonic()
    get(agent, "/v1/health/service/topup", User_Agent="r1")
    one = quote('Service.ID == "t-1"')
    get(agent, f"/v1/health/service/topup?filter={one}", User_Agent="r2")
    lines = agent.call("GET", "/standin/lines")
    assert lines["readers"] == {"r1": 30, "r2": 1}
    assert sum(lines["seconds"].values()) == 31
    assert all(int(before) <= int(s) <= time.monotonic() for s in lines["seconds"])


def test_each_fault_is_played(agent: Process) -> None:
    register(agent, 10)
    path = "/v1/health/service/topup"

    def fault(**faults: Any) -> None:
        agent.call("POST", "/standin/faults", faults)

    for status in (500, 429):
        fault(status=status)
        assert get(agent, path)[0] == status
    fault(leaderless=True)
    assert get(agent, path)[0] == 500
    code, headers, rows = get(agent, f"{path}?stale")
    assert (code, len(rows), headers["X-Consul-KnownLeader"]) == (200, 10, "false")
    fault(token="secret")
    assert get(agent, path)[0] == 403 and get(agent, path, X_Consul_Token="secret")[0] == 200
    fault(empty=True)
    assert get(agent, path)[2] == []
    fault(half=True)
    assert len(get(agent, path)[2]) == 5
    for faults in ({"cut": 40}, {"reset": True}):
        fault(**faults)
        with pytest.raises((HTTPException, OSError)):
            get(agent, path)
    fault(body='[{"Node": 5}]')
    assert get(agent, path)[2] == [{"Node": 5}]
    fault(contact_ms=9000)
    index = int(get(agent, path)[1]["X-Consul-Index"])
    assert get(agent, path)[1]["X-Consul-LastContact"] == "9000"
    fault(rewind=True)
    assert int(get(agent, path)[1]["X-Consul-Index"]) < index
    # A blocking query with an index from before is answered at once.
    assert get(agent, f"{path}?index={index}&wait=60s")[0] == 200
