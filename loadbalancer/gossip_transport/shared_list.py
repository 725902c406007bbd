"""Connects discovery with the shared list, which a few nodes read for all through gossip."""

from __future__ import annotations

import json
import logging
import time
from typing import TYPE_CHECKING, Any, Protocol

from loadbalancer.core.endpoints.shared_list import ListUpdate
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.sources.discovery import Discovery
from loadbalancer.sources.endpoint_list import ListError

if TYPE_CHECKING:
    from loadbalancer.sources.consul.source import ConsulMembers

logger = logging.getLogger(__name__)

REMOVED = "left"  # state of a server that is no longer listed, in responses of discovery


class Host(Protocol):
    """What `ListSharing` uses of its host."""

    @property
    def discovery(self) -> Discovery | ConsulMembers:
        """The source of the endpoint list."""


def rows_from_answer(answer: dict[str, Any]) -> dict[str, str | None]:
    """The rows of a discovery response as JSON text by uid; None for a removed server."""
    return {
        str(target["uid"]): None
        if target["state"] == REMOVED
        else json.dumps(target, sort_keys=True, separators=(",", ":"))
        for target in answer["targets"]
    }


def answer_from_update(update: ListUpdate) -> dict[str, Any]:
    """An update of the shared list in the form of a discovery response."""
    targets = [
        {"uid": uid, "state": REMOVED} if row is None else json.loads(row)
        for uid, row in update.rows.items()
    ]
    return {"rev": update.rev, "all": update.complete, "targets": targets}


class ListSharing:
    """Lets discovery poll only while this node is a list reader, and applies other nodes' reads.

    Implements `proxy.ports.ListReaders`.
    """

    def __init__(self, host: Host, node: GossipNode, known: dict[str, Any]) -> None:
        assert node.shared_list is not None
        assert isinstance(host.discovery, Discovery)
        self._node = node
        self._shared_list = node.shared_list
        self._discovery = host.discovery
        self._discovery.readers = self
        self._polls = False  # whether this node was a list reader at the last `update`
        self._refused = False  # whether discovery refused the last update of the list
        rows = {uid: row for uid, row in rows_from_answer(known).items() if row is not None}
        if rows:
            self._shared_list.replica.load_configured_list(known["rev"], rows)

    def update(self, now: int, connected: bool) -> None:
        """Start or stop polling, and apply what other nodes have read.

        To be called after each tick and each message.

        Args:
            now: present time in ns.
            connected: whether this node takes part in gossip; otherwise it polls itself.
        """
        shared_list = self._shared_list
        if not connected:
            shared_list.on_gossip_disconnected(now)
        if shared_list.is_polling != self._polls:
            self._polls = shared_list.is_polling
            self._switch_polling()
        updates, shared_list.updates = shared_list.updates, []
        for update in updates:
            self._apply(update)

    def _switch_polling(self) -> None:
        if self._polls:
            logger.info("started polling the list service")
            self._discovery.watch()
        else:
            logger.info("stopped polling the list service: other nodes poll it")
            self._discovery.close()

    def _apply(self, update: ListUpdate) -> None:
        if self._refused:
            # Discovery lacks the rows of the refused update, so it needs the whole list.
            update = ListUpdate(update.rev, dict(self._shared_list.replica.rows), complete=True)
        try:
            self._discovery.apply_shared(answer_from_update(update))
            self._refused = False
        except (ListError, ValueError, RecursionError) as err:
            self._refused = True
            logger.info("endpoint list from another node refused: %s", err)

    # Called by discovery.

    def may_poll(self) -> bool:
        """Whether this node polls the list service itself."""
        return self._shared_list.is_polling

    def unread(self) -> bool:
        """Whether the present list is from the configuration, and no node has read a list yet."""
        return not self._shared_list.replica.version.epoch

    def read(self, raw: dict[str, Any]) -> None:
        """Process a response of the list service to this node."""
        self._node.on_list_read(time.monotonic_ns(), raw["rev"], rows_from_answer(raw), raw["all"])

    def failed(self, older: bool) -> None:
        """Process a failed call of this node, or (`older`) a response with an older version."""
        self._shared_list.on_failure(time.monotonic_ns(), older)
