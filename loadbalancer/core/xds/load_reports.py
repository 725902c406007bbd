"""What other proxies' load reports tell of a server; pure, no clock, no I/O.

A report is a sum over some seconds, not single outcomes: no latency is in it and no
order of errors. What it keeps is told to the Balancer by `on_reported`:

- how slow a server is against the others, by Little's law (L = lambda W): what is in
  flight at the time of a report over what was finished in it. Few are in flight at any
  one time, so all proxies' figures are added up and drawn towards 1 while they are few;
- whether it fails most of what it gets while the others do not.

No one proxy's word is enough where there are others: of all sums that leave one
proxy out the mildest counts. So a proxy that reports nonsense, or whose own network
is broken, moves nothing. Could do harm where only one proxy can reach a server that
fails: the others' silence then keeps it in; that proxy's own outlier rule is left.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import reduce
from statistics import median_low

from loadbalancer.core.balancing.model import SECOND

FADE = 0.5  # of earlier reports, with each new one of the same proxy
KEPT = 5  # report times after which a silent proxy's figures are dropped
LATE = 2  # report times unaccounted for that make the next report one of unknown age
SLACK = 0.1  # part by which a proxy's clock may run fast
PRIOR = 5.0  # requests in flight, as if seen at usual speed
ALONE = (0.5, 2.0)  # the bounds of a ratio that one proxy alone tells
LEAST = 20.0  # finished requests that judge whether a server fails
FAILING = 0.5  # part of a server's answers
BROKEN = 0.25  # part of all answers; above it the fault is not one server's
MAX_RATE = 1_000_000  # requests a second of one server at one proxy
MAX_IN_FLIGHT = 100_000
MAX_ROWS = 10_000
MAX_PROXIES = 4_000


@dataclass(frozen=True, slots=True)
class Row:
    """One server in one report: requests finished well and badly, and in flight at its end."""

    backend: int
    ok: int
    errors: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class Verdict:
    """`ratio`: time taken against all servers' mean, 1.0 for usual."""

    backend: int
    ratio: float
    failing: bool


Sums = tuple[float, float, float]  # finished, errors, in flight


class _Proxy:
    __slots__ = ("claimed", "counted", "heard", "opened", "refused", "rows", "stream")

    def __init__(self, now: int, stream: int) -> None:
        self.stream = stream
        self.opened = now
        self.claimed = 0  # time that its reports since then say they cover
        self.heard = now
        self.rows: dict[int, Sums] = {}
        self.counted = 0
        self.refused = 0


class Ledger:
    """Reports of all proxies of one pool. Times in nanoseconds."""

    __slots__ = ("_news", "_proxies", "_streams", "every")

    def __init__(self, every: int) -> None:
        self.every = every  # how often a proxy is to report
        self._proxies: dict[str, _Proxy] = {}
        self._streams = 0
        self._news = False

    def opened(self, now: int, proxy: str) -> int:
        """A stream of this proxy; the newest of an id is the one that counts.

        A second stream of the same id, be it a twin or an old connection that has not
        ended yet, would count the same requests twice.
        """
        self._streams += 1
        known = self._proxies.get(proxy)
        fresh = _Proxy(now, self._streams)
        if known is not None:
            fresh.rows, fresh.counted, fresh.refused = known.rows, known.counted, known.refused
        elif len(self._proxies) >= MAX_PROXIES:
            return 0
        self._proxies[proxy] = fresh
        return self._streams

    def take(self, now: int, proxy: str, stream: int, interval: int, rows: Sequence[Row]) -> str:
        """Count a report; else why not, with nothing changed."""
        known = self._proxies.get(proxy)
        why = "another stream of this id reports"
        if known is not None and known.stream == stream:
            why = self._wrong(now, known, interval, rows)
        if known is None:
            return why
        if why:
            known.refused += 1
            return why
        self._news = True
        known.counted += 1
        known.claimed += interval
        known.heard = now
        faded = {b: (f * FADE, e * FADE, q * FADE) for b, (f, e, q) in known.rows.items()}
        for r in rows:
            f, e, q = faded.get(r.backend, (0.0, 0.0, 0.0))
            faded[r.backend] = (f + r.ok + r.errors, e + r.errors, q + r.in_flight)
        known.rows = {b: s for b, s in faded.items() if s[0] + s[2] > 0.01}
        return ""

    def _wrong(self, now: int, known: _Proxy, interval: int, rows: Sequence[Row]) -> str:
        if interval <= 0:
            return "covers no time"
        since = now - known.opened
        if known.claimed + interval > since * (1.0 + SLACK) + self.every * SLACK:
            return "covers more time than has passed: told twice, or by a wrong clock"
        unaccounted = now - known.heard - interval
        if unaccounted > LATE * self.every:
            known.heard = now  # the next one is of known age again
            known.claimed = 0
            known.opened = now
            return "late: of unknown age"
        if len(rows) > MAX_ROWS:
            return f"has over {MAX_ROWS} servers"
        most = MAX_RATE * interval / SECOND
        for r in rows:
            if min(r.ok, r.errors, r.in_flight) < 0:
                return "a count below 0"
            if r.ok + r.errors > most or r.in_flight > MAX_IN_FLIGHT:
                return f"more than {MAX_RATE} a second or {MAX_IN_FLIGHT} in flight at one server"
        return ""

    def news(self) -> bool:
        """Whether a report was counted since this was asked last.

        Learned again from the same reports, a server that failed once would be left
        alone again and again for as long as its figures are kept.
        """
        news, self._news = self._news, False
        return news

    def counts(self, proxy: str) -> tuple[int, int]:
        """How many of a proxy's reports were counted, and how many not."""
        known = self._proxies.get(proxy)
        return (0, 0) if known is None else (known.counted, known.refused)

    def forget(self, now: int, backends: Iterable[int]) -> None:
        """Drop silent proxies and servers that are not listed any more."""
        listed = frozenset(backends)
        oldest = now - KEPT * self.every
        self._proxies = {p: s for p, s in self._proxies.items() if s.heard >= oldest}
        for s in self._proxies.values():
            if not s.rows.keys() <= listed:
                s.rows = {b: sums for b, sums in s.rows.items() if b in listed}

    def verdicts(self) -> list[Verdict]:
        """What all reports together say, for each server that any of them names."""
        told = [s.rows for s in self._proxies.values() if s.rows]
        all_of: dict[int, Sums] = {}
        for rows in told:
            for backend, sums in rows.items():
                all_of[backend] = _plus(all_of.get(backend, (0.0, 0.0, 0.0)), sums)
        totals = [reduce(_plus, rows.values()) for rows in told]
        finished = [t for t in totals if t[0] > 0]
        if not finished:
            return []
        # What is usual: the middle proxy's word, the lower of two. One that exaggerates
        # would otherwise set the measure for all servers.
        mean = median_low(t[2] / t[0] for t in finished)
        broken = median_low(t[1] / t[0] for t in finished) > BROKEN
        by_backend: dict[int, list[Sums]] = {}
        for rows in told:
            for backend, sums in rows.items():
                by_backend.setdefault(backend, []).append(sums)
        return [
            _verdict(backend, all_of[backend], by_backend[backend], len(told), mean, broken)
            for backend in sorted(all_of)
        ]


def _plus(a: Sums, b: Sums) -> Sums:
    return (a[0] + b[0], a[1] + b[1], a[2] + b[2])


def _verdict(
    backend: int, total: Sums, parts: Sequence[Sums], proxies: int, mean: float, broken: bool
) -> Verdict:
    """The mildest of what is left when any one proxy is left out."""
    if proxies == 1:
        low, high = ALONE
        ratio = min(max(_ratio(total, mean), low), high)
        return Verdict(backend, ratio, _fails(total) and not broken)
    rest = [(total[0] - p[0], total[1] - p[1], total[2] - p[2]) for p in parts]
    ratio = min((_ratio(r, mean) for r in rest), key=lambda x: max(x, 1.0 / max(x, 1e-9)))
    return Verdict(backend, ratio, all(_fails(r) for r in rest) and not broken)


def _ratio(s: Sums, mean: float) -> float:
    return (max(s[2], 0.0) + PRIOR) / (max(s[0], 0.0) * mean + PRIOR)


def _fails(s: Sums) -> bool:
    return s[0] >= LEAST and s[1] >= FAILING * s[0]
