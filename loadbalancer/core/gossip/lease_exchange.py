"""Lease requests and grants between the nodes of one zone (see `slot_leases`)."""

from __future__ import annotations

from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import Message, MessageKind, Outgoing
from loadbalancer.core.gossip.settings import GossipSettings
from loadbalancer.core.gossip.slot_leases import SlotLeases, UsableLease


class LeaseExchange:
    """Requests and grants leases. `BalancerBridge` sets what is needed and what can be granted."""

    def __init__(self, settings: GossipSettings, members: Membership, leases: SlotLeases) -> None:
        self._settings = settings
        self._members = members
        self._leases = leases
        self.grantable = 0  # number of server groups that this node can lease out
        self.keeps_leases = False  # whether this node still needs the slots that it leases
        self.wants_more = False  # whether this node needs further slots

    def on_message(self, now: int, message: Message) -> list[Outgoing]:
        """Respond to a lease request, or process a grant."""
        if not self._settings.same_zone(message.origin):
            return []
        if message.kind == MessageKind.LEASE_REQUEST:
            return [Outgoing(message.origin, self._grant(now, message))]
        if message.kind == MessageKind.LEASE_GRANT:
            self._leases.on_grant(now, message.origin, message.serial, message.subject)
        return []

    def _grant(self, now: int, request: Message) -> Message:
        # Neither to a dead member, whose slots the other nodes already replace by further ones, nor
        # to a node number that two processes use: both would use the same leased slots.
        members, holder = self._members, request.origin
        eligible = members.is_alive(holder) and holder in members.trusted(now)
        groups = self._leases.grant(now, holder, self.grantable if eligible else 0)
        return members.message(MessageKind.LEASE_GRANT, serial=request.serial, subject=groups)

    def requests(self, now: int) -> list[Outgoing]:
        """The lease requests to send now. The caller checks the message rate."""
        members = self._members
        grantors = [
            node
            for node in members.trusted(now)
            if members.is_alive(node) and self._settings.same_zone(node)
        ]
        return [
            Outgoing(grantor, members.message(MessageKind.LEASE_REQUEST, serial=serial))
            for grantor, serial in self._leases.requests(now, grantors, self.wants_more)
        ]

    @property
    def needs_leases(self) -> bool:
        """Whether this node needs slots of other nodes, leased already or not."""
        return self.keeps_leases or self.wants_more

    def usable(self, now: int) -> list[UsableLease]:
        """The leases that may be used now.

        A lease from a dead grantor may not: the other nodes already use further slots in place of
        those of the grantor.
        """
        leases = self._leases.usable(now)
        return [lease for lease in leases if self._members.is_alive(lease.grantor)]
