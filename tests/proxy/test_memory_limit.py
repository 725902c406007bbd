"""A node stays within its memory limit, whatever hundreds of peers make it hold at once."""

from __future__ import annotations

import pytest

from benchmarks.memory_soak import Disturbance, Scenario, play
from fakes.bulk_servers import ServerKind
from fakes.misbehaving_clients import ClientKind

MEMORY_MB = 32  # the least that operators give a node


def scenario(kind: ClientKind, clients: int, servers: int, server: ServerKind) -> Scenario:
    return Scenario(
        seed=1,
        memory_mb=MEMORY_MB,
        sockets=1024,
        servers=(server,) * servers,
        clients=(kind,) * clients,
        come_again=False,
        usual=5,
        is_crowd=clients > 1024 // 3,
        disturbance=Disturbance.NONE,
        duration_s=4.0,
    )


@pytest.mark.parametrize(
    ("kind", "clients", "servers", "server"),
    [(ClientKind.HALF_REQUEST, 300, 56, ServerKind.PROMPT)],
    ids=["half requests, many servers"],
)
def test_hundreds_of_clients_do_not_take_a_node_over_its_memory_limit(
    kind: ClientKind, clients: int, servers: int, server: ServerKind
) -> None:
    outcome = play(scenario(kind, clients, servers, server))
    assert not outcome.faults, outcome
