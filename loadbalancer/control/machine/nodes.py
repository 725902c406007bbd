"""Which nodes live, which services each is to hold, and what each was last told of it.

The decisions are `loadbalancer.core.assignment`'s: this joins them, and keeps who has to be
told again.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

from loadbalancer.control.machine.file import ScaleFile
from loadbalancer.control.machine.list_form import NodeAssignment
from loadbalancer.control.machine.messages import NodeReport, Reports
from loadbalancer.core.assignment.assigner import Assigner
from loadbalancer.core.assignment.handover import Handover
from loadbalancer.core.assignment.liveness import Liveness, LivenessRules
from loadbalancer.core.assignment.presence import Presence, PresenceUpdate
from loadbalancer.core.assignment.release import ReleaseAuthority, ReleaseGrant, ReleaseRules
from loadbalancer.core.balancing.model import MS, SECOND

ABSENT = 2 * SECOND  # after an answer, until a node that asks no more counts as gone from here
START = 30 * SECOND  # after this machine's own, in which nodes may ask for the first time
STALL = 3 * SECOND  # between two turns, from which on this machine itself has stood still
SILENCE = 10 * SECOND  # nodes of a lost machine find another within this
SETTLE = 2 * SECOND  # without a further loss or return, before services move
SETTLE_MOST = 15 * SECOND
REPORTS_A_MESSAGE = 512
# Turns and grants come once a second: one may be late or lost.
RELEASE_RULES = ReleaseRules(lease_duration=2500 * MS, max_pause=2500 * MS)


class NodeRegistry:
    """All registered nodes, as one control machine sees them."""

    def __init__(self, file: ScaleFile, now: int, releases: ReleaseAuthority | None = None) -> None:
        self.regions = {service.name: service.region for service in file.services}
        self.assigner = Assigner(file.nodes, file.services, file.rules)
        self.handover = Handover(file.nodes)
        self.releases = releases  # None: nobody may release anything
        self._released: Mapping[str, frozenset[str]] = {}  # as of the last turn, by node
        self.presence = Presence(node.name for node in file.nodes)
        names = [node.name for node in file.nodes]
        self.liveness = Liveness(now, names, LivenessRules(timeout=SILENCE))
        self.assignment = self.assigner.with_alive(self.liveness.alive)
        self.handover.on_assignment(self.assignment)
        self.changed = False  # orders may differ from what nodes were told
        self.touched = 0  # nodes whose services differ by the last assignment
        self._machines = len(file.machines)
        self._began = self._turned = now
        self._unheard = set(names)  # nodes that have asked nowhere since this machine began
        self._unsettled = 0  # since when losses and returns wait to move services, 0 for never
        self._last_change = 0
        self._due: dict[str, int] = {}  # nodes that ask here, and until when they have to again
        self._reports: dict[str, tuple[str, ...]] = {}  # of the nodes that ask here
        self._news: dict[str, tuple[str, ...]] = {}  # of them, to be passed on
        self._told: dict[tuple[str, str], NodeAssignment] = {}  # by node and region

    # ---- orders ---------------------------------------------------------

    def is_registered(self, node: str) -> bool:
        """Whether it is registered."""
        return node in self.assigner.nodes

    def services_in_region(self, node: str, region: str) -> frozenset[str]:
        """What it is to hold of this region."""
        wanted = self.handover.wanted(node)
        return frozenset([name for name in wanted if self.regions[name] == region])

    def assignment_for(self, now: int, node: str) -> NodeAssignment:
        """What it is to hold and may release."""
        wanted = {name: self.regions[name] for name in self.handover.wanted(node)}
        releasable = self.releases.releasable(now, node) if self.releases else frozenset[str]()
        return NodeAssignment(wanted, releasable, self.handover.generation)

    def changed_assignment(
        self, now: int, node: str, region: str, anew: bool = False
    ) -> NodeAssignment | None:
        """Its orders where they differ from what it was told; `anew`: whatever it was told."""
        orders = self.assignment_for(now, node)
        told = self._told.get((node, region))
        if not anew and told is not None and _same(told, orders):
            return None
        return orders

    def on_assignment_sent(self, node: str, region: str, orders: NodeAssignment) -> None:
        """These orders have gone out."""
        self._told[node, region] = orders

    # ---- what nodes say --------------------------------------------------

    def on_poll(self, now: int, node: str) -> None:
        """It asks here."""
        self._due[node] = now + 3600 * SECOND  # it waits for an answer: `on_response` says more
        self.presence.on_present(node)
        self.liveness.on_heartbeat(now, node)

    def on_response(self, now: int, node: str, pause: int = 0) -> None:
        """Its question has been answered, or its connection is gone: it has to ask again."""
        self._due[node] = now + pause + ABSENT

    def on_report(self, node: str, serving: Collection[str], generation: int) -> None:
        """It says what it serves, as of the orders of this generation."""
        named = tuple(sorted(name for name in serving if name in self.regions))
        self.handover.on_report(node, named, generation)
        self.changed = True
        if self._reports.get(node) != named:
            self._reports[node] = self._news[node] = named

    # ---- what other machines say ------------------------------------------

    def on_reports(self, reports: Iterable[NodeReport]) -> None:
        """What nodes have told another machine."""
        for report in reports:
            if self.is_registered(report.node):
                named = [name for name in report.serving if name in self.regions]
                self.handover.on_report(report.node, named)
                self.changed = True

    def send_full_state(self, send: Callable[[object], None]) -> None:
        """Tell a machine that has just come up all that others have been told."""
        send(self.presence.complete_update())
        _send_reports(send, self._reports)

    def send_changes(self, send: Callable[[object], None]) -> None:
        """Tell the machines that are up what is new."""
        send(self.presence.next_update())
        _send_reports(send, self._news)
        self._news = {}

    def on_presence(self, now: int, machine: str, update: PresenceUpdate) -> bool:
        """Who asks at another machine; False where the whole is needed."""
        return self.presence.on_update(now, machine, update)

    # ---- releases ----------------------------------------------------------

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

    # ---- time ------------------------------------------------------------

    def on_time(self, now: int) -> bool:
        """Once a second: who lives. True where the assignment has changed."""
        for node in [node for node, due in self._due.items() if due <= now]:
            del self._due[node]
            self._reports.pop(node, None)
            self.presence.on_absent(node)
        self.presence.on_time(now)
        if now - self._turned > STALL or self._cut_off(now):
            self._knows_nothing(now)
        self._turned = now
        present = self.presence.present()
        self._unheard -= present
        starting = self._unheard if now - self._began < START else ()
        for node in (*present, *starting):
            self.liveness.on_heartbeat(now, node)
        change = self.liveness.advance(now)
        for node in change.died:
            self._on_dead(node)
        if change.died or change.returned:
            self._last_change = now
            self._unsettled = self._unsettled or now
        if not self._unsettled or not self._settled(now):
            return False
        self._unsettled = 0
        self._assign()
        return True

    def _settled(self, now: int) -> bool:
        """A rack or a zone goes and comes over some seconds: it moves services once.

        An assignment for half a zone would be made in vain, and costs much more than one for all.
        """
        return now - self._last_change >= SETTLE or now - self._unsettled >= SETTLE_MOST

    def _cut_off(self, now: int) -> bool:
        """Whether it hears so few machines that silent nodes say nothing against themselves."""
        return 2 * (len(self.presence.machines(now)) + 1) < self._machines

    def _knows_nothing(self, now: int) -> None:
        """It did not run, or heard nobody: who counts as alive has time again to be heard."""
        self._began = now
        self._unheard = set(self.liveness.alive)

    def _on_dead(self, node: str) -> None:
        self.handover.on_dead(node)
        for region in set(self.regions.values()):
            self._told.pop((node, region), None)

    def _assign(self) -> None:
        before = self.assignment
        self.assignment = self.assigner.with_alive(self.liveness.alive)
        self.handover.on_assignment(self.assignment)
        held = before.services_by_node
        self.touched = sum(
            1 for node, now in self.assignment.services_by_node.items() if now != held.get(node)
        )
        self.changed = True


def _same(told: NodeAssignment, orders: NodeAssignment) -> bool:
    return told.wanted == orders.wanted and told.releasable == orders.releasable


def _send_reports(send: Callable[[object], None], reports: dict[str, tuple[str, ...]]) -> None:
    rows = [NodeReport(node, serving) for node, serving in reports.items()]
    for at in range(0, len(rows), REPORTS_A_MESSAGE):
        send(Reports(tuple(rows[at : at + REPORTS_A_MESSAGE])))
