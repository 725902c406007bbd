"""Discovery: the list of backends, fetched whole or watched for changes."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

from flinthatch import Listing, State, Update
from flinthatch.membership.revisions import Lag
from windrelay.config import Address, Config, parse_address
from windrelay.httpcall import Answer, Call

if TYPE_CHECKING:
    from windrelay.ports import ListReaders
    from windrelay.upgrade.state import Inheritance

LIST = "/registry/instances"
HOLD_MS = 20_000  # how long a watch may wait for news
CALL_S = 4.0  # for a call's answer, beyond the time it may wait
STATES = {"active": State.READY, "leaving": State.DRAINING, "left": State.GONE}


class ListError(ValueError):
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
            if not isinstance(rev, int) or not isinstance(whole, bool):
                raise ListError("rev or all is of the wrong type")
            rows: list[Listing] = []
            endpoints: dict[int, Address] = {}
            for target in targets:
                backend = backend_id(str(target["uid"]))
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
    """Carries out watch and fetch; `told` gets each update and what it made stale."""

    old_after = 30_000_000_000  # ns without a word: a watch answers within HOLD_MS

    __slots__ = ("_address", "_calls", "_lag", "_resting", "_told", "_watching", "log", "pass_on",
                 "readers", "roster")  # fmt: skip

    def __init__(
        self,
        config: Config,
        told: Callable[[Update, list[Listing], list[int]], None],
        log: Callable[[str], None],
    ) -> None:
        self._address = config.discovery
        self._told = told
        self._lag = Lag()
        self._watching = False
        self._resting = False  # another process of this node watches for both
        self._calls: set[Call] = set()
        self.log = log
        self.pass_on: Callable[[bytes], None] | None = None  # each answer that was used
        self.readers: ListReaders | None = None  # where one node reads for others
        self.roster = Roster(config)

    def known(self, raw: Any) -> list[Listing]:
        """The list from the configuration."""
        update, rows, endpoints = self.roster.read(raw)
        self.roster.apply(raw["rev"], update, rows, endpoints)
        return rows

    def watch(self) -> None:
        """Ask for changes from the version in hand on; goes on until a call fails."""
        if self._watching or self._resting or not self._may_ask():
            return
        self._watching = True
        if self.readers is not None and self.readers.unread():
            self._from_anew()
        else:
            self._next_watch()

    def fetch(self) -> None:
        if self._may_ask():
            self._call(LIST, CALL_S, self._fetched)

    def move(self, address: Address) -> None:
        """Ask at another address from now on, first for the whole list, then for changes.

        Guards against a watch that goes on at an address about to close, and
        against a new service that counts its versions from anew: whatever whole
        list comes first is taken. Would do harm if that list were older than
        ours, for as long as the next change takes to come.
        """
        if address == self._address:
            return
        self.log(f"discovery is at {address} now")
        self._address = address
        self._drop_calls()
        self._lag.trust()
        if self._resting or not self._may_ask():
            return
        self._watching = True
        self._from_anew()

    def close(self) -> None:
        self._watching = False
        self._drop_calls()

    def rest(self) -> None:
        """Ask nothing while another process of this node watches for both."""
        self._resting = True
        self.close()

    def go_on(self) -> None:
        """That process has gone: watch again, from the version in hand."""
        self._resting = False
        self.watch()

    def hear(self, body: bytes) -> None:
        """An answer that another process of this node was given."""
        self._take(body)

    def passed(self, raw: dict[str, Any]) -> None:
        """The list as another node has read it; ListError where it can't be used."""
        update, rows, endpoints = self.roster.read(raw)
        self._lag = Lag()
        stale = self.roster.apply(raw["rev"], update, rows, endpoints)
        if self.pass_on is not None:
            self.pass_on(json.dumps(raw).encode())
        self._told(update, rows, stale)

    def _may_ask(self) -> bool:
        return self.readers is None or self.readers.may_ask()

    def inherit(self, left: Inheritance) -> list[Listing]:
        """The list as the process before this one had it."""
        return self.roster.inherit(left)

    def _drop_calls(self) -> None:
        for call in self._calls:
            call.drop()
        self._calls.clear()

    def _call(self, target: str, wait: float, done: Callable[[bytes | None], None]) -> None:
        def ended(answer: Answer | None) -> None:
            self._calls.discard(call)
            done(answer.body if answer is not None and answer.status == 200 else None)

        call = Call(self._address, target, wait, ended)
        self._calls.add(call)

    def _next_watch(self) -> None:
        target = f"{LIST}?from={self.roster.rev}&hold_ms={self._hold_ms()}"
        self._call(target, self._hold_ms() / 1000 + CALL_S, self._watched)

    def _from_anew(self) -> None:
        """The whole list first, whatever its version: what is in hand may be another's."""
        self._lag.trust()
        self._call(LIST, self._hold_ms() / 1000 + CALL_S, self._watched)

    def _hold_ms(self) -> int:
        return HOLD_MS if self.readers is None else self.readers.hold_ms

    def _watched(self, body: bytes | None) -> None:
        if not self._watching:
            return
        if self._take(body):
            # At once: after 200 ms discovery would count it as a new watch, and
            # what changed in between as told late.
            self._next_watch()
        else:
            self._watching = False

    def _fetched(self, body: bytes | None) -> None:
        self._take(body)

    def _take(self, body: bytes | None, own: bool = True) -> bool:
        """Pass on an answer, to us or not; False where it failed and the list in hand stays."""
        roster, raw = self.roster, None
        try:
            raw = None if body is None else json.loads(body)
            if raw is None:
                raise ListError("the call failed")
            update, rows, endpoints = roster.read(raw)
            rev = raw["rev"]
            if not self._lag.takes(rev, update == Update.FULL, roster.rev):
                raise ListError(f"version {rev} is older than {roster.rev}")
        except (ListError, ValueError, RecursionError) as err:
            if body is not None:
                self.log(f"discovery answer not used: {err}")
            if self.readers is not None and own:
                self.readers.failed(raw is not None and self._lag.older > 0)
            self._told(Update.FAILED, [], [])
            return False
        stale = roster.apply(rev, update, rows, endpoints)
        if self.pass_on is not None and body is not None:
            self.pass_on(body)
        if self.readers is not None and own:
            self.readers.read(raw)
        self._told(update, rows, stale)
        return True
