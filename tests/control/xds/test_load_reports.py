"""Tests of proxies' load reports, with the control service in its own process."""

from __future__ import annotations

import json
from pathlib import Path

import grpc
import pytest

from tests.control.xds.support import (
    CLUSTER_URL,
    TWO_POOLS,
    LoadReporter,
    calls,
    client_config,
    control_service,
    envoy_stream,
    grpc_client,
    grpc_servers,
    raw_stream,
    targets_of,
    two_pools,
    wait_for_log,
)
from tests.harness import roster, target, until


def test_a_server_that_fails_according_to_reports_becomes_unhealthy_for_all_proxies(
    tmp_path: Path,
) -> None:
    """Two of three proxies report that a server answers every request with an error. The third
    proxy, which sends no reports, must get the server as unhealthy, too.
    """
    text = TWO_POOLS.replace('config = "topup.json"', 'config = "topup.json"\nmembers = "m.json"')
    (tmp_path / "m.json").write_text(
        json.dumps(roster(*(target(f"s-{i}", 9000 + i) for i in range(1, 5))))
    )
    with two_pools(tmp_path, text) as process, envoy_stream(process) as proxy:
        reporters = [LoadReporter(process, name) for name in ("r1", "r2")]
        assert reporters[0].response.load_reporting_interval.seconds == 1
        assert reporters[0].response.send_all_clusters
        good = {9000 + i: (100, 0) for i in range(1, 5)}
        for reporter in reporters:
            reporter.report(good | {9003: (0, 100)})
        unhealthy = 2
        while proxy.assignments["topup"][9003].health_status != unhealthy:
            proxy.receive()
        assert all(proxy.assignments["topup"][p].health_status == 1 for p in (9001, 9002, 9004))
        for reporter in reporters:
            reporter.close()


def test_implausible_reports_are_logged_once_and_ignored(tmp_path: Path) -> None:
    with control_service(tmp_path, roster(target("s-1", 9001), target("s-2", 9002))) as process:
        reporter = LoadReporter(process, "r1")
        for _ in range(3):
            reporter.report({9001: (0, 1 << 62)})
        # The next reports cover more time than has passed since this one.
        reporter.report({9001: (1, 0)}, ms=999)
        reporter.report({9001: (1, 0)}, ms=999)
        reporter.report({9001: (1, 0)}, ms=999)
        wait_for_log(process, "covers more time than has passed")
        with raw_stream(process, False) as stream:
            stream.request(CLUSTER_URL)
            assert len(stream.receive().resources) == 1
        reporter.close()
    assert process.log_text.count("load report not counted: more than 1000000 a second") == 1


def test_a_flood_of_reports_ends_only_its_own_stream(tmp_path: Path) -> None:
    with control_service(tmp_path, roster(target("s-1", 9001))) as process:
        flood, good = LoadReporter(process, "r1"), LoadReporter(process, "r2")
        for _ in range(1000):
            flood.report({9001: (1, 0)}, ms=0)
        with pytest.raises(grpc.RpcError) as caught:
            next(flood.answers)
        assert caught.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
        good.report({9001: (1, 0)})
        with raw_stream(process, False) as stream:
            stream.request(CLUSTER_URL)
            assert len(stream.receive().resources) == 1
        good.close()
        flood.close()


def test_load_reports_of_a_grpc_client_are_counted(tmp_path: Path) -> None:
    with (
        grpc_servers("s-1", "s-2") as servers,
        control_service(tmp_path, roster(*targets_of(servers))) as process,
        grpc_client(process.address) as proxy,
    ):

        def counted() -> bool:
            assert sum(calls(proxy, 20).values()) == 20
            return "counted" in str(client_config(process).node.metadata)

        until(counted)
