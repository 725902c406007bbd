"""The fake Consul before py-consul, a client nobody here wrote, and before plain requests."""

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

from fakes.processes import Process, running_process
from tests.harness import LIMIT, until

TOPUP = "/v1/health/service/topup"


@pytest.fixture
def agent() -> Iterator[Process]:
    with running_process(("-m", "fakes.consul")) as process:
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
    public = client(agent)
    assert public.agent.service.register(
        "topup", service_id="t-1", address="127.0.0.1", port=9001, tags=["v1"],
        meta={"shard": "3"}, check=consul.Check.ttl("60s"),
    )  # fmt: skip
    _, rows = public.health.service("topup")
    assert [r["Service"]["ID"] for r in rows] == ["t-1"]
    assert {x["Status"] for x in rows[0]["Checks"]} == {"passing", "critical"}  # not renewed yet
    assert public.health.service("topup", passing=True)[1] == []
    public.agent.check.ttl_pass("service:t-1")
    assert len(public.health.service("topup", passing=True)[1]) == 1
    assert public.health.service("topup", tag="v2")[1] == []
    assert public.catalog.services()[1] == {"topup": ["v1"]}
    (row,) = public.catalog.service("topup")[1]
    assert (row["ServiceAddress"], row["ServicePort"]) == ("127.0.0.1", 9001)
    assert row["ServiceMeta"] == {"shard": "3"}
    public.agent.service.maintenance("t-1", "true", "upgrade")
    states = public.health.state("critical")[1]
    assert [s["CheckID"] for s in states] == ["_service_maintenance:t-1"]
    public.agent.service.deregister("t-1")
    assert public.health.service("topup")[1] == []
    assert public.status.leader() == "127.0.0.1:8300"


def test_the_public_clients_blocking_query_wakes_on_a_change(agent: Process) -> None:
    register(agent, 3)
    public = client(agent)
    index, rows = public.health.service("topup")
    found: list[Any] = []
    waiter = threading.Thread(
        target=lambda: found.append(public.health.service("topup", index=index, wait="60s"))
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
    public = client(agent)
    index, _ = public.health.service("topup")
    assert public.health.service("topup", index=index, wait="50ms")[0] == index
    # Another service's change does not raise this one's index.
    agent.call("PUT", "/v1/agent/service/register", {"Name": "other", "Port": 1})
    assert public.health.service("topup")[0] == index


def test_a_ttl_check_that_is_not_renewed_turns_critical(agent: Process) -> None:
    public = client(agent)
    public.agent.service.register("topup", service_id="t-1", check=consul.Check.ttl("100ms"))
    public.agent.check.ttl_pass("service:t-1")
    until(lambda: public.health.service("topup", passing=True)[1] == [])


def test_datacentres_have_services_of_their_own(agent: Process) -> None:
    public = client(agent)
    public.catalog.register("n1", "127.0.0.5", service={"Service": "topup", "ID": "w-1"}, dc="dc2")
    assert public.catalog.datacenters() == ["dc1", "dc2"]
    assert public.catalog.service("topup")[1] == []
    (row,) = public.catalog.service("topup", dc="dc2")[1]
    assert (row["ServiceAddress"], row["Address"]) == ("", "127.0.0.5")


def test_a_filter_that_can_not_be_read_is_a_bad_request(agent: Process) -> None:
    text = quote("Service.ID ==")
    assert get(agent, f"{TOPUP}?filter={text}")[0] == 400


def test_lines_are_counted_by_second_and_reader(agent: Process) -> None:
    register(agent, 30)
    before = time.monotonic()
    get(agent, TOPUP, User_Agent="r1")
    one = quote('Service.ID == "t-1"')
    get(agent, f"{TOPUP}?filter={one}", User_Agent="r2")
    lines = agent.call("GET", "/standin/lines")
    assert lines["readers"] == {"r1": 30, "r2": 1}
    assert sum(lines["seconds"].values()) == 31
    assert all(int(before) <= int(s) <= time.monotonic() for s in lines["seconds"])


def set_faults(agent: Process, **faults: Any) -> None:
    agent.call("POST", "/standin/faults", faults)


@pytest.mark.parametrize(
    ("faults", "status"),
    [
        ({"status": 500}, 500),
        ({"status": 429}, 429),
        ({"leaderless": True}, 500),
        ({"token": "secret"}, 403),
    ],
)
def test_a_fault_in_place_of_an_answer(agent: Process, faults: dict[str, Any], status: int) -> None:
    set_faults(agent, **faults)
    assert get(agent, TOPUP)[0] == status


def test_a_leaderless_agent_answers_stale_reads_and_says_so(agent: Process) -> None:
    register(agent, 10)
    set_faults(agent, leaderless=True)
    status, headers, rows = get(agent, f"{TOPUP}?stale")
    assert (status, len(rows), headers["X-Consul-KnownLeader"]) == (200, 10, "false")


def test_the_right_token_is_answered(agent: Process) -> None:
    set_faults(agent, token="secret")
    assert get(agent, TOPUP, X_Consul_Token="secret")[0] == 200


@pytest.mark.parametrize(("faults", "count"), [({"empty": True}, 0), ({"half": True}, 5)])
def test_rows_that_are_missing(agent: Process, faults: dict[str, Any], count: int) -> None:
    register(agent, 10)
    set_faults(agent, **faults)
    assert len(get(agent, TOPUP)[2]) == count


def test_a_body_in_place_of_an_answers(agent: Process) -> None:
    set_faults(agent, body='[{"Node": 5}]')
    assert get(agent, TOPUP)[2] == [{"Node": 5}]


@pytest.mark.parametrize("faults", [{"cut": 40}, {"reset": True}])
def test_an_answer_that_breaks_off(agent: Process, faults: dict[str, Any]) -> None:
    register(agent, 10)
    set_faults(agent, **faults)
    with pytest.raises((HTTPException, OSError)):
        get(agent, TOPUP)


def test_the_contact_with_the_leader_is_given(agent: Process) -> None:
    set_faults(agent, contact_ms=9000)
    assert get(agent, TOPUP)[1]["X-Consul-LastContact"] == "9000"


def test_a_rewind_answers_queries_with_an_index_from_before_at_once(agent: Process) -> None:
    """The cluster is restored from an old backup: its indexes are lower than a reader's."""
    register(agent, 10)
    index = int(get(agent, TOPUP)[1]["X-Consul-Index"])
    set_faults(agent, rewind=True)
    assert int(get(agent, TOPUP)[1]["X-Consul-Index"]) < index
    assert get(agent, f"{TOPUP}?index={index}&wait=60s")[0] == 200


def test_an_unknown_fault_is_an_error(agent: Process) -> None:
    """A misspelt fault must not leave a test without the fault that it is about."""
    with pytest.raises((HTTPException, OSError)):
        set_faults(agent, silnet=True)
