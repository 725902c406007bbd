"""The list read by a few nodes and handed on by all: one node's part in it.

A reader's news go down a tree over the living that begins at the reader, in pieces that each
node passes on as they come, so that nobody sends more than FAN copies. What is lost on the way
is asked for: of readers, and mostly of anyone. Sans-I/O like all of the fleet.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from random import Random
from typing import NamedTuple

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.list_readers import FIRST_STEP, Readers
from loadbalancer.core.endpoints.list_versions import (
    NOTHING,
    WHOLE,
    Copy,
    Packed,
    Piece,
    Pieces,
    Step,
    Version,
    cut,
    unpack,
)
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import Kind, Message, Outgoing, ReaderState
from loadbalancer.core.gossip.token_bucket import TokenBucket

PIECE_HEAD = 88  # bytes of a PIECE message beside its body, at the most (checked by a test)
FAN = 4  # children of a node in the tree
RATE = 250  # pieces a second that a node sends: one that reads takes FROM_ONE (`link.py`)
BURST = 64
MOST_QUEUED = 8192  # pieces that wait to go out; past it they are lost, and asked for
BUSY = 200  # pieces that wait to go out, from which on who asks is to ask another
PACKINGS = 10  # a second: each costs some ms, whoever asks from whatever version
LATER = 300 * MS  # the second reader's news, which the first one's mostly make needless
REPAIR = 200 * MS  # without a piece, until what is missing is asked for
ASK_AT_ONCE = 16  # pieces
OTHERS = 3  # who are asked as often as a reader is, each
TOLD_IN = 2 * SECOND  # for pieces to come to one who is to read and knows that others have
GIVE_UP = 5 * SECOND  # without a piece of a version that is named: nobody has it
SAY_EVERY = SECOND // 2  # that the list was read, however often it changes
KEEP_ASKING = 10 * SECOND  # for a reader's first answer, whoever else is to read by then
SIGN_EVERY = SECOND  # while the service has not answered yet
WAITING = 8  # steps that are whole and do not fit yet
DOUBTED = 2  # a step that takes away more than one row in so many ...
WITNESSES = 2  # ... counts once so many readers name its version, or by our own reading
REPORTED_STATES = {  # the words of `/peers`
    ReaderState.POLLING: "asking",
    ReaderState.READ: "read",
    ReaderState.FAILED: "failed",
}
DOUBT_STEP = FIRST_STEP  # one node after another reads for itself where they do not


class Taken(NamedTuple):
    """What the host is to go by: rows by id, None for one that has gone."""

    rev: int
    rows: Mapping[str, str | None]
    whole: bool  # whatever is not among them has gone as well


class SharedList:
    """See the module's docstring."""

    def __init__(
        self, members: Membership, nodes: int, count: int, datagram: int, seed: int, now: int
    ) -> None:
        self.copy = Copy()
        self.readers = Readers(members.me, nodes, count, now)
        self.caught_up = False  # this node has asked others what they know
        self.reads = False  # this node asks the service itself
        self.news: list[Taken] = []
        self.said = False  # this node's own record is new, and to be disseminated
        self.counts: Counter[str] = Counter()
        self._asked = now  # when it began to read
        self._unsaid = False  # that it has read
        self._lost = False  # a step did not lead from what is in hand to what it names
        self._members = members
        self._nodes = nodes
        self._random = Random(seed)
        self._room = datagram - PIECE_HEAD
        self._pieces = Pieces(self._room)
        self._waiting: list[Packed] = []
        self._queue: deque[Outgoing] = deque()
        self._pace = TokenBucket(RATE, BURST, now)
        self._packings = TokenBucket(PACKINGS, PACKINGS, now)
        self._push: tuple[int, Packed] | None = None  # own news, and when they go out
        self._progress = now
        self._behind = -1  # since when a later version is known of
        self._doubt = -1  # since when a step waits for a second reader

    # ---- the service's own answers --------------------------------------------

    def read(self, now: int, rev: int, rows: Mapping[str, str | None], whole: bool) -> None:
        """The list service has answered this node."""
        step = self.copy.read(rev, rows, whole)
        self._doubt, self._lost = -1, False
        if step is not None:
            self._pieces.drop_until(self.copy.version)
            self._push = now + LATER * self.readers.ahead(now), self.copy.packed(step)
            self._settle(now)
        own = self.readers.held.get(self._members.me)
        self._unsaid = True  # with the next turn, or where it was said just now a little later
        if own is None or own.record.state != ReaderState.READ:
            self._say(now, ReaderState.READ)

    def failed(self, now: int, older: bool) -> None:
        """A call of ours has failed, or said less than is known: that alone is no failure."""
        if self.reads:
            self._say(now, ReaderState.POLLING if older else ReaderState.FAILED)

    def _say(self, now: int, how: ReaderState) -> None:
        self._unsaid = False
        self.readers.say(now, self._members.incarnation, how, self.copy.version)
        self.said = True

    # ---- messages ------------------------------------------------------------------

    def receive(self, now: int, message: Message) -> list[Outgoing]:
        """A message has come from another node."""
        if message.kind == Kind.PIECE and len(message.digest) == len(Piece._fields):
            self._piece(now, message, Piece(*message.digest))
        elif message.kind == Kind.WANT and len(message.digest) >= 4:
            self._wanted(now, message)
        else:
            return []
        return self._flush(now)

    def _piece(self, now: int, message: Message, piece: Piece) -> None:
        if self._push is not None and piece.to >= self._push[1].to:
            self._push = None  # another's news are under way already
        if piece.to <= self.copy.version:
            self.counts["pieces of what is known"] += 1
            return
        got = self._pieces.take(now, piece, message.body)
        if got is False:
            self.counts["pieces twice or unsound"] += 1
            return
        self._progress = now
        if 0 <= piece.root < self._nodes:
            for child in self._children(piece.root):
                self._queue_piece(child, piece, message.body)
        if isinstance(got, Packed):
            self.copy.keep(got)
            self._waiting = [*self._waiting[1 - WAITING :], got]
            self._settle(now)

    def _settle(self, now: int) -> None:
        """Take over what fits, the latest first; it may make others fit, or needless."""
        going = True
        while going:
            fitting = [p for p in self._waiting if self.copy.fits(p)]
            latest = sorted(fitting, key=lambda p: p.to, reverse=True)
            going = any(self._take_over(now, packed) for packed in latest)
        self._waiting = [p for p in self._waiting if p.to > self.copy.version]
        self._pieces.drop_until(self.copy.version)

    def _take_over(self, now: int, packed: Packed) -> bool:
        """Whether a step is done with, one way or another; False for one that has to wait."""
        step = unpack(packed)
        if step is not None and self._doubted(now, step):
            return False
        self._waiting.remove(packed)
        if step is None:
            self.counts["steps that are none"] += 1
        else:
            self._apply(step)
        return True

    def _apply(self, step: Step) -> None:
        # What is in hand unread is not what the host has in each row: an upgrade inherits.
        whole = step.base == WHOLE or not self.copy.version.epoch
        changed = self.copy.apply(step)
        if changed is None:
            self.counts["steps that disagree"] += 1
            self._lost = True
            return
        self.counts["steps"] += 1
        self._doubt, self._lost = -1, False
        rows = self.copy.rows if whole else changed
        self.news.append(Taken(step.to.rev, dict(rows), whole))

    def _doubted(self, now: int, step: Step) -> bool:
        """Whether a step would take so much away that one node's statement is not enough for it."""
        if self.copy.loses(step) * DOUBTED <= len(self.copy.rows):
            return False
        if len(self.readers.named(step.to)) >= min(WITNESSES, self._nodes - 1):
            return False
        if self._doubt < 0:
            self._doubt = now
            self.counts["steps that one reader alone names"] += 1
        return True

    def _wanted(self, now: int, message: Message) -> None:
        """Another lacks something: what we have of it, as far as the pace allows."""
        theirs, check, numbers = Version(*message.digest[:3]), message.digest[3], message.digest[4:]
        if len(self._queue) > BUSY:
            self.counts["asked while busy"] += 1
            return
        packed = self.copy.known(check) if check else None
        if packed is None:
            # Whoever has a part of it helps: at 30% loss nobody but its reader has all at first.
            found = [p for n in numbers if (p := self._pieces.part(check, n)) is not None]
            for piece, body in found[:ASK_AT_ONCE]:
                self._queue_piece(message.origin, piece._replace(root=-1), body)
            unread = not self.copy.version.epoch
            if found or unread or theirs >= self.copy.version or not self._packings.take(now):
                return
            packed, numbers = self.copy.since(theirs), ()
        count = cut(packed, self._room)
        start = self._random.randrange(count)
        rows = [n for n in numbers if 0 <= n < count][:ASK_AT_ONCE]
        for n in rows or [(start + i) % count for i in range(count)]:
            self._queue_part(message.origin, packed, n, count, -1)

    # ---- sending ------------------------------------------------------------------

    def _children(self, root: int) -> list[int]:
        """Whom this node passes on to in that reader's tree; the dead one's children are ours."""
        found: list[int] = []
        ahead = [(self._members.me - root) % self._nodes]
        while ahead and len(found) < FAN * FAN:
            place = ahead.pop()
            for p in range(FAN * place + 1, min(FAN * place + FAN + 1, self._nodes)):
                node = (root + p) % self._nodes
                if self._members.is_alive(node):
                    found.append(node)
                else:
                    ahead.append(p)
        return found

    def _queue_part(self, to: int, packed: Packed, n: int, count: int, root: int) -> None:
        body = packed.data[n * self._room : (n + 1) * self._room]
        piece = Piece(*packed.to, packed.base, count, n, packed.check, root)
        self._queue_piece(to, piece, body)

    def _queue_piece(self, to: int, piece: Piece, body: bytes) -> None:
        if len(self._queue) < MOST_QUEUED:
            m = self._members
            message = Message(Kind.PIECE, m.me, m.incarnation, digest=tuple(piece), body=body)
            self._queue.append(Outgoing(to, message))

    def _flush(self, now: int) -> list[Outgoing]:
        out = []
        while self._queue and self._pace.take(now):
            out.append(self._queue.popleft())
        self.counts["pieces sent"] += len(out)
        return out

    # ---- time -----------------------------------------------------------------------

    @property
    def busy(self) -> bool:
        """Whether something waits for the pace alone."""
        return bool(self._queue)

    def turn(self, now: int) -> list[Outgoing]:
        """What is to be said now, and whether this node reads by now."""
        self.readers.expire(now)
        self._settle(now)  # a second reader may have named what waits
        missing = self._repair(now)
        self._choose(now)
        if self._push is not None and now >= self._push[0]:
            packed, self._push = self._push[1], None
            count, children = cut(packed, self._room), self._children(self._members.me)
            for n in range(count):
                for child in children:
                    self._queue_part(child, packed, n, count, self._members.me)
        return missing + self._flush(now)

    def _choose(self, now: int) -> None:
        """Whether this node reads from here on, and its own record of that."""
        m, readers = self._members, self.readers
        own = readers.held.get(m.me)
        said = now if own is None else now - own.written_at  # so long ago
        asking = own is not None and own.record.state == ReaderState.POLLING
        chosen = readers.chosen(now, m.is_alive, self.reads)
        # A call that has begun is worth its answer: its lines are spent already.
        begun = self.reads and asking and now - self._asked < KEEP_ASKING
        told = not self.reads and self._may_be_told(now)
        reads = (chosen and not told) or begun or m.hears_nobody(now) or self._in_doubt(now)
        if reads and not self.reads:
            self._asked = now
            self._say(now, ReaderState.POLLING)
        elif reads and asking and said >= SIGN_EVERY:
            self._say(now, ReaderState.POLLING)
        elif self._unsaid and said >= SAY_EVERY:
            self._say(now, ReaderState.READ)
        self.reads = reads

    def _may_be_told(self, now: int) -> bool:
        """Whether others may have the list for one who has just come back: they go first."""
        if not self.caught_up:
            return True
        return self._behind >= 0 and now - self._behind < TOLD_IN

    def _in_doubt(self, now: int) -> bool:
        """Whether it is this node's turn to ask the service itself, as one reader is not enough."""
        if self._doubt < 0:
            return False
        wait = GIVE_UP + len(self.readers.before(self._members.is_alive)) * DOUBT_STEP
        return now - self._doubt > wait

    def _repair(self, now: int) -> list[Outgoing]:
        """Ask for what is known of and does not come."""
        best = self.readers.best()
        m = self._members
        if best <= self.copy.version or self._doubt >= 0:
            self._behind = -1
            return []
        if self._behind < 0:
            self._behind = now
        waited = now - max(self._behind, self._progress)
        if waited > GIVE_UP:
            self.counts["versions that nobody has"] += 1
            self.readers.distrust(now, best)
            self._behind = -1
        if not REPAIR <= waited <= GIVE_UP or not self._pace.take(now):
            return []
        version = NOTHING if self._lost else self.copy.version
        have: tuple[int, ...] = (*version, 0)
        held = self._pieces.latest()
        if held is not None and held.first.to >= best:
            missing = held.missing()
            few = self._random.sample(missing, min(len(missing), ASK_AT_ONCE))
            have = (*version, held.first.check, *few)
        # Mostly of anyone: readers are few, and all who lack something would ask them.
        candidates = [*m.sample(OTHERS), self._random.choice(self.readers.named(best))]
        self.counts["asked for what is missing"] += 1
        message = Message(Kind.WANT, m.me, m.incarnation, digest=have)
        return [Outgoing(self._random.choice(candidates), message)]

    def report(self, now: int) -> dict[str, object]:
        """For people: the version in hand, and each reader's record with its age in ms."""
        rows = [
            [r.node, REPORTED_STATES[ReaderState(r.state)], r.epoch, r.rev, r.age // MS]
            for r in sorted(self.readers.all(now))
        ]
        return {
            "epoch": self.copy.version.epoch, "rev": self.copy.version.rev, "reads": self.reads,
            "rows": len(self.copy.rows), "readers": rows, "counts": dict(self.counts),
        }  # fmt: skip

    def alone(self, now: int) -> None:
        """No messages go out or come in: this node reads once nobody can be expected to."""
        self.reads = self._members.hears_nobody(now)
