"""All registered nodes as one control machine sees them: liveness, assignments, reports.

The decisions are made in `loadbalancer.core.assignment`: this joins them, and remembers which
assignment was last sent to each node.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from itertools import islice

from loadbalancer.control.machine.file import ScaleFile
from loadbalancer.control.machine.list_format import NodeAssignment
from loadbalancer.control.machine.messages import NodeReport, NodeReports
from loadbalancer.core.assignment.assigner import Assigner
from loadbalancer.core.assignment.handover import Handover
from loadbalancer.core.assignment.liveness import Liveness, LivenessRules
from loadbalancer.core.assignment.presence import Presence, PresenceUpdate
from loadbalancer.core.assignment.release import ReleaseAuthority, ReleaseGrant, ReleaseRules
from loadbalancer.core.balancing.model import MS, SECOND

# After an answer, until a node that does not poll again counts as absent.
POLL_GRACE_NS = 2 * SECOND
# The same for a poll without an answer; `on_response` ends it before.
MAX_OPEN_POLL_NS = 3600 * SECOND
FIRST_POLL_WAIT_NS = 30 * SECOND  # after this machine's start, for nodes to poll for the first time
MAX_TICK_GAP_NS = 3 * SECOND  # between two ticks; after a longer one this machine was stopped
NODE_TIMEOUT_NS = 10 * SECOND  # nodes of a lost machine find another within this
SETTLE_TIME_NS = 2 * SECOND  # without a further loss or return, before services move
MAX_SETTLE_TIME_NS = 15 * SECOND  # from the first loss or return, however many follow
REPORTS_PER_MESSAGE = 512
# Ticks and grants come once a second: one may be late or lost.
RELEASE_RULES = ReleaseRules(lease_duration_ns=2500 * MS, max_pause_ns=2500 * MS)

Send = Callable[[object], None]


class NodeRegistry:
    """All registered nodes, as one control machine sees them.

    `changed` says that assignments may differ from those that nodes were sent, until the owner
    calls `take_changed`.
    """

    def __init__(self, file: ScaleFile, now: int, releases: ReleaseAuthority | None = None) -> None:
        """Without `releases` no node may release anything."""
        self.regions = {service.name: service.region for service in file.services}
        self.assigner = Assigner(file.nodes, file.services, file.rules)
        self.handover = Handover(file.nodes)
        self.releases = releases
        self._released: Mapping[str, frozenset[str]] = {}  # as of the last tick, by node
        self.presence = Presence(node.name for node in file.nodes)
        names = [node.name for node in file.nodes]
        self.liveness = Liveness(now, names, LivenessRules(timeout_ns=NODE_TIMEOUT_NS))
        self.assignment = self.assigner.assign(self.liveness.alive)
        self.handover.on_assignment(self.assignment)
        self.changed = False
        self.nodes_changed_by_last_assignment = 0  # whose services differ by it
        self._machine_count = len(file.machines)
        self._started = self._last_tick = now
        self._not_seen = set(names)  # nodes that have polled nowhere since this machine started
        self._unsettled_since: int | None = None  # first loss or return that moved no service yet
        self._last_change = 0
        self._deadlines: dict[str, int] = {}  # of nodes that poll here: when to poll again
        self._reports: dict[str, tuple[str, ...]] = {}  # of the nodes that poll here
        self._absent_reports: dict[str, tuple[str, ...]] = {}  # of those that polled here before
        self._unsent_reports: dict[str, tuple[str, ...]] = {}  # to the other machines
        self._sent: dict[tuple[str, str], NodeAssignment] = {}  # by node and region

    # ---- assignments ----------------------------------------------------

    def is_registered(self, node: str) -> bool:
        """Whether the control file names the node."""
        return node in self.assigner.nodes

    def services_in_region(self, node: str, region: str) -> frozenset[str]:
        """The services of this region that the node is to hold."""
        wanted = self.handover.required(node)
        return frozenset([name for name in wanted if self.regions[name] == region])

    def assignment_for(self, now: int, node: str) -> NodeAssignment:
        """What the node is to hold and may release."""
        wanted = {name: self.regions[name] for name in self.handover.required(node)}
        releasable = self.releases.releasable(now, node) if self.releases else frozenset[str]()
        return NodeAssignment(wanted, releasable, self.handover.generation)

    def changed_assignment(
        self, now: int, node: str, region: str, first_poll: bool = False
    ) -> NodeAssignment | None:
        """The node's assignment, if it differs from the one sent last or this is a first poll."""
        assignment = self.assignment_for(now, node)
        sent = self._sent.get((node, region))
        if not first_poll and sent is not None and _same(sent, assignment):
            return None
        return assignment

    def take_changed(self) -> bool:
        """Whether assignments may differ from those that nodes were sent; False from then on."""
        changed, self.changed = self.changed, False
        return changed

    def on_assignment_sent(self, node: str, region: str, assignment: NodeAssignment) -> None:
        """The assignment went out with an answer for this region."""
        self._sent[node, region] = assignment

    def on_generation(self, node: str, region: str, generation: int) -> None:
        """The node reports that this is the generation of the last answer that it received.

        Failure: an answer is lost with its connection, and the assignment in it counts as sent.
        Until it changes, the node does not hold its new services, and its reports do not count.
        A node that reports an earlier generation is sent its assignment again.
        """
        sent = self._sent.get((node, region))
        if sent is not None and generation < sent.generation:
            del self._sent[node, region]

    # ---- polls and reports of nodes -------------------------------------

    def on_poll(self, now: int, node: str) -> None:
        """The node polls here."""
        self._deadlines[node] = now + MAX_OPEN_POLL_NS
        self.presence.on_present(node)
        self.liveness.on_heartbeat(now, node)

    def on_response(self, now: int, node: str, pause_ns: int = 0) -> None:
        """Its poll was answered, or its connection was lost.

        It has to poll again after a pause.
        """
        self._deadlines[node] = now + pause_ns + POLL_GRACE_NS

    def on_report(self, node: str, serving: Collection[str], generation: int) -> None:
        """The node reports what it serves, as of the assignment of this generation."""
        named = tuple(sorted(name for name in serving if name in self.regions))
        # Guards against a generation of this machine's earlier process, which may be above all of
        # this one: it says nothing of what the node has received from this one.
        # Not guarded against: an earlier process's generation that is not above this one's. A
        # report does not name the process, so it counts as received, although the node made it
        # before it learnt what this process wants. A node sends one if the restart falls between
        # two polls of a region, or while another region's poll has not failed yet; it ends with
        # the first answer, which has this process's generation.
        received = generation if generation <= self.handover.generation else 0
        self.handover.on_report(node, named, received)
        self.changed = True
        self._absent_reports.pop(node, None)
        if self._reports.get(node) != named:
            self._reports[node] = self._unsent_reports[node] = named

    def on_report_unchanged(self, node: str) -> None:
        """The node polls without a report: the last one that it made here still holds.

        Failure: a node polls again a little late, its report is dropped, and it makes no other
        until it serves something else. A machine that connects meanwhile is not sent the report,
        takes the node to serve nothing, and lets no earlier holder release services to it. A node
        that has polled elsewhere makes its report anew, so an old one is not revived.
        """
        report = self._absent_reports.pop(node, None)
        if report is not None:
            # Also to machines that have connected since, or have declared the node dead.
            self._reports[node] = self._unsent_reports[node] = report

    # ---- the other machines ---------------------------------------------

    def on_reports(self, reports: Iterable[NodeReport]) -> None:
        """Reports that nodes made to another machine."""
        for report in reports:
            if self.is_registered(report.node):
                named = [name for name in report.serving if name in self.regions]
                self.handover.on_report(report.node, named)
                self.changed = True

    def send_full_state(self, send: Send) -> None:
        """Send everything that the connected machines have to one that has just connected."""
        send(self.presence.complete_update())
        _send_reports(send, self._reports)

    def send_changes(self, send: Send) -> None:
        """Send what is new to the connected machines."""
        send(self.presence.next_update())
        _send_reports(send, self._unsent_reports)
        self._unsent_reports = {}

    def on_presence(self, now: int, machine: str, update: PresenceUpdate) -> bool:
        """The nodes that poll another machine; False where a complete update is needed."""
        return self.presence.on_update(now, machine, update)

    # ---- releases -------------------------------------------------------

    def advance_releases(self, now: int, epoch: int | None) -> ReleaseGrant | None:
        """Once a second: the grant to send where this machine leads its region, in `epoch`."""
        if self.releases is None:
            return None
        self.releases.on_tick(now, epoch)
        views = {node: self.handover.releasable(node) for node in self.assigner.nodes}
        grant = self.releases.grant(now, views)
        released = self.releases.all_releasable(now)
        self.changed = self.changed or released != self._released
        self._released = released
        return grant

    # ---- time -----------------------------------------------------------

    def on_time(self, now: int) -> bool:
        """Once a second: which nodes live. True where the assignment has changed."""
        self._expire_polls(now)
        self.presence.expire_machines(now)
        if now - self._last_tick > MAX_TICK_GAP_NS or self._is_cut_off(now):
            self._restart_first_polls(now)
        self._last_tick = now
        self._pass_heartbeats(now)
        change = self.liveness.advance(now)
        for node in change.died:
            self._on_dead(node)
        if change.died or change.returned:
            self._last_change = now
            if self._unsettled_since is None:
                self._unsettled_since = now
        if self._unsettled_since is None or not self._is_settled(now, self._unsettled_since):
            return False
        self._unsettled_since = None
        self._assign()
        return True

    def _expire_polls(self, now: int) -> None:
        """Nodes that have not polled again in time are absent."""
        for node in [node for node, deadline in self._deadlines.items() if deadline <= now]:
            del self._deadlines[node]
            report = self._reports.pop(node, None)
            if report is not None:
                self._absent_reports[node] = report
            self.presence.on_absent(node)

    def _pass_heartbeats(self, now: int) -> None:
        """Nodes that poll anywhere are alive; so are those with time left for their first poll."""
        present = self.presence.present_nodes()
        self._not_seen -= present
        starting = self._not_seen if now - self._started < FIRST_POLL_WAIT_NS else ()
        for node in (*present, *starting):
            self.liveness.on_heartbeat(now, node)

    def _is_settled(self, now: int, unsettled_since: int) -> bool:
        """Whether losses and returns have paused for long enough to move services.

        A rack or a zone fails and returns over some seconds. An assignment in the midst of that
        would move services which the next one moves again.
        """
        paused = now - self._last_change >= SETTLE_TIME_NS
        return paused or now - unsettled_since >= MAX_SETTLE_TIME_NS

    def _is_cut_off(self, now: int) -> bool:
        """Whether too few machines are connected to conclude anything from a node's silence.

        The nodes may poll the machines that this one does not hear.
        """
        return 2 * (len(self.presence.live_machines(now)) + 1) < self._machine_count

    def _restart_first_polls(self, now: int) -> None:
        """Give the living nodes the time of a first poll again.

        This machine was stopped or cut off: nodes seemed silent and would all count as dead at
        once, which moves every service.
        """
        self._started = now
        self._not_seen = set(self.liveness.alive)

    def _on_dead(self, node: str) -> None:
        self.handover.on_dead(node)
        self._absent_reports.pop(node, None)
        for region in set(self.regions.values()):
            self._sent.pop((node, region), None)

    def _assign(self) -> None:
        before = self.assignment.services_by_node
        self.assignment = self.assigner.assign(self.liveness.alive)
        self.handover.on_assignment(self.assignment)
        self.nodes_changed_by_last_assignment = sum(
            1
            for node, services in self.assignment.services_by_node.items()
            if services != before.get(node)
        )
        self.changed = True


def _same(sent: NodeAssignment, assignment: NodeAssignment) -> bool:
    """Whether they are equal apart from their generation."""
    return sent.wanted == assignment.wanted and sent.releasable == assignment.releasable


def _send_reports(send: Send, reports: Mapping[str, tuple[str, ...]]) -> None:
    rows = iter([NodeReport(node, serving) for node, serving in reports.items()])
    while batch := tuple(islice(rows, REPORTS_PER_MESSAGE)):
        send(NodeReports(batch))
