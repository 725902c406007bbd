"""What a control service hands out: immutable pictures, and what each proxy holds of them.

A picture is one whole configuration, shared by all proxies that get it. A
`Session` is one proxy's stream: fed its requests and newer pictures, it says what
to send next. Free of I/O, clock and protobuf; bodies are opaque bytes.

Source: the xDS protocol, v3 (state of the world and incremental), "eventual
consistency considerations": clusters before their endpoints, both before the
listeners and routes that name them, removals last. Consistency does not rest on
remembering which step a change has come to, but on comparing, at every event,
what the proxy has acknowledged with what it is to have: so a cut, a refusal or a
newer picture in the middle of another needs no case of its own.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from hashlib import blake2b

from loadbalancer.core.errors import ProtocolError, StateError

MAX_NAMES = 10_000  # names one stream may subscribe to, of one kind
MAX_NAME = 512  # bytes
MAX_TOLD = 2000  # bytes of names in a version
MAX_PASSED = 16  # unanswered versions of one name; beyond, what is held is unknown
MAX_HISTORY = 256  # sets of one kind, over all proxies that a history serves


_PLAIN = re.compile(r"[A-Za-z0-9._-]+")


class Kind(IntEnum):
    """Resource types in the order in which a change is made."""

    CLUSTER = 0
    ENDPOINTS = 1
    LISTENER = 2
    ROUTES = 3


# Kinds whose whole set a state-of-the-world answer tells: what it lacks is gone.
WHOLE = frozenset((Kind.CLUSTER, Kind.LISTENER))


class SubscriptionError(ProtocolError, ValueError):
    """A request beyond the bounds; the stream is to be ended with this text."""


@dataclass(frozen=True, slots=True)
class Resource:
    """One named resource, serialised once. `names` are those it depends on.

    A route's are clusters, a cluster's its endpoints, a listener's its routes.
    """

    name: str
    version: str
    body: bytes = field(compare=False)
    names: frozenset[str] = field(compare=False, default=frozenset())


def resource(name: str, body: bytes, names: Iterable[str] = ()) -> Resource:
    """A resource whose version follows from its content alone: a restart changes none."""
    version = blake2b(body, digest_size=8).hexdigest()
    return Resource(name, version, body, frozenset(names))


class PictureError(StateError, ValueError):
    """A picture that names what it does not hold."""


@dataclass(frozen=True, slots=True)
class Picture:
    """All resources by kind and name; consistent by construction."""

    resources: tuple[Mapping[str, Resource], ...]  # by Kind

    def of(self, kind: Kind) -> Mapping[str, Resource]:
        return self.resources[kind]


EMPTY = Picture(({}, {}, {}, {}))


def picture(resources: Mapping[Kind, Iterable[Resource]]) -> Picture:
    """A picture; PictureError names the resource that names what is missing."""
    rows = tuple({r.name: r for r in resources.get(kind, ())} for kind in Kind)
    needs = ((Kind.ROUTES, Kind.CLUSTER), (Kind.CLUSTER, Kind.ENDPOINTS),
             (Kind.LISTENER, Kind.ROUTES))  # fmt: skip
    for kind, needed in needs:
        for r in rows[kind].values():
            for name in r.names:
                if name not in rows[needed]:
                    missing = f"{needed.name.lower()} {name!r}"
                    raise PictureError(f"{kind.name.lower()} {r.name!r} names {missing}")
    return Picture(rows)


@dataclass(frozen=True, slots=True)
class Request:
    """A proxy's request, of either variant.

    State of the world: `names` is all that is asked for, `version` the last one
    accepted. Incremental: `names` are added, `gone` taken back, `held` (first
    request of a kind only) the versions that the proxy has from before.
    """

    kind: Kind
    names: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    nonce: str = ""
    error: str = ""
    version: str = ""
    held: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Reply:
    """One message to a proxy. `removed` is used by the incremental variant alone."""

    kind: Kind
    version: str
    nonce: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Refusal:
    """What a proxy refused, in its own words."""

    kind: Kind
    versions: Mapping[str, str]
    words: str


Held = dict[str, Resource | None]  # None: known not to be there


class Standing(IntEnum):
    """How one resource stands at one proxy."""

    ABSENT = 0  # asked for and not there
    SENT = 1  # on its way, or waiting for what it depends on
    ACCEPTED = 2
    REFUSED = 3


@dataclass(frozen=True, slots=True)
class Status:
    """One resource at one proxy: the version in question, and the proxy's words if refused."""

    kind: Kind
    name: str
    version: str
    standing: Standing
    words: str = ""


class _Subscription:
    """One kind on one stream."""

    __slots__ = (
        "asked", "doubted", "first", "held", "nonce", "passed", "refused", "sent", "wildcard",
    )  # fmt: skip

    def __init__(self, held: Mapping[str, str]) -> None:
        self.asked: set[str] = set()
        self.wildcard = False
        # What the proxy has acknowledged, on this stream or before it.
        self.held: Held = {name: Resource(name, version, b"") for name, version in held.items()}
        self.sent: Held | None = None  # under way: what is held once it is acknowledged
        self.nonce = ""
        self.passed: dict[str, set[str]] = {}  # versions sent and overtaken, never answered
        self.refused: dict[str, str] = {}  # versions that are not sent again
        self.doubted: set[str] = set()  # in a refused message with others: sent one by one
        self.first = True  # nothing answered yet

    def keeps(self, name: str) -> bool:
        """Whether the proxy has it and no message on its way takes it back."""
        held = self.held.get(name) is not None
        return held and (self.sent is None or self.sent.get(name) is not None)


def type_version(kind: Kind, held: Mapping[str, Resource | None]) -> str:
    """One version for a set of resources, as the state-of-the-world variant wants it.

    That of clusters tells their names as well: a proxy hands them to whichever control
    service it comes back to, also one that knows nothing of what was sent before.
    """
    digest = blake2b(digest_size=8)
    names = sorted(n for n, r in held.items() if r is not None)
    for name in names:
        r = held[name]
        if r is not None:
            digest.update(f"{name}={r.version};".encode())
    told = ",".join(names)
    if kind is Kind.CLUSTER and len(told) <= MAX_TOLD and all(map(_PLAIN.fullmatch, names)):
        return f"{digest.hexdigest()}:{told}"
    return digest.hexdigest()


def told_names(version: str) -> list[str]:
    """The names that a version of clusters tells; none where it was not made here."""
    digest, colon, told = version.partition(":")
    names = told.split(",")
    if len(digest) != 16 or not colon or len(told) > MAX_TOLD:
        return []
    return names if all(map(_PLAIN.fullmatch, names)) else []


class History:
    """What was sent under each version, newest last, for proxies that come back.

    In the state-of-the-world variant a proxy tells one version for all it holds of a
    kind. Only with the set behind it can its clusters be kept until the routes that
    name them have been replaced. Bounded; a version that has fallen out, or was sent
    before a restart, is unknown, and such a proxy is brought up to date at once.
    """

    __slots__ = ("_sets",)

    def __init__(self) -> None:
        self._sets: dict[tuple[Kind, str], Held] = {}

    def add(self, kind: Kind, version: str, held: Held) -> None:
        self._sets.pop((kind, version), None)
        self._sets[kind, version] = held
        if len(self._sets) > MAX_HISTORY:
            del self._sets[next(iter(self._sets))]

    def get(self, kind: Kind, version: str) -> Held:
        return dict(self._sets.get((kind, version), {}))


class Session:
    """One stream of one proxy: at most one message of a kind is under way."""

    __slots__ = (
        "_count",
        "_history",
        "_incremental",
        "_known",
        "_picture",
        "_resumed",
        "_stub",
        "_subs",
        "refusals",
    )

    def __init__(
        self,
        incremental: bool,
        now: Picture | None = None,
        history: History | None = None,
        stub: Callable[[str], Resource] | None = None,
    ) -> None:
        # Makes a cluster of which only the name is known, to stand until no old routes
        # name it: what it was before is not known to a service that has been restarted.
        self._stub = stub
        # None: nothing is known yet. An empty picture would take away what the proxy has.
        self._known = now is not None
        self._incremental = incremental
        self._history = history or History()
        self._resumed = False  # it held clusters before, and has not told of its routes yet
        self._picture = now or EMPTY
        self._subs: dict[Kind, _Subscription] = {}
        self._count = 0
        self.refusals: dict[Kind, Refusal] = {}

    # ---- events --------------------------------------------------------

    def update(self, newer: Picture) -> list[Reply]:
        """A newer picture replaces whatever was still to be sent of an older one."""
        self._picture = newer
        self._known = True
        return self._due()

    def request(self, r: Request) -> list[Reply]:
        """A proxy's request; SubscriptionError where it is beyond the bounds."""
        sub = self._subs.get(r.kind)
        new = sub is None
        if sub is None:
            if len(r.held) > MAX_NAMES:
                raise SubscriptionError(f"more than {MAX_NAMES} names of one type")
            sub = self._subs[r.kind] = _Subscription(r.held if self._incremental else {})
            if not self._incremental and r.version:
                sub.held = self._before(r)
            sub.first = not sub.held
            if r.kind is Kind.CLUSTER and sub.held:
                self._resumed = Kind.ROUTES not in self._subs
            elif r.kind is Kind.ROUTES:
                self._resumed = False
        if r.nonce and r.nonce == sub.nonce:
            self._settle(r, sub)
        elif r.nonce and not new and not self._incremental:
            return []  # of an older answer: it will ask again with the newest one's nonce
        self._subscribe(r, sub, new)
        if new and not self._incremental and r.kind in WHOLE and r.version:
            wanted = self._wanted(r.kind, sub)
            if r.version == type_version(r.kind, wanted):
                sub.held, sub.first = wanted, False  # it has all this, as told before a restart
        return self._due()

    def forget_past(self) -> list[Reply]:
        """It has had its time to tell of routes from before: it has none."""
        self._resumed = False
        return self._due()

    def press(self) -> list[Reply]:
        """Send the newest endpoints without waiting for the answer to those under way.

        For a drain that must not wait behind a proxy's silence. What was under way may
        hold or not: what the proxy had of these names counts as unknown and is sent
        whole. Endpoints alone: nothing depends on which of two sets of them it holds.
        """
        sub = self._subs.get(Kind.ENDPOINTS)
        if sub is None or sub.sent is None:
            return []
        for name, r in sub.sent.items():
            old = sub.held.get(name)
            passed = {x.version for x in (old, r) if x is not None}
            passed |= sub.passed.get(name, set())
            sub.passed[name] = passed if len(passed) <= MAX_PASSED else {""}
            if old is not None and r != old:
                sub.held[name] = Resource(name, "", b"")
        sub.sent = None
        return self._due()

    def settled(self) -> bool:
        """Whether nothing is under way and nothing is left to send."""
        return not any(sub.sent is not None for sub in self._subs.values()) and not self._due()

    def holds(self, kind: Kind) -> dict[str, str]:
        """The acknowledged versions by name."""
        sub = self._subs.get(kind)
        return {} if sub is None else {n: r.version for n, r in sub.held.items() if r is not None}

    def may_hold(self, kind: Kind) -> dict[str, set[str]]:
        """All versions by name that the proxy may be acting on, "" for one not known."""
        sub = self._subs.get(kind)
        if sub is None:
            return {}
        out = {name: set(versions) for name, versions in sub.passed.items()}
        for rows in (sub.held, sub.sent or {}):
            for name, r in rows.items():
                if r is not None:
                    out.setdefault(name, set()).add(r.version)
        return out

    def status(self) -> list[Status]:
        """Every resource that concerns this proxy, by kind and name."""
        out = []
        for kind, sub in sorted(self._subs.items()):
            rows = self._picture.of(kind)
            for name in sorted({*sub.asked, *sub.held, *(rows if sub.wildcard else ())}):
                out.append(self._status(kind, sub, name, rows.get(name)))
        return out

    def _status(self, kind: Kind, sub: _Subscription, name: str, r: Resource | None) -> Status:
        held = sub.held.get(name)
        if r is None:
            standing = Standing.ABSENT if held is None else Standing.SENT
            return Status(kind, name, held.version if held is not None else "", standing)
        if held == r:
            return Status(kind, name, r.version, Standing.ACCEPTED)
        refusal = self.refusals.get(kind)
        if refusal is not None and sub.refused.get(name) == r.version:
            return Status(kind, name, r.version, Standing.REFUSED, refusal.words)
        return Status(kind, name, r.version, Standing.SENT)

    def _before(self, r: Request) -> Held:
        """What a proxy that comes back holds, by the one version it tells.

        Of routes and endpoints it may have dropped some and asked for them again since
        then: they are sent anew. Routes count as old ones until then, endpoints as none.
        """
        if r.kind in WHOLE:
            known = self._history.get(r.kind, r.version)
            if not known and r.kind is Kind.CLUSTER and self._stub is not None:
                known = {name: self._stub(name) for name in told_names(r.version)}
            return known
        if r.kind is Kind.ROUTES:
            return {name: Resource(name, "", b"") for name in r.names}
        return {}

    def _settle(self, r: Request, sub: _Subscription) -> None:
        """The answer to the message under way."""
        sent, sub.sent = sub.sent, None
        if sent is None:
            return
        fresh = {n: v for n, v in sent.items() if v is not None and v != sub.held.get(n)}
        if not r.error:
            sub.held = sent
            sub.passed.clear()
            for name in fresh:
                sub.refused.pop(name, None)
                sub.doubted.discard(name)
            if not sub.refused:
                self.refusals.pop(r.kind, None)
            return
        versions = {n: v.version for n, v in fresh.items()}
        self.refusals[r.kind] = Refusal(r.kind, versions, r.error)
        if self._divides(r.kind) and len(fresh) > 1:
            # Which of them it was is told nowhere: sent singly, only the bad one is left out.
            sub.doubted.update(fresh)
        else:
            # Sent again it would be refused again: not before it changes.
            sub.refused.update(versions)

    def _subscribe(self, r: Request, sub: _Subscription, new: bool) -> None:
        if any(len(name) > MAX_NAME for name in r.names):
            raise SubscriptionError(f"a name has over {MAX_NAME} bytes")
        names = set(r.names)
        if new and not names or "*" in names:
            sub.wildcard = r.kind in WHOLE
        elif (self._incremental and "*" in r.gone) or (not self._incremental and names):
            sub.wildcard = False
        names.discard("*")
        if self._incremental:
            sub.asked |= names
            sub.asked.difference_update(r.gone)
        else:
            sub.asked = names
        if len(sub.asked) > MAX_NAMES:
            raise SubscriptionError(f"more than {MAX_NAMES} names of one type")
        if not sub.wildcard:
            # What is asked for no more the proxy forgets, also what is on its way:
            # asked for again it has to be sent again.
            sub.held = {n: v for n, v in sub.held.items() if n in sub.asked}
            if sub.sent is not None:
                sub.sent = {n: v for n, v in sub.sent.items() if n in sub.asked}

    # ---- what is to be sent --------------------------------------------

    def _divides(self, kind: Kind) -> bool:
        """Whether a message may hold some resources and say nothing of the others."""
        return self._incremental or kind not in WHOLE

    def _due(self) -> list[Reply]:
        out = []
        for kind in Kind if self._known else ():
            sub = self._subs.get(kind)
            if sub is not None and sub.sent is None:
                reply = self._next(kind, sub)
                if reply is not None:
                    out.append(reply)
        return out

    def _wanted(self, kind: Kind, sub: _Subscription) -> Held:
        """What the proxy is to hold of this kind next."""
        rows = self._picture.of(kind)
        wanted: Held = {}
        for name in rows.keys() | sub.asked if sub.wildcard else sub.asked:
            r = rows.get(name)
            if kind is Kind.ROUTES and r is not None and not self._ready(r):
                r = sub.held.get(name)
                if r is None:
                    continue
            elif r is None and kind not in WHOLE and not self._done():
                # Not withdrawn under a cluster that still stands.
                r = sub.held.get(name)
            wanted[name] = r
        if kind is Kind.CLUSTER and not self._routed():
            for name, r in sub.held.items():
                if r is not None and wanted.get(name) is None:
                    wanted[name] = r  # old routes may name it still: removals come last
        return wanted

    def _ready(self, routes: Resource) -> bool:
        """Whether the proxy holds all clusters that these routes name, and their endpoints.

        Only asked of one that gets every cluster: one that subscribes to clusters by
        name learns these names from the routes, and holds old routes until it has them.
        """
        clusters = self._subs.get(Kind.CLUSTER)
        if clusters is None or not clusters.wildcard:
            return True
        endpoints = self._subs.get(Kind.ENDPOINTS)
        for name in routes.names:
            if not clusters.keeps(name):
                return False
            for served in self._picture.of(Kind.CLUSTER)[name].names:
                if endpoints is None or not endpoints.keeps(served):
                    return False
        return True

    def _routed(self) -> bool:
        """Whether no routes of an older picture are held or on their way any more."""
        sub = self._subs.get(Kind.ROUTES)
        if sub is None:
            return not self._resumed
        rows = self._picture.of(Kind.ROUTES)
        return sub.sent is None and all(r is None or rows.get(n) == r for n, r in sub.held.items())

    def _done(self) -> bool:
        """Whether the proxy holds no cluster any more that the picture lacks."""
        sub = self._subs.get(Kind.CLUSTER)
        if sub is None:
            return True
        rows = self._picture.of(Kind.CLUSTER)
        held = (sub.held, sub.sent or {})
        return all(r is None or n in rows for h in held for n, r in h.items())

    def _next(self, kind: Kind, sub: _Subscription) -> Reply | None:
        wanted = self._wanted(kind, sub)
        if not self._divides(kind):
            return self._whole(kind, sub, wanted)
        changed = {
            n: r
            for n, r in wanted.items()
            if r is not None and r != sub.held.get(n) and sub.refused.get(n) != r.version
        }
        lost = [n for n, r in sub.held.items() if r is not None and wanted.get(n) is None]
        if not self._incremental:
            # Silence about a name is no removal: it is told nowhere.
            sub.held = {n: r for n, r in sub.held.items() if n not in lost}
        sure = {n: r for n, r in changed.items() if n not in sub.doubted}
        if not sure and changed:
            name = min(changed)
            sure = {name: changed[name]}
        removed: list[str] = []
        if self._incremental:
            absent = [n for n, r in wanted.items() if r is None and n not in sub.held]
            removed = sorted({*lost, *absent})
        if not sure and not removed and not (sub.first and self._incremental and sub.wildcard):
            return None
        after: Held = {n: r for n, r in sub.held.items() if n not in removed}
        after |= {n: None for n in removed if n in sub.asked}
        after |= sure
        return self._message(kind, sub, after, sure.values(), tuple(removed))

    def _whole(self, kind: Kind, sub: _Subscription, wanted: Held) -> Reply | None:
        """A message that tells the whole set: what it lacks is gone."""
        rows = {n: r for n, r in wanted.items() if r is not None}
        held = {n: r for n, r in sub.held.items() if r is not None}
        if rows == held and not sub.first:
            return None
        fresh = {n: r for n, r in rows.items() if r != held.get(n)}
        if fresh and all(sub.refused.get(n) == r.version for n, r in fresh.items()):
            return None
        return self._message(kind, sub, wanted, rows.values(), ())

    def _message(
        self,
        kind: Kind,
        sub: _Subscription,
        after: Held,
        resources: Iterable[Resource],
        removed: tuple[str, ...],
    ) -> Reply:
        self._count += 1
        sub.nonce = str(self._count)
        sub.sent = after
        sub.first = False
        rows = tuple(sorted(resources, key=lambda r: r.name))
        version = type_version(kind, after)
        if not self._incremental and kind in WHOLE:
            self._history.add(kind, version, after)
        return Reply(kind, version, sub.nonce, rows, removed)
