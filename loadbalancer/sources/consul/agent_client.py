"""Requests to the agents of one file, one agent after the other.

After a failure the next request goes to the next agent and waits: longer each time, and for a
random part of that, so that readers that lost one agent together do not all send to the next one
at once.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import NamedTuple
from urllib.parse import quote

from loadbalancer.config.address import Address
from loadbalancer.sources.consul.agent_response import ResponseError, TokenRefusedError
from loadbalancer.sources.consul.credentials import Credentials
from loadbalancer.sources.consul.file import Consistency, ConsulError, ConsulFile, source_name
from loadbalancer.sources.consul.rows import RowFormat
from loadbalancer.sources.discovery import SourceLogger
from loadbalancer.sources.http_get import HttpGet, Response

BACKOFF_S = 0.5
MAX_BACKOFF_S = 15.0
MAX_DOUBLINGS = 10
CONSISTENCY_PARAMETER = {
    Consistency.STALE: "&stale",
    Consistency.DEFAULT: "",
    Consistency.CONSISTENT: "&consistent",
}

# Gets the response, None for none in full, and the attempt's number.
OnResponse = Callable[[Response | None, int], None]


class AgentRequest(NamedTuple):
    """A request without a response yet, and the number of the agent that it was sent to."""

    http_get: HttpGet
    agent_number: int


class AgentClient:
    """Sends one datacentre's requests, and owns those that have no response yet.

    Attributes:
        agent_number: counts the agents as they are tried; the present one is at this number,
            modulo their count.
    """

    __slots__ = (
        "_credentials", "_datacentre", "_failures", "_file", "_http_gets", "_last_error",
        "_logger", "_random", "_service_path", "agent_number",
    )  # fmt: skip

    def __init__(
        self,
        file: ConsulFile,
        datacentre: str,
        row_format: RowFormat,
        credentials: Credentials,
        random: Random,
        logger: SourceLogger,
    ) -> None:
        self._file = file
        self._datacentre = datacentre
        self._service_path = f"{row_format.path}{quote(file.service, safe='')}"
        self._credentials = credentials
        self._random = random
        self._logger = logger
        self.agent_number = 0
        self._failures = 0  # consecutive
        self._last_error = ""  # the last one logged, "" once a request has succeeded
        self._http_gets: set[HttpGet] = set()

    def close(self) -> None:
        """Drop all requests."""
        for http_get in self._http_gets:
            http_get.drop()

    def get(self, parameters: str, timeout_s: float, on_response: OnResponse) -> AgentRequest:
        """Send a request to the present agent; `parameters` are appended to its target."""
        agent_number = self.agent_number
        datacentre = quote(self._datacentre, safe="")
        mode = CONSISTENCY_PARAMETER[self._file.consistency]
        target = f"{self._service_path}?dc={datacentre}{mode}{parameters}"

        def on_done(response: Response | None) -> None:
            self._http_gets.discard(http_get)
            on_response(response, agent_number)

        http_get = HttpGet(
            self._agent(agent_number), target, timeout_s, on_done, self._credentials.headers,
            self._credentials.tls,
        )  # fmt: skip
        self._http_gets.add(http_get)
        return AgentRequest(http_get, agent_number)

    def drop(self, request: AgentRequest) -> None:
        """Give up a request; its `on_response` is not called any more."""
        request.http_get.drop()
        self._http_gets.discard(request.http_get)

    def on_success(self) -> None:
        """A response could be used."""
        if self._last_error:
            self._logger.info("%s: answers again", source_name(self._datacentre))
        self._last_error = ""
        self._failures = 0

    def on_failure(self, error: ResponseError, agent_number: int) -> float:
        """A request to this agent failed: change to the next one; returns the backoff, seconds.

        Guards against a watch and a query that fail together with their agent: counted twice,
        they would pass over the next agent, and with two agents come back to the one that failed.
        """
        text = str(error)
        if text != self._last_error:
            self._last_error = text
            name = source_name(self._datacentre)
            agent = self._agent(agent_number)
            self._logger.info("%s: agent %s: %s; the list stands", name, agent, text)
        if isinstance(error, TokenRefusedError):
            self._renew_token()
        self.agent_number = max(self.agent_number, agent_number + 1)
        backoff_s = min(BACKOFF_S * (1 << min(self._failures, MAX_DOUBLINGS)), MAX_BACKOFF_S)
        self._failures += 1
        return backoff_s

    def jittered(self, backoff_s: float) -> float:
        """A random time, of half the backoff at least."""
        return backoff_s * (0.5 + self._random.random() / 2)

    def _agent(self, agent_number: int) -> Address:
        return self._file.agents[agent_number % len(self._file.agents)]

    def _renew_token(self) -> None:
        try:
            self._credentials.renew_token()
        except ConsulError as err:
            self._logger.info("%s", err)
