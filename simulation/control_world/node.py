"""A hollow node of the world: it holds services and polls for them, and serves no requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.core.subscription.answers import (
    Answer,
    Redirect,
    Refused,
    RetryAfter,
    SendUpdate,
)
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.limits import HolderLimits
from simulation.control_invariants.node_checker import NodeIncarnation
from simulation.control_world.messages import NodeAssignment, Poll, PollReply
from simulation.control_world.settings import (
    POLL_DELAY,
    POLL_TIMEOUT,
    REFUSED_POLL_DELAY,
    REGIONS,
)

if TYPE_CHECKING:
    from simulation.control_world.environment import Environment


class HollowNode:
    """One incarnation of a node: a holder, and one poll under way for each region."""

    def __init__(self, environment: Environment, index: int) -> None:
        self.index = index
        self.spec = environment.topology.nodes[index]
        self.incarnation: int = environment.nodes.incarnations[index]
        self.holder = Holder(self.spec.name, REGIONS, HolderLimits())
        self._environment = environment
        self._identity = NodeIncarnation(self.spec.name, self.incarnation)
        self._polled_machine = dict.fromkeys(REGIONS, self._random_machine())
        self._serials = dict.fromkeys(REGIONS, 0)
        self._assignments: dict[int, NodeAssignment] = {}  # the last received, by machine
        self._generations: dict[int, int] = {}  # of the handover, by machine

    def start(self) -> None:
        """Begin to poll."""
        for region in REGIONS:
            self._poll(region, redirected=False)

    def send_heartbeats(self) -> None:
        """Send every machine a heartbeat with the services that the node serves."""
        serving = self.holder.serving()
        for machine in range(len(self._environment.topology.machines)):
            generation = self._generations.get(machine, 0)
            self._environment.network.heartbeat(self.index, machine, serving, generation)

    def on_reply(self, reply: PollReply) -> None:
        """Take a machine's answer, however late it comes.

        The update of a late answer goes to the holder like any other; its assignment doesn't count.
        """
        environment, poll = self._environment, reply.poll
        if poll.incarnation != self.incarnation:
            return
        is_current = self._is_current(poll)
        if is_current:
            self._take_assignment(reply)
        if isinstance(reply.answer, SendUpdate):
            self._apply(reply.answer, poll)
        environment.node_checker.check(self._identity, self.holder)
        environment.release_checker.check(self._identity, self.holder)
        if is_current:
            self._poll_again(poll, reply.answer)

    def _random_machine(self) -> int:
        return self._environment.random.randrange(len(self._environment.topology.machines))

    def _poll(self, region: str, *, redirected: bool) -> None:
        """Poll the region's machine, and another one if no answer comes in time."""
        self._serials[region] += 1
        machine = self._polled_machine[region]
        poll = Poll(
            self.index,
            self.incarnation,
            self._serials[region],
            self.holder.make_subscription(region),
            self._assignments.get(machine),
            redirected,
        )
        self._environment.network.poll(machine, poll)
        self._await_answer(poll)

    def _await_answer(self, poll: Poll) -> None:
        timeout = self._environment.size.slowed(POLL_TIMEOUT)
        self._environment.loop.call_later(timeout, lambda: self._on_timeout(poll))

    def _is_current(self, poll: Poll) -> bool:
        """Whether the poll is the last one for its region, of a node that still runs."""
        is_running = self._environment.nodes.is_running(self.index, self)
        return is_running and self._serials[poll.region] == poll.serial

    def _on_timeout(self, poll: Poll) -> None:
        if self._environment.nodes.is_paused(self.index):
            self._await_answer(poll)
        elif self._is_current(poll):
            self._polled_machine[poll.region] = self._random_machine()
            self._poll(poll.region, redirected=True)

    def _take_assignment(self, reply: PollReply) -> None:
        environment, assignment = self._environment, reply.assignment
        self._assignments[reply.machine] = assignment
        self._generations[reply.machine] = reply.generation
        wanted = {name: environment.topology.home[name] for name in assignment.wanted}
        self.holder.on_assignment(environment.now, wanted, assignment.releasable)

    def _apply(self, answer: SendUpdate, poll: Poll) -> None:
        environment = self._environment
        result = self.holder.on_update(environment.now, answer.update, poll.subscription)
        environment.update_statuses[result.status] += 1
        position = self.holder.position(poll.region)
        environment.recorder.decision(
            self._identity, poll.region, position, result.status, result.changed
        )
        environment.node_checker.on_update(
            self._identity, self.holder, answer.update, result.status
        )

    def _poll_again(self, poll: Poll, answer: Answer | None) -> None:
        """Schedule the next poll as the answer says."""
        environment = self._environment
        if isinstance(answer, Redirect):
            self._polled_machine[poll.region] = environment.topology.machine_index[answer.machine]
            self._poll_later(poll, POLL_DELAY, redirected=True)
        elif isinstance(answer, RetryAfter):
            self._poll_later(poll, answer.delay_ns)
        elif isinstance(answer, Refused):
            environment.breach(f"{self.spec.name} was refused: {answer.reason.value}")
            self._poll_later(poll, REFUSED_POLL_DELAY)
        else:
            self._poll_later(poll, POLL_DELAY)

    def _poll_later(self, previous: Poll, delay: int, *, redirected: bool = False) -> None:
        """Poll after a delay, unless another poll of the region has begun by then."""

        def poll() -> None:
            if self._is_current(previous):
                self._poll(previous.region, redirected=redirected)

        self._environment.loop.call_later(delay, poll)
