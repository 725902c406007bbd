"""The registered nodes as one control machine sees them: liveness, assignments and reports.

The decisions are made in `loadbalancer.core.assignment`. This module combines them and remembers
which assignment was last sent to each node.
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

# A node is absent if it does not poll again within this time after a response.
POLL_GRACE_NS = 2 * SECOND
# Upper limit for a poll that gets no response; normally `on_response` sets an earlier deadline.
MAX_OPEN_POLL_NS = 3600 * SECOND
FIRST_POLL_WAIT_NS = 30 * SECOND  # after this machine's start, for nodes to poll for the first time
MAX_TICK_GAP_NS = 3 * SECOND  # a longer gap between two ticks means that this machine was paused
NODE_TIMEOUT_NS = 10 * SECOND  # long enough for nodes of a failed machine to move to another one
SETTLE_TIME_NS = 2 * SECOND  # without a further death or return of a node, before services move
MAX_SETTLE_TIME_NS = 15 * SECOND  # from the first death or return, however many follow
REPORTS_PER_MESSAGE = 512
# Ticks and grants come once a second; the durations allow for one that is late or lost.
RELEASE_RULES = ReleaseRules(lease_duration_ns=2500 * MS, max_pause_ns=2500 * MS)

Send = Callable[[object], None]


class NodeRegistry:
    """All registered nodes, as one control machine sees them.

    `changed` is True while assignments may differ from those last sent to the nodes. The owner
    reads and clears it with `pop_changed`.
    """

    def __init__(self, file: ScaleFile, now: int, releases: ReleaseAuthority | None = None) -> None:
        """Without `releases` no node may release a service."""
        self.regions = {service.name: service.region for service in file.services}
        self.assigner = Assigner(file.nodes, file.services, file.rules)
        self.handover = Handover(file.nodes)
        self.releases = releases
        self._releasable: Mapping[str, frozenset[str]] = {}  # by node, as of the last tick
        self.presence = Presence(node.name for node in file.nodes)
        names = [node.name for node in file.nodes]
        self.liveness = Liveness(now, names, LivenessRules(timeout_ns=NODE_TIMEOUT_NS))
        self.assignment = self.assigner.assign(self.liveness.alive)
        self.handover.on_assignment(self.assignment)
        self.changed = False
        self.nodes_changed_by_last_assignment = 0
        self._machine_count = len(file.machines)
        self._started = self._last_tick = now
        self._not_seen = set(names)  # nodes that have polled no machine since this one started
        # Time of the first death or return of a node since the last assignment.
        self._unsettled_since: int | None = None
        self._last_change = 0  # time of the last death or return
        self._deadlines: dict[str, int] = {}  # when each node that polls here must poll again
        self._reports: dict[str, tuple[str, ...]] = {}  # of nodes that poll here
        self._absent_reports: dict[str, tuple[str, ...]] = {}  # of nodes that polled here before
        self._unsent_reports: dict[str, tuple[str, ...]] = {}  # not yet sent to other machines
        self._sent: dict[tuple[str, str], NodeAssignment] = {}  # last sent, by node and region

    def is_registered(self, node: str) -> bool:
        """Return whether the control file names the node."""
        return node in self.assigner.nodes

    def services_in_region(self, node: str, region: str) -> frozenset[str]:
        """Return the services of `region` that the node is to hold."""
        wanted = self.handover.required(node)
        return frozenset([name for name in wanted if self.regions[name] == region])

    def assignment_for(self, now: int, node: str) -> NodeAssignment:
        """Return what the node is to hold and what it may release."""
        wanted = {name: self.regions[name] for name in self.handover.required(node)}
        releasable = self.releases.releasable(now, node) if self.releases else frozenset[str]()
        return NodeAssignment(wanted, releasable, self.handover.generation)

    def changed_assignment(
        self, now: int, node: str, region: str, first_poll: bool = False
    ) -> NodeAssignment | None:
        """Return the node's assignment if it differs from the last one sent or on a first poll."""
        assignment = self.assignment_for(now, node)
        sent = self._sent.get((node, region))
        if not first_poll and sent is not None and _is_same_apart_from_generation(sent, assignment):
            return None
        return assignment

    def pop_changed(self) -> bool:
        """Return and clear `changed`."""
        changed, self.changed = self.changed, False
        return changed

    def on_assignment_sent(self, node: str, region: str, assignment: NodeAssignment) -> None:
        """Record that the assignment was sent in a response for this region."""
        self._sent[node, region] = assignment

    def on_generation(self, node: str, region: str, generation: int) -> None:
        """Handle the generation of the last assignment that the node says it received.

        A node that reports an earlier generation than the last one sent has lost that response
        with its connection, so its assignment is sent again. Otherwise the assignment would count
        as sent until its next change: the node would not hold its new services, and its reports
        would be ignored.
        """
        sent = self._sent.get((node, region))
        if sent is not None and generation < sent.generation:
            del self._sent[node, region]

    # Polls and reports of nodes.

    def on_poll(self, now: int, node: str) -> None:
        """Record that the node polls this machine."""
        self._deadlines[node] = now + MAX_OPEN_POLL_NS
        self.presence.on_present(node)
        self.liveness.on_heartbeat(now, node)

    def on_response(self, now: int, node: str, pause_ns: int = 0) -> None:
        """Record the end of the node's poll: an answer, or the loss of its connection.

        The node was told to pause for `pause_ns`, and has to poll again after that.
        """
        self._deadlines[node] = now + pause_ns + POLL_GRACE_NS

    def on_report(self, node: str, serving: Collection[str], generation: int) -> None:
        """Handle a node's report of the services it serves.

        `generation` is that of the last assignment that the node has received.
        """
        known = tuple(sorted(name for name in serving if name in self.regions))
        # A generation above all of this process's own ones was numbered by the machine's previous
        # process, and says nothing about which assignments of this process the node has received.
        #
        # A previous process's generation that is not above this one's can't be told apart, because
        # a report does not name the process. It is then treated as received, although the node
        # made it before it knew what this process assigns. That happens if the machine restarts
        # between two polls of a region, or while the node's poll for another region has not failed
        # yet. It ends with the first response, which carries this process's generation.
        received = generation if generation <= self.handover.generation else 0
        self.handover.on_report(node, known, received)
        self.changed = True
        self._absent_reports.pop(node, None)
        if self._reports.get(node) != known:
            self._reports[node] = self._unsent_reports[node] = known

    def on_report_unchanged(self, node: str) -> None:
        """Handle a poll without a report: the node's last report to this machine is still valid.

        A node that polls a little late was absent in between, and does not report again until it
        serves other services. Its last report is restored here. Otherwise a machine that connects
        meanwhile would not get the report, would assume that the node serves nothing, and would
        not let previous holders release services to it. A node that has polled another machine
        always reports again, so no outdated report is restored.
        """
        report = self._absent_reports.pop(node, None)
        if report is not None:
            # Sent to all machines: some may have connected meanwhile or declared the node dead.
            self._reports[node] = self._unsent_reports[node] = report

    # Messages to and from the other control machines.

    def on_reports(self, reports: Iterable[NodeReport]) -> None:
        """Handle reports that nodes made to another machine."""
        for report in reports:
            if self.is_registered(report.node):
                known = [name for name in report.serving if name in self.regions]
                self.handover.on_report(report.node, known)
                self.changed = True

    def send_full_state(self, send: Send) -> None:
        """Send the complete presence and all reports to a machine that has just connected."""
        send(self.presence.complete_update())
        _send_reports(send, self._reports)

    def send_changes(self, send: Send) -> None:
        """Send what has changed since the last call to the connected machines."""
        send(self.presence.next_update())
        _send_reports(send, self._unsent_reports)
        self._unsent_reports = {}

    def on_presence(self, now: int, machine: str, update: PresenceUpdate) -> bool:
        """Handle another machine's presence update; return False if a complete one is needed."""
        return self.presence.on_update(now, machine, update)

    def advance_releases(self, now: int, epoch: int | None) -> ReleaseGrant | None:
        """Advance releases once a second; return the grant to send to the other machines, if any.

        `epoch` is the one in which this machine leads its region, None if it does not lead.
        """
        if self.releases is None:
            return None
        self.releases.on_tick(now, epoch)
        views = {node: self.handover.releasable(node) for node in self.assigner.nodes}
        grant = self.releases.grant(now, views)
        releasable = self.releases.all_releasable(now)
        self.changed = self.changed or releasable != self._releasable
        self._releasable = releasable
        return grant

    def on_tick(self, now: int) -> bool:
        """Update the nodes' liveness once a second; return whether services were reassigned."""
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
        """Mark nodes that have not polled again in time as absent."""
        for node in [node for node, deadline in self._deadlines.items() if deadline <= now]:
            del self._deadlines[node]
            report = self._reports.pop(node, None)
            if report is not None:
                self._absent_reports[node] = report
            self.presence.on_absent(node)

    def _pass_heartbeats(self, now: int) -> None:
        """Record heartbeats of nodes that poll any machine or may still make their first poll."""
        present = self.presence.present_nodes()
        self._not_seen -= present
        starting = self._not_seen if now - self._started < FIRST_POLL_WAIT_NS else ()
        for node in (*present, *starting):
            self.liveness.on_heartbeat(now, node)

    def _is_settled(self, now: int, unsettled_since: int) -> bool:
        """Return whether enough time has passed since the last death or return to move services.

        When a rack or a zone fails or returns, its nodes do so over several seconds. An assignment
        computed in between would move services that the next one would move again.
        """
        paused = now - self._last_change >= SETTLE_TIME_NS
        return paused or now - unsettled_since >= MAX_SETTLE_TIME_NS

    def _is_cut_off(self, now: int) -> bool:
        """Return whether less than half of the machines are connected, this one included.

        A node's silence then proves nothing: it may poll one of the unreachable machines.
        """
        return 2 * (len(self.presence.live_machines(now)) + 1) < self._machine_count

    def _restart_first_polls(self, now: int) -> None:
        """Give all live nodes the time for a first poll again.

        Called after this machine was paused or cut off. It received no heartbeats meanwhile, so
        all nodes would be declared dead at once and every service would move.
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


def _is_same_apart_from_generation(sent: NodeAssignment, assignment: NodeAssignment) -> bool:
    return sent.wanted == assignment.wanted and sent.releasable == assignment.releasable


def _send_reports(send: Send, reports: Mapping[str, tuple[str, ...]]) -> None:
    rows = iter([NodeReport(node, serving) for node, serving in reports.items()])
    while batch := tuple(islice(rows, REPORTS_PER_MESSAGE)):
        send(NodeReports(batch))
