"""Gossip of a process whose successor in an upgrade has ended."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from fakes.cluster import ClusterOptions, running_cluster, wait_until
from fakes.processes import Process, running_backends, running_process
from tests.harness import listen


@pytest.fixture
def servers() -> Iterator[list[Process]]:
    with running_backends(2, 1.0) as started_servers:
        yield started_servers


def test_a_process_whose_successor_died_takes_part_in_gossip_again(servers: list[Process]) -> None:
    """The new process of an upgrade is killed, and the old process serves again.

    If it does not take part in gossip again, the other nodes consider it dead and replace its
    slots, and it receives no records. It needs a new incarnation: the others know the one of the
    new process, and would ignore messages of an earlier one.
    """
    with listen() as free:
        at = {"listen": f"127.0.0.1:{free.getsockname()[1]}"}
    options = ClusterOptions(overrides=lambda n: {} if n else at)
    with running_cluster(3, [s.address for s in servers], options) as cluster:
        cluster.agree({0, 1, 2})

        def member_0() -> Any:
            return next(r for r in cluster.status(1)["nodes"] if r[0] == 0)

        first = cluster.status(0)["incarnation"]
        with running_process(("-m", "loadbalancer"), cluster.config(0)) as successor:
            successor.collect_log()
            wait_until(lambda: member_0()[2] > first)
            other = Process(successor.child, successor.admin_address)
            wait_until(lambda: other.call("GET", "/peers")["caught_up"])
            second = other.call("GET", "/peers")["incarnation"]
            successor.child.kill()
            wait_until(lambda: member_0()[1] == "alive" and member_0()[2] > second)
        wait_until(lambda: cluster.status(0)["caught_up"])
        cluster.agree({0, 1, 2})
        assert not [r for r in cluster.status(1)["nodes"] if r[4]]  # no member is untrusted
