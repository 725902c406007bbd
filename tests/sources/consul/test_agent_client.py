"""Which agent a request goes to after failures, and when."""

from __future__ import annotations

import logging
from pathlib import Path
from random import Random

import pytest

from loadbalancer.sources.consul.agent_client import MAX_BACKOFF_S, AgentClient
from loadbalancer.sources.consul.agent_response import ResponseError, TokenRefusedError
from loadbalancer.sources.consul.credentials import Credentials
from loadbalancer.sources.consul.file import ConsulFile, read_consul
from loadbalancer.sources.consul.rows import RowFormat
from tests.sources.consul.support import write_file

READERS = 21
DISCONNECTED = ResponseError("no whole answer")

logger = logging.getLogger(__name__)


@pytest.fixture
def file(tmp_path: Path) -> ConsulFile:
    """Two agents at which nobody listens."""
    return read_consul(str(write_file(tmp_path, "127.0.0.1:1", "127.0.0.1:2")))


def client_of(
    file: ConsulFile, seed: int = 1, credentials: Credentials | None = None
) -> AgentClient:
    return AgentClient(file, "dc1", RowFormat(), credentials or Credentials(), Random(seed), logger)


def test_a_watch_and_a_query_that_lose_one_agent_go_on_to_the_next(file: ConsulFile) -> None:
    """With two agents: counted twice, the failure would lead back to the agent that is gone."""
    client = client_of(file)
    for _ in range(2):
        client.on_failure(DISCONNECTED, 0)
    assert client.agent_number == 1
    client.on_failure(DISCONNECTED, 1)
    assert client.agent_number == 2


def test_readers_that_lose_one_agent_send_to_the_next_at_different_times(file: ConsulFile) -> None:
    """21 readers lose their agent together: if all waited equally, the next one had them at once.

    The delays also grow, and are bounded.
    """

    def delays(seed: int) -> list[float]:
        client = client_of(file, seed)
        return [client.jittered(client.on_failure(DISCONNECTED, number)) for number in range(8)]

    delays_of_all = [delays(seed) for seed in range(READERS)]
    first = sorted(found[0] for found in delays_of_all)
    assert first[-1] - first[0] > 0.2
    assert len(set(first)) == READERS
    assert all(max(found) <= MAX_BACKOFF_S for found in delays_of_all)
    assert all(found[-1] > found[0] for found in delays_of_all)


def test_an_error_is_logged_once_until_a_request_succeeds(
    file: ConsulFile, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO, __name__)
    client = client_of(file)
    for number in range(3):
        client.on_failure(DISCONNECTED, number)
    client.on_success()
    client.on_success()
    assert caplog.messages == [
        "consul:dc1: agent 127.0.0.1:1: no whole answer; the list stands",
        "consul:dc1: answers again",
    ]


def test_a_token_that_is_refused_is_read_again(tmp_path: Path, file: ConsulFile) -> None:
    """An operator has replaced the token in its file."""
    token_file = tmp_path / "token"
    token_file.touch(0o600)
    token_file.write_text("new\n")
    credentials = Credentials("old", token_file)
    client_of(file, credentials=credentials).on_failure(TokenRefusedError("status 403"), 0)
    assert credentials.headers["X-Consul-Token"] == "new"
