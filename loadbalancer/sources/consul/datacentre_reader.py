"""Reads one datacentre's servers of a service from Consul.

At most two requests are out: a watch (a blocking query), which returns no line and ends when
something has changed, and one query of `loadbalancer.core.endpoints.shard_scheduler`.

Source: Consul HTTP API, "Blocking queries" (an index that goes back is reset to 0, one below 1
counts as 0), "Filtering".
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from random import Random
from urllib.parse import quote

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.line_limiter import LineLimiter
from loadbalancer.core.endpoints.server_report import ServerReport
from loadbalancer.core.endpoints.shard_scheduler import Delay, ShardQuery, ShardScheduler
from loadbalancer.sources.consul.agent_client import AgentClient, AgentRequest
from loadbalancer.sources.consul.agent_response import ResponseError, check_response, index_of
from loadbalancer.sources.consul.credentials import Credentials
from loadbalancer.sources.consul.file import ConsulFile, source_name
from loadbalancer.sources.consul.filter_expression import filter_expression
from loadbalancer.sources.consul.rows import DecodedRow, RowFormat, decode_rows
from loadbalancer.sources.discovery import SourceLogger
from loadbalancer.sources.http_get import Response

WATCH_S = 55  # for which the agent holds a watch
WATCH_JITTER = 17 / 16  # the agent adds up to a sixteenth
REQUEST_TIMEOUT_S = 10.0  # for a response, beyond the time for which the agent may hold it
MIN_WATCH_INTERVAL_S = 1.0  # between two watches that were answered
ROUND_INTERVAL_S = 30.0  # between complete rounds while nothing changes

# Gets the source's name, reports, and whether they are all of its servers.
OnReports = Callable[[str, list[ServerReport], bool], object]


class DatacentreReader:
    """One datacentre's watch and queries.

    Args:
        file: says what is read, and from which agents.
        datacentre: its name in Consul.
        limiter: of the lines, shared by all datacentres.
        credentials: of the requests.
        on_reports: called with the reports of each answer, and of each complete round.
        random: shared by all datacentres.
        logger: where log lines go.
    """

    __slots__ = (
        "_changed_in_round", "_client", "_file", "_index", "_logger", "_on_reports", "_pause",
        "_random", "_round_reports", "_row_format", "_scheduler", "_source", "_tags_filter",
        "_timers", "_watch", "_zone",
    )  # fmt: skip

    def __init__(
        self,
        file: ConsulFile,
        datacentre: str,
        limiter: LineLimiter,
        credentials: Credentials,
        on_reports: OnReports,
        random: Random,
        logger: SourceLogger,
    ) -> None:
        self._file = file
        self._zone = file.zones_by_datacentre[datacentre]
        self._source = source_name(datacentre)
        self._on_reports = on_reports
        self._random = random
        self._logger = logger
        self._row_format = RowFormat(file.api, file.shard_by, file.zone_meta, file.cell_meta)
        tags_selector = self._row_format.tags_selector
        self._tags_filter = "".join(f' and "{tag}" in {tags_selector}' for tag in file.tags)
        self._client = AgentClient(file, datacentre, self._row_format, credentials, random, logger)
        self._scheduler = ShardScheduler(limiter, not self._row_format.is_catalog)
        self._index = 0  # of the last watch; 0 for none
        self._watch: AgentRequest | None = None  # the watch that is out
        self._round_reports: dict[str, ServerReport] = {}  # the newest of this round, by id
        self._changed_in_round = False
        self._pause: asyncio.TimerHandle | None = None  # between two rounds
        self._timers: set[asyncio.TimerHandle] = set()

    @property
    def completed_rounds(self) -> int:
        """Complete rounds that have ended."""
        return self._scheduler.completed_rounds

    @property
    def overruns(self) -> int:
        """Answers with more lines than were reserved for them."""
        return self._scheduler.overruns

    def start(self) -> None:
        """Begin to watch and to query, spread over a second: all readers may start together."""
        self._call_later(self._random.random(), self._send_watch)
        self._call_later(self._random.random(), self._send_query)

    def close(self) -> None:
        """Drop all requests and timers."""
        self._client.close()
        for timer in self._timers:
            timer.cancel()

    def _call_later(self, delay_s: float, action: Callable[[], None]) -> asyncio.TimerHandle:
        def run() -> None:
            self._timers.discard(timer)
            action()

        timer = asyncio.get_running_loop().call_later(delay_s, run)
        self._timers.add(timer)
        return timer

    def _on_failure(
        self, error: ResponseError, agent_number: int, send_again: Callable[[], None]
    ) -> None:
        """Send the request again later, to the next agent.

        Guards against an agent that accepts connections and answers nothing: a watch at it would
        be found unresponsive only after WATCH_S, and changes would be seen late. So the watch
        moves with the query that was not answered.
        """
        backoff_s = self._client.on_failure(error, agent_number)
        watch = self._watch
        if watch is not None and watch.agent_number == agent_number:
            self._watch = None
            self._client.drop(watch)
            self._call_later(self._client.jittered(backoff_s), self._send_watch)
        self._call_later(self._client.jittered(backoff_s), send_again)

    # ---- the watch -------------------------------------------------------

    def _send_watch(self) -> None:
        no_server = f'{self._row_format.id_selector} == ""'  # a filter that no server passes
        parameters = f"&filter={quote(no_server)}"
        timeout_s = REQUEST_TIMEOUT_S
        if self._index:
            parameters += f"&index={self._index}&wait={WATCH_S}s"
            timeout_s += WATCH_S * WATCH_JITTER
        self._watch = self._client.get(parameters, timeout_s, self._on_watch_response)

    def _on_watch_response(self, response: Response | None, agent_number: int) -> None:
        self._watch = None
        try:
            index = index_of(check_response(response, self._file.max_age_s))
        except ResponseError as err:
            self._on_failure(err, agent_number, self._send_watch)
            return
        self._client.on_success()
        if index != self._index:
            # An index that went back is another catalogue's: everything is queried again.
            self._index = 0 if index < self._index else index
            self._scheduler.on_change()
            self._query_soon()
        delay_s = MIN_WATCH_INTERVAL_S * (0.5 + self._random.random())
        self._call_later(delay_s, self._send_watch)

    # ---- queries ---------------------------------------------------------

    def _query_soon(self) -> None:
        """End the pause between rounds; within a round, omit the pause that follows it.

        Guards against a server that is added to a shard which this round has queried already:
        it would be found only after the pause.
        """
        self._changed_in_round = self._pause is None
        if self._pause is not None:
            self._pause.cancel()
            self._timers.discard(self._pause)
            self._pause = None
            self._send_query()

    def _send_query(self) -> None:
        self._pause = None
        query = self._scheduler.next_query(time.monotonic_ns())
        if isinstance(query, Delay):
            self._call_later(query.ns / SECOND, self._send_query)
            return
        of_shard = filter_expression(query, self._row_format.key_selector)
        parameters = f"&filter={quote(f'({of_shard}){self._tags_filter}', safe='')}"
        self._client.get(
            parameters, REQUEST_TIMEOUT_S, lambda *result: self._on_query_response(query, *result)
        )

    def _on_query_response(
        self, query: ShardQuery, response: Response | None, agent_number: int
    ) -> None:
        now = time.monotonic_ns()
        try:
            body = check_response(response, self._file.max_age_s).body
            rows = decode_rows(body, self._zone, self._row_format)
        except ResponseError as err:
            self._scheduler.on_failure(now, query)
            self._on_failure(err, agent_number, self._send_query)
            return
        self._client.on_success()
        has_completed_round = self._note_answer(now, query, rows)
        reports = [row.report for row in rows]
        if reports:
            self._report(reports, complete=False)
        self._round_reports.update((report.uid, report) for report in reports)
        if has_completed_round:
            self._complete_round()
        else:
            self._send_query()

    def _note_answer(self, now: int, query: ShardQuery, rows: Sequence[DecodedRow]) -> bool:
        """Pass an answer to the scheduler; whether it completes a round."""
        scheduler = self._scheduler
        completed, overruns = scheduler.completed_rounds, scheduler.overruns
        scheduler.on_answer(now, query, [row.key for row in rows])
        if scheduler.overruns != overruns:
            self._logger.info(
                "%s: %d lines at once, %d reserved: those whose %s ends alike are read together",
                self._source, len(rows), query.max_lines, self._file.shard_by,
            )  # fmt: skip
        return scheduler.completed_rounds != completed

    def _report(self, reports: list[ServerReport], *, complete: bool) -> None:
        """Report servers; a fault of the receiver is logged, and reading goes on."""
        try:
            self._on_reports(self._source, reports, complete)
        except Exception:
            # Failure: the receiver raises, and no further query is sent: the datacentre's servers
            # stay as they are. It gets the missed reports with the next complete round.
            self._logger.exception("%s: its reports were not taken over", self._source)

    def _complete_round(self) -> None:
        """Report all servers of the round, and pause before the next one."""
        reports, self._round_reports = self._round_reports, {}
        self._report([*reports.values()], complete=True)
        if self._changed_in_round:
            self._changed_in_round = False
            self._send_query()
        else:
            self._pause = self._call_later(ROUND_INTERVAL_S, self._send_query)
