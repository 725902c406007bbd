"""A node stays within its memory limit, whatever hundreds of peers make it hold at once."""

from __future__ import annotations

import pytest

from benchmarks.memory_soak import Disturbance, Scenario, draw, play
from fakes.bulk_servers import ServerKind
from fakes.misbehaving_clients import ClientKind

MEMORY_MB = 32  # the least that operators give a node
DESCRIPTORS = 1024
RUN_S = 4.0
# What no holder of the account explains, of the growth of the resident memory.
MAX_UNEXPLAINED_MB = 1.0
SEEDS = range(1, 9)


def scenario(kind: ClientKind, clients: int, servers: int, server: ServerKind) -> Scenario:
    return Scenario(
        seed=1,
        memory_mb=MEMORY_MB,
        sockets=DESCRIPTORS,
        servers=(server,) * servers,
        clients=(kind,) * clients,
        come_again=False,
        usual=5,
        is_crowd=clients > DESCRIPTORS // 3,
        disturbance=Disturbance.NONE,
        duration_s=RUN_S,
    )


@pytest.mark.parametrize(
    ("kind", "clients", "servers", "server"),
    [
        (ClientKind.HALF_REQUEST, 300, 56, ServerKind.PROMPT),
        (ClientKind.HALF_REQUEST, 300, 6, ServerKind.STALLED),
        (ClientKind.PIPELINE, 300, 6, ServerKind.SLOW),
        (ClientKind.COMPLETE_HEADS, 600, 6, ServerKind.PROMPT),
        (ClientKind.SLOW_READER, 300, 56, ServerKind.PROMPT),
        (ClientKind.UNREAD_RESPONSES, 300, 56, ServerKind.PROMPT),
        (ClientKind.LARGE_HEADS, 100, 56, ServerKind.PROMPT),
    ],
    ids=[
        "half requests, many servers",
        "half requests, servers that stop reading",
        "pipelined requests, slow servers",
        "complete heads without content",
        "long responses, read slowly",
        "responses that are never read",
        "heads of the largest size, one after the other",
    ],
)
def test_hundreds_of_clients_do_not_take_a_node_over_its_memory_limit(
    kind: ClientKind, clients: int, servers: int, server: ServerKind
) -> None:
    outcome = play(scenario(kind, clients, servers, server))
    assert not outcome.faults, outcome
    assert outcome.unexplained_mb <= MAX_UNEXPLAINED_MB, outcome


@pytest.mark.parametrize("seed", SEEDS)
def test_a_drawn_mixture_of_peers_keeps_the_limit_and_loses_no_request(seed: int) -> None:
    outcome = play(draw(seed, RUN_S))
    assert not outcome.faults, (draw(seed, RUN_S), outcome)
