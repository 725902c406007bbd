"""The list that a few nodes read for all: between discovery and this node's gossip."""

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

REMOVED = "left"  # discovery's state of a server that is no longer listed


class Host(Protocol):
    """What the sharing asks of the node's host."""

    @property
    def discovery(self) -> Discovery | ConsulMembers:
        """Where the list of servers comes from."""


def rows_from_answer(answer: dict[str, Any]) -> dict[str, str | None]:
    """The rows of an answer of discovery as text by id, None for a removed server."""
    return {
        str(target["uid"]): None
        if target["state"] == REMOVED
        else json.dumps(target, sort_keys=True, separators=(",", ":"))
        for target in answer["targets"]
    }


def answer_from_update(update: ListUpdate) -> dict[str, Any]:
    """An update of the shared list as an answer of discovery."""
    targets = [
        {"uid": uid, "state": REMOVED} if row is None else json.loads(row)
        for uid, row in update.rows.items()
    ]
    return {"rev": update.rev, "all": update.complete, "targets": targets}


class ListSharing:
    """Has discovery poll only while this node is a reader, and takes what other readers read.

    Implements `proxy.ports.ListReaders`.
    """

    def __init__(self, host: Host, node: GossipNode, known: dict[str, Any]) -> None:
        assert node.shared_list is not None
        assert isinstance(host.discovery, Discovery)
        self._node = node
        self._shared_list = node.shared_list
        self._discovery = host.discovery
        self._discovery.readers = self
        self._polls = False  # whether this node was a reader at the last update
        self._refused = False  # whether the last update could not be used
        rows = {uid: row for uid, row in rows_from_answer(known).items() if row is not None}
        if rows:
            self._shared_list.replica.load_configured_list(known["rev"], rows)

    def update(self, now: int, connected: bool) -> None:
        """After each turn and message: start or stop polling, and apply what others have read.

        Args:
            now: ns.
            connected: whether this node takes part in the gossip; otherwise it polls itself.
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
            logger.info("polls the list service")
            self._discovery.watch()
        else:
            logger.info("stops polling the list service: other nodes poll it")
            self._discovery.close()

    def _apply(self, update: ListUpdate) -> None:
        if self._refused:
            # The rows of the refused update are missing: all rows are needed from here on.
            update = ListUpdate(update.rev, dict(self._shared_list.replica.rows), complete=True)
        try:
            self._discovery.apply_shared(answer_from_update(update))
            self._refused = False
        except (ListError, ValueError, RecursionError) as err:
            self._refused = True
            logger.info("the list of another node not used: %s", err)

    # ---- for discovery ------------------------------------------------------------

    def may_poll(self) -> bool:
        """Whether this node polls the list service itself."""
        return self._shared_list.is_polling

    def needs_first_list(self) -> bool:
        """Whether the list in hand is from the configuration, and no node has read it."""
        return not self._shared_list.replica.version.epoch

    def read(self, raw: dict[str, Any]) -> None:
        """The list service has answered this node."""
        self._node.on_list_read(time.monotonic_ns(), raw["rev"], rows_from_answer(raw), raw["all"])

    def failed(self, older: bool) -> None:
        """A call of this node failed, or (`older`) answered with an older version."""
        self._shared_list.on_failure(time.monotonic_ns(), older)
