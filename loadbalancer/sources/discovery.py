"""Discovery: the list of backends, whole or watched for changes."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from hashlib import blake2b
from random import Random
from typing import TYPE_CHECKING, Any

from loadbalancer.config.address import Address, parse_address
from loadbalancer.config.node import Config
from loadbalancer.core import Listing, Settings, State, Update
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.poll_backoff import PollBackoff, PollFailure, classify_failure
from loadbalancer.core.endpoints.poll_timing import poll_timings
from loadbalancer.core.endpoints.revisions import OlderAnswerFilter
from loadbalancer.core.errors import ProtocolError
from loadbalancer.sources.http_get import Answer, Call, Probe

if TYPE_CHECKING:
    from loadbalancer.proxy.ports import ListReaders
    from loadbalancer.upgrade.handed_state import Inheritance

LIST = "/registry/instances"
STATES = {"active": State.READY, "leaving": State.DRAINING, "left": State.GONE}


class ListError(ProtocolError, ValueError):
    """A list that can't be used."""


def backend_id(uid: str) -> int:
    """A number for a uid, the same at every node: the deal of slots sorts by it."""
    return int.from_bytes(blake2b(uid.encode(), digest_size=8).digest(), "big")


class Roster:
    """The list in hand: its version, the endpoints, and what tells a restart."""

    __slots__ = ("_boots", "_kinds", "_zones", "endpoints", "rev")

    def __init__(self, config: Config) -> None:
        self._zones = {name: i for i, name in enumerate(config.zones)}
        self._kinds = {name: i for i, name in enumerate(config.kinds)}
        # boot_ms is wall clock: each value is converted once. Converted again with
        # every list it would differ by some nanoseconds and look like a restart.
        self._boots: dict[int, tuple[int, int]] = {}
        self.endpoints: dict[int, Address] = {}
        self.rev = 0

    def read(self, raw: Any) -> tuple[Update, list[Listing], dict[int, Address]]:
        """Check an answer and convert it; nothing in hand changes yet."""
        try:
            rev, whole, targets = raw["rev"], raw["all"], raw["targets"]
            if type(rev) is not int or not isinstance(whole, bool) or type(targets) is not list:
                raise ListError("rev, all or targets is of the wrong type")
            rows: list[Listing] = []
            endpoints: dict[int, Address] = {}
            seen: dict[str, Any] = {}
            for target in targets:
                uid = target["uid"]
                if not isinstance(uid, str) or not uid:
                    raise ListError(f"{uid!r} is no uid")
                if seen.setdefault(uid, target) != target:
                    raise ListError(f"{uid} stands twice, with different words")
                backend = backend_id(uid)
                state = STATES[target["state"]]
                if state != State.GONE:
                    endpoints[backend] = parse_address(target["endpoint"])
                rows.append(
                    Listing(
                        backend,
                        state,
                        self._zones.get(target.get("az"), 0),
                        int(target.get("pod_group") or 0),
                        self._kinds.get(target.get("model"), 0),
                        self._boot(backend, int(target.get("boot_ms") or 0)),
                        float(target.get("capacity_hint") or 1.0),
                    )
                )
        except (KeyError, TypeError, ValueError, OverflowError) as err:
            raise ListError(f"{type(err).__name__}: {err}") from None
        return Update.FULL if whole else Update.DELTA, rows, endpoints

    def _boot(self, backend: int, boot_ms: int) -> int:
        if boot_ms <= 0:
            return 0
        known = self._boots.get(backend)
        if known is not None and known[0] == boot_ms:
            return known[1]
        age = max(time.time_ns() - boot_ms * 1_000_000, 0)
        boot = (time.monotonic_ns() - age) or 1
        self._boots[backend] = (boot_ms, boot)
        return boot

    def boot_ms(self, backend: int) -> int:
        """What discovery last gave as this backend's start, 0 where it gave none."""
        return self._boots.get(backend, (0, 0))[0]

    def inherit(self, left: Inheritance) -> list[Listing]:
        """A predecessor's list in place of whatever is in hand."""
        self.endpoints = {m.listing.backend: m.address for m in left.members}
        self._boots = {
            m.listing.backend: (m.boot_ms, m.listing.boot) for m in left.members if m.boot_ms > 0
        }
        self.rev = left.rev
        return [m.listing for m in left.members]

    def apply(
        self, rev: int, update: Update, rows: list[Listing], endpoints: dict[int, Address]
    ) -> list[int]:
        """Take a list over; returns the backends whose connections are of no more use."""
        stale = []
        for row in rows:
            old = self.endpoints.get(row.backend)
            new = endpoints.get(row.backend)
            if old is not None and (old != new or row.state != State.READY):
                stale.append(row.backend)
            if new is None:
                self.endpoints.pop(row.backend, None)
                self._boots.pop(row.backend, None)
            else:
                self.endpoints[row.backend] = new
        if update == Update.FULL:
            for backend in [b for b in self.endpoints if b not in endpoints]:
                stale.append(backend)
                del self.endpoints[backend]
                self._boots.pop(backend, None)
        self.rev = rev
        return stale


class Discovery:
    """Carries out watch; `told` gets each update and what it made stale.

    One call is out at a time, and its answer alone may be used: whatever takes its place
    (another address, another process that watches, the end) drops it first. How long each
    may take, and why, stands in loadbalancer/core/endpoints/poll_timing.py; what failures in a row
    change in that, in loadbalancer/core/endpoints/poll_backoff.py.
    """

    old_after = 30_000_000_000  # ns without a word: a watch is answered within seconds

    __slots__ = ("_address", "_anew", "_asked_at", "_call", "_backoff", "_older_answers", "_limit",
                 "_not_before", "_probe", "_readers", "_resting", "_retry", "_timings", "_told",
                 "_waits", "_word", "log", "pass_on", "roster")  # fmt: skip

    def __init__(
        self,
        config: Config,
        told: Callable[[Update, list[Listing], list[int]], None],
        log: Callable[[str], None],
    ) -> None:
        self._address = config.discovery
        self._told = told
        self._timings = poll_timings(config.settings)
        self._older_answers = OlderAnswerFilter()
        # What is in hand may be another service's, or have a gap: no changes, but the whole
        # list is asked for, until one has been taken.
        self._anew = False
        self._call: Call | None = None
        self._backoff = PollBackoff(config.settings, Random(config.seed))
        self._asked_at = self._limit = 0  # of the call that is out, in ns
        self._not_before = 0  # monotonic ns: the next call after a failure
        self._retry: asyncio.TimerHandle | None = None  # until then
        self._probe: Probe | asyncio.TimerHandle | None = None  # beside a call that waits long
        self._waits = False  # the call that is out is a watch, not a question with no wait
        self._resting = False  # another process of this node watches for both
        self._word: asyncio.TimerHandle | None = None  # until that one has to be heard
        self.log = log
        self.pass_on: Callable[[bytes], None] | None = None  # each answer that was used
        self._readers: ListReaders | None = None
        self.roster = Roster(config)

    @property
    def readers(self) -> ListReaders | None:
        """Set where a few nodes read the list for all."""
        return self._readers

    @readers.setter
    def readers(self, readers: ListReaders) -> None:
        self._readers = readers
        self._backoff.share()

    def known(self, raw: Any) -> list[Listing]:
        """The list from the configuration; ListError where it is malformed."""
        try:
            update, rows, endpoints = self.roster.read(raw)
        except ListError as err:
            raise ListError(f"known: {err}") from None
        self.roster.apply(raw["rev"], update, rows, endpoints)
        return rows

    def watch(self) -> None:
        """Ask what has changed since the version in hand, then wait for more until a call fails.

        After failures in a row the first call begins only when the caller's pause is over.
        """
        if self._call is not None or self._retry is not None:
            return
        if self._resting or not self._may_ask():
            return
        pause = self._not_before - time.monotonic_ns()
        if pause > 0:
            loop = asyncio.get_running_loop()
            self._retry = loop.call_later(pause / SECOND, self._pause_over)
            return
        if self.readers is not None and self.readers.unread():
            self._trust()
        self._ask(0)

    def _pause_over(self) -> None:
        self._retry = None
        self._not_before = 0
        self.watch()

    def move(self, address: Address, settings: Settings) -> None:
        """Ask at another address from now on, first for the whole list, then for changes.

        Guards against a watch that goes on at an address about to close, and
        against a new service that counts its versions from anew: whatever whole
        list comes first is taken. Would do harm if that list were older than
        ours, for as long as the next change takes to come.
        """
        self._timings = poll_timings(settings)
        self._backoff.configure(settings)
        if address == self._address:
            return
        self.log(f"discovery is at {address} now")
        self._address = address
        self._drop_call()
        self._backoff.reset()
        self._not_before = 0
        self._trust()
        if not self._resting and self._may_ask():
            self._ask(0)

    def close(self) -> None:
        self._drop_call()
        self._hear_by(0)

    def rest(self) -> None:
        """Ask nothing while another process of this node watches for both, and is heard."""
        self._resting = True
        self._drop_call()
        self._hear_by(self._timings.hold + self._timings.hold_margin)

    def go_on(self) -> None:
        """That process has gone, or fallen silent: watch again, from the version in hand."""
        self._hear_by(0)
        self._resting = False
        self.watch()

    def hear(self, body: bytes) -> None:
        """An answer that another process of this node was given."""
        if self._resting:
            self._hear_by(self._timings.hold + self._timings.hold_margin)
        self._take(body, False)

    def passed(self, raw: dict[str, Any]) -> None:
        """The list as another node has read it; ListError where it can't be used."""
        update, rows, endpoints = self.roster.read(raw)
        self._older_answers = OlderAnswerFilter()
        stale = self.roster.apply(raw["rev"], update, rows, endpoints)
        if self.pass_on is not None:
            self.pass_on(json.dumps(raw).encode())
        self._told(update, rows, stale)

    def _may_ask(self) -> bool:
        return self.readers is None or self.readers.may_poll()

    def inherit(self, left: Inheritance) -> list[Listing]:
        """The list as the process before this one had it."""
        return self.roster.inherit(left)

    def _trust(self) -> None:
        """What is in hand may be another service's: the next whole list is right."""
        self._anew = True
        self._older_answers.accept_next()

    def _hear_by(self, span: int) -> None:
        """Watch again unless the other process is heard within this span; 0 for no limit."""
        if self._word is not None:
            self._word.cancel()
            self._word = None
        if span:
            self._word = asyncio.get_running_loop().call_later(span / SECOND, self._unheard)

    def _unheard(self) -> None:
        self.log("the other process passes no list on: asking again")
        self.go_on()

    def _drop_call(self) -> None:
        call, self._call = self._call, None
        if call is not None:
            call.drop()
        self._drop_probe()
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def _drop_probe(self) -> None:
        probe, self._probe = self._probe, None
        if isinstance(probe, Probe):
            probe.drop()
        elif probe is not None:
            probe.cancel()

    def _ask(self, wait: int) -> None:
        """Ask for what has changed, waiting for it so many ns, or for the whole list."""
        assert self._call is None
        timings = self._timings
        self._waits = wait > 0 and not self._anew
        target = LIST
        if not self._anew:
            target += f"?from={self.roster.rev}&hold_ms={max(wait // MS, 1)}"
        limit = (
            wait + timings.hold_margin
            if self._waits
            else self._backoff.answer_timeout(self._rows())
        )
        self._asked_at, self._limit = time.monotonic_ns(), limit
        self._call = Call(
            self._address,
            target,
            limit / SECOND,
            self._answered,
            connect=timings.connect_timeout / SECOND,
        )
        if not self._waits and limit > timings.answer_timeout:
            self._probe_in(timings.answer_timeout)

    def _rows(self) -> int:
        return len(self.roster.endpoints)

    def _probe_in(self, span: int) -> None:
        loop = asyncio.get_running_loop()
        self._probe = loop.call_later(span / SECOND, self._send_probe)

    def _send_probe(self) -> None:
        """A service that no connection reaches any more will not answer the call that is out."""
        self._probe = Probe(self._address, self._timings.connect_timeout / SECOND, self._probed)

    def _probed(self, reached: bool) -> None:
        if reached:
            self._probe_in(self._backoff.probe_interval())
            return
        self.log("discovery is out of reach: the call that waits for it is given up")
        self._drop_call()
        self._fail(PollFailure.UNREACHABLE)

    def _fail(self, failure: PollFailure) -> None:
        """Count a failed call; the host asks to watch again."""
        now = time.monotonic_ns()
        took = now - self._asked_at
        self._not_before = now + self._backoff.on_failure(failure, took, self._rows())
        self._told(Update.FAILED, [], [])

    def _answered(self, answer: Answer | None) -> None:
        call, self._call = self._call, None
        self._drop_probe()
        took = time.monotonic_ns() - self._asked_at
        if answer is None and self._waits:
            # The watch fell silent or broke: what it may have missed is asked for at once.
            # Only where that fails too is the service given a pause.
            self.log("the watch of the list ended without an answer: asking what it missed")
            self._ask(0)
            return
        body = answer.body if answer is not None and answer.status == 200 else None
        if self._take(body):
            if not self._waits:
                self._backoff.on_answer(took)
            # At once: after 200 ms discovery would count it as a new watch, and
            # what changed in between as told late. Whoever was told may have ended this.
            if self._call is None and not self._resting and self._may_ask():
                self._ask(self._timings.hold)
        else:
            connected = call is not None and call.connected
            in_queue = 0 if self._waits else took  # a watch waits for news
            self._fail(classify_failure(in_queue, self._limit, connected, body is not None))

    def _take(self, body: bytes | None, own: bool = True) -> bool:
        """Pass on an answer, to us or not; False where it failed and the list in hand stays."""
        roster, raw = self.roster, None
        try:
            raw = None if body is None else json.loads(body)
            if raw is None:
                raise ListError("the call failed")
            update, rows, endpoints = roster.read(raw)
            rev, whole = raw["rev"], update == Update.FULL
            if self._anew and not whole:
                raise ListError("it has changes alone where the whole list is needed")
            if not self._older_answers.accepts(rev, whole, roster.rev):
                self._anew = True  # changes of another count would never fit ours
                raise ListError(f"version {rev} is older than {roster.rev}")
        except (ListError, ValueError, RecursionError) as err:
            if body is not None:
                self.log(f"discovery answer not used: {err}")
            if self.readers is not None and own:
                self.readers.failed(raw is not None and self._older_answers.older > 0)
            return False
        self._anew = False
        stale = roster.apply(rev, update, rows, endpoints)
        if self.pass_on is not None and body is not None:
            self.pass_on(body)
        if self.readers is not None and own:
            self.readers.read(raw)
        self._told(update, rows, stale)
        return True
