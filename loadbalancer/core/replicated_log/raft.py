"""One machine's part in the Raft group that holds its region's log.

After Ongaro and Ousterhout (2014), with pre-votes and the leader's check of its quorum (Ongaro's
thesis, 2014, 9.6 and 6.2). The log is in memory: a machine that has restarted is EMPTY, and
neither votes, leads nor counts towards a majority until it has heard from all others of its
region and caught up with what they have (as in Viewstamped Replication Revisited, Liskov and
Cowling 2012, 4.3). Where too many are empty for that, a majority elects a leader that loads the
log again from its source, in an epoch and from a revision above all that anyone has reported.

Sans-I/O: told messages and the time in nanoseconds, it appends to `out`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from loadbalancer.core.assignment.model import START, Change, Position, Row
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog, LogImage
from loadbalancer.core.replicated_log.entries import Entries, marker
from loadbalancer.core.replicated_log.messages import (
    Append,
    Appended,
    Message,
    Status,
    StatusRequest,
    Vote,
    VoteRequest,
)

EPOCH_STRIDE = 256  # a reload's epoch goes on to the next multiple, and some, above all reported
REVISION_STRIDE = 1_000_000  # its revisions likewise: 45 days of 22,000 changes
MOST_EPOCH = 1 << 22  # reported ones beyond are nonsense
MOST_ENTERED = 2 * MOST_EPOCH  # no machine begins a later one
MOST_REVISION = 1 << 40
PROBES = 4  # of a follower between two heartbeats, at most
MOST_IN_FLIGHT = 1024  # entries sent to a follower that it has not answered for


class Role(Enum):
    """What a machine is in its region's group."""

    EMPTY = "empty"  # started without a store: neither votes nor leads
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Nanoseconds, and bounds of what is sent at once."""

    heartbeat: int = 200 * MS
    election: int = 1_000 * MS  # the least; drawn up to twice that
    patience: int = 1_000 * MS  # an unanswered fetch goes to the next machine
    hold: int = 400 * MS  # a fetch without news is answered after that
    reload_wait: int = 5 * SECOND  # for reports, before a lost log is loaded again
    missing_wait: int = 30 * SECOND  # the same while a machine of the region does not answer
    raise_wait: int = 30 * SECOND  # between two histories begun for subscribers that are ahead
    most_bytes: int = 256 * 1024  # of changes in one message
    most_proposed: int = 4096  # changes that wait for a majority


@dataclass(slots=True)
class _Progress:
    """What the leader knows of one follower."""

    next: int  # revision of the entry to be sent next
    answered: int  # the revision of its last answer
    heard: int  # when it last answered and counted
    match: int = 0  # all up to it are held there
    probing: bool = False  # one message at a time, until it is known where its log ends
    probed: int = 0  # when the last of these went
    far: bool = False  # the log does not reach back to it


@dataclass(frozen=True, slots=True)
class _Told:
    status: Status
    at: int


def highest(one: Position, other: Position) -> Position:
    """The higher epoch and the higher revision of two positions, each for itself."""
    return Position(max(one.epoch, other.epoch), max(one.revision, other.revision))


def may_be(position: Position) -> bool:
    """Whether a reported position is within what any log comes to."""
    return 0 <= position.epoch <= MOST_EPOCH and 0 <= position.revision <= MOST_REVISION


class Member:
    """A member of one region's group."""

    def __init__(
        self,
        region: str,
        name: str,
        members: Sequence[str],
        log: ChangeLog,
        seed: int,
        now: int,
        timing: Timing,
        out: list[tuple[str, Message]],
    ) -> None:
        """`members` are all machines of the region, in the same order everywhere."""
        self.counts: Counter[str] = Counter()
        self.role = Role.EMPTY
        self.epoch = 0
        self.leader = ""
        self.entries = Entries(log)
        self.accepted: list[Change] = []  # drained by the owner
        self.replaced = False  # the change log was; likewise
        self._region = region
        self._name = name
        self._others = tuple(member for member in members if member != name)
        self._index = list(members).index(name)
        self._majority = len(members) // 2 + 1
        self._random = Random(seed)
        self._nonce = self._random.getrandbits(48)
        self._timing = timing
        self._out = out
        self._started = now
        self._reported = START
        self._raised = now - timing.raise_wait
        self._voted = ""
        self._votes: set[str] = set()
        self._ballot: VoteRequest | None = None
        self._heard = now  # of a leader
        self._election_at = now
        self._heartbeat_at = now
        self._progress: dict[str, _Progress] = {}
        self._statuses: dict[str, _Told] = {}
        self._seen_empty: set[str] = set()
        self._far = False
        self._put_off_election(now)

    # ---- what the owner asks ------------------------------------------------

    def led(self, now: int) -> bool:
        """Whether entries come from a leader, or are its own: nothing has to be fetched."""
        if self.role is Role.LEADER:
            return True
        return now - self._heard < self._timing.election and not self._far

    def needs_load(self) -> bool:
        """Whether this machine leads and has to load the log from its source."""
        return self.role is Role.LEADER and not self.entries.load_ended()

    def may_restore(self, image: LogImage) -> bool:
        """Whether an image may be taken over: one of a history that was lost only to serve it
        on, while this machine has nothing else."""
        return self.role is Role.EMPTY or image.history >= self.entries.history

    def room(self) -> bool:
        """Whether the leader takes one more change."""
        waiting = len(self.entries.proposed)
        return self.entries.load_ended() and waiting < self._timing.most_proposed

    def propose(self, now: int, change: Change) -> Position:
        """The leader's next entry, with its position instead of the given one."""
        position = self._append(change)
        self._advance()
        self._send_entries(now)
        return position

    def load(self, now: int, services: Mapping[str, Iterable[Row]]) -> None:
        """All services from their source; see `needs_load`."""
        if not self.needs_load():
            return
        begun = {entry.service for entry in self.entries.proposed}
        for service in sorted(begun - services.keys()):
            self._append(Change(START, service, deleted=True, complete=True))
        for service, rows in services.items():
            self._append(Change(START, service, tuple(rows), complete=True))
        self._append(marker(START))
        self._advance()
        self._send_entries(now)

    def on_reported(self, now: int, position: Position) -> None:
        """Someone holds this position of the region's log."""
        if not may_be(position):
            self.counts["nonsense reported"] += 1
            return
        self._reported = highest(self._reported, position)
        ahead = position.epoch > self.epoch or position.revision > self.entries.last.revision
        settled = self.role is Role.LEADER and self.entries.epoch_accepted(self.epoch)
        if ahead and settled and now - self._raised >= self._timing.raise_wait:
            # It is of a history that was lost, and would take nothing of this one.
            self.counts["histories begun above a report"] += 1
            self._raised = now
            self._ask_for_votes(now, self._epoch_above(), transfer=True)

    # ---- time ---------------------------------------------------------------

    def on_tick(self, now: int) -> None:
        """Time has passed."""
        if self.role is Role.LEADER:
            self._lead(now)
        elif self.role is Role.EMPTY:
            self._recover(now)
        elif now >= self._election_at:
            self._ask_for_trial(now)

    def _lead(self, now: int) -> None:
        recent = [p for p in self._progress.values() if now - p.heard < 2 * self._timing.election]
        if len(recent) + 1 < self._majority:
            self.counts["quorum lost"] += 1
            self._follow(now, self.epoch, "")
        elif now >= self._heartbeat_at:
            self._heartbeat(now)

    def _recover(self, now: int) -> None:
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + self._timing.heartbeat
            for other in self._others:
                self._send(other, StatusRequest(self._region, self._nonce))
        if now >= self._election_at:
            self._put_off_election(now)
            if self._may_reload(now):
                self._ask_for_votes(now, self._epoch_above(), reload=True)

    def _may_reload(self, now: int) -> bool:
        """Whether the others can't be caught up with, for so long that the log counts as lost."""
        fresh = [
            told.status
            for told in self._statuses.values()
            if now - told.at < 2 * self._timing.election
        ]
        if sum(not status.empty for status in fresh) >= self._majority:
            return False
        all_answer = len(fresh) == len(self._others)
        wait = self._timing.reload_wait if all_answer else self._timing.missing_wait
        return len(fresh) + 1 >= self._majority and now - max(self._started, self._heard) >= wait

    def _epoch_above(self) -> int:
        """An epoch above all heard of, which no other machine chooses."""
        known = max(self.epoch, self._reported.epoch, self.entries.last.epoch)
        members = len(self._others) + 1
        drawn = self._random.randrange(EPOCH_STRIDE // members)
        return (known // EPOCH_STRIDE + 1) * EPOCH_STRIDE + drawn * members + self._index

    def _put_off_election(self, now: int) -> None:
        least = self._timing.election
        self._election_at = now + least + self._random.randrange(least)

    # ---- elections ------------------------------------------------------------

    def _ask_for_trial(self, now: int) -> None:
        """Ask whether an election would be won, so that nobody is disturbed by a lost one."""
        self._put_off_election(now)
        self.role, self.leader = Role.CANDIDATE, ""
        self._ask(self._ballot_for(self.epoch + 1, trial=True))

    def _ask_for_votes(
        self, now: int, epoch: int, reload: bool = False, transfer: bool = False
    ) -> None:
        self._put_off_election(now)
        self.epoch, self._voted, self.leader = epoch, self._name, ""
        if not reload:
            self.role = Role.CANDIDATE
        self._ask(self._ballot_for(epoch, reload=reload, transfer=transfer))

    def _ballot_for(
        self, epoch: int, trial: bool = False, reload: bool = False, transfer: bool = False
    ) -> VoteRequest:
        entries = self.entries
        return VoteRequest(
            self._region, epoch, entries.history, entries.last, trial, reload, transfer
        )

    def _ask(self, ballot: VoteRequest) -> None:
        self._ballot = ballot
        self._votes = {self._name}
        for other in self._others:
            self._send(other, ballot)

    def on_vote_request(self, now: int, sender: str, asked: VoteRequest) -> None:
        """Give a vote, once an epoch, to who has all that is accepted."""
        if asked.epoch > MOST_ENTERED:
            self.counts["nonsense epochs"] += 1
            return
        if asked.reload:
            granted = self._grants_reload(now, asked)
        else:
            granted = self._grants(now, sender, asked)
        if granted and not asked.trial:
            if asked.epoch > self.epoch:
                self._enter(now, asked.epoch)
            self._voted = sender
            if asked.reload:
                self._seen_empty.add(sender)
            self._put_off_election(now)
        answer = Vote(self._region, asked.epoch, self.epoch, granted, asked.trial)
        self._send(sender, answer)

    def _grants(self, now: int, sender: str, asked: VoteRequest) -> bool:
        own = self.entries.history, self.entries.last
        if self.role is Role.EMPTY or (asked.history, asked.last) < own:
            return False
        hears_leader = self.role is Role.LEADER or now - self._heard < self._timing.election
        if hears_leader and not (asked.transfer and sender == self.leader):
            return False
        return asked.epoch > self.epoch or (
            asked.epoch == self.epoch and self._voted in ("", sender)
        )

    def _grants_reload(self, now: int, asked: VoteRequest) -> bool:
        """A machine that has its log agrees only after as long without a leader."""
        if asked.epoch <= max(self.epoch, self._reported.epoch):
            return False
        if self.role is Role.EMPTY:
            return True
        return self.role is not Role.LEADER and now - self._heard >= self._timing.reload_wait

    def on_vote(self, now: int, sender: str, vote: Vote) -> None:
        """Count a vote; a majority makes a leader."""
        ballot = self._ballot
        if vote.current > self.epoch and not vote.granted:
            self._reported = highest(self._reported, Position(vote.current, 0))
            if self.role is not Role.EMPTY and vote.current <= MOST_ENTERED:
                self._enter(now, vote.current)
            return
        if ballot is None or (vote.epoch, vote.trial) != (ballot.epoch, ballot.trial):
            return
        if not vote.granted:
            return
        self._votes.add(sender)
        if len(self._votes) < self._majority:
            return
        self._ballot = None
        if ballot.trial:
            self._ask_for_votes(now, ballot.epoch)
        elif self.epoch == ballot.epoch:
            self._become_leader(now, ballot.reload or ballot.transfer)
            if ballot.transfer:
                self.load(now, self.entries.rows())

    def _become_leader(self, now: int, reload: bool) -> None:
        self.role, self.leader = Role.LEADER, self._name
        if reload:
            above = max(self._reported.revision, self.entries.last.revision)
            revision = (above // REVISION_STRIDE + 1) * REVISION_STRIDE
            self.entries.begin(Position(self.epoch, revision))
        last = self.entries.last.revision
        self._progress = {other: _Progress(last + 1, last, now) for other in self._others}
        if self.entries.load_ended():
            self._append(marker(START))
        self._heartbeat(now)
        self._send_entries(now)

    def _enter(self, now: int, epoch: int) -> None:
        """A higher epoch was heard of."""
        if self.role is Role.EMPTY:
            self.epoch, self._voted = epoch, ""
        else:
            self._follow(now, epoch, "")

    def _follow(self, now: int, epoch: int, leader: str) -> None:
        if epoch > self.epoch:
            self._voted = ""
        self.epoch, self.leader, self.role = epoch, leader, Role.FOLLOWER
        self._ballot = None
        self._put_off_election(now)

    # ---- the leader -------------------------------------------------------------

    def _append(self, change: Change) -> Position:
        position = Position(self.epoch, self.entries.last.revision + 1)
        self.entries.append(
            Change(
                position,
                change.service,
                change.rows,
                change.removed,
                change.deleted,
                change.complete,
            )
        )
        return position

    def _heartbeat(self, now: int) -> None:
        self._heartbeat_at = now + self._timing.heartbeat
        for other in self._others:
            if self._progress[other].probing and not self._progress[other].far:
                self._probe(now, other)
            else:
                self._send_append(other, ())

    def _send_entries(self, now: int) -> None:
        """What each follower has not been sent, as far as it keeps up."""
        for other in self._others:
            self._feed(other)

    def _feed(self, other: str) -> None:
        progress = self._progress[other]
        while (
            not progress.far
            and not progress.probing
            and progress.next <= self.entries.last.revision
            and progress.next - progress.answered <= MOST_IN_FLIGHT
        ):
            previous = self.entries.position_at(progress.next - 1)
            entries = previous and self.entries.after(previous, self._timing.most_bytes)
            if not entries:
                progress.far = True  # the next heartbeat says so
                return
            self._send_append(other, entries)
            progress.next += len(entries)

    def _send_append(self, other: str, entries: tuple[Change, ...]) -> None:
        progress = self._progress[other]
        previous = self.entries.position_at(progress.next - 1)
        if previous is None:
            progress.far = True
            previous = self.entries.last
        self._send(
            other,
            Append(
                self._region, self.epoch, self.entries.history, previous, entries,
                self.entries.accepted, progress.far,
            ),
        )  # fmt: skip

    def on_appended(self, now: int, sender: str, answer: Appended) -> None:
        """A follower's answer: it holds more, or has to be sent older entries."""
        if answer.epoch > self.epoch and self.role is not Role.EMPTY:
            if answer.epoch <= MOST_ENTERED:
                self._enter(now, answer.epoch)
            return
        if self.role is not Role.LEADER or answer.epoch != self.epoch:
            return
        progress = self._progress[sender]
        if answer.counts:
            progress.heard = now
        if not answer.counts:
            progress.match = 0  # it has lost what it held
        if not answer.ok:
            self._go_back(now, sender, progress, answer.revision)
            return
        progress.far = progress.probing = False
        if answer.revision > self.entries.last.revision:
            self.counts["nonsense answers"] += 1
            return
        progress.answered = max(progress.answered, answer.revision)
        progress.next = max(progress.next, answer.revision + 1)
        if answer.counts:
            progress.match = max(progress.match, answer.revision)
            self._advance()
        self._feed(sender)

    def _go_back(self, now: int, other: str, progress: _Progress, revision: int) -> None:
        """Send again from this revision on, or tell the follower to fetch an image.

        Complaints that come close together are left to the next heartbeat: the answers to many
        messages, late or doubled, must not each bring forth as many.
        """
        last = max(progress.match, min(revision, self.entries.last.revision))
        progress.next, progress.answered, progress.probing = last + 1, last, True
        previous = self.entries.position_at(last)
        progress.far = previous is None or self.entries.after(previous, 1) is None
        if not progress.far and now - progress.probed >= self._timing.heartbeat // PROBES:
            self._probe(now, other)

    def _probe(self, now: int, other: str) -> None:
        """One message of entries, from where its log is thought to end."""
        progress = self._progress[other]
        progress.probed = now
        previous = self.entries.position_at(progress.next - 1)
        entries = previous and self.entries.after(previous, self._timing.most_bytes)
        self._send_append(other, entries or ())

    def _advance(self) -> None:
        """What a majority holds is accepted, once an entry of this epoch is among it."""
        held = sorted([self.entries.last.revision, *(p.match for p in self._progress.values())])
        revision = held[-self._majority]
        position = self.entries.position_at(revision)
        if position is None or position.epoch != self.epoch:
            return
        before = self.entries.accepted
        self._accept(revision)
        if self.entries.accepted > before:
            for other in self._others:
                self._send_append(other, ())

    def _accept(self, revision: int) -> None:
        changes, replaced = self.entries.accept(revision)
        self.accepted += changes
        self.replaced |= replaced

    # ---- the follower -------------------------------------------------------------

    def on_append(self, now: int, sender: str, append: Append) -> None:
        """A leader's entries, in order or not at all."""
        if append.epoch < self.epoch or append.history < self.entries.history:
            self.counts["older epochs"] += 1
            self._answer(sender, False, self.entries.accepted)
            return
        if append.epoch > MOST_ENTERED or self.role is Role.LEADER and (append.epoch == self.epoch):
            self.counts["nonsense epochs"] += 1
            return
        self._heard = now
        if self.role is Role.EMPTY:
            self.epoch, self.leader = append.epoch, sender
            self._put_off_election(now)
        else:
            self._follow(now, append.epoch, sender)
        if append.history > self.entries.history:
            self._join(now, sender, append)
        self._far = append.far
        if not self.entries.take(append.previous, append.entries):
            last = self.entries.last.revision
            self._answer(sender, False, min(last, self._before(append.previous)))
            return
        matched = append.previous.revision + len(append.entries)
        self._accept(min(append.accepted, matched))
        self._try_to_return(append.epoch)
        # What is accepted here is in every later leader's log, sent by it or not.
        self._answer(sender, True, max(matched, self.entries.accepted))

    def _before(self, previous: Position) -> int:
        """Where a leader is to begin whose entries don't fit: after what is accepted here."""
        if previous.revision > self.entries.last.revision:
            return self.entries.last.revision
        return self.entries.accepted

    def _join(self, now: int, leader: str, append: Append) -> None:
        """The log is being loaded anew. What an earlier life of this machine held is void, if
        the leader was seen to be empty in this one: then the load began after that."""
        self.entries.begin(append.history)
        if self.role is Role.EMPTY and leader in self._seen_empty:
            self._follow(now, append.epoch, leader)

    def _try_to_return(self, epoch: int) -> None:
        """Caught up with all that the others had when they were asked in this life."""
        if self.role is not Role.EMPTY or len(self._statuses) < len(self._others):
            return
        statuses = [told.status for told in self._statuses.values()]
        if any(status.empty for status in statuses):
            return
        target = max(status.last for status in statuses)
        if epoch >= max(status.epoch for status in statuses) and self.entries.last >= target:
            self.role = Role.FOLLOWER
            self.counts["returned"] += 1

    def _answer(self, leader: str, ok: bool, revision: int) -> None:
        counts = self.role is not Role.EMPTY
        self._send(leader, Appended(self._region, self.epoch, ok, revision, counts))

    # ---- machines that have restarted ----------------------------------------------

    def on_status_request(self, sender: str, asked: StatusRequest) -> None:
        """What this machine has, for one that has nothing."""
        status = Status(
            self._region, asked.nonce, self.role is Role.EMPTY, self.epoch, self.entries.last,
            self._reported,
        )  # fmt: skip
        self._send(sender, status)

    def on_status(self, now: int, sender: str, status: Status) -> None:
        """What another machine has; answers to an earlier life don't count."""
        if status.nonce != self._nonce or self.role is not Role.EMPTY:
            return
        reported = highest(status.reported, Position(status.epoch, 0))
        self.on_reported(now, highest(reported, status.last))
        if status.empty:
            self._seen_empty.add(sender)
        self._statuses[sender] = _Told(status, now)

    def _send(self, recipient: str, message: Message) -> None:
        self._out.append((recipient, message))
