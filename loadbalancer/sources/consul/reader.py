"""Reads one service from Consul within a share of lines a second.

For each datacentre two calls at most are out: a blocking one that costs no line and tells
that something changed, and one question of `loadbalancer.core.endpoints.shards`. Agents are tried
in turn; after a failure the next call waits, longer each time and with chance in it, so that
readers that lost one agent together do not come to the next one together.

Source: Consul HTTP API, "Blocking queries" (an index that goes back is reset to 0, one
below 1 is taken for 0), "Consistency modes" (stale, X-Consul-LastContact in milliseconds,
X-Consul-KnownLeader), "Filtering".
"""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Callable
from random import Random
from urllib.parse import quote

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.merged_list import Word
from loadbalancer.core.endpoints.shards import Question, Ration, Rounds, expression
from loadbalancer.sources.consul.file import ConsulError, ConsulFile, read_token, source_name
from loadbalancer.sources.consul.rows import Fields, RowError, rows
from loadbalancer.sources.http_get import HttpGet, Response, parse_decimal

WAIT_S = 55  # a blocking call's
CALL_S = 10.0  # for an answer, beyond the time it may block
WAKE_S = 1.0  # between two blocking calls that were answered, at least
ROUND_S = 30.0  # between whole rounds while nothing changes
BACKOFF_S = 0.5
BACKOFF_MOST_S = 15.0
FORBIDDEN = "status 403"
CONSISTENCY = {"stale": "&stale", "default": "", "consistent": "&consistent"}

Told = Callable[[str, list[Word], bool], object]  # source, its words, whether they are all


class Reader:
    """All datacentres of one file. `told` gets words as they come, and each whole round."""

    def __init__(
        self,
        file: ConsulFile,
        token: str,
        told: Told,
        log: Callable[[str], None],
        seed: int,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.file = file
        self.told = told
        self.log = log
        self.random = Random(seed)
        self.tls = tls
        self.headers = {"User-Agent": "wharfspread"}
        self._use(token)
        ration = Ration(file.share)
        self.centers = [_Center(self, dc, zone, ration) for dc, zone in file.datacentres.items()]

    def _use(self, token: str) -> None:
        if token:
            self.headers["X-Consul-Token"] = token

    def renew(self) -> None:
        """Read the token again: one that is refused may have been replaced in its file."""
        if self.file.token_file is not None:
            try:
                self._use(read_token(self.file.token_file))
            except ConsulError as err:
                self.log(str(err))

    def start(self) -> None:
        for center in self.centers:
            center.start()

    def close(self) -> None:
        for center in self.centers:
            center.close()

    def rounds(self) -> int:
        """Whole rounds that every datacentre has ended."""
        return min(center.rounds.rounds for center in self.centers)


class _Center:
    """One datacentre's watch and questions."""

    def __init__(self, reader: Reader, dc: str, zone: str, ration: Ration) -> None:
        self._reader = reader
        self._dc = dc
        self._zone = zone
        self.source = source_name(dc)
        file = reader.file
        self._fields = Fields(file.read == "catalog", file.shard_by, file.zone_meta)
        self._tags = "".join(f' and "{tag}" in {self._fields.tags}' for tag in file.tags)
        self.rounds = Rounds(ration, not self._fields.catalog)
        self._index = 0
        self.agent = 0
        self._failures = 0
        self._said = ""
        self._round: dict[str, Word] = {}  # the newest word on each server of this round
        self._calls: set[HttpGet] = set()
        self._timers: set[asyncio.TimerHandle] = set()
        self._pause: asyncio.TimerHandle | None = None
        self._blocked: tuple[HttpGet, int] | None = None  # the watch that is out, and its agent
        self._again = False  # something changed while a round was under way

    def start(self) -> None:
        # Readers start together: spread over a second.
        self._later(self._reader.random.random(), self._watch)
        self._later(self._reader.random.random(), self._ask)

    def close(self) -> None:
        for call in self._calls:
            call.drop()
        for timer in self._timers:
            timer.cancel()

    def _later(self, delay: float, what: Callable[[], None]) -> asyncio.TimerHandle:
        def run() -> None:
            self._timers.discard(timer)
            what()

        timer = asyncio.get_running_loop().call_later(delay, run)
        self._timers.add(timer)
        return timer

    def _get(
        self, query: str, wait: float, done: Callable[[Response | None, int], None]
    ) -> HttpGet:
        """Ask the present agent; `done` gets the answer and which agent it was."""
        file = self._reader.file
        tried = self.agent
        agent = file.agents[tried % len(file.agents)]
        path = f"{self._fields.path}{quote(file.service, safe='')}"
        mode = CONSISTENCY[file.consistency]
        target = f"{path}?dc={quote(self._dc, safe='')}{mode}{query}"

        def ended(answer: Response | None) -> None:
            self._calls.discard(call)
            done(answer, tried)

        call = HttpGet(agent, target, wait, ended, self._reader.headers, self._reader.tls)
        self._calls.add(call)
        return call

    # ---- failures ------------------------------------------------------

    def _wrong(self, answer: Response | None) -> str:
        """Why an answer can't be used, "" where it can."""
        if answer is None:
            return "no whole answer"
        if answer.status != 200:
            return f"status {answer.status}"
        if answer.headers.get("x-consul-knownleader", "true") != "true":
            return "its servers know no leader"
        said = answer.headers.get("x-consul-lastcontact", "0")
        contact = parse_decimal(said)
        if contact is None or contact > self._reader.file.fresh * 1000:
            return f"its word is {said[:20]} ms old"
        return ""

    def failed(self, why: str, tried: int, again: Callable[[], None]) -> None:
        """Try the next agent, later each time.

        The watch and the question fail together with their agent: counted twice they
        would pass over the next one, and of two come back to the one that is gone.
        """
        file = self._reader.file
        agent = file.agents[tried % len(file.agents)]
        if why != self._said:
            self._said = why
            self._reader.log(f"{self.source}: agent {agent}: {why}; the list stands")
        if why == FORBIDDEN:
            self._reader.renew()
        self.agent = max(self.agent, tried + 1)
        delay = min(BACKOFF_S * 2 ** min(self._failures, 10), BACKOFF_MOST_S)
        self._failures += 1
        blocked = self._blocked
        if blocked is not None and blocked[1] == tried:
            # An agent that hangs answers no question, and its watch would only be found
            # silent a minute later: it moves with the question that was not answered.
            self._blocked = None
            blocked[0].drop()
            self._calls.discard(blocked[0])
            self._later(delay * (0.5 + self._reader.random.random() / 2), self._watch)
        self._later(delay * (0.5 + self._reader.random.random() / 2), again)

    def _worked(self) -> None:
        if self._said:
            self._reader.log(f"{self.source}: answers again")
        self._said = ""
        self._failures = 0

    # ---- the watch -------------------------------------------------------

    def _watch(self) -> None:
        nothing = f'{self._fields.id} == ""'  # a filter that no server passes
        query = f"&filter={quote(nothing)}"
        wait = CALL_S
        if self._index:
            query += f"&index={self._index}&wait={WAIT_S}s"
            wait += WAIT_S * 17 / 16  # the agent adds up to a sixteenth
        tried = self.agent
        self._blocked = (self._get(query, wait, self._watched), tried)

    def _watched(self, answer: Response | None, tried: int) -> None:
        self._blocked = None
        why = self._wrong(answer)
        if why or answer is None:
            self.failed(why, tried, self._watch)
            return
        self._worked()
        index = parse_decimal(answer.headers.get("x-consul-index", "0")) or 0
        if index != self._index:
            # An index that went back is another catalogue's: all is asked anew.
            self._index = 0 if index < self._index else index
            self.rounds.woken()
            self._unrest()
        self._later(WAKE_S * (0.5 + self._reader.random.random()), self._watch)

    # ---- questions ---------------------------------------------------------

    def _unrest(self) -> None:
        """End the pause between rounds; in a round, do without the one that comes after it.

        Whoever came to a shard that this round has asked already would else be found a
        whole pause later.
        """
        self._again = self._pause is None
        if self._pause is not None:
            self._pause.cancel()
            self._timers.discard(self._pause)
            self._pause = None
            self._ask()

    def _ask(self) -> None:
        self._pause = None
        question, wait = self.rounds.next(time.monotonic_ns())
        if question is None:
            self._later(wait / SECOND, self._ask)
            return
        asked = f"({expression(question, self._fields.key)}){self._tags}"
        query = f"&filter={quote(asked, safe='')}"
        self._get(query, CALL_S, lambda *got: self._answered(question, *got))

    def _answered(self, question: Question, answer: Response | None, tried: int) -> None:
        now = time.monotonic_ns()
        why = self._wrong(answer)
        found: list[tuple[Word, str]] = []
        if not why and answer is not None:
            try:
                found = rows(answer.body, self._zone, self._fields)
            except RowError as err:
                why = str(err)
        if why:
            self.rounds.failed(now, question)
            self.failed(why, tried, self._ask)
            return
        self._worked()
        before = self.rounds.rounds
        surprises = self.rounds.surprises
        self.rounds.answered(now, question, [key for _, key in found])
        if self.rounds.surprises != surprises:
            self._reader.log(
                f"{self.source}: {len(found)} lines at once, {question.bound} reserved: "
                f"those whose {self._reader.file.shard_by} ends alike are read together"
            )
        words = [word for word, _ in found]
        if words:
            self._reader.told(self.source, words, False)
        self._round.update((w.uid, w) for w in words)
        if self.rounds.rounds != before:
            whole, self._round = self._round, {}
            self._reader.told(self.source, [*whole.values()], True)
            if not self._again:
                self._pause = self._later(ROUND_S, self._ask)
                return
            self._again = False
        self._ask()
