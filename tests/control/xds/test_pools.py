"""Tests of several pools, of lists from a file, and of reloads of the control service."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path

from envoy.admin.v3.config_dump_shared_pb2 import ClientResourceStatus

from fakes.processes import running_process
from loadbalancer.control.xds.file import read_file
from loadbalancer.control.xds.pool import Pool
from loadbalancer.control.xds.pool_inputs import read_inputs
from loadbalancer.sources.discovery import Discovery
from tests.control.xds.support import (
    CLUSTER_URL,
    LISTENER_URL,
    TWO_POOLS,
    client_config,
    control_service,
    envoy_stream,
    raw_stream,
    replace_file,
    resource_statuses,
    two_pools,
    wait_for_log,
    write_two_pools,
)
from tests.harness import ROOT, roster, target, until


def test_pools_have_their_own_servers_and_are_published_together(tmp_path: Path) -> None:
    with two_pools(tmp_path) as process, envoy_stream(process) as proxy:
        assert proxy.ports("topup") == {9001}
        # A pool with a members file uses that list, not the one from discovery (which starts with
        # b-0 at port 9001, the list in the pool's node configuration).
        assert proxy.ports("billing") == {9101, 9102}
        hosts = {h.name: list(h.domains) for h in proxy.routes.virtual_hosts}
        assert hosts == {"topup": ["app.svc"], "billing": ["bill.svc"]}


def test_changes_of_a_members_file_are_applied_and_invalid_ones_ignored(tmp_path: Path) -> None:
    """The file is replaced by invalid ones and by a valid one, then removed and written again. The
    proxies' endpoints must not change until there is a valid file.
    """
    path = tmp_path / "billing-members.json"
    with two_pools(tmp_path) as process, envoy_stream(process) as proxy:
        for bad in ('{"targets": [', "[]", '{"targets": [{"uid": "x", "state": "odd"}]}'):
            replace_file(path, bad)
            wait_for_log(process, "control: pool billing: billing-members.json not used")
        replace_file(path, json.dumps(roster(target("b-3", 9103))))
        while proxy.ports("billing") != {9103}:
            assert proxy.ports("billing") == {9101, 9102}
            proxy.receive()
        path.unlink()  # a missing file must not be treated as an empty list
        path.write_text(json.dumps(roster(target("b-4", 9104))))
        while proxy.ports("billing") != {9104}:
            assert proxy.ports("billing") == {9103}
            proxy.receive()


def test_nothing_is_published_while_one_pool_has_no_servers(tmp_path: Path) -> None:
    """The service is started while one pool's list is empty. A snapshot without that pool would
    remove its services from the proxies.
    """
    path = write_two_pools(tmp_path)
    members = tmp_path / "billing-members.json"
    members.write_text(json.dumps(roster()))
    with (
        running_process(("-m", "loadbalancer", "control", str(path))) as process,
        raw_stream(process, False) as stream,
    ):
        stream.request(CLUSTER_URL)
        wait_for_log(process, "no server is known in pool billing")
        replace_file(members, json.dumps(roster(target("b-1", 9101))))
        assert len(stream.receive().resources) == 2


def test_routes_of_all_pools_are_reloaded_together_or_not_at_all(tmp_path: Path) -> None:
    """If one of two changed routes files is invalid, a reload must change neither pool."""
    with two_pools(tmp_path) as process, envoy_stream(process) as proxy:
        good = (tmp_path / "topup.toml").read_text()
        replace_file(
            tmp_path / "topup.toml", good.replace('path = "/topup.Topup/Balance"', "path = 5")
        )
        replace_file(tmp_path / "billing.toml", good.replace('"topup"', '"other"'))
        process.child.send_signal(signal.SIGHUP)
        wait_for_log(process, "reload: nothing changed")
        replace_file(
            tmp_path / "topup.toml", good.replace("/topup.Topup/Balance", "/topup.Topup/Ask")
        )
        billing = good.replace('"topup"', '"billing"').replace('"app.svc"', '"b2.svc"')
        replace_file(tmp_path / "billing.toml", billing)
        process.child.send_signal(signal.SIGHUP)
        wait_for_log(process, "reload: applied")
        while proxy.routes.virtual_hosts[0].routes[0].match.path != "/topup.Topup/Ask":
            proxy.receive()
        assert list(proxy.routes.virtual_hosts[1].domains) == ["b2.svc"]


def test_a_reload_that_would_need_a_restart_changes_nothing(tmp_path: Path) -> None:
    with two_pools(tmp_path) as process, envoy_stream(process) as proxy:
        billing = (tmp_path / "billing.toml").read_text()
        replace_file(tmp_path / "billing.toml", billing.replace("bill.svc", "b2.svc"))
        for old, new in (
            ("0.1:0", "0.1:1"), ('name = "billing"', 'name = "other"'),
            ('members = "billing', 'members = "other'),
        ):  # fmt: skip
            replace_file(tmp_path / "control.toml", TWO_POOLS.replace(old, new))
            process.child.send_signal(signal.SIGHUP)
            wait_for_log(process, "reload: nothing changed")
        assert list(proxy.routes.virtual_hosts[1].domains) == ["bill.svc"]
        replace_file(tmp_path / "control.toml", TWO_POOLS)
        process.child.send_signal(signal.SIGHUP)
        wait_for_log(process, "reload: applied")
        while list(proxy.routes.virtual_hosts[1].domains) != ["b2.svc"]:
            proxy.receive()


def test_a_host_in_two_pools_is_rejected_with_its_file(tmp_path: Path) -> None:
    path = write_two_pools(tmp_path)
    text = (tmp_path / "billing.toml").read_text()
    (tmp_path / "billing.toml").write_text(text.replace("bill.svc", "app.svc"))
    done = subprocess.run(
        [sys.executable, "-m", "loadbalancer", "control", str(path)],
        cwd=ROOT, capture_output=True, text=True, timeout=30,
    )  # fmt: skip
    assert done.returncode == 2
    assert "billing.toml: [twice] host app.svc already belongs to pool topup" in done.stderr


def test_a_list_that_becomes_empty_is_reported_as_stale(tmp_path: Path) -> None:
    with two_pools(tmp_path) as process, envoy_stream(process) as proxy:
        assert "membership" not in client_config(process).node.metadata
        replace_file(tmp_path / "billing-members.json", json.dumps(roster()))
        until(lambda: "list is empty" in str(client_config(process).node.metadata))
        assert proxy.ports("billing") == {9101, 9102}


def test_a_proxy_kind_without_circuit_breaking_is_not_served_and_has_the_reason_in_its_status(
    tmp_path: Path,
) -> None:
    with (
        control_service(tmp_path, roster(target("s-1", 9001))) as process,
        raw_stream(process, True, "gRPC Go") as stream,  # sends no version
    ):
        stream.request(LISTENER_URL, resource_names_subscribe=["app.svc"])
        answer = stream.receive()
        assert list(answer.removed_resources) == ["app.svc"]
        row = resource_statuses(process)["p1", CLUSTER_URL]
        assert row.name == "topup"
        assert row.client_status == ClientResourceStatus.DOES_NOT_EXIST
        assert "not served: bounds nothing in flight" in row.error_state.details
    assert process.log_text.count("topup is not served") == 1


def test_a_list_without_recent_updates_is_stale_but_retained(tmp_path: Path) -> None:
    """Simulates that discovery has not responded for thirty seconds."""
    config = read_file(str(write_two_pools(tmp_path, TWO_POOLS)))

    async def run() -> None:
        pool = Pool(read_inputs(config)[0], 0, lambda: None, lambda _pool: None)
        pool.start()
        assert pool.stale_list() == ""
        pool.confirmed_at -= Discovery.stale_after_ns
        assert pool.stale_list() == "topup: no update for 30 s"
        assert pool.has_servers()
        assert len(pool.accepting()) == 1

    asyncio.run(run())
