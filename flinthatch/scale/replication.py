"""One control machine's part in the log of its own region, and its copy of the others'.

Within its region it is a member of a Raft group (Ongaro and Ousterhout, 2014; pre-vote and
check-quorum as in Ongaro's thesis, 9.6 and 6.2): an epoch is a term, a revision an index, and a
change is accepted when a majority of the region's machines hold it. Of another region's log it is
a learner: it fetches accepted changes from any machine that has them. Sans-I/O: told messages and
the time in nanoseconds, it leaves messages to be sent in `outgoing`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from flinthatch.model import MS, SECOND
from flinthatch.scale.changes import ChangeLog
from flinthatch.scale.messages import Message
from flinthatch.scale.model import Change, MachineSpec, Position, Row


class Role(Enum):
    """What a machine is in its own region's group."""

    EMPTY = "empty"  # started without a store; neither votes nor leads
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Outcome(Enum):
    """What becomes of a proposal at the machine that was asked."""

    PROPOSED = "proposed"  # in the leader's log; accepted once `committed` gives it
    NOT_LEADER = "not leader"
    WRONG_REGION = "wrong region"
    BUSY = "busy"  # too many changes wait for a majority


@dataclass(frozen=True, slots=True)
class Proposal:
    """The answer to `propose`."""

    outcome: Outcome
    position: Position | None = None  # of the change, where PROPOSED
    leader: str = ""  # whom to ask, where NOT_LEADER and one is known
    rule: str = ""  # where WRONG_REGION


@dataclass(frozen=True, slots=True)
class Timing:
    """Nanoseconds, and bounds of what is sent at once."""

    heartbeat: int = 200 * MS
    election: int = 1_000 * MS  # the least; drawn up to twice that
    fetch: int = 1_000 * MS  # an unanswered fetch goes to the next machine
    hold: int = 400 * MS  # a fetch without news is answered after that
    reload_wait: int = 5 * SECOND  # for reports, before a lost log is loaded again
    most_bytes: int = 256 * 1024  # of changes in one message
    most_proposed: int = 4096  # changes that wait for a majority


class Replica:
    """One machine's logs: its own region's as a member, the others' as a learner."""

    def __init__(
        self,
        machine: MachineSpec,
        machines: Sequence[MachineSpec],
        logs: Mapping[str, ChangeLog],
        seed: int,
        now: int,
        timing: Timing | None = None,
    ) -> None:
        """`logs` has one log a region, empty and written to here alone.

        `seed` is to differ from one start to the next.
        """
        self.counts: Counter[str] = Counter()
        self.role = Role.EMPTY
        self.epoch = 0
        self.leader = ""  # of its own region, as far as it knows
        self._machine = machine
        self._machines = tuple(machines)
        self._logs = dict(logs)
        self._random = Random(seed)
        self._timing = timing or Timing()

    def on_message(self, now: int, sender: str, message: Message) -> None:
        """A message of another control machine. What can't be used is counted and dropped."""

    def on_tick(self, now: int) -> None:
        """Time has passed; to be called every 50 ms or so."""

    def on_reported(self, now: int, region: str, position: Position) -> None:
        """A subscriber has told its position in a region's log."""

    def propose(
        self,
        now: int,
        service: str,
        rows: Sequence[Row] = (),
        removed: Sequence[str] = (),
        deleted: bool = False,
        region: str | None = None,
    ) -> Proposal:
        """Ask for a change of a service whose home is `region`, this machine's own by default.

        A leader's `Proposal` names the position; the change is accepted only when `committed`
        gives it. After a change of leader it may be lost and has to be proposed again.
        """
        raise NotImplementedError

    def needs_load(self) -> bool:
        """Whether this machine leads a region that has lost its log and waits for `load`."""
        return False

    def load(self, now: int, services: Mapping[str, Iterable[Row]]) -> None:
        """All services of this region from their source, where `needs_load`."""

    def committed(self) -> list[tuple[str, Change]]:
        """Drains the (region, change) pairs that were appended to the logs since the last call."""
        return []

    def restored(self) -> list[str]:
        """Drains the regions whose log was replaced by an image since the last call."""
        return []

    def outgoing(self) -> list[tuple[str, Message]]:
        """Drains the (recipient, message) pairs to send."""
        return []
