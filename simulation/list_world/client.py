"""One node's endpoint list, and its calls to the list service as the program's discovery makes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random

from loadbalancer.core import Settings, Update
from loadbalancer.core.balancing.model import MS
from loadbalancer.core.endpoints.poll_backoff import PollBackoff, classify_failure
from loadbalancer.core.endpoints.poll_timing import HOLD_MARGIN_NS, HOLD_NS
from loadbalancer.core.endpoints.revisions import OlderAnswerFilter
from loadbalancer.core.endpoints.shared_list import ListUpdate
from simulation.gossip_world import GossipWorld
from simulation.list_world.rows import KnownList
from simulation.list_world.service import NO_REV, ROUND_TRIP, ListCall, ListService

PAUSED_ANSWER_DELAY = 100 * MS  # an answer to a paused node is tried again after that
AT_ONCE = 0  # the hold of a call that waits for no change

# Takes the kind of an update and its rows by uid, None for a removed one.
ListListener = Callable[[Update, Mapping[str, str | None]], None]


class ListClient:
    """Polls in a call at once, and from its answer on in watches, one call at a time.

    With list readers the node polls only while it is one; the others' lists come by gossip.
    """

    def __init__(
        self,
        world: GossipWorld,
        node: int,
        service: ListService,
        known: KnownList,
        listener: ListListener,
        settings: Settings,
    ) -> None:
        """`known` is the list that the node has at its start; `listener` is its host."""
        self.service = service
        self.rev = known.rev
        self.rows = dict(known.rows)
        self.older_answers = OlderAnswerFilter()
        self._world = world
        self._node = node
        self._gossip_node = world.nodes[node]
        self._shared = self._gossip_node.shared_list  # None where each node polls for itself
        self._listener = listener
        self._backoff = PollBackoff(settings, Random(world.random.getrandbits(32)))
        if self._shared is not None:
            self._backoff.use_list_readers()
        self._polling = False
        self._was_reader = False  # at the last update from others
        self._calls = 0  # the number of the last call
        self._is_watch = False  # whether the last call waits for a change
        self._called_at = 0
        self._timeout = 0
        self._not_before = 0  # the time of the next call after a failure

    def begin(self) -> None:
        """Pass on the list that the node has at its start."""
        if self._shared is not None and self.rows:
            self._shared.replica.load_configured_list(self.rev, self.rows)
        self._listener(Update.CACHED, self.rows)

    def watch(self) -> None:
        """Poll from now on, or once the pause after a failure is over."""
        shared = self._shared
        if (
            self._polling
            or not self._is_running()
            or (shared is not None and not shared.is_polling)
        ):
            return
        if self._world.now < self._not_before:
            due, self._not_before = self._not_before, 0
            self._world.call_at(due, self.watch)
            return
        self._polling = True
        has_no_version = shared is not None and not shared.replica.version.epoch
        if has_no_version:
            self.older_answers.accept_next()
        self._call(NO_REV if has_no_version else self.rev, AT_ONCE)

    def on_answer(self, number: int, answer: ListUpdate | None) -> None:
        """Take the answer of a call, None where it was rejected or not answered in time."""
        if not (self._is_running() and self._polling) or number != self._calls:
            return
        world = self._world
        if self._node in world.paused:
            world.call_at(world.now + PAUSED_ANSWER_DELAY, self.on_answer, number, answer)
        elif answer is None and self._is_watch:
            self._call(self.rev, AT_ONCE)
        elif answer is None or not self.older_answers.accepts(
            answer.rev, answer.complete, self.rev
        ):
            self._on_failure(was_answered=answer is not None)
        else:
            self._on_list(answer)

    def apply_shared(self) -> None:
        """After each turn and message of the node: poll as a reader or not, and apply updates.

        As `loadbalancer/gossip_transport/shared_list.py` does.
        """
        shared = self._shared
        if shared is None or not self._is_running():
            return
        if shared.is_polling != self._was_reader:
            self._was_reader = shared.is_polling
            if self._was_reader:
                self.watch()
            else:
                self._polling = False
                self.service.disconnect(self)
        updates, shared.updates = shared.updates, []
        for update in updates:
            self.older_answers = OlderAnswerFilter()
            self._apply(update)

    def _is_running(self) -> bool:
        """Whether the node's incarnation of this client runs or is paused."""
        return self._world.nodes.get(self._node) is self._gossip_node

    def _call(self, since: int, hold: int) -> None:
        world = self._world
        self._calls += 1
        self._is_watch = hold > 0
        if self._is_watch:
            self._timeout = hold + HOLD_MARGIN_NS
        else:
            self._timeout = self._backoff.answer_timeout(len(self.rows))
        self._called_at = world.now
        call = ListCall(self, self._calls, since, hold)
        world.call_at(world.now + ROUND_TRIP, self.service.on_call, call)
        world.call_at(world.now + self._timeout, self.on_answer, self._calls, None)

    def _elapsed(self) -> int:
        """How long an answer at once has taken, in nanoseconds; 0 for a watch."""
        return 0 if self._is_watch else self._world.now - self._called_at

    def _on_failure(self, was_answered: bool) -> None:
        """End the poll; the next may begin after a pause."""
        world, elapsed = self._world, self._elapsed()
        self._polling = False
        self._calls += 1  # whatever still arrives is late
        if self._shared is not None:
            self._shared.on_failure(world.clock(self._node), was_answered)
        failure = classify_failure(elapsed, self._timeout, True, was_answered)
        pause = self._backoff.on_failure(failure, elapsed, len(self.rows))
        self._not_before = world.now + pause
        self._listener(Update.FAILED, {})

    def _on_list(self, update: ListUpdate) -> None:
        """Apply an answer, pass it on to other nodes, and watch for the next change."""
        world = self._world
        if not self._is_watch:
            self._backoff.on_answer(self._elapsed())
        if self._shared is not None:
            self._gossip_node.on_list_read(world.clock(self._node), *update)
            world.reschedule_turn(self._node)
        self._apply(update)
        self._call(self.rev, HOLD_NS)

    def _apply(self, update: ListUpdate) -> None:
        previous = {} if update.complete else self.rows
        merged = dict[str, str | None](previous) | dict(update.rows)
        self.rows = {uid: row for uid, row in merged.items() if row is not None}
        self.rev = update.rev
        self._listener(Update.FULL if update.complete else Update.DELTA, update.rows)
