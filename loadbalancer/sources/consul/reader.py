"""Reads one service from Consul, in all datacentres of a file, within a rate of lines."""

from __future__ import annotations

import logging
from random import Random

from loadbalancer.core.endpoints.line_limiter import LineLimiter
from loadbalancer.sources.consul.credentials import Credentials, open_credentials
from loadbalancer.sources.consul.datacentre_reader import DatacentreReader, OnReports
from loadbalancer.sources.consul.file import ConsulFile
from loadbalancer.sources.discovery import SourceLogger

logger = logging.getLogger(__name__)


class ConsulReader:
    """The readers of all datacentres of a file.

    Args:
        file: says what is read, and from which agents.
        credentials: of the requests.
        on_reports: called with the reports of each answer, and of each complete round.
        seed: is to differ between readers.
        list_logger: where log lines go, for a caller that marks its own; None for this module's.
    """

    __slots__ = ("datacentres",)

    def __init__(
        self,
        file: ConsulFile,
        credentials: Credentials,
        on_reports: OnReports,
        seed: int,
        list_logger: SourceLogger | None = None,
    ) -> None:
        random = Random(seed)
        limiter = LineLimiter(file.lines_per_second)
        self.datacentres = [
            DatacentreReader(
                file, datacentre, limiter, credentials, on_reports, random, list_logger or logger
            )
            for datacentre in file.zones_by_datacentre
        ]

    def start(self) -> None:
        """Begin to read."""
        for datacentre in self.datacentres:
            datacentre.start()

    def close(self) -> None:
        """Drop all requests and timers."""
        for datacentre in self.datacentres:
            datacentre.close()

    def completed_rounds(self) -> int:
        """Complete rounds that every datacentre has ended."""
        return min(datacentre.completed_rounds for datacentre in self.datacentres)


def open_reader(
    file: ConsulFile, on_reports: OnReports, seed: int, list_logger: SourceLogger | None = None
) -> ConsulReader:
    """A reader with the token and certificates that the file names.

    Raises:
        ConsulError: they can't be used.
    """
    return ConsulReader(file, open_credentials(file), on_reports, seed, list_logger)
