"""Which nodes read the list for all, from the readers' own words and silence.

Any node can work out the order: by rendezvous over the living, those who were turned away of
late behind all others. The first `count` read. The others step in, group after group, where no
reader has given a sign: a view that is wrong costs a call more and never leaves the fleet
without a reader. What may be called at all after failures is paced for the fleet as a whole.
"""

from __future__ import annotations

from collections.abc import Callable
from zlib import crc32

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.list_versions import NOTHING, Version, version_of
from loadbalancer.core.gossip.messages import ReaderRecord, ReaderState, record_checksum
from loadbalancer.core.gossip.records import MERGE_RULES, StoredRecord, join

FAILED_FOR = 5 * SECOND  # who was turned away stands behind the others
PAUSE = 250 * MS  # after a failure, for the fleet; doubled with each node that has failed
PAUSE_MOST = 4 * SECOND
FIRST_STEP = 2 * SECOND  # without a sign while nobody has read yet, until the next group asks
STALE = 12 * SECOND  # the same once the list has been read: six watches of a reader
ABSENT = 60 * SECOND  # who gave no sign when it was to read is passed over
DISTRUST = 60 * SECOND  # of who names versions that nobody has


def rank(node: int) -> int:
    """Rendezvous of the one list: the lower, the sooner a node reads it."""
    return crc32(b"list %d" % node)


class Readers:
    """What is known of all readers, this node's own word among it."""

    def __init__(self, me: int, nodes: int, count: int, now: int) -> None:
        self.me = me
        self.count = count
        order = sorted(range(nodes), key=rank)
        self._order, self._ahead = order, order[: order.index(me)]
        self.held: dict[int, StoredRecord[ReaderRecord]] = {}  # each born when the service said so
        self._began = now
        self._number = 0
        self._distrusted: dict[int, int] = {}
        self._absent: dict[int, int] = {}  # whose turn it was and who gave no sign

    # ---- words ---------------------------------------------------------------

    def say(self, now: int, incarnation: int, how: ReaderState, version: Version) -> None:
        """This node's own word on how its reading stands."""
        self._number += 1
        word = ReaderRecord(self.me, incarnation, self._number, how, *version, 0)
        self.held[self.me] = StoredRecord(word, now)

    def merge(self, now: int, reading: ReaderRecord) -> bool:
        """Take in another's word: its writer's later one wins, and only its writer's."""
        if reading.node == self.me or reading.age >= MERGE_RULES[ReaderRecord].ttl_ns:
            return False
        self.held[reading.node], news = join(self.held.get(reading.node), now, reading)
        if news:
            self._absent.pop(reading.node, None)
        return news

    def get(self, now: int, node: int) -> ReaderRecord | None:
        """A word with its age as of now."""
        held = self.held.get(node)
        return None if held is None else held.with_age(now)

    def all(self, now: int) -> list[ReaderRecord]:
        return [held.with_age(now) for held in self.held.values()]

    def digest(self) -> int:
        total = 0
        for reading, _ in self.held.values():
            total ^= record_checksum(reading)
        return total

    def expire(self, now: int) -> None:
        """Forget what is too old to tell anything."""
        counts = MERGE_RULES[ReaderRecord].ttl_ns
        self.held = {n: h for n, h in self.held.items() if now - h.written_at < counts}
        self._distrusted = {n: u for n, u in self._distrusted.items() if now < u}
        self._absent = {n: u for n, u in self._absent.items() if now < u}

    # ---- what it comes to ----------------------------------------------------

    def chosen(self, now: int, living: Callable[[int], bool], reads: bool) -> bool:
        """Whether this node is to read by now; `reads`: it does already.

        Steps in for those whose turn it is and who gave no sign, and passes them over from then.
        """
        failed = {
            n: born
            for n, (word, born) in self.held.items()
            if word.state == ReaderState.FAILED and now - born < FAILED_FOR
        }
        if failed and not reads:
            pause = min(PAUSE << min(len(failed) - 1, 8), PAUSE_MOST)
            if now - max(failed.values()) < pause:
                return False
        if self.me in failed:
            return self._last_resort(failed, living)
        silence, step = self._silence(now), self._step()
        ahead = self.before(lambda n: n not in failed and n not in self._absent and living(n))
        group = len(ahead) // self.count
        if group and silence > group * step:
            # They live and do not read: of an earlier program, or their words don't reach us.
            # Left in the order, those who step in would hear one another and both leave.
            self._absent |= dict.fromkeys(ahead, now + ABSENT)
            return True
        return group == 0

    def before(self, counts: Callable[[int], bool]) -> list[int]:
        """Of those that count the ones that come before this node."""
        return [n for n in self._ahead if counts(n)]

    def _last_resort(self, failed: dict[int, int], living: Callable[[int], bool]) -> bool:
        """Where all have failed: whether this node is of those whose failure is longest ago."""
        if any(n not in failed and living(n) for n in self._order):
            return False
        before = sum(born < failed[self.me] and living(n) for n, born in failed.items())
        return before < self.count

    def _silence(self, now: int) -> int:
        """Since another gave a sign that it reads."""
        signs = [
            born
            for n, (word, born) in self.held.items()
            if n != self.me and word.state != ReaderState.FAILED
        ]
        return now - max(signs, default=self._began)

    def _step(self) -> int:
        read = any(word.state == ReaderState.READ for word, _ in self.held.values())
        return STALE if read else FIRST_STEP

    def ahead(self, now: int) -> int:
        """How many readers that gave a sign of late go before this one, where two have news."""
        own = rank(self.me)
        return sum(
            rank(n) < own and word.state == ReaderState.READ and now - born < STALE
            for n, (word, born) in self.held.items()
        )

    def best(self) -> Version:
        """The latest version that a reader has been told."""
        return max((v for v, _ in self._named()), default=NOTHING)

    def named(self, version: Version) -> list[int]:
        """The readers that have that one."""
        return [n for v, n in self._named() if v == version]

    def distrust(self, now: int, version: Version) -> None:
        """Nobody has what these readers name: they are not gone by for a while."""
        for node in self.named(version):
            self._distrusted[node] = now + DISTRUST

    def _named(self) -> list[tuple[Version, int]]:
        return [
            (version_of(word), n)
            for n, (word, _) in self.held.items()
            if word.state == ReaderState.READ and n not in self._distrusted
        ]
